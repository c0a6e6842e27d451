//! Responses of the node itself, and the record of how a call ended.

use super::{Attempts, Gateway, NO_INSTANCE_RETRY_AFTER, UNCONFIGURED_RETRY_AFTER};
use crate::call::Call;
use crate::dialect::Dialect;
use crate::reply::{self, Reply};
use crate::stop;
use hyper::StatusCode;
use reedford_fleet::Now;
use reedford_fleet::scheduler::{Refusal, RefusalReason, Rejection};
use std::time::Duration;

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
        path: &str,
        version: u64,
        reason: &'static str,
        now: Now,
    ) -> Reply {
        let state = self.shared.lock();
        let is_current = state.is_configuration_current(self.key_limits.denial, now);
        drop(state);
        if !is_current {
            return self.reply_unconfirmed(reason);
        }
        tracing::info!(event = "refused", reason, path, version);
        self.metrics.denied(reason);
        reply::plain_text(StatusCode::UNAUTHORIZED, "the key is not known")
    }

    pub(super) fn reply_unconfirmed(&self, reason: &'static str) -> Reply {
        tracing::info!(event = "refused", reason, confirmed = false);
        self.metrics.denied("unconfirmed");
        self.reply_unavailable("the keys can't be confirmed", UNCONFIGURED_RETRY_AFTER)
    }

    pub(super) fn reply_refused(
        &self,
        call: &Call,
        attempts: &Attempts,
        refusal: &Refusal,
    ) -> Reply {
        let reply = self.refusal(call, attempts.runs, refusal);
        self.record_reply(call, attempts, "", refusal.reason.name(), reply)
    }

    fn refusal(&self, call: &Call, runs: u32, refusal: &Refusal) -> Reply {
        if runs > 0 {
            return reply::plain_text(StatusCode::BAD_GATEWAY, "no instance answered");
        }
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
                return reply::plain_text(StatusCode::UNAUTHORIZED, "the key is not known");
            }
            RefusalReason::Limit => {
                return reply::plain_text_with(
                    StatusCode::TOO_MANY_REQUESTS,
                    "the workspace's limit is used up",
                    self.dialect.retry_after_header(refusal.retry_after),
                );
            }
        };
        self.reply_unavailable(text, refusal.retry_after)
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
        let reply = if attempts.runs > 0 {
            reply::plain_text(StatusCode::BAD_GATEWAY, "no instance answered")
        } else {
            self.shared.put_back_charge(call);
            let wait = match rejection {
                Rejection::Missing => Duration::from_millis(150),
                Rejection::Full | Rejection::Unreachable => NO_INSTANCE_RETRY_AFTER,
            };
            self.reply_unavailable("no instance took the call", wait)
        };
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
            reply::plain_text(StatusCode::GATEWAY_TIMEOUT, "no answer in time")
        } else {
            reply::plain_text(StatusCode::BAD_GATEWAY, "the answer was lost")
        };
        self.record_reply(call, attempts, instance, why, reply)
    }

    /// Returns an instance's error response.
    pub(super) fn reply_failed(&self, call: &Call, attempts: &Attempts, reply: Reply) -> Reply {
        self.record_reply(call, attempts, "", "failed", reply)
    }

    pub(super) fn reply_unavailable(&self, text: &'static str, wait: Duration) -> Reply {
        reply::plain_text_with(
            StatusCode::SERVICE_UNAVAILABLE,
            text,
            self.dialect.retry_after_header(wait),
        )
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
        self.metrics.call_status(status.as_u16(), attempts.runs > 0);
        if let Some(gap) = longest_gap {
            self.metrics.longest_gap(&call.route.name, gap);
        }
        tracing::info!(event = "call", id = %call.id, route = %call.route.name, instance,
            workspace = call.caller.workspace().map(|w| &**w), outcome,
            status = status.as_u16(), sent = attempts.sent, may_have_run = attempts.runs, events,
            first_ms = first_event.map(|t| t.as_millis() as u64),
            gap_ms = longest_gap.map(|t| t.as_millis() as u64), ms = took.as_millis() as u64);
    }
}
