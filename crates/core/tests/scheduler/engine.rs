//! What the engine's state and the lease do to requests and orders.

use super::support::{Bench, POLICY, av, facts, ms, refusals};
use reedford_core::lease::LeaseState;
use reedford_core::messages::PermitReason;
use reedford_core::scheduler::{Action, LoadError, Scheduler};
use test_case::test_case;

/// An event that ends all waiting.
struct Ending {
    reason: PermitReason,
    event: fn(&mut Bench) -> Vec<Action>,
}

#[test_case(Ending {
    reason: PermitReason::WorkerDown,
    event: |b| b.act(|s, _| s.on_unreachable()),
}; "the engine does not answer")]
#[test_case(Ending {
    reason: PermitReason::WorkerLeaving,
    event: |b| b.act(|s, _| s.on_leaving()),
}; "the platform lists the worker as leaving")]
#[test_case(Ending {
    reason: PermitReason::WorkerLeaving,
    event: |b| {
        let mut said = facts("boot-1", 2, 8, &[]);
        said.leaving = true;
        b.listing(&said)
    },
}; "the engine says that it is leaving")]
#[test_case(Ending {
    reason: PermitReason::NotOwner,
    event: |b| {
        b.lease = LeaseState::Lapsed;
        b.act(Scheduler::on_tick)
    },
}; "the lease has lapsed")]
#[test_case(Ending {
    reason: PermitReason::NotOwner,
    event: |b| {
        b.lease = LeaseState::ResidentOnly;
        b.act(Scheduler::on_tick)
    },
}; "only resident adapters may be granted")]
#[test_case(Ending {
    reason: PermitReason::NotOwner,
    event: |b| {
        b.turn("a");
        b.act(|s, cx| s.on_loaded(&av("a"), Err(LoadError::OldFence), cx))
    },
}; "the engine has seen a higher fencing number")]
fn what_waits_is_refused_with_a_useful_time_to_come_back(case: Ending) {
    let mut bench = Bench::open(POLICY, 2, 8, &[]);
    let (first, _) = bench.request("a");
    let (second, _) = bench.request("a");
    let actions = (case.event)(&mut bench);
    let refused = refusals(&actions);
    assert_eq!(refused.len(), 2);
    for id in [first, second] {
        assert_eq!(refused[&id].reason, case.reason);
        assert!(refused[&id].retry_after >= ms(100), "{:?}", refused[&id]);
    }
    assert_eq!(bench.scheduler.waiting(), 0);
    bench.lease = LeaseState::Held;
    bench.listing(&facts("boot-1", 2, 8, &[("a", 0)]));
    let later = bench.advance(1);
    assert_eq!(later, [], "something of it started later");
}
