//! Settings of a node.

use reedford_fleet::ZoneId;
use reedford_fleet::budget::RetryLimits;
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Name of the node.
    pub node: Box<str>,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Availability zones of the fleet.
    pub zones: Vec<ZoneId>,
    /// Where it takes callers.
    pub callers: SocketAddr,
    /// Where it says whether it is ready.
    pub readiness: SocketAddr,
    /// Where it takes other nodes.
    pub peers: SocketAddr,
    /// Where it serves metrics.
    pub metrics: SocketAddr,
    /// The platform's store.
    pub store: Vec<SocketAddr>,
    /// Shortest lease that the store grants.
    pub shortest_lease: Duration,
    /// Cores that the node may use.
    pub cores: f64,
    /// Most open descriptors.
    pub descriptors: usize,
    /// The fleet's retry budget.
    pub retries: RetryLimits,
    /// Time from the signal to stop until the node is killed.
    pub stop_grace: Duration,
}
