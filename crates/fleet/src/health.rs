//! Outlier ejection: excludes failing instances by the outcomes of their calls.
//!
//! Health checks may report a healthy instance as failed, or a failed one as
//! healthy, so only the outcomes of calls count. An instance is ejected for a
//! time that grows with each further ejection. When most instances of a service
//! fail, the cause lies elsewhere and none of them is excluded.
//!
//! An instance that is known only from a restored copy of the store may be gone.
//! It is ejected by the first call that does not reach it, until its entry is
//! written or the platform has had the time to remove it.

use crate::{InstanceId, Now};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Weight of the newest outcome in the moving average of failures.
const SAMPLE_WEIGHT: f64 = 0.15;
/// Moving average of failures at or above which an instance is ejected.
const EJECTION_THRESHOLD: f64 = 0.4;
/// Duration of the first ejection; doubles up to [`MAX_EJECTION`].
const BASE_EJECTION: Duration = Duration::from_millis(800);
/// Maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(4);

/// Duration of the ejection of an instance that is known only from a copy; by then
/// the platform has removed the entries of instances that are gone.
const COPIED_EJECTION: Duration = Duration::from_secs(10);

/// Outcome of a call, as evidence of its instance's health.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The instance responded as expected.
    Good,
    /// The instance failed the call.
    Failed,
    /// The instance could not be reached, or its connection broke.
    Unreachable,
}

/// Moving average of failures and ejection state by instance.
#[derive(Clone, Debug, Default)]
pub struct Health {
    instances: BTreeMap<InstanceId, InstanceHealth>,
    /// Instances that are known only from a restored copy of the store.
    copied: BTreeSet<InstanceId>,
}

#[derive(Clone, Copy, Debug, Default)]
struct InstanceHealth {
    failure_share: f64,
    ejected_until: Now,
    /// Ejections since the failures last fell below half of the threshold.
    ejections: u32,
}

impl Health {
    /// Records the outcome of a call. Returns whether it ejects the instance.
    pub fn record(&mut self, id: &str, outcome: CallOutcome, now: Now) -> bool {
        let is_gone = outcome == CallOutcome::Unreachable && self.copied.contains(id);
        let record = self.instances.entry(id.into()).or_default();
        if is_gone {
            record.ejected_until = now + COPIED_EJECTION;
            return true;
        }
        let failure = match outcome {
            CallOutcome::Good => 0.0,
            CallOutcome::Failed => 1.0,
            // Counts as two failures, so that two in a row eject the instance.
            CallOutcome::Unreachable => 2.0,
        };
        record.failure_share =
            (record.failure_share * (1.0 - SAMPLE_WEIGHT) + SAMPLE_WEIGHT * failure).min(1.0);
        if outcome == CallOutcome::Good {
            self.copied.remove(id);
            if record.failure_share < EJECTION_THRESHOLD / 2.0 {
                record.ejections = 0;
            }
            return false;
        }
        if record.failure_share < EJECTION_THRESHOLD || now < record.ejected_until {
            return false;
        }
        let factor = 1 << record.ejections.min(3);
        record.ejected_until = now + (BASE_EJECTION * factor).min(MAX_EJECTION);
        record.ejections += 1;
        // One more failure after the ejection ejects it again.
        record.failure_share = EJECTION_THRESHOLD;
        true
    }

    /// Whether the instance is ejected at `now`.
    #[must_use]
    pub fn is_ejected(&self, id: &str, now: Now) -> bool {
        self.instances
            .get(id)
            .is_some_and(|r| now < r.ejected_until)
    }

    /// Records that an instance is known only from a restored copy of the store.
    pub fn on_copied(&mut self, id: &str) {
        self.copied.insert(id.into());
    }

    /// Records that an instance wrote its entry. If it was known only from a copy,
    /// its ejection ends.
    pub fn on_written(&mut self, id: &str) {
        if self.copied.remove(id) {
            self.instances.remove(id);
        }
    }

    /// Drops all failures, which were those of this node's links.
    pub fn forgive(&mut self) {
        self.instances.clear();
    }

    /// Drops the record of an instance.
    pub fn forget(&mut self, id: &str) {
        self.instances.remove(id);
        self.copied.remove(id);
    }

    /// Returns the candidates that are not ejected, or all of them when those
    /// are fewer than half.
    pub fn usable<'a, I>(&self, candidates: I, now: Now) -> Vec<&'a str>
    where
        I: IntoIterator<Item = &'a str>,
    {
        let all: Vec<&str> = candidates.into_iter().collect();
        let healthy: Vec<&str> = all
            .iter()
            .copied()
            .filter(|id| !self.is_ejected(id, now))
            .collect();
        if healthy.len() * 2 < all.len() {
            all
        } else {
            healthy
        }
    }
}
