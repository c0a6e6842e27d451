//! Crashes and answers by their possible causes, as nodes exchange them.
//!
//! Two nodes that exchange their evidence, in whatever order and however often,
//! hold the same crashes. An answer is remembered as long as a crash, so that a
//! crash from before it that is reported once more does not count again.

use super::{Cause, PartId, RequestDigest};
use crate::Now;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::mem;
use std::time::Duration;

/// How long crashes and answers are remembered.
pub(super) const RETENTION: Duration = Duration::from_secs(600);

/// Time by which an answer must be later than the last known one to be of interest,
/// unless it clears its causes of crashes.
const ANSWER_RESOLUTION: Duration = Duration::from_secs(1);
/// Limit on the parts; those with the fewest crashes are dropped beyond it.
const MAX_PARTS: usize = 64;
/// Limit on the requests, like [`MAX_PARTS`]. An instance that crashes for another reason
/// adds all requests that it runs.
const MAX_REQUESTS: usize = 256;
/// Crashes from which a cause is suspected.
const MIN_SUSPECTED_CRASHES: usize = 2;
/// Limit on the crashes of a cause; the oldest is dropped beyond it.
const MAX_CRASHES: usize = 16;

/// Hash of an instance's id and the start time of its incarnation.
type IncarnationHash = u64;

/// Crashes and answers by possible cause.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Evidence {
    by_cause: BTreeMap<Cause, CauseEvidence>,
}

/// What is known of one cause.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct CauseEvidence {
    /// Crashes since the last answer.
    crashes: BTreeMap<IncarnationHash, Crash>,
    /// When a call with the cause was last answered.
    pub(super) answered_at: Option<Now>,
    /// Whether there were several crashes at some time, so that other nodes may know of
    /// them.
    was_suspected: bool,
}

/// A crash of an instance that was about to answer a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Crash {
    /// Id of the last part of the call's prompt, which prompts don't share; 0 if there is
    /// no prompt.
    pub(super) prompt: PartId,
    pub(super) at: Now,
}

/// [`Evidence`] as nodes send it to each other. Times are ages, since nodes' clocks
/// differ.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EvidenceReport {
    parts: Vec<CauseReport<PartId>>,
    #[serde(default)]
    requests: Vec<CauseReport<RequestDigest>>,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct CauseReport<C> {
    /// Nodes and records of earlier versions know only parts.
    #[serde(rename = "part")]
    cause: C,
    crashes: Vec<CrashReport>,
    /// Age of the last answer in milliseconds.
    answered_ms: Option<u64>,
}

#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct CrashReport {
    incarnation: IncarnationHash,
    prompt: PartId,
    /// Age of the crash in milliseconds.
    age_ms: u64,
}

impl EvidenceReport {
    /// Returns the report with all times earlier by `age`.
    #[must_use]
    pub fn aged(mut self, age: Duration) -> Self {
        let age_ms = age.as_millis() as u64;
        for report in &mut self.parts {
            report.age(age_ms);
        }
        for report in &mut self.requests {
            report.age(age_ms);
        }
        self
    }
}

impl<C> CauseReport<C> {
    fn new(cause: C, evidence: &CauseEvidence, now: Now) -> Self {
        let age_ms = |at: Now| now.saturating_sub(at).as_millis() as u64;
        let crashes = evidence.crashes.iter();
        let crashes = crashes.map(|(incarnation, crash)| CrashReport {
            incarnation: *incarnation,
            prompt: crash.prompt,
            age_ms: age_ms(crash.at),
        });
        Self {
            cause,
            crashes: crashes.collect(),
            answered_ms: evidence.answered_at.map(age_ms),
        }
    }

    fn age(&mut self, age_ms: u64) {
        for crash in &mut self.crashes {
            crash.age_ms = crash.age_ms.saturating_add(age_ms);
        }
        self.answered_ms = self.answered_ms.map(|ms| ms.saturating_add(age_ms));
    }
}

impl Evidence {
    /// Returns the evidence that a node reported at `now`.
    #[must_use]
    pub fn from_report(report: &EvidenceReport, now: Now) -> Self {
        let mut evidence = Self::default();
        for report in report.parts.iter().take(MAX_PARTS) {
            evidence.add_report(Cause::Part(report.cause), report, now);
        }
        for report in report.requests.iter().take(MAX_REQUESTS) {
            evidence.add_report(Cause::Request(report.cause), report, now);
        }
        evidence.expire(now);
        evidence
    }

    fn add_report<C>(&mut self, cause: Cause, report: &CauseReport<C>, now: Now) {
        let since = |age_ms| now.saturating_sub(Duration::from_millis(age_ms));
        if let Some(age_ms) = report.answered_ms {
            self.add_answer(cause, since(age_ms));
        }
        for crash in report.crashes.iter().take(MAX_CRASHES) {
            let at = since(crash.age_ms);
            let prompt = crash.prompt;
            self.add_crash(cause, crash.incarnation, Crash { prompt, at });
        }
    }

    /// Returns the evidence that concerns nodes which have not seen it themselves: causes
    /// that are suspected, or were until they were answered, and the answers to parts,
    /// which other calls share.
    #[must_use]
    pub fn of_suspects(&self) -> Self {
        self.filtered(|cause, evidence| {
            let is_shared = matches!(cause, Cause::Part(_)) && evidence.answered_at.is_some();
            evidence.was_suspected || is_shared
        })
    }

    /// Returns the report of this evidence to other nodes, without what expired.
    #[must_use]
    pub fn report(&self, now: Now) -> EvidenceReport {
        let mut current = self.clone();
        current.expire(now);
        let mut report = EvidenceReport::default();
        for (cause, evidence) in &current.by_cause {
            match *cause {
                Cause::Part(part) => {
                    report.parts.push(CauseReport::new(part, evidence, now));
                }
                Cause::Request(digest) => {
                    report
                        .requests
                        .push(CauseReport::new(digest, evidence, now));
                }
            }
        }
        report
    }

    pub(super) fn get(&self, cause: Cause) -> Option<&CauseEvidence> {
        self.by_cause.get(&cause)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&Cause, &CauseEvidence)> {
        self.by_cause.iter()
    }

    pub(super) fn filtered<F>(&self, selects: F) -> Self
    where
        F: Fn(Cause, &CauseEvidence) -> bool,
    {
        let selected = self.by_cause.iter();
        let selected = selected.filter(|(cause, e)| selects(**cause, e));
        Self {
            by_cause: selected.map(|(cause, e)| (*cause, e.clone())).collect(),
        }
    }

    pub(super) fn has_crashes(&self, cause: Cause) -> bool {
        self.get(cause).is_some_and(|e| !e.crashes.is_empty())
    }

    pub(super) fn with_crashes(&self) -> Vec<Cause> {
        let suspects = self.by_cause.iter().filter(|(_, e)| !e.crashes.is_empty());
        suspects.map(|(cause, _)| *cause).collect()
    }

    /// Adds a crash unless the cause was answered since. Returns whether it is new.
    pub(super) fn add_crash(
        &mut self,
        cause: Cause,
        incarnation: IncarnationHash,
        crash: Crash,
    ) -> bool {
        let evidence = self.entry(cause);
        let is_cleared = evidence.answered_at.is_some_and(|at| at >= crash.at);
        if is_cleared || evidence.crashes.contains_key(&incarnation) {
            return false;
        }
        evidence.crashes.insert(incarnation, crash);
        evidence.was_suspected |= evidence.crashes.len() >= MIN_SUSPECTED_CRASHES;
        if evidence.crashes.len() > MAX_CRASHES {
            let oldest = evidence.crashes.iter().min_by_key(|(_, c)| c.at);
            if let Some(oldest) = oldest.map(|(incarnation, _)| *incarnation) {
                evidence.crashes.remove(&oldest);
                return oldest != incarnation;
            }
        }
        true
    }

    /// Clears a cause of the crashes until `at`. Returns whether that is worth
    /// reporting.
    pub(super) fn add_answer(&mut self, cause: Cause, at: Now) -> bool {
        let evidence = self.entry(cause);
        let before = evidence.crashes.len();
        evidence.crashes.retain(|_, crash| crash.at > at);
        let clears = evidence.crashes.len() < before;
        let known = evidence.answered_at;
        if !clears && known.is_some_and(|known| at < known + ANSWER_RESOLUTION) {
            return false;
        }
        evidence.answered_at = known.max(Some(at));
        true
    }

    /// Adds other evidence. Returns whether any of it is new.
    pub(super) fn merge(&mut self, other: &Self) -> bool {
        let mut changed = false;
        for (cause, evidence) in &other.by_cause {
            if let Some(at) = evidence.answered_at {
                changed |= self.add_answer(*cause, at);
            }
            for (incarnation, crash) in &evidence.crashes {
                changed |= self.add_crash(*cause, *incarnation, *crash);
            }
        }
        changed
    }

    /// Drops what is no longer remembered.
    pub(super) fn expire(&mut self, now: Now) {
        for evidence in self.by_cause.values_mut() {
            evidence
                .crashes
                .retain(|_, crash| now.saturating_sub(crash.at) < RETENTION);
            evidence
                .answered_at
                .take_if(|at| now.saturating_sub(*at) >= RETENTION);
        }
        self.by_cause
            .retain(|_, e| !e.crashes.is_empty() || e.answered_at.is_some());
    }

    fn entry(&mut self, cause: Cause) -> &mut CauseEvidence {
        if !self.by_cause.contains_key(&cause) {
            self.make_room_for(cause);
        }
        self.by_cause.entry(cause).or_default()
    }

    /// Drops the least suspect cause of the same kind if there are as many as the limit.
    fn make_room_for(&mut self, cause: Cause) {
        let limit = match cause {
            Cause::Part(_) => MAX_PARTS,
            Cause::Request(_) => MAX_REQUESTS,
        };
        let kind = mem::discriminant(&cause);
        let same_kind = self.by_cause.iter();
        let same_kind = same_kind.filter(|(other, _)| mem::discriminant(*other) == kind);
        if same_kind.clone().count() < limit {
            return;
        }
        let rank = |e: &CauseEvidence| (e.crashes.len(), e.crashes.values().map(|c| c.at).max());
        let least = same_kind.min_by_key(|(_, e)| rank(e));
        if let Some(least) = least.map(|(cause, _)| *cause) {
            self.by_cause.remove(&least);
        }
    }
}

impl CauseEvidence {
    pub(super) fn crashes(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.values()
    }

    /// Whether the cause was present in all crashes of another one.
    pub(super) fn explains(&self, other: &Self) -> bool {
        let mut crashes = other.crashes.keys();
        crashes.all(|incarnation| self.crashes.contains_key(incarnation))
    }
}
