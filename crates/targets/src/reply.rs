//! Answers of the targets.

use crate::TokenStream;
use bytes::Bytes;
use reedford_wire::chat::ChatResponse;

/// BufferedResponse to a request.
#[derive(Debug)]
pub enum DispatchResponse {
    /// A whole answer, as a value and as the bytes that came.
    Complete(ChatResponse, Bytes),
    /// A streamed answer.
    Stream(TokenStream),
}

/// BufferedResponse to a request to cancel a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cancellation {
    /// The engine stopped the run.
    Cancelled,
    /// The engine does not know the attempt.
    UnknownStream,
}

/// BufferedResponse of a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlainResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body, when it came.
    pub content_type: Option<Box<str>>,
    /// The body.
    pub body: Bytes,
}
