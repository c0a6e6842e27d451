//! What chat calls and calls of plain services have in common: how they enter
//! and how they end.

use super::refusals::not_run;
use super::{Running, Traffic};
use crate::spans;
use reedford_front::{Answer, Outcome, Refused, RefusedCode};
use std::sync::Arc;
use std::time::Duration;
use tracing::Span;

/// When to come back to an instance that holds as many requests as it may.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Counts the request.
///
/// # Errors
/// When the instance holds as many as it may.
pub(super) fn enter(traffic: &Arc<Traffic>) -> Result<Running, Refused> {
    let message = "this instance is full";
    let full = || not_run(RefusedCode::Overloaded, message, FULL_RETRY_AFTER);
    traffic.enter().ok_or_else(full)
}

/// Notes how a request ended, and gives the answer for the caller.
pub(super) fn finish(
    traffic: &Traffic,
    class: &str,
    span: &Span,
    result: Result<Answer, Refused>,
) -> Answer {
    let answer = result.unwrap_or_else(Answer::Refused);
    let outcome = outcome_name(&answer);
    spans::request_ended(span, &answer, outcome);
    traffic.metrics.outcome(class, outcome);
    answer
}

/// Name of an outcome in metrics and traces.
fn outcome_name(answer: &Answer) -> &'static str {
    match answer {
        Answer::Whole { .. } | Answer::Stream { .. } => "done",
        Answer::Refused(refused) => match refused.outcome {
            Outcome::NotRun => "not_run",
            Outcome::Unknown => "unknown",
            Outcome::BadRequest => "bad_request",
        },
    }
}
