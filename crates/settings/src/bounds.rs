//! Limits on sizes and counts of an entry instance.

use serde::{Deserialize, Serialize};

/// Limits on sizes and counts of an entry instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// Largest request body in bytes, at most 64 MiB. Default: 1,048,576 bytes.
    pub body_bytes: usize,
    /// Requests that may wait or run at once in this instance. Default: 4,096.
    pub requests: usize,
    /// Attempts to run an idempotent request, 1 to 10. Default: 3.
    pub attempts: u32,
    /// Retries allowed for each 100 requests, at most 100. Default: 10.
    pub retry_percent: u32,
    /// Threads that handle requests of callers, 1 to 256. Default: 2.
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
