//! Settings of an entry instance, read from YAML.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of an entry instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance, unique in the fleet.
    pub instance: Box<str>,
    /// Availability zone of the instance.
    pub zone: Box<str>,
    /// All availability zones of the region.
    pub zones: Vec<Box<str>>,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where other entry instances connect.
    pub peers: SocketAddr,
    /// Where operators connect.
    pub operators: SocketAddr,
    /// Token that operators must present.
    pub operator_token: Box<str>,
    /// Addresses of the platform's service; the first that answers is used.
    pub platform: Vec<SocketAddr>,
    /// Where traces are sent, an OTLP/HTTP URL; nothing is sent when absent.
    #[serde(default)]
    pub trace_endpoint: Option<Box<str>>,
    /// Time limits.
    #[serde(default)]
    pub timeouts: Timeouts,
    /// Sizes and counts.
    #[serde(default)]
    pub bounds: Bounds,
}

/// Time limits of an entry instance, in milliseconds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Timeouts {
    /// Time within which an answer is due when the caller names none.
    pub request_ms: u64,
    /// Longest time that a caller may ask for.
    pub request_max_ms: u64,
    /// Time to connect to a target, peer or the platform.
    pub connect_ms: u64,
    /// Time until the first byte of a target's answer.
    pub first_byte_ms: u64,
    /// Longest silence inside a streamed answer.
    pub progress_ms: u64,
    /// Time for one call to the platform.
    pub platform_ms: u64,
    /// Time for which a read of the ownership table proves ownership.
    pub lease_ms: u64,
    /// Allowance for clock rates, added before acting on another's lapsed lease.
    pub lease_margin_ms: u64,
    /// Interval of summaries between peers.
    pub exchange_ms: u64,
    /// Silence after which a peer is taken for failed.
    pub peer_failed_ms: u64,
    /// Longest time for which a graceful stop waits for its requests.
    pub drain_ms: u64,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            request_ms: 30_000,
            request_max_ms: 120_000,
            connect_ms: 500,
            first_byte_ms: 10_000,
            progress_ms: 5_000,
            platform_ms: 1_000,
            lease_ms: 3_000,
            lease_margin_ms: 300,
            exchange_ms: 500,
            peer_failed_ms: 2_000,
            drain_ms: 130_000,
        }
    }
}

/// Sizes and counts of an entry instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Most requests that wait or run in this instance.
    pub requests: usize,
    /// Most times an idempotent request is tried.
    pub attempts: u32,
    /// Retries allowed for each 100 requests.
    pub retry_percent: u32,
    /// Traffic threads.
    pub traffic_threads: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            body_bytes: 1 << 20,
            requests: 4_096,
            attempts: 3,
            retry_percent: 10,
            traffic_threads: 2,
        }
    }
}

/// Converts a setting in milliseconds.
#[must_use]
pub const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}
