//! One node's part of the fleet's retry budget.
//!
//! The budget is kept per service. In any [`RetryLimits::window`] the fleet may
//! send retries up to a ratio of its calls plus a fixed allowance. Every node
//! keeps to that ratio of its own calls plus an equal part of the allowance, so
//! that the fleet stays within the budget without any coordination.

use crate::{Now, ServiceName};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Share of the budget that this node uses. The rest is a margin: the receiving
/// instances may count retries that this node no longer does, such as those it
/// sent before it restarted.
const USABLE_SHARE: f64 = 0.8;

/// Number of nodes assumed until the membership is known.
const DEFAULT_NODE_COUNT: usize = 24;

/// Limits of the fleet's retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries per call.
    pub ratio: f64,
    /// Sliding window over which calls and retries are counted.
    pub window: Duration,
    /// Retries per window that the whole fleet may send in addition to `ratio`.
    pub allowance: f64,
}

/// One node's retry budget, per service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    nodes: usize,
    services: BTreeMap<ServiceName, CallWindow>,
}

#[derive(Clone, Debug, Default)]
struct CallWindow {
    calls: VecDeque<Now>,
    retries: VecDeque<Now>,
}

impl RetryBudget {
    /// Creates a budget for a fleet whose number of nodes is not known yet.
    #[must_use]
    pub fn new(limits: RetryLimits) -> Self {
        Self {
            limits,
            nodes: DEFAULT_NODE_COUNT,
            services: BTreeMap::new(),
        }
    }

    /// Sets the number of nodes that share the allowance.
    pub fn set_node_count(&mut self, nodes: usize) {
        self.nodes = nodes.max(1);
    }

    /// Returns the number of nodes that share the allowance.
    #[must_use]
    pub const fn node_count(&self) -> usize {
        self.nodes
    }

    /// Counts a call that arrived at `now`.
    pub fn record_call(&mut self, service: &str, now: Now) {
        let window = self.limits.window;
        let recent = self.services.entry(service.into()).or_default();
        recent.calls.push_back(now);
        recent.prune(now, window);
    }

    /// Takes one retry from the budget; returns whether one was left.
    pub fn try_withdraw(&mut self, service: &str, now: Now) -> bool {
        let left = self.has_retry(service, now);
        if left {
            let recent = self.services.entry(service.into()).or_default();
            recent.retries.push_back(now);
        }
        left
    }

    /// Whether the budget has a retry left.
    pub fn has_retry(&mut self, service: &str, now: Now) -> bool {
        let limits = self.limits;
        let allowance_share = limits.allowance / self.nodes as f64;
        let recent = self.services.entry(service.into()).or_default();
        recent.prune(now, limits.window);
        let limit = USABLE_SHARE * (limits.ratio * recent.calls.len() as f64 + allowance_share);
        recent.retries.len() as f64 + 1.0 <= limit
    }
}

impl CallWindow {
    fn prune(&mut self, now: Now, window: Duration) {
        for times in [&mut self.calls, &mut self.retries] {
            while times.front().is_some_and(|at| *at + window < now) {
                times.pop_front();
            }
        }
    }
}
