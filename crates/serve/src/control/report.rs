//! The status report for operators.

use super::state::{Control, send_reply};
use crate::operators::InstanceReport;
use reedford_core::lease::LeaseState;
use reedford_core::placement::{ClusterView, WorkerView};
use reedford_core::{AdapterVersion, Now};
use reedford_operator::{AdapterStatus, InstanceStatus, LeaseStatus, WorkerStatus};
use std::collections::BTreeMap;
use tokio::sync::oneshot;

impl Control {
    pub(super) fn on_report(&self, reply: oneshot::Sender<InstanceReport>) {
        let view = self.view();
        let report = InstanceReport {
            status: self.status(&view),
            adapters: self.adapters(&view),
        };
        send_reply(reply, report);
    }

    fn status(&self, view: &ClusterView) -> InstanceStatus {
        let now = self.clock.now();
        InstanceStatus {
            instance: self.me.instance.clone(),
            zone: self.me.zone.clone(),
            ready: self.rules.is_some() && !self.is_stopping(),
            revision: self.revision(),
            members: self.alive_members(now).into_iter().collect(),
            workers: view.workers.values().map(worker_status).collect(),
            lease: self.lease_status(now),
            requests_running: self.metrics.requests_running(),
        }
    }

    fn lease_status(&self, now: Now) -> LeaseStatus {
        let lease = &self.membership.lease;
        if lease.state(now) != LeaseState::Held {
            return LeaseStatus::Lapsed;
        }
        let left = lease.proved_until().unwrap_or(now).saturating_sub(now);
        LeaseStatus::Held {
            left_ms: left.as_millis() as u64,
        }
    }

    /// Returns the adapters on all known workers. Waiting requests are known only
    /// for workers that this instance owns.
    fn adapters(&self, view: &ClusterView) -> Vec<AdapterStatus> {
        let mut adapters: BTreeMap<AdapterVersion, AdapterStatus> = BTreeMap::new();
        for (id, worker) in &view.workers {
            for target in &worker.summary.residents {
                let status = adapters
                    .entry(target.clone())
                    .or_insert_with(|| empty_status(target));
                status.workers.push(id.clone());
            }
        }
        for owned in self.workers.values() {
            for (target, waiting) in owned.scheduler.waiting_by_target() {
                let status = adapters
                    .entry(target.clone())
                    .or_insert_with(|| empty_status(&target));
                status.waiting += waiting;
            }
        }
        adapters.into_values().collect()
    }
}

fn empty_status(target: &AdapterVersion) -> AdapterStatus {
    AdapterStatus {
        adapter: target.adapter.clone(),
        version: target.version.clone(),
        workers: Vec::new(),
        waiting: 0,
    }
}

fn worker_status(worker: &WorkerView) -> WorkerStatus {
    let summary = &worker.summary;
    WorkerStatus {
        worker: summary.worker.clone(),
        zone: worker.zone.clone(),
        owner: Some(worker.owner.clone()),
        epoch: summary.epoch,
        resident: summary
            .residents
            .iter()
            .map(|t| t.to_string().into())
            .collect(),
        running: summary.running,
        waiting: summary.waiting,
        free_slots: summary.open_slots,
    }
}
