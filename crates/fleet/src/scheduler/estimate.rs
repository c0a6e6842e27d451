//! Estimates from the observed durations of calls and loads.

use crate::Now;
use std::collections::VecDeque;
use std::time::Duration;

/// Estimate of the prefill rate before the first sample, in prompt tokens per
/// millisecond.
const INITIAL_TOKENS_PER_MS: f64 = 14.0;
/// Weight of the initial estimate, as the time in milliseconds in which an engine
/// would have processed prompts at that rate.
const INITIAL_BUSY_MS: f64 = 400.0;
/// Factor on the weight of all earlier samples at each new one.
const SAMPLE_DECAY: f64 = 0.94;
/// Plausible range of prefill rates.
const TOKENS_PER_MS_RANGE: (f64, f64) = (0.1, 2_000.0);
/// How long a machine's statement is used; it may change many times a second.
const SLOWDOWN_TTL: Duration = Duration::from_millis(400);
/// Plausible range of a machine's statement.
const SLOWDOWN_RANGE: (f64, f64) = (0.2, 20.0);
/// Initial estimate of the time to load an adapter from the weight store.
const INITIAL_COLD_LOAD: Duration = Duration::from_millis(270);
/// Duration of a load, as a share of a cold one, when the engine held the adapter
/// recently.
const WARM_LOAD_SHARE: f64 = 0.1;
/// Allowance for the transit time of an order and the end of a load.
const LOAD_MARGIN: Duration = Duration::from_millis(8);
/// Window over which loads are counted.
const TURNOVER_WINDOW: Duration = Duration::from_secs(2);
/// Window over which arriving calls are counted.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);
/// Time for which an adapter in uninterrupted use keeps its slot while others
/// wait for one; a mid-range value of long responses.
const MAX_SLOT_HOLD: Duration = Duration::from_secs(3);
/// Upper bound of the estimate. With the limits on concurrent loads, a load takes
/// at most twice as long as one that runs alone.
const MAX_COLD_LOAD: Duration = Duration::from_millis(600);
/// Factor on the estimate after a load that took longer than estimated.
const LOAD_ESTIMATE_INCREASE: f64 = 1.04;
/// Factor on the estimate after a load that took no longer than estimated. With
/// both factors one load in six or seven exceeds the estimate; a longer
/// estimate would make the calls of all other loads wait needlessly.
const LOAD_ESTIMATE_DECREASE: f64 = 0.993;

/// Range of the limit on concurrent loads from the weight store, per engine of the
/// zone. It starts at the minimum: too many loads delay each other but together
/// take no longer, while too few leave bandwidth unused. Engines refuse more than
/// four at once.
const LOADS_PER_ENGINE_RANGE: (f64, f64) = (0.67, 4.0);
/// Minimum of the limit on concurrent loads of a zone.
const MIN_CONCURRENT_LOADS: f64 = 2.0;
/// Ratio of the estimate to the shortest one above which fewer loads run at once.
const CONGESTED_LOAD_FACTOR: f64 = 1.3;
/// Ratio below which bandwidth is considered to be left.
const UNCONGESTED_LOAD_FACTOR: f64 = 1.15;
/// Factor on the limit after a load that shows congestion.
const LIMIT_DECREASE: f64 = 0.95;
/// Factor on the limit after a load without congestion while the limit is
/// reached.
const LIMIT_INCREASE: f64 = 1.02;

/// Converts milliseconds to a duration, saturating when out of range.
pub(super) fn millis(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms.max(0.0) / 1e3).unwrap_or(Duration::MAX)
}

/// Converts a duration to milliseconds.
pub(super) fn as_millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}

/// Recent prefill rate of an engine: prompt tokens over the time spent on them.
/// Rates of single prompts are not averaged, because prompts processed in the
/// same step seem to take no time.
#[derive(Clone, Copy, Debug)]
pub(super) struct PrefillRate {
    tokens: f64,
    busy_ms: f64,
}

impl Default for PrefillRate {
    fn default() -> Self {
        Self::new(INITIAL_TOKENS_PER_MS)
    }
}

impl PrefillRate {
    /// Creates an estimate that starts at a rate in tokens per millisecond.
    pub(super) const fn new(per_ms: f64) -> Self {
        Self {
            tokens: per_ms * INITIAL_BUSY_MS,
            busy_ms: INITIAL_BUSY_MS,
        }
    }

    pub(super) const fn per_ms(self) -> f64 {
        (self.tokens / self.busy_ms).clamp(TOKENS_PER_MS_RANGE.0, TOKENS_PER_MS_RANGE.1)
    }

    /// Adds the sample of `tokens` prompt tokens processed from `from` to `to`.
    pub(super) fn record_sample(&mut self, tokens: f64, from: Now, to: Now) {
        self.tokens = self.tokens * SAMPLE_DECAY + tokens;
        self.busy_ms = self.busy_ms * SAMPLE_DECAY + as_millis(to.saturating_sub(from));
        self.busy_ms = self.busy_ms.max(1.0);
    }
}

/// How much longer work takes on a machine than usually, as it stated last.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Slowdown {
    last: Option<(f64, Now)>,
}

impl Slowdown {
    /// Records what a machine states.
    pub(super) fn record(&mut self, factor: f64, now: Now) {
        if factor.is_finite() {
            let (least, most) = SLOWDOWN_RANGE;
            self.last = Some((factor.clamp(least, most), now));
        }
    }

    /// Returns the factor; 1 if the last statement is old.
    pub(super) fn factor(self, now: Now) -> f64 {
        let recent = self
            .last
            .filter(|(_, at)| now.saturating_sub(*at) < SLOWDOWN_TTL);
        recent.map_or(1.0, |(factor, _)| factor)
    }
}

/// Estimate of how long loads of adapters take, and of how many may run at once.
///
/// The weight store's bandwidth is shared by all zones and not known. Loads that
/// take longer than usual show that it is used up: then more of them would only
/// slow each other down.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadTimeEstimate {
    cold: Duration,
    /// Shortest estimate so far.
    shortest: Duration,
    /// Concurrent loads per engine.
    limit_per_engine: f64,
}

impl Default for LoadTimeEstimate {
    fn default() -> Self {
        Self {
            cold: INITIAL_COLD_LOAD,
            shortest: INITIAL_COLD_LOAD,
            limit_per_engine: LOADS_PER_ENGINE_RANGE.0,
        }
    }
}

impl LoadTimeEstimate {
    pub(super) fn expected(self, warm: bool) -> Duration {
        let share = if warm { WARM_LOAD_SHARE } else { 1.0 };
        self.cold.mul_f64(share) + LOAD_MARGIN
    }

    /// Returns the number of loads from the weight store that `engines` engines
    /// may run at once.
    pub(super) fn limit(self, engines: usize) -> f64 {
        (engines as f64 * self.limit_per_engine).max(MIN_CONCURRENT_LOADS)
    }

    /// Records that a load was not complete after its estimated duration.
    pub(super) fn record_exceeded(&mut self) {
        self.cold = self.cold.mul_f64(LOAD_ESTIMATE_INCREASE).min(MAX_COLD_LOAD);
        if self.cold > self.shortest.mul_f64(CONGESTED_LOAD_FACTOR) {
            self.scale_limit(LIMIT_DECREASE);
        }
    }

    /// Records that a load was complete after its estimated duration. `at_limit`
    /// tells whether as many loads run as may.
    pub(super) fn record_met(&mut self, at_limit: bool) {
        self.cold = self
            .cold
            .mul_f64(LOAD_ESTIMATE_DECREASE)
            .max(INITIAL_COLD_LOAD.mul_f64(0.5));
        self.shortest = self.shortest.min(self.cold);
        if at_limit && self.cold < self.shortest.mul_f64(UNCONGESTED_LOAD_FACTOR) {
            self.scale_limit(LIMIT_INCREASE);
        }
    }

    fn scale_limit(&mut self, factor: f64) {
        let (min, max) = LOADS_PER_ENGINE_RANGE;
        self.limit_per_engine = (self.limit_per_engine * factor).clamp(min, max);
    }
}

/// Rate of ordered loads, from which the rate of freed adapter slots is estimated.
#[derive(Clone, Debug, Default)]
pub(super) struct SlotTurnover {
    loads: VecDeque<Now>,
}

impl SlotTurnover {
    /// Records that a load was ordered.
    pub(super) fn record_load(&mut self, now: Now) {
        self.loads.push_back(now);
        while self
            .loads
            .front()
            .is_some_and(|at| *at + TURNOVER_WINDOW < now)
        {
            self.loads.pop_front();
        }
    }

    /// Returns the estimated number of slots that become free per second, of
    /// `slots` in total.
    pub(super) fn per_s(&self, slots: u32, now: Now) -> f64 {
        let recent = self.loads.iter().filter(|at| **at + TURNOVER_WINDOW >= now);
        let observed = recent.count() as f64 / TURNOVER_WINDOW.as_secs_f64();
        let minimum = f64::from(slots.max(1)) / MAX_SLOT_HOLD.as_secs_f64();
        observed.max(minimum)
    }
}

/// Recent demand for adapter loads.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadDemand {
    arrivals: VecDeque<Now>,
}

impl LoadDemand {
    /// Records the arrival of a call whose adapter has to be loaded.
    pub(super) fn record(&mut self, now: Now) {
        self.arrivals.push_back(now);
        while self
            .arrivals
            .front()
            .is_some_and(|at| *at + DEMAND_WINDOW < now)
        {
            self.arrivals.pop_front();
        }
    }

    /// Returns the number of such calls per second.
    pub(super) fn per_s(&self, now: Now) -> f64 {
        let recent = self
            .arrivals
            .iter()
            .filter(|at| **at + DEMAND_WINDOW >= now);
        recent.count() as f64 / DEMAND_WINDOW.as_secs_f64()
    }
}

/// Returns the factor by which a call that every new call overtakes waits longer
/// than for the calls ahead of it, if new calls take the share `utilization` of
/// the capacity.
pub(super) fn overtaking_factor(utilization: f64) -> f64 {
    /// Utilization at or above which such a call is practically never reached.
    const MAX_UTILIZATION: f64 = 0.9;
    1.0 / (1.0 - utilization.clamp(0.0, MAX_UTILIZATION))
}
