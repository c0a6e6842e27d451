//! When a node may send another request to a store that does not respond.
//!
//! All watches of a node fail together, and every request has a cost, even one
//! that is refused. The watches therefore take turns with a growing pause, and a
//! success ends the pause for all of them.

use crate::Now;
use std::time::Duration;

/// Pause after the first failure; doubles with each further attempt.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Maximum pause as a share of the limit on staleness, so that a node follows
/// changes within the limit after the store's recovery.
const MAX_PAUSE_SHARE: f64 = 0.45;
/// Doublings after which the pause no longer grows.
const MAX_DOUBLINGS: u32 = 6;

/// Turns of a node's watches while the store does not respond.
#[derive(Clone, Copy, Debug)]
pub struct StoreRetries {
    max_pause: Duration,
    /// Attempts since the last response, the failed request included; 0 while
    /// the store responds.
    attempts: u32,
    next_attempt: Now,
}

impl StoreRetries {
    /// Creates the state of a node that has to follow changes within
    /// `staleness_limit`.
    #[must_use]
    pub fn new(staleness_limit: Duration) -> Self {
        Self {
            max_pause: staleness_limit.mul_f64(MAX_PAUSE_SHARE),
            attempts: 0,
            next_attempt: Now::ZERO,
        }
    }

    /// Records a response; returns whether the store did not respond before.
    pub const fn on_response(&mut self) -> bool {
        let recovered = self.attempts > 0;
        self.attempts = 0;
        recovered
    }

    /// Records a failed request. `jitter` is a factor close to 1 that keeps nodes
    /// from returning to the store together.
    pub fn on_failure(&mut self, now: Now, jitter: f64) {
        if self.attempts == 0 {
            self.attempts = 1;
            self.next_attempt = now + self.pause().mul_f64(jitter);
        }
    }

    /// Returns whether a request may be sent at `now`, and if so, defers the next
    /// one.
    ///
    /// # Errors
    /// The time of the next turn, if none is due.
    pub fn try_take_turn(&mut self, now: Now, jitter: f64) -> Result<(), Now> {
        if self.attempts == 0 {
            return Ok(());
        }
        if now < self.next_attempt {
            return Err(self.next_attempt);
        }
        self.attempts += 1;
        self.next_attempt = now + self.pause().mul_f64(jitter);
        Ok(())
    }

    fn pause(&self) -> Duration {
        let doublings = (self.attempts - 1).min(MAX_DOUBLINGS);
        (FIRST_PAUSE * (1 << doublings)).min(self.max_pause)
    }
}
