//! Protocol of a model engine: generation, orders and reports of its state.
//!
//! | request | response |
//! |---|---|
//! | `POST /v1/chat/completions` | whole or streamed response, or [`Refusal`] |
//! | `GET /v1/streams/{attempt}?from=N` | the stream from token N on, 404 for an unknown attempt |
//! | `DELETE /v1/streams/{attempt}` | 200 when cancelled, 404 for an unknown attempt |
//! | `POST /v1/load_lora_adapter` with [`AdapterOrder`] | [`OrderResponse`] when loaded, or [`Refusal`] |
//! | `POST /v1/unload_lora_adapter` with [`AdapterOrder`] | [`OrderResponse`], or [`Refusal`] |
//! | `GET /v1/adapters` | [`EngineState`], current |
//! | `GET /v1/report` | [`EngineState`], with a lag |

use serde::{Deserialize, Serialize};

/// An order to load or unload one adapter version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdapterOrder {
    /// Name of the adapter.
    pub adapter: Box<str>,
    /// Version of the adapter.
    pub version: Box<str>,
    /// Fencing token of the sender. An engine that checks it rejects an order
    /// whose token is lower than the highest that it has received.
    pub fence: u64,
}

/// Response to an order that was carried out.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderResponse {
    /// Identifies the run of the engine process; changes with each restart.
    pub boot_id: Box<str>,
}

/// Response of a target that rejects a request. It guarantees that the target ran
/// no part of the request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// The reason.
    pub code: RefusalCode,
    /// Explanation for people.
    pub message: Box<str>,
}

/// Reasons of a [`Refusal`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The adapter version is not resident (409).
    AdapterNotLoaded,
    /// No adapter slot is free (409).
    NoSlot,
    /// The running batch and the queue are full (503).
    Full,
    /// The target is draining and accepts no new requests (503).
    Leaving,
    /// The fencing token of the order is too low (412).
    OldFence,
    /// Fetching or installing the weights failed (502).
    LoadFailed,
    /// The request is malformed (400).
    BadRequest,
}

/// Capacity, load and adapters of an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineState {
    /// Identifies the run of the engine process; changes with each restart.
    pub boot_id: Box<str>,
    /// Number of adapter slots.
    pub slots: u32,
    /// Requests that can run at once.
    pub batch_limit: u32,
    /// Requests running now.
    pub running: u32,
    /// Accepted requests that wait to run.
    pub queued: u32,
    /// Whether the engine is draining and accepts no new requests.
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
    /// Whether the load is still in progress.
    pub loading: bool,
    /// Requests of this adapter version that run or wait in the engine.
    pub running: u32,
}
