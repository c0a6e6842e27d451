//! Calls that come to this node again.

use super::Gateway;
use crate::call::Call;
use crate::dialect::Dialect;
use crate::state::Shared;
use reedford_fleet::Now;
use reedford_fleet::recent_calls::AttemptKey;
use std::sync::Arc;

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

/// The call came before, and may have run.
#[derive(Clone, Copy, Debug)]
pub(super) struct MayHaveRun;

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Records a call that may run once; an error if it may have run before.
    pub(super) fn receive(&self, call: &Call, now: Now) -> Result<Option<Receipt>, MayHaveRun> {
        let Some(key) = call.attempt_key() else {
            return Ok(None);
        };
        let earlier = self.shared.lock().recent_calls.begin(key, now);
        if let Some(earlier) = earlier {
            tracing::warn!(event = "call_repeated", id = %call.id, times = earlier.times,
                progress = ?earlier.progress);
            self.metrics.call_repeated(earlier.progress);
            if earlier.progress.may_have_run() {
                return Err(MayHaveRun);
            }
        }
        Ok(Some(Receipt {
            shared: Arc::clone(&self.shared),
            key,
        }))
    }
}
