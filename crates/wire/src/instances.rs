//! The platform's lagging list of instances, `GET /instances`.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The list.
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
    /// Group: of model engines, plain services, or entry instances.
    pub group: Box<str>,
    /// What the instance is.
    pub kind: InstanceKind,
    /// Availability zone.
    pub zone: Box<str>,
    /// Where it listens for requests.
    pub address: SocketAddr,
    /// Whether it is live or leaving.
    pub state: InstanceState,
    /// Whether the target refuses orders with an old fencing number.
    #[serde(default)]
    pub checks_fence: bool,
}

/// What an instance is.
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

/// Whether an instance takes work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// Takes work.
    Live,
    /// Finishes what it has and takes nothing new.
    Leaving,
}
