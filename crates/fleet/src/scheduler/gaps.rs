//! Keeps the prompts that an engine processes from pausing its streams for too long.
//!
//! An engine processes prompts between the tokens of its streams, so that a stream's
//! next event is late by the prompts that are processed before it. An engine that runs
//! streams is therefore granted no more prompt tokens than it can process within the
//! shortest gap that its streams allow, once streams there have exceeded their gaps: how
//! long prompts delay an event depends on how the engine divides them.

use super::estimate::{as_millis, millis};
use crate::Now;
use std::collections::VecDeque;
use std::time::Duration;

/// Share of a gap in which prompts may be processed. The learned rate includes the time of
/// the tokens between them.
const PREFILL_SHARE: f64 = 1.0;
/// Factor on it for a call that can still be in time: one late call against streams that
/// may be late.
const IN_TIME_FACTOR: f64 = 1.4;
/// Share of that by which a prompt counts at most, so that long ones don't wait until an
/// engine has nothing else to do.
const MAX_PROMPT_SHARE: f64 = 0.5;
/// Factor on the limit of an engine whose streams keep their gaps, which then is none.
const MAX_FACTOR: f64 = 4.0;
/// Factor on the limit of an engine whose streams go on exceeding their gaps.
const MIN_FACTOR: f64 = 1.0;
/// Factor on the limit after a stream that exceeded its gap, and after one that did not.
/// With both, about one stream in twenty exceeds its gap where the limit is above its
/// minimum.
const FACTOR_DECREASE: f64 = 0.8;
const FACTOR_INCREASE: f64 = 1.012;
/// Longest gap that is kept; prompts that were processed before are forgotten.
const MAX_GAP: Duration = Duration::from_secs(2);

/// Prompt tokens that an engine has processed lately.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentPrefill {
    /// When they were processed, and how many, the latest last.
    prompts: VecDeque<(Now, f64)>,
}

/// What limits the prompts granted to an engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct GapLimit {
    /// Shortest gap that the streams on the engine, and the call itself, allow.
    pub(super) gap: Duration,
    /// Prompt tokens that the engine processes per millisecond.
    pub(super) tokens_per_ms: f64,
    /// Prompt tokens that are granted and not processed yet.
    pub(super) pending: f64,
    /// Whether the call can still be in time.
    pub(super) in_time: bool,
}

/// How far an engine's limit is above its minimum, learned from its streams.
#[derive(Clone, Copy, Debug)]
pub(super) struct GapControl {
    factor: f64,
}

impl Default for GapControl {
    fn default() -> Self {
        Self { factor: MAX_FACTOR }
    }
}

impl GapControl {
    /// Records whether a stream of the engine exceeded its gap.
    pub(super) fn record(&mut self, exceeded: bool) {
        let change = if exceeded {
            FACTOR_DECREASE
        } else {
            FACTOR_INCREASE
        };
        self.factor = (self.factor * change).clamp(MIN_FACTOR, MAX_FACTOR);
    }

    /// Whether the engine needs a limit.
    fn is_limited(self) -> bool {
        self.factor < MAX_FACTOR
    }
}

impl RecentPrefill {
    /// Records that a prompt was processed.
    pub(super) fn record(&mut self, tokens: f64, now: Now) {
        self.prompts.push_back((now, tokens));
        while self
            .prompts
            .front()
            .is_some_and(|(at, _)| *at + MAX_GAP < now)
        {
            self.prompts.pop_front();
        }
    }

    /// Returns how long a call of `tokens` prompt tokens has to wait so that no gap is
    /// exceeded by much.
    pub(super) fn wait(
        &self,
        tokens: f64,
        limit: GapLimit,
        control: GapControl,
        now: Now,
    ) -> Duration {
        if !control.is_limited() {
            return Duration::ZERO;
        }
        let gap = limit.gap.min(MAX_GAP);
        let in_time = if limit.in_time { IN_TIME_FACTOR } else { 1.0 };
        let factor = control.factor * in_time;
        let most = as_millis(gap) * PREFILL_SHARE * factor * limit.tokens_per_ms;
        let mut sum = limit.pending + tokens.min(most * MAX_PROMPT_SHARE);
        if sum > most {
            return millis((sum - most) / most * as_millis(gap));
        }
        let recent = self.prompts.iter().rev();
        for (at, tokens) in recent.take_while(|(at, _)| *at + gap > now) {
            sum += tokens;
            if sum > most {
                return (*at + gap).saturating_sub(now);
            }
        }
        Duration::ZERO
    }
}
