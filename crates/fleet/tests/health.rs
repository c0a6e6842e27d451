//! Which instances are left out after failures.

use reedford_fleet::Now;
use reedford_fleet::health::{CallOutcome, Health};
use std::time::Duration;
use test_case::test_case;

struct Case {
    outcomes: &'static [CallOutcome],
    out: bool,
}

use CallOutcome::{Failed, Good, Unreachable};

#[test_case(Case { outcomes: &[Failed], out: false }; "one failure")]
#[test_case(Case { outcomes: &[Failed; 6], out: true }; "failures in a row")]
#[test_case(Case { outcomes: &[Unreachable, Unreachable], out: true }; "out of reach twice")]
#[test_case(Case {
    outcomes: &[Good, Good, Failed, Good, Good, Good, Failed, Good, Good, Failed],
    out: false,
}; "failures now and then")]
fn failures_leave_an_instance_out(case: Case) {
    let mut health = Health::default();
    for outcome in case.outcomes {
        health.record("a", *outcome, Now::ZERO);
    }
    assert_eq!(health.is_ejected("a", Now::ZERO), case.out);
    assert!(
        !health.is_ejected("a", Duration::from_secs(5)),
        "not for ever"
    );
}

#[test]
fn an_instance_that_fails_again_stays_out_longer() {
    let mut health = Health::default();
    let mut now = Now::ZERO;
    let mut times = Vec::new();
    for _ in 0..3 {
        while !health.record("a", Failed, now) {}
        let start = now;
        while health.is_ejected("a", now) {
            now += Duration::from_millis(100);
        }
        times.push(now - start);
    }
    assert!(times[0] < times[1] && times[1] < times[2], "{times:?}");
}

#[test]
fn when_most_fail_none_is_left_out() {
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
