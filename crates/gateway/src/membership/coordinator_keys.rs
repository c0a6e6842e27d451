//! Handles changes of the coordinators' keys, of this zone and the others.

use super::{NodeRecord, ROLE_LEASE_TTL, ZONE_PREFIX};
use crate::coordinator::{Command, CommandTx};
use crate::settings::GatewaySettings;
use crate::state::Shared;
use crate::sync::KeyHandler;
use reedford_fleet::Era;
use reedford_fleet::directory::Absence;
use reedford_store::{Change, ChangeKind, Listing};
use std::collections::BTreeSet;
use std::sync::Arc;

#[derive(Debug)]
pub(crate) struct CoordinatorKeys {
    pub(crate) cfg: Arc<GatewaySettings>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) commands: CommandTx,
}

impl CoordinatorKeys {
    fn on_put(&self, key: &str, value: &[u8], era: Era, revision: i64) {
        let now = self.shared.now();
        let mut state = self.shared.lock();
        let Some(zone) = key.strip_prefix(ZONE_PREFIX) else {
            return;
        };
        let record: NodeRecord = match serde_json::from_slice(value) {
            Ok(record) => record,
            Err(error) => {
                tracing::warn!(event = "coordinator_unreadable", key, %error);
                return;
            }
        };
        let node = record.node.clone();
        let key_era = record.era;
        let Some(holder) = record.holder(era, revision) else {
            tracing::warn!(event = "coordinator_past", zone, %node, %key_era, %era, revision);
            if zone == &*self.cfg.zone {
                let ttl = ROLE_LEASE_TTL.max(self.cfg.min_lease_ttl);
                state.role.on_past_holder(revision, ttl, now);
                self.shared.role_vacant.notify_one();
            } else {
                state.other_coordinators.remove(zone);
            }
            return;
        };
        tracing::info!(event = "coordinator", zone, %node, fence = holder.fence, %era);
        if zone == &*self.cfg.zone {
            state.role.on_holder(holder);
        } else {
            state.other_coordinators.insert(zone.into(), holder);
        }
        self.shared.holder_changed.notify_waiters();
    }

    fn on_delete(&self, key: &str) {
        let now = self.shared.now();
        let mut state = self.shared.lock();
        let Some(zone) = key.strip_prefix(ZONE_PREFIX) else {
            return;
        };
        tracing::info!(event = "coordinator_gone", zone);
        if zone == &*self.cfg.zone {
            state.role.on_vacant(now);
            self.shared.role_vacant.notify_one();
        } else {
            state.other_coordinators.remove(zone);
            state.zone_loads.remove(zone);
        }
    }
}

impl KeyHandler for CoordinatorKeys {
    fn on_listing(&mut self, listing: Listing, _absence: Absence) {
        self.shared.apply_era(&self.cfg);
        let Listing { era, entries, .. } = listing;
        let keys: BTreeSet<Box<str>> = entries.iter().map(|e| e.key.clone()).collect();
        for entry in &entries {
            self.on_put(&entry.key, &entry.value, era, entry.revision);
        }
        let mut known_keys: Vec<String> = {
            let state = self.shared.lock();
            let zones = state.other_coordinators.keys();
            zones.map(|zone| format!("{ZONE_PREFIX}{zone}")).collect()
        };
        known_keys.push(format!("{ZONE_PREFIX}{}", self.cfg.zone));
        for key in known_keys.iter().filter(|key| !keys.contains(key.as_str())) {
            self.on_delete(key);
        }
    }

    fn on_change(&mut self, change: Change, era: Era) {
        match change.kind {
            ChangeKind::Put(value) => self.on_put(&change.key, &value, era, change.revision),
            ChangeKind::Delete => self.on_delete(&change.key),
        }
    }

    fn on_batch_end(&mut self) {
        self.commands.send(Command::Refresh);
    }
}
