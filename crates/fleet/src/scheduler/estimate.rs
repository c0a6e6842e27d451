//! Estimates learned from what calls and orders took.

use crate::Now;
use std::collections::VecDeque;
use std::time::Duration;

/// Prompt tokens a millisecond that an engine is taken to read before anything
/// is known of it; a middle value of the engines in use.
const FIRST_RATE: f64 = 14.0;
/// Range of believable rates.
const RATE_RANGE: (f64, f64) = (3.0, 30.0);
/// Weight of a new sample.
const NEWEST: f64 = 0.12;
/// Load of an adapter from the store before any was seen.
const FIRST_COLD: Duration = Duration::from_millis(270);
/// Part of a load's time when the engine held the adapter recently.
const WARM_PART: f64 = 0.1;
/// Allowance for the way of an order and the end of a load.
const LOAD_MARGIN: Duration = Duration::from_millis(8);
/// Time over which loads are counted.
const TURNOVER_WINDOW: Duration = Duration::from_secs(2);
/// Time for which an adapter that is used by one call after the other keeps its
/// place, while others wait for one; a middle value of long answers.
const LONGEST_HOLD: Duration = Duration::from_secs(3);
/// Longest estimate of a load; loads that are limited as they are take no longer
/// than twice the time of one alone.
const LONGEST_LOAD: Duration = Duration::from_millis(600);
/// Growth of the estimate with a load that took longer.
const LONGER: f64 = 1.04;
/// Its decline with a load that did not. One load in six or seven may take
/// longer than estimated; the rest would wait in vain.
const SHORTER: f64 = 0.993;

/// A duration from milliseconds, which may be out of range.
pub(super) fn millis(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms.max(0.0) / 1e3).unwrap_or(Duration::MAX)
}

/// Milliseconds of a duration.
pub(super) fn as_millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}

/// Speed at which an engine reads prompts, in tokens a millisecond.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReadRate {
    rate: f64,
}

impl Default for ReadRate {
    fn default() -> Self {
        Self { rate: FIRST_RATE }
    }
}

impl ReadRate {
    pub(super) const fn per_ms(self) -> f64 {
        self.rate
    }

    /// Learns from `tokens` that took the time from `from` to `to`.
    pub(super) fn learn(&mut self, tokens: f64, from: Now, to: Now) {
        let ms = as_millis(to.saturating_sub(from)).max(1.0);
        let sample = (tokens / ms).clamp(RATE_RANGE.0, RATE_RANGE.1);
        self.rate += NEWEST * (sample - self.rate);
    }
}

/// How long loads of adapters take.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadTimes {
    cold: Duration,
}

impl Default for LoadTimes {
    fn default() -> Self {
        Self { cold: FIRST_COLD }
    }
}

impl LoadTimes {
    pub(super) fn expected(self, warm: bool) -> Duration {
        let part = if warm { WARM_PART } else { 1.0 };
        self.cold.mul_f64(part) + LOAD_MARGIN
    }

    /// Learns that a load was not done after its expected time.
    pub(super) fn too_short(&mut self) {
        self.cold = self.cold.mul_f64(LONGER).min(LONGEST_LOAD);
    }

    /// Learns that a load was done after its expected time.
    pub(super) fn long_enough(&mut self) {
        self.cold = self.cold.mul_f64(SHORTER).max(FIRST_COLD.mul_f64(0.5));
    }
}

/// How often places for adapters come free.
#[derive(Clone, Debug, Default)]
pub(super) struct Turnover {
    loads: VecDeque<Now>,
}

impl Turnover {
    /// Notes that a place was taken for another adapter.
    pub(super) fn note(&mut self, now: Now) {
        self.loads.push_back(now);
        while self
            .loads
            .front()
            .is_some_and(|at| *at + TURNOVER_WINDOW < now)
        {
            self.loads.pop_front();
        }
    }

    /// Places that come free in a second, of so many.
    pub(super) fn per_s(&self, places: u32, now: Now) -> f64 {
        let recent = self.loads.iter().filter(|at| **at + TURNOVER_WINDOW >= now);
        let seen = recent.count() as f64 / TURNOVER_WINDOW.as_secs_f64();
        let least = f64::from(places.max(1)) / LONGEST_HOLD.as_secs_f64();
        seen.max(least)
    }
}
