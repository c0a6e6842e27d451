//! Estimate of the workers' generation time per token, from which the duration of
//! responses is predicted.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Estimate before the first response, in microseconds per token.
const INITIAL_TOKEN_TIME_US: u64 = 43_000;
/// Inverse weight of the newest sample in the moving average.
const AVERAGE_SAMPLES: u64 = 16;

/// Moving average of the time per token, in microseconds. Concurrent updates may
/// overwrite each other, which only loses samples.
#[derive(Debug)]
pub(crate) struct TokenTime(AtomicU64);

impl Default for TokenTime {
    fn default() -> Self {
        Self(AtomicU64::new(INITIAL_TOKEN_TIME_US))
    }
}

impl TokenTime {
    /// Records a response of `tokens` tokens whose last token came `elapsed` after
    /// its first.
    pub(super) fn record(&self, tokens: u64, elapsed: Duration) {
        let Some(gaps) = tokens.checked_sub(1).filter(|gaps| *gaps > 0) else {
            return;
        };
        let newest = elapsed.as_micros() as u64 / gaps;
        let previous = self.0.load(Ordering::Relaxed);
        let average = (previous * (AVERAGE_SAMPLES - 1) + newest) / AVERAGE_SAMPLES;
        self.0.store(average, Ordering::Relaxed);
    }

    /// Returns the predicted time to generate `tokens` tokens.
    pub(super) fn expected(&self, tokens: u32) -> Duration {
        Duration::from_micros(self.0.load(Ordering::Relaxed)) * tokens
    }
}
