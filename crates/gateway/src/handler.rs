//! Serves a call: reads it, finds an instance, sends the call there, and
//! returns the response.

mod attempt;

pub(crate) use attempt::Attempt;

use crate::call::{Call, Unroutable};
use crate::dialect::Dialect;
use crate::metrics::Metrics;
use crate::placer::Placer;
use crate::progress::ProgressTx;
use crate::relay::Relay;
use crate::reply::{self, Reply, ReplyBody};
use crate::sender::{PendingResponse, SendOutcome, Sender, idle_timeout, lost_reason};
use crate::state::Shared;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use reedford_fleet::InstanceId;
use reedford_fleet::health::CallOutcome;
use reedford_fleet::scheduler::{Refusal, Rejection};
use reedford_front::HttpService;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep_until, timeout};

/// Attempts of one call that instances may reject before the call is refused.
const MAX_REJECTED_ATTEMPTS: u32 = 3;
/// Retry delay sent to callers while this node has no configuration.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Retry delay sent to callers when there is no instance.
pub(crate) const NO_INSTANCE_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Time without a response after which an idempotent call is retried, as a
/// fraction of the route's objective.
const RETRY_TIMEOUT_FACTOR: f64 = 0.8;
/// Timeout for reading a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(3);

/// Serves calls.
#[derive(Debug)]
pub(crate) struct Gateway<D> {
    pub(crate) dialect: Arc<D>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) sender: Sender<D>,
    pub(crate) placer: Placer,
    pub(crate) progress: ProgressTx,
    pub(crate) metrics: Arc<Metrics>,
}

/// HTTP service for callers.
#[derive(Debug)]
pub(crate) struct CallerService<D>(pub(crate) Arc<Gateway<D>>);

/// Outcome of one attempt of a call that is not streamed.
enum UnaryOutcome {
    Response(Reply),
    /// The call has to be retried; the retry has been taken from the budget.
    Retry,
    /// The call may have run, but its response is lost.
    Lost(&'static str),
    /// The call did not run.
    NotRun(Rejection),
}

impl<D> HttpService for CallerService<D>
where
    D: Dialect,
{
    type Body = ReplyBody;

    async fn handle(&self, req: Request<Incoming>) -> Reply {
        let mut reply = self.0.serve(req).await;
        if self.0.shared.lock().stopping {
            reply.headers_mut().insert(
                hyper::header::CONNECTION,
                hyper::header::HeaderValue::from_static("close"),
            );
        }
        reply
    }
}

impl<D> Gateway<D>
where
    D: Dialect,
{
    async fn serve(self: &Arc<Self>, req: Request<Incoming>) -> Reply {
        let (parts, body) = req.into_parts();
        let arrived = self.shared.now();
        let head = self.dialect.parse_call(&parts);
        let routes = self.shared.lock().routes.clone();
        let Some(routes) = routes else {
            tracing::info!(event = "refused", id = ?head.attempt_id, reason = "no_configuration");
            return self.reply_unavailable("no configuration yet", UNCONFIGURED_RETRY_AFTER);
        };
        let limits = routes.config().limits;
        let path = parts.uri.path().to_owned();
        let mut call = match Call::new(parts, head, &routes, arrived) {
            Ok(call) => call,
            Err(Unroutable::NoRoute) => {
                tracing::info!(event = "refused", reason = "no_route", %path,
                    version = routes.config().version);
                return reply::plain_text(StatusCode::NOT_FOUND, "no route takes this path");
            }
            Err(Unroutable::NoService) => {
                return self.reply_unavailable(
                    "the route's service does not exist",
                    NO_INSTANCE_RETRY_AFTER,
                );
            }
        };
        match read_body(body, limits.body_bytes).await {
            Ok(body) => call.body = body,
            Err(status) => return reply::plain_text(status, "the body can't be read"),
        }
        let now = self.shared.now();
        self.shared.lock().budget.record_call(&call.service, now);
        if call.route.kind.is_stream() {
            self.serve_stream(call).await
        } else {
            self.serve_unary(call).await
        }
    }

    /// Serves a call whose response is not a stream.
    async fn serve_unary(self: &Arc<Self>, call: Call) -> Reply {
        let mut tried = BTreeSet::new();
        // Attempts that may have run the call.
        let mut runs = 0;
        let mut rejected = 0;
        loop {
            let attempt = match self.find_instance(&call, &tried).await {
                Ok(attempt) => attempt,
                Err(refusal) => return self.reply_refused(&call, runs, &refusal),
            };
            let instance = attempt.grant.instance.clone();
            match self.attempt_unary(&call, attempt, runs).await {
                UnaryOutcome::Response(reply) => {
                    self.record_end(&call, &instance, "answered", 0);
                    return reply;
                }
                UnaryOutcome::Retry => runs += 1,
                UnaryOutcome::Lost(why) => {
                    runs += 1;
                    if !self.try_retry(&call, runs, why) {
                        return self.reply_lost(&call, &instance, why);
                    }
                }
                UnaryOutcome::NotRun(rejection) => {
                    rejected += 1;
                    let retry = rejected < MAX_REJECTED_ATTEMPTS
                        && self.try_withdraw_retry(&call, "refused");
                    if !retry {
                        return self.reply_not_run(&call, runs, rejection);
                    }
                }
            }
            tried.insert(instance);
        }
    }

    async fn attempt_unary(
        self: &Arc<Self>,
        call: &Call,
        mut attempt: Attempt<D>,
        runs: u32,
    ) -> UnaryOutcome {
        let outcome = self.send_unary(call, &attempt, runs).await;
        match outcome {
            UnaryOutcome::NotRun(rejection) => attempt.report_rejected(rejection),
            UnaryOutcome::Response(ref reply) if reply.status().is_server_error() => {
                let may_retry = call.route.kind.retryable() && runs + 1 < call.route.attempts;
                if may_retry && self.try_withdraw_retry(call, "failed") {
                    return UnaryOutcome::Retry;
                }
            }
            UnaryOutcome::Response(_) | UnaryOutcome::Lost(_) | UnaryOutcome::Retry => {}
        }
        outcome
    }

    /// Sends a call and reads the complete response. Gives up with
    /// [`UnaryOutcome::Retry`] if there is none by [`Self::retry_at`] and a retry
    /// can be taken from the budget.
    async fn send_unary(&self, call: &Call, attempt: &Attempt<D>, runs: u32) -> UnaryOutcome {
        let sending = async {
            match self.sender.send(call, &attempt.grant, None, false).await {
                SendOutcome::Response(response) => {
                    let read = self.read_response(call, attempt, *response).await;
                    read.map_or_else(UnaryOutcome::Lost, UnaryOutcome::Response)
                }
                SendOutcome::NotRun(rejection) => UnaryOutcome::NotRun(rejection),
                SendOutcome::Lost(why) => UnaryOutcome::Lost(why),
            }
        };
        let mut sending = std::pin::pin!(sending);
        if let Some(at) = self.retry_at(call, runs) {
            tokio::select! {
                biased;
                outcome = sending.as_mut() => return outcome,
                () = sleep_until(self.shared.clock.instant(at)) => {}
            }
            if self.try_withdraw_retry(call, "silent") {
                return UnaryOutcome::Retry;
            }
        }
        sending.await
    }

    /// Returns when an idempotent call without a response is retried.
    fn retry_at(&self, call: &Call, runs: u32) -> Option<reedford_fleet::Now> {
        let may_retry = call.route.kind.retryable() && runs + 1 < call.route.attempts;
        may_retry.then(|| self.shared.now() + call.route.objective.mul_f64(RETRY_TIMEOUT_FACTOR))
    }

    async fn read_response(
        &self,
        call: &Call,
        attempt: &Attempt<D>,
        response: PendingResponse,
    ) -> Result<Reply, &'static str> {
        let idle_timeout = idle_timeout(&response.incoming.headers);
        let left = call.time_left(self.shared.now());
        let deadline = self.shared.clock.instant(call.deadline);
        let whole =
            reedford_targets::read_body(&self.sender.pool, response.incoming, left, Some(deadline))
                .await;
        let response = whole.map_err(|reason| {
            self.sender
                .record_outcome(&attempt.grant, CallOutcome::Failed);
            lost_reason(reason)
        })?;
        let outcome = if response.status.is_server_error() {
            CallOutcome::Failed
        } else {
            CallOutcome::Good
        };
        self.sender.record_outcome(&attempt.grant, outcome);
        let (status, headers) = (response.status, response.headers.clone());
        let body = match idle_timeout {
            Some(idle_timeout) => {
                response.into_body_with_idle_timeout(&self.sender.pool, idle_timeout)
            }
            None => response.body,
        };
        Ok(reply::from_instance(
            status,
            headers,
            reply::full_body(body),
        ))
    }

    /// Serves a call whose response is a stream of events.
    async fn serve_stream(self: &Arc<Self>, call: Call) -> Reply {
        let mut tried = BTreeSet::new();
        // Attempts that may have run the call.
        let mut runs = 0;
        let mut rejected = 0;
        loop {
            let mut attempt = match self.find_instance(&call, &tried).await {
                Ok(attempt) => attempt,
                Err(refusal) => return self.reply_refused(&call, runs, &refusal),
            };
            let instance = attempt.grant.instance.clone();
            let last = call.head.last_event_id.clone();
            let may_retry = call.route.kind.retryable() && runs + 1 < call.route.attempts;
            match self
                .sender
                .send(&call, &attempt.grant, last.as_deref(), may_retry)
                .await
            {
                SendOutcome::Response(response) if response.incoming.status.is_success() => {
                    return self.relay(call, *response, attempt, tried, runs + 1);
                }
                SendOutcome::Response(response) => {
                    runs += 1;
                    self.sender
                        .record_outcome(&attempt.grant, CallOutcome::Failed);
                    if !self.try_retry(&call, runs, "failed") {
                        let reply = self.read_response(&call, &attempt, *response).await;
                        return reply.unwrap_or_else(|why| self.reply_lost(&call, &instance, why));
                    }
                }
                SendOutcome::Lost(why) => {
                    runs += 1;
                    if !self.try_retry(&call, runs, why) {
                        return self.reply_lost(&call, &instance, why);
                    }
                }
                SendOutcome::NotRun(rejection) => {
                    attempt.report_rejected(rejection);
                    rejected += 1;
                    let retry = rejected < MAX_REJECTED_ATTEMPTS
                        && self.try_withdraw_retry(&call, "refused");
                    if !retry {
                        return self.reply_not_run(&call, runs, rejection);
                    }
                    // The same instance may be granted again, e.g. once its load of
                    // the adapter is complete.
                    if rejection == Rejection::Missing {
                        continue;
                    }
                }
            }
            tried.insert(instance);
        }
    }

    fn relay(
        self: &Arc<Self>,
        call: Call,
        response: PendingResponse,
        attempt: Attempt<D>,
        tried: BTreeSet<InstanceId>,
        runs: u32,
    ) -> Reply {
        let status = response.incoming.status;
        let headers = response.incoming.headers.clone();
        let relay = Relay::new(Arc::clone(self), call, response, attempt, tried, runs);
        let events = futures::stream::unfold(relay, Relay::next);
        let body = StreamBody::new(events).boxed_unsync();
        reply::from_instance(status, headers, body)
    }

    /// Returns whether a call that may have run is retried, and takes the retry
    /// from the budget.
    fn try_retry(&self, call: &Call, runs: u32, why: &'static str) -> bool {
        why != "deadline"
            && call.route.kind.retryable()
            && runs < call.route.attempts
            && self.try_withdraw_retry(call, why)
    }

    /// Takes one retry from the budget if it allows one; returns whether it did.
    pub(crate) fn try_withdraw_retry(&self, call: &Call, why: &'static str) -> bool {
        let now = self.shared.now();
        let left = call.time_left(now);
        let taken = !left.is_zero() && self.shared.lock().budget.try_withdraw(&call.service, now);
        tracing::info!(event = "repeat", id = %call.id, why, taken, left_ms = left.as_millis() as u64);
        if taken {
            self.metrics.retry(why);
        }
        taken
    }

    fn reply_refused(&self, call: &Call, runs: u32, refusal: &Refusal) -> Reply {
        self.record_end(call, "", refusal.reason.name(), 0);
        if runs > 0 {
            return reply::plain_text(StatusCode::BAD_GATEWAY, "no instance answered");
        }
        self.reply_unavailable("there is no room in time", refusal.retry_after)
    }

    fn reply_not_run(&self, call: &Call, runs: u32, rejection: Rejection) -> Reply {
        self.record_end(call, "", "not_run", 0);
        if runs > 0 {
            return reply::plain_text(StatusCode::BAD_GATEWAY, "no instance answered");
        }
        let wait = match rejection {
            Rejection::Missing => Duration::from_millis(150),
            Rejection::Full | Rejection::Unreachable => NO_INSTANCE_RETRY_AFTER,
        };
        self.reply_unavailable("no instance took the call", wait)
    }

    fn reply_lost(&self, call: &Call, instance: &str, why: &'static str) -> Reply {
        self.record_end(call, instance, why, 0);
        if why == "deadline" {
            return reply::plain_text(StatusCode::GATEWAY_TIMEOUT, "no answer in time");
        }
        reply::plain_text(StatusCode::BAD_GATEWAY, "the answer was lost")
    }

    fn reply_unavailable(&self, text: &'static str, wait: Duration) -> Reply {
        reply::plain_text_with(
            StatusCode::SERVICE_UNAVAILABLE,
            text,
            self.dialect.retry_after_header(wait),
        )
    }

    /// Records the end of a call in metrics and log.
    pub(crate) fn record_end(&self, call: &Call, instance: &str, outcome: &str, events: u64) {
        let took = self.shared.now().saturating_sub(call.arrived);
        self.metrics.call(&call.route.name, outcome, took);
        tracing::info!(event = "call", id = %call.id, route = %call.route.name, instance,
            outcome, events, ms = took.as_millis() as u64);
    }
}

async fn read_body(mut body: Incoming, limit: usize) -> Result<Bytes, StatusCode> {
    let reading = async {
        let mut buf = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_cut| StatusCode::BAD_REQUEST)?;
            let Some(data) = frame.data_ref() else {
                continue;
            };
            if buf.len() + data.len() > limit {
                return Err(StatusCode::PAYLOAD_TOO_LARGE);
            }
            buf.extend_from_slice(data);
        }
        Ok(buf.freeze())
    };
    timeout(BODY_TIMEOUT, reading)
        .await
        .unwrap_or(Err(StatusCode::REQUEST_TIMEOUT))
}
