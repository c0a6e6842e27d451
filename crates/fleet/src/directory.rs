//! The instances that a node may use.
//!
//! The directory mirrors entries in the platform's store. During an outage of
//! the store, entries may expire although their instances are running; they
//! reappear within [`ABSENCE_GRACE`] of the store's recovery. An instance that
//! is missing from the first listing after an outage is therefore kept for that
//! long before it is removed ([`Absence::Lapsed`]), even if it is missing from
//! further listings meanwhile. Any other instance that is missing from a listing,
//! and any that the store reports as removed, is removed at once.
//!
//! An instance that announced in a response that it is leaving is leaving, even
//! if its entry says that it is ready ([`crate::departures`]).
//!
//! A store that was restored from a copy may have forgotten entries, which are
//! kept in the same way, and may list instances that are gone or name one ready
//! that is leaving ([`Absence::Restored`]). An instance that was removed before
//! is then used again only after its entry was written anew.

use crate::departures::{DepartureSource, Departures, LeavingInstances};
use crate::stream_versions::VersionSets;
use crate::{
    AdapterName, InstanceId, ModelName, Now, ServiceName, SoftwareVersion, WeightVersion, ZoneId,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// How long an instance that is missing from the first listing after an outage of
/// the store is kept. According to the platform's documentation, entries reappear
/// within about two seconds.
pub const ABSENCE_GRACE: Duration = Duration::from_millis(2_200);

/// How long a software version is remembered after its last instance was removed,
/// or started again with another version.
const VERSION_RETENTION: Duration = Duration::from_secs(300);

/// How long a removal is remembered; peers learn of it within seconds.
const REMOVED_RETENTION: Duration = Duration::from_secs(30);

/// Limit on the announcements in [`Directory::unlisted_departures`].
const MAX_UNLISTED_DEPARTURES: usize = 128;
/// How long after a restore of the store an entry may be out of date; by then the
/// platform has removed those of instances that are gone.
const RESTORED_ENTRIES_DOUBTFUL: Duration = Duration::from_secs(10);

/// Whether an instance accepts calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InstanceState {
    /// Accepts calls.
    Ready,
    /// Shutting down; accepts no new calls.
    Leaving,
}

/// A base model that is loaded on an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeldModel {
    /// Name of the model.
    pub name: ModelName,
    /// Version of its weights.
    pub version: WeightVersion,
    /// Resident adapters with their versions.
    pub adapters: BTreeMap<AdapterName, WeightVersion>,
}

/// An instance as described by its entry in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Instance {
    /// Id; may be reused when the instance is restarted.
    pub id: InstanceId,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address that it listens on.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: ZoneId,
    /// Version of its software.
    pub software: SoftwareVersion,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Whether it accepts calls.
    pub state: InstanceState,
    /// Start time of this incarnation, in Unix milliseconds.
    pub born: u64,
    /// Loaded base models, if it is an engine.
    pub models: Vec<HeldModel>,
}

/// What it means that an instance is missing from a listing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Absence {
    /// The instance was removed.
    Removed,
    /// The store was unavailable, and the entry may have expired meanwhile.
    Lapsed,
    /// The store was restored from a copy, which may lack the entry. The listed
    /// entries may be out of date.
    Restored,
}

/// A change to the directory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DirectoryChange {
    /// New or restarted; what was known of an earlier incarnation is void.
    Started(InstanceId),
    /// No longer accepts new calls.
    Leaving(InstanceId),
    /// Removed.
    Removed(InstanceId),
}

/// All known instances.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    instances: BTreeMap<InstanceId, Instance>,
    missing_since: BTreeMap<InstanceId, Now>,
    /// Removed incarnations, kept for [`REMOVED_RETENTION`].
    removed: BTreeMap<InstanceId, Removal>,
    /// When the store was last listed after it had been restored from a copy.
    restored_at: Option<Now>,
    /// When an instance of a software version last ended, kept for
    /// [`VERSION_RETENTION`].
    ended_versions: BTreeMap<(ServiceName, SoftwareVersion), Now>,
    departures: Departures,
    /// Instances whose own entry says that they are leaving.
    listed_leaving: BTreeSet<InstanceId>,
}

/// The removal of an instance.
#[derive(Clone, Copy, Debug)]
struct Removal {
    at: Now,
    /// Start time of the incarnation, in Unix milliseconds.
    born: u64,
}

impl Directory {
    /// Applies a complete listing. Instances missing from it are removed at once
    /// or after [`ABSENCE_GRACE`], depending on `absence`; see [`Self::expire`].
    pub fn on_listing(
        &mut self,
        listed: Vec<Instance>,
        absence: Absence,
        now: Now,
    ) -> Vec<DirectoryChange> {
        let listed_ids: BTreeSet<InstanceId> = listed.iter().map(|i| i.id.clone()).collect();
        let absent = self.instances.keys().filter(|id| !listed_ids.contains(*id));
        let mut changes = Vec::new();
        for id in absent.cloned().collect::<Vec<_>>() {
            match absence {
                Absence::Lapsed | Absence::Restored => {
                    self.missing_since.entry(id).or_insert(now);
                }
                // Missing since the first listing after an outage: kept until
                // the grace period ends.
                Absence::Removed if self.missing_since.contains_key(&id) => {}
                Absence::Removed => changes.extend(self.on_removed(&id, now)),
            }
        }
        if absence == Absence::Restored {
            self.restored_at = Some(now);
        }
        for instance in listed {
            if !self.is_outdated(&instance, now) {
                changes.extend(self.on_entry(instance, now));
            }
        }
        changes
    }

    /// Whether a listed entry is of an incarnation that was removed before the
    /// store was restored. An entry that is written anew arrives as a change.
    fn is_outdated(&self, listed: &Instance, now: Now) -> bool {
        let removal = self.removed.get(&listed.id);
        removal
            .zip(self.restored_at)
            .is_some_and(|(removal, restored_at)| {
                removal.born == listed.born
                    && removal.at <= restored_at
                    && now < restored_at + RESTORED_ENTRIES_DOUBTFUL
            })
    }

    /// Adds or updates one instance. An incarnation that is leaving stays so,
    /// whatever its entry says.
    pub fn on_entry(&mut self, mut instance: Instance, now: Now) -> Option<DirectoryChange> {
        self.missing_since.remove(&instance.id);
        let id = instance.id.clone();
        let known = self.instances.get(&id);
        if known.is_some_and(|k| k.born > instance.born) {
            return None;
        }
        match instance.state {
            InstanceState::Ready => _ = self.listed_leaving.remove(&id),
            InstanceState::Leaving => _ = self.listed_leaving.insert(id.clone()),
        }
        self.departures.on_incarnation(&id, instance.born);
        if self.departures.covers(&id, instance.born) {
            instance.state = InstanceState::Leaving;
        }
        let change = match known {
            Some(k) if k.born == instance.born && k.addr == instance.addr => {
                let started_leaving =
                    k.state == InstanceState::Ready && instance.state == InstanceState::Leaving;
                if k.state == InstanceState::Leaving {
                    instance.state = InstanceState::Leaving;
                }
                started_leaving.then(|| DirectoryChange::Leaving(id.clone()))
            }
            _ => Some(DirectoryChange::Started(id.clone())),
        };
        self.removed.remove(&id);
        let software = instance.software.clone();
        if let Some(before) = self.instances.insert(id, instance)
            && before.software != software
        {
            self.record_end(before, now);
        }
        change
    }

    /// Records that the incarnation of an instance with the start time `born`
    /// announced that it is leaving. Returns whether this was not known.
    pub fn on_departure(&mut self, id: &str, born: u64, source: DepartureSource, now: Now) -> bool {
        let known = self.instances.get_mut(id);
        if known.as_ref().is_some_and(|k| k.born > born) {
            return false;
        }
        if let Some(known) = known {
            known.state = InstanceState::Leaving;
        }
        self.departures.record(id, born, source, now)
    }

    /// Returns the latest announcements of instances that are ready according to
    /// the store.
    #[must_use]
    pub fn unlisted_departures(&self) -> LeavingInstances {
        self.select_departures(|_| true)
    }

    /// Returns those of [`Self::unlisted_departures`] that this node received from
    /// the instances themselves.
    #[must_use]
    pub fn received_departures(&self) -> LeavingInstances {
        self.select_departures(|source| source == DepartureSource::Response)
    }

    fn select_departures<F>(&self, selects: F) -> LeavingInstances
    where
        F: Fn(DepartureSource) -> bool,
    {
        let listed_ready =
            |id: &str| self.instances.contains_key(id) && !self.listed_leaving.contains(id);
        let latest = self.departures.latest();
        latest
            .filter(|(id, _, source)| selects(*source) && listed_ready(id))
            .take(MAX_UNLISTED_DEPARTURES)
            .map(|(id, born, _)| (id.clone(), born))
            .collect()
    }

    /// Removes an instance.
    pub fn on_removed(&mut self, id: &str, now: Now) -> Option<DirectoryChange> {
        self.missing_since.remove(id);
        let removed = self.instances.remove(id)?;
        let born = removed.born;
        self.record_end(removed, now);
        self.listed_leaving.remove(id);
        self.removed.insert(id.into(), Removal { at: now, born });
        Some(DirectoryChange::Removed(id.into()))
    }

    /// Removes the instances that have been missing for [`ABSENCE_GRACE`].
    pub fn expire(&mut self, now: Now) -> Vec<DirectoryChange> {
        let expired: Vec<InstanceId> = self
            .missing_since
            .iter()
            .filter(|(_, since)| now.saturating_sub(**since) >= ABSENCE_GRACE)
            .map(|(id, _)| id.clone())
            .collect();
        self.removed
            .retain(|_, removal| now.saturating_sub(removal.at) < REMOVED_RETENTION);
        self.ended_versions
            .retain(|_, at| now.saturating_sub(*at) < VERSION_RETENTION);
        expired
            .iter()
            .filter_map(|id| self.on_removed(id, now))
            .collect()
    }

    /// Whether an instance is leaving or was removed. A coordinator that doesn't
    /// know this yet may still grant it. Returns false for an unknown instance,
    /// which may be new.
    #[must_use]
    pub fn is_leaving_or_removed(&self, id: &str) -> bool {
        match self.instances.get(id) {
            Some(instance) => instance.state == InstanceState::Leaving,
            None => self.removed.contains_key(id) || self.departures.contains(id),
        }
    }

    /// Returns an instance by its id.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Instance> {
        self.instances.get(id)
    }

    /// Returns the instances of a service that accept calls.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Instance> {
        self.instances
            .values()
            .filter(move |i| &*i.service == service && i.state == InstanceState::Ready)
    }

    /// Returns the software version of a service if all instances known since `since`
    /// had the same one.
    #[must_use]
    pub fn only_version(&self, service: &str, since: Now) -> Option<&SoftwareVersion> {
        let current = self.instances.values().filter(|i| &*i.service == service);
        let ended = self
            .ended_versions
            .iter()
            .filter(|((name, _), at)| &**name == service && **at >= since);
        let mut versions = current
            .map(|i| &i.software)
            .chain(ended.map(|((_, version), _)| version));
        let first = versions.next()?;
        versions.all(|version| version == first).then_some(first)
    }

    /// Returns the software versions of the instances known since `since`, by service.
    #[must_use]
    pub fn version_sets(&self, since: Now) -> VersionSets {
        let current = self.instances.values().map(|i| (&i.service, &i.software));
        let ended = self.ended_versions.iter().filter(|(_, at)| **at >= since);
        let ended = ended.map(|((service, version), _)| (service, version));
        // There are many instances and few versions.
        let pairs: BTreeSet<(&ServiceName, &SoftwareVersion)> = current.chain(ended).collect();
        let mut sets = VersionSets::new();
        for (service, version) in pairs {
            let versions = sets.entry(service.clone()).or_default();
            versions.insert(version.clone());
        }
        sets
    }

    fn record_end(&mut self, instance: Instance, now: Now) {
        let version = (instance.service, instance.software);
        self.ended_versions.insert(version, now);
    }

    /// Returns all instances.
    pub fn all(&self) -> impl Iterator<Item = &Instance> {
        self.instances.values()
    }
}
