//! Which requests are refused at once, and in which order others are granted.

use super::support::{Bench, POLICY, av, facts, granted, ms, refusals, refused};
use reedford_core::lease::LeaseState;
use reedford_core::messages::{PermitReason, PermitRequest};
use reedford_core::scheduler::{Action, LoadError, Policy};
use reedford_rules::{Admission, Class};
use std::collections::BTreeSet;
use std::time::Duration;
use test_case::test_case;

/// A request to an open worker that holds `a` in one of two slots.
struct Case {
    alter: fn(&mut PermitRequest),
    before: fn(&mut Bench),
    refused: Option<(PermitReason, Duration)>,
}

impl Default for Case {
    fn default() -> Self {
        Self {
            alter: |_| {},
            before: |_| {},
            refused: None,
        }
    }
}

#[test_case(Case::default(); "a free slot")]
#[test_case(Case {
    alter: |r| r.patience = ms(250),
    ..Case::default()
}; "patience for exactly the load")]
#[test_case(Case {
    alter: |r| r.patience = ms(249),
    refused: Some((PermitReason::Busy, ms(250))),
    ..Case::default()
}; "less patience than the load takes")]
#[test_case(Case {
    alter: |r| r.remaining = ms(251),
    ..Case::default()
}; "time for the load")]
#[test_case(Case {
    alter: |r| r.remaining = ms(250),
    refused: Some((PermitReason::DeadlineUnreachable, ms(250))),
    ..Case::default()
}; "no time left after the load")]
#[test_case(Case {
    alter: |r| r.remaining = ms(250),
    before: |b| b.scheduler.set_policy(Policy { admission: Admission::Off, ..POLICY }),
    ..Case::default()
}; "no time left, without admission")]
#[test_case(Case {
    alter: |r| r.patience = ms(2_249),
    before: |b| b.outlook = ms(2_000),
    refused: Some((PermitReason::Busy, ms(2_250))),
}; "the turn to load is far off")]
#[test_case(Case {
    before: |b| { b.request("a"); b.listing(&facts("boot-1", 1, 8, &[("a", 1)])); },
    alter: |r| r.patience = ms(1_249),
    refused: Some((PermitReason::Busy, ms(1_250))),
}; "no slot opens before a request ends")]
#[test_case(Case {
    before: |b| { b.request("b"); b.turn("b"); },
    alter: |r| r.patience = ms(250),
    ..Case::default()
}; "the load is under way")]
#[test_case(Case {
    before: |b| { b.request("b"); b.turn("b"); b.now += ms(100); },
    alter: |r| r.patience = ms(149),
    refused: Some((PermitReason::Busy, ms(150))),
}; "the load has been under way for a time")]
#[test_case(Case {
    before: |b| { b.request("b"); b.turn("b"); b.now += ms(1_000); },
    alter: |r| r.patience = ms(50),
    ..Case::default()
}; "the load is late")]
#[test_case(Case {
    before: |b| { b.outlook = ms(1_000); b.request("b"); b.now += ms(300); b.outlook = ms(2_000); },
    alter: |r| r.patience = ms(949),
    refused: Some((PermitReason::Busy, ms(950))),
}; "the load has been asked for before others")]
#[test_case(Case {
    before: |b| { b.listing(&facts("boot-1", 1, 8, &[("a", 0)])); b.request("c"); b.turn("c"); },
    alter: |r| { r.target = av("a"); r.patience = ms(250); },
    refused: Some((PermitReason::Busy, ms(1_250))),
}; "the adapter is being evicted")]
#[test_case(Case {
    before: |b| { b.lease = LeaseState::ResidentOnly; },
    refused: Some((PermitReason::NotOwner, ms(100))),
    ..Case::default()
}; "only resident adapters")]
#[test_case(Case {
    before: |b| { b.lease = LeaseState::Lapsed; },
    alter: |r| r.target = av("a"),
    refused: Some((PermitReason::NotOwner, ms(100))),
}; "no lease")]
#[test_case(Case {
    before: |b| { b.act(|s, _| s.on_unreachable()); },
    refused: Some((PermitReason::WorkerDown, ms(100))),
    ..Case::default()
}; "the engine does not answer")]
#[test_case(Case {
    before: |b| { b.act(|s, _| s.on_leaving()); },
    refused: Some((PermitReason::WorkerLeaving, ms(100))),
    ..Case::default()
}; "the worker leaves")]
#[test_case(Case {
    before: |b| { b.act(|s, _| s.block_targets(BTreeSet::from([av("b")]), ms(9_000))); },
    refused: Some((PermitReason::NotOwner, ms(100))),
    ..Case::default()
}; "a barred adapter")]
#[test_case(Case {
    before: |b| {
        b.request("b");
        b.turn("b");
        b.act(|s, cx| s.on_loaded(&av("b"), Err(LoadError::Failed), cx));
    },
    refused: Some((PermitReason::LoadFailed, ms(500))),
    ..Case::default()
}; "a load has just failed")]
#[test_case(Case {
    before: |b| {
        b.request("b");
        b.turn("b");
        b.act(|s, cx| s.on_loaded(&av("b"), Err(LoadError::Failed), cx));
        b.advance(500);
    },
    ..Case::default()
}; "the pause after a failed load is over")]
fn a_request_waits_or_is_refused_at_once(case: Case) {
    let mut bench = Bench::open(POLICY, 2, 8, &["a"]);
    (case.before)(&mut bench);
    let mut req = bench.permit("b");
    (case.alter)(&mut req);
    let before = bench.scheduler.waiting();
    let actions = bench.ask(&req);
    let said = refusals(&actions).remove(&req.id);
    assert_eq!(said.map(|s| (s.reason, s.retry_after)), case.refused);
    let waits = bench.scheduler.waiting() - before;
    assert_eq!(waits, u32::from(case.refused.is_none()));
}

#[test]
fn nothing_is_granted_before_the_worker_opens() {
    let mut bench = Bench::unheard(POLICY, ms(1_000), ms(1_000));
    bench.now = ms(1);
    bench.listing(&facts("boot-1", 2, 8, &[("a", 0)]));
    let mut impatient = bench.permit("a");
    impatient.patience = ms(998);
    assert_eq!(refused(&bench.ask(&impatient)), Some(PermitReason::Busy));
    let (id, actions) = bench.request("a");
    assert_eq!(actions, []);
    assert_eq!(bench.advance(998), []);
    assert_eq!(bench.advance(1), [granted(&id, Duration::ZERO)]);
}

#[test]
fn a_request_is_answered_by_its_deadline() {
    let mut bench = Bench::open(POLICY, 2, 8, &[]);
    let mut req = bench.permit("a");
    req.remaining = ms(300);
    assert_eq!(refused(&bench.ask(&req)), None);
    assert_eq!(refused(&bench.advance(299)), None);
    let actions = bench.advance(1);
    assert_eq!(refused(&actions), Some(PermitReason::DeadlineUnreachable));
    bench.turn("a");
    assert_eq!(bench.loaded("a").len(), 1, "only the end of the turn");
}

#[test]
fn room_that_comes_after_the_deadline_is_not_granted() {
    let mut bench = Bench::open(POLICY, 1, 1, &["a"]);
    let (running, _) = bench.request("a");
    let mut req = bench.permit("a");
    req.remaining = ms(2_000);
    assert_eq!(refused(&bench.ask(&req)), None);
    bench.now += ms(2_000);
    let actions = bench.release(&running, true);
    assert_eq!(refused(&actions), Some(PermitReason::DeadlineUnreachable));
    assert_eq!(bench.scheduler.running(), 0);
}

#[test]
fn a_withdrawn_request_is_never_granted() {
    let mut bench = Bench::open(POLICY, 2, 8, &[]);
    let (id, _) = bench.request("a");
    bench.turn("a");
    bench.release(&id, true);
    assert_eq!(bench.loaded("a").len(), 1, "only the end of the turn");
    assert_eq!(bench.scheduler.running(), 0);
}

/// Permits of each class that fit a batch when only that class asks.
#[test_case(8, [8, 8, 7])]
#[test_case(9, [9, 9, 7]; "the reserve is rounded up")]
#[test_case(32, [32, 32, 28])]
#[test_case(1, [1, 1, 1]; "a batch of one is for all")]
fn writing_leaves_room_for_lookups(batch_limit: u32, fit: [u32; 3]) {
    let classes = [Class::Lookup, Class::Standard, Class::Writing];
    for (class, fit) in classes.into_iter().zip(fit) {
        let mut bench = Bench::open(POLICY, 1, batch_limit, &["a"]);
        for _ in 0..=batch_limit {
            let mut req = bench.permit("a");
            req.class = class;
            bench.ask(&req);
        }
        assert_eq!(bench.scheduler.running(), fit, "{class:?}");
    }
}

#[test]
fn the_most_urgent_and_oldest_is_granted_first() {
    let mut bench = Bench::open(POLICY, 1, 1, &["a"]);
    let (running, _) = bench.request("a");
    let classes = [
        Class::Writing,
        Class::Standard,
        Class::Lookup,
        Class::Standard,
    ];
    let ids = classes.map(|class| {
        bench.advance(1);
        let mut req = bench.permit("a");
        req.class = class;
        assert_eq!(bench.ask(&req), []);
        req.id
    });
    let mut out = running;
    for next in [2, 1, 3, 0] {
        let actions = bench.release(&out, true);
        assert_eq!(actions, [granted(&ids[next], Duration::ZERO)]);
        out = ids[next].clone();
    }
}

#[test]
fn a_full_batch_is_counted_in_the_wait() {
    let mut bench = Bench::open(POLICY, 1, 2, &["a"]);
    bench.request("a");
    bench.request("a");
    let waits = [500, 1_000, 1_500];
    for wait in waits {
        let mut req = bench.permit("a");
        req.patience = ms(wait - 1);
        let actions = bench.ask(&req);
        let refusal = refusals(&actions).remove(&req.id).expect("it would wait");
        assert_eq!(
            (refusal.reason, refusal.retry_after),
            (PermitReason::Busy, ms(wait))
        );
        req.patience = ms(wait);
        assert_eq!(bench.ask(&req), Vec::<Action>::new());
    }
}
