//! The time of the process.

use reedford_fleet::Now;
use tokio::time::Instant;

/// Counts the time since the process started, on the monotonic clock.
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

    /// The instant of a time since the start.
    pub(crate) fn instant(&self, now: Now) -> Instant {
        self.start + now
    }
}
