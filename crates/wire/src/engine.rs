//! Orders to a model engine and its reports.
//!
//! | call | answer |
//! |---|---|
//! | `POST /v1/chat/completions` | whole or streamed answer, or [`Refusal`] |
//! | `GET /v1/streams/{attempt}?from=N` | the stream again from token N, 404 when unknown |
//! | `DELETE /v1/streams/{attempt}` | 200 when cancelled, 404 when unknown |
//! | `POST /v1/load_lora_adapter` with [`AdapterOrder`] | [`OrderResponse`] when loaded, or [`Refusal`] |
//! | `POST /v1/unload_lora_adapter` with [`AdapterOrder`] | [`OrderResponse`], or [`Refusal`] |
//! | `GET /v1/adapters` | [`EngineState`], taken at once |
//! | `GET /v1/report` | [`EngineState`], as of some time ago |

use serde::{Deserialize, Serialize};

/// An order to load or unload one adapter version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdapterOrder {
    /// Name of the adapter.
    pub adapter: Box<str>,
    /// Version of the adapter.
    pub version: Box<str>,
    /// Fencing number of the sender. An engine that checks it refuses an
    /// order whose number is below the highest that it has seen.
    pub fence: u64,
}

/// Answer to an order that took effect.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderResponse {
    /// Changes whenever the engine restarts.
    pub boot_id: Box<str>,
}

/// Why a target refused. A refusal always means that nothing ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// The reason.
    pub code: RefusalCode,
    /// For people.
    pub message: Box<str>,
}

/// Reasons of a [`Refusal`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The adapter version is not resident (409).
    AdapterNotLoaded,
    /// All adapter slots are taken (409).
    NoSlot,
    /// The running batch and its queue are full (503).
    Full,
    /// The target is leaving (503).
    Leaving,
    /// The order's fencing number is too old (412).
    OldFence,
    /// Fetching or installing the weights failed (502).
    LoadFailed,
    /// The request can't be read (400).
    BadRequest,
}

/// What an engine holds and runs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineState {
    /// Changes whenever the engine restarts.
    pub boot_id: Box<str>,
    /// Number of adapter slots.
    pub slots: u32,
    /// Most requests that run at once.
    pub batch_limit: u32,
    /// Requests running now.
    pub running: u32,
    /// Requests accepted that wait to run.
    pub queued: u32,
    /// Whether the engine is leaving.
    pub leaving: bool,
    /// The occupied slots.
    pub adapters: Vec<SlotReport>,
}

/// One occupied adapter slot.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotReport {
    /// Name of the adapter.
    pub adapter: Box<str>,
    /// Version of the adapter.
    pub version: Box<str>,
    /// Whether the load is still under way.
    pub loading: bool,
    /// Requests of this adapter version that run or wait in the engine.
    pub running: u32,
}
