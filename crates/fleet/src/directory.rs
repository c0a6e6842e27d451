//! The instances that a node may use.
//!
//! The directory follows entries in the platform's store. While the store is
//! away, entries may lapse although their instances live, and come back within
//! [`ABSENCE_GRACE`] of its return. An instance that a listing after such a
//! time no longer names is therefore kept for that long before it counts as
//! gone. A removal that the store reports as a change is honoured at once.

use crate::{AdapterName, InstanceId, ModelName, Now, ServiceName, WeightVersion, ZoneId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// How long an instance missing from a listing is kept; the platform's pages
/// name about two seconds for entries to come back.
pub const ABSENCE_GRACE: Duration = Duration::from_millis(2_200);

/// Whether an instance takes work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InstanceState {
    /// It does.
    Ready,
    /// It is leaving and takes no new work.
    Leaving,
}

/// A base model that an engine holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeldModel {
    /// The model.
    pub name: ModelName,
    /// Version of its weights.
    pub version: WeightVersion,
    /// Its adapters.
    pub adapters: BTreeMap<AdapterName, WeightVersion>,
}

/// An instance as it describes itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Instance {
    /// Its id; another start may have the same one.
    pub id: InstanceId,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: ZoneId,
    /// Calls that it works on at once.
    pub slots: u32,
    /// Whether it takes work.
    pub state: InstanceState,
    /// When this run of it began, in Unix milliseconds.
    pub born: u64,
    /// Base models, for an engine.
    pub models: Vec<HeldModel>,
}

/// What changed for the users of a directory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DirectoryChange {
    /// New, or started again: nothing of an earlier run holds.
    Started(InstanceId),
    /// Takes no new work any more.
    Leaving(InstanceId),
    /// Gone.
    Gone(InstanceId),
}

/// All known instances.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    instances: BTreeMap<InstanceId, Instance>,
    missing: BTreeMap<InstanceId, Now>,
}

impl Directory {
    /// Takes a whole listing. Instances that it does not name are gone after
    /// [`ABSENCE_GRACE`]; see [`Self::expire`].
    pub fn on_listing(&mut self, listed: Vec<Instance>, now: Now) -> Vec<DirectoryChange> {
        let named: BTreeSet<InstanceId> = listed.iter().map(|i| i.id.clone()).collect();
        for id in self.instances.keys() {
            if !named.contains(id) {
                self.missing.entry(id.clone()).or_insert(now);
            }
        }
        let mut changes = Vec::new();
        for instance in listed {
            changes.extend(self.on_entry(instance));
        }
        changes
    }

    /// Takes the entry of one instance.
    pub fn on_entry(&mut self, instance: Instance) -> Option<DirectoryChange> {
        self.missing.remove(&instance.id);
        let id = instance.id.clone();
        let known = self.instances.get(&id);
        if known.is_some_and(|k| k.born > instance.born) {
            return None;
        }
        let change = match known {
            Some(k) if k.born == instance.born && k.addr == instance.addr => {
                let left =
                    k.state == InstanceState::Ready && instance.state == InstanceState::Leaving;
                left.then(|| DirectoryChange::Leaving(id.clone()))
            }
            _ => Some(DirectoryChange::Started(id.clone())),
        };
        self.instances.insert(id, instance);
        change
    }

    /// Takes the removal of an entry.
    pub fn on_removed(&mut self, id: &str) -> Option<DirectoryChange> {
        self.missing.remove(id);
        self.instances.remove(id)?;
        Some(DirectoryChange::Gone(id.into()))
    }

    /// Drops the instances that have been missing for too long.
    pub fn expire(&mut self, now: Now) -> Vec<DirectoryChange> {
        let gone: Vec<InstanceId> = self
            .missing
            .iter()
            .filter(|(_, since)| now.saturating_sub(**since) >= ABSENCE_GRACE)
            .map(|(id, _)| id.clone())
            .collect();
        gone.iter().filter_map(|id| self.on_removed(id)).collect()
    }

    /// One instance.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Instance> {
        self.instances.get(id)
    }

    /// Instances of a service that take work.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Instance> {
        self.instances
            .values()
            .filter(move |i| &*i.service == service && i.state == InstanceState::Ready)
    }

    /// All instances.
    pub fn all(&self) -> impl Iterator<Item = &Instance> {
        self.instances.values()
    }
}
