//! One sending of a call to one instance, up to the head of the answer.

use crate::call::Call;
use crate::ports::{Dialect, Dispatch, NotRun};
use crate::state::Shared;
use http_body_util::Full;
use hyper::{HeaderMap, Request};
use reedford_fleet::health::CallOutcome;
use reedford_fleet::scheduler::{Grant, Rejection};
use reedford_targets::{
    CallError, HeadDeadline, IncomingResponse, LostReason, Pool, Reuse, send_request,
};
use std::sync::Arc;
use std::time::Duration;

/// Wait for the first event after which an answer is taken for lost if the call
/// may be sent once more, in parts of the objective.
pub(crate) const FIRST_EVENT_FACTOR: f64 = 2.0;

/// What is needed to send.
#[derive(Debug)]
pub(crate) struct Sender<D> {
    pub(crate) dialect: Arc<D>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) pool: Arc<Pool>,
}

/// How a sending went, as far as the head of the answer.
#[derive(Debug)]
pub(crate) enum Sent {
    /// An answer under the right id.
    Answered(Box<Answered>),
    /// The call did not run.
    NotRun(Rejection),
    /// The call may have run.
    Lost(&'static str),
}

/// An answer of which the head has come.
#[derive(Debug)]
pub(crate) struct Answered {
    pub(crate) exchange: IncomingResponse,
}

impl<D> Sender<D>
where
    D: Dialect,
{
    /// Sends a call and waits for the head of the answer, until the call's end
    /// or, if it may be sent once more (`more`), until silence is taken for loss.
    pub(crate) async fn send(
        &self,
        call: &Call,
        grant: &Grant,
        last_event: Option<&str>,
        more: bool,
    ) -> Sent {
        let req = match self.request(call, grant, last_event) {
            Ok(req) => req,
            Err(error) => {
                tracing::warn!(event = "unsendable", id = %call.id, %error);
                return Sent::NotRun(Rejection::Unreachable);
            }
        };
        let limit = self.head_limit(call, more);
        let sent = send_request(&self.pool, grant.addr, req, Reuse::Allowed, limit).await;
        match sent {
            Ok(exchange) => self.read_head(call, grant, exchange).await,
            Err(CallError::NotSent(reason)) => {
                self.observe(grant, CallOutcome::Unreachable);
                tracing::info!(event = "not_sent", id = %call.id, instance = %grant.instance, %reason);
                Sent::NotRun(Rejection::Unreachable)
            }
            Err(CallError::Lost(reason)) => {
                if reason != LostReason::Deadline {
                    self.observe(grant, CallOutcome::Unreachable);
                }
                Sent::Lost(lost_name(reason))
            }
        }
    }

    fn head_limit(&self, call: &Call, more: bool) -> HeadDeadline {
        let now = self.shared.now();
        let silent = now + call.route.objective.mul_f64(FIRST_EVENT_FACTOR);
        let (at, reason) = if more && silent < call.until {
            (silent, LostReason::FirstByteTimeout)
        } else {
            (call.until, LostReason::Deadline)
        };
        HeadDeadline {
            at: self.shared.clock.instant(at),
            reason,
        }
    }

    async fn read_head(&self, call: &Call, grant: &Grant, exchange: IncomingResponse) -> Sent {
        let head = self.dialect.answer(exchange.status, &exchange.headers);
        if let Some(load) = head.load {
            let now = self.shared.now();
            self.shared
                .lock()
                .spread
                .on_load_report(&grant.instance, load, now);
        }
        if head.attempt.as_ref().is_some_and(|id| *id != call.id) {
            // An answer to an earlier call; its connection is not used again.
            tracing::warn!(event = "answer_of_another_call", id = %call.id,
                instance = %grant.instance);
            return Sent::Lost("answer_of_another_call");
        }
        match head.refused {
            None => Sent::Answered(Box::new(Answered { exchange })),
            Some(why) => {
                let status = exchange.status.as_u16();
                self.finish_refused(exchange).await;
                tracing::info!(event = "instance_refused", id = %call.id,
                    instance = %grant.instance, status, why = ?why);
                Sent::NotRun(match why {
                    NotRun::Misdirected => Rejection::Missing,
                    NotRun::Full => Rejection::Full,
                })
            }
        }
    }

    /// Reads the short body of a refusal, so that its connection can be kept.
    async fn finish_refused(&self, exchange: IncomingResponse) {
        const BODY_TIME: Duration = Duration::from_millis(100);
        let idle = idle_time(&exchange.headers);
        match reedford_targets::read_body(&self.pool, exchange, BODY_TIME, None).await {
            Ok(answer) => {
                if let Some(idle) = idle {
                    answer.into_body_with_idle_timeout(&self.pool, idle);
                }
            }
            Err(error) => tracing::debug!(event = "refusal_cut", %error),
        }
    }

    fn request(
        &self,
        call: &Call,
        grant: &Grant,
        last_event: Option<&str>,
    ) -> Result<Request<Full<bytes::Bytes>>, hyper::http::Error> {
        let now = self.shared.now();
        let mut headers = call.headers.clone();
        remove_connection_fields(&mut headers);
        self.dialect.dispatch(
            &mut headers,
            &Dispatch {
                instance: &grant.instance,
                version: grant.version,
                patience: call.left(now),
                priority: call.engine.then_some(call.route.priority),
                last_event,
            },
        );
        let mut req = Request::builder()
            .method(call.method.clone())
            .uri(call.uri.clone())
            .body(Full::new(call.body.clone()))?;
        *req.headers_mut() = headers;
        Ok(req)
    }

    /// Notes what a call tells of its instance.
    pub(crate) fn observe(&self, grant: &Grant, what: CallOutcome) {
        let now = self.shared.now();
        let out = self.shared.lock().health.record(&grant.instance, what, now);
        if out {
            tracing::warn!(event = "instance_left_out", instance = %grant.instance, last = ?what);
        }
    }
}

/// Time for which a connection may be kept after an answer; `None` when it
/// must not be.
pub(crate) fn idle_time(headers: &HeaderMap) -> Option<Duration> {
    /// Kept when the instance says nothing.
    const UNSAID: Duration = Duration::from_secs(4);
    /// Time by which a connection is given up before the instance does.
    const EARLY: Duration = Duration::from_millis(400);
    let closes = headers
        .get_all(hyper::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .any(|value| value.to_ascii_lowercase().contains("close"));
    if closes {
        return None;
    }
    let said = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok())
        .and_then(|value| {
            value
                .split(',')
                .find_map(|p| p.trim().strip_prefix("timeout="))
        })
        .and_then(|seconds| seconds.parse().ok())
        .map(Duration::from_secs);
    match said {
        Some(said) => said.checked_sub(EARLY).filter(|left| !left.is_zero()),
        None => Some(UNSAID),
    }
}

/// Removes the fields that concern one connection only.
pub(crate) fn remove_connection_fields(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(hyper::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in [
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ] {
        headers.remove(name);
    }
}

pub(crate) const fn lost_name(reason: LostReason) -> &'static str {
    match reason {
        LostReason::Closed => "closed",
        LostReason::FirstByteTimeout | LostReason::ProgressTimeout => "silent",
        LostReason::Deadline => "deadline",
        LostReason::Status(_)
        | LostReason::Unreadable
        | LostReason::NoAttemptId
        | LostReason::TooLong => "unreadable",
    }
}
