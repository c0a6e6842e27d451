//! The monotonic clock of the process.

use reedford_core::Now;
use std::time::Instant;

/// Counts from when it was made.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Time since the start.
    #[must_use]
    pub fn now(&self) -> Now {
        self.start.elapsed()
    }
}
