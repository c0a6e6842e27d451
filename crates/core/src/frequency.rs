//! How often adapters are asked for, with exponential decay.

use crate::ids::Now;
use std::collections::BTreeMap;
use std::time::Duration;

/// Scores below this are forgotten.
const FORGET_BELOW: f64 = 0.01;

/// Decayed request counts.
#[derive(Clone, Debug)]
pub struct Frequency {
    half_life: Duration,
    counts: BTreeMap<Box<str>, Count>,
}

#[derive(Clone, Copy, Debug)]
struct Count {
    score: f64,
    at: Now,
}

impl Frequency {
    /// Counts that halve in `half_life`.
    #[must_use]
    pub fn new(half_life: Duration) -> Self {
        Self {
            half_life,
            counts: BTreeMap::new(),
        }
    }

    /// Counts requests.
    pub fn record(&mut self, adapter: &str, requests: u32, now: Now) {
        let score = self.score(adapter, now) + f64::from(requests);
        self.counts.insert(adapter.into(), Count { score, at: now });
    }

    /// The decayed count.
    #[must_use]
    pub fn score(&self, adapter: &str, now: Now) -> f64 {
        self.counts
            .get(adapter)
            .map_or(0.0, |count| self.decayed(*count, now))
    }

    /// Forgets adapters that are hardly asked for.
    pub fn prune(&mut self, now: Now) {
        let half_life = self.half_life;
        self.counts
            .retain(|_, count| decayed(*count, now, half_life) >= FORGET_BELOW);
    }

    /// Number of adapters remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.counts.len()
    }

    /// Whether no adapter is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    fn decayed(&self, count: Count, now: Now) -> f64 {
        decayed(count, now, self.half_life)
    }
}

fn decayed(count: Count, now: Now, half_life: Duration) -> f64 {
    let age = now.saturating_sub(count.at).as_secs_f64();
    count.score * (-age / half_life.as_secs_f64()).exp2()
}
