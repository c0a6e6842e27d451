//! Whether this node is cut off from the platform and the other nodes.
//!
//! A node that is cut off can't have calls placed, while callers may still
//! reach it. It then reports itself as not ready, so that new connections go to
//! other nodes, and refuses at once the calls that it can't place, so that
//! callers still have time to try another node.

use crate::Now;
use std::time::Duration;

/// Time from the first failure after the last success, after which a node
/// considers itself cut off. Longer than a peer or the store is unavailable
/// while its process is replaced.
const CUT_OFF_AFTER: Duration = Duration::from_millis(1_200);

/// Whether this node can reach the platform's store and its peers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Connectivity {
    /// Time of the first failure after the last success.
    failing_since: Option<Now>,
}

impl Connectivity {
    /// Records a response from the store or a peer, or a request from a peer.
    pub const fn on_success(&mut self) {
        self.failing_since = None;
    }

    /// Records that the store or a peer did not respond.
    pub fn on_failure(&mut self, now: Now) {
        self.failing_since.get_or_insert(now);
    }

    /// Whether nothing has succeeded for `CUT_OFF_AFTER` since the first failure.
    #[must_use]
    pub fn cut_off(&self, now: Now) -> bool {
        self.failing_since
            .is_some_and(|since| now >= since + CUT_OFF_AFTER)
    }
}
