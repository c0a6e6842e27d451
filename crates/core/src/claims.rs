//! Whether a request that is not repeatable may run. It may run at most once.
//!
//! A claim is a record stored under the caller's idempotency key, created if
//! absent before the request is sent to a target. Each handling of a caller's
//! request is a *claimant* with its own token, which it writes into the record.
//! A claimant sends the request only after a read or the response to its write
//! has shown that the record carries its token. A claimant that finds another
//! token in a started claim does not send, so a write whose response was lost
//! never leads to a second run. A claimant may send the request to one target
//! after another, if it did not run at the earlier ones; each of these is an
//! attempt.

use serde::{Deserialize, Serialize};

/// Token of one claimant; never reused.
pub type ClaimToken = Box<str>;

/// The record stored under a caller's idempotency key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRecord {
    /// Token of the claimant that wrote the record.
    pub token: ClaimToken,
    /// Digest of the request, in hexadecimal.
    pub digest: Box<str>,
    /// State of the claim.
    pub state: ClaimState,
}

/// State of a claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum ClaimState {
    /// The request may have run.
    Started,
    /// The request ran and got this response.
    Done(RecordedResponse),
    /// The request did not run, and the claimant will never send it.
    Aborted,
}

/// A response stored for callers that repeat the request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordedResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: Box<str>,
    /// The body, as text.
    pub body: Box<str>,
    /// Adapter and version that ran the request; empty for a plain service.
    pub model: Box<str>,
    /// The target that ran the request.
    pub target: Box<str>,
    /// Identifier of the attempt that ran the request.
    pub attempt: Box<str>,
}

/// What a claimant does with a key, given the key's record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimDecision {
    /// Create the record.
    Create,
    /// The record carries this claimant's token: send the request.
    Dispatch,
    /// Another claimant has aborted and will never send the request: replace
    /// its record by compare-and-swap.
    TakeOver,
    /// Return the recorded response.
    Replay(RecordedResponse),
    /// The request of another claimant may have run or may be running, or this
    /// claimant has aborted its own claim.
    InProgress,
    /// The key was used for another request.
    KeyReused,
}

/// Decides what the claimant with `token` does with a key.
#[must_use]
pub fn decide_claim(record: Option<&ClaimRecord>, token: &str, digest: &str) -> ClaimDecision {
    let Some(record) = record else {
        return ClaimDecision::Create;
    };
    if &*record.digest != digest {
        return ClaimDecision::KeyReused;
    }
    match &record.state {
        ClaimState::Done(response) => ClaimDecision::Replay(response.clone()),
        ClaimState::Aborted if &*record.token != token => ClaimDecision::TakeOver,
        ClaimState::Started if &*record.token == token => ClaimDecision::Dispatch,
        ClaimState::Aborted | ClaimState::Started => ClaimDecision::InProgress,
    }
}
