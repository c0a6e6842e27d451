//! A node's term as coordinator.

use reedford_fleet::Now;
use reedford_fleet::config::{ConfigVersion, Configuration};
use reedford_fleet::ownership::Fence;
use reedford_fleet::quota::ZoneQuotas;
use reedford_fleet::scheduler::{PlacementId, Scheduler};
use reedford_fleet::workspaces::{Charge, Workspaces};
use std::collections::{BTreeMap, BTreeSet};

/// A period during which this node is the coordinator.
#[derive(Debug)]
pub(super) struct Term {
    pub(super) fence: Fence,
    pub(super) scheduler: Scheduler,
    /// Whether scheduling is paused because the lease may have ended.
    pub(super) paused: bool,
    pub(super) quotas: ZoneQuotas,
    /// Charges of calls that are not granted yet.
    pub(super) charges: BTreeMap<PlacementId, Charge>,
    /// Configuration whose limits apply.
    limits_version: Option<ConfigVersion>,
    pub(super) next_quota_log: Now,
}

impl Term {
    pub(super) const fn new(fence: Fence, scheduler: Scheduler, quotas: ZoneQuotas) -> Self {
        Self {
            fence,
            scheduler,
            paused: false,
            quotas,
            charges: BTreeMap::new(),
            limits_version: None,
            next_quota_log: Now::ZERO,
        }
    }

    /// Applies the workspaces' limits of a configuration.
    pub(super) fn apply_limits(&mut self, cfg: &Configuration, now: Now) {
        if self.limits_version == Some(cfg.version) {
            return;
        }
        self.limits_version = Some(cfg.version);
        let workspaces = cfg.workspaces.as_ref().map_or(&[][..], Workspaces::all);
        self.quotas.configure(workspaces, now);
        let limited = workspaces.iter().filter_map(|w| Some((w, w.limit?)));
        let weights: BTreeMap<_, _> = limited
            .map(|(w, limit)| (w.name.clone(), limit.per_s))
            .collect();
        if !workspaces.is_empty() {
            let priorities: BTreeSet<Option<u8>> = workspaces.iter().map(|w| w.priority).collect();
            tracing::info!(
                event = "limits_applied",
                version = cfg.version,
                workspaces = workspaces.len(),
                limited = weights.len(),
                per_s = weights.values().sum::<f64>() as u64,
                ?priorities
            );
        }
        self.scheduler.set_weights(weights);
    }
}
