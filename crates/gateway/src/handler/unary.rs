//! Calls whose response is read whole before it is returned.

use super::{Attempt, Attempts, Gateway, MAX_REJECTED_ATTEMPTS};
use crate::call::Call;
use crate::connection_headers::idle_timeout;
use crate::dialect::Dialect;
use crate::reply::{self, Reply};
use crate::sender::{PendingResponse, SendOutcome, Sending, lost_reason};
use reedford_fleet::health::CallOutcome;
use reedford_fleet::not_run::{NotRun, Unsent};
use reedford_targets::LostReason;
use std::sync::Arc;

/// Time without a response after which an idempotent call is retried, as a
/// fraction of the route's objective.
const RETRY_TIMEOUT_FACTOR: f64 = 0.8;

enum UnaryOutcome {
    Response(Reply),
    /// The call may have run, but its response is lost.
    Lost(&'static str),
    /// The call did not run.
    NotRun(NotRun),
}

impl UnaryOutcome {
    fn is_success(&self) -> bool {
        match self {
            Self::Response(reply) => !reply.status().is_server_error(),
            Self::Lost(_) | Self::NotRun(_) => false,
        }
    }

    /// Records the proof that the attempt did not run the call, if it is one.
    fn recorded(self, attempts: &mut Attempts) -> Self {
        if let Self::NotRun(proof) = &self {
            attempts.sendings.on_not_run(proof);
        }
        self
    }

    /// Returns the outcome that tells the caller more.
    fn or(self, other: Self) -> Self {
        match (&self, &other) {
            (Self::Response(_), _) | (_, Self::NotRun(_)) => self,
            (_, Self::Response(_) | Self::Lost(_)) => other,
        }
    }
}

impl<D> Gateway<D>
where
    D: Dialect,
{
    /// Serves a call whose response is not a stream.
    pub(super) async fn serve_unary(self: &Arc<Self>, call: Call, mut attempts: Attempts) -> Reply {
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
            let instance = attempt.grant.instance.clone();
            match self.attempt_unary(&call, &attempt, &mut attempts).await {
                UnaryOutcome::Response(reply) => {
                    attempt.end();
                    if reply.status().is_server_error() {
                        next = self.try_replace_failed(&call, &attempts, &instance).await;
                    }
                    if next.is_none() {
                        return self.record_reply(&call, &attempts, &instance, "answered", reply);
                    }
                    failure = Some(reply);
                }
                UnaryOutcome::Lost(why) => {
                    attempt.end();
                    next = self.try_replace(&call, &attempts, &instance, why).await;
                    if next.is_none() {
                        return match failure {
                            Some(reply) => self.reply_failed(&call, &attempts, reply),
                            None => self.reply_lost(&call, &attempts, &instance, why),
                        };
                    }
                }
                UnaryOutcome::NotRun(proof) => {
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
                }
            }
            attempts.tried.insert(instance);
        }
    }

    /// Sends a call and reads the complete response. If the instance is silent, the
    /// call is sent to another one as well, and the first success counts.
    async fn attempt_unary(
        self: &Arc<Self>,
        call: &Call,
        attempt: &Attempt<D>,
        attempts: &mut Attempts,
    ) -> UnaryOutcome {
        let instance = &attempt.grant.instance;
        let unsent = attempts.sendings.begin();
        let first = self.send_unary(call, attempt, unsent);
        let mut first = std::pin::pin!(first);
        let mut from = self.shared.now() + call.route.objective.mul_f64(RETRY_TIMEOUT_FACTOR);
        loop {
            let mut next = tokio::select! {
                biased;
                outcome = first.as_mut() => return outcome.recorded(attempts),
                next = self.replace_silent(call, attempts, instance, from) => next,
            };
            let unsent = attempts.sendings.begin();
            attempts.tried.insert(next.grant.instance.clone());
            let outcome = {
                let second = self.send_unary(call, &next, unsent);
                let mut second = std::pin::pin!(second);
                tokio::select! {
                    biased;
                    outcome = first.as_mut() => {
                        let outcome = outcome.recorded(attempts);
                        if outcome.is_success() {
                            return outcome;
                        }
                        return outcome.or(second.await.recorded(attempts));
                    }
                    outcome = second.as_mut() => outcome,
                }
            };
            match outcome.recorded(attempts) {
                UnaryOutcome::NotRun(proof) => {
                    next.report_rejected(proof.rejection());
                    from = self.shared.now();
                }
                outcome if outcome.is_success() => {
                    self.sender.on_silent(&attempt.grant);
                    return outcome;
                }
                outcome => return first.await.recorded(attempts).or(outcome),
            }
        }
    }

    async fn send_unary(&self, call: &Call, attempt: &Attempt<D>, unsent: Unsent) -> UnaryOutcome {
        let sending = Sending {
            call,
            grant: &attempt.grant,
            last_event_id: None,
        };
        match self.sender.send(unsent, sending).await {
            SendOutcome::Response(response) => {
                let read = self.read_response(call, attempt, *response).await;
                read.map_or_else(UnaryOutcome::Lost, UnaryOutcome::Response)
            }
            SendOutcome::NotRun(proof) => UnaryOutcome::NotRun(proof),
            SendOutcome::Lost(why) => UnaryOutcome::Lost(why),
        }
    }

    pub(super) async fn read_response(
        &self,
        call: &Call,
        attempt: &Attempt<D>,
        response: PendingResponse,
    ) -> Result<Reply, &'static str> {
        let answer = response.status;
        let idle_timeout = idle_timeout(&response.incoming.headers);
        let left = call.time_left(self.shared.now());
        let deadline = self.shared.clock.instant(call.deadline);
        let whole =
            reedford_targets::read_body(&self.sender.pool, response.incoming, left, Some(deadline))
                .await;
        let response = whole.map_err(|reason| {
            let why = lost_reason(reason);
            if reason == LostReason::NoMemory {
                // The bodies of others may hold it.
                self.log_no_memory(call, "response");
            } else {
                self.sender
                    .record_outcome(&attempt.grant, CallOutcome::Failed);
            }
            self.sender.on_broken(call, &attempt.grant, why, None);
            why
        })?;
        let outcome = if response.status.is_server_error() {
            CallOutcome::Failed
        } else {
            CallOutcome::Good
        };
        self.sender.record_outcome(&attempt.grant, outcome);
        if outcome == CallOutcome::Good {
            self.shared.on_answered(call);
            attempt.record_run_time(call);
        }
        let headers = response.headers.clone();
        let body = match idle_timeout {
            Some(idle_timeout) => {
                response.into_body_with_idle_timeout(&self.sender.pool, idle_timeout)
            }
            None => response.body,
        };
        Ok(reply::from_instance(
            answer,
            headers,
            reply::full_body(body),
        ))
    }
}
