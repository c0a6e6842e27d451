//! Response of the test service that stands for a plain service, from which tests
//! see what ran.
//!
//! A plain service accepts `POST` on any path. It echoes the attempt id header and
//! responds with a JSON [`Receipt`].

use serde::{Deserialize, Serialize};

/// Response of the test service to a request. The service also keeps it in the list
/// of requests that it ran.
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
