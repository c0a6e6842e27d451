//! What a node that stops does with calls that have not run.

use crate::call::Call;
use crate::state::Shared;
use reedford_fleet::Now;
use reedford_fleet::scheduler::{PlacementId, Refusal, RefusalReason};
use reedford_fleet::stopping::StopTimes;
use std::time::Duration;
use tokio::time::sleep_until;

/// Retry delay sent to callers; the retry reaches another node.
const RETRY_AFTER: Duration = Duration::from_millis(50);

impl Shared {
    /// Waits until this node stops.
    pub(crate) async fn stop_begins(&self) -> StopTimes {
        let mut times = self.stop_times.subscribe();
        loop {
            if let Some(times) = *times.borrow_and_update() {
                return times;
            }
            // The sender lives as long as this value.
            let _ = times.changed().await;
        }
    }

    /// Waits until this node, which stops, sends its last refusals.
    pub(crate) async fn last_refusals(&self) {
        let times = self.stop_begins().await;
        sleep_until(self.clock.instant(times.refused_at())).await;
    }

    /// Waits until this node, because it stops, must not send a call to an instance.
    pub(crate) async fn last_sending(&self, call: &Call) {
        let times = self.stop_begins().await;
        let last = self.last_sending_of(call, times);
        sleep_until(self.clock.instant(last)).await;
    }

    /// Returns until when a call may be sent to an instance, if this node stops.
    pub(crate) fn last_sending_at(&self, call: &Call) -> Option<Now> {
        let times = *self.stop_times.borrow();
        times.map(|times| self.last_sending_of(call, times))
    }

    /// Whether this node stops and serves no call that is received at `now`.
    pub(crate) fn is_stopped(&self, now: Now) -> bool {
        let times = *self.stop_times.borrow();
        times.is_some_and(|times| !times.accepts(now))
    }

    fn last_sending_of(&self, call: &Call, times: StopTimes) -> Now {
        let expected = self.lock().run_times.expected(&call.route.name);
        times.last_sending_at(expected.unwrap_or(call.route.objective))
    }
}

/// Refuses a call that could not end before this node stops.
pub(crate) const fn refusal(call: PlacementId) -> Refusal {
    Refusal {
        call,
        reason: RefusalReason::Stopping,
        retry_after: RETRY_AFTER,
    }
}
