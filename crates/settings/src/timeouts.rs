//! Time limits of an entry instance.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time limits of an entry instance, in milliseconds; each at least 1 and at
/// most a day.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Timeouts {
    /// Time within which an answer is due when the caller names none.
    /// Default: 30,000 ms.
    pub request_ms: u64,
    /// Longest time that a caller may ask for. Default: 120,000 ms.
    pub request_max_ms: u64,
    /// Time to connect to a target, peer or the platform. Default: 500 ms.
    pub connect_ms: u64,
    /// Time until the first byte of a target's answer. Default: 10,000 ms.
    pub first_byte_ms: u64,
    /// Longest silence inside a streamed answer. Default: 5,000 ms.
    pub progress_ms: u64,
    /// Time for one call to the platform. Default: 1,000 ms.
    pub platform_ms: u64,
    /// Time for which a read of the ownership table proves ownership.
    /// Default: 3,000 ms.
    pub lease_ms: u64,
    /// Allowance for clock rates, added before acting on another's lapsed lease.
    /// Default: 300 ms.
    pub lease_margin_ms: u64,
    /// Interval of summaries between peers. Default: 500 ms.
    pub exchange_ms: u64,
    /// Silence after which a peer is taken for failed. Default: 2,000 ms.
    pub peer_failed_ms: u64,
    /// Longest time for which a graceful stop waits for its requests.
    /// Default: 130,000 ms.
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

/// Converts a setting in milliseconds.
#[must_use]
pub const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}
