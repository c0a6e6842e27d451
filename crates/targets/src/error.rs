//! How calls to a target fail.

use reedford_wire::engine::Refusal;
use std::io::ErrorKind;

/// Why no byte of a request went out.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum NotSentReason {
    /// The connection could not be opened.
    #[error("connect failed: {0}")]
    Connect(ErrorKind),
    /// The connection was not open within the connect timeout.
    #[error("connect timed out")]
    ConnectTimeout,
    /// The deadline passed before the request was handed over.
    #[error("deadline passed before sending")]
    Deadline,
    /// The connection closed before the request was handed over.
    #[error("connection closed before sending")]
    Closed,
    /// The request can't be written as HTTP.
    #[error("request can't be encoded")]
    Encoding,
    /// The client has been closed.
    #[error("client closed")]
    ClientClosed,
}

/// Why there is no usable answer although bytes may have gone out.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum LostReason {
    /// The connection closed before the whole answer came.
    #[error("connection closed before the answer was whole")]
    Closed,
    /// The answer did not begin in time.
    #[error("no answer within the timeout")]
    FirstByteTimeout,
    /// The answer stopped half-way.
    #[error("answer stalled")]
    ProgressTimeout,
    /// The deadline of the request passed.
    #[error("deadline passed")]
    Deadline,
    /// The answer's status is not part of the protocol.
    #[error("unexpected status {0}")]
    Status(u16),
    /// The answer can't be read.
    #[error("unreadable answer")]
    Unreadable,
    /// The answer does not say which request it belongs to.
    #[error("answer without attempt id")]
    NoAttemptId,
    /// The answer is longer than the client takes.
    #[error("answer too long")]
    TooLong,
}

/// The target answered for another attempt or another model.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("answer is for {got}, expected {expected}")]
pub struct Mismatch {
    /// The attempt id or model asked for.
    pub expected: Box<str>,
    /// The one echoed.
    pub got: Box<str>,
}

impl Mismatch {
    /// Compares what a target echoed with what it was asked.
    ///
    /// # Errors
    /// When they differ.
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

/// How a call without attempt id failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum CallError {
    /// No byte went out.
    #[error("not sent: {0}")]
    NotSent(#[from] NotSentReason),
    /// Bytes may have gone out; no usable answer came.
    #[error("lost: {0}")]
    Lost(#[from] LostReason),
}

/// How a request failed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum DispatchError {
    /// No byte went out: the request did not run.
    #[error("not sent: {0}")]
    NotSent(#[from] NotSentReason),
    /// The target refused: the request did not run.
    #[error("refused: {}", .0.message)]
    Refused(Refusal),
    /// The request may have run.
    #[error("lost: {0}")]
    Lost(#[from] LostReason),
    /// The answer belongs to something else and was thrown away; the request
    /// may have run.
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
    /// No byte went out.
    #[error("not sent: {0}")]
    NotSent(#[from] NotSentReason),
    /// The target does not know the stream. It may have run and been forgotten.
    #[error("the target does not know the stream")]
    UnknownStream,
    /// No usable answer came.
    #[error("lost: {0}")]
    Lost(#[from] LostReason),
    /// The answer belongs to something else and was thrown away.
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

/// How a stream failed. `received` is the number of the next token, which is
/// where a resumed stream goes on.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum StreamError {
    /// The connection closed before the end mark.
    #[error("stream cut before token {received}")]
    Cut {
        /// Number of the next token.
        received: u64,
    },
    /// Nothing came within the progress timeout.
    #[error("stream silent before token {received}")]
    Silent {
        /// Number of the next token.
        received: u64,
    },
    /// The deadline of the request passed.
    #[error("deadline passed before token {received}")]
    Deadline {
        /// Number of the next token.
        received: u64,
    },
    /// An event belongs to another attempt or model.
    #[error("mismatch before token {received}: {mismatch}")]
    Mismatch {
        /// Number of the next token.
        received: u64,
        /// What differs.
        mismatch: Mismatch,
    },
    /// An event can't be read, or its number is not the next one.
    #[error("unreadable event before token {received}")]
    Unreadable {
        /// Number of the next token.
        received: u64,
    },
}

impl StreamError {
    /// Number of the next token.
    #[must_use]
    pub const fn received(&self) -> u64 {
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
    /// No byte went out: the order has no effect.
    #[error("not sent: {0}")]
    NotSent(#[from] NotSentReason),
    /// The engine refused: the order has no effect.
    #[error("refused: {}", .0.message)]
    Refused(Refusal),
    /// The order may have taken effect, or may yet.
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
