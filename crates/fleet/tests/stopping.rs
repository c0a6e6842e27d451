//! Until when a node that stops sends calls to instances.

use reedford_fleet::Now;
use reedford_fleet::stopping::{RunTimes, StopTimes};
use std::time::Duration;
use test_case::test_case;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const TIMES: StopTimes = StopTimes {
    last_request_at: ms(102_800),
    closed_at: ms(107_300),
};

/// Guards against calls that are sent when they can't end in time, and against calls that
/// are refused although they can.
#[test_case(ms(60), ms(107_100); "a short call, until the last refusals")]
#[test_case(ms(1_500), ms(105_800); "a stream")]
#[test_case(ms(6_000), ms(102_800); "a long stream, not before requests are refused")]
#[test_case(ms(300_000), ms(102_800); "longer than the node has run")]
fn the_last_sending_leaves_time_to_run(run_time: Duration, last: Now) {
    assert_eq!(TIMES.last_sending_at(run_time), last);
}

/// Guards against a time to stop that is too short for requests to be accepted until its
/// end.
#[test]
fn a_short_stop_refuses_in_time() {
    let times = StopTimes {
        last_request_at: ms(2_800),
        closed_at: ms(2_300),
    };
    assert_eq!(times.last_sending_at(ms(100)), ms(2_100));
    assert!(times.accepts(ms(2_800)) && !times.accepts(ms(2_801)));
}

struct Case {
    /// Run times of the route's calls, in milliseconds.
    runs: &'static [u64],
    /// Least and largest expected run time.
    expected: (u64, u64),
}

/// Load pattern: streams of different length. Guards against an expectation that most
/// streams exceed, and against one that a single long stream spoils for long.
#[test_case(Case { runs: &[1_000; 50], expected: (1_000, 1_010) }; "equal")]
#[test_case(Case { runs: &[800, 1_200, 1_000, 900, 1_100, 800, 1_200, 1_000, 900, 1_100, 800, 1_200, 1_000],
    expected: (1_200, 2_500) }; "different")]
#[test_case(Case { runs: &[9_000, 100, 100, 100, 100, 100, 100, 100, 100, 100, 100, 100, 100, 100, 100, 100, 100,
    100, 100, 100, 100, 100, 100, 100, 100, 100, 100, 100, 100, 100, 100, 100], expected: (100, 1_500) };
    "one long stream")]
#[test_case(Case { runs: &[400], expected: (400, 1_200) }; "first")]
fn run_times_are_expected_from_earlier_ones(case: Case) {
    let mut run_times = RunTimes::default();
    assert_eq!(run_times.expected("r"), None);
    for run in case.runs {
        run_times.record("r", ms(*run));
        run_times.record("other", ms(7));
    }
    let expected = run_times.expected("r").expect("calls have ended");
    let (least, largest) = case.expected;
    assert!(
        (ms(least)..=ms(largest)).contains(&expected),
        "{expected:?}"
    );
}
