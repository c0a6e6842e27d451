//! The calls that failed on a connection.
//!
//! A faulty target may send a response once more, late, where the response to the next
//! request on the connection is expected. The copy has the id of its call, so that it can't
//! be told from the response to the same call, should that come again on the connection.
//! Whoever sends it again, the connection knows what it has carried: it isn't used for the
//! calls that failed on it.

/// Names a call by a hash of its id.
pub type CallKey = u64;

/// Calls after which a connection serves no further requests, so that none is forgotten.
const MAX_FAILED: usize = 64;

/// The calls that failed on a connection.
#[derive(Debug, Default)]
pub(crate) struct FailedCalls(Vec<CallKey>);

impl FailedCalls {
    /// Records a call whose response was not a success.
    pub(crate) fn record(&mut self, call: CallKey) {
        if !self.contains(call) {
            self.0.push(call);
        }
    }

    pub(crate) fn contains(&self, call: CallKey) -> bool {
        self.0.contains(&call)
    }

    /// Whether the connection must not serve further requests.
    pub(crate) const fn is_full(&self) -> bool {
        self.0.len() >= MAX_FAILED
    }
}
