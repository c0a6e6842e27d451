//! The calls that the server passes to a [`Handler`].

use crate::response::CallResponse;
use bytes::Bytes;
use reedford_rules::Class;
use reedford_wire::chat::ChatRequest;
use std::time::Duration;

/// SHA-256 digest of method, path with query, and body. Two requests with the same
/// idempotency key are the same request if their digests are equal.
pub type RequestDigest = [u8; 32];

/// Options of a call, from its headers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallOptions {
    /// The caller's key for a request that must run at most once.
    pub idempotency_key: Option<Box<str>>,
    /// Time within which the caller needs the response.
    pub deadline: Option<Duration>,
    /// Request class.
    pub class: Class,
    /// Whether the request is idempotent; `None` if the caller did not specify it.
    pub repeatable: Option<bool>,
    /// Valid W3C `traceparent` value.
    pub traceparent: Option<Box<str>>,
    /// Name of the caller's organization.
    pub tenant: Option<Box<str>>,
}

/// A chat-completions call.
#[derive(Clone, Debug, PartialEq)]
pub struct ChatCall {
    /// Requested adapter.
    pub adapter: Box<str>,
    /// Requested version of the adapter.
    pub version: Box<str>,
    /// The request body.
    pub request: ChatRequest,
    /// Options from the headers.
    pub options: CallOptions,
    /// Digest that identifies the request; see [`RequestDigest`].
    pub request_digest: RequestDigest,
}

/// A call to a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlainCall {
    /// Name of the service.
    pub service: Box<str>,
    /// Path below the service, starting with `/`. It is not percent-decoded and
    /// has no `.` or `..` segments.
    pub path: Box<str>,
    /// Query string, without the `?`.
    pub query: Option<Box<str>>,
    /// Value of `Content-Type`.
    pub content_type: Option<Box<str>>,
    /// The request body.
    pub body: Bytes,
    /// Options from the headers.
    pub options: CallOptions,
    /// Digest that identifies the request; see [`RequestDigest`].
    pub request_digest: RequestDigest,
}

/// Whether the entry instance accepts calls.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Readiness {
    /// Calls are refused.
    NotReady {
        /// Human-readable reason.
        reason: Box<str>,
    },
    /// Calls are accepted.
    Ready,
}

/// Handles calls.
///
/// If a caller disconnects, the future of its call is dropped at its next await
/// point, and so is the receiver of its streamed response. A handler that must
/// complete the call in that case has to run it in a separate task.
pub trait Handler: Send + Sync + 'static {
    /// Handles a chat-completions call.
    fn chat(&self, call: ChatCall) -> impl Future<Output = CallResponse> + Send;

    /// Handles a call to a plain service.
    fn plain(&self, call: PlainCall) -> impl Future<Output = CallResponse> + Send;

    /// Returns whether calls are accepted.
    fn readiness(&self) -> Readiness;

    /// Returns all metrics in the Prometheus text format.
    fn metrics(&self) -> String;
}
