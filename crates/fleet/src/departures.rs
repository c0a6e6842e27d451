//! Instances that announced in a response that they are leaving.
//!
//! An announcement holds for one incarnation of the instance, whatever its entry
//! in the store says, until a later incarnation is seen. It outlives the entry,
//! which may be removed and reappear.

use crate::{InstanceId, Now};
use std::collections::BTreeMap;

/// Limit on remembered announcements; the oldest is dropped beyond it.
const MAX_DEPARTURES: usize = 1_024;

/// Ids of instances with the start times of the incarnations that are leaving, as
/// nodes pass them on.
pub type LeavingInstances = BTreeMap<InstanceId, u64>;

/// How a node learned that an instance is leaving.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DepartureSource {
    /// From a response of the instance to this node.
    Response,
    /// From another node.
    Node,
}

impl DepartureSource {
    /// Returns the name used in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Response => "response",
            Self::Node => "node",
        }
    }
}

/// Announcements by instance.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    by_instance: BTreeMap<InstanceId, Departure>,
}

#[derive(Clone, Copy, Debug)]
struct Departure {
    born: u64,
    source: DepartureSource,
    announced_at: Now,
}

impl Departures {
    /// Records that the incarnation with the start time `born` is leaving. Returns
    /// whether this was not known.
    pub fn record(&mut self, id: &str, born: u64, source: DepartureSource, now: Now) -> bool {
        if self.covers(id, born) {
            return false;
        }
        if self.by_instance.len() >= MAX_DEPARTURES && !self.by_instance.contains_key(id) {
            self.drop_oldest();
        }
        let departure = Departure {
            born,
            source,
            announced_at: now,
        };
        self.by_instance.insert(id.into(), departure);
        true
    }

    /// Drops the announcement of an earlier incarnation than `born`.
    pub fn on_incarnation(&mut self, id: &str, born: u64) {
        if self.by_instance.get(id).is_some_and(|d| d.born < born) {
            self.by_instance.remove(id);
        }
    }

    /// Whether the incarnation with the start time `born`, or a later one, announced
    /// that it is leaving.
    #[must_use]
    pub fn covers(&self, id: &str, born: u64) -> bool {
        self.by_instance.get(id).is_some_and(|d| d.born >= born)
    }

    /// Whether an incarnation of the instance announced that it is leaving.
    #[must_use]
    pub fn contains(&self, id: &str) -> bool {
        self.by_instance.contains_key(id)
    }

    /// Returns the announcements, the latest first.
    pub fn latest(&self) -> impl Iterator<Item = (&InstanceId, u64, DepartureSource)> {
        let mut latest: Vec<_> = self.by_instance.iter().collect();
        latest.sort_by_key(|(_, d)| std::cmp::Reverse(d.announced_at));
        latest.into_iter().map(|(id, d)| (id, d.born, d.source))
    }

    fn drop_oldest(&mut self) {
        let oldest = self.by_instance.iter().min_by_key(|(_, d)| d.announced_at);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.by_instance.remove(&id);
        }
    }
}
