//! Settings of a node.

use reedford_bodies::{BodyMemory, DEFAULT_LIMIT_BYTES};
use reedford_fleet::ZoneId;
use reedford_fleet::budget::RetryLimits;
use reedford_fleet::quota::QuotaTolerance;
use std::net::SocketAddr;
use std::time::Duration;

/// Part of a node's memory that the bodies of requests and responses may take.
const BODY_MEMORY_PART: f64 = 0.25;

/// Settings of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Name of the node.
    pub node: Box<str>,
    /// The node's availability zone.
    pub zone: ZoneId,
    /// Availability zones of the fleet.
    pub zones: Vec<ZoneId>,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for readiness probes.
    pub readiness: SocketAddr,
    /// Address for other nodes.
    pub peers: SocketAddr,
    /// Address for metrics.
    pub metrics: SocketAddr,
    /// Addresses of the platform's store.
    pub store: Vec<SocketAddr>,
    /// Smallest lease TTL that the store grants.
    pub min_lease_ttl: Duration,
    /// Cores that the node may use.
    pub cores: f64,
    /// Bandwidth of the node's link in bytes per second, if it is known.
    pub link_bytes_per_s: Option<f64>,
    /// Memory that the node may use, in bytes, if it is known.
    pub memory_bytes: Option<usize>,
    /// Limit on open file descriptors.
    pub max_open_files: usize,
    /// The fleet's retry budget.
    pub retries: RetryLimits,
    /// Time from the signal to stop until the platform kills the node.
    pub stop_grace: Duration,
    /// Time within which every node has to follow a change of the configuration
    /// or of an instance's state.
    pub staleness_limit: Duration,
    /// How exactly the workspaces' limits have to be kept.
    pub quota_tolerance: QuotaTolerance,
    /// Time after which a node that can't confirm its configuration accepts no keys any
    /// more; `None` if it goes on with those that it knows.
    pub max_key_age: Option<Duration>,
}

impl GatewaySettings {
    /// Returns a memory for the bodies of requests and responses.
    pub(crate) fn body_memory(&self) -> BodyMemory {
        let part = |bytes: usize| (bytes as f64 * BODY_MEMORY_PART) as usize;
        BodyMemory::new(self.memory_bytes.map_or(DEFAULT_LIMIT_BYTES, part))
    }
}
