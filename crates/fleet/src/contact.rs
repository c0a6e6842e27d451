//! Whether this node is cut off from the platform and the other nodes.
//!
//! A node that is cut off can't have calls placed, while clients may still
//! reach it. It then says that it is not ready, so that new connections go to
//! other nodes, and refuses at once what it can't place, so that callers ask
//! another node while they have time.

use crate::Now;
use std::time::Duration;

/// Time with failures alone after which a node takes itself for cut off. Longer
/// than the time that another node or the store is silent when its process is
/// replaced.
const CUT_OFF_AFTER: Duration = Duration::from_millis(1_200);

/// What this node heard of the platform's store and of other nodes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Contact {
    /// The first failure after the last word.
    failing_since: Option<Now>,
}

impl Contact {
    /// Notes that the store or another node answered or asked something.
    pub const fn on_word(&mut self) {
        self.failing_since = None;
    }

    /// Notes that the store or another node gave no answer.
    pub fn on_failure(&mut self, now: Now) {
        self.failing_since.get_or_insert(now);
    }

    /// Whether nothing has been heard for long although it was tried.
    #[must_use]
    pub fn cut_off(&self, now: Now) -> bool {
        self.failing_since
            .is_some_and(|since| now >= since + CUT_OFF_AFTER)
    }
}
