//! Serves a call: reads it, finds an instance, sends the call there, and
//! returns the response.

mod attempt;
mod repeated;
mod replacement;
mod replies;
mod stream_origin;
mod unary;

pub(crate) use attempt::Attempt;
pub(crate) use replacement::{Attempts, Moved, StreamState};
pub(crate) use replies::{CallEnd, Progressed};

use crate::call::{Call, Unroutable};
use crate::dialect::Dialect;
use crate::metrics::Metrics;
use crate::placer::Placer;
use crate::progress::ProgressTx;
use crate::relay::Relay;
use crate::reply::{self, Failure, Reply, ReplyBody};
use crate::sender::{PendingResponse, SendOutcome, Sender, Sending};
use crate::serving_versions::ServingVersionsTx;
use crate::state::Shared;
use crate::stream_record::StreamRecordTx;
use bytes::Bytes;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use reedford_bodies::{BodyBuf, BodyKind, BodyMemory};
use reedford_fleet::scheduler::{Refusal, Rejection};
use reedford_front::HttpService;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Attempts of one call that instances may reject before the call is refused.
const MAX_REJECTED_ATTEMPTS: u32 = 3;
/// Retry delay sent to callers while this node has no configuration.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Retry delay sent to callers when there is no instance.
pub(crate) const NO_INSTANCE_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Time without a response head, and then without a first event, after which a
/// stream is moved to another instance, as a multiple of the route's objective.
pub(crate) const STREAM_SILENCE_FACTOR: f64 = 2.0;
/// Timeout for reading the body of a stream's error response.
const ERROR_BODY_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout for reading a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(3);
/// Retry delay sent to callers whose request body finds no memory.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Serves calls.
#[derive(Debug)]
pub(crate) struct Gateway<D> {
    pub(crate) dialect: Arc<D>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) sender: Sender<D>,
    pub(crate) placer: Placer,
    pub(crate) progress: ProgressTx,
    pub(crate) streams: StreamRecordTx,
    pub(crate) versions: ServingVersionsTx,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) age_limits: AgeLimits,
    /// Holds the bodies of requests and responses.
    pub(crate) bodies: BodyMemory,
}

/// How old a node's configuration may be.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AgeLimits {
    /// To say that a route or a key doesn't exist, which callers take as final.
    pub(crate) denial: Duration,
    /// To accept a key, if that is limited.
    pub(crate) max_age: Option<Duration>,
}

/// HTTP service for callers.
#[derive(Debug)]
pub(crate) struct CallerService<D>(pub(crate) Arc<Gateway<D>>);

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
        let (parts, mut body) = req.into_parts();
        let mut attempts = Attempts::default();
        let arrived = self.shared.now();
        let head = self.dialect.parse_call(&parts);
        if self.may_have_run(&head, arrived) {
            return reply::failure(Failure::BadGateway, "the call may have run before");
        }
        let routes = self.shared.lock().routes.clone();
        let Some(routes) = routes else {
            tracing::info!(event = "refused", id = ?head.attempt_id, reason = "no_configuration");
            return self.reply_unsent(&attempts, "no configuration yet", UNCONFIGURED_RETRY_AFTER);
        };
        let limits = routes.config().limits;
        let path = parts.uri.path().to_owned();
        let mut call = match Call::new(parts, head, &routes, arrived) {
            Ok(call) => call,
            Err(Unroutable::NoRoute) => {
                let version = routes.config().version;
                return self.reply_no_route(&attempts, &path, version, arrived);
            }
            Err(Unroutable::NoService) => {
                return self.reply_unsent(
                    &attempts,
                    "the route's service does not exist",
                    NO_INSTANCE_RETRY_AFTER,
                );
            }
            Err(Unroutable::Denied) => {
                let version = routes.config().version;
                return self.reply_denied(&attempts, &path, version, "unknown_key", arrived);
            }
        };
        attempts.receipt = self.receive(&call, arrived);
        if let Some(limit) = self.age_limits.max_age
            && call.caller.key().is_some()
            && !self.shared.lock().is_configuration_current(limit, arrived)
        {
            return self.reply_unconfirmed(&attempts, "unconfirmed_key");
        }
        let stopped = self.shared.last_refusals();
        let buf = self.bodies.body(BodyKind::Request);
        let read = tokio::select! {
            biased;
            read = read_body(&mut body, buf, limits.body_bytes) => read,
            () = stopped => return self.reply_stopping(&call, &attempts),
        };
        match read {
            Ok(body) => call.body = body,
            Err(error) => return self.reply_unreadable(&call, &attempts, error, body),
        }
        let now = self.shared.now();
        // Such a call could not end before the connections of callers are closed.
        if self.shared.is_stopped(now) {
            return self.reply_stopping(&call, &attempts);
        }
        self.shared.lock().budget.record_call(&call.service, now);
        if call.route.kind.is_stream() {
            self.serve_stream(call, attempts).await
        } else {
            self.serve_unary(call, attempts).await
        }
    }

    /// Returns the attempt that was secured, or finds an instance for one.
    async fn next_attempt(
        self: &Arc<Self>,
        call: &Call,
        attempts: &Attempts,
        secured: Option<Attempt<D>>,
    ) -> Result<Attempt<D>, Refusal> {
        match secured {
            Some(attempt) => Ok(attempt),
            None => self.find_instance(call, &attempts.tried).await,
        }
    }

    /// Serves a call whose response is a stream of events.
    async fn serve_stream(self: &Arc<Self>, mut call: Call, mut attempts: Attempts) -> Reply {
        if call.head.last_event_id.is_some()
            && let Err(refusal) = self.require_origin(&mut call).await
        {
            return self.reply_refused(&call, &attempts, &refusal);
        }
        let mut rejected = 0;
        // Error response of an earlier attempt, returned if no later one succeeds.
        let mut failure = None;
        let mut next = None;
        loop {
            let mut attempt = match self.next_attempt(&call, &attempts, next.take()).await {
                Ok(attempt) => attempt,
                Err(refusal) => {
                    return match failure {
                        Some(reply) => self.reply_failed(&call, &attempts, reply),
                        None => self.reply_refused(&call, &attempts, &refusal),
                    };
                }
            };
            let last = call.head.last_event_id.as_deref();
            let sent = self
                .send_stream(&call, &mut attempt, last, &mut attempts)
                .await;
            let instance = attempt.grant.instance.clone();
            match sent {
                SendOutcome::Response(response) if response.incoming.status == StatusCode::OK => {
                    return self.relay(call, *response, attempt, attempts);
                }
                SendOutcome::Response(response) => {
                    let read = self.read_response(&call, &attempt, *response);
                    let reply = timeout(ERROR_BODY_TIMEOUT, read).await;
                    let reply = reply.unwrap_or(Err("unreadable"));
                    attempt.end();
                    // A success of another kind has no events.
                    let reply = match reply {
                        Ok(reply) if reply.status().is_success() => {
                            return self
                                .record_reply(&call, &attempts, &instance, "answered", reply);
                        }
                        other => other,
                    };
                    next = self.try_replace_failed(&call, &attempts, &instance).await;
                    if next.is_none() {
                        return match reply {
                            Ok(reply) => self.reply_failed(&call, &attempts, reply),
                            Err(why) => self.reply_lost(&call, &attempts, &instance, why),
                        };
                    }
                    failure = reply.ok().or(failure);
                }
                SendOutcome::Lost(why) => {
                    attempt.end();
                    next = self.try_replace(&call, &attempts, &instance, why).await;
                    if next.is_none() {
                        return match failure {
                            Some(reply) => self.reply_failed(&call, &attempts, reply),
                            None => self.reply_lost(&call, &attempts, &instance, why),
                        };
                    }
                }
                SendOutcome::NotRun(proof) => {
                    let rejection = proof.rejection();
                    attempt.report_rejected(rejection);
                    rejected += 1;
                    let retry = rejected < MAX_REJECTED_ATTEMPTS
                        && self.try_withdraw_retry(&call, "refused");
                    if !retry {
                        return match failure {
                            Some(reply) => self.reply_failed(&call, &attempts, reply),
                            None => self.reply_not_run(&call, &attempts, rejection),
                        };
                    }
                    // The same instance may be granted again, e.g. once its load of
                    // the adapter is complete.
                    if rejection == Rejection::Missing {
                        continue;
                    }
                }
            }
            attempts.tried.insert(instance);
        }
    }

    /// Sends a stream's call and waits for the head of the response. If the instance
    /// is silent, `attempt` may be replaced by one at another instance.
    pub(crate) async fn send_stream(
        self: &Arc<Self>,
        call: &Call,
        attempt: &mut Attempt<D>,
        last_event_id: Option<&str>,
        attempts: &mut Attempts,
    ) -> SendOutcome {
        let unsent = attempts.sendings.begin();
        let stream = StreamState {
            call,
            instance: &attempt.grant.instance,
            last_event_id,
            silence_limit: call.route.objective.mul_f64(STREAM_SILENCE_FACTOR),
        };
        let sending = Sending {
            call,
            grant: &attempt.grant,
            last_event_id,
        };
        let sending = self.sender.send(unsent, sending);
        let is_lost = |sent: &SendOutcome| !sent.is_success();
        let moved = self.move_if_silent(&stream, attempts, sending, is_lost);
        let sent = match moved.await {
            Moved::Stayed(sent) => sent,
            Moved::Switched(next, sent) => {
                self.sender.on_silent(&attempt.grant);
                attempts.tried.insert(attempt.grant.instance.clone());
                *attempt = *next;
                sent
            }
        };
        if let SendOutcome::NotRun(proof) = &sent {
            attempts.sendings.on_not_run(proof);
        }
        sent
    }

    fn relay(
        self: &Arc<Self>,
        call: Call,
        response: PendingResponse,
        attempt: Attempt<D>,
        attempts: Attempts,
    ) -> Reply {
        let status = response.status;
        let headers = response.incoming.headers.clone();
        let relay = Relay::new(Arc::clone(self), call, response, attempt, attempts);
        let events = futures::stream::unfold(relay, Relay::next);
        let body = StreamBody::new(events).boxed_unsync();
        reply::from_instance(status, headers, body)
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
}

/// Why the body of a request can't be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BodyError {
    Cut,
    NoMemory,
    TooLarge,
    TooSlow,
}

async fn read_body(
    body: &mut Incoming,
    mut buf: BodyBuf,
    limit: usize,
) -> Result<Bytes, BodyError> {
    let reading = async {
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_cut| BodyError::Cut)?;
            let Some(data) = frame.data_ref() else {
                continue;
            };
            if buf.len() + data.len() > limit {
                return Err(BodyError::TooLarge);
            }
            buf.push(data).map_err(|_full| BodyError::NoMemory)?;
        }
        Ok(buf.freeze())
    };
    timeout(BODY_TIMEOUT, reading)
        .await
        .unwrap_or(Err(BodyError::TooSlow))
}
