//! Answers of the operators' interface.

use serde::{Deserialize, Serialize};

/// State of an entry instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceStatus {
    /// Name of the instance.
    pub instance: Box<str>,
    /// Its availability zone.
    pub zone: Box<str>,
    /// Whether it takes requests.
    pub ready: bool,
    /// Revision of the rules in force at it; 0 when it has none yet.
    pub revision: u64,
    /// Entry instances of its zone that it takes for live, itself included.
    pub members: Vec<Box<str>>,
    /// Workers that it knows, by id.
    pub workers: Vec<WorkerStatus>,
    /// Whether it may act as the owner of its workers.
    pub lease: LeaseStatus,
    /// Callers' requests that run or wait at it.
    pub requests_running: u64,
}

/// State of a worker as an entry instance knows it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerStatus {
    /// Id of the worker.
    pub worker: Box<str>,
    /// Its availability zone.
    pub zone: Box<str>,
    /// Entry instance that owns it; `None` while it has no owner.
    pub owner: Option<Box<str>>,
    /// Epoch of the ownership.
    pub epoch: u64,
    /// Adapters in its slots, `adapter@version`.
    pub resident: Vec<Box<str>>,
    /// Requests that run on it.
    pub running: u32,
    /// Requests that wait for it.
    pub waiting: u32,
    /// Adapter slots that are free.
    pub free_slots: u32,
}

/// Whether an instance may act as the owner of its workers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum LeaseStatus {
    /// It may.
    Held {
        /// Milliseconds until it lapses, unless a read prolongs it.
        left_ms: u64,
    },
    /// It may not: no read of the ownership table has been answered in time.
    Lapsed,
}

/// Where an adapter version is resident, and how many wait for it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdapterStatus {
    /// Name of the adapter.
    pub adapter: Box<str>,
    /// The version.
    pub version: Box<str>,
    /// Workers that hold it, by id.
    pub workers: Vec<Box<str>>,
    /// Requests that wait for it to be loaded.
    pub waiting: u32,
}

/// The rules in force at an instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RulesInForce {
    /// Their revision; 0 when there are none yet.
    pub revision: u64,
    /// The file as it was applied.
    pub text: Box<str>,
}
