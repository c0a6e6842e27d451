//! The check of histories finds what it is for: a good history passes, and
//! each change that breaks a promise is found and named.

use reedford_standins::history::{
    BrokenGuarantee, CallKind, CallOutcome, CallRecord, CallRequest, CasOperation, History,
    InstanceRevisions, LeavingTarget, TargetRun, check, revisions_linearizable,
};
use reedford_standins::load::response::ResponseViolation;
use std::collections::BTreeSet;
use test_case::test_case;
use todc_utils::Action;

fn asked(kind: CallKind, name: &str, marker: &str, key: Option<&str>, entry: &str) -> CallRequest {
    CallRequest {
        kind,
        name: name.into(),
        marker: marker.into(),
        key: key.map(Into::into),
        entry: entry.into(),
    }
}

fn told(request: CallRequest, outcome: CallOutcome, attempt: &str, at: usize) -> CallRecord {
    CallRecord {
        request,
        outcome,
        code: "".into(),
        has_retry_after: outcome == CallOutcome::NotRun,
        attempt: attempt.into(),
        violations: Vec::new(),
        began: at,
        ended: at + 1,
    }
}

fn ran(target: &str, attempt: &str, marker: &str, name: &str) -> TargetRun {
    TargetRun {
        target: target.into(),
        attempt: attempt.into(),
        marker: marker.into(),
        name: name.into(),
        finished: true,
        started_unix_ms: 1_000,
    }
}

/// An answer, a retried key, and a refusal; all promises kept.
fn good() -> History {
    let repeatable = asked(CallKind::Whole, "m@1", "c0", None, "e-1");
    let once = |entry| asked(CallKind::Plain, "orders/orders", "c1", Some("k"), entry);
    let refused = asked(CallKind::Streamed, "m@2", "c2", None, "e-2");
    History {
        calls: vec![
            told(repeatable, CallOutcome::Done, "e-1-a-1", 0),
            told(once("e-1"), CallOutcome::Unknown, "", 2),
            told(once("e-2"), CallOutcome::Done, "e-1-a-2", 4),
            told(refused, CallOutcome::NotRun, "", 6),
        ],
        runs: vec![
            ran("t1", "e-1-a-1", "c0", "m@1"),
            ran("p1", "e-1-a-2", "c1", "orders/orders"),
        ],
        violations: Vec::new(),
        leaving: vec![LeavingTarget {
            target: "t1".into(),
            closed_unix_ms: 1_000,
        }],
        stopped: vec!["e-2".into()],
        revisions: vec![InstanceRevisions {
            instance: "e-1".into(),
            seen: vec![0, 1, 1, 2],
        }],
        last_revision: Some(2),
    }
}

#[test]
fn a_good_history_breaks_nothing() {
    assert_eq!(check(&good()), BTreeSet::new());
}

fn c(marker: &str) -> Box<str> {
    marker.into()
}

#[test_case(|h| h.calls[0].violations.push(ResponseViolation::Model), BrokenGuarantee::WrongResponse(c("c0")); "another model in the answer")]
#[test_case(|h| h.calls[0].attempt = c("e-1-a-9"), BrokenGuarantee::NoSuchRun(c("c0")); "answer of an unknown attempt")]
#[test_case(|h| h.runs[0].marker = c("c9"), BrokenGuarantee::NoSuchRun(c("c0")); "answer of another call")]
#[test_case(|h| h.runs[0].marker = c("c9"), BrokenGuarantee::UnrequestedRun(c("c9")); "a run that nobody asked for")]
#[test_case(|h| h.runs[0].finished = false, BrokenGuarantee::UnfinishedRun(c("c0")); "an unfinished run told as whole")]
#[test_case(|h| h.runs[0].name = c("m@2"), BrokenGuarantee::WrongTarget(c("c0")); "another version ran")]
#[test_case(|h| h.runs.push(ran("t1", "e-2-b-1", "c2", "m@2")), BrokenGuarantee::RanDespiteNotRun(c("c2")); "told not run, and it ran")]
#[test_case(|h| h.runs.push(ran("p2", "e-2-b-1", "c1", "orders/orders")), BrokenGuarantee::RanTwice(c("c1")); "ran again through another entry")]
#[test_case(|h| h.calls[1].outcome = CallOutcome::NotRun, BrokenGuarantee::RanDespiteNotRun(c("c1")); "a first call told not run, whose run a retry finds")]
#[test_case(|h| h.calls[3].has_retry_after = false, BrokenGuarantee::NoRetryAfter(c("c2")); "no time to come back")]
#[test_case(|h| h.calls[0].outcome = CallOutcome::Unreadable, BrokenGuarantee::Unreadable(c("c0")); "neither answer nor refusal")]
#[test_case(|h| h.calls[3].outcome = CallOutcome::Cut, BrokenGuarantee::CutByStop(c("c2")); "cut by a graceful stop")]
#[test_case(|h| h.leaving[0].closed_unix_ms = 999, BrokenGuarantee::RunAtLeavingTarget(c("t1"), c("c0")); "work at a leaving target")]
#[test_case(|h| h.violations.push(c("t1: evicted")), BrokenGuarantee::TargetViolation(c("t1: evicted")); "an eviction in use")]
#[test_case(|h| h.revisions[0].seen = vec![0, 2, 1, 2], BrokenGuarantee::RevisionDecreased(c("e-1")); "a revision fell")]
#[test_case(|h| h.last_revision = Some(3), BrokenGuarantee::LastRevisionMissing(c("e-1")); "a revision is not in force")]
#[test_case(|h| h.calls.push(told(h.calls[2].request.clone(), CallOutcome::Done, "e-2-b-1", 8)), BrokenGuarantee::KeyConflict(c("k")); "two answers to one key")]
fn a_broken_promise_is_found(breaking: fn(&mut History), expected: BrokenGuarantee) {
    let mut history = good();
    breaking(&mut history);
    let broken = check(&history);
    assert!(broken.contains(&expected), "{broken:?}");
}

const FIRST: CasOperation = CasOperation::Applied { from: 0, to: 1 };
const LOST: CasOperation = CasOperation::Conflict {
    from: 0,
    current: 1,
};
const READ_OLD: CasOperation = CasOperation::Read(0);

/// Operations one after the other.
fn in_turn(operations: &[CasOperation]) -> Vec<(usize, Action<CasOperation>)> {
    let both = |op: &CasOperation| [(0, Action::Call(*op)), (0, Action::Response(*op))];
    operations.iter().flat_map(both).collect()
}

/// Operations all at once.
fn at_once(operations: &[CasOperation]) -> Vec<(usize, Action<CasOperation>)> {
    let numbered = || operations.iter().copied().enumerate();
    let begins = numbered().map(|(caller, op)| (caller, Action::Call(op)));
    let ends = numbered().map(|(caller, op)| (caller, Action::Response(op)));
    begins.chain(ends).collect()
}

#[test_case(in_turn(&[FIRST, LOST]), true; "one after the other")]
#[test_case(at_once(&[LOST, FIRST]), true; "a race, in any order")]
#[test_case(in_turn(&[LOST, FIRST]), false; "lost to one that came later")]
#[test_case(in_turn(&[FIRST, READ_OLD]), false; "an old revision read")]
#[test_case(at_once(&[FIRST, FIRST]), false; "both won")]
fn document_histories(operations: Vec<(usize, Action<CasOperation>)>, good: bool) {
    assert_eq!(revisions_linearizable(operations), good);
}
