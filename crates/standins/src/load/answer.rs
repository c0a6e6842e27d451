//! Reads an entry instance's answer, measures it and checks what it promises.

mod whole;

pub use whole::{read_refusal, read_whole};

use crate::load::sse::Event;
use crate::load::workload::ClassIndex;
use reedford_wire::chat::{ChatChunk, STREAM_END};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Event name of a stream that failed.
const ERROR_EVENT: &str = "error";

/// What became of one request. Times count from the intended arrival.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Intended arrival, after the start of the run.
    pub at: Duration,
    /// Kind of request.
    pub class: ClassIndex,
    /// How late the request was sent.
    pub send_lag: Duration,
    /// What the caller was told.
    pub outcome: Outcome,
    /// The load stall that the answer states.
    pub stall: Option<Duration>,
    /// First token of a streamed answer.
    pub first_token: Option<Duration>,
    /// Times from one token to the next.
    pub token_gaps: Vec<Duration>,
    /// End of the answer.
    pub end: Duration,
    /// Promises that the answer broke.
    pub violations: Vec<Violation>,
    /// What a refused caller was told on coming back.
    pub on_return: Option<Outcome>,
}

/// What a caller was told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The whole answer came.
    Done,
    /// The entry instance refused, or said that the request failed.
    Refused(Refused),
    /// No proper final answer came.
    Failed(Failure),
}

/// A refusal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refused {
    /// What the entry instance says about the run.
    pub outcome: RefusedOutcome,
    /// The reason.
    pub code: Box<str>,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

/// What a refusal says about the run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusedOutcome {
    /// Nothing ran.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The request is wrong; nothing ran.
    BadRequest,
}

/// Why no proper final answer came.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// No entry instance took the connection.
    Connect,
    /// The connection ended before the answer did.
    Cut,
    /// The answer was not whole long after the deadline.
    NoAnswer,
    /// The answer can't be read.
    BadAnswer,
}

impl Failure {
    /// Name in reports.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Connect => "connect",
            Self::Cut => "cut",
            Self::NoAnswer => "no_answer",
            Self::BadAnswer => "bad_answer",
        }
    }
}

/// A promise that an answer broke.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Violation {
    /// The header or body names another adapter or version, or none.
    Model,
    /// The body names another attempt than the header.
    Attempt,
    /// The text is not all from the adapter and attempt.
    Text,
    /// A token came twice, or one is missing.
    Sequence,
    /// An answer said to be whole has another number of tokens than asked for.
    Length,
}

impl Violation {
    /// Name in reports.
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

/// What an answer must echo.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Expected {
    /// The adapter and version asked for, `adapter@version`.
    pub model: Box<str>,
    /// The attempt that the answer's header names, when it names one.
    pub attempt: Option<Box<str>>,
    /// Tokens asked for.
    pub tokens: u32,
}

impl Expected {
    /// What is wrong with a part of an answer.
    #[must_use]
    pub fn check(&self, model: &str, attempt: &str, text: &str) -> Vec<Violation> {
        let mut violations = Vec::new();
        if model != &*self.model {
            violations.push(Violation::Model);
        }
        if self.attempt.as_deref().is_some_and(|id| id != attempt) {
            violations.push(Violation::Attempt);
        }
        let prefix = self.prefix(attempt);
        let mut words = text.split_whitespace();
        if !words.all(|word| word.starts_with(&prefix)) {
            violations.push(Violation::Text);
        }
        violations
    }

    /// The engine stand-in's tokens are `adapter@version/attempt#number`.
    fn prefix(&self, attempt: &str) -> String {
        format!("{}/{attempt}#", self.model)
    }

    fn check_length(&self, tokens: u64) -> Option<Violation> {
        (tokens != u64::from(self.tokens)).then_some(Violation::Length)
    }
}

/// Follows a streamed answer.
#[derive(Debug)]
pub struct StreamReader {
    expected: Expected,
    next: u64,
    last_token: Option<Duration>,
    finished: bool,
    first_token: Option<Duration>,
    token_gaps: Vec<Duration>,
    violations: Vec<Violation>,
    outcome: Option<Outcome>,
}

/// What a streamed answer gave.
#[derive(Clone, Debug, PartialEq)]
pub struct Streamed {
    /// What the caller was told.
    pub outcome: Outcome,
    /// First token.
    pub first_token: Option<Duration>,
    /// Times from one token to the next.
    pub token_gaps: Vec<Duration>,
    /// Promises that the answer broke, each kind once.
    pub violations: Vec<Violation>,
}

impl StreamReader {
    /// Starts to follow an answer.
    #[must_use]
    pub const fn new(expected: Expected) -> Self {
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

    /// Takes an event that came at `now`, counted from the intended arrival.
    pub fn on_event(&mut self, now: Duration, event: &Event) {
        if self.outcome.is_some() {
            self.broke(Violation::Sequence);
        } else if event.name.as_deref() == Some(ERROR_EVENT) {
            self.outcome = Some(read_refusal(event.data.as_bytes(), None));
        } else if &*event.data == STREAM_END {
            self.on_end();
        } else {
            self.on_chunk(now, event);
        }
    }

    /// The result, once the connection has nothing more.
    #[must_use]
    pub fn finish(self) -> Streamed {
        Streamed {
            outcome: self.outcome.unwrap_or(Outcome::Failed(Failure::Cut)),
            first_token: self.first_token,
            token_gaps: self.token_gaps,
            violations: self.violations,
        }
    }

    fn on_end(&mut self) {
        if !self.finished {
            self.outcome = Some(Outcome::Failed(Failure::BadAnswer));
            return;
        }
        self.outcome = Some(Outcome::Done);
        if let Some(violation) = self.expected.check_length(self.next) {
            self.broke(violation);
        }
    }

    fn on_chunk(&mut self, now: Duration, event: &Event) {
        let Ok(chunk) = serde_json::from_str::<ChatChunk>(&event.data) else {
            self.outcome = Some(Outcome::Failed(Failure::BadAnswer));
            return;
        };
        let choice = chunk.choices.first();
        let text = choice.and_then(|choice| choice.delta.content.as_deref());
        let text = text.unwrap_or("");
        for violation in self.expected.check(&chunk.model, &chunk.id, text) {
            self.broke(violation);
        }
        self.finished |= choice.is_some_and(|choice| choice.finish_reason.is_some());
        if !text.is_empty() {
            self.on_token(now, event.id);
        }
    }

    fn on_token(&mut self, now: Duration, id: Option<u64>) {
        if id.is_some_and(|id| id != self.next) {
            self.broke(Violation::Sequence);
        }
        self.next = id.unwrap_or(self.next) + 1;
        match self.last_token {
            Some(last) => self.token_gaps.push(now.saturating_sub(last)),
            None => self.first_token = Some(now),
        }
        self.last_token = Some(now);
    }

    fn broke(&mut self, violation: Violation) {
        if !self.violations.contains(&violation) {
            self.violations.push(violation);
        }
    }
}
