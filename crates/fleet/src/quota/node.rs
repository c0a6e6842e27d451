//! What a node keeps of the workspaces' limits.

use super::bucket::{Bucket, Oversized};
use super::{QuotaTolerance, ZONE_SLACK_SHARE};
use crate::Now;
use crate::workspaces::{CallLimit, Charge, Workspace, WorkspaceName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time without a confirmed report after which a node admits calls only from its
/// reserve.
const MAX_UNREPORTED: Duration = Duration::from_secs(2);
/// Retry delay of a call that the node can't charge; a coordinator is found in that time.
const UNCHARGED_RETRY_AFTER: Duration = Duration::from_millis(700);

/// Calls that a node admitted, and those that did not run, in units by workspace.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// Units of calls that were admitted.
    pub used: Vec<Charge>,
    /// Units that were charged to calls that did not run.
    pub returned: Vec<Charge>,
}

/// Why a node refuses a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NodeRefusal {
    /// The workspace has used up its limit; it has room again after this time.
    Limit(Duration),
    /// The node doesn't know whether there is room. A retry may reach another one.
    Unknown(Duration),
}

/// Charges of a node's calls that no coordinator placed.
#[derive(Clone, Debug)]
pub struct NodeQuotas {
    tolerance: QuotaTolerance,
    limits: BTreeMap<WorkspaceName, CallLimit>,
    used: BTreeMap<WorkspaceName, u64>,
    returned: BTreeMap<WorkspaceName, u64>,
    /// Until when a workspace's calls are refused.
    refused_until: BTreeMap<WorkspaceName, Now>,
    /// When the oldest call was admitted that is not reported yet.
    unreported_since: Option<Now>,
    reserves: BTreeMap<WorkspaceName, Bucket>,
    /// Nodes that share the reserve; `None` until they were counted.
    nodes: Option<usize>,
}

impl Usage {
    /// Whether there is nothing to report.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.used.is_empty() && self.returned.is_empty()
    }
}

impl NodeQuotas {
    /// Creates a record without limits.
    #[must_use]
    pub const fn new(tolerance: QuotaTolerance) -> Self {
        Self {
            tolerance,
            limits: BTreeMap::new(),
            used: BTreeMap::new(),
            returned: BTreeMap::new(),
            refused_until: BTreeMap::new(),
            unreported_since: None,
            reserves: BTreeMap::new(),
            nodes: None,
        }
    }

    /// Applies the limits of a configuration.
    pub fn configure(&mut self, workspaces: &[Workspace], now: Now) {
        let limited = workspaces.iter().filter_map(|w| Some((w, w.limit?)));
        self.limits = limited.map(|(w, limit)| (w.name.clone(), limit)).collect();
        self.refused_until
            .retain(|name, _| self.limits.contains_key(name));
        self.resize_reserves(now);
    }

    /// Sets the number of nodes that share the reserve.
    pub fn set_node_count(&mut self, nodes: usize, now: Now) {
        if self.nodes != Some(nodes) {
            self.nodes = Some(nodes);
            self.resize_reserves(now);
        }
    }

    /// Returns what a call counts as; `None` if its workspace has no limit.
    #[must_use]
    pub fn charge(&self, workspace: &str, tokens: Option<u64>) -> Option<Charge> {
        let limit = self.limits.get(workspace)?;
        Some(Charge {
            workspace: workspace.into(),
            units: limit.cost(tokens),
        })
    }

    /// Admits a call that no coordinator places, and records its charge.
    ///
    /// # Errors
    /// When the limit is used up, or the node reaches no coordinator and has used up its
    /// reserve.
    pub fn admit(&mut self, charge: &Charge, now: Now) -> Result<(), NodeRefusal> {
        if let Some(until) = self.refused_until.get(&charge.workspace)
            && now < *until
        {
            return Err(NodeRefusal::Limit(*until - now));
        }
        let unreported = self.unreported_since;
        if unreported.is_some_and(|since| now.saturating_sub(since) > MAX_UNREPORTED) {
            self.take_reserve(charge, now)?;
        }
        *self.used.entry(charge.workspace.clone()).or_default() += charge.units;
        self.unreported_since.get_or_insert(now);
        Ok(())
    }

    /// Takes the charge of a call from the node's own reserve.
    ///
    /// # Errors
    /// When the reserve is used up.
    pub fn take_reserve(&mut self, charge: &Charge, now: Now) -> Result<(), NodeRefusal> {
        let Some(reserve) = self.reserves.get_mut(&charge.workspace) else {
            return Err(NodeRefusal::Unknown(UNCHARGED_RETRY_AFTER));
        };
        let taken = reserve.try_take(charge.units as f64, now);
        taken.map_err(|_wait| NodeRefusal::Unknown(UNCHARGED_RETRY_AFTER))
    }

    /// Records that a charged call did not run.
    pub fn put_back(&mut self, charge: &Charge) {
        match self.used.get_mut(&charge.workspace) {
            Some(used) if *used >= charge.units => *used -= charge.units,
            Some(_) | None => {
                *self.returned.entry(charge.workspace.clone()).or_default() += charge.units;
            }
        }
    }

    /// Whether there is anything to report.
    #[must_use]
    pub fn has_unreported(&self) -> bool {
        !self.used.is_empty() || !self.returned.is_empty()
    }

    /// Takes what has to be reported to a coordinator.
    pub fn take_usage(&mut self) -> Usage {
        let charges = |units: BTreeMap<WorkspaceName, u64>| {
            let nonzero = units.into_iter().filter(|(_, units)| *units > 0);
            nonzero
                .map(|(workspace, units)| Charge { workspace, units })
                .collect()
        };
        Usage {
            used: charges(std::mem::take(&mut self.used)),
            returned: charges(std::mem::take(&mut self.returned)),
        }
    }

    /// Records that a coordinator has charged a report, and for how long it wants calls
    /// of workspaces refused.
    pub fn on_reported<I>(&mut self, refused: I, now: Now)
    where
        I: IntoIterator<Item = (WorkspaceName, Duration)>,
    {
        self.unreported_since = (!self.used.is_empty()).then_some(now);
        for (workspace, wait) in refused {
            if wait.is_zero() {
                self.refused_until.remove(&workspace);
            } else {
                let until = now.saturating_add(wait);
                self.refused_until.insert(workspace, until);
            }
        }
    }

    /// Keeps the charges of a report that no coordinator has confirmed. What it would
    /// have returned is lost, because it may have been returned already.
    pub fn on_unreported(&mut self, usage: Usage) {
        for charge in usage.used {
            *self.used.entry(charge.workspace).or_default() += charge.units;
        }
    }

    fn resize_reserves(&mut self, now: Now) {
        let Some(nodes) = self.nodes else {
            self.reserves.clear();
            return;
        };
        let part = 1.0 / nodes.max(1) as f64;
        let overdraft = self.tolerance.slack * (1.0 - ZONE_SLACK_SHARE) * part;
        let mut reserves = BTreeMap::new();
        for (name, limit) in &self.limits {
            let per_s = limit.per_s * self.tolerance.overshoot * part;
            let capacity = limit.burst * self.tolerance.overshoot * part;
            let reserve = match self.reserves.remove(name) {
                Some(mut reserve) => {
                    reserve.resize(per_s, capacity, overdraft, now);
                    reserve
                }
                None => Bucket::new(per_s, capacity, overdraft, Oversized::Never, now),
            };
            reserves.insert(name.clone(), reserve);
        }
        self.reserves = reserves;
    }
}
