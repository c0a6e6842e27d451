//! Request counts of adapters, with exponential decay.

use crate::ids::Now;
use std::collections::BTreeMap;
use std::time::Duration;

/// Adapters whose decayed count falls below this are dropped.
const MIN_COUNT: f64 = 0.01;

/// Decayed request counts by adapter.
#[derive(Clone, Debug)]
pub struct Frequency {
    half_life: Duration,
    counts: BTreeMap<Box<str>, DecayedCount>,
}

#[derive(Clone, Copy, Debug)]
struct DecayedCount {
    value: f64,
    updated: Now,
}

impl Frequency {
    /// Creates an empty set of counts that halve every `half_life`.
    #[must_use]
    pub fn new(half_life: Duration) -> Self {
        Self {
            half_life,
            counts: BTreeMap::new(),
        }
    }

    /// Adds `requests` to the adapter's count.
    pub fn record(&mut self, adapter: &str, requests: u32, now: Now) {
        let value = self.count(adapter, now) + f64::from(requests);
        self.counts.insert(
            adapter.into(),
            DecayedCount {
                value,
                updated: now,
            },
        );
    }

    /// Returns the adapter's count, decayed to `now`.
    #[must_use]
    pub fn count(&self, adapter: &str, now: Now) -> f64 {
        self.counts
            .get(adapter)
            .map_or(0.0, |count| self.decayed(*count, now))
    }

    /// Drops adapters whose decayed count is close to zero.
    pub fn prune(&mut self, now: Now) {
        let half_life = self.half_life;
        self.counts
            .retain(|_, count| decayed(*count, now, half_life) >= MIN_COUNT);
    }

    /// Returns the number of adapters with a count.
    #[must_use]
    pub fn len(&self) -> usize {
        self.counts.len()
    }

    /// Returns whether no adapter has a count.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    fn decayed(&self, count: DecayedCount, now: Now) -> f64 {
        decayed(count, now, self.half_life)
    }
}

fn decayed(count: DecayedCount, now: Now, half_life: Duration) -> f64 {
    let age = now.saturating_sub(count.updated).as_secs_f64();
    count.value * (-age / half_life.as_secs_f64()).exp2()
}
