//! HTTP statuses of refusals.

use hyper::StatusCode;
use reedford_wire::engine::{Refusal, RefusalCode};

/// Returns the HTTP status of a refusal.
#[must_use]
pub const fn refusal_status(code: RefusalCode) -> StatusCode {
    match code {
        RefusalCode::AdapterNotLoaded | RefusalCode::NoSlot => StatusCode::CONFLICT,
        RefusalCode::Full | RefusalCode::Leaving => StatusCode::SERVICE_UNAVAILABLE,
        RefusalCode::OldFence => StatusCode::PRECONDITION_FAILED,
        RefusalCode::LoadFailed => StatusCode::BAD_GATEWAY,
        RefusalCode::BadRequest => StatusCode::BAD_REQUEST,
    }
}

/// Decodes a refusal. Returns `None` if the body is not one, or if its code does
/// not match the status.
pub(crate) fn parse_refusal(status: StatusCode, body: &[u8]) -> Option<Refusal> {
    let refusal: Refusal = serde_json::from_slice(body).ok()?;
    (refusal_status(refusal.code) == status).then_some(refusal)
}
