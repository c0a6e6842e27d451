//! Sends a call to an instance and reads the head of the response.

use crate::call::Call;
use crate::connection_headers::{idle_timeout, remove_hop_by_hop_headers};
use crate::dialect::{Dialect, Dispatch, NotRunReason, ResponseHead};
use crate::dialer::InstanceDialer;
use crate::state::Shared;
use http_body_util::Full;
use hyper::Request;
use reedford_fleet::attribution::Exchange;
use reedford_fleet::health::CallOutcome;
use reedford_fleet::not_run::{
    AnswerStatus, NotRun, Sent, Statement, Unsent, Verdict, promises_not_run,
};
use reedford_fleet::quarantine::BLAME_TIME;
use reedford_fleet::scheduler::{Grant, PromptPart, Rejection};
use reedford_fleet::{Now, WeightVersion};
use reedford_targets::{
    CallError, Connection, HeadDeadline, IncomingResponse, LostReason, NotSentReason, Pool, Reuse,
    send_request_on,
};
use std::fmt;
use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout_at};

/// Time that a process that ends needs to close its listener.
const CRASH_CHECK_DELAY: Duration = Duration::from_millis(50);
/// Why a call is lost or refused whose body finds no memory.
pub(crate) const NO_MEMORY: &str = "no_memory";

/// Sends calls to instances.
#[derive(Debug)]
pub(crate) struct Sender<D> {
    pub(crate) dialect: Arc<D>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) pool: Arc<Pool>,
    pub(crate) dialer: InstanceDialer,
}

/// What is sent to an instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sending<'a> {
    pub(crate) call: &'a Call,
    pub(crate) grant: &'a Grant,
    pub(crate) last_event_id: Option<&'a str>,
}

/// On a connection on which the call failed before, a copy of that response can't be told from
/// the response to this sending.
fn reuse(call: &Call) -> Reuse {
    Reuse::AllowedFor(call.id_hash())
}

/// Result of sending a call, up to the head of the response.
#[derive(Debug)]
pub(crate) enum SendOutcome {
    /// The head of a response to this call.
    Response(Box<PendingResponse>),
    /// The call did not run.
    NotRun(NotRun),
    /// The call may have run, but its response is lost.
    Lost(&'static str),
}

impl SendOutcome {
    pub(crate) fn is_success(&self) -> bool {
        match self {
            Self::Response(response) => response.incoming.status.is_success(),
            Self::NotRun(_) | Self::Lost(_) => false,
        }
    }
}

/// A response whose head was received.
#[derive(Debug)]
pub(crate) struct PendingResponse {
    pub(crate) incoming: IncomingResponse,
    /// The status, which the caller may get.
    pub(crate) status: AnswerStatus,
    /// How much longer work takes on the instance's machine than usually, if it states that.
    pub(crate) slowdown: Option<f64>,
    /// Version of the weights that the head names.
    pub(crate) weight_version: Option<WeightVersion>,
}

impl<D> Sender<D>
where
    D: Dialect,
{
    /// Sends a call and waits for the head of the response until the call's
    /// deadline.
    pub(crate) async fn send(&self, unsent: Unsent, sending: Sending<'_>) -> SendOutcome {
        match self.connect(sending).await {
            Some(conn) => self.send_on(conn, unsent, sending).await,
            None => SendOutcome::NotRun(unsent.not_sent()),
        }
    }

    /// Takes an idle connection to an instance, or opens one.
    pub(crate) async fn connect(&self, sending: Sending<'_>) -> Option<Connection> {
        let Sending { call, grant, .. } = sending;
        let deadline = self.shared.clock.instant(call.deadline);
        timeout_at(deadline, self.pool.acquire(grant.addr, reuse(call)))
            .await
            .unwrap_or(Err(NotSentReason::Deadline))
            .map_err(|reason| self.on_not_sent(call, grant, &reason))
            .ok()
    }

    /// Like [`Self::send`], on a connection of [`Self::connect`].
    pub(crate) async fn send_on(
        &self,
        conn: Connection,
        unsent: Unsent,
        sending: Sending<'_>,
    ) -> SendOutcome {
        let Sending { call, grant, .. } = sending;
        let req = match self.request(sending) {
            Ok(req) => req,
            Err(error) => {
                tracing::warn!(event = "unsendable", id = %call.id, %error);
                return SendOutcome::NotRun(unsent.not_sent());
            }
        };
        let limit = HeadDeadline {
            at: self.shared.clock.instant(call.deadline),
            reason: LostReason::Deadline,
        };
        let sent_at = self.shared.now();
        let sent = unsent.send();
        match send_request_on(&self.pool, conn, req, reuse(call), limit).await {
            Ok(incoming) => self.read_head(sent, sending, incoming, sent_at).await,
            Err(CallError::NotSent(reason)) => {
                self.on_not_sent(call, grant, &reason);
                SendOutcome::NotRun(sent.returned())
            }
            Err(CallError::Lost(reason)) => {
                let why = lost_reason(reason);
                if reason != LostReason::Deadline {
                    self.record_outcome(grant, CallOutcome::Unreachable);
                }
                self.on_broken(call, grant, why, None);
                SendOutcome::Lost(why)
            }
        }
    }

    /// Handles an attempt whose response broke off; `first_event_at` is when its first
    /// event came, if one did.
    pub(crate) fn on_broken(
        &self,
        call: &Call,
        grant: &Grant,
        why: &'static str,
        first_event_at: Option<Now>,
    ) {
        let now = self.shared.now();
        let answered_ms = first_event_at.map(|at| now.saturating_sub(at).as_millis() as u64);
        tracing::info!(event = "attempt_broken", id = %call.id, instance = %grant.instance,
            born = grant.born, why, answered_ms, request = %call.digest(),
            parts = %PartIds(&call.head.prompt_parts));
        let is_blamed = first_event_at.is_none_or(|at| now < at + BLAME_TIME);
        let has_ended = matches!(why, "closed" | "partial_event");
        if is_blamed && has_ended {
            self.check_for_crash(call, grant);
        }
    }

    /// Records the crash of an instance if it refuses connections. One that accepts
    /// them may only have lost the connection of the call.
    fn check_for_crash(&self, call: &Call, grant: &Grant) {
        let pool = Arc::clone(&self.pool);
        let shared = Arc::clone(&self.shared);
        let (call, grant) = (call.clone(), grant.clone());
        self.pool.spawn(async move {
            sleep(CRASH_CHECK_DELAY).await;
            match pool.connect(grant.addr).await {
                Err(NotSentReason::Connect(ErrorKind::ConnectionRefused)) => {
                    shared.on_crash(&call, &grant);
                }
                checked => {
                    let error = checked.err();
                    tracing::info!(event = "crash_unconfirmed", id = %call.id,
                        instance = %grant.instance, ?error);
                    shared.on_unconfirmed_crash(&call, &grant);
                }
            }
        });
    }

    fn on_not_sent(&self, call: &Call, grant: &Grant, reason: &NotSentReason) {
        self.record_outcome(grant, CallOutcome::Unreachable);
        tracing::info!(event = "not_sent", id = %call.id, instance = %grant.instance, %reason);
    }

    async fn read_head(
        &self,
        sent: Sent,
        sending: Sending<'_>,
        mut incoming: IncomingResponse,
        sent_at: Now,
    ) -> SendOutcome {
        let Sending { call, grant, .. } = sending;
        let failed_before = incoming.conn.has_failed(call.id_hash());
        if !incoming.status.is_success() {
            incoming.conn.record_failure(call.id_hash());
        }
        let head = self
            .dialect
            .parse_response(incoming.status, &incoming.headers);
        let status = incoming.status.as_u16();
        let (conn, number) = (incoming.conn.id, incoming.conn.exchanges);
        let identified = head.attempt_id.is_some();
        let statement = Statement {
            id: head.attempt_id.as_deref(),
            status,
            signed: head.signed,
            rejection: head.not_run.map(|why| match why {
                NotRunReason::Misdirected => Rejection::Missing,
                NotRunReason::Full => Rejection::Full,
            }),
        };
        let repeatable = call.route.kind.retryable();
        let exchange = Exchange {
            call: &call.id,
            number,
            failed_before,
        };
        let verdict = sent.judge(exchange, statement, repeatable);
        if !matches!(&verdict, Verdict::Lost(doubt) if doubt.is_foreign()) {
            self.on_head(grant, &head, sent_at);
        }
        match verdict {
            Verdict::Answer(answer) => {
                if promises_not_run(status) {
                    tracing::warn!(event = "unproven_rejection", id = %call.id,
                        instance = %grant.instance, status, conn, exchange = number, passed_on = true);
                }
                SendOutcome::Response(Box::new(PendingResponse {
                    incoming,
                    status: answer,
                    slowdown: head.load.and_then(|load| load.slowdown),
                    weight_version: head.weight_version,
                }))
            }
            Verdict::NotRun(proof) => {
                self.drain_rejection(incoming).await;
                let why = proof.rejection();
                tracing::info!(event = "instance_refused", id = %call.id,
                    instance = %grant.instance, status, ?why, conn, exchange = number,
                    identified,
                    signed = head.signed, failed_before);
                if why == Rejection::Full {
                    self.shared
                        .on_rejected(&grant.instance, grant.born, sent_at);
                }
                SendOutcome::NotRun(proof)
            }
            // Dropping the response closes its connection.
            Verdict::Lost(doubt) => {
                tracing::warn!(event = doubt.name(), id = %call.id, instance = %grant.instance,
                    status, conn, exchange = number, identified, signed = head.signed, failed_before);
                SendOutcome::Lost(doubt.name())
            }
        }
    }

    /// Records what the head of a response states of its instance.
    fn on_head(&self, grant: &Grant, head: &ResponseHead, sent_at: Now) {
        self.shared
            .on_response_head(&grant.instance, grant.born, head);
        self.shared
            .on_rate_limit(&grant.instance, grant.born, head, sent_at);
        if let Some(load) = head.load {
            let now = self.shared.now();
            self.shared
                .lock()
                .balancer
                .on_load_report(&grant.instance, load, now);
        }
    }

    /// Reads the short body of a rejection, so that the connection can be
    /// reused.
    async fn drain_rejection(&self, incoming: IncomingResponse) {
        const BODY_TIMEOUT: Duration = Duration::from_millis(100);
        let idle_timeout = idle_timeout(&incoming.headers);
        let deadline = Some(Instant::now() + BODY_TIMEOUT);
        let reading = reedford_targets::read_body(&self.pool, incoming, BODY_TIMEOUT, deadline);
        match reading.await {
            Ok(response) => {
                if let Some(idle_timeout) = idle_timeout {
                    response.into_body_with_idle_timeout(&self.pool, idle_timeout);
                }
            }
            Err(error) => tracing::debug!(event = "refusal_cut", %error),
        }
    }

    fn request(
        &self,
        sending: Sending<'_>,
    ) -> Result<Request<Full<bytes::Bytes>>, hyper::http::Error> {
        let Sending { call, grant, .. } = sending;
        let now = self.shared.now();
        let mut headers = call.headers.clone();
        remove_hop_by_hop_headers(&mut headers);
        self.dialect.set_dispatch_headers(
            &mut headers,
            &Dispatch {
                instance: &grant.instance,
                version: grant.version,
                time_left: call.time_left(now),
                priority: call.is_model_call.then_some(call.engine_priority()),
                last_event_id: sending.last_event_id,
                caller: call.caller.fields(),
            },
        );
        let mut req = Request::builder()
            .method(call.method.clone())
            .uri(call.uri.clone())
            .body(Full::new(call.body.clone()))?;
        *req.headers_mut() = headers;
        Ok(req)
    }

    /// Handles an instance that is given up because it sends nothing. Its idle
    /// connections may be dead, too.
    pub(crate) fn on_silent(&self, grant: &Grant) {
        self.pool.drop_idle(grant.addr);
        self.record_outcome(grant, CallOutcome::Failed);
    }

    /// Records the outcome of a call for its instance's health.
    pub(crate) fn record_outcome(&self, grant: &Grant, outcome: CallOutcome) {
        let now = self.shared.now();
        let ejected = self
            .shared
            .lock()
            .health
            .record(&grant.instance, outcome, now);
        if ejected {
            tracing::warn!(event = "instance_left_out", instance = %grant.instance, last = ?outcome);
        }
    }
}

/// The ids of a prompt's parts, as callers write them.
struct PartIds<'a>(&'a [PromptPart]);

impl fmt::Display for PartIds<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, part) in self.0.iter().enumerate() {
            let separator = if n == 0 { "" } else { "," };
            write!(f, "{separator}{:x}", part.id)?;
        }
        Ok(())
    }
}

pub(crate) const fn lost_reason(reason: LostReason) -> &'static str {
    match reason {
        LostReason::Closed => "closed",
        LostReason::FirstByteTimeout | LostReason::ProgressTimeout => "silent",
        LostReason::Deadline => "deadline",
        LostReason::HeadTooLong => "head_too_long",
        LostReason::NoProgress => "no_progress",
        LostReason::Status(_)
        | LostReason::Unreadable
        | LostReason::NoAttemptId
        | LostReason::OtherRequest
        | LostReason::TooLong => "unreadable",
        LostReason::NoMemory => NO_MEMORY,
    }
}
