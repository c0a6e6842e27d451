//! Replaces an instance that doesn't respond to a call.
//!
//! A silent instance may be sound and respond later. Its attempt is therefore
//! given up only once another instance has taken the call.

use super::repeated::Receipt;
use super::{Attempt, Gateway};
use crate::call::Call;
use crate::dialect::Dialect;
use crate::sender::{SendOutcome, Sending};
use futures::FutureExt as _;
use futures::future::BoxFuture;
use reedford_fleet::not_run::Sendings;
use reedford_fleet::{InstanceId, Now};
use std::collections::BTreeSet;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, sleep_until, timeout};

/// Pause between two searches for a replacement.
const SEARCH_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time for which two instances may run a stream, while the second has
/// neither rejected nor begun it.
const MAX_OVERLAP: Duration = Duration::from_millis(250);

/// Attempts at a call.
#[derive(Debug, Default)]
pub(crate) struct Attempts {
    /// Instances that are not tried again.
    pub(crate) tried: BTreeSet<InstanceId>,
    pub(crate) sendings: Sendings,
    /// Records the call's end, if it may run once.
    pub(crate) receipt: Option<Receipt>,
}

impl Drop for Attempts {
    fn drop(&mut self) {
        if let Some(receipt) = self.receipt.take() {
            receipt.end(self.sendings.may_have_run() > 0);
        }
    }
}

/// A stream at an instance.
pub(crate) struct StreamState<'a> {
    pub(crate) call: &'a Call,
    pub(crate) instance: &'a InstanceId,
    pub(crate) last_event_id: Option<&'a str>,
    /// How long the instance may send nothing before another one is sought.
    pub(crate) silence_limit: Duration,
}

/// Where a stream goes on after its instance was silent.
pub(crate) enum Moved<D, T>
where
    D: Dialect,
{
    /// At its instance, which went on with this.
    Stayed(T),
    /// At another instance, with the outcome of the attempt there. The silent
    /// instance's connection is closed.
    Switched(Box<Attempt<D>>, SendOutcome),
}

/// How an overlap of two instances ended.
enum Overlap<F, S>
where
    F: Future,
{
    /// The silent instance went on.
    First(F::Output),
    /// The second instance responded or failed. The silent one may still go on.
    Second(SendOutcome, Pin<Box<F>>),
    /// The silent instance failed or was given up before the second one responded.
    OnlySecond(S),
}

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Waits for what comes next from the stream's instance. If nothing comes in
    /// time, the stream is moved to another instance. `is_lost` tells whether the
    /// instance has failed the stream.
    pub(crate) async fn move_if_silent<F, P>(
        self: &Arc<Self>,
        stream: &StreamState<'_>,
        attempts: &mut Attempts,
        next_of_instance: F,
        is_lost: P,
    ) -> Moved<D, F::Output>
    where
        F: Future,
        P: Fn(&F::Output) -> bool,
    {
        let StreamState { call, instance, .. } = *stream;
        let mut first = Box::pin(next_of_instance);
        let mut from = self.shared.now() + stream.silence_limit;
        loop {
            let mut next = tokio::select! {
                biased;
                output = first.as_mut() => return Moved::Stayed(output),
                next = self.replace_silent(call, attempts, instance, from) => next,
            };
            tracing::info!(event = "stream_silent", id = %call.id, %instance,
                next = %next.grant.instance);
            let grant = next.grant.clone();
            let unsent = attempts.sendings.begin();
            let sending = Sending {
                call,
                grant: &grant,
                last_event_id: stream.last_event_id,
            };
            let conn = tokio::select! {
                biased;
                output = first.as_mut() => {
                    attempts.sendings.on_not_run(&unsent.not_sent());
                    return Moved::Stayed(output);
                }
                conn = self.sender.connect(sending) => conn,
            };
            attempts.tried.insert(next.grant.instance.clone());
            from = self.shared.now() + SEARCH_INTERVAL;
            let Some(conn) = conn else {
                let proof = unsent.not_sent();
                attempts.sendings.on_not_run(&proof);
                next.report_rejected(proof.rejection());
                continue;
            };
            let second = self.sender.send_on(conn, unsent, sending).boxed();
            match overlap(first, second, &is_lost).await {
                Overlap::First(output) => return Moved::Stayed(output),
                Overlap::OnlySecond(second) => {
                    let stream = StreamState {
                        instance: &grant.instance,
                        ..*stream
                    };
                    let followed = self.follow_second(stream, attempts, next, second);
                    let (attempt, sent) = followed.await;
                    return Moved::Switched(attempt, sent);
                }
                Overlap::Second(sent, _) if sent.is_success() => {
                    return Moved::Switched(Box::new(next), sent);
                }
                Overlap::Second(sent, still_silent) => {
                    first = still_silent;
                    if let SendOutcome::NotRun(proof) = sent {
                        attempts.sendings.on_not_run(&proof);
                        next.report_rejected(proof.rejection());
                    }
                }
            }
        }
    }

    /// Waits for the response of the second instance of a stream, which is moved again
    /// if that one is silent, too. Returns the attempt that the response belongs to.
    fn follow_second<'a>(
        self: &'a Arc<Self>,
        stream: StreamState<'a>,
        attempts: &'a mut Attempts,
        next: Attempt<D>,
        second: BoxFuture<'a, SendOutcome>,
    ) -> BoxFuture<'a, (Box<Attempt<D>>, SendOutcome)> {
        async move {
            let is_lost = |sent: &SendOutcome| !sent.is_success();
            match self
                .move_if_silent(&stream, attempts, second, is_lost)
                .await
            {
                Moved::Stayed(sent) => (Box::new(next), sent),
                Moved::Switched(third, sent) => {
                    self.sender.on_silent(&next.grant);
                    (third, sent)
                }
            }
        }
        .boxed()
    }

    /// Waits until `from`, and then until the instance can be replaced; never
    /// returns if the call may not run again.
    pub(crate) async fn replace_silent(
        self: &Arc<Self>,
        call: &Call,
        attempts: &Attempts,
        silent: &InstanceId,
        from: Now,
    ) -> Attempt<D> {
        if !call.may_run_again(attempts.sendings.may_have_run()) {
            return std::future::pending().await;
        }
        sleep_until(self.shared.clock.instant(from)).await;
        self.sender.dialer.check_link(silent);
        loop {
            if let Some(next) = self.try_replace(call, attempts, silent, "silent").await {
                return next;
            }
            let searched = self.shared.now().saturating_sub(from);
            tracing::info!(event = "silent_instance_kept", id = %call.id, instance = %silent,
                runs = attempts.sendings.may_have_run(), searched_ms = searched.as_millis() as u64);
            sleep(SEARCH_INTERVAL).await;
        }
    }

    /// Like [`Self::try_replace`], for a call whose error response is at hand: the
    /// caller waits for the search only as long as a later response is still of
    /// use to it.
    pub(crate) async fn try_replace_failed(
        self: &Arc<Self>,
        call: &Call,
        attempts: &Attempts,
        instance: &InstanceId,
    ) -> Option<Attempt<D>> {
        let longest = call.event_time_left(self.shared.now()) / 2;
        let search = self.try_replace(call, attempts, instance, "failed");
        timeout(longest, search).await.ok().flatten()
    }

    /// Finds another instance for a call that may have run at `instance`, and takes
    /// the retry from the budget; `None` if the call must not or can't be retried.
    pub(crate) async fn try_replace(
        self: &Arc<Self>,
        call: &Call,
        attempts: &Attempts,
        instance: &InstanceId,
        why: &'static str,
    ) -> Option<Attempt<D>> {
        if why == "deadline" || !call.may_run_again(attempts.sendings.may_have_run()) {
            return None;
        }
        let now = self.shared.now();
        if !self.shared.lock().budget.has_retry(&call.service, now) {
            return None;
        }
        let mut avoid = attempts.tried.clone();
        avoid.insert(instance.clone());
        let next = self.find_instance(call, &avoid).await.ok()?;
        self.try_withdraw_retry(call, why).then_some(next)
    }
}

/// Runs a call at a silent instance and at a second one until one of them goes on
/// or the time for both is over.
async fn overlap<F, S, P>(mut first: Pin<Box<F>>, mut second: S, is_lost: P) -> Overlap<F, S>
where
    F: Future,
    S: Future<Output = SendOutcome> + Unpin,
    P: Fn(&F::Output) -> bool,
{
    tokio::select! {
        biased;
        output = first.as_mut() => {
            if !is_lost(&output) {
                return Overlap::First(output);
            }
        }
        sent = &mut second => return Overlap::Second(sent, first),
        () = sleep(MAX_OVERLAP) => {}
    }
    drop(first);
    Overlap::OnlySecond(second)
}
