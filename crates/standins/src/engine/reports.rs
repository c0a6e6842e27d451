//! Load reports that lag.

use reedford_wire::engine::EngineState;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Listings kept until they are old enough to be reported.
#[derive(Debug)]
pub(crate) struct Reports {
    kept: VecDeque<(Instant, EngineState)>,
    lag: Duration,
}

impl Reports {
    /// Reports of the given age.
    pub(crate) const fn new(lag: Duration) -> Self {
        Self {
            kept: VecDeque::new(),
            lag,
        }
    }

    /// Whether reports lag at all.
    pub(crate) const fn lags(&self) -> bool {
        !self.lag.is_zero()
    }

    /// Keeps a listing, and drops those that are older than needed.
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

    /// Forgets all listings.
    pub(crate) fn clear(&mut self) {
        self.kept.clear();
    }

    /// The newest listing that is old enough, else the oldest.
    pub(crate) fn due(&self, now: Instant) -> Option<&EngineState> {
        let due = self.kept.iter().rev().find(|(at, _)| self.is_due(*at, now));
        let (_, listing) = due.or_else(|| self.kept.front())?;
        Some(listing)
    }

    fn is_due(&self, at: Instant, now: Instant) -> bool {
        now.duration_since(at) >= self.lag
    }
}
