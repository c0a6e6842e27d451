//! The view of the workers for the traffic threads, and the summary of this
//! instance for its peers.

use super::state::{Control, OwnedWorker};
use reedford_core::lease::LeaseState;
use reedford_core::messages::{RecentRequests, Summary, WorkerSummary};
use reedford_core::placement::{ClusterView, WorkerView};
use reedford_core::{Now, WorkerId};
use reedford_settings::ms;
use std::sync::Arc;

/// Largest number of adapters whose recent requests a summary contains.
const MAX_RECENT_ADAPTERS: usize = 64;

impl Control {
    /// Publishes the known workers to the traffic threads and the metrics.
    pub(super) fn publish_view(&mut self) {
        let view = self.view();
        self.metrics.set_workers(view.workers.len());
        let owned = self.workers.keys().filter_map(|id| view.workers.get(id));
        for worker in owned.filter(|w| w.owner == self.me.instance) {
            self.metrics.set_worker(&worker.summary);
        }
        self.outputs.view.send_replace(Arc::new(view));
    }

    /// Returns the next summary to send to peers.
    pub(super) fn next_summary(&mut self) -> Summary {
        self.summaries_sent += 1;
        let now = self.clock.now();
        Summary {
            instance: self.me.instance.clone(),
            incarnation: self.me.incarnation,
            zone: self.me.zone.clone(),
            peers: self.me.peer_address,
            serial: self.summaries_sent,
            table: self.membership.table.sequence,
            revision: self.revision(),
            stopping: self.is_stopping(),
            workers: self.worker_summaries(now),
            recent: self.take_recent(),
            load_outlook: self.local_turn_wait(),
        }
    }

    /// Returns the adapters with the most requests since the last call, and resets
    /// the counts.
    fn take_recent(&mut self) -> Vec<RecentRequests> {
        let recent = std::mem::take(&mut self.recent).into_iter();
        let mut recent: Vec<RecentRequests> = recent
            .map(|(adapter, requests)| RecentRequests { adapter, requests })
            .collect();
        recent.sort_by_key(|r| std::cmp::Reverse(r.requests));
        recent.truncate(MAX_RECENT_ADAPTERS);
        recent
    }

    /// Returns the workers of this instance and of all peers with a recent summary.
    pub(super) fn view(&self) -> ClusterView {
        let now = self.clock.now();
        let mut view = ClusterView::default();
        for summary in self.worker_summaries(now) {
            let worker = WorkerView {
                owner: self.me.instance.clone(),
                owner_address: self.me.peer_address,
                zone: self.me.zone.clone(),
                summary,
            };
            view.workers.insert(worker.summary.worker.clone(), worker);
        }
        let failure_timeout = ms(self.cfg.timeouts.peer_failed_ms);
        for peer in self
            .membership
            .peer_states
            .values()
            .filter(|p| p.received_at + failure_timeout > now)
        {
            add_peer_workers(&mut view, &peer.summary);
        }
        view
    }

    fn worker_summaries(&self, now: Now) -> Vec<WorkerSummary> {
        let may_grant = self.membership.lease.state(now) > LeaseState::Lapsed;
        let workers = self.workers.iter();
        workers
            .filter_map(|(id, owned)| self.worker_summary(id, owned, may_grant, now))
            .collect()
    }

    fn worker_summary(
        &self,
        id: &WorkerId,
        owned: &OwnedWorker,
        may_grant: bool,
        now: Now,
    ) -> Option<WorkerSummary> {
        let instance = self.instances.get(id)?;
        let scheduler = &owned.scheduler;
        Some(WorkerSummary {
            worker: id.clone(),
            group: instance.group.clone(),
            address: instance.address,
            epoch: scheduler.epoch(),
            open: may_grant && scheduler.is_open(now),
            batch_limit: scheduler.batch_limit(),
            running: scheduler.running(),
            waiting: scheduler.waiting(),
            open_slots: scheduler.open_slots(),
            slot_cost: scheduler.slot_cost(&self.frequency, now),
            residents: scheduler.residents(),
            loading: scheduler.loading(),
        })
    }
}

/// Adds a peer's workers. If two instances report the same worker, the owner with
/// the higher epoch is kept.
fn add_peer_workers(view: &mut ClusterView, peer: &Summary) {
    for summary in &peer.workers {
        let known = view.workers.get(&summary.worker);
        if known.is_some_and(|k| k.summary.epoch >= summary.epoch) {
            continue;
        }
        let worker = WorkerView {
            owner: peer.instance.clone(),
            owner_address: peer.peers,
            zone: peer.zone.clone(),
            summary: summary.clone(),
        };
        view.workers.insert(summary.worker.clone(), worker);
    }
}
