//! What a plain service shows for checks.
//!
//! A plain service takes any `POST` path. It echoes the attempt id header and
//! answers with a JSON [`Receipt`].

use serde::{Deserialize, Serialize};

/// The answer of the plain stand-in, and an entry of its record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Receipt {
    /// The attempt id of the call.
    pub attempt: Box<str>,
    /// Path that was called.
    pub path: Box<str>,
    /// The caller's `Idempotency-Key`, when one came.
    pub key: Option<Box<str>>,
    /// The body of the call, as text.
    pub body: Box<str>,
}
