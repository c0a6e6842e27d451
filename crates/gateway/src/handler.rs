//! Serves one call: reads it, finds places, sends it, and answers.

mod granted;

pub(crate) use granted::Sending;

use crate::call::{Call, Unroutable};
use crate::metrics::Metrics;
use crate::places::Places;
use crate::ports::Dialect;
use crate::progress::ProgressTx;
use crate::relay::Relay;
use crate::reply::{self, Reply, ReplyBody};
use crate::sending::{Answered, Sender, Sent, idle_time, lost_name};
use crate::state::Shared;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use reedford_fleet::InstanceId;
use reedford_fleet::health::CallOutcome;
use reedford_fleet::scheduler::{Refusal, Rejection};
use reedford_front::HttpService;
use reedford_targets::read_whole;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep_until, timeout};

/// Sendings of one call that instances may refuse before it is refused itself.
const REFUSED_SENDINGS: u32 = 3;
/// Time after which a caller is asked to come back when this node has no
/// configuration yet.
const UNCONFIGURED_RETRY: Duration = Duration::from_millis(300);
/// Time after which a caller is asked to come back when no instance is there.
const NO_INSTANCE_RETRY: Duration = Duration::from_millis(250);
/// Silence after which an idempotent call is sent once more, in parts of the
/// objective.
const REPEAT_AFTER: f64 = 0.8;
/// Time for a caller to send a body.
const BODY_TIME: Duration = Duration::from_secs(3);

/// What serves calls.
#[derive(Debug)]
pub(crate) struct Gateway<D> {
    pub(crate) dialect: Arc<D>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) sender: Sender<D>,
    pub(crate) places: Places,
    pub(crate) progress: ProgressTx,
    pub(crate) metrics: Arc<Metrics>,
}

/// Answers callers.
#[derive(Debug)]
pub(crate) struct Callers<D>(pub(crate) Arc<Gateway<D>>);

/// How one sending of a call with a whole answer ended.
enum Whole {
    /// The instance's answer.
    Answer(Reply),
    /// It has to be sent once more, within the budget that was taken.
    Retry,
    /// It may have run; the answer is lost.
    Lost(&'static str),
    /// It did not run.
    NotRun(Rejection),
}

impl<D> HttpService for Callers<D>
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
        let head = self.dialect.call(&parts);
        let routes = self.shared.lock().routes.clone();
        let Some(routes) = routes else {
            tracing::info!(event = "refused", id = ?head.attempt, reason = "no_configuration");
            return self.refuse("no configuration yet", UNCONFIGURED_RETRY);
        };
        let limits = routes.config().limits;
        let path = parts.uri.path().to_owned();
        let mut call = match Call::new(parts, head, &routes, arrived) {
            Ok(call) => call,
            Err(Unroutable::NoRoute) => {
                tracing::info!(event = "refused", reason = "no_route", %path,
                    version = routes.config().version);
                return reply::own(StatusCode::NOT_FOUND, "no route takes this path");
            }
            Err(Unroutable::NoService) => {
                return self.refuse("the route's service does not exist", NO_INSTANCE_RETRY);
            }
        };
        match read_body(body, limits.body_bytes).await {
            Ok(body) => call.body = body,
            Err(status) => return reply::own(status, "the body can't be read"),
        }
        let now = self.shared.now();
        self.shared.lock().budget.record_call(&call.service, now);
        if call.route.kind.is_stream() {
            self.stream(call).await
        } else {
            self.whole(call).await
        }
    }

    /// Serves a call with a whole answer.
    async fn whole(self: &Arc<Self>, call: Call) -> Reply {
        let mut tried = BTreeSet::new();
        let mut runs = 0;
        let mut refused = 0;
        loop {
            let sending = match self.place(&call, &tried).await {
                Ok(sending) => sending,
                Err(refusal) => return self.refused(&call, runs, &refusal),
            };
            let instance = sending.grant.instance.clone();
            match self.send_whole(&call, sending, runs).await {
                Whole::Answer(reply) => {
                    self.ended(&call, &instance, "answered", 0);
                    return reply;
                }
                Whole::Retry => runs += 1,
                Whole::Lost(why) => {
                    runs += 1;
                    if !self.may_repeat(&call, runs, why) {
                        return self.lost(&call, &instance, why);
                    }
                }
                Whole::NotRun(rejection) => {
                    refused += 1;
                    let more = refused < REFUSED_SENDINGS && self.take_repeat(&call, "refused");
                    if !more {
                        return self.not_run(&call, runs, rejection);
                    }
                }
            }
            tried.insert(instance);
        }
    }

    async fn send_whole(
        self: &Arc<Self>,
        call: &Call,
        mut sending: Sending<D>,
        runs: u32,
    ) -> Whole {
        let whole = self.exchange_whole(call, &sending, runs).await;
        match whole {
            Whole::NotRun(rejection) => sending.rejected(rejection),
            Whole::Answer(ref reply) if reply.status().is_server_error() => {
                let more = call.route.kind.repeatable() && runs + 1 < call.route.attempts;
                if more && self.take_repeat(call, "failed") {
                    return Whole::Retry;
                }
            }
            Whole::Answer(_) | Whole::Lost(_) | Whole::Retry => {}
        }
        whole
    }

    /// Sends a call and reads the answer.
    async fn exchange_whole(&self, call: &Call, sending: &Sending<D>, runs: u32) -> Whole {
        let exchange = async {
            match self.sender.send(call, &sending.grant, None, false).await {
                Sent::Answered(answered) => {
                    let read = self.read_answer(call, sending, *answered).await;
                    read.map_or_else(Whole::Lost, Whole::Answer)
                }
                Sent::NotRun(rejection) => Whole::NotRun(rejection),
                Sent::Lost(why) => Whole::Lost(why),
            }
        };
        let mut exchange = std::pin::pin!(exchange);
        if let Some(at) = self.repeat_at(call, runs) {
            tokio::select! {
                biased;
                whole = exchange.as_mut() => return whole,
                () = sleep_until(self.shared.clock.instant(at)) => {}
            }
            if self.take_repeat(call, "silent") {
                return Whole::Retry;
            }
        }
        exchange.await
    }

    /// When an idempotent call that has no answer is sent once more.
    fn repeat_at(&self, call: &Call, runs: u32) -> Option<reedford_fleet::Now> {
        let more = call.route.kind.repeatable() && runs + 1 < call.route.attempts;
        more.then(|| self.shared.now() + call.route.objective.mul_f64(REPEAT_AFTER))
    }

    async fn read_answer(
        &self,
        call: &Call,
        sending: &Sending<D>,
        answered: Answered,
    ) -> Result<Reply, &'static str> {
        let idle = idle_time(&answered.exchange.headers);
        let left = call.left(self.shared.now());
        let until = self.shared.clock.instant(call.until);
        let whole = read_whole(&self.sender.pool, answered.exchange, left, Some(until)).await;
        let answer = whole.map_err(|reason| {
            self.sender.observe(&sending.grant, CallOutcome::Failed);
            lost_name(reason)
        })?;
        let observed = if answer.status.is_server_error() {
            CallOutcome::Failed
        } else {
            CallOutcome::Good
        };
        self.sender.observe(&sending.grant, observed);
        let (status, headers) = (answer.status, answer.headers.clone());
        let body = match idle {
            Some(idle) => answer.accept_for(&self.sender.pool, idle),
            None => answer.body,
        };
        Ok(reply::passed_on(status, headers, reply::whole(body)))
    }

    /// Serves a call with a stream of events.
    async fn stream(self: &Arc<Self>, call: Call) -> Reply {
        let mut tried = BTreeSet::new();
        let mut runs = 0;
        let mut refused = 0;
        loop {
            let mut sending = match self.place(&call, &tried).await {
                Ok(sending) => sending,
                Err(refusal) => return self.refused(&call, runs, &refusal),
            };
            let instance = sending.grant.instance.clone();
            let last = call.head.last_event.clone();
            let more = call.route.kind.repeatable() && runs + 1 < call.route.attempts;
            match self
                .sender
                .send(&call, &sending.grant, last.as_deref(), more)
                .await
            {
                Sent::Answered(answered) if answered.exchange.status.is_success() => {
                    return self.relay(call, *answered, sending, tried, runs + 1);
                }
                Sent::Answered(answered) => {
                    runs += 1;
                    self.sender.observe(&sending.grant, CallOutcome::Failed);
                    if !self.may_repeat(&call, runs, "failed") {
                        let reply = self.read_answer(&call, &sending, *answered).await;
                        return reply.unwrap_or_else(|why| self.lost(&call, &instance, why));
                    }
                }
                Sent::Lost(why) => {
                    runs += 1;
                    if !self.may_repeat(&call, runs, why) {
                        return self.lost(&call, &instance, why);
                    }
                }
                Sent::NotRun(rejection) => {
                    sending.rejected(rejection);
                    refused += 1;
                    let more = refused < REFUSED_SENDINGS && self.take_repeat(&call, "refused");
                    if !more {
                        return self.not_run(&call, runs, rejection);
                    }
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
        answered: Answered,
        sending: Sending<D>,
        tried: BTreeSet<InstanceId>,
        runs: u32,
    ) -> Reply {
        let status = answered.exchange.status;
        let headers = answered.exchange.headers.clone();
        let relay = Relay::new(Arc::clone(self), call, answered, sending, tried, runs);
        let events = futures::stream::unfold(relay, Relay::next);
        let body = StreamBody::new(events).boxed_unsync();
        reply::passed_on(status, headers, body)
    }

    fn may_repeat(&self, call: &Call, runs: u32, why: &'static str) -> bool {
        why != "deadline"
            && call.route.kind.repeatable()
            && runs < call.route.attempts
            && self.take_repeat(call, why)
    }

    /// Takes one sending from the retry budget.
    pub(crate) fn take_repeat(&self, call: &Call, why: &'static str) -> bool {
        let now = self.shared.now();
        let left = call.left(now);
        let taken = !left.is_zero() && self.shared.lock().budget.try_withdraw(&call.service, now);
        tracing::info!(event = "repeat", id = %call.id, why, taken, left_ms = left.as_millis() as u64);
        if taken {
            self.metrics.repeat(why);
        }
        taken
    }

    fn refused(&self, call: &Call, runs: u32, refusal: &Refusal) -> Reply {
        self.ended(call, "", refusal.reason.name(), 0);
        if runs > 0 {
            return reply::own(StatusCode::BAD_GATEWAY, "no instance answered");
        }
        self.refuse("there is no room in time", refusal.retry_after)
    }

    fn not_run(&self, call: &Call, runs: u32, rejection: Rejection) -> Reply {
        self.ended(call, "", "not_run", 0);
        if runs > 0 {
            return reply::own(StatusCode::BAD_GATEWAY, "no instance answered");
        }
        let wait = match rejection {
            Rejection::Missing => Duration::from_millis(150),
            Rejection::Full | Rejection::Unreachable => NO_INSTANCE_RETRY,
        };
        self.refuse("no instance took the call", wait)
    }

    fn lost(&self, call: &Call, instance: &str, why: &'static str) -> Reply {
        self.ended(call, instance, why, 0);
        if why == "deadline" {
            return reply::own(StatusCode::GATEWAY_TIMEOUT, "no answer in time");
        }
        reply::own(StatusCode::BAD_GATEWAY, "the answer was lost")
    }

    fn refuse(&self, text: &'static str, wait: Duration) -> Reply {
        reply::own_with(
            StatusCode::SERVICE_UNAVAILABLE,
            text,
            self.dialect.retry_after(wait),
        )
    }

    /// Notes the end of a call.
    pub(crate) fn ended(&self, call: &Call, instance: &str, outcome: &str, events: u64) {
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
    timeout(BODY_TIME, reading)
        .await
        .unwrap_or(Err(StatusCode::REQUEST_TIMEOUT))
}
