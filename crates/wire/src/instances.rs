//! List of instances of the platform, `GET /instances`. It lags behind the real
//! state.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Response with the list of instances.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceList {
    /// The instances of all groups and zones.
    pub instances: Vec<Instance>,
}

/// One instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Instance {
    /// Name, unique in the list.
    pub id: Box<str>,
    /// Group of the instance: of model engines, plain services, or entry instances.
    pub group: Box<str>,
    /// Kind of the instance.
    pub kind: InstanceKind,
    /// Availability zone.
    pub zone: Box<str>,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Whether it accepts new requests.
    pub state: InstanceState,
    /// Whether the target rejects orders with an old fencing token.
    #[serde(default)]
    pub checks_fence: bool,
}

/// Kind of an instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Plain,
    /// An entry instance of reedford.
    Entry,
}

/// Whether an instance accepts new requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// It accepts requests.
    Live,
    /// It finishes its requests and accepts no new ones.
    Leaving,
}
