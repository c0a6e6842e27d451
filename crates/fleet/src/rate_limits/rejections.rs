//! When calls may be sent to an instance that must not reject many.

use crate::Now;
use std::time::Duration;

/// Share of the rejections that nodes use which don't know of each other's calls, and meet
/// by chance.
const USABLE_SHARE: f64 = 0.15;
/// Fewest rejections in a second that are expected to be borne.
const MIN_PER_S: f64 = 0.5;
/// Pause after the first rejection for a while, in which the instance ends some calls.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause, after which the instance is tried, since only a response shows its room.
const MAX_PAUSE: Duration = Duration::from_secs(120);
/// Variation of the pauses, as a share of them, so that nodes which were rejected together
/// don't return together.
const PAUSE_SPREAD: f64 = 0.5;

/// Rejections of one node's calls by one instance.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Rejections {
    last: Option<Now>,
    until: Now,
}

impl Rejections {
    /// Records that an instance, which bears `per_s` rejections in a second from `nodes`
    /// nodes, rejected a call that was sent at `sent_at`. Calls that were on their way at
    /// the last rejection count with it. `draw` is between 0 and 1. Returns the end of the
    /// pause.
    pub(super) fn record(
        &mut self,
        per_s: f64,
        nodes: usize,
        draw: f64,
        sent_at: Now,
        now: Now,
    ) -> Now {
        if self.last.is_some_and(|last| sent_at < last) {
            return self.until;
        }
        let share = per_s.max(MIN_PER_S) * USABLE_SHARE / nodes.max(1) as f64;
        let interval = Duration::try_from_secs_f64(1.0 / share).unwrap_or(MAX_PAUSE);
        let interval = interval.clamp(FIRST_PAUSE, MAX_PAUSE);
        // Longer than any pause, so that an instance that stays full is not tried twice.
        let is_first = self.last.is_none_or(|last| now >= last + interval * 2);
        let pause = if is_first { FIRST_PAUSE } else { interval };
        self.last = Some(now);
        self.until = now + pause.mul_f64(1.0 + PAUSE_SPREAD * (2.0 * draw - 1.0));
        self.until
    }

    pub(super) const fn until(&self) -> Now {
        self.until
    }
}
