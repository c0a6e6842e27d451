//! Loads and evictions.

use super::support::{
    Harness, POLICY, REMAINING, av, engine_listing, granted, ms, order, refusal_reason, refusals,
    requested_turns, turn_ended,
};
use reedford_core::lease::LeaseState;
use reedford_core::messages::PermitReason;
use reedford_core::scheduler::{Action, LoadError, Policy, Scheduler};
use reedford_rules::{Admission, Class, Eviction, LoadOrdering, Objective};
use test_case::test_case;

const FIFO: Policy = Policy {
    load_ordering: LoadOrdering::Fifo,
    ..POLICY
};

#[test]
fn one_load_serves_all_waiting_requests() {
    let mut harness = Harness::open(POLICY, 2, 8, &[]);
    let (first, actions) = harness.request("a");
    assert_eq!(requested_turns(&actions), ["a"]);
    harness.advance(100);
    let (second, _) = harness.request("a");
    assert_eq!(harness.grant_turn("a"), [order(None, "a")]);
    harness.now += ms(250);
    let grants = [
        turn_ended("a"),
        granted(&first, ms(350)),
        granted(&second, ms(250)),
    ];
    assert_eq!(harness.finish_load("a"), grants);
}

/// The load turn for `b` is granted to a worker whose only slot holds `a`.
struct TurnCase {
    before: fn(&mut Harness),
    expected: Action,
}

#[test_case(TurnCase {
    before: |_| {},
    expected: order(Some("a"), "b"),
}; "the resident is idle")]
#[test_case(TurnCase {
    before: |h| { h.request("a"); },
    expected: turn_ended("b"),
}; "a permit pins the resident")]
#[test_case(TurnCase {
    before: |h| { let (id, _) = h.request("a"); h.release(&id, false); },
    expected: turn_ended("b"),
}; "the resident is uncertain")]
#[test_case(TurnCase {
    before: |h| { h.request("a"); h.now += REMAINING + ms(1_000); h.apply(Scheduler::on_tick); },
    expected: turn_ended("b"),
}; "a permit on the resident expired")]
#[test_case(TurnCase {
    before: |h| h.lease = LeaseState::ResidentOnly,
    expected: turn_ended("b"),
}; "the lease is not held")]
#[test_case(TurnCase {
    before: |h| { h.apply(|s, _| s.on_turn_lost(&av("b"))); },
    expected: turn_ended("b"),
}; "the request for the turn was lost")]
#[test_case(TurnCase {
    before: |h| { h.apply(|s, _| s.on_leaving()); },
    expected: turn_ended("b"),
}; "the worker is leaving")]
fn a_turn_leads_to_an_order_only_if_the_load_can_start(case: TurnCase) {
    let mut harness = Harness::open(POLICY, 1, 8, &["a"]);
    let mut req = harness.permit_request("b");
    req.remaining = REMAINING * 2;
    harness.submit(&req);
    (case.before)(&mut harness);
    assert_eq!(harness.grant_turn("b"), [case.expected]);
}

#[test]
fn a_turn_that_ended_for_lack_of_a_lease_is_requested_again() {
    let mut harness = Harness::open(POLICY, 1, 8, &[]);
    harness.request("a");
    harness.lease = LeaseState::ResidentOnly;
    assert_eq!(harness.grant_turn("a"), [turn_ended("a")]);
    harness.lease = LeaseState::Held;
    assert_eq!(requested_turns(&harness.advance(1)), ["a"]);
    assert_eq!(harness.grant_turn("a"), [order(None, "a")]);
}

#[test]
fn a_lost_turn_is_requested_again_once() {
    let mut harness = Harness::open(POLICY, 1, 8, &[]);
    harness.request("a");
    harness.apply(|s, _| s.on_turn_lost(&av("a")));
    assert_eq!(requested_turns(&harness.advance(1)), ["a"]);
    assert_eq!(requested_turns(&harness.advance(1)), Vec::<&str>::new());
}

#[test]
fn uncertainty_ends_with_a_listing_requested_late_enough_that_shows_no_request() {
    let mut harness = Harness::open(POLICY, 1, 8, &["a"]);
    let sent_before = harness.now;
    harness.advance(10);
    let (id, _) = harness.request("a");
    harness.release(&id, false);
    harness.advance(10);
    harness.request("b");
    let idle = engine_listing("boot-1", 1, 8, &[("a", 0)]);
    harness.apply(|s, cx| s.on_listing(&idle, sent_before, cx));
    assert_eq!(
        harness.scheduler.open_slots(),
        0,
        "the listing was requested too early"
    );
    harness.deliver_listing(&engine_listing("boot-1", 1, 8, &[("a", 1)]));
    assert_eq!(harness.scheduler.open_slots(), 0, "its request runs");
    assert_eq!(requested_turns(&harness.deliver_listing(&idle)), ["b"]);
}

#[test_case(Eviction::Frequency, "b"; "requested least")]
#[test_case(Eviction::Lru, "a"; "least recently used")]
fn the_victim_follows_the_policy(eviction: Eviction, victim: &str) {
    let policy = Policy { eviction, ..POLICY };
    let mut harness = Harness::open(policy, 2, 8, &[]);
    for (name, times) in [("a", 3), ("b", 1)] {
        harness.advance(10);
        harness.load(name);
        for _ in 0..times {
            harness.frequency.record(name, 1, harness.now);
        }
    }
    harness.request("c");
    assert_eq!(harness.grant_turn("c"), [order(Some(victim), "c")]);
}

#[test]
fn the_backoff_of_an_adapter_grows_with_each_failed_load() {
    let mut harness = Harness::open(POLICY, 1, 8, &[]);
    let backoffs = [500, 1_000, 2_000, 4_000, 8_000, 16_000, 30_000, 30_000];
    for backoff in backoffs {
        harness.request("a");
        harness.grant_turn("a");
        let actions = harness.apply(|s, cx| s.on_loaded(&av("a"), Err(LoadError::Failed), cx));
        let refusals: Vec<_> = refusals(&actions).into_values().collect();
        assert_eq!(refusals.len(), 1);
        assert_eq!(
            (refusals[0].reason, refusals[0].retry_after),
            (PermitReason::LoadFailed, ms(backoff))
        );
        harness.advance(backoff - 1);
        let (_, early) = harness.request("a");
        assert_eq!(refusal_reason(&early), Some(PermitReason::LoadFailed));
        harness.advance(1);
    }
    harness.load("a");
    assert_eq!(harness.scheduler.residents(), [av("a")].into());
}

#[test]
fn a_load_refused_for_lack_of_a_slot_is_requested_again_at_once() {
    let mut harness = Harness::open(POLICY, 1, 8, &[]);
    harness.request("a");
    harness.grant_turn("a");
    let actions = harness.apply(|s, cx| s.on_loaded(&av("a"), Err(LoadError::NoSlot), cx));
    assert_eq!(actions[0], turn_ended("a"));
    assert_eq!(
        requested_turns(&actions),
        ["a"],
        "its turn is requested again"
    );
}

#[test]
fn an_eviction_without_effect_leaves_the_adapter_uncertain() {
    let mut harness = Harness::open(POLICY, 1, 8, &["a"]);
    harness.request("b");
    harness.grant_turn("b");
    harness.apply(|s, cx| s.on_evicted(&av("a"), false, cx));
    harness.apply(|s, cx| s.on_loaded(&av("b"), Err(LoadError::NoSlot), cx));
    assert_eq!(harness.scheduler.open_slots(), 0);
    harness.now += ms(1);
    harness.deliver_listing(&engine_listing("boot-1", 1, 8, &[("a", 0)]));
    assert_eq!(harness.scheduler.open_slots(), 1);
}

#[test_case(Objective::LoadStalls, 5)]
#[test_case(Objective::BatchEfficiency, 2)]
fn a_grown_value_is_sent_to_the_broker(objective: Objective, requests: usize) {
    let policy = Policy {
        objective,
        ..POLICY
    };
    let mut harness = Harness::open(policy, 1, 8, &[]);
    let (_, actions) = harness.request("a");
    let mut sent = requested_turns(&actions).len();
    for _ in 0..10 {
        sent += requested_turns(&harness.advance(50)).len();
    }
    assert_eq!(sent, requests);
}

#[test]
fn the_most_valuable_load_gets_the_only_slot() {
    let mut harness = Harness::open(POLICY, 1, 8, &["a"]);
    let (pin, _) = harness.request("a");
    harness.request("b");
    let mut lookup = harness.permit_request("c");
    lookup.class = Class::Lookup;
    harness.submit(&lookup);
    assert_eq!(requested_turns(&harness.release(&pin, true)), ["c"]);
}

#[test]
fn a_stale_listing_does_not_undo_a_load() {
    let mut harness = Harness::open(POLICY, 2, 8, &[]);
    harness.request("a");
    harness.grant_turn("a");
    let sent = harness.now;
    harness.now += ms(250);
    harness.finish_load("a");
    harness.now += ms(1);
    harness.apply(|s, cx| s.on_listing(&engine_listing("boot-1", 2, 8, &[]), sent, cx));
    assert_eq!(harness.scheduler.residents(), [av("a")].into());
    let grants = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Grant { .. }));
    assert!(grants(&harness.request("a").1));
}

#[test]
fn fifo_loads_are_requested_in_the_order_of_their_requests() {
    let mut harness = Harness::open(FIFO, 2, 8, &["x", "y"]);
    let pins = ["x", "y"].map(|name| harness.request(name).0);
    for name in ["c", "a", "b"] {
        harness.advance(1);
        assert_eq!(
            requested_turns(&harness.request(name).1),
            Vec::<&str>::new()
        );
    }
    assert_eq!(requested_turns(&harness.release(&pins[0], true)), ["c"]);
    assert_eq!(requested_turns(&harness.release(&pins[1], true)), ["a"]);
}

#[test_case(POLICY; "by value")]
#[test_case(FIFO; "FIFO")]
fn an_unchanged_value_is_sent_once(policy: Policy) {
    let mut harness = Harness::open(policy, 1, 8, &[]);
    assert_eq!(requested_turns(&harness.request("a").1), ["a"]);
    for _ in 0..3 {
        assert_eq!(harness.apply(Scheduler::on_tick), []);
    }
}

#[test]
fn a_listed_load_not_ordered_by_this_scheduler_occupies_a_slot() {
    let mut harness = Harness::open(POLICY, 2, 8, &[]);
    let mut listing = engine_listing("boot-1", 2, 8, &[("x", 0), ("y", 0)]);
    for slot in listing.residents.values_mut() {
        slot.loading = true;
    }
    harness.deliver_listing(&listing);
    assert_eq!(harness.scheduler.open_slots(), 0);
    assert_eq!(requested_turns(&harness.request("a").1), Vec::<&str>::new());
    harness.advance(1);
    let actions = harness.deliver_listing(&engine_listing("boot-1", 2, 8, &[("x", 0)]));
    assert_eq!(requested_turns(&actions), ["a"], "the load of y has failed");
}

#[test]
fn an_old_failure_no_longer_counts() {
    let mut harness = Harness::open(POLICY, 1, 8, &[]);
    let fail = |harness: &mut Harness| {
        harness.request("a");
        harness.grant_turn("a");
        let actions = harness.apply(|s, cx| s.on_loaded(&av("a"), Err(LoadError::Failed), cx));
        let backoffs = refusals(&actions)
            .into_values()
            .map(|refusal| refusal.retry_after);
        backoffs.collect::<Vec<_>>()
    };
    assert_eq!(fail(&mut harness), [ms(500)]);
    harness.advance(30_499);
    assert_eq!(fail(&mut harness), [ms(1_000)]);
    harness.advance(31_000);
    assert_eq!(fail(&mut harness), [ms(500)]);
}

#[test]
fn of_equally_requested_adapters_the_least_recently_used_is_evicted() {
    let mut harness = Harness::open(POLICY, 2, 8, &[]);
    for name in ["b", "a"] {
        harness.advance(10);
        harness.load(name);
    }
    harness.request("c");
    assert_eq!(harness.grant_turn("c"), [order(Some("b"), "c")]);
}

#[test]
fn without_admission_a_load_stays_queued_until_no_request_waits() {
    let policy = Policy {
        admission: Admission::Off,
        ..FIFO
    };
    let mut harness = Harness::open(policy, 1, 8, &[]);
    let (id, actions) = harness.request("a");
    let patience = actions.iter().find_map(|action| match action {
        Action::RequestTurn { patience, .. } => Some(*patience),
        _ => None,
    });
    assert!(patience > Some(REMAINING), "{patience:?}");
    let withdrawn = [Action::WithdrawTurn { target: av("a") }];
    assert_eq!(harness.release(&id, true), withdrawn);
}
