//! Which load of the zone goes next, and how many start.

use reedford_core::broker::{Broker, LoadKey};
use reedford_core::messages::TurnRequest;
use reedford_core::{AdapterVersion, Now};
use reedford_rules::LoadsRule;
use std::time::Duration;
use test_case::test_case;

const RULE: LoadsRule = LoadsRule {
    per_1000_s: 3_000,
    in_flight: 8,
};
/// A quiet time after which the first load may start at once.
const READY: Now = ms(10_000);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn turn(name: &str, value: f64) -> TurnRequest {
    TurnRequest {
        worker: "worker-1".into(),
        target: AdapterVersion::new(name, "1"),
        value,
    }
}

fn key(name: &str) -> LoadKey {
    (&turn(name, 0.0)).into()
}

fn broker(zones: usize) -> Broker {
    Broker::new(zones, RULE, Duration::ZERO)
}

fn started(broker: &mut Broker, now: Now) -> Vec<Box<str>> {
    let keys = broker.start(now).into_iter();
    keys.map(|key| key.target.adapter).collect()
}

#[test]
fn the_highest_value_goes_first_and_the_oldest_of_equals() {
    let mut broker = broker(1);
    let asks = [("a", 1.0), ("b", 2.0), ("c", 1.0), ("d", 0.5)];
    for (name, value) in asks {
        broker.ask(&turn(name, value));
    }
    broker.ask(&turn("d", 3.0));
    broker.ask(&turn("a", 1.0));
    broker.withdraw(&key("b"));
    let mut order = Vec::new();
    for second in 10..13 {
        order.extend(started(&mut broker, ms(second * 1_000)));
    }
    assert_eq!(order, ["d".into(), "a".into(), Box::<str>::from("c")]);
    assert_eq!(broker.waiting(), 0);
}

/// Loads under way at most, in a zone of so many.
#[test_case(1, 8)]
#[test_case(3, 2; "rounded down")]
#[test_case(4, 2)]
#[test_case(9, 1; "at least one")]
fn loads_under_way_are_bounded(zones: usize, most: usize) {
    let mut broker = broker(zones);
    for n in 0..20 {
        broker.ask(&turn(&format!("a-{n}"), 1.0));
    }
    let mut under_way = 0;
    for step in 0..90 {
        under_way += broker.start(READY + ms(step * 100)).len();
    }
    assert_eq!(under_way, most);
}

#[test]
fn a_load_that_ends_or_is_forgotten_makes_room() {
    let mut broker = broker(4);
    for name in ["a", "b", "c", "d"] {
        broker.ask(&turn(name, 1.0));
    }
    assert_eq!(started(&mut broker, READY), ["a".into()]);
    assert_eq!(started(&mut broker, READY + ms(2_000)), ["b".into()]);
    assert!(started(&mut broker, READY + ms(4_000)).is_empty());
    broker.ended(&key("b"));
    assert_eq!(started(&mut broker, READY + ms(4_000)), ["c".into()]);
    assert!(started(&mut broker, READY + ms(9_999)).is_empty());
    assert_eq!(started(&mut broker, READY + ms(10_000)), ["d".into()]);
}

/// Thousandths of a load a second that a zone of three may start, when it
/// heard these numbers of waiting loads, at a time after.
#[test_case(&[], 0, 1_000; "nothing heard")]
#[test_case(&[("b", 0)], 0, 1_500; "one is quiet")]
#[test_case(&[("b", 0), ("c", 0)], 0, 3_000; "both are quiet")]
#[test_case(&[("b", 0), ("c", 4)], 0, 1_500; "one is busy")]
#[test_case(&[("b", 0), ("b", 1)], 0, 1_000; "no longer quiet")]
#[test_case(&[("b", 0), ("c", 0)], 1_999, 3_000; "still believed")]
#[test_case(&[("b", 0), ("c", 0)], 2_000, 1_000; "no longer believed")]
fn quiet_zones_lend_their_share(heard: &[(&str, u32)], after: u64, rate: u64) {
    let mut broker = broker(3);
    for (zone, waiting) in heard {
        broker.heard(&(*zone).into(), *waiting, READY);
    }
    let now = READY + ms(after);
    assert_eq!((broker.rate(now) * 1_000.0).round() as u64, rate);
}

/// Loads started in a time by all zones together, none of which hears another.
#[test_case(1)]
#[test_case(3)]
#[test_case(4)]
fn zones_that_hear_nothing_keep_to_the_rule_together(zones: usize) {
    const SECONDS: u64 = 60;
    let mut total = 0;
    for _ in 0..zones {
        let mut broker = broker(zones);
        broker.start(READY);
        for n in 0..500 {
            broker.ask(&turn(&format!("a-{n}"), 1.0));
        }
        for step in 1..=SECONDS * 40 {
            for key in broker.start(READY + ms(step * 25)) {
                broker.ended(&key);
                total += 1;
            }
        }
    }
    let allowed = 3 * SECONDS as usize;
    assert!(total <= allowed + zones, "{total} loads started");
    assert!(total * 100 >= allowed * 99, "only {total} loads started");
}

#[test]
fn the_outlook_counts_what_waits() {
    let mut broker = broker(3);
    assert!(broker.start(READY).is_empty());
    assert_eq!(broker.outlook(READY), ms(0));
    broker.ask(&turn("a", 1.0));
    broker.ask(&turn("b", 1.0));
    assert_eq!(broker.outlook(READY), ms(2_000));
    broker.start(READY);
    assert_eq!(
        broker.outlook(READY),
        ms(2_000),
        "the next token and one load"
    );
}

#[test]
fn a_new_rule_holds_at_once() {
    let mut broker = broker(1);
    let slow = LoadsRule {
        per_1000_s: 1,
        in_flight: 1,
    };
    broker.set_rule(slow);
    assert_eq!(broker.outlook(ms(0)), ms(1_000_000));
    broker.ask(&turn("a", 1.0));
    assert!(broker.start(ms(999_999)).is_empty());
    assert_eq!(broker.start(ms(1_000_000)).len(), 1);
}
