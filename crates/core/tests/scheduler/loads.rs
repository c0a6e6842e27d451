//! What is loaded and evicted, and when.

use super::support::{
    Bench, POLICY, REMAINING, asked, av, facts, granted, ms, order, refusals, refused, turn_ended,
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
fn one_load_serves_all_that_wait() {
    let mut bench = Bench::open(POLICY, 2, 8, &[]);
    let (first, actions) = bench.request("a");
    assert_eq!(asked(&actions), ["a"]);
    bench.advance(100);
    let (second, _) = bench.request("a");
    assert_eq!(bench.turn("a"), [order(None, "a")]);
    bench.now += ms(250);
    let grants = [
        turn_ended("a"),
        granted(&first, ms(350)),
        granted(&second, ms(250)),
    ];
    assert_eq!(bench.loaded("a"), grants);
}

/// The turn to load `b` comes to a worker with one slot that holds `a`.
struct Turn {
    before: fn(&mut Bench),
    decided: Action,
}

#[test_case(Turn {
    before: |_| {},
    decided: order(Some("a"), "b"),
}; "the resident is idle")]
#[test_case(Turn {
    before: |b| { b.request("a"); },
    decided: turn_ended("b"),
}; "a permit pins the resident")]
#[test_case(Turn {
    before: |b| { let (id, _) = b.request("a"); b.release(&id, false); },
    decided: turn_ended("b"),
}; "the resident is uncertain")]
#[test_case(Turn {
    before: |b| { b.request("a"); b.now += REMAINING + ms(1_000); b.act(Scheduler::on_tick); },
    decided: turn_ended("b"),
}; "a permit on the resident ended without word")]
#[test_case(Turn {
    before: |b| b.lease = LeaseState::ResidentOnly,
    decided: turn_ended("b"),
}; "the lease is not held")]
#[test_case(Turn {
    before: |b| { b.act(|s, _| s.on_turn_lost(&av("b"))); },
    decided: turn_ended("b"),
}; "the ask was taken for lost")]
#[test_case(Turn {
    before: |b| { b.act(|s, _| s.on_leaving()); },
    decided: turn_ended("b"),
}; "the worker leaves")]
fn a_turn_leads_to_an_order_only_when_all_holds(case: Turn) {
    let mut bench = Bench::open(POLICY, 1, 8, &["a"]);
    let mut req = bench.permit("b");
    req.remaining = REMAINING * 2;
    bench.ask(&req);
    (case.before)(&mut bench);
    assert_eq!(bench.turn("b"), [case.decided]);
}

#[test]
fn a_turn_used_up_without_lease_is_asked_for_again() {
    let mut bench = Bench::open(POLICY, 1, 8, &[]);
    bench.request("a");
    bench.lease = LeaseState::ResidentOnly;
    assert_eq!(bench.turn("a"), [turn_ended("a")]);
    bench.lease = LeaseState::Held;
    assert_eq!(asked(&bench.advance(1)), ["a"]);
    assert_eq!(bench.turn("a"), [order(None, "a")]);
}

#[test]
fn a_lost_turn_is_asked_for_again_once() {
    let mut bench = Bench::open(POLICY, 1, 8, &[]);
    bench.request("a");
    bench.act(|s, _| s.on_turn_lost(&av("a")));
    assert_eq!(asked(&bench.advance(1)), ["a"]);
    assert_eq!(asked(&bench.advance(1)), Vec::<&str>::new());
}

#[test]
fn uncertainty_ends_with_a_listing_sent_late_enough_that_shows_nothing() {
    let mut bench = Bench::open(POLICY, 1, 8, &["a"]);
    let sent_before = bench.now;
    bench.advance(10);
    let (id, _) = bench.request("a");
    bench.release(&id, false);
    bench.advance(10);
    bench.request("b");
    let idle = facts("boot-1", 1, 8, &[("a", 0)]);
    bench.act(|s, cx| s.on_listing(&idle, sent_before, cx));
    assert_eq!(
        bench.scheduler.open_slots(),
        0,
        "the question was sent too early"
    );
    bench.listing(&facts("boot-1", 1, 8, &[("a", 1)]));
    assert_eq!(bench.scheduler.open_slots(), 0, "it runs");
    assert_eq!(asked(&bench.listing(&idle)), ["b"]);
}

#[test_case(Eviction::Frequency, "b"; "seldom asked for")]
#[test_case(Eviction::Lru, "a"; "not used for longest")]
fn the_victim_follows_the_policy(eviction: Eviction, victim: &str) {
    let policy = Policy { eviction, ..POLICY };
    let mut bench = Bench::open(policy, 2, 8, &[]);
    for (name, times) in [("a", 3), ("b", 1)] {
        bench.advance(10);
        bench.load(name);
        for _ in 0..times {
            bench.frequency.record(name, 1, bench.now);
        }
    }
    bench.request("c");
    assert_eq!(bench.turn("c"), [order(Some(victim), "c")]);
}

#[test]
fn a_failed_load_pauses_the_adapter_for_longer_each_time() {
    let mut bench = Bench::open(POLICY, 1, 8, &[]);
    let pauses = [500, 1_000, 2_000, 4_000, 8_000, 16_000, 30_000, 30_000];
    for pause in pauses {
        bench.request("a");
        bench.turn("a");
        let actions = bench.act(|s, cx| s.on_loaded(&av("a"), Err(LoadError::Failed), cx));
        let said: Vec<_> = refusals(&actions).into_values().collect();
        assert_eq!(said.len(), 1);
        assert_eq!(
            (said[0].reason, said[0].retry_after),
            (PermitReason::LoadFailed, ms(pause))
        );
        bench.advance(pause - 1);
        let (_, early) = bench.request("a");
        assert_eq!(refused(&early), Some(PermitReason::LoadFailed));
        bench.advance(1);
    }
    bench.load("a");
    assert_eq!(bench.scheduler.residents(), [av("a")].into());
}

#[test]
fn an_engine_without_a_slot_costs_only_the_turn() {
    let mut bench = Bench::open(POLICY, 1, 8, &[]);
    bench.request("a");
    bench.turn("a");
    let actions = bench.act(|s, cx| s.on_loaded(&av("a"), Err(LoadError::NoSlot), cx));
    assert_eq!(actions[0], turn_ended("a"));
    assert_eq!(asked(&actions), ["a"], "it is asked for again");
}

#[test]
fn an_eviction_without_effect_leaves_the_adapter_uncertain() {
    let mut bench = Bench::open(POLICY, 1, 8, &["a"]);
    bench.request("b");
    bench.turn("b");
    bench.act(|s, cx| s.on_evicted(&av("a"), false, cx));
    bench.act(|s, cx| s.on_loaded(&av("b"), Err(LoadError::NoSlot), cx));
    assert_eq!(bench.scheduler.open_slots(), 0);
    bench.now += ms(1);
    bench.listing(&facts("boot-1", 1, 8, &[("a", 0)]));
    assert_eq!(bench.scheduler.open_slots(), 1);
}

#[test_case(Objective::LoadStalls, 5)]
#[test_case(Objective::BatchEfficiency, 2)]
fn a_higher_value_is_told_to_the_broker(objective: Objective, asks: usize) {
    let policy = Policy {
        objective,
        ..POLICY
    };
    let mut bench = Bench::open(policy, 1, 8, &[]);
    let (_, actions) = bench.request("a");
    let mut told = asked(&actions).len();
    for _ in 0..10 {
        told += asked(&bench.advance(50)).len();
    }
    assert_eq!(told, asks);
}

#[test]
fn the_most_valuable_load_takes_the_only_slot() {
    let mut bench = Bench::open(POLICY, 1, 8, &["a"]);
    let (pin, _) = bench.request("a");
    bench.request("b");
    let mut lookup = bench.permit("c");
    lookup.class = Class::Lookup;
    bench.ask(&lookup);
    assert_eq!(asked(&bench.release(&pin, true)), ["c"]);
}

#[test]
fn a_stale_listing_does_not_undo_a_load() {
    let mut bench = Bench::open(POLICY, 2, 8, &[]);
    bench.request("a");
    bench.turn("a");
    let sent = bench.now;
    bench.now += ms(250);
    bench.loaded("a");
    bench.now += ms(1);
    bench.act(|s, cx| s.on_listing(&facts("boot-1", 2, 8, &[]), sent, cx));
    assert_eq!(bench.scheduler.residents(), [av("a")].into());
    let grants = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Grant { .. }));
    assert!(grants(&bench.request("a").1));
}

#[test]
fn first_come_loads_go_in_the_order_of_their_requests() {
    let mut bench = Bench::open(FIFO, 2, 8, &["x", "y"]);
    let pins = ["x", "y"].map(|name| bench.request(name).0);
    for name in ["c", "a", "b"] {
        bench.advance(1);
        assert_eq!(asked(&bench.request(name).1), Vec::<&str>::new());
    }
    assert_eq!(asked(&bench.release(&pins[0], true)), ["c"]);
    assert_eq!(asked(&bench.release(&pins[1], true)), ["a"]);
}

#[test_case(POLICY; "by value")]
#[test_case(FIFO; "first come")]
fn an_unchanged_value_is_told_once(policy: Policy) {
    let mut bench = Bench::open(policy, 1, 8, &[]);
    assert_eq!(asked(&bench.request("a").1), ["a"]);
    for _ in 0..3 {
        assert_eq!(bench.act(Scheduler::on_tick), []);
    }
}

#[test]
fn a_load_of_unknown_origin_takes_a_slot() {
    let mut bench = Bench::open(POLICY, 2, 8, &[]);
    let mut said = facts("boot-1", 2, 8, &[("x", 0), ("y", 0)]);
    for slot in said.residents.values_mut() {
        slot.loading = true;
    }
    bench.listing(&said);
    assert_eq!(bench.scheduler.open_slots(), 0);
    assert_eq!(asked(&bench.request("a").1), Vec::<&str>::new());
    bench.advance(1);
    let actions = bench.listing(&facts("boot-1", 2, 8, &[("x", 0)]));
    assert_eq!(asked(&actions), ["a"], "the load of y has failed");
}

#[test]
fn a_failure_of_long_ago_is_forgotten() {
    let mut bench = Bench::open(POLICY, 1, 8, &[]);
    let fail = |bench: &mut Bench| {
        bench.request("a");
        bench.turn("a");
        let actions = bench.act(|s, cx| s.on_loaded(&av("a"), Err(LoadError::Failed), cx));
        let pauses = refusals(&actions)
            .into_values()
            .map(|said| said.retry_after);
        pauses.collect::<Vec<_>>()
    };
    assert_eq!(fail(&mut bench), [ms(500)]);
    bench.advance(30_499);
    assert_eq!(fail(&mut bench), [ms(1_000)]);
    bench.advance(31_000);
    assert_eq!(fail(&mut bench), [ms(500)]);
}

#[test]
fn of_equally_seldom_adapters_the_one_not_used_for_longest_is_evicted() {
    let mut bench = Bench::open(POLICY, 2, 8, &[]);
    for name in ["b", "a"] {
        bench.advance(10);
        bench.load(name);
    }
    bench.request("c");
    assert_eq!(bench.turn("c"), [order(Some("b"), "c")]);
}

#[test]
fn without_admission_a_load_keeps_its_place_until_nothing_waits() {
    let policy = Policy {
        admission: Admission::Off,
        ..FIFO
    };
    let mut bench = Bench::open(policy, 1, 8, &[]);
    let (id, actions) = bench.request("a");
    let patience = actions.iter().find_map(|action| match action {
        Action::RequestTurn { patience, .. } => Some(*patience),
        _ => None,
    });
    assert!(patience > Some(REMAINING), "{patience:?}");
    let withdrawn = [Action::WithdrawTurn { target: av("a") }];
    assert_eq!(bench.release(&id, true), withdrawn);
}
