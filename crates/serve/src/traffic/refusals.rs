//! Refusals sent to callers.

use reedford_core::messages::{PermitReason, PermitRefusal};
use reedford_front::{CallRefusal, RefusalCode};
use std::time::Duration;

/// Retry-after time for faults of unknown duration.
const FAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Largest relative jitter added to retry-after times, so that callers refused at
/// the same time don't retry at the same time.
const RETRY_AFTER_JITTER: f64 = 0.25;

/// Returns a refusal of a request that did not run and won't run later. The
/// caller may retry after `retry_after` plus jitter.
pub(super) fn not_run(code: RefusalCode, message: &str, retry_after: Duration) -> CallRefusal {
    let factor = 1.0 + RETRY_AFTER_JITTER * rand::random::<f64>();
    CallRefusal::not_run(code, message, retry_after.mul_f64(factor))
}

/// Returns a refusal of a request that did not run because of a fault of unknown
/// duration.
pub(super) fn fault_refusal(code: RefusalCode, message: &str) -> CallRefusal {
    not_run(code, message, FAULT_RETRY_AFTER)
}

/// Returns the refusal for a request that got no permit. `refusal` is `None` if
/// there was no worker to try.
pub(super) fn permit_refusal(refusal: Option<PermitRefusal>) -> CallRefusal {
    let Some(PermitRefusal {
        reason,
        retry_after,
    }) = refusal
    else {
        return fault_refusal(
            RefusalCode::NoWorker,
            "no worker of the group can be reached",
        );
    };
    match reason {
        PermitReason::Busy => not_run(RefusalCode::Overloaded, "all workers are busy", retry_after),
        PermitReason::DeadlineUnreachable => not_run(
            RefusalCode::DeadlineUnreachable,
            "the answer could not be there before the deadline",
            retry_after,
        ),
        PermitReason::LoadFailed => not_run(
            RefusalCode::LoadFailed,
            "the adapter could not be loaded",
            retry_after,
        ),
        PermitReason::NotOwner | PermitReason::WorkerDown | PermitReason::WorkerLeaving => {
            fault_refusal(
                RefusalCode::NoWorker,
                "no worker of the group takes requests now",
            )
        }
    }
}
