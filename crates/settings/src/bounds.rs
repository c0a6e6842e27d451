//! Sizes and counts of an entry instance.

use serde::{Deserialize, Serialize};

/// Sizes and counts of an entry instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// Largest request body in bytes, at most 64 MiB. Default: 1,048,576 bytes.
    pub body_bytes: usize,
    /// Most requests that wait or run in this instance. Default: 4,096.
    pub requests: usize,
    /// Most times an idempotent request is tried, 1 to 10. Default: 3.
    pub attempts: u32,
    /// Retries allowed for each 100 requests, at most 100. Default: 10.
    pub retry_percent: u32,
    /// Traffic threads, 1 to 256. Default: 2.
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
