//! Responses of the targets.

use crate::TokenStream;
use bytes::Bytes;
use reedford_wire::chat::ChatResponse;

/// Response to a request to an engine.
#[derive(Debug)]
pub enum DispatchResponse {
    /// A response received as a whole: decoded, and as the bytes received.
    Complete(ChatResponse, Bytes),
    /// A streamed response.
    Stream(TokenStream),
}

/// Response to a request to cancel an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cancellation {
    /// The engine cancelled the attempt.
    Cancelled,
    /// The engine does not know the attempt or its stream.
    UnknownStream,
}

/// Response of a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlainResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body, if given.
    pub content_type: Option<Box<str>>,
    /// The body.
    pub body: Bytes,
}
