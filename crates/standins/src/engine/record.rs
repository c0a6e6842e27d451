//! Events and counters that the engine stand-in records for checks.

use reedford_wire::engine::RefusalCode;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Events recorded since the program started, across restarts of the engine.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineRecord {
    /// Requests that started to run.
    pub runs: Vec<RunRecord>,
    /// Load and unload orders received.
    pub orders: Vec<OrderRecord>,
    /// W3C `traceparent` of the requests that carried one, by attempt id.
    #[serde(default)]
    pub traceparents: BTreeMap<Box<str>, Box<str>>,
    /// Violations detected by the engine.
    pub violations: Vec<Violation>,
}

/// A request that started to run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunRecord {
    /// Attempt id of the request.
    pub attempt: Box<str>,
    /// Name of the adapter that ran.
    pub adapter: Box<str>,
    /// Version of the adapter that ran.
    pub version: Box<str>,
    /// Text of the request's last message.
    pub prompt: Box<str>,
    /// Position of the start among all recorded events of this engine.
    pub started_seq: u64,
    /// Time of the start in milliseconds of Unix time.
    pub started_unix_ms: u64,
    /// Whether all tokens were generated.
    pub finished: bool,
}

/// A load or unload order that was received.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderRecord {
    /// Kind of the order.
    pub kind: OrderKind,
    /// Name of the adapter.
    pub adapter: Box<str>,
    /// Version of the adapter.
    pub version: Box<str>,
    /// Fencing token of the order.
    pub fence: u64,
    /// Position among all recorded events of this engine.
    pub seq: u64,
    /// Outcome of the order.
    pub outcome: OrderOutcome,
}

/// Kind of an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Loads an adapter version.
    Load,
    /// Unloads an adapter version.
    Unload,
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderOutcome {
    /// The order has not ended, or its sender disconnected before it ended.
    Pending,
    /// The order took effect.
    Done,
    /// The order was refused.
    Refused(RefusalCode),
    /// The engine restarted before the order ended.
    Cut,
}

/// A violated invariant.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Violation {
    /// An adapter was unloaded while requests used it.
    EvictedInUse {
        /// Name of the adapter.
        adapter: Box<str>,
        /// Version of the adapter.
        version: Box<str>,
        /// Fencing token of the unload order.
        fence: u64,
        /// Attempt ids of the requests that used the adapter.
        attempts: Vec<Box<str>>,
    },
    /// An attempt id was received while a request with it was still retained
    /// (running, waiting, or ended less than 30 s ago).
    DuplicateAttempt {
        /// The attempt id.
        attempt: Box<str>,
    },
}

/// Counters since the program started.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineStats {
    /// Steps performed.
    pub steps: u64,
    /// Steps in which at least one request ran.
    pub busy_steps: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Maximum number of requests that run at once.
    pub batch_limit: u32,
    /// Loads that succeeded.
    pub loads: u64,
    /// Loads that failed.
    pub failed_loads: u64,
    /// Adapters unloaded by an order.
    pub unloads: u64,
    /// Highest number of requests that have run at once.
    pub max_running: u32,
}
