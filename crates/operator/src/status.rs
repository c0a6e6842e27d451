//! Responses of the operators' interface.

use serde::{Deserialize, Serialize};

/// State of an entry instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceStatus {
    /// Name of the instance.
    pub instance: Box<str>,
    /// Availability zone of the instance.
    pub zone: Box<str>,
    /// Whether the instance accepts requests.
    pub ready: bool,
    /// Revision of the rules in force at the instance; 0 until rules are applied.
    pub revision: u64,
    /// Entry instances of the zone that the instance considers live, itself included.
    pub members: Vec<Box<str>>,
    /// Workers that the instance knows, ordered by id.
    pub workers: Vec<WorkerStatus>,
    /// Whether the instance may act as the owner of its workers.
    pub lease: LeaseStatus,
    /// Callers' requests that run or wait at the instance.
    pub requests_running: u64,
}

/// State of a worker as an entry instance knows it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerStatus {
    /// Id of the worker.
    pub worker: Box<str>,
    /// Availability zone of the worker.
    pub zone: Box<str>,
    /// Entry instance that owns the worker; `None` while it has no owner.
    pub owner: Option<Box<str>>,
    /// Epoch of the ownership.
    pub epoch: u64,
    /// Adapters in its slots, `adapter@version`.
    pub resident: Vec<Box<str>>,
    /// Requests that run on the worker.
    pub running: u32,
    /// Requests that wait for the worker.
    pub waiting: u32,
    /// Adapter slots that are free.
    pub free_slots: u32,
}

/// Whether an instance may act as the owner of its workers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum LeaseStatus {
    /// The instance may act as owner until the lease lapses.
    Held {
        /// Milliseconds until the lease lapses, unless a read of the ownership table
        /// or promises of all other members extend it.
        left_ms: u64,
    },
    /// The lease is not proved: neither a read of the ownership table nor promises of
    /// all other members prove it now, or the last read did not list this run of the
    /// instance as a member. The instance may neither load nor evict. For a short time
    /// after the latest proof has run out, it may still grant on resident adapters.
    Lapsed,
}

/// Workers where an adapter version is resident, and the requests that wait for it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdapterStatus {
    /// Name of the adapter.
    pub adapter: Box<str>,
    /// Version of the adapter.
    pub version: Box<str>,
    /// Workers where the adapter version is resident, ordered by id.
    pub workers: Vec<Box<str>>,
    /// Requests that wait for the adapter version to be loaded.
    pub waiting: u32,
}

/// The rules in force at an instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RulesInForce {
    /// Revision of the rules; 0 until rules are applied.
    pub revision: u64,
    /// Text of the file as it was applied.
    pub text: Box<str>,
}
