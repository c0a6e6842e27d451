//! The process's monotonic clock.

use reedford_fleet::Now;
use tokio::time::Instant;

/// Measures time since the process started.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    pub(crate) fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    pub(crate) fn now(&self) -> Now {
        self.start.elapsed()
    }

    /// Converts a time since the start to an instant.
    pub(crate) fn instant(&self, time: Now) -> Instant {
        self.start + time
    }
}
