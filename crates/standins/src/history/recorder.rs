//! Sends calls, records their outcomes, and collects the runs that targets
//! recorded.

use super::{Asked, CallRecord, History, Kind, Position, Ran, Told};
use crate::caller::{Call, Caller, CallerAnswer};
use crate::engine::EngineRecord;
use crate::load::answer::{
    Expected, Failure, Outcome, RefusedOutcome, StreamReader, Violation, read_refusal, read_whole,
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

/// Number of tokens that [`Call::chat`] requests.
const TOKENS: u32 = 8;

/// Time after which a caller stops waiting for the end of its response.
const PATIENCE: Duration = Duration::from_secs(6);

/// Sends calls and records their outcomes.
#[derive(Debug, Default)]
pub struct Recorder {
    caller: Caller,
    calls: Mutex<Vec<CallRecord>>,
    position: AtomicUsize,
}

/// Evaluation of a response.
#[derive(Debug)]
struct Reading {
    told: Told,
    code: Box<str>,
    comes_back: bool,
    attempt: Box<str>,
    faults: Vec<Violation>,
}

impl Recorder {
    /// Sends a call, adds its record and returns a copy of it.
    pub async fn call(&self, entry: SocketAddr, asked: Asked) -> CallRecord {
        let began = self.next_position();
        let call = call_of(&asked);
        let sent = tokio::time::timeout(PATIENCE, self.caller.send(entry, &call)).await;
        let reading = match sent {
            Err(_) => Reading::no_answer(Told::NoAnswer),
            Ok(Ok(answer)) => read(&asked, &answer),
            Ok(Err(error)) => {
                let connect = error.downcast_ref::<ClientError>();
                let refused = connect.is_some_and(ClientError::is_connect);
                Reading::no_answer(if refused {
                    Told::NotConnected
                } else {
                    Told::Cut
                })
            }
        };
        let record = CallRecord {
            asked,
            told: reading.told,
            code: reading.code,
            comes_back: reading.comes_back,
            attempt: reading.attempt,
            faults: reading.faults,
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

    /// Returns the position of the next begin or end of a call.
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

impl Reading {
    fn no_answer(told: Told) -> Self {
        Self {
            told,
            code: "".into(),
            comes_back: false,
            attempt: "".into(),
            faults: Vec::new(),
        }
    }
}

/// Adds the targets' runs and broken invariants to a history.
pub fn collect_runs(
    history: &mut History,
    engines: &[(Box<str>, EngineRecord)],
    plains: &[(Box<str>, Vec<PlainRun>)],
) {
    for (target, record) in engines {
        for run in &record.runs {
            history.runs.push(Ran {
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
            history.runs.push(Ran {
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

fn call_of(asked: &Asked) -> Call {
    let call = match asked.kind {
        Kind::Whole => Call::chat(&asked.name, &asked.marker, false),
        Kind::Streamed => Call::chat(&asked.name, &asked.marker, true),
        Kind::Plain => {
            let (service, path) = asked.name.split_once('/').unwrap_or((&asked.name, ""));
            Call::plain(service, &format!("/{path}"), &asked.marker)
        }
    };
    match &asked.key {
        Some(key) => call.once(key),
        None => call,
    }
}

fn read(asked: &Asked, answer: &CallerAnswer) -> Reading {
    let attempt: Box<str> = answer.header(headers::ATTEMPT_ID).into();
    if answer.status != StatusCode::OK {
        let retry_after = answer.header(header::RETRY_AFTER.as_str()).parse().ok();
        let retry_after = retry_after.map(Duration::from_secs);
        let outcome = read_refusal(answer.body.as_bytes(), retry_after);
        return reading(outcome, attempt, Vec::new());
    }
    let (outcome, faults) = match asked.kind {
        Kind::Plain => read_receipt(asked, &attempt, answer),
        Kind::Streamed | Kind::Whole => read_chat(asked, &attempt, answer),
    };
    reading(outcome, attempt, faults)
}

fn read_chat(asked: &Asked, attempt: &str, answer: &CallerAnswer) -> (Outcome, Vec<Violation>) {
    let expected = Expected {
        model: asked.name.clone(),
        attempt: Some(attempt.into()),
        tokens: TOKENS,
    };
    let mut faults = Vec::new();
    if answer.header(headers::MODEL) != &*asked.name {
        faults.push(Violation::Model);
    }
    if asked.kind == Kind::Whole && !answer.whole {
        return (Outcome::Failed(Failure::Cut), faults);
    }
    if asked.kind == Kind::Whole {
        let (outcome, more) = read_whole(&expected, answer.body.as_bytes());
        faults.extend(more);
        return (outcome, faults);
    }
    let mut reader = StreamReader::new(expected);
    for event in EventReader::default().push(answer.body.as_bytes()) {
        reader.on_event(Duration::ZERO, &event);
    }
    let streamed = reader.finish();
    faults.extend(streamed.violations);
    let outcome = match streamed.outcome {
        // The body is complete by its HTTP framing but has no end marker.
        Outcome::Failed(Failure::Cut) if answer.whole => Outcome::Failed(Failure::BadAnswer),
        outcome => outcome,
    };
    (outcome, faults)
}

fn read_receipt(asked: &Asked, attempt: &str, answer: &CallerAnswer) -> (Outcome, Vec<Violation>) {
    if !answer.whole {
        return (Outcome::Failed(Failure::Cut), Vec::new());
    }
    let Ok(receipt) = serde_json::from_str::<Receipt>(&answer.body) else {
        return (Outcome::Failed(Failure::BadAnswer), Vec::new());
    };
    let mut faults = Vec::new();
    if *receipt.attempt != *attempt {
        faults.push(Violation::Attempt);
    }
    if receipt.body != asked.marker || receipt.key != asked.key {
        faults.push(Violation::Text);
    }
    (Outcome::Done, faults)
}

fn reading(outcome: Outcome, attempt: Box<str>, faults: Vec<Violation>) -> Reading {
    let (told, code, comes_back) = match outcome {
        Outcome::Done => (Told::Done, "".into(), false),
        Outcome::Refused(refused) => {
            let told = match refused.outcome {
                RefusedOutcome::NotRun => Told::NotRun,
                RefusedOutcome::Unknown => Told::Unknown,
                RefusedOutcome::BadRequest => Told::BadRequest,
            };
            (told, refused.code, refused.retry_after.is_some())
        }
        Outcome::Failed(Failure::BadAnswer) => (Told::Unreadable, "".into(), false),
        Outcome::Failed(_) => (Told::Cut, "".into(), false),
    };
    Reading {
        told,
        code,
        comes_back,
        attempt,
        faults,
    }
}
