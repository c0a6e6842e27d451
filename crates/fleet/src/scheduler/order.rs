//! Orders to engines, and what engines say of themselves.

use super::AdapterKey;
use crate::{AdapterName, InstanceId, ModelName, WeightVersion};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// An order to one engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// The engine.
    pub instance: InstanceId,
    /// Its address.
    pub addr: SocketAddr,
    /// Orders that the engine has accepted before; it refuses this one if that
    /// differs, so that an order delivered late has no effect.
    pub after: u64,
    /// What to do.
    pub kind: OrderKind,
}

/// What an order does.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderKind {
    /// Loads a base model.
    LoadModel {
        /// The model.
        model: ModelName,
    },
    /// Loads an adapter, or replaces its version.
    LoadAdapter {
        /// Its base model.
        model: ModelName,
        /// The adapter.
        adapter: AdapterName,
        /// The version; `None` for the newest.
        version: Option<WeightVersion>,
    },
    /// Evicts an adapter.
    UnloadAdapter {
        /// Its base model.
        model: ModelName,
        /// The adapter.
        adapter: AdapterName,
    },
}

impl OrderKind {
    /// The adapter that it concerns.
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

/// How an engine answered an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// Accepted; it takes time.
    Accepted,
    /// Accepted and done, or it held already.
    Done,
    /// The engine is carrying out another order, or has accepted others.
    Conflict,
    /// A holder with a higher fencing number gave orders.
    Fenced,
    /// The engine is another one, or can't carry this out.
    Refused,
    /// No answer; the order may be carried out later.
    Unknown,
    /// The order never left this node.
    NotSent,
}

/// What an engine says of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// When this run of it began, in Unix milliseconds.
    pub born: u64,
    /// Orders that it accepted.
    pub orders: u64,
    /// Whether it loads or drops a base model.
    pub busy: bool,
    /// Base models and the adapters held of each.
    pub models: BTreeMap<ModelName, BTreeMap<AdapterName, WeightVersion>>,
    /// Adapters on their way.
    pub arriving: BTreeSet<(ModelName, AdapterName)>,
}
