//! Sends calls, records their outcomes, and collects the runs that targets
//! recorded.

use super::{CallKind, CallOutcome, CallRecord, CallRequest, History, Position, TargetRun};
use crate::caller::{Call, CallResponse, Caller, REQUESTED_TOKENS};
use crate::engine::EngineRecord;
use crate::load::response::{
    ExpectedResponse, Failure, Outcome, RefusalOutcome, ResponseViolation, StreamReader,
    read_complete, read_refusal,
};
use crate::load::sse::EventReader;
use crate::plain::PlainRun;
use hyper::{StatusCode, header};
use hyper_util::client::legacy::Error as ClientError;
use reedford_wire::headers;
use reedford_wire::plain::Receipt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Time after which a caller stops waiting for the end of its response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(6);

/// Sends calls and records their outcomes.
#[derive(Debug, Default)]
pub struct Recorder {
    caller: Caller,
    calls: Mutex<Vec<CallRecord>>,
    position: AtomicUsize,
}

/// Evaluation of a response.
#[derive(Debug)]
struct Evaluation {
    outcome: CallOutcome,
    code: Box<str>,
    has_retry_after: bool,
    attempt: Box<str>,
    violations: Vec<ResponseViolation>,
}

impl Recorder {
    /// Sends a call, adds its record and returns a copy of it.
    pub async fn call(&self, entry: SocketAddr, request: CallRequest) -> CallRecord {
        let began = self.next_position();
        let call = http_call(&request);
        let sent = tokio::time::timeout(RESPONSE_TIMEOUT, self.caller.send(entry, &call)).await;
        let evaluation = match sent {
            Err(_) => Evaluation::no_response(CallOutcome::NoAnswer),
            Ok(Ok(response)) => read_response(&request, &response),
            Ok(Err(error)) => {
                let connect = error.downcast_ref::<ClientError>();
                let refused = connect.is_some_and(ClientError::is_connect);
                Evaluation::no_response(if refused {
                    CallOutcome::NotConnected
                } else {
                    CallOutcome::Cut
                })
            }
        };
        let record = CallRecord {
            request,
            outcome: evaluation.outcome,
            code: evaluation.code,
            has_retry_after: evaluation.has_retry_after,
            attempt: evaluation.attempt,
            violations: evaluation.violations,
            began,
            ended: self.next_position(),
        };
        self.calls().push(record.clone());
        record
    }

    /// Returns the calls that have ended.
    #[must_use]
    pub fn recorded(&self) -> Vec<CallRecord> {
        self.calls().clone()
    }

    /// Returns the position of the next start or end of a call.
    #[must_use]
    pub fn position(&self) -> Position {
        self.position.load(Ordering::SeqCst)
    }

    fn calls(&self) -> MutexGuard<'_, Vec<CallRecord>> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn next_position(&self) -> Position {
        self.position.fetch_add(1, Ordering::SeqCst)
    }
}

impl Evaluation {
    fn no_response(outcome: CallOutcome) -> Self {
        Self {
            outcome,
            code: "".into(),
            has_retry_after: false,
            attempt: "".into(),
            violations: Vec::new(),
        }
    }
}

/// Adds the runs and violations that targets recorded to a history.
pub fn collect_runs(
    history: &mut History,
    engines: &[(Box<str>, EngineRecord)],
    plains: &[(Box<str>, Vec<PlainRun>)],
) {
    for (target, record) in engines {
        for run in &record.runs {
            history.runs.push(TargetRun {
                target: target.clone(),
                attempt: run.attempt.clone(),
                marker: run.prompt.clone(),
                name: format!("{}@{}", run.adapter, run.version).into(),
                finished: run.finished,
                started_unix_ms: run.started_unix_ms,
            });
        }
        let violations = record.violations.iter();
        let violations = violations.map(|v| format!("{target}: {v:?}").into());
        history.violations.extend(violations);
    }
    for (target, runs) in plains {
        for run in runs {
            history.runs.push(TargetRun {
                target: target.clone(),
                attempt: run.receipt.attempt.clone(),
                marker: run.receipt.body.clone(),
                name: format!("orders{}", run.receipt.path).into(),
                finished: true,
                started_unix_ms: run.started_unix_ms,
            });
        }
    }
}

fn http_call(request: &CallRequest) -> Call {
    let call = match request.kind {
        CallKind::Whole => Call::chat(&request.name, &request.marker, false),
        CallKind::Streamed => Call::chat(&request.name, &request.marker, true),
        CallKind::Plain => {
            let (service, path) = request.name.split_once('/').unwrap_or((&request.name, ""));
            Call::plain(service, &format!("/{path}"), &request.marker)
        }
    };
    match &request.key {
        Some(key) => call.at_most_once(key),
        None => call,
    }
}

fn read_response(request: &CallRequest, response: &CallResponse) -> Evaluation {
    let attempt: Box<str> = response.header(headers::ATTEMPT_ID).into();
    if response.status != StatusCode::OK {
        let retry_after = response.header(header::RETRY_AFTER.as_str()).parse().ok();
        let retry_after = retry_after.map(Duration::from_secs);
        let outcome = read_refusal(response.body.as_bytes(), retry_after);
        return evaluation(outcome, attempt, Vec::new());
    }
    let (outcome, violations) = match request.kind {
        CallKind::Plain => read_receipt(request, &attempt, response),
        CallKind::Streamed | CallKind::Whole => read_chat(request, &attempt, response),
    };
    evaluation(outcome, attempt, violations)
}

fn read_chat(
    request: &CallRequest,
    attempt: &str,
    response: &CallResponse,
) -> (Outcome, Vec<ResponseViolation>) {
    let expected = ExpectedResponse {
        model: request.name.clone(),
        attempt: Some(attempt.into()),
        tokens: REQUESTED_TOKENS,
    };
    let mut violations = Vec::new();
    if response.header(headers::MODEL) != &*request.name {
        violations.push(ResponseViolation::Model);
    }
    if request.kind == CallKind::Whole && !response.complete {
        return (Outcome::Failed(Failure::Cut), violations);
    }
    if request.kind == CallKind::Whole {
        let (outcome, more) = read_complete(&expected, response.body.as_bytes());
        violations.extend(more);
        return (outcome, violations);
    }
    let mut reader = StreamReader::new(expected);
    for event in EventReader::default().push(response.body.as_bytes()) {
        reader.on_event(Duration::ZERO, &event);
    }
    let result = reader.finish();
    violations.extend(result.violations);
    let outcome = match result.outcome {
        // The body is complete by its HTTP framing but has no end marker.
        Outcome::Failed(Failure::Cut) if response.complete => Outcome::Failed(Failure::BadResponse),
        outcome => outcome,
    };
    (outcome, violations)
}

fn read_receipt(
    request: &CallRequest,
    attempt: &str,
    response: &CallResponse,
) -> (Outcome, Vec<ResponseViolation>) {
    if !response.complete {
        return (Outcome::Failed(Failure::Cut), Vec::new());
    }
    let Ok(receipt) = serde_json::from_str::<Receipt>(&response.body) else {
        return (Outcome::Failed(Failure::BadResponse), Vec::new());
    };
    let mut violations = Vec::new();
    if *receipt.attempt != *attempt {
        violations.push(ResponseViolation::Attempt);
    }
    if receipt.body != request.marker || receipt.key != request.key {
        violations.push(ResponseViolation::Text);
    }
    (Outcome::Done, violations)
}

fn evaluation(
    outcome: Outcome,
    attempt: Box<str>,
    violations: Vec<ResponseViolation>,
) -> Evaluation {
    let (outcome, code, has_retry_after) = match outcome {
        Outcome::Done => (CallOutcome::Done, "".into(), false),
        Outcome::Refused(refused) => {
            let outcome = match refused.outcome {
                RefusalOutcome::NotRun => CallOutcome::NotRun,
                RefusalOutcome::Unknown => CallOutcome::Unknown,
                RefusalOutcome::BadRequest => CallOutcome::BadRequest,
            };
            (outcome, refused.code, refused.retry_after.is_some())
        }
        Outcome::Failed(Failure::BadResponse) => (CallOutcome::Unreadable, "".into(), false),
        Outcome::Failed(_) => (CallOutcome::Cut, "".into(), false),
    };
    Evaluation {
        outcome,
        code,
        has_retry_after,
        attempt,
        violations,
    }
}
