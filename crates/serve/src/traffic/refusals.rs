//! Refusals as callers get them.

use reedford_core::messages::{PermitReason, PermitRefusal};
use reedford_front::{Refused, RefusedCode};
use std::time::Duration;

/// When to come back after a fault of unknown length.
const FAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Retry-after times are spread by up to this part of themselves, so that
/// callers refused together don't come back together.
const SPREAD: f64 = 0.25;

/// Nothing ran and nothing will; worth another try after `retry_after`.
pub(super) fn not_run(code: RefusedCode, message: &str, retry_after: Duration) -> Refused {
    let spread = 1.0 + SPREAD * rand::random::<f64>();
    Refused::not_run(code, message, retry_after.mul_f64(spread))
}

/// Nothing ran, because of a fault that may last.
pub(super) fn fault(code: RefusedCode, message: &str) -> Refused {
    not_run(code, message, FAULT_RETRY_AFTER)
}

/// No worker would take the request.
pub(super) fn no_permit(refusal: Option<PermitRefusal>) -> Refused {
    let Some(PermitRefusal {
        reason,
        retry_after,
    }) = refusal
    else {
        return fault(
            RefusedCode::NoWorker,
            "no worker of the group can be reached",
        );
    };
    match reason {
        PermitReason::Busy => not_run(RefusedCode::Overloaded, "all workers are busy", retry_after),
        PermitReason::DeadlineUnreachable => not_run(
            RefusedCode::DeadlineUnreachable,
            "the answer could not be there before the deadline",
            retry_after,
        ),
        PermitReason::LoadFailed => not_run(
            RefusedCode::LoadFailed,
            "the adapter could not be loaded",
            retry_after,
        ),
        PermitReason::NotOwner | PermitReason::WorkerDown | PermitReason::WorkerLeaving => fault(
            RefusedCode::NoWorker,
            "no worker of the group takes requests now",
        ),
    }
}
