//! Errors of requests to a target.

use reedford_wire::engine::Refusal;
use std::io::ErrorKind;

/// Why no byte of a request was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum NotSentReason {
    /// The connection could not be opened.
    #[error("connect failed: {0}")]
    Connect(ErrorKind),
    /// The connection was not established within the connect timeout.
    #[error("connect timed out")]
    ConnectTimeout,
    /// The deadline passed before the request was sent.
    #[error("deadline passed before sending")]
    Deadline,
    /// The connection closed before the request was sent.
    #[error("connection closed before sending")]
    Closed,
    /// The request can't be encoded as HTTP.
    #[error("request can't be encoded")]
    Encoding,
    /// The client has been closed.
    #[error("client closed")]
    ClientClosed,
}

/// Why there is no usable response although the request may have been sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum LostReason {
    /// The connection closed before the response was complete.
    #[error("connection closed before the response was complete")]
    Closed,
    /// The complete head of the response was not received in time.
    #[error("no response within the timeout")]
    FirstByteTimeout,
    /// No further byte of the response body was received in time.
    #[error("response stalled")]
    ProgressTimeout,
    /// The deadline of the request passed.
    #[error("deadline passed")]
    Deadline,
    /// The status of the response is not part of the protocol.
    #[error("unexpected status {0}")]
    Status(u16),
    /// The response can't be decoded.
    #[error("unreadable response")]
    Unreadable,
    /// The response has no attempt id.
    #[error("response without attempt id")]
    NoAttemptId,
    /// The response belongs to another request.
    #[error("response to another request")]
    OtherRequest,
    /// The head of the response, or what came before it, is longer than the client accepts.
    #[error("head of the response too long")]
    HeadTooLong,
    /// Too much came without a part of the response body, or in parts that are too small.
    #[error("no progress in what came")]
    NoProgress,
    /// The response body is longer than the client accepts.
    #[error("response too long")]
    TooLong,
    /// No memory was left for the response body.
    #[error("no memory is left for the response")]
    NoMemory,
}

/// The response is for another attempt or another model.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("response is for {got}, expected {expected}")]
pub struct Mismatch {
    /// The attempt id or model of the request.
    pub expected: Box<str>,
    /// The attempt id or model in the response.
    pub got: Box<str>,
}

impl Mismatch {
    /// Compares the attempt id or model in a response with that of the request.
    ///
    /// # Errors
    /// If they differ.
    pub(crate) fn check(expected: &str, got: &str) -> Result<(), Self> {
        if expected == got {
            return Ok(());
        }
        Err(Self {
            expected: expected.into(),
            got: got.into(),
        })
    }
}

/// Error of a request whose response need not have an attempt id, such as a
/// cancellation or a read of an engine's state.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum CallError {
    /// No byte was sent.
    #[error("not sent: {0}")]
    NotSent(#[from] NotSentReason),
    /// The request may have been sent, and no usable response was received.
    #[error("lost: {0}")]
    Lost(#[from] LostReason),
}

/// Error of a request that runs on a target: a chat request or a request to a
/// plain service.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum DispatchError {
    /// No byte was sent: the request did not run.
    #[error("not sent: {0}")]
    NotSent(#[from] NotSentReason),
    /// The target refused: the request did not run.
    #[error("refused: {}", .0.message)]
    Refused(Refusal),
    /// The request may have run.
    #[error("lost: {0}")]
    Lost(#[from] LostReason),
    /// The response belongs to another attempt or model and was discarded; the
    /// request may have run.
    #[error("mismatch: {0}")]
    Mismatch(#[from] Mismatch),
}

impl From<CallError> for DispatchError {
    fn from(e: CallError) -> Self {
        match e {
            CallError::NotSent(reason) => Self::NotSent(reason),
            CallError::Lost(reason) => Self::Lost(reason),
        }
    }
}

/// How resuming a stream failed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ResumeError {
    /// No byte was sent.
    #[error("not sent: {0}")]
    NotSent(#[from] NotSentReason),
    /// The target does not know the stream. Its attempt may have run nevertheless.
    #[error("the target does not know the stream")]
    UnknownStream,
    /// No usable response was received.
    #[error("lost: {0}")]
    Lost(#[from] LostReason),
    /// The response belongs to another attempt or model and was discarded.
    #[error("mismatch: {0}")]
    Mismatch(#[from] Mismatch),
}

impl From<CallError> for ResumeError {
    fn from(e: CallError) -> Self {
        match e {
            CallError::NotSent(reason) => Self::NotSent(reason),
            CallError::Lost(reason) => Self::Lost(reason),
        }
    }
}

/// How a stream failed. `received` is the number of tokens received since the
/// start of the generation, and so the index of the next token, at which the
/// stream can be resumed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum StreamError {
    /// The connection closed before the end marker.
    #[error("stream cut before token {received}")]
    Cut {
        /// Number of tokens received since the start of the generation; also the index
        /// of the next one.
        received: u64,
    },
    /// Nothing was received within the progress timeout.
    #[error("stream silent before token {received}")]
    Silent {
        /// Number of tokens received since the start of the generation; also the index
        /// of the next one.
        received: u64,
    },
    /// The deadline of the request passed.
    #[error("deadline passed before token {received}")]
    Deadline {
        /// Number of tokens received since the start of the generation; also the index
        /// of the next one.
        received: u64,
    },
    /// An event belongs to another attempt or model.
    #[error("mismatch before token {received}: {mismatch}")]
    Mismatch {
        /// Number of tokens received since the start of the generation; also the index
        /// of the next one.
        received: u64,
        /// What differs.
        mismatch: Mismatch,
    },
    /// An event can't be decoded, or its index is not the next one.
    #[error("unreadable event before token {received}")]
    Unreadable {
        /// Number of tokens received since the start of the generation; also the index
        /// of the next one.
        received: u64,
    },
}

impl StreamError {
    /// Returns the index of the next token, at which the stream can be resumed.
    #[must_use]
    pub const fn next_index(&self) -> u64 {
        match self {
            Self::Cut { received }
            | Self::Silent { received }
            | Self::Deadline { received }
            | Self::Mismatch { received, .. }
            | Self::Unreadable { received } => *received,
        }
    }
}

/// How an order failed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum OrderError {
    /// No byte was sent: the order has no effect.
    #[error("not sent: {0}")]
    NotSent(#[from] NotSentReason),
    /// The engine refused: the order has no effect.
    #[error("refused: {}", .0.message)]
    Refused(Refusal),
    /// The order may have taken effect, or may still do so.
    #[error("unknown: {0}")]
    Unknown(#[from] LostReason),
}

impl From<CallError> for OrderError {
    fn from(e: CallError) -> Self {
        match e {
            CallError::NotSent(reason) => Self::NotSent(reason),
            CallError::Lost(reason) => Self::Unknown(reason),
        }
    }
}
