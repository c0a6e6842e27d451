//! Which calls came to this node before.

use reedford_fleet::Now;
use reedford_fleet::recent_calls::{Earlier, MAX_ENDED, MAX_NEVER_RAN, Progress, RecentCalls};
use std::time::Duration;
use test_case::test_case;

const RAN: bool = true;

#[derive(Clone, Copy)]
enum Step {
    Begin,
    End { may_have_run: bool },
    WaitS(u64),
}

struct Case {
    steps: &'static [Step],
    earlier: Option<Earlier>,
}

const END: Step = Step::End { may_have_run: !RAN };
const END_RAN: Step = Step::End { may_have_run: RAN };

const fn earlier(times: u32, progress: Progress) -> Option<Earlier> {
    Some(Earlier { times, progress })
}

/// Guards against a call that is taken for a new one although it may have run, and against
/// one that is taken for run although it was refused.
#[test_case(Case { steps: &[], earlier: None }; "new")]
#[test_case(Case { steps: &[Step::Begin], earlier: earlier(1, Progress::UnderWay) }; "under way")]
#[test_case(Case { steps: &[Step::Begin, END], earlier: earlier(1, Progress::NeverRan) }; "refused")]
#[test_case(Case { steps: &[Step::Begin, END_RAN], earlier: earlier(1, Progress::MayHaveRun) }; "may have run")]
#[test_case(Case { steps: &[Step::Begin, END, Step::Begin, END_RAN], earlier: earlier(2, Progress::MayHaveRun) }; "refused, then may have run")]
#[test_case(Case { steps: &[Step::Begin, END_RAN, Step::Begin], earlier: earlier(2, Progress::MayHaveRun) }; "may have run, came again")]
#[test_case(Case { steps: &[Step::Begin, Step::Begin], earlier: earlier(2, Progress::UnderWay) }; "came again under way")]
#[test_case(Case { steps: &[Step::Begin, Step::Begin, END], earlier: earlier(2, Progress::NeverRan) }; "came again under way, then refused")]
#[test_case(Case { steps: &[Step::Begin, Step::Begin, END_RAN], earlier: earlier(2, Progress::MayHaveRun) }; "came again under way, then may have run")]
#[test_case(Case { steps: &[Step::Begin, END, Step::Begin, Step::WaitS(600)], earlier: earlier(2, Progress::UnderWay) }; "refused, then under way for long")]
#[test_case(Case { steps: &[Step::Begin, Step::WaitS(600)], earlier: earlier(1, Progress::UnderWay) }; "under way for long")]
#[test_case(Case { steps: &[Step::Begin, END_RAN, Step::WaitS(29)], earlier: earlier(1, Progress::MayHaveRun) }; "kept")]
#[test_case(Case { steps: &[Step::Begin, END_RAN, Step::WaitS(30)], earlier: None }; "forgotten")]
#[test_case(Case { steps: &[Step::Begin, END, Step::WaitS(29), Step::Begin, END_RAN, Step::WaitS(2)], earlier: earlier(2, Progress::MayHaveRun) }; "kept from its last end on")]
fn a_call_that_came_before_is_known(case: Case) {
    let mut calls = RecentCalls::default();
    let mut now = Now::ZERO;
    for step in case.steps {
        match *step {
            Step::Begin => _ = calls.begin(7, now),
            Step::End { may_have_run } => calls.end(7, may_have_run, now),
            Step::WaitS(time) => now += Duration::from_secs(time),
        }
    }
    assert_eq!(calls.begin(8, now), None, "another call");
    assert_eq!(calls.begin(7, now), case.earlier);
}

/// Guards against memory that grows with the calls a node was sent.
#[test]
fn the_oldest_ends_are_forgotten_first() {
    let mut calls = RecentCalls::default();
    let count = MAX_ENDED as u64 + 10;
    for key in 0..count {
        calls.begin(key, Now::ZERO);
        calls.end(key, RAN, Now::ZERO);
    }
    assert_eq!(calls.len(), MAX_ENDED);
    assert_eq!(calls.begin(0, Now::ZERO), None);
    let last = calls.begin(count - 1, Now::ZERO);
    assert_eq!(last, earlier(1, Progress::MayHaveRun));
}

/// Load pattern: a node sheds calls. Guards against a call that may have run and is forgotten
/// in favour of calls that never ran.
#[test]
fn calls_that_never_ran_push_none_out_that_may_have_run() {
    let mut calls = RecentCalls::default();
    calls.begin(0, Now::ZERO);
    calls.end(0, RAN, Now::ZERO);
    for key in 1..=MAX_ENDED as u64 {
        calls.begin(key, Now::ZERO);
        calls.end(key, !RAN, Now::ZERO);
    }
    assert_eq!(calls.len(), MAX_NEVER_RAN + 1);
    let soon = Now::ZERO + Duration::from_secs(1);
    assert_eq!(calls.earlier(0, soon), earlier(1, Progress::MayHaveRun));
}
