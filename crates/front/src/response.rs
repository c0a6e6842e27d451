//! The response of a handler to a call.

use crate::refusal::{CallRefusal, RefusalCode};
use bytes::Bytes;
use hyper::StatusCode;
use std::time::Duration;
use tokio::sync::mpsc;

/// Parts of a streamed response, as server-sent events. A stream whose last line is
/// not `data: [DONE]` is treated as truncated.
pub type ResponseStream = mpsc::Receiver<Result<Bytes, StreamError>>;

/// The response to a call.
#[derive(Debug)]
pub enum CallResponse {
    /// An error response. The call was refused, or its outcome is unknown.
    Refused(CallRefusal),
    /// Server-sent events that are sent as they are generated.
    Stream {
        /// The events.
        body: ResponseStream,
        /// Values of the `x-*` response headers.
        meta: ResponseMeta,
    },
    /// A complete response.
    Buffered {
        /// HTTP status of the target's response.
        status: StatusCode,
        /// Value of `Content-Type`.
        content_type: Box<str>,
        /// The response body.
        body: Bytes,
        /// Values of the `x-*` response headers.
        meta: ResponseMeta,
    },
}

/// Information about how a request was served, for the response headers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResponseMeta {
    /// Adapter and version that served the request, `adapter@version`; `None` for a
    /// call to a plain service.
    pub model: Option<Box<str>>,
    /// Id of the target that responded.
    pub target: Box<str>,
    /// Time that the request waited for its adapter to be loaded; `None` if no load
    /// was needed.
    pub load_stall: Option<Duration>,
    /// Revision of the rules that applied to the request.
    pub revision: u64,
    /// Id of the attempt that the target responded to.
    pub attempt: Box<str>,
}

/// Error that ends a stream before the response is complete.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamError {
    /// Cause of the error.
    pub code: RefusalCode,
    /// Human-readable message.
    pub message: Box<str>,
}

impl StreamError {
    /// Returns the error as a refusal. Its outcome is unknown, because the request
    /// has started to run.
    pub(crate) fn to_refusal(&self) -> CallRefusal {
        CallRefusal::unknown(self.code, &self.message)
    }
}
