//! The instances that a node may use.
//!
//! The directory follows entries in the platform's store. While the store is
//! away, entries may lapse although their instances live, and come back within
//! [`ABSENCE_GRACE`] of its return. An instance that a listing after such a
//! time no longer names is therefore kept for that long before it counts as
//! gone ([`Absence::Lapsed`]). One that is missing from any other listing, or
//! that the store reports as removed, is gone at once.

use crate::{AdapterName, InstanceId, ModelName, Now, ServiceName, WeightVersion, ZoneId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// How long an instance missing from a listing is kept; the platform's pages
/// name about two seconds for entries to come back.
pub const ABSENCE_GRACE: Duration = Duration::from_millis(2_200);

/// How long a removal is remembered; other nodes learn of it within seconds.
const REMOVED_KEPT: Duration = Duration::from_secs(30);

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

/// What it means that a listing does not name an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Absence {
    /// The instance was removed.
    Gone,
    /// The store was away, and its entry may have lapsed meanwhile.
    Lapsed,
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
    /// When instances were removed, for a while.
    removed: BTreeMap<InstanceId, Now>,
}

impl Directory {
    /// Takes a whole listing. Instances that it does not name are gone at once
    /// or after [`ABSENCE_GRACE`]; see [`Self::expire`].
    pub fn on_listing(
        &mut self,
        listed: Vec<Instance>,
        absence: Absence,
        now: Now,
    ) -> Vec<DirectoryChange> {
        let named: BTreeSet<InstanceId> = listed.iter().map(|i| i.id.clone()).collect();
        let unnamed = self.instances.keys().filter(|id| !named.contains(*id));
        let mut changes = Vec::new();
        for id in unnamed.cloned().collect::<Vec<_>>() {
            match absence {
                Absence::Lapsed => {
                    self.missing.entry(id).or_insert(now);
                }
                Absence::Gone if self.missing.contains_key(&id) => {}
                Absence::Gone => changes.extend(self.on_removed(&id, now)),
            }
        }
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
        self.removed.remove(&id);
        self.instances.insert(id, instance);
        change
    }

    /// Takes the removal of an entry.
    pub fn on_removed(&mut self, id: &str, now: Now) -> Option<DirectoryChange> {
        self.missing.remove(id);
        self.instances.remove(id)?;
        self.removed.insert(id.into(), now);
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
        self.removed
            .retain(|_, at| now.saturating_sub(*at) < REMOVED_KEPT);
        gone.iter()
            .filter_map(|id| self.on_removed(id, now))
            .collect()
    }

    /// Whether an instance is leaving or was removed. Another node may not know
    /// yet; an instance that is not known here may be new.
    #[must_use]
    pub fn has_left(&self, id: &str) -> bool {
        match self.instances.get(id) {
            Some(instance) => instance.state == InstanceState::Leaving,
            None => self.removed.contains_key(id),
        }
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
