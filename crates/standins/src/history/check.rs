//! Checks a history for broken guarantees.

use super::{CallRecord, History, Kind, Leaving, Marker, Ran, Revisions, Told};
use crate::load::answer::Violation as AnswerFault;
use std::collections::{BTreeMap, BTreeSet};

/// A broken guarantee.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Broken {
    /// The content of a response does not belong to the call.
    WrongAnswer(Marker),
    /// A complete response names an attempt that is no run of this call.
    NoSuchRun(Marker),
    /// A complete response names a run that did not finish.
    UnfinishedRun(Marker),
    /// An adapter, version or path other than the requested one ran.
    WrongTarget(Marker),
    /// A call that was reported as not run did run.
    NotRunRan(Marker),
    /// A call that may run at most once ran more often.
    RanTwice(Marker),
    /// A response was neither a valid result nor a valid refusal.
    Unreadable(Marker),
    /// A refusal does not state when to retry.
    NoTimeToComeBack(Marker),
    /// The graceful stop of an entry instance cut off a call.
    CutByStop(Marker),
    /// A target ran something that no caller requested.
    Unasked(Marker),
    /// A run started at a leaving target (the first field) after it had to
    /// refuse new work.
    WorkAtLeaving(Box<str>, Marker),
    /// A target recorded a broken invariant.
    AtTarget(Box<str>),
    /// The rules revision in force at an instance decreased.
    RevisionFell(Box<str>),
    /// An instance does not have the last rules revision in force.
    RevisionMissing(Box<str>),
    /// The responses under one idempotency key contradict each other.
    Key(Box<str>),
}

/// Returns the guarantees that a history breaks.
#[must_use]
pub fn check(history: &History) -> BTreeSet<Broken> {
    let index = Index::new(history);
    let mut broken = BTreeSet::new();
    for call in &history.calls {
        broken.extend(check_answer(&index, call));
        broken.extend(check_refusal(&index, call));
        if history.stopped.contains(&call.asked.entry) {
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
    let at_targets = history.violations.iter().cloned().map(Broken::AtTarget);
    broken.extend(at_targets);
    broken.extend(super::register::contradictions(&history.calls));
    broken
}

/// Calls and runs by marker.
struct Index<'a> {
    calls: BTreeMap<&'a str, Vec<&'a CallRecord>>,
    runs: BTreeMap<&'a str, Vec<&'a Ran>>,
}

impl<'a> Index<'a> {
    fn new(history: &'a History) -> Self {
        let mut index = Self {
            calls: BTreeMap::new(),
            runs: BTreeMap::new(),
        };
        for call in &history.calls {
            let calls = index.calls.entry(&call.asked.marker);
            calls.or_default().push(call);
        }
        for run in &history.runs {
            index.runs.entry(&run.marker).or_default().push(run);
        }
        index
    }

    fn runs_of(&self, call: &CallRecord) -> &[&'a Ran] {
        self.runs
            .get(&*call.asked.marker)
            .map_or(&[], Vec::as_slice)
    }

    /// Returns whether the entry instance of `call` ran it although all calls
    /// with its marker there were reported as not run. A retry through the
    /// same entry instance may be refused as not run only if another call
    /// there has an outcome that allows for the run.
    fn unaccounted(&self, call: &CallRecord) -> bool {
        let asked = &call.asked;
        let of_entry = |run: &&&Ran| is_attempt_of(&run.attempt, &asked.entry);
        if self.runs_of(call).iter().find(of_entry).is_none() {
            return false;
        }
        let calls = &self.calls[&*asked.marker];
        let accounts = |c: &&CallRecord| c.asked.entry == asked.entry && !did_not_run(c.told);
        !calls.iter().any(accounts)
    }
}

const fn did_not_run(told: Told) -> bool {
    matches!(told, Told::NotRun | Told::BadRequest | Told::NotConnected)
}

/// Returns whether an attempt id, `instance-incarnation-serial`, is of the
/// entry instance.
fn is_attempt_of(attempt: &str, entry: &str) -> bool {
    let mut parts = attempt.rsplitn(3, '-');
    parts.nth(2) == Some(entry)
}

fn check_answer(index: &Index<'_>, call: &CallRecord) -> Vec<Broken> {
    let marker = || call.asked.marker.clone();
    let mut broken = Vec::new();
    // The received part of an incomplete response must be correct too, except
    // for its length.
    let cut = call.told != Told::Done;
    let wrong = |fault: &AnswerFault| !(cut && *fault == AnswerFault::Length);
    if call.faults.iter().any(wrong) {
        broken.push(Broken::WrongAnswer(marker()));
    }
    if call.told == Told::Unreadable {
        broken.push(Broken::Unreadable(marker()));
    }
    if call.told != Told::Done {
        return broken;
    }
    let runs = index.runs_of(call);
    match runs.iter().find(|run| run.attempt == call.attempt) {
        None => broken.push(Broken::NoSuchRun(marker())),
        Some(run) if !run.finished => broken.push(Broken::UnfinishedRun(marker())),
        Some(_) => {}
    }
    broken
}

fn check_refusal(index: &Index<'_>, call: &CallRecord) -> Vec<Broken> {
    let marker = || call.asked.marker.clone();
    let mut broken = Vec::new();
    if did_not_run(call.told) && index.unaccounted(call) {
        broken.push(Broken::NotRunRan(marker()));
    }
    if call.told == Told::NotRun && !call.comes_back {
        broken.push(Broken::NoTimeToComeBack(marker()));
    }
    broken
}

/// Checks that a call to a gracefully stopped instance was not cut off. A call
/// whose connection was not accepted does not count.
fn check_stop(call: &CallRecord) -> Option<Broken> {
    let cut = matches!(call.told, Told::Cut | Told::NoAnswer | Told::Unknown);
    cut.then(|| Broken::CutByStop(call.asked.marker.clone()))
}

fn check_runs(index: &Index<'_>, marker: &str, runs: &[&Ran]) -> Vec<Broken> {
    let mut broken = Vec::new();
    let Some(calls) = index.calls.get(marker) else {
        return vec![Broken::Unasked(marker.into())];
    };
    let asked = &calls[0].asked;
    if runs.iter().any(|run| run.name != asked.name) {
        broken.push(Broken::WrongTarget(marker.into()));
    }
    if asked.key.is_some() && runs.len() > 1 {
        broken.push(Broken::RanTwice(marker.into()));
    }
    // Every call was reported as not run, so there must be no run.
    if calls.iter().all(|call| did_not_run(call.told)) {
        broken.push(Broken::NotRunRan(marker.into()));
    }
    broken
}

fn check_leaving(leaving: &Leaving, runs: &[Ran]) -> Vec<Broken> {
    let late = runs
        .iter()
        .filter(|run| run.target == leaving.target && run.started_unix_ms > leaving.closed_unix_ms);
    late.map(|run| Broken::WorkAtLeaving(run.target.clone(), run.marker.clone()))
        .collect()
}

fn check_revisions(revisions: &Revisions, last: Option<u64>) -> Vec<Broken> {
    let mut broken = Vec::new();
    if !revisions.seen.is_sorted() {
        broken.push(Broken::RevisionFell(revisions.instance.clone()));
    }
    if last.is_some() && revisions.seen.last().copied() != last {
        broken.push(Broken::RevisionMissing(revisions.instance.clone()));
    }
    broken
}

impl Kind {
    /// Returns whether this is a model request.
    #[must_use]
    pub const fn is_chat(self) -> bool {
        matches!(self, Self::Streamed | Self::Whole)
    }
}
