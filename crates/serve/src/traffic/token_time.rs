//! How fast the workers generate, to foretell how long an answer takes.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Time for a token before any was seen, in microseconds.
const FIRST_GUESS_US: u64 = 43_000;
/// The newest answer counts one part in this many.
const WEIGHT: u64 = 16;

/// Average time for a token, in microseconds. Concurrent updates may lose one
/// another; the average bears that.
#[derive(Debug)]
pub(crate) struct Pace(AtomicU64);

impl Default for Pace {
    fn default() -> Self {
        Self(AtomicU64::new(FIRST_GUESS_US))
    }
}

impl Pace {
    /// Notes an answer of `tokens` tokens that took `elapsed` after its first.
    pub(super) fn note(&self, tokens: u64, elapsed: Duration) {
        let Some(gaps) = tokens.checked_sub(1).filter(|gaps| *gaps > 0) else {
            return;
        };
        let newest = elapsed.as_micros() as u64 / gaps;
        let known = self.0.load(Ordering::Relaxed);
        let average = (known * (WEIGHT - 1) + newest) / WEIGHT;
        self.0.store(average, Ordering::Relaxed);
    }

    /// Time that an answer of `tokens` tokens takes.
    pub(super) fn expected(&self, tokens: u32) -> Duration {
        Duration::from_micros(self.0.load(Ordering::Relaxed)) * tokens
    }
}
