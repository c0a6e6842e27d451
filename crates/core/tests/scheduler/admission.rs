//! Which requests are refused at once, and the order in which others are
//! granted.

use super::support::{Harness, POLICY, av, engine_listing, granted, ms, refusal_reason, refusals};
use reedford_core::lease::LeaseState;
use reedford_core::messages::{PermitReason, PermitRequest};
use reedford_core::scheduler::{Action, LoadError, Policy};
use reedford_rules::{Admission, Class};
use std::collections::BTreeSet;
use std::time::Duration;
use test_case::test_case;

/// A request for `b` to an open worker that holds `a` in one of two slots.
struct Case {
    modify: fn(&mut PermitRequest),
    before: fn(&mut Harness),
    expected: Option<(PermitReason, Duration)>,
}

impl Default for Case {
    fn default() -> Self {
        Self {
            modify: |_| {},
            before: |_| {},
            expected: None,
        }
    }
}

#[test_case(Case::default(); "a free slot")]
#[test_case(Case {
    modify: |r| r.patience = ms(250),
    ..Case::default()
}; "patience for exactly the load")]
#[test_case(Case {
    modify: |r| r.patience = ms(249),
    expected: Some((PermitReason::Busy, ms(250))),
    ..Case::default()
}; "less patience than the load takes")]
#[test_case(Case {
    modify: |r| r.remaining = ms(251),
    ..Case::default()
}; "time for the load")]
#[test_case(Case {
    modify: |r| r.remaining = ms(250),
    expected: Some((PermitReason::DeadlineUnreachable, ms(250))),
    ..Case::default()
}; "no time left after the load")]
#[test_case(Case {
    modify: |r| r.remaining = ms(250),
    before: |h| h.scheduler.set_policy(Policy { admission: Admission::Off, ..POLICY }),
    ..Case::default()
}; "no time left, without admission")]
#[test_case(Case {
    modify: |r| r.patience = ms(2_249),
    before: |h| h.turn_wait = ms(2_000),
    expected: Some((PermitReason::Busy, ms(2_250))),
}; "the load turn is far off")]
#[test_case(Case {
    before: |h| { h.request("a"); h.deliver_listing(&engine_listing("boot-1", 1, 8, &[("a", 1)])); },
    modify: |r| r.patience = ms(1_249),
    expected: Some((PermitReason::Busy, ms(1_250))),
}; "no slot opens before a request ends")]
#[test_case(Case {
    before: |h| { h.request("b"); h.grant_turn("b"); },
    modify: |r| r.patience = ms(250),
    ..Case::default()
}; "the load is under way")]
#[test_case(Case {
    before: |h| { h.request("b"); h.grant_turn("b"); h.now += ms(100); },
    modify: |r| r.patience = ms(149),
    expected: Some((PermitReason::Busy, ms(150))),
}; "the load has been under way for some time")]
#[test_case(Case {
    before: |h| { h.request("b"); h.grant_turn("b"); h.now += ms(1_000); },
    modify: |r| r.patience = ms(50),
    ..Case::default()
}; "the load is overdue")]
#[test_case(Case {
    before: |h| { h.turn_wait = ms(1_000); h.request("b"); h.now += ms(300); h.turn_wait = ms(2_000); },
    modify: |r| r.patience = ms(949),
    expected: Some((PermitReason::Busy, ms(950))),
}; "the load turn was requested earlier")]
#[test_case(Case {
    before: |h| { h.deliver_listing(&engine_listing("boot-1", 1, 8, &[("a", 0)])); h.request("c"); h.grant_turn("c"); },
    modify: |r| { r.target = av("a"); r.patience = ms(250); },
    expected: Some((PermitReason::Busy, ms(1_250))),
}; "the adapter is being evicted")]
#[test_case(Case {
    before: |h| { h.lease = LeaseState::ResidentOnly; },
    expected: Some((PermitReason::NotOwner, ms(100))),
    ..Case::default()
}; "only resident adapters are granted")]
#[test_case(Case {
    before: |h| { h.lease = LeaseState::Lapsed; },
    modify: |r| r.target = av("a"),
    expected: Some((PermitReason::NotOwner, ms(100))),
}; "no lease")]
#[test_case(Case {
    before: |h| { h.apply(|s, _| s.on_unreachable()); },
    expected: Some((PermitReason::WorkerDown, ms(100))),
    ..Case::default()
}; "the engine does not respond")]
#[test_case(Case {
    before: |h| { h.apply(|s, _| s.on_leaving()); },
    expected: Some((PermitReason::WorkerLeaving, ms(100))),
    ..Case::default()
}; "the worker is leaving")]
#[test_case(Case {
    before: |h| { h.apply(|s, _| s.block_targets(BTreeSet::from([av("b")]), ms(9_000))); },
    expected: Some((PermitReason::NotOwner, ms(100))),
    ..Case::default()
}; "the adapter is blocked")]
#[test_case(Case {
    before: |h| {
        h.request("b");
        h.grant_turn("b");
        h.apply(|s, cx| s.on_loaded(&av("b"), Err(LoadError::Failed), cx));
    },
    expected: Some((PermitReason::LoadFailed, ms(500))),
    ..Case::default()
}; "a load has just failed")]
#[test_case(Case {
    before: |h| {
        h.request("b");
        h.grant_turn("b");
        h.apply(|s, cx| s.on_loaded(&av("b"), Err(LoadError::Failed), cx));
        h.advance(500);
    },
    ..Case::default()
}; "the backoff after a failed load is over")]
fn a_request_waits_or_is_refused_at_once(case: Case) {
    let mut harness = Harness::open(POLICY, 2, 8, &["a"]);
    (case.before)(&mut harness);
    let mut req = harness.permit_request("b");
    (case.modify)(&mut req);
    let before = harness.scheduler.waiting();
    let actions = harness.submit(&req);
    let refusal = refusals(&actions).remove(&req.id);
    assert_eq!(refusal.map(|r| (r.reason, r.retry_after)), case.expected);
    let waits = harness.scheduler.waiting() - before;
    assert_eq!(waits, u32::from(case.expected.is_none()));
}

#[test]
fn nothing_is_granted_before_the_worker_opens() {
    let mut harness = Harness::without_listing(POLICY, ms(1_000), ms(1_000));
    harness.now = ms(1);
    harness.deliver_listing(&engine_listing("boot-1", 2, 8, &[("a", 0)]));
    let mut req = harness.permit_request("a");
    req.patience = ms(998);
    assert_eq!(
        refusal_reason(&harness.submit(&req)),
        Some(PermitReason::Busy)
    );
    let (id, actions) = harness.request("a");
    assert_eq!(actions, []);
    assert_eq!(harness.advance(998), []);
    assert_eq!(harness.advance(1), [granted(&id, Duration::ZERO)]);
}

#[test]
fn a_request_is_refused_by_its_deadline() {
    let mut harness = Harness::open(POLICY, 2, 8, &[]);
    let mut req = harness.permit_request("a");
    req.remaining = ms(300);
    assert_eq!(refusal_reason(&harness.submit(&req)), None);
    assert_eq!(refusal_reason(&harness.advance(299)), None);
    let actions = harness.advance(1);
    assert_eq!(
        refusal_reason(&actions),
        Some(PermitReason::DeadlineUnreachable)
    );
    harness.grant_turn("a");
    assert_eq!(
        harness.finish_load("a").len(),
        1,
        "only the end of the turn"
    );
}

#[test]
fn capacity_freed_after_the_deadline_is_not_granted() {
    let mut harness = Harness::open(POLICY, 1, 1, &["a"]);
    let (running, _) = harness.request("a");
    let mut req = harness.permit_request("a");
    req.remaining = ms(2_000);
    assert_eq!(refusal_reason(&harness.submit(&req)), None);
    harness.now += ms(2_000);
    let actions = harness.release(&running, true);
    assert_eq!(
        refusal_reason(&actions),
        Some(PermitReason::DeadlineUnreachable)
    );
    assert_eq!(harness.scheduler.running(), 0);
}

#[test]
fn a_withdrawn_request_is_never_granted() {
    let mut harness = Harness::open(POLICY, 2, 8, &[]);
    let (id, _) = harness.request("a");
    harness.grant_turn("a");
    harness.release(&id, true);
    assert_eq!(
        harness.finish_load("a").len(),
        1,
        "only the end of the turn"
    );
    assert_eq!(harness.scheduler.running(), 0);
}

/// Batch limit, and the number of lookup, standard and writing requests granted
/// when all requests are of that class.
#[test_case(8, [8, 8, 7])]
#[test_case(9, [9, 9, 7]; "the reserve is rounded up")]
#[test_case(32, [32, 32, 28])]
#[test_case(1, [1, 1, 1]; "a batch of one takes any class")]
fn writing_leaves_capacity_for_lookups(batch_limit: u32, granted: [u32; 3]) {
    let classes = [Class::Lookup, Class::Standard, Class::Writing];
    for (class, granted) in classes.into_iter().zip(granted) {
        let mut harness = Harness::open(POLICY, 1, batch_limit, &["a"]);
        for _ in 0..=batch_limit {
            let mut req = harness.permit_request("a");
            req.class = class;
            harness.submit(&req);
        }
        assert_eq!(harness.scheduler.running(), granted, "{class:?}");
    }
}

#[test]
fn the_most_urgent_class_and_then_the_oldest_request_is_granted_first() {
    let mut harness = Harness::open(POLICY, 1, 1, &["a"]);
    let (running, _) = harness.request("a");
    let classes = [
        Class::Writing,
        Class::Standard,
        Class::Lookup,
        Class::Standard,
    ];
    let ids = classes.map(|class| {
        harness.advance(1);
        let mut req = harness.permit_request("a");
        req.class = class;
        assert_eq!(harness.submit(&req), []);
        req.id
    });
    let mut last = running;
    for next in [2, 1, 3, 0] {
        let actions = harness.release(&last, true);
        assert_eq!(actions, [granted(&ids[next], Duration::ZERO)]);
        last = ids[next].clone();
    }
}

#[test]
fn the_expected_wait_includes_a_full_batch() {
    let mut harness = Harness::open(POLICY, 1, 2, &["a"]);
    harness.request("a");
    harness.request("a");
    let waits = [500, 1_000, 1_500];
    for wait in waits {
        let mut req = harness.permit_request("a");
        req.patience = ms(wait - 1);
        let actions = harness.submit(&req);
        let refusal = refusals(&actions)
            .remove(&req.id)
            .expect("it would have to wait");
        assert_eq!(
            (refusal.reason, refusal.retry_after),
            (PermitReason::Busy, ms(wait))
        );
        req.patience = ms(wait);
        assert_eq!(harness.submit(&req), Vec::<Action>::new());
    }
}
