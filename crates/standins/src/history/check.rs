//! Checks a history for broken guarantees.

use super::{
    CallKind, CallOutcome, CallRecord, History, InstanceRevisions, LeavingTarget, Marker, TargetRun,
};
use crate::load::response::ResponseViolation;
use std::collections::{BTreeMap, BTreeSet};

/// A broken guarantee.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum BrokenGuarantee {
    /// The content of a response does not belong to the call.
    WrongResponse(Marker),
    /// A complete response names an attempt that is no run of this call.
    NoSuchRun(Marker),
    /// A complete response names a run that did not finish.
    UnfinishedRun(Marker),
    /// An adapter, version or path other than the requested one ran.
    WrongTarget(Marker),
    /// A call that was reported as not run did run.
    RanDespiteNotRun(Marker),
    /// A call that may run at most once ran more often.
    RanTwice(Marker),
    /// A response was neither a valid result nor a valid refusal.
    Unreadable(Marker),
    /// A refusal does not state when to retry.
    NoRetryAfter(Marker),
    /// The graceful stop of an entry instance cut off a call.
    CutByStop(Marker),
    /// A target ran something that no caller requested.
    UnrequestedRun(Marker),
    /// A run started at a leaving target (the first field) after it had to
    /// refuse new work.
    RunAtLeavingTarget(Box<str>, Marker),
    /// A target recorded a violation.
    TargetViolation(Box<str>),
    /// The rules revision in force at an instance decreased.
    RevisionDecreased(Box<str>),
    /// An instance does not have the last rules revision in force.
    LastRevisionMissing(Box<str>),
    /// The responses under one idempotency key contradict each other.
    KeyConflict(Box<str>),
}

/// Returns the guarantees that a history breaks.
#[must_use]
pub fn check(history: &History) -> BTreeSet<BrokenGuarantee> {
    let index = CallIndex::new(history);
    let mut broken = BTreeSet::new();
    for call in &history.calls {
        broken.extend(check_response(&index, call));
        broken.extend(check_refusal(&index, call));
        if history.stopped.contains(&call.request.entry) {
            broken.extend(check_stop(call));
        }
    }
    for (marker, runs) in &index.runs {
        broken.extend(check_runs(&index, marker, runs));
    }
    for leaving in &history.leaving {
        broken.extend(check_leaving(leaving, &history.runs));
    }
    for revisions in &history.revisions {
        broken.extend(check_revisions(revisions, history.last_revision));
    }
    let at_targets = history
        .violations
        .iter()
        .cloned()
        .map(BrokenGuarantee::TargetViolation);
    broken.extend(at_targets);
    broken.extend(super::register::key_conflicts(&history.calls));
    broken
}

/// Calls and runs of a history, by marker.
struct CallIndex<'a> {
    calls: BTreeMap<&'a str, Vec<&'a CallRecord>>,
    runs: BTreeMap<&'a str, Vec<&'a TargetRun>>,
}

impl<'a> CallIndex<'a> {
    fn new(history: &'a History) -> Self {
        let mut index = Self {
            calls: BTreeMap::new(),
            runs: BTreeMap::new(),
        };
        for call in &history.calls {
            let calls = index.calls.entry(&call.request.marker);
            calls.or_default().push(call);
        }
        for run in &history.runs {
            index.runs.entry(&run.marker).or_default().push(run);
        }
        index
    }

    fn runs_of(&self, call: &CallRecord) -> &[&'a TargetRun] {
        self.runs
            .get(&*call.request.marker)
            .map_or(&[], Vec::as_slice)
    }

    /// Returns whether the entry instance of `call` ran a call with its marker
    /// although every such call there ended as not run. If one of them may
    /// have run, the run may belong to that one.
    fn runs_despite_refusals(&self, call: &CallRecord) -> bool {
        let request = &call.request;
        let of_entry = |run: &&&TargetRun| is_attempt_of(&run.attempt, &request.entry);
        if self.runs_of(call).iter().find(of_entry).is_none() {
            return false;
        }
        let calls = &self.calls[&*request.marker];
        let allows_run =
            |c: &&CallRecord| c.request.entry == request.entry && !did_not_run(c.outcome);
        !calls.iter().any(allows_run)
    }
}

const fn did_not_run(outcome: CallOutcome) -> bool {
    matches!(
        outcome,
        CallOutcome::NotRun | CallOutcome::BadRequest | CallOutcome::NotConnected
    )
}

/// Returns whether an attempt id (`instance-incarnation-serial`) was issued by
/// the entry instance.
fn is_attempt_of(attempt: &str, entry: &str) -> bool {
    let mut parts = attempt.rsplitn(3, '-');
    parts.nth(2) == Some(entry)
}

fn check_response(index: &CallIndex<'_>, call: &CallRecord) -> Vec<BrokenGuarantee> {
    let marker = || call.request.marker.clone();
    let mut broken = Vec::new();
    // The received part of an incomplete response must be correct too, except
    // for its length.
    let incomplete = call.outcome != CallOutcome::Done;
    let is_relevant =
        |violation: &ResponseViolation| !(incomplete && *violation == ResponseViolation::Length);
    if call.violations.iter().any(is_relevant) {
        broken.push(BrokenGuarantee::WrongResponse(marker()));
    }
    if call.outcome == CallOutcome::Unreadable {
        broken.push(BrokenGuarantee::Unreadable(marker()));
    }
    if call.outcome != CallOutcome::Done {
        return broken;
    }
    let runs = index.runs_of(call);
    match runs.iter().find(|run| run.attempt == call.attempt) {
        None => broken.push(BrokenGuarantee::NoSuchRun(marker())),
        Some(run) if !run.finished => broken.push(BrokenGuarantee::UnfinishedRun(marker())),
        Some(_) => {}
    }
    broken
}

fn check_refusal(index: &CallIndex<'_>, call: &CallRecord) -> Vec<BrokenGuarantee> {
    let marker = || call.request.marker.clone();
    let mut broken = Vec::new();
    if did_not_run(call.outcome) && index.runs_despite_refusals(call) {
        broken.push(BrokenGuarantee::RanDespiteNotRun(marker()));
    }
    if call.outcome == CallOutcome::NotRun && !call.has_retry_after {
        broken.push(BrokenGuarantee::NoRetryAfter(marker()));
    }
    broken
}

/// Checks that a call to a gracefully stopped instance was not cut off. A call
/// whose connection was not accepted does not count.
fn check_stop(call: &CallRecord) -> Option<BrokenGuarantee> {
    let cut = matches!(
        call.outcome,
        CallOutcome::Cut | CallOutcome::NoAnswer | CallOutcome::Unknown
    );
    cut.then(|| BrokenGuarantee::CutByStop(call.request.marker.clone()))
}

fn check_runs(index: &CallIndex<'_>, marker: &str, runs: &[&TargetRun]) -> Vec<BrokenGuarantee> {
    let mut broken = Vec::new();
    let Some(calls) = index.calls.get(marker) else {
        return vec![BrokenGuarantee::UnrequestedRun(marker.into())];
    };
    let request = &calls[0].request;
    if runs.iter().any(|run| run.name != request.name) {
        broken.push(BrokenGuarantee::WrongTarget(marker.into()));
    }
    if request.key.is_some() && runs.len() > 1 {
        broken.push(BrokenGuarantee::RanTwice(marker.into()));
    }
    // Every call was reported as not run, so there must be no run.
    if calls.iter().all(|call| did_not_run(call.outcome)) {
        broken.push(BrokenGuarantee::RanDespiteNotRun(marker.into()));
    }
    broken
}

fn check_leaving(leaving: &LeavingTarget, runs: &[TargetRun]) -> Vec<BrokenGuarantee> {
    let late = runs
        .iter()
        .filter(|run| run.target == leaving.target && run.started_unix_ms > leaving.closed_unix_ms);
    late.map(|run| BrokenGuarantee::RunAtLeavingTarget(run.target.clone(), run.marker.clone()))
        .collect()
}

fn check_revisions(revisions: &InstanceRevisions, last: Option<u64>) -> Vec<BrokenGuarantee> {
    let mut broken = Vec::new();
    if !revisions.seen.is_sorted() {
        broken.push(BrokenGuarantee::RevisionDecreased(
            revisions.instance.clone(),
        ));
    }
    if last.is_some() && revisions.seen.last().copied() != last {
        broken.push(BrokenGuarantee::LastRevisionMissing(
            revisions.instance.clone(),
        ));
    }
    broken
}

impl CallKind {
    /// Returns whether this is a model request.
    #[must_use]
    pub const fn is_chat(self) -> bool {
        matches!(self, Self::Streamed | Self::Whole)
    }
}
