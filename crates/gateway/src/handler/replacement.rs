//! Replaces an instance that doesn't respond to a call.
//!
//! A silent instance may be sound and respond later. Its attempt is therefore
//! given up only once another instance is granted to the call and the retry is
//! taken from the budget.

use super::{Attempt, Gateway};
use crate::call::Call;
use crate::dialect::Dialect;
use crate::sender::SendOutcome;
use reedford_fleet::health::CallOutcome;
use reedford_fleet::{InstanceId, Now};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, sleep_until};

/// Time without a response head, and then without a first event, after which a
/// stream is moved to another instance, as a multiple of the route's objective.
pub(crate) const STREAM_SILENCE_FACTOR: f64 = 2.0;
/// Pause between two searches for a replacement.
const SEARCH_INTERVAL: Duration = Duration::from_millis(500);

/// What became of a call that was sent to an instance.
pub(crate) enum Sent<D>
where
    D: Dialect,
{
    Outcome(SendOutcome),
    /// The instance was silent; the call goes on at this one.
    Replaced(Attempt<D>),
}

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Sends a stream's call. If there is no response head in time, the instance
    /// is replaced. `runs` counts the attempts that may have run the call,
    /// including this one.
    pub(crate) async fn send_stream(
        self: &Arc<Self>,
        call: &Call,
        attempt: &Attempt<D>,
        last_event_id: Option<&str>,
        tried: &BTreeSet<InstanceId>,
        runs: u32,
    ) -> Sent<D> {
        let limit = call.route.objective.mul_f64(STREAM_SILENCE_FACTOR);
        let instance = &attempt.grant.instance;
        tokio::select! {
            biased;
            outcome = self.sender.send(call, &attempt.grant, last_event_id) => {
                Sent::Outcome(outcome)
            }
            next = self.replace_silent(call, tried, instance, runs, self.shared.now() + limit) => {
                self.sender.on_silent(&attempt.grant, CallOutcome::Unreachable);
                Sent::Replaced(next)
            }
        }
    }

    /// Waits until `from`, and then until the instance can be replaced; never
    /// returns if the call may not run again.
    pub(crate) async fn replace_silent(
        self: &Arc<Self>,
        call: &Call,
        tried: &BTreeSet<InstanceId>,
        silent: &InstanceId,
        runs: u32,
        from: Now,
    ) -> Attempt<D> {
        if !call.may_run_again(runs) {
            return std::future::pending().await;
        }
        sleep_until(self.shared.clock.instant(from)).await;
        loop {
            let next = self.try_replace(call, tried, silent, runs, "silent").await;
            if let Some(next) = next {
                return next;
            }
            let searched = self.shared.now().saturating_sub(from);
            tracing::info!(event = "silent_instance_kept", id = %call.id, instance = %silent, runs,
                searched_ms = searched.as_millis() as u64);
            sleep(SEARCH_INTERVAL).await;
        }
    }

    /// Finds another instance for a call that may have run at `instance`, and takes
    /// the retry from the budget; `None` if the call must not or can't be retried.
    pub(crate) async fn try_replace(
        self: &Arc<Self>,
        call: &Call,
        tried: &BTreeSet<InstanceId>,
        instance: &InstanceId,
        runs: u32,
        why: &'static str,
    ) -> Option<Attempt<D>> {
        if why == "deadline" || !call.may_run_again(runs) {
            return None;
        }
        let mut avoid = tried.clone();
        avoid.insert(instance.clone());
        let next = self.find_instance(call, &avoid).await.ok()?;
        self.try_withdraw_retry(call, why).then_some(next)
    }
}
