//! What the engine stand-in notes for checks.

use reedford_wire::engine::RefusalCode;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Everything noted since the program started, across restarts of the engine.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineRecord {
    /// Requests that started to run.
    pub runs: Vec<RunRecord>,
    /// Orders that came.
    pub orders: Vec<OrderRecord>,
    /// W3C trace context of the requests that came with one, by attempt.
    #[serde(default)]
    pub traceparents: BTreeMap<Box<str>, Box<str>>,
    /// What must never happen.
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
    /// Position among all noted events of this engine.
    pub started_seq: u64,
    /// Time of the start in milliseconds of Unix time.
    pub started_unix_ms: u64,
    /// Whether all tokens were generated.
    pub finished: bool,
}

/// An order that came.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderRecord {
    /// What was ordered.
    pub kind: OrderKind,
    /// Name of the adapter.
    pub adapter: Box<str>,
    /// Version of the adapter.
    pub version: Box<str>,
    /// Fencing number of the order.
    pub fence: u64,
    /// Position among all noted events of this engine.
    pub seq: u64,
    /// What became of it.
    pub outcome: OrderOutcome,
}

/// What was ordered.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// To load an adapter version.
    Load,
    /// To drop an adapter version.
    Unload,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderOutcome {
    /// It was taken and has not ended, or its sender left before it did.
    Pending,
    /// It took effect.
    Done,
    /// It was refused.
    Refused(RefusalCode),
    /// The engine restarted while it was under way.
    Cut,
}

/// What must never happen.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Violation {
    /// An adapter was dropped while requests used it.
    EvictedInUse {
        /// Name of the adapter.
        adapter: Box<str>,
        /// Version of the adapter.
        version: Box<str>,
        /// Fencing number of the order.
        fence: u64,
        /// Attempt ids of the requests.
        attempts: Vec<Box<str>>,
    },
    /// An attempt id came a second time.
    DuplicateAttempt {
        /// The attempt id.
        attempt: Box<str>,
    },
}

/// Counts since the program started.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineStats {
    /// Steps taken.
    pub steps: u64,
    /// Steps in which a request ran.
    pub busy_steps: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Most requests that run at once.
    pub batch_limit: u32,
    /// Loads that ended well.
    pub loads: u64,
    /// Loads that failed.
    pub failed_loads: u64,
    /// Adapters dropped by order.
    pub unloads: u64,
    /// Most requests that have run at once.
    pub max_running: u32,
}
