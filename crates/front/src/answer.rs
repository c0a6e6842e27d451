//! What a handler answers.

use crate::refused::{CallRefusal, RefusalCode};
use bytes::Bytes;
use hyper::StatusCode;
use std::time::Duration;
use tokio::sync::mpsc;

/// The parts of a streamed answer, as server-sent events. A stream whose last
/// line is not `data: [DONE]` counts as cut.
pub type ResponseStream = mpsc::Receiver<Result<Bytes, StreamError>>;

/// An answer to a call.
#[derive(Debug)]
pub enum CallResponse {
    /// The call is refused, or its outcome is not known.
    Refused(CallRefusal),
    /// Server-sent events that follow while they are generated.
    Stream {
        /// The events.
        body: ResponseStream,
        /// What the headers tell.
        meta: ResponseMeta,
    },
    /// A whole answer.
    Buffered {
        /// HTTP status, as the target gave it.
        status: StatusCode,
        /// Value of `Content-Type`.
        content_type: Box<str>,
        /// The body.
        body: Bytes,
        /// What the headers tell.
        meta: ResponseMeta,
    },
}

/// What the headers of an answer tell about the way of the request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResponseMeta {
    /// Adapter and version that ran, `adapter@version`; none for a plain call.
    pub model: Option<Box<str>>,
    /// Id of the target that answered.
    pub target: Box<str>,
    /// Time that the request waited for a load; none if it needed no load.
    pub load_stall: Option<Duration>,
    /// Revision of the rules under which the request was decided.
    pub revision: u64,
    /// Id of the attempt that was answered.
    pub attempt: Box<str>,
}

/// Why a stream ends before its answer is whole.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamError {
    /// Why.
    pub code: RefusalCode,
    /// For people.
    pub message: Box<str>,
}

impl StreamError {
    /// The fault in the form of a refusal. Part of the answer was sent, so
    /// that the request surely began to run.
    pub(crate) fn to_refused(&self) -> CallRefusal {
        CallRefusal::unknown(self.code, &self.message)
    }
}
