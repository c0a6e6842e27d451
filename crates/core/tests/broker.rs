//! Which load starts next, and how many may start.

use reedford_core::broker::{Broker, LoadKey};
use reedford_core::messages::TurnRequest;
use reedford_core::scheduler::class_weight;
use reedford_core::{AdapterVersion, Now};
use reedford_rules::{Class, LoadsRule};
use std::time::Duration;
use test_case::test_case;

const RULE: LoadsRule = LoadsRule {
    per_1000_s: 3_000,
    in_flight: 8,
};
/// Longer than the wait in any queue here.
const UNBOUNDED_PATIENCE: Duration = ms(10_000_000);
/// End of an idle period after which the first load may start at once.
const READY: Now = ms(10_000);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn turn_request(name: &str, value: f64) -> TurnRequest {
    TurnRequest {
        worker: "worker-1".into(),
        target: AdapterVersion::new(name, "1"),
        value,
        patience: UNBOUNDED_PATIENCE,
    }
}

fn key(name: &str) -> LoadKey {
    (&turn_request(name, 0.0)).into()
}

fn broker(zones: usize) -> Broker {
    Broker::new(zones, RULE, Duration::ZERO)
}

/// Expected wait of a load for a writing request.
fn writing_wait(broker: &Broker, now: Now) -> Duration {
    broker.turn_wait(now).writing
}

fn start_loads(broker: &mut Broker, now: Now) -> Vec<Box<str>> {
    let keys = broker.start_loads(now).into_iter();
    keys.map(|key| key.target.adapter).collect()
}

#[test]
fn the_highest_value_starts_first_and_the_oldest_of_equals() {
    let mut broker = broker(1);
    let requests = [("a", 1.0), ("b", 2.0), ("c", 1.0), ("d", 0.5)];
    for (name, value) in requests {
        broker.enqueue(&turn_request(name, value), Duration::ZERO);
    }
    broker.enqueue(&turn_request("d", 3.0), Duration::ZERO);
    broker.enqueue(&turn_request("a", 1.0), Duration::ZERO);
    broker.withdraw(&key("b"));
    let mut order = Vec::new();
    for second in 10..13 {
        order.extend(start_loads(&mut broker, ms(second * 1_000)));
    }
    assert_eq!(order, ["d".into(), "a".into(), Box::<str>::from("c")]);
    assert_eq!(broker.waiting(), 0);
}

/// Number of zones, and the most loads that may run in a zone that reaches none
/// of the others.
#[test_case(1, 8)]
#[test_case(3, 2; "rounded down")]
#[test_case(4, 2)]
#[test_case(9, 1; "at least one")]
fn running_loads_are_bounded(zones: usize, max: usize) {
    let mut broker = broker(zones);
    for n in 0..20 {
        broker.enqueue(&turn_request(&format!("a-{n}"), 1.0), Duration::ZERO);
    }
    let mut running = 0;
    for step in 0..90 {
        running += broker.start_loads(READY + ms(step * 100)).len();
    }
    assert_eq!(running, max);
}

#[test]
fn a_load_that_ends_or_times_out_lets_another_start() {
    let mut broker = broker(4);
    for name in ["a", "b", "c", "d"] {
        broker.enqueue(&turn_request(name, 1.0), Duration::ZERO);
    }
    assert_eq!(start_loads(&mut broker, READY), ["a".into()]);
    assert_eq!(start_loads(&mut broker, READY + ms(2_000)), ["b".into()]);
    assert!(start_loads(&mut broker, READY + ms(4_000)).is_empty());
    broker.on_load_ended(&key("b"));
    assert_eq!(start_loads(&mut broker, READY + ms(4_000)), ["c".into()]);
    assert!(start_loads(&mut broker, READY + ms(9_999)).is_empty());
    assert_eq!(start_loads(&mut broker, READY + ms(10_000)), ["d".into()]);
}

/// Number of reachable zones in a region of four, with the loads per 1,000 s and
/// the running loads that the broker may start.
#[test_case(1, 750, 2)]
#[test_case(2, 1_500, 4)]
#[test_case(3, 2_250, 6)]
#[test_case(4, 3_000, 8)]
#[test_case(5, 3_000, 8; "never more than the whole rate")]
#[test_case(0, 750, 2; "never less than the share of its own zone")]
fn a_broker_has_the_shares_of_the_reachable_zones(zones: usize, rate: u64, running: usize) {
    let mut broker = broker(4);
    broker.set_reachable_zones(zones, READY);
    assert_eq!((broker.rate() * 1_000.0).round() as u64, rate);
    for n in 0..20 {
        broker.enqueue(&turn_request(&format!("a-{n}"), 1.0), READY);
    }
    let started: usize = (0..90)
        .map(|step| broker.start_loads(READY + ms(step * 100)).len())
        .sum();
    assert_eq!(started, running);
}

/// The loads removed as late from a queue of five equal ones, for their patience
/// in milliseconds. Three loads start per second.
#[test_case([10_000; 5], &[]; "all in time")]
#[test_case([10_000, 10_000, 10_000, 900, 10_000], &["a-3"]; "the fourth starts after a second")]
#[test_case([10_000, 200, 10_000, 900, 10_000], &["a-1"]; "a removed load moves the later ones up")]
#[test_case([0; 5], &["a-1", "a-2", "a-3", "a-4"]; "only the first can start at once")]
fn loads_that_would_start_too_late_are_removed(patience: [u64; 5], expected: &[&str]) {
    let mut broker = broker(1);
    broker.start_loads(READY);
    for (n, patience) in patience.into_iter().enumerate() {
        let mut req = turn_request(&format!("a-{n}"), 1.0);
        req.patience = ms(patience);
        broker.enqueue(&req, READY);
    }
    let late = broker.remove_late_loads(READY);
    let names: Vec<&str> = late.iter().map(|l| &*l.key.target.adapter).collect();
    assert_eq!(names, expected);
    assert_eq!(broker.waiting(), 5 - expected.len());
}

#[test]
fn loads_of_urgent_classes_have_a_shorter_expected_wait() {
    let mut broker = broker(1);
    broker.start_loads(READY);
    for (name, class) in [("a", Class::Standard), ("b", Class::Writing)] {
        broker.enqueue(&turn_request(name, class_weight(class)), READY);
    }
    let estimate = broker.turn_wait(READY);
    let waits = [estimate.lookup, estimate.standard, estimate.writing];
    assert_eq!(waits.map(|w| w.as_millis()), [0, 333, 666]);
}

/// Number of zones, none of which reaches another: together they must start as
/// many loads as the rule allows, and no more.
#[test_case(1)]
#[test_case(3)]
#[test_case(4)]
fn isolated_zones_together_keep_to_the_rule(zones: usize) {
    const SECONDS: u64 = 60;
    let mut total = 0;
    for _ in 0..zones {
        let mut broker = broker(zones);
        broker.start_loads(READY);
        for n in 0..500 {
            broker.enqueue(&turn_request(&format!("a-{n}"), 1.0), Duration::ZERO);
        }
        for step in 1..=SECONDS * 40 {
            for key in broker.start_loads(READY + ms(step * 25)) {
                broker.on_load_ended(&key);
                total += 1;
            }
        }
    }
    let allowed = 3 * SECONDS as usize;
    assert!(total <= allowed + zones, "{total} loads started");
    assert!(total * 100 >= allowed * 99, "only {total} loads started");
}

#[test]
fn the_expected_wait_includes_queued_loads() {
    let mut broker = broker(3);
    assert!(broker.start_loads(READY).is_empty());
    assert_eq!(writing_wait(&broker, READY), ms(0));
    broker.enqueue(&turn_request("a", 1.0), Duration::ZERO);
    broker.enqueue(&turn_request("b", 1.0), Duration::ZERO);
    assert_eq!(writing_wait(&broker, READY), ms(2_000));
    broker.start_loads(READY);
    assert_eq!(
        writing_wait(&broker, READY),
        ms(2_000),
        "the time to the next token and one load ahead"
    );
}

#[test]
fn a_new_rule_applies_at_once() {
    let mut broker = broker(1);
    let slow = LoadsRule {
        per_1000_s: 1,
        in_flight: 1,
    };
    broker.set_rule(slow);
    assert_eq!(writing_wait(&broker, ms(0)), ms(1_000_000));
    broker.enqueue(&turn_request("a", 1.0), Duration::ZERO);
    assert!(broker.start_loads(ms(999_999)).is_empty());
    assert_eq!(broker.start_loads(ms(1_000_000)).len(), 1);
}

#[test]
fn fifo_loads_wait_behind_all_queued_ones() {
    let mut broker = broker(1);
    broker.start_loads(READY);
    for name in ["a", "b", "c"] {
        broker.enqueue(&turn_request(name, 0.0), READY);
    }
    let estimate = broker.turn_wait(READY);
    let waits = [estimate.lookup, estimate.standard, estimate.writing];
    assert_eq!(waits, [ms(1_000); 3]);
}
