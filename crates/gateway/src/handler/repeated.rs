//! Calls that come to this node again.

use super::Gateway;
use crate::call::Call;
use crate::dialect::{CallHead, Dialect};
use crate::state::Shared;
use reedford_fleet::Now;
use reedford_fleet::recent_calls::AttemptKey;
use std::sync::Arc;
use xxhash_rust::xxh3::Xxh3Default;

/// A call that is recorded as under way.
#[derive(Debug)]
pub(crate) struct Receipt {
    shared: Arc<Shared>,
    key: AttemptKey,
}

impl Receipt {
    /// Records the end of the call.
    pub(super) fn end(self, may_have_run: bool) {
        let now = self.shared.now();
        let mut state = self.shared.lock();
        state.recent_calls.end(self.key, may_have_run, now);
    }
}

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Whether an attempt came before and may have run, so that no response may promise that it
    /// didn't.
    pub(super) fn may_have_run(&self, head: &CallHead, now: Now) -> bool {
        let Some((key, id)) = attempt_key(head).zip(head.attempt_id.as_ref()) else {
            return false;
        };
        let earlier = self.shared.lock().recent_calls.earlier(key, now);
        let Some(earlier) = earlier else { return false };
        tracing::warn!(event = "call_repeated", %id, times = earlier.times,
            progress = ?earlier.progress);
        self.metrics.call_repeated(earlier.progress);
        earlier.progress.may_have_run()
    }

    /// Records a call as under way, if it may run once.
    pub(super) fn receive(&self, call: &Call, now: Now) -> Option<Receipt> {
        if call.route.kind.retryable() {
            return None;
        }
        let key = attempt_key(&call.head)?;
        self.shared.lock().recent_calls.begin(key, now);
        Some(Receipt {
            shared: Arc::clone(&self.shared),
            key,
        })
    }
}

/// Returns the hash of an attempt; `None` if it has no id. An id names one attempt, whatever
/// else the request has; callers with other keys have ids of their own.
fn attempt_key(head: &CallHead) -> Option<AttemptKey> {
    let id = head.attempt_id.as_deref().filter(|id| !id.is_empty())?;
    let mut hasher = Xxh3Default::new();
    hasher.update(head.key.as_ref().map_or(&[][..], |key| key.as_bytes()));
    hasher.update(id.as_bytes());
    Some(hasher.digest())
}
