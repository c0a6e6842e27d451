//! Which instances are ejected after failures.

use reedford_fleet::Now;
use reedford_fleet::health::{CallOutcome, Health};
use std::time::Duration;
use test_case::test_case;

struct EjectionCase {
    outcomes: &'static [CallOutcome],
    ejected: bool,
}

use CallOutcome::{Failed, Good, Unreachable};

#[test_case(EjectionCase { outcomes: &[Failed], ejected: false }; "one failure")]
#[test_case(EjectionCase { outcomes: &[Failed; 6], ejected: true }; "failures in a row")]
#[test_case(EjectionCase { outcomes: &[Unreachable, Unreachable], ejected: true }; "unreachable twice")]
#[test_case(EjectionCase {
    outcomes: &[Good, Good, Failed, Good, Good, Good, Failed, Good, Good, Failed],
    ejected: false,
}; "occasional failures")]
fn repeated_failures_eject_an_instance(case: EjectionCase) {
    let mut health = Health::default();
    for outcome in case.outcomes {
        health.record("a", *outcome, Now::ZERO);
    }
    assert_eq!(health.is_ejected("a", Now::ZERO), case.ejected);
    assert!(
        !health.is_ejected("a", Duration::from_secs(5)),
        "not forever"
    );
}

#[test]
fn an_instance_that_fails_again_is_ejected_for_longer() {
    let mut health = Health::default();
    let mut now = Now::ZERO;
    let mut durations = Vec::new();
    for _ in 0..3 {
        while !health.record("a", Failed, now) {}
        let start = now;
        while health.is_ejected("a", now) {
            now += Duration::from_millis(100);
        }
        durations.push(now - start);
    }
    assert!(
        durations[0] < durations[1] && durations[1] < durations[2],
        "{durations:?}"
    );
}

#[test]
fn when_most_instances_fail_none_is_excluded() {
    let mut health = Health::default();
    for id in ["a", "b"] {
        for _ in 0..6 {
            health.record(id, Failed, Now::ZERO);
        }
    }
    let usable = health.usable(["a", "b", "c"], Now::ZERO);
    assert_eq!(usable, ["a", "b", "c"]);
    let usable = health.usable(["a", "c", "d"], Now::ZERO);
    assert_eq!(usable, ["c", "d"]);
}
