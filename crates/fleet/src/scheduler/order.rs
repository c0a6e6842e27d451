//! Orders to engines, their outcomes, and the reports of engines.

use super::AdapterKey;
use crate::{AdapterName, InstanceId, ModelName, WeightVersion};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// An order to one engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// Id of the engine.
    pub instance: InstanceId,
    /// Address of the engine.
    pub addr: SocketAddr,
    /// Start time of the engine's incarnation, in Unix milliseconds.
    pub born: u64,
    /// Number of orders that the engine has accepted before this one. The engine
    /// refuses the order if its own count differs, so that an order delivered
    /// late has no effect.
    pub after: u64,
    /// Operation to carry out.
    pub kind: OrderKind,
}

/// Operation of an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderKind {
    /// Loads a base model.
    LoadModel {
        /// Name of the model.
        model: ModelName,
    },
    /// Loads an adapter, or replaces its version.
    LoadAdapter {
        /// Name of its base model.
        model: ModelName,
        /// Name of the adapter.
        adapter: AdapterName,
        /// Version to load; `None` for the newest.
        version: Option<WeightVersion>,
    },
    /// Evicts an adapter.
    UnloadAdapter {
        /// Name of its base model.
        model: ModelName,
        /// Name of the adapter.
        adapter: AdapterName,
    },
}

impl OrderKind {
    /// Returns the adapter that it loads or evicts.
    #[must_use]
    pub fn adapter(&self) -> Option<AdapterKey> {
        match self {
            Self::LoadModel { .. } => None,
            Self::LoadAdapter { model, adapter, .. } | Self::UnloadAdapter { model, adapter } => {
                Some(AdapterKey {
                    model: model.clone(),
                    adapter: adapter.clone(),
                })
            }
        }
    }
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The engine accepted the order and is carrying it out.
    Accepted,
    /// The engine carried the order out, or its effect was in place already.
    Done,
    /// The engine is carrying out another order, or has accepted a different
    /// number of orders.
    Conflict,
    /// The engine has seen a higher fencing token.
    Fenced,
    /// The order was meant for another engine, or the engine can't carry it out.
    Refused,
    /// The engine did not respond; the order may be carried out later.
    Unknown,
    /// The order never left this node.
    NotSent,
}

/// An engine's report on its state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineReport {
    /// Start time of the engine's incarnation, in Unix milliseconds.
    pub born: u64,
    /// Number of orders that it has accepted.
    pub orders: u64,
    /// Whether it is loading or unloading a base model.
    pub busy: bool,
    /// Resident base models, each with its resident adapters and their versions.
    pub models: BTreeMap<ModelName, BTreeMap<AdapterName, WeightVersion>>,
    /// Adapters that are being loaded.
    pub loading: BTreeSet<(ModelName, AdapterName)>,
}
