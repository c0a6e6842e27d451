//! A token bucket that may be overdrawn.

use crate::Now;
use std::time::Duration;

/// Units that may be used at a rate, and the unused ones up to a capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Bucket {
    per_s: f64,
    capacity: f64,
    /// Units by which a call may overdraw it.
    overdraft: f64,
    oversized: Oversized,
    /// Units left at `updated`; negative while overdrawn.
    level: f64,
    updated: Now,
}

/// What happens to a call of more units than fit in a bucket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Oversized {
    /// It may be made when the bucket is full.
    WhenFull,
    /// It can't be made.
    Never,
}

impl Bucket {
    /// Creates an empty bucket.
    pub(super) const fn new(
        per_s: f64,
        capacity: f64,
        overdraft: f64,
        oversized: Oversized,
        now: Now,
    ) -> Self {
        Self {
            per_s,
            capacity,
            overdraft,
            oversized,
            level: 0.0,
            updated: now,
        }
    }

    /// Changes the rate, the capacity and the overdraft; what is left stays, up to the
    /// new capacity.
    pub(super) fn resize(&mut self, per_s: f64, capacity: f64, overdraft: f64, now: Now) {
        self.refill(now);
        self.per_s = per_s;
        self.capacity = capacity;
        self.overdraft = overdraft;
        self.level = self.level.min(capacity);
    }

    /// Takes units if there are enough.
    ///
    /// # Errors
    /// The time until there will be enough.
    pub(super) fn try_take(&mut self, units: f64, now: Now) -> Result<(), Duration> {
        self.refill(now);
        let missing = self.missing(units);
        if missing > 0.0 {
            return Err(self.time_for(missing));
        }
        self.level -= units;
        Ok(())
    }

    /// Takes units that were used already.
    pub(super) fn take_used(&mut self, units: f64, now: Now) {
        self.refill(now);
        self.level -= units;
    }

    /// Puts units back that were taken and not used.
    pub(super) fn put_back(&mut self, units: f64, now: Now) {
        self.refill(now);
        self.level = (self.level + units).min(self.capacity);
    }

    /// Returns the time until the level is at least `level`.
    pub(super) fn time_until(&self, level: f64, now: Now) -> Duration {
        let missing = level.min(self.capacity) - self.level(now);
        self.time_for(missing.max(0.0))
    }

    /// Returns the units that are left.
    pub(super) fn level(&self, now: Now) -> f64 {
        let elapsed = now.saturating_sub(self.updated);
        (self.level + self.per_s * elapsed.as_secs_f64()).min(self.capacity)
    }

    /// Returns the time in which `units` accrue.
    pub(super) fn time_for(&self, units: f64) -> Duration {
        if units <= 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(units / self.per_s).unwrap_or(Duration::MAX)
    }

    pub(super) const fn per_s(&self) -> f64 {
        self.per_s
    }

    pub(super) const fn overdraft(&self) -> f64 {
        self.overdraft
    }

    /// Returns the units that are missing for a call.
    fn missing(&self, units: f64) -> f64 {
        let needed = units - self.overdraft;
        match self.oversized {
            Oversized::WhenFull => needed.min(self.capacity) - self.level,
            Oversized::Never if needed > self.capacity => f64::INFINITY,
            Oversized::Never => needed - self.level,
        }
    }

    fn refill(&mut self, now: Now) {
        self.level = self.level(now);
        self.updated = self.updated.max(now);
    }
}
