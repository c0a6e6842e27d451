//! Settings of the client and of single calls.

use crate::AttemptId;
use bytes::Bytes;
use std::time::Duration;

/// Time limits of the client.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timeouts {
    /// Time to open a connection.
    pub connect: Duration,
    /// Time until the head of an answer.
    pub first_byte: Duration,
    /// Longest silence inside an answer.
    pub progress: Duration,
}

/// What goes with a request to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DispatchOptions {
    /// Id of the attempt, unique for every attempt.
    pub attempt: AttemptId,
    /// Scheduling priority at the engine; higher runs sooner.
    pub priority: i32,
    /// W3C trace context.
    pub traceparent: Option<Box<str>>,
    /// Time within which the whole answer must be there. An answer that is not
    /// streamed may begin as late as this; without a deadline it must begin
    /// within [`Timeouts::first_byte`].
    pub deadline: Option<Duration>,
}

/// A call to a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlainCall {
    /// Path and query at the service.
    pub path_and_query: Box<str>,
    /// Content type of the body.
    pub content_type: Option<Box<str>>,
    /// The body.
    pub body: Bytes,
    /// Id of the attempt, unique for every attempt.
    pub attempt: AttemptId,
    /// The caller's `Idempotency-Key`.
    pub key: Option<Box<str>>,
    /// W3C trace context.
    pub traceparent: Option<Box<str>>,
    /// Time within which the whole answer must be there. It replaces
    /// [`Timeouts::first_byte`].
    pub deadline: Option<Duration>,
}
