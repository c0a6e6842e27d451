//! Time limits of an entry instance.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time limits of an entry instance in milliseconds, each from 1 to 86,400,000 (a
/// day).
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Timeouts {
    /// Deadline of a request for which the caller sets none. Default: 30,000 ms.
    pub request_ms: u64,
    /// Longest deadline that a caller may set. Default: 120,000 ms.
    pub request_max_ms: u64,
    /// Time to connect to a target, peer or the platform. Default: 500 ms.
    pub connect_ms: u64,
    /// Time until the first byte of a target's response. Default: 10,000 ms.
    pub first_byte_ms: u64,
    /// Longest time without data in a streamed response. Default: 5,000 ms.
    pub progress_ms: u64,
    /// Time for one call to the platform. Default: 1,000 ms.
    pub platform_ms: u64,
    /// How long a read of the ownership table proves ownership, counted from when
    /// the read was sent. Default: 3,000 ms.
    pub lease_ms: u64,
    /// Time added to the lease of another instance before it counts as lapsed, to
    /// allow for different clock rates.
    /// Default: 300 ms.
    pub lease_margin_ms: u64,
    /// Interval at which peers exchange summaries. Default: 500 ms.
    pub exchange_ms: u64,
    /// Time without contact after which a peer counts as failed. Default: 2,000 ms.
    pub peer_failed_ms: u64,
    /// Longest time for which a graceful shutdown waits for running requests.
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

/// Converts milliseconds of a setting to a [`Duration`].
#[must_use]
pub const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}
