//! The rules as typed values.

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
    /// Limits on adapter loads from the weight store.
    pub loads: LoadsRule,
    /// Limits on requests.
    pub limits: BTreeMap<LimitScope, LimitRule>,
}

/// A group of model engines that share one base model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GroupRule {
    /// The base model.
    pub base: Box<str>,
    /// Goal that the group favours when short load waits and full batches conflict.
    pub objective: Objective,
    /// Policy that chooses the resident adapter to evict.
    pub eviction: Eviction,
    /// Order in which waiting loads start.
    pub load_ordering: LoadOrdering,
    /// Policy that chooses the worker for an adapter.
    pub placement: Placement,
    /// Whether requests that can't meet their deadline are refused at once.
    pub admission: Admission,
}

/// Goal that a group favours.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Objective {
    /// Short waits for adapter loads.
    #[default]
    LoadStalls,
    /// Full engine batches.
    BatchEfficiency,
}

/// Policy that chooses the resident adapter to evict.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Eviction {
    /// The lowest decayed request frequency first.
    #[default]
    Frequency,
    /// The least recently used first; a baseline to compare `Frequency` with.
    Lru,
}

/// Order in which waiting loads start.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LoadOrdering {
    /// The most valuable load first, by the number, class and deadline of the
    /// requests that wait for it.
    #[default]
    Value,
    /// First come, first served; a baseline to compare `Value` with.
    Fifo,
}

/// Policy that chooses the worker for an adapter.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Placement {
    /// A worker where the adapter is resident, else its home worker: the first
    /// choice of rendezvous hashing.
    #[default]
    Home,
    /// Any worker of the group; a baseline to compare `Home` with.
    Random,
}

/// Whether requests that can't meet their deadline are refused at once.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Admission {
    /// Requests that can't meet their deadline are refused at once, with the time
    /// after which to retry.
    #[default]
    On,
    /// Requests that can't meet their deadline wait until it; a baseline to compare
    /// `On` with.
    Off,
}

/// An adapter that callers may name.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdapterRule {
    /// Group whose workers run the adapter.
    pub group: GroupName,
    /// Versions that callers may name.
    pub versions: BTreeSet<VersionName>,
    /// Whether requests to the adapter are idempotent. A caller can mark a request
    /// as not idempotent, never the reverse.
    pub repeatable: bool,
}

/// A plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceRule {
    /// Group of targets that run the service.
    pub group: GroupName,
    /// Paths below the service on which calls are idempotent; on all other paths
    /// they are not.
    pub repeatable_paths: BTreeSet<Box<str>>,
}

/// Limits on adapter loads from the weight store, for all zones together.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadsRule {
    /// Loads that may start in 1,000 seconds.
    pub per_1000_s: u32,
    /// Loads that may be in flight at once.
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
    /// Each adapter separately, unless another limit names it.
    EachAdapter,
    /// One adapter.
    Adapter(AdapterName),
    /// One class of requests.
    Class(Class),
}

/// A limit on requests, enforced by each entry instance on its own.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LimitRule {
    /// Sustained requests per second.
    pub rate: u32,
    /// Requests that may arrive at once.
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
    /// Long texts whose completion may come late.
    Writing,
}
