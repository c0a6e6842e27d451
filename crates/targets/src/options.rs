//! Settings of the client and of single requests.

use crate::AttemptId;
use bytes::Bytes;
use std::time::Duration;

/// Time limits of the client.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timeouts {
    /// Time to open a connection.
    pub connect: Duration,
    /// Time from the start of a request until the complete head of its response
    /// is received, including the time to connect.
    pub first_byte: Duration,
    /// Longest time without data in a response body.
    pub progress: Duration,
}

/// Settings of a request to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DispatchOptions {
    /// Id of the attempt, unique for every attempt.
    pub attempt: AttemptId,
    /// Scheduling priority at the engine; higher runs sooner.
    pub priority: i32,
    /// W3C trace context.
    pub traceparent: Option<Box<str>>,
    /// Time within which the complete response must be received. It replaces
    /// [`Timeouts::first_byte`] for a response that is not streamed.
    pub deadline: Option<Duration>,
}

/// A request to a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlainRequest {
    /// Path and query at the service.
    pub path_and_query: Box<str>,
    /// Content type of the body.
    pub content_type: Option<Box<str>>,
    /// The body.
    pub body: Bytes,
    /// Id of the attempt, unique for every attempt.
    pub attempt: AttemptId,
    /// The caller's `Idempotency-Key`.
    pub idempotency_key: Option<Box<str>>,
    /// W3C trace context.
    pub traceparent: Option<Box<str>>,
    /// Time within which the complete response must be received. It replaces
    /// [`Timeouts::first_byte`].
    pub deadline: Option<Duration>,
}
