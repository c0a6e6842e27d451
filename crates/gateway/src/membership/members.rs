//! Follows the nodes' keys: who coordinates this zone and the others.

use super::{NodeRecord, ZONES};
use crate::coordinator::{Command, CommandTx};
use crate::settings::GatewaySettings;
use crate::state::Shared;
use crate::sync::Follower;
use reedford_fleet::directory::Absence;
use reedford_store::{Change, ChangeKind, Entry};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Takes the nodes' keys.
#[derive(Debug)]
pub(crate) struct Members {
    pub(crate) cfg: Arc<GatewaySettings>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) commands: CommandTx,
}

impl Members {
    fn on_put(&self, key: &str, value: &[u8], revision: i64) {
        let mut state = self.shared.lock();
        let Some(zone) = key.strip_prefix(ZONES) else {
            return;
        };
        let record: NodeRecord = match serde_json::from_slice(value) {
            Ok(record) => record,
            Err(error) => {
                tracing::warn!(event = "coordinator_unreadable", key, %error);
                return;
            }
        };
        tracing::info!(event = "coordinator", zone, node = %record.node, fence = revision);
        if zone == &*self.cfg.zone {
            state.role.on_holder(record.holder(revision));
        } else {
            let holder = record.holder(revision);
            state.neighbours.insert(zone.into(), holder);
        }
    }

    fn on_delete(&self, key: &str) {
        let now = self.shared.now();
        let mut state = self.shared.lock();
        let Some(zone) = key.strip_prefix(ZONES) else {
            return;
        };
        tracing::info!(event = "coordinator_gone", zone);
        if zone == &*self.cfg.zone {
            state.role.on_vacant(now);
            self.shared.role_vacant.notify_one();
        } else {
            state.neighbours.remove(zone);
            state.zone_words.remove(zone);
        }
    }
}

impl Follower for Members {
    fn on_listing(&mut self, entries: Vec<Entry>, _absence: Absence) {
        let keys: BTreeSet<Box<str>> = entries.iter().map(|e| e.key.clone()).collect();
        for entry in &entries {
            self.on_put(&entry.key, &entry.value, entry.revision);
        }
        let mut gone: Vec<String> = {
            let state = self.shared.lock();
            let zones = state.neighbours.keys();
            zones.map(|zone| format!("{ZONES}{zone}")).collect()
        };
        gone.push(format!("{ZONES}{}", self.cfg.zone));
        for key in gone.iter().filter(|key| !keys.contains(key.as_str())) {
            self.on_delete(key);
        }
    }

    fn on_change(&mut self, change: Change) {
        match change.kind {
            ChangeKind::Put(value) => self.on_put(&change.key, &value, change.revision),
            ChangeKind::Delete => self.on_delete(&change.key),
        }
    }

    fn on_settled(&mut self) {
        self.commands.send(Command::Refresh);
    }
}
