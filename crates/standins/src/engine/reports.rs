//! Load reports that show the engine's state of some time ago.

use reedford_wire::engine::EngineState;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Past engine states, each kept until a newer one is old enough to be reported.
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

    /// Adds the current engine state and drops those that are no longer needed.
    pub(crate) fn keep(&mut self, now: Instant, state: EngineState) {
        self.kept.push_back((now, state));
        while self
            .kept
            .get(1)
            .is_some_and(|(at, _)| self.is_due(*at, now))
        {
            self.kept.pop_front();
        }
    }

    /// Removes all engine states.
    pub(crate) fn clear(&mut self) {
        self.kept.clear();
    }

    /// Returns the newest engine state that is old enough, or else the oldest.
    pub(crate) fn due(&self, now: Instant) -> Option<&EngineState> {
        let due = self.kept.iter().rev().find(|(at, _)| self.is_due(*at, now));
        let (_, state) = due.or_else(|| self.kept.front())?;
        Some(state)
    }

    fn is_due(&self, at: Instant, now: Instant) -> bool {
        now.duration_since(at) >= self.lag
    }
}
