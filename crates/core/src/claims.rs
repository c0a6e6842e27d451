//! Whether a non-idempotent request may run.
//!
//! A claim is a record under the caller's key, created if absent before
//! anything is sent. Each attempt writes its own token. An attempt dispatches
//! only after it has read or been told that the record carries its token, so
//! a write whose answer was lost never leads to a second run: whoever finds a
//! foreign token in a started claim does not run.

use serde::{Deserialize, Serialize};

/// Token of one attempt; never used twice.
pub type ClaimToken = Box<str>;

/// The record under a caller's key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRecord {
    /// The attempt that wrote it.
    pub token: ClaimToken,
    /// Digest of the request, in hexadecimal.
    pub digest: Box<str>,
    /// How far the attempt came.
    pub state: ClaimState,
}

/// How far an attempt came.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum ClaimState {
    /// The request may have run.
    Started,
    /// The request ran and this was its answer.
    Done(RecordedAnswer),
    /// The request did not run and this attempt will never send it.
    Aborted,
}

/// An answer kept for callers that ask again.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: Box<str>,
    /// The body, text.
    pub body: Box<str>,
    /// Adapter and version that ran; empty for a plain service.
    pub model: Box<str>,
    /// The target that ran it.
    pub target: Box<str>,
    /// The attempt that ran.
    pub attempt: Box<str>,
}

/// What to do with a key, given its record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimDecision {
    /// Create the record.
    Create,
    /// The record is this attempt's own: dispatch.
    Dispatch,
    /// Another attempt has not run and never will: swap the record.
    TakeOver,
    /// Give the recorded answer.
    Replay(RecordedAnswer),
    /// Another attempt may have run, or may be running.
    InProgress,
    /// The key was used for another request.
    KeyReused,
}

/// Decides what the attempt `token` does with a key.
#[must_use]
pub fn decide(record: Option<&ClaimRecord>, token: &str, digest: &str) -> ClaimDecision {
    let Some(record) = record else {
        return ClaimDecision::Create;
    };
    if &*record.digest != digest {
        return ClaimDecision::KeyReused;
    }
    match &record.state {
        ClaimState::Done(answer) => ClaimDecision::Replay(answer.clone()),
        ClaimState::Aborted if &*record.token != token => ClaimDecision::TakeOver,
        ClaimState::Started if &*record.token == token => ClaimDecision::Dispatch,
        ClaimState::Aborted | ClaimState::Started => ClaimDecision::InProgress,
    }
}
