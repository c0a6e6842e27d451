//! Reads, measures and checks the response of an entry instance.

mod complete;

pub use complete::{read_complete, read_refusal};

use crate::load::sse::Event;
use crate::load::workload::ClassIndex;
use reedford_wire::chat::{ChatChunk, STREAM_END};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Name of the event that reports the failure of a stream.
const ERROR_EVENT: &str = "error";

/// Result of one request. Times count from the intended arrival.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestRecord {
    /// Intended arrival, after the start of the run.
    pub at: Duration,
    /// Class of the request.
    pub class: ClassIndex,
    /// Time from the intended arrival to the sending of the request.
    pub send_lag: Duration,
    /// Outcome as the caller saw it.
    pub outcome: Outcome,
    /// Load stall that the response states.
    pub stall: Option<Duration>,
    /// Time from the intended arrival to the first token of a streamed
    /// response.
    pub first_token: Option<Duration>,
    /// Times from one token to the next.
    pub token_gaps: Vec<Duration>,
    /// Time from the intended arrival to the end of the response.
    pub end: Duration,
    /// Violations found in the response.
    pub violations: Vec<ResponseViolation>,
    /// Outcome of the one retry after a refusal, if there was one.
    pub retry_outcome: Option<Outcome>,
}

/// Outcome of a request as its caller saw it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The complete response was received.
    Done,
    /// The entry instance refused the request or reported its failure.
    Refused(Refusal),
    /// No valid final response was received.
    Failed(Failure),
}

/// A refusal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Whether the request ran, as far as the entry instance knows.
    pub outcome: RefusalOutcome,
    /// Code of the reason.
    pub code: Box<str>,
    /// Time to wait before a retry.
    pub retry_after: Option<Duration>,
}

/// Whether a refused request ran, as stated by the refusal.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalOutcome {
    /// The request did not run.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The request is invalid and did not run.
    BadRequest,
}

/// Reason why there is no valid final response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// No entry instance accepted the connection.
    Connect,
    /// The connection closed before the response was complete.
    Cut,
    /// The response was not complete within a grace time after the deadline.
    NoResponse,
    /// The response can't be parsed.
    BadResponse,
}

impl Failure {
    /// Returns the name used in reports.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Connect => "connect",
            Self::Cut => "cut",
            Self::NoResponse => "no_answer",
            Self::BadResponse => "bad_answer",
        }
    }
}

/// A violation that the content of a response shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseViolation {
    /// The header or body names no adapter version, or a wrong one.
    Model,
    /// Header and body name different attempts.
    Attempt,
    /// The text is not, or not only, that of the expected request: adapter,
    /// attempt, body or key differ.
    Text,
    /// Tokens are duplicated or missing, or events follow the end.
    Sequence,
    /// A complete response does not have the requested number of tokens.
    Length,
}

impl ResponseViolation {
    /// Returns the name used in reports.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Model => "model",
            Self::Attempt => "attempt",
            Self::Text => "text",
            Self::Sequence => "sequence",
            Self::Length => "length",
        }
    }
}

/// Values that a response must contain.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ExpectedResponse {
    /// The requested `adapter@version`.
    pub model: Box<str>,
    /// Attempt id in the response's header, if present.
    pub attempt: Option<Box<str>>,
    /// Number of requested tokens.
    pub tokens: u32,
}

impl ExpectedResponse {
    /// Returns the violations in a part of a response.
    #[must_use]
    pub fn check(&self, model: &str, attempt: &str, text: &str) -> Vec<ResponseViolation> {
        let mut violations = Vec::new();
        if model != &*self.model {
            violations.push(ResponseViolation::Model);
        }
        if self.attempt.as_deref().is_some_and(|id| id != attempt) {
            violations.push(ResponseViolation::Attempt);
        }
        let prefix = self.prefix(attempt);
        let mut words = text.split_whitespace();
        if !words.all(|word| word.starts_with(&prefix)) {
            violations.push(ResponseViolation::Text);
        }
        violations
    }

    /// Returns the start of every token of the engine stand-in; a token is
    /// `adapter@version/attempt#number`.
    fn prefix(&self, attempt: &str) -> String {
        format!("{}/{attempt}#", self.model)
    }

    fn check_length(&self, tokens: u64) -> Option<ResponseViolation> {
        (tokens != u64::from(self.tokens)).then_some(ResponseViolation::Length)
    }
}

/// Reads and checks a streamed response.
#[derive(Debug)]
pub struct StreamReader {
    expected: ExpectedResponse,
    next: u64,
    last_token: Option<Duration>,
    finished: bool,
    first_token: Option<Duration>,
    token_gaps: Vec<Duration>,
    violations: Vec<ResponseViolation>,
    outcome: Option<Outcome>,
}

/// Result of a streamed response.
#[derive(Clone, Debug, PartialEq)]
pub struct StreamResult {
    /// Outcome as the caller saw it.
    pub outcome: Outcome,
    /// Time from the intended arrival to the first token.
    pub first_token: Option<Duration>,
    /// Times from one token to the next.
    pub token_gaps: Vec<Duration>,
    /// Violations found in the response, each kind once.
    pub violations: Vec<ResponseViolation>,
}

impl StreamReader {
    /// Returns a reader at the start of a response.
    #[must_use]
    pub const fn new(expected: ExpectedResponse) -> Self {
        Self {
            expected,
            next: 0,
            last_token: None,
            finished: false,
            first_token: None,
            token_gaps: Vec::new(),
            violations: Vec::new(),
            outcome: None,
        }
    }

    /// Processes an event received at `now`, counted from the intended arrival.
    pub fn on_event(&mut self, now: Duration, event: &Event) {
        if self.outcome.is_some() {
            self.add_violation(ResponseViolation::Sequence);
        } else if event.name.as_deref() == Some(ERROR_EVENT) {
            self.outcome = Some(read_refusal(event.data.as_bytes(), None));
        } else if &*event.data == STREAM_END {
            self.on_end();
        } else {
            self.on_chunk(now, event);
        }
    }

    /// Returns the result after the end of the body.
    #[must_use]
    pub fn finish(self) -> StreamResult {
        StreamResult {
            outcome: self.outcome.unwrap_or(Outcome::Failed(Failure::Cut)),
            first_token: self.first_token,
            token_gaps: self.token_gaps,
            violations: self.violations,
        }
    }

    fn on_end(&mut self) {
        if !self.finished {
            self.outcome = Some(Outcome::Failed(Failure::BadResponse));
            return;
        }
        self.outcome = Some(Outcome::Done);
        if let Some(violation) = self.expected.check_length(self.next) {
            self.add_violation(violation);
        }
    }

    fn on_chunk(&mut self, now: Duration, event: &Event) {
        let Ok(chunk) = serde_json::from_str::<ChatChunk>(&event.data) else {
            self.outcome = Some(Outcome::Failed(Failure::BadResponse));
            return;
        };
        let choice = chunk.choices.first();
        let text = choice.and_then(|choice| choice.delta.content.as_deref());
        let text = text.unwrap_or("");
        for violation in self.expected.check(&chunk.model, &chunk.id, text) {
            self.add_violation(violation);
        }
        self.finished |= choice.is_some_and(|choice| choice.finish_reason.is_some());
        if !text.is_empty() {
            self.on_token(now, event.id);
        }
    }

    fn on_token(&mut self, now: Duration, id: Option<u64>) {
        if id.is_some_and(|id| id != self.next) {
            self.add_violation(ResponseViolation::Sequence);
        }
        self.next = id.unwrap_or(self.next) + 1;
        match self.last_token {
            Some(last) => self.token_gaps.push(now.saturating_sub(last)),
            None => self.first_token = Some(now),
        }
        self.last_token = Some(now);
    }

    fn add_violation(&mut self, violation: ResponseViolation) {
        if !self.violations.contains(&violation) {
            self.violations.push(violation);
        }
    }
}
