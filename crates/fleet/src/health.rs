//! Leaves out instances that fail, by what calls saw of them.
//!
//! Health answers may be false either way, so that only calls count. An
//! instance is left out for a time that grows with each further failure. When
//! most instances of a service fail, the cause lies elsewhere and none of them
//! is left out.

use crate::{InstanceId, Now};
use std::collections::BTreeMap;
use std::time::Duration;

/// Weight of the newest outcome in the decayed share of failures.
const NEWEST: f64 = 0.15;
/// Share of failures from which an instance is left out.
const FAILING: f64 = 0.4;
/// How long it is left out the first time; doubles up to [`LONGEST`].
const FIRST: Duration = Duration::from_millis(800);
/// Longest time that an instance is left out.
const LONGEST: Duration = Duration::from_secs(4);

/// What a call tells of its instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Observed {
    /// It answered as it should.
    Good,
    /// It failed the call.
    Failed,
    /// It could not be reached, or its connection broke.
    Unreachable,
}

/// Outcomes by instance.
#[derive(Clone, Debug, Default)]
pub struct Health {
    instances: BTreeMap<InstanceId, Record>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    failing: f64,
    out_until: Now,
    times_out: u32,
}

impl Health {
    /// Notes an outcome. Answers whether the instance is left out from now on.
    pub fn observe(&mut self, id: &str, what: Observed, now: Now) -> bool {
        let record = self.instances.entry(id.into()).or_default();
        let failed = match what {
            Observed::Good => 0.0,
            Observed::Failed => 1.0,
            Observed::Unreachable => 2.0,
        };
        record.failing = (record.failing * (1.0 - NEWEST) + NEWEST * failed).min(1.0);
        if what == Observed::Good {
            if record.failing < FAILING / 2.0 {
                record.times_out = 0;
            }
            return false;
        }
        if record.failing < FAILING || now < record.out_until {
            return false;
        }
        let factor = 1 << record.times_out.min(3);
        record.out_until = now + (FIRST * factor).min(LONGEST);
        record.times_out += 1;
        // One more failure after the time leaves it out again.
        record.failing = FAILING;
        true
    }

    /// Whether the instance is left out at `now`.
    #[must_use]
    pub fn is_out(&self, id: &str, now: Now) -> bool {
        self.instances.get(id).is_some_and(|r| now < r.out_until)
    }

    /// Forgets an instance.
    pub fn forget(&mut self, id: &str) {
        self.instances.remove(id);
    }

    /// Of the candidates, those not left out; all when fewer than half are.
    pub fn usable<'a, I>(&self, candidates: I, now: Now) -> Vec<&'a str>
    where
        I: IntoIterator<Item = &'a str>,
    {
        let all: Vec<&str> = candidates.into_iter().collect();
        let good: Vec<&str> = all
            .iter()
            .copied()
            .filter(|id| !self.is_out(id, now))
            .collect();
        if good.len() * 2 < all.len() {
            all
        } else {
            good
        }
    }
}
