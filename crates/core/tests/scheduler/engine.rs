//! Effects of the engine's state and the lease on waiting requests.

use super::support::{Harness, POLICY, av, engine_listing, ms, refusals};
use reedford_core::lease::LeaseState;
use reedford_core::messages::PermitReason;
use reedford_core::scheduler::{Action, LoadError, Scheduler};
use test_case::test_case;

/// An event that refuses all waiting requests.
struct RefusingEvent {
    reason: PermitReason,
    event: fn(&mut Harness) -> Vec<Action>,
}

#[test_case(RefusingEvent {
    reason: PermitReason::WorkerDown,
    event: |h| h.apply(|s, _| s.on_unreachable()),
}; "the engine does not respond")]
#[test_case(RefusingEvent {
    reason: PermitReason::WorkerLeaving,
    event: |h| h.apply(|s, _| s.on_leaving()),
}; "the platform lists the worker as leaving")]
#[test_case(RefusingEvent {
    reason: PermitReason::WorkerLeaving,
    event: |h| {
        let mut listing = engine_listing("boot-1", 2, 8, &[]);
        listing.leaving = true;
        h.deliver_listing(&listing)
    },
}; "the engine lists itself as leaving")]
#[test_case(RefusingEvent {
    reason: PermitReason::NotOwner,
    event: |h| {
        h.lease = LeaseState::Lapsed;
        h.apply(Scheduler::on_tick)
    },
}; "the lease has lapsed")]
#[test_case(RefusingEvent {
    reason: PermitReason::NotOwner,
    event: |h| {
        h.lease = LeaseState::ResidentOnly;
        h.apply(Scheduler::on_tick)
    },
}; "only resident adapters may be granted")]
#[test_case(RefusingEvent {
    reason: PermitReason::NotOwner,
    event: |h| {
        h.grant_turn("a");
        h.apply(|s, cx| s.on_loaded(&av("a"), Err(LoadError::OldFence), cx))
    },
}; "the engine has seen a higher fencing token")]
fn waiting_requests_are_refused_with_a_time_to_retry(case: RefusingEvent) {
    let mut harness = Harness::open(POLICY, 2, 8, &[]);
    let (first, _) = harness.request("a");
    let (second, _) = harness.request("a");
    let actions = (case.event)(&mut harness);
    let refused = refusals(&actions);
    assert_eq!(refused.len(), 2);
    for id in [first, second] {
        assert_eq!(refused[&id].reason, case.reason);
        assert!(refused[&id].retry_after >= ms(100), "{:?}", refused[&id]);
    }
    assert_eq!(harness.scheduler.waiting(), 0);
    harness.lease = LeaseState::Held;
    harness.deliver_listing(&engine_listing("boot-1", 2, 8, &[("a", 0)]));
    let later = harness.advance(1);
    assert_eq!(later, [], "no action follows the refusals");
}
