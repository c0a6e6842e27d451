//! The share of one node in the fleet's retry budget.
//!
//! For each service the fleet may send, in any [`RetryLimits::window`], as many
//! repeats as a share of the calls, and a fixed allowance besides. Every node
//! keeps to the share of its own calls and an even part of the allowance, so
//! that all together keep to the whole without a word to each other.

use crate::{Now, ServiceName};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Part of the budget that is used; the rest covers repeats that instances
/// count and this node does not, such as those of a node that was restarted.
const USED_SHARE: f64 = 0.8;

/// Nodes that a fleet is taken to have until they have been counted.
const UNCOUNTED_NODES: usize = 24;

/// The fleet's budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Repeats for each call.
    pub ratio: f64,
    /// Sliding time over which repeats are counted.
    pub window: Duration,
    /// Repeats besides, of the whole fleet.
    pub allowance: f64,
}

/// One node's part of the budget.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    nodes: usize,
    services: BTreeMap<ServiceName, Window>,
}

#[derive(Clone, Debug, Default)]
struct Window {
    calls: VecDeque<Now>,
    repeats: VecDeque<Now>,
}

impl RetryBudget {
    /// A budget shared by nodes that have not been counted.
    #[must_use]
    pub fn new(limits: RetryLimits) -> Self {
        Self {
            limits,
            nodes: UNCOUNTED_NODES,
            services: BTreeMap::new(),
        }
    }

    /// Notes over how many nodes the allowance is spread.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = nodes.max(1);
    }

    /// Counts a call by its arrival.
    pub fn on_call(&mut self, service: &str, now: Now) {
        let window = self.limits.window;
        let counts = self.services.entry(service.into()).or_default();
        counts.calls.push_back(now);
        counts.forget(now, window);
    }

    /// Takes one repeat from the budget; answers whether there was one.
    pub fn take(&mut self, service: &str, now: Now) -> bool {
        let limits = self.limits;
        let share = limits.allowance / self.nodes as f64;
        let counts = self.services.entry(service.into()).or_default();
        counts.forget(now, limits.window);
        let most = USED_SHARE * (limits.ratio * counts.calls.len() as f64 + share);
        if counts.repeats.len() as f64 + 1.0 > most {
            return false;
        }
        counts.repeats.push_back(now);
        true
    }
}

impl Window {
    fn forget(&mut self, now: Now, window: Duration) {
        for times in [&mut self.calls, &mut self.repeats] {
            while times.front().is_some_and(|at| *at + window < now) {
                times.pop_front();
            }
        }
    }
}
