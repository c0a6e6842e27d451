//! Periodic reads from the platform, and its list of instances.

use super::command::Event;
use super::state::Control;
use reedford_settings::ms;
use reedford_store::KvError;
use reedford_wire::instances::{InstanceList, InstanceState};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Interval at which the list of instances is read.
const INSTANCES_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which the revision of the rules is read.
const RULES_INTERVAL: Duration = Duration::from_secs(1);
/// Reads of the zone tables per lease time.
const TABLE_READS_PER_LEASE: u32 = 3;

impl Control {
    pub(super) fn poll_platform(&mut self) {
        let now = self.clock.now();
        let table_interval = ms(self.cfg.timeouts.lease_ms) / TABLE_READS_PER_LEASE;
        if self.periodic.table.start(now, table_interval) {
            self.read_tables();
        }
        if self.periodic.rules.start(now, RULES_INTERVAL) {
            self.read_rules();
        }
        if self.periodic.instances.start(now, INSTANCES_INTERVAL) {
            self.read_instances();
        }
    }

    pub(super) fn on_instances(&mut self, result: Result<InstanceList, KvError>) {
        self.periodic.instances.pending = false;
        let list = match result {
            Ok(list) => list,
            Err(error) => {
                tracing::debug!(event = "instances_read_failed", %error);
                return;
            }
        };
        let instances = list.instances.into_iter().map(|i| (i.id.clone(), i));
        let instances: BTreeMap<_, _> = instances.collect();
        if instances == self.instances {
            return;
        }
        self.instances = instances;
        self.outputs
            .instances
            .send_replace(Arc::new(self.instances.clone()));
        self.mark_leaving_workers();
    }

    /// Whether the platform's list has the instance `id` as live.
    pub(super) fn is_listed_live(&self, id: &str) -> bool {
        self.instances
            .get(id)
            .is_some_and(|i| i.state == InstanceState::Live)
    }

    fn read_instances(&mut self) {
        let clients = Arc::clone(&self.clients);
        self.metrics.record_platform_call("instances");
        self.tasks
            .spawn(async move { Event::Instances(clients.directory.read().await) });
    }

    /// Marks the workers that the platform no longer lists as live as leaving.
    fn mark_leaving_workers(&mut self) {
        let leaving = self.workers.keys().filter(|id| !self.is_listed_live(id));
        for worker in leaving.cloned().collect::<Vec<_>>() {
            if let Some(owned) = self.workers.get_mut(&worker) {
                tracing::info!(event = "worker_leaving", %worker);
                owned.scheduler.on_leaving();
            }
        }
    }
}
