//! The rules in force, as typed values.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Name of an adapter.
pub type AdapterName = Box<str>;
/// Name of a version of an adapter.
pub type VersionName = Box<str>;
/// Name of a group of targets.
pub type GroupName = Box<str>;
/// Name of a plain service.
pub type ServiceName = Box<str>;

/// All rules of one revision.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Rules {
    /// Groups of model engines.
    pub groups: BTreeMap<GroupName, GroupRule>,
    /// Adapters that callers may name.
    pub adapters: BTreeMap<AdapterName, AdapterRule>,
    /// Plain services.
    pub services: BTreeMap<ServiceName, ServiceRule>,
    /// Limits on the weight store.
    pub loads: LoadsRule,
    /// Limits on requests.
    pub limits: BTreeMap<LimitScope, LimitRule>,
}

/// A group of model engines that share one base model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GroupRule {
    /// The base model.
    pub base: Box<str>,
    /// What the group favours when the two measures disagree.
    pub objective: Objective,
    /// How a resident adapter is chosen for eviction.
    pub eviction: Eviction,
    /// Which load goes next.
    pub load_ordering: LoadOrdering,
    /// How a worker is chosen for an adapter.
    pub placement: Placement,
    /// Whether requests that can't end in time are refused at once.
    pub admission: Admission,
}

/// What a group favours.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Objective {
    /// Short waits for adapter loads.
    #[default]
    LoadStalls,
    /// Full engine batches.
    BatchEfficiency,
}

/// How a resident adapter is chosen for eviction.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Eviction {
    /// Lowest decayed request frequency first.
    #[default]
    Frequency,
    /// Least recently used first; the baseline.
    Lru,
}

/// Which load goes next.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LoadOrdering {
    /// Most valuable first: waiting requests, their class and deadline.
    #[default]
    Value,
    /// First come, first served; the baseline.
    Fifo,
}

/// How a worker is chosen for an adapter.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Placement {
    /// Where it is resident, else its home by rendezvous hashing.
    #[default]
    Home,
    /// Any worker of the group; the baseline.
    Random,
}

/// Whether requests that can't end in time are refused at once.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Admission {
    /// They are refused at once, with the time to come back.
    #[default]
    On,
    /// They wait until their deadline; the baseline.
    Off,
}

/// An adapter that callers may name.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdapterRule {
    /// Group whose workers run it.
    pub group: GroupName,
    /// Versions that may be named.
    pub versions: BTreeSet<VersionName>,
    /// Whether its requests are idempotent; a caller can only narrow this.
    pub repeatable: bool,
}

/// A plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceRule {
    /// Group of targets that serve it.
    pub group: GroupName,
    /// Paths below the service whose calls are idempotent; all others are not.
    pub repeatable_paths: BTreeSet<Box<str>>,
}

/// Limits on the weight store, for all zones together.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadsRule {
    /// Loads started in 1,000 seconds.
    pub per_1000_s: u32,
    /// Most loads under way at once.
    pub in_flight: u32,
}

impl Default for LoadsRule {
    fn default() -> Self {
        Self {
            per_1000_s: 3_000,
            in_flight: 8,
        }
    }
}

/// What a limit applies to.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LimitScope {
    /// Every adapter on its own, where no limit names it.
    EachAdapter,
    /// One adapter.
    Adapter(AdapterName),
    /// One class of requests.
    Class(Class),
}

/// A limit on requests, at each entry instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LimitRule {
    /// Requests a second in the long run.
    pub rate: u32,
    /// Requests that may come at once.
    pub burst: u32,
}

/// Class of a request.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Short, urgent reads.
    Lookup,
    /// Ordinary requests.
    #[default]
    Standard,
    /// Long writing that may arrive late.
    Writing,
}
