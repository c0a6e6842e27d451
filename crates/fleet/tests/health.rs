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

/// What happens between the first failed call to an instance that is known from a
/// restored copy of the store, and the next choice.
struct CopiedCase {
    /// Whether a call succeeded before the failed one.
    answered: bool,
    /// Whether the instance wrote its entry after it.
    written: bool,
    ejected: bool,
}

/// Guards against calls, beyond a first failed one, to an instance that only the
/// copy names.
#[test_case(CopiedCase { answered: false, written: false, ejected: true }; "gone")]
#[test_case(CopiedCase { answered: false, written: true, ejected: false }; "it wrote its entry")]
#[test_case(CopiedCase { answered: true, written: false, ejected: false }; "it answered before")]
fn an_instance_known_from_a_copy_is_ejected_by_the_first_call_that_does_not_reach_it(
    case: CopiedCase,
) {
    let now = Duration::from_secs(1);
    let mut health = Health::default();
    health.on_copied("a");
    if case.answered {
        health.record("a", CallOutcome::Good, now);
    }
    health.record("a", CallOutcome::Unreachable, now);
    if case.written {
        health.on_written("a");
    }
    assert_eq!(health.is_ejected("a", now * 9), case.ejected);
    assert!(!health.is_ejected("a", now * 11));
}
