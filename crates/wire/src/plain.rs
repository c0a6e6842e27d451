//! Response of the plain stand-in, by which tests see what ran.
//!
//! A plain service accepts `POST` on any path. It echoes the attempt id header and
//! responds with a JSON [`Receipt`].

use serde::{Deserialize, Serialize};

/// Response of the plain stand-in to a request, also kept in its record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Receipt {
    /// Attempt id of the request.
    pub attempt: Box<str>,
    /// Path of the request.
    pub path: Box<str>,
    /// The caller's `Idempotency-Key`, if the request had one.
    pub key: Option<Box<str>>,
    /// Body of the request, as text.
    pub body: Box<str>,
}
