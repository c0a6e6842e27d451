//! Load reports that show the engine's state of some time ago.

use reedford_wire::engine::EngineState;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Past listings, each kept until a newer one is old enough to be reported.
#[derive(Debug)]
pub(crate) struct DelayedReports {
    kept: VecDeque<(Instant, EngineState)>,
    lag: Duration,
}

impl DelayedReports {
    /// Returns an empty history for reports of the given age.
    pub(crate) const fn new(lag: Duration) -> Self {
        Self {
            kept: VecDeque::new(),
            lag,
        }
    }

    /// Returns whether reports lag at all.
    pub(crate) const fn lags(&self) -> bool {
        !self.lag.is_zero()
    }

    /// Adds the current listing and drops those that are no longer needed.
    pub(crate) fn keep(&mut self, now: Instant, listing: EngineState) {
        self.kept.push_back((now, listing));
        while self
            .kept
            .get(1)
            .is_some_and(|(at, _)| self.is_due(*at, now))
        {
            self.kept.pop_front();
        }
    }

    /// Removes all listings.
    pub(crate) fn clear(&mut self) {
        self.kept.clear();
    }

    /// Returns the newest listing that is old enough, or else the oldest.
    pub(crate) fn due(&self, now: Instant) -> Option<&EngineState> {
        let due = self.kept.iter().rev().find(|(at, _)| self.is_due(*at, now));
        let (_, listing) = due.or_else(|| self.kept.front())?;
        Some(listing)
    }

    fn is_due(&self, at: Instant, now: Instant) -> bool {
        now.duration_since(at) >= self.lag
    }
}
