//! A monotonic clock.

use reedford_core::Now;
use std::time::Instant;

/// A clock that measures time since its creation.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Creates a clock that starts at zero now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time since the clock was created.
    #[must_use]
    pub fn now(&self) -> Now {
        self.start.elapsed()
    }
}
