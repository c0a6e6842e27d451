//! Responses of the node itself, and the record of how a call ended.

use super::{
    Attempts, BodyError, Gateway, NO_INSTANCE_RETRY_AFTER, NO_MEMORY_RETRY_AFTER,
    UNCONFIGURED_RETRY_AFTER,
};
use crate::call::Call;
use crate::dialect::Dialect;
use crate::reply::{self, Failure, Promise, Reply};
use crate::sender::NO_MEMORY;
use crate::stop;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue};
use reedford_fleet::Now;
use reedford_fleet::scheduler::{Refusal, RefusalReason, Rejection};
use std::time::Duration;

const NO_ANSWER: &str = "no instance answered";
const UNKNOWN_KEY: &str = "the key is not known";

/// How far a stream has come.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Progressed {
    pub(crate) events: u64,
    /// Time from the call's arrival to its first event.
    pub(crate) first_event: Option<Duration>,
    /// Longest time between two events.
    pub(crate) longest_gap: Option<Duration>,
}

/// How a call ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallEnd<'a> {
    /// The instance that answered or failed last; empty if there was none.
    pub(crate) instance: &'a str,
    pub(crate) outcome: &'a str,
    /// Status that the caller got.
    pub(crate) status: StatusCode,
    pub(crate) progressed: Progressed,
}

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Refuses a call without a key that allows it, or, if this node may not know the
    /// newest keys, tells the caller to come back.
    pub(super) fn reply_denied(
        &self,
        attempts: &Attempts,
        path: &str,
        version: u64,
        reason: &'static str,
        now: Now,
    ) -> Reply {
        if !self.may_deny(now) {
            return self.reply_unconfirmed(attempts, reason);
        }
        tracing::info!(event = "refused", reason, path, version);
        self.metrics.denied(reason);
        reply::failure(Failure::Unauthorized, UNKNOWN_KEY)
    }

    /// Denies a call that no route takes, or, if this node may not know the newest routes,
    /// tells the caller to come back.
    pub(super) fn reply_no_route(
        &self,
        attempts: &Attempts,
        path: &str,
        version: u64,
        now: Now,
    ) -> Reply {
        let confirmed = self.may_deny(now);
        let behind = self.shared.lock().operators_lag.behind(now);
        let behind_ms = behind.map(|b| b.as_millis() as u64);
        tracing::info!(
            event = "refused",
            reason = "no_route",
            path,
            version,
            confirmed,
            behind_ms
        );
        if confirmed {
            reply::failure(Failure::NotFound, "no route takes this path")
        } else {
            self.reply_unsent(
                attempts,
                "the routes can't be confirmed",
                UNCONFIGURED_RETRY_AFTER,
            )
        }
    }

    fn may_deny(&self, now: Now) -> bool {
        let state = self.shared.lock();
        state.may_deny(self.age_limits.denial, now)
    }

    pub(super) fn reply_unconfirmed(&self, attempts: &Attempts, reason: &'static str) -> Reply {
        tracing::info!(event = "refused", reason, confirmed = false);
        self.metrics.denied("unconfirmed");
        self.reply_unsent(
            attempts,
            "the keys can't be confirmed",
            UNCONFIGURED_RETRY_AFTER,
        )
    }

    /// Responds to a call of whose body `rest` was not read.
    pub(super) fn reply_unreadable(
        &self,
        call: &Call,
        attempts: &Attempts,
        error: BodyError,
        rest: Incoming,
    ) -> Reply {
        const TEXT: &str = "the body can't be read";
        match error {
            BodyError::Cut => reply::failure(Failure::BadRequest, TEXT),
            BodyError::NoMemory => self.reply_no_memory(call, attempts, rest),
            BodyError::TooLarge => {
                let reply = reply::failure(Failure::PayloadTooLarge, TEXT);
                reply::before_rest(reply, TEXT, rest)
            }
            BodyError::TooSlow => promise_or_fail(attempts, Promise::RequestTimeout, TEXT, None),
        }
    }

    /// Refuses a call whose body finds no memory.
    fn reply_no_memory(&self, call: &Call, attempts: &Attempts, rest: Incoming) -> Reply {
        const TEXT: &str = "no memory is left for the body";
        self.log_no_memory(call, "request");
        let reply = self.reply_unsent(attempts, TEXT, NO_MEMORY_RETRY_AFTER);
        let reply = reply::before_rest(reply, TEXT, rest);
        self.record_reply(call, attempts, "", NO_MEMORY, reply)
    }

    /// Logs that a body of a call is given up because it finds no memory.
    pub(crate) fn log_no_memory(&self, call: &Call, why: &'static str) {
        tracing::warn!(event = "body_given_up", id = %call.id, why, held = self.bodies.held(),
            limit = self.bodies.limit());
    }

    pub(super) fn reply_refused(
        &self,
        call: &Call,
        attempts: &Attempts,
        refusal: &Refusal,
    ) -> Reply {
        let reply = self.refusal(call, attempts, refusal);
        self.record_reply(call, attempts, "", refusal.reason.name(), reply)
    }

    fn refusal(&self, call: &Call, attempts: &Attempts, refusal: &Refusal) -> Reply {
        let Some(proof) = attempts.sendings.never_ran() else {
            return reply::failure(Failure::BadGateway, NO_ANSWER);
        };
        self.shared.put_back_charge(call);
        let text = match refusal.reason {
            RefusalReason::Overload
            | RefusalReason::Deadline
            | RefusalReason::NoEngine
            | RefusalReason::Held => "there is no room in time",
            RefusalReason::UnknownVersion | RefusalReason::VersionGone => {
                "no instance can continue the stream"
            }
            RefusalReason::Stopping => "the node stops",
            RefusalReason::Quarantined => "instances crash under the request",
            RefusalReason::LimitUnknown => "the workspace's limit can't be confirmed",
            RefusalReason::KeyMoved => "the key was moved to another workspace",
            RefusalReason::KeyWithdrawn => {
                self.metrics.denied("key_withdrawn");
                return reply::failure(Failure::Unauthorized, UNKNOWN_KEY);
            }
            RefusalReason::Limit => {
                let wait = self.dialect.retry_after_header(refusal.retry_after);
                let text = "the workspace's limit is used up";
                return reply::refusal(proof, Promise::TooManyRequests, text, Some(wait));
            }
        };
        let wait = self.dialect.retry_after_header(refusal.retry_after);
        reply::refusal(proof, Promise::Unavailable, text, Some(wait))
    }

    /// Refuses a call that came too late for this node, which stops.
    pub(super) fn reply_stopping(&self, call: &Call, attempts: &Attempts) -> Reply {
        self.reply_refused(call, attempts, &stop::refusal(call.id.clone()))
    }

    pub(super) fn reply_not_run(
        &self,
        call: &Call,
        attempts: &Attempts,
        rejection: Rejection,
    ) -> Reply {
        if attempts.sendings.never_ran().is_some() {
            self.shared.put_back_charge(call);
        }
        let wait = match rejection {
            Rejection::Missing => Duration::from_millis(150),
            Rejection::Full | Rejection::Unreachable => NO_INSTANCE_RETRY_AFTER,
        };
        let reply = self.reply_unsent(attempts, "no instance took the call", wait);
        self.record_reply(call, attempts, "", "not_run", reply)
    }

    pub(super) fn reply_lost(
        &self,
        call: &Call,
        attempts: &Attempts,
        instance: &str,
        why: &'static str,
    ) -> Reply {
        let reply = if why == "deadline" {
            reply::failure(Failure::GatewayTimeout, "no answer in time")
        } else {
            reply::failure(Failure::BadGateway, "the answer was lost")
        };
        self.record_reply(call, attempts, instance, why, reply)
    }

    /// Returns an instance's error response.
    pub(super) fn reply_failed(&self, call: &Call, attempts: &Attempts, reply: Reply) -> Reply {
        self.record_reply(call, attempts, "", "failed", reply)
    }

    /// Refuses a call that no instance has run; otherwise, only tells that there is no answer.
    pub(super) fn reply_unsent(
        &self,
        attempts: &Attempts,
        text: &'static str,
        wait: Duration,
    ) -> Reply {
        let wait = self.dialect.retry_after_header(wait);
        promise_or_fail(attempts, Promise::Unavailable, text, Some(wait))
    }

    /// Records the end of a call whose response is complete, and returns the response.
    pub(super) fn record_reply(
        &self,
        call: &Call,
        attempts: &Attempts,
        instance: &str,
        outcome: &str,
        reply: Reply,
    ) -> Reply {
        let end = CallEnd {
            instance,
            outcome,
            status: reply.status(),
            progressed: Progressed::default(),
        };
        self.record_end(call, attempts, end);
        reply
    }

    /// Records the end of a call in metrics and log.
    pub(crate) fn record_end(&self, call: &Call, attempts: &Attempts, end: CallEnd<'_>) {
        let CallEnd {
            instance,
            outcome,
            status,
            progressed,
        } = end;
        let Progressed {
            events,
            first_event,
            longest_gap,
        } = progressed;
        let took = self.shared.now().saturating_sub(call.arrived);
        self.metrics.call(&call.route.name, outcome, took);
        let runs = attempts.sendings.may_have_run();
        self.metrics.call_status(status.as_u16(), runs > 0);
        if let Some(gap) = longest_gap {
            self.metrics.longest_gap(&call.route.name, gap);
        }
        tracing::info!(event = "call", id = %call.id, route = %call.route.name, instance,
            workspace = call.caller.workspace().map(|w| &**w), outcome,
            status = status.as_u16(), sent = attempts.sendings.begun(), may_have_run = runs, events,
            first_ms = first_event.map(|t| t.as_millis() as u64),
            gap_ms = longest_gap.map(|t| t.as_millis() as u64), ms = took.as_millis() as u64);
    }
}

/// Returns a promise if it is proved that no instance has run the call.
fn promise_or_fail(
    attempts: &Attempts,
    promise: Promise,
    text: &'static str,
    retry_after: Option<(HeaderName, HeaderValue)>,
) -> Reply {
    match attempts.sendings.never_ran() {
        Some(proof) => reply::refusal(proof, promise, text, retry_after),
        None => reply::failure(Failure::BadGateway, NO_ANSWER),
    }
}
