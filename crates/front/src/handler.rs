//! The edge between HTTP and the decisions.

use crate::answer::CallResponse;
use bytes::Bytes;
use reedford_rules::Class;
use reedford_wire::chat::ChatRequest;
use std::time::Duration;

/// SHA-256 over method, path with query, and body. Two requests with one
/// idempotency key are the same request if their digests are the same.
pub type RequestDigest = [u8; 32];

/// What the callers' headers say about a call.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallOptions {
    /// The caller's key for a request that may run at most once.
    pub idempotency_key: Option<Box<str>>,
    /// Time within which the caller wants its answer.
    pub deadline: Option<Duration>,
    /// Class of the request.
    pub class: Class,
    /// Whether the caller says that the request is idempotent.
    pub repeatable: Option<bool>,
    /// W3C trace context, of a valid form.
    pub traceparent: Option<Box<str>>,
    /// Name of the caller's organization.
    pub tenant: Option<Box<str>>,
}

/// A chat-completions call.
#[derive(Clone, Debug, PartialEq)]
pub struct ChatCall {
    /// Adapter that the caller names.
    pub adapter: Box<str>,
    /// Version that the caller names.
    pub version: Box<str>,
    /// The request as it came.
    pub request: ChatRequest,
    /// What the headers say.
    pub options: CallOptions,
    /// Digest of the request.
    pub request_digest: RequestDigest,
}

/// A call of a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlainCall {
    /// Name of the service.
    pub service: Box<str>,
    /// Path below the service, with the `/` at its start and as it came:
    /// still percent-encoded, and without `.` and `..` segments.
    pub path: Box<str>,
    /// What follows the `?`.
    pub query: Option<Box<str>>,
    /// Value of `Content-Type`.
    pub content_type: Option<Box<str>>,
    /// The body.
    pub body: Bytes,
    /// What the headers say.
    pub options: CallOptions,
    /// Digest of the request.
    pub request_digest: RequestDigest,
}

/// Whether the entry instance takes requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Readiness {
    /// It does not.
    NotReady {
        /// Why, for people.
        reason: Box<str>,
    },
    /// It does.
    Ready,
}

/// Decides what becomes of calls.
///
/// When a caller goes away, the future of its call is dropped at its next
/// await point, and the receiver of its streamed answer is dropped. A handler
/// that must go on in that case has to run the call in a task of its own.
pub trait Handler: Send + Sync + 'static {
    /// Answers a chat-completions call.
    fn chat(&self, call: ChatCall) -> impl Future<Output = CallResponse> + Send;

    /// Answers a call of a plain service.
    fn plain(&self, call: PlainCall) -> impl Future<Output = CallResponse> + Send;

    /// Whether calls are taken.
    fn readiness(&self) -> Readiness;

    /// All metrics in the Prometheus text format.
    fn metrics(&self) -> String;
}
