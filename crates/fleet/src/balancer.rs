//! Load balancing for plain services: selects the least loaded instance and
//! prefers those in this node's availability zone.

use crate::{InstanceId, Now};
use std::collections::BTreeMap;
use std::time::Duration;

/// Amount added to the load factor, which is the number of calls per slot, of an
/// instance in another zone.
const REMOTE_ZONE_PENALTY: f64 = 0.34;
/// How long a reported load is used.
const REPORTED_LOAD_TTL: Duration = Duration::from_millis(1_500);

/// How long a machine's momentary slowdown is used; it may change many times a second.
const SLOWDOWN_TTL: Duration = Duration::from_millis(400);
/// Plausible range of it.
const SLOWDOWN_RANGE: (f64, f64) = (0.2, 20.0);

/// Load that an instance reports with its responses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedLoad {
    /// Calls that are running.
    pub running: u32,
    /// Calls that are queued.
    pub waiting: u32,
    /// Calls that the instance runs at once.
    pub slots: u32,
    /// How much longer work takes on its machine than usually, if it states that.
    pub slowdown: Option<f64>,
}

/// An instance that may be selected.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Id of the instance.
    pub id: &'a str,
    /// Whether it is in this node's availability zone.
    pub same_zone: bool,
    /// Calls that it runs at once.
    pub slots: u32,
}

/// Load by instance, from this node's calls and the instances' reports.
#[derive(Clone, Debug, Default)]
pub struct Balancer {
    loads: BTreeMap<InstanceId, InstanceLoad>,
}

#[derive(Clone, Copy, Debug, Default)]
struct InstanceLoad {
    /// Running calls of this node.
    own_calls: u32,
    /// Running and queued calls of other nodes, as of the last report.
    reported_calls: u32,
    /// How much longer work takes on its machine than usually, as of the last report.
    slowdown: Option<f64>,
    reported_at: Option<Now>,
}

impl Balancer {
    /// Returns the least loaded candidate; `draw` breaks ties.
    #[must_use]
    pub fn choose<'a>(&self, candidates: &[Candidate<'a>], draw: u64, now: Now) -> Option<&'a str> {
        let count = candidates.len().max(1);
        let start = (draw % count as u64) as usize;
        let rotated = candidates.iter().cycle().skip(start).take(candidates.len());
        rotated
            .min_by(|a, b| self.cost(a, now).total_cmp(&self.cost(b, now)))
            .map(|c| c.id)
    }

    /// Counts a call that was sent to an instance.
    pub fn on_sent(&mut self, id: &str) {
        self.loads.entry(id.into()).or_default().own_calls += 1;
    }

    /// Records that a call to an instance ended.
    pub fn on_ended(&mut self, id: &str) {
        if let Some(load) = self.loads.get_mut(id) {
            load.own_calls = load.own_calls.saturating_sub(1);
        }
    }

    /// Records the load that an instance reported with a response. The call of
    /// that response must still be counted as sent.
    pub fn on_load_report(&mut self, id: &str, reported: ReportedLoad, now: Now) {
        let load = self.loads.entry(id.into()).or_default();
        load.reported_calls = (reported.running + reported.waiting).saturating_sub(load.own_calls);
        load.slowdown = reported.slowdown;
        load.reported_at = Some(now);
    }

    /// Returns whether an instance has a slot free for a call of this node, which uses at
    /// most its share of the `slots` among `nodes` nodes.
    #[must_use]
    pub fn has_free_slot(&self, id: &str, slots: u32, nodes: usize, now: Now) -> bool {
        let load = self.loads.get(id).copied().unwrap_or_default();
        let calls = load.own_calls + load.other_calls(now);
        load.own_calls < slot_share(slots, nodes) && calls < slots.max(1)
    }

    /// Drops the load of an instance.
    pub fn forget(&mut self, id: &str) {
        self.loads.remove(id);
    }

    fn cost(&self, candidate: &Candidate<'_>, now: Now) -> f64 {
        let load = self.loads.get(candidate.id).copied().unwrap_or_default();
        let calls = load.own_calls + load.other_calls(now);
        let load_factor = f64::from(calls) / f64::from(candidate.slots.max(1));
        let slowdown = load.slowdown(now);
        // An idle instance on a slow machine is worse than an idle one elsewhere, too.
        load_factor * slowdown
            + (slowdown - 1.0).max(0.0) / f64::from(candidate.slots.max(1))
            + if candidate.same_zone {
                0.0
            } else {
                REMOTE_ZONE_PENALTY
            }
    }
}

impl InstanceLoad {
    /// How much longer work takes than usually; 1 if no recent report states it.
    fn slowdown(&self, now: Now) -> f64 {
        let is_fresh = |at| now.saturating_sub(at) < SLOWDOWN_TTL;
        let stated = self
            .slowdown
            .filter(|_| self.reported_at.is_some_and(is_fresh));
        stated.map_or(1.0, |slowdown| {
            slowdown.clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1)
        })
    }

    /// Running and queued calls of other nodes, as far as a recent report shows.
    fn other_calls(&self, now: Now) -> u32 {
        let is_fresh = |at| now.saturating_sub(at) < REPORTED_LOAD_TTL;
        if self.reported_at.is_some_and(is_fresh) {
            self.reported_calls
        } else {
            0
        }
    }
}

/// Returns a node's share of the slots of an instance, at least one.
#[must_use]
pub fn slot_share(slots: u32, nodes: usize) -> u32 {
    let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
    (slots / nodes.max(1)).max(1)
}
