//! Handles the keys that operators write: the configuration and the adapters'
//! versions.

use super::{KeyHandler, StoreSync};
use crate::coordinator::Command;
use crate::dialect::{Dialect, StoredItem};
use reedford_fleet::Era;
use reedford_fleet::config::{Configuration, RouteTable};
use reedford_fleet::directory::Absence;
use reedford_fleet::scheduler::AdapterKey;
use reedford_fleet::workspaces::Workspaces;
use reedford_store::{Change, ChangeKind, Listing};
use std::sync::Arc;

#[derive(Debug)]
pub(super) struct OperatorKeys<'a, D, K> {
    pub(super) sync: &'a StoreSync<D, K>,
}

impl<D, K> OperatorKeys<'_, D, K>
where
    D: Dialect,
{
    fn apply(&self, key: &str, value: &[u8]) {
        match self.sync.dialect.parse_stored(key, value) {
            Ok(StoredItem::Configuration(config)) => self.configure(*config),
            Ok(StoredItem::AdapterVersion {
                model,
                adapter,
                version,
            }) => {
                tracing::info!(event = "adapter_version", %model, %adapter, version);
                let key = AdapterKey { model, adapter };
                let mut state = self.sync.shared.lock();
                let known = state.versions.entry(key).or_insert(version);
                if *known > version {
                    let era = self.sync.shared.eras.newest();
                    tracing::warn!(event = "adapter_version_outdated", version, known, %era);
                }
                *known = (*known).max(version);
            }
            Ok(StoredItem::Instance(_)) => {}
            Err(error) => tracing::warn!(event = "operator_key_unreadable", key, %error),
        }
    }

    /// Adopts a configuration if it is newer than the current one.
    fn configure(&self, config: Configuration) {
        let version = config.version;
        let routes = config.routes.len();
        let now = self.sync.shared.now();
        let all = config.workspaces.as_ref().map_or(&[][..], Workspaces::all);
        let workspaces = all.len();
        let keys: usize = all.iter().map(|w| w.keys.len()).sum();
        let mut state = self.sync.shared.lock();
        let known = state.routes.as_ref().map(|r| r.config().version);
        if let Some(known) = known.filter(|known| *known >= version) {
            if known > version {
                let era = self.sync.shared.eras.newest();
                tracing::warn!(event = "configuration_outdated", version, known, %era);
            }
            return;
        }
        state.quotas.configure(all, now);
        state.routes = Some(Arc::new(RouteTable::new(config)));
        drop(state);
        tracing::info!(
            event = "configuration",
            version,
            routes,
            workspaces,
            keys,
            before = known.unwrap_or(0)
        );
    }
}

impl<D, K> KeyHandler for OperatorKeys<'_, D, K>
where
    D: Dialect,
{
    fn on_listing(&mut self, listing: Listing, _absence: Absence) {
        for entry in listing.entries {
            self.apply(&entry.key, &entry.value);
        }
    }

    fn on_change(&mut self, change: Change, _era: Era) {
        if let ChangeKind::Put(value) = change.kind {
            self.apply(&change.key, &value);
        }
    }

    fn on_batch_end(&mut self) {
        self.sync.commands.send(Command::Refresh);
    }
}
