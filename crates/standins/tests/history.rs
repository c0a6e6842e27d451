//! The check of histories: a valid history passes, and for each change that breaks
//! a guarantee, the check reports that guarantee as broken.

use reedford_standins::history::{
    BrokenGuarantee, CallKind, CallOutcome, CallRecord, CallRequest, CasOperation, History,
    InstanceRevisions, LeavingTarget, TargetRun, check, revisions_linearizable,
};
use reedford_standins::load::response::ResponseViolation;
use std::collections::BTreeSet;
use test_case::test_case;
use todc_utils::Action;

fn request(
    kind: CallKind,
    name: &str,
    marker: &str,
    key: Option<&str>,
    entry: &str,
) -> CallRequest {
    CallRequest {
        kind,
        name: name.into(),
        marker: marker.into(),
        key: key.map(Into::into),
        entry: entry.into(),
    }
}

fn record(request: CallRequest, outcome: CallOutcome, attempt: &str, at: usize) -> CallRecord {
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

fn run(target: &str, attempt: &str, marker: &str, name: &str) -> TargetRun {
    TargetRun {
        target: target.into(),
        attempt: attempt.into(),
        marker: marker.into(),
        name: name.into(),
        finished: true,
        started_unix_ms: 1_000,
    }
}

/// A history without broken guarantees: a response, a retried key and a refusal.
fn valid() -> History {
    let repeatable = request(CallKind::Whole, "m@1", "c0", None, "e-1");
    let at_most_once = |entry| request(CallKind::Plain, "orders/orders", "c1", Some("k"), entry);
    let refused = request(CallKind::Streamed, "m@2", "c2", None, "e-2");
    History {
        calls: vec![
            record(repeatable, CallOutcome::Done, "e-1-a-1", 0),
            record(at_most_once("e-1"), CallOutcome::Unknown, "", 2),
            record(at_most_once("e-2"), CallOutcome::Done, "e-1-a-2", 4),
            record(refused, CallOutcome::NotRun, "", 6),
        ],
        runs: vec![
            run("t1", "e-1-a-1", "c0", "m@1"),
            run("p1", "e-1-a-2", "c1", "orders/orders"),
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
fn a_valid_history_breaks_nothing() {
    assert_eq!(check(&valid()), BTreeSet::new());
}

fn boxed(text: &str) -> Box<str> {
    text.into()
}

#[test_case(|h| h.calls[0].violations.push(ResponseViolation::Model), BrokenGuarantee::WrongResponse(boxed("c0")); "another model in the response")]
#[test_case(|h| h.calls[0].attempt = boxed("e-1-a-9"), BrokenGuarantee::NoSuchRun(boxed("c0")); "response of an unknown attempt")]
#[test_case(|h| h.runs[0].marker = boxed("c9"), BrokenGuarantee::NoSuchRun(boxed("c0")); "response of another call")]
#[test_case(|h| h.runs[0].marker = boxed("c9"), BrokenGuarantee::UnrequestedRun(boxed("c9")); "a run that no caller requested")]
#[test_case(|h| h.runs[0].finished = false, BrokenGuarantee::UnfinishedRun(boxed("c0")); "an unfinished run reported as done")]
#[test_case(|h| h.runs[0].name = boxed("m@2"), BrokenGuarantee::WrongTarget(boxed("c0")); "another version ran")]
#[test_case(|h| h.runs.push(run("t1", "e-2-b-1", "c2", "m@2")), BrokenGuarantee::RanDespiteNotRun(boxed("c2")); "reported as not run, but it ran")]
#[test_case(|h| h.runs.push(run("p2", "e-2-b-1", "c1", "orders/orders")), BrokenGuarantee::RanTwice(boxed("c1")); "ran again through another entry")]
#[test_case(|h| h.calls[1].outcome = CallOutcome::NotRun, BrokenGuarantee::RanDespiteNotRun(boxed("c1")); "a first call reported as not run, whose run a retry finds")]
#[test_case(|h| h.calls[3].has_retry_after = false, BrokenGuarantee::NoRetryAfter(boxed("c2")); "no time to retry after")]
#[test_case(|h| h.calls[0].outcome = CallOutcome::Unreadable, BrokenGuarantee::Unreadable(boxed("c0")); "neither response nor refusal")]
#[test_case(|h| h.calls[3].outcome = CallOutcome::Cut, BrokenGuarantee::CutByStop(boxed("c2")); "cut by a graceful stop")]
#[test_case(|h| h.leaving[0].closed_unix_ms = 999, BrokenGuarantee::RunAtLeavingTarget(boxed("t1"), boxed("c0")); "a run at a leaving target")]
#[test_case(|h| h.violations.push(boxed("t1: evicted")), BrokenGuarantee::TargetViolation(boxed("t1: evicted")); "an eviction in use")]
#[test_case(|h| h.revisions[0].seen = vec![0, 2, 1, 2], BrokenGuarantee::RevisionDecreased(boxed("e-1")); "a revision fell")]
#[test_case(|h| h.last_revision = Some(3), BrokenGuarantee::LastRevisionMissing(boxed("e-1")); "a revision is not in force")]
#[test_case(|h| h.calls.push(record(h.calls[2].request.clone(), CallOutcome::Done, "e-2-b-1", 8)), BrokenGuarantee::KeyConflict(boxed("k")); "two responses under one key")]
fn a_broken_guarantee_is_found(change: fn(&mut History), expected: BrokenGuarantee) {
    let mut history = valid();
    change(&mut history);
    let broken = check(&history);
    assert!(broken.contains(&expected), "{broken:?}");
}

const APPLIED: CasOperation = CasOperation::Applied { from: 0, to: 1 };
const CONFLICT: CasOperation = CasOperation::Conflict {
    from: 0,
    current: 1,
};
const READ_BEFORE: CasOperation = CasOperation::Read(0);

/// Sequential operations of one client.
fn sequential(operations: &[CasOperation]) -> Vec<(usize, Action<CasOperation>)> {
    let call_and_response =
        |op: &CasOperation| [(0, Action::Call(*op)), (0, Action::Response(*op))];
    operations.iter().flat_map(call_and_response).collect()
}

/// Concurrent operations, each of another client.
fn concurrent(operations: &[CasOperation]) -> Vec<(usize, Action<CasOperation>)> {
    let numbered = || operations.iter().copied().enumerate();
    let begins = numbered().map(|(client, op)| (client, Action::Call(op)));
    let ends = numbered().map(|(client, op)| (client, Action::Response(op)));
    begins.chain(ends).collect()
}

#[test_case(sequential(&[APPLIED, CONFLICT]), true; "one after the other")]
#[test_case(concurrent(&[CONFLICT, APPLIED]), true; "a race, in any order")]
#[test_case(sequential(&[CONFLICT, APPLIED]), false; "conflict with a later apply")]
#[test_case(sequential(&[APPLIED, READ_BEFORE]), false; "an old revision read")]
#[test_case(concurrent(&[APPLIED, APPLIED]), false; "both applied")]
fn histories_of_revisions(operations: Vec<(usize, Action<CasOperation>)>, is_linearizable: bool) {
    assert_eq!(revisions_linearizable(operations), is_linearizable);
}
