//! Handles the entries by which instances register.

use super::{KeyHandler, StoreSync};
use crate::coordinator::Command;
use crate::dialect::{Dialect, StoredItem};
use reedford_fleet::directory::{Absence, DirectoryChange, Instance, InstanceState};
use reedford_fleet::{Era, InstanceId};
use reedford_store::{Change, ChangeKind, Listing};

#[derive(Debug)]
pub(super) struct InstanceEntries<'a, D, K> {
    pub(super) sync: &'a StoreSync<D, K>,
}

impl<D, K> InstanceEntries<'_, D, K>
where
    D: Dialect,
{
    fn read(&self, key: &str, value: &[u8]) -> Option<Instance> {
        match self.sync.dialect.parse_stored(key, value) {
            Ok(StoredItem::Instance(instance)) => Some(instance),
            Ok(_) => None,
            Err(error) => {
                tracing::warn!(event = "instance_unreadable", key, %error);
                None
            }
        }
    }

    fn apply(&self, changes: Vec<DirectoryChange>) {
        for change in &changes {
            self.sync.shared.on_directory_change(change);
        }
        let mut state = self.sync.shared.lock();
        for change in changes {
            match change {
                DirectoryChange::Started(instance) => {
                    state.health.forget(&instance);
                    state.balancer.forget(&instance);
                    let software = state.directory.get(&instance).map(|i| &i.software);
                    tracing::info!(event = "instance_started", %instance, ?software);
                }
                DirectoryChange::Leaving(instance) => {
                    tracing::info!(event = "instance_leaving", %instance, by = "store");
                }
                DirectoryChange::Removed(instance) => {
                    state.health.forget(&instance);
                    state.balancer.forget(&instance);
                    tracing::info!(event = "instance_gone", %instance);
                }
            }
        }
    }
}

impl<D, K> KeyHandler for InstanceEntries<'_, D, K>
where
    D: Dialect,
{
    fn on_listing(&mut self, listing: Listing, absence: Absence) {
        let listed: Vec<Instance> = listing
            .entries
            .iter()
            .filter_map(|entry| self.read(&entry.key, &entry.value))
            .collect();
        let ready = listed.iter().filter(|i| i.state == InstanceState::Ready);
        let ready: Vec<InstanceId> = match absence {
            Absence::Restored => ready.map(|i| i.id.clone()).collect(),
            Absence::Lapsed | Absence::Removed => Vec::new(),
        };
        let now = self.sync.shared.now();
        let mut state = self.sync.shared.lock();
        let changes = state.directory.on_listing(listed, absence, now);
        state.instances_listed = true;
        state.instances_listed_at.get_or_insert(now);
        let (outdated, copied): (Vec<InstanceId>, Vec<InstanceId>) = ready
            .into_iter()
            .partition(|id| state.directory.is_leaving_or_removed(id));
        drop(state);
        for instance in outdated {
            tracing::info!(event = "instance_outdated", %instance, era = %listing.era);
        }
        self.apply(changes);
        let mut state = self.sync.shared.lock();
        for instance in copied {
            state.health.on_copied(&instance);
        }
    }

    fn on_change(&mut self, change: Change, _era: Era) {
        let change = match change.kind {
            ChangeKind::Put(value) => {
                let Some(instance) = self.read(&change.key, &value) else {
                    return;
                };
                let now = self.sync.shared.now();
                let mut state = self.sync.shared.lock();
                state.health.on_written(&instance.id);
                state.directory.on_entry(instance, now)
            }
            ChangeKind::Delete => {
                let Some(id) = self.sync.dialect.instance_id(&change.key) else {
                    return;
                };
                let now = self.sync.shared.now();
                self.sync.shared.lock().directory.on_removed(id, now)
            }
        };
        self.apply(change.into_iter().collect());
    }

    fn on_batch_end(&mut self) {
        let now = self.sync.shared.now();
        let expired = self.sync.shared.lock().directory.expire(now);
        self.apply(expired);
        self.sync.shared.publish_departures();
        self.sync.commands.send(Command::Refresh);
    }
}
