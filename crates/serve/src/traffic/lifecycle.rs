//! Start and end of a request, for chat requests and calls to plain services.

use super::refusals::not_run;
use super::{RunningRequest, Traffic};
use crate::spans;
use reedford_front::{CallRefusal, CallResponse, Outcome, RefusalCode};
use std::sync::Arc;
use std::time::Duration;
use tracing::Span;

/// Retry-after time of an instance that has reached its bound on requests.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Counts a new request.
///
/// # Errors
/// If the instance has reached its bound on running requests.
pub(super) fn begin_request(traffic: &Arc<Traffic>) -> Result<RunningRequest, CallRefusal> {
    let message = "this instance is full";
    let refusal = || not_run(RefusalCode::Overloaded, message, FULL_RETRY_AFTER);
    traffic.try_begin_request().ok_or_else(refusal)
}

/// Records the outcome of a request in its span and the metrics, and returns the
/// response for the caller.
pub(super) fn finish_request(
    traffic: &Traffic,
    class: &str,
    span: &Span,
    result: Result<CallResponse, CallRefusal>,
) -> CallResponse {
    let response = result.unwrap_or_else(CallResponse::Refused);
    let outcome = outcome_name(&response);
    spans::request_ended(span, &response, outcome);
    traffic.metrics.record_outcome(class, outcome);
    response
}

/// Returns the name of an outcome in metrics and traces.
fn outcome_name(response: &CallResponse) -> &'static str {
    match response {
        CallResponse::Buffered { .. } | CallResponse::Stream { .. } => "done",
        CallResponse::Refused(refused) => match refused.outcome {
            Outcome::NotRun => "not_run",
            Outcome::Unknown => "unknown",
            Outcome::BadRequest => "bad_request",
        },
    }
}
