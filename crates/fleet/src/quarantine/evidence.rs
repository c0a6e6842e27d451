//! Crashes and answers by part of a prompt, as nodes exchange them.
//!
//! Two nodes that exchange their evidence, in whatever order and however often,
//! hold the same crashes. An answer is remembered as long as a crash, so that a
//! crash from before it that is reported once more does not count again.

use super::PartId;
use crate::Now;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// How long crashes and answers are remembered.
pub(super) const RETENTION: Duration = Duration::from_secs(600);

/// Time by which an answer must be later than the last known one to be of interest,
/// unless it clears a part of crashes.
const ANSWER_RESOLUTION: Duration = Duration::from_secs(1);
/// Limit on the parts; those with the fewest crashes are dropped beyond it.
const MAX_PARTS: usize = 64;
/// Limit on the crashes of a part; the oldest is dropped beyond it.
const MAX_CRASHES: usize = 16;

/// Hash of an instance's id and the start time of its incarnation.
type IncarnationHash = u64;

/// Crashes and answers by part.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Evidence {
    by_part: BTreeMap<PartId, PartEvidence>,
}

/// What is known of one part.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct PartEvidence {
    /// Crashes since the last answer.
    crashes: BTreeMap<IncarnationHash, Crash>,
    /// When a prompt with the part was last answered.
    pub(super) answered_at: Option<Now>,
}

/// A crash of an instance that was about to answer a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Crash {
    /// Id of the prompt's last part, which prompts don't share.
    pub(super) prompt: PartId,
    pub(super) at: Now,
}

/// [`Evidence`] as nodes send it to each other. Times are ages, since nodes' clocks
/// differ.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EvidenceReport {
    parts: Vec<PartReport>,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct PartReport {
    part: PartId,
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
        for part in &mut self.parts {
            for crash in &mut part.crashes {
                crash.age_ms = crash.age_ms.saturating_add(age_ms);
            }
            part.answered_ms = part.answered_ms.map(|ms| ms.saturating_add(age_ms));
        }
        self
    }
}

impl Evidence {
    /// Returns the evidence that a node reported at `now`.
    #[must_use]
    pub fn from_report(report: &EvidenceReport, now: Now) -> Self {
        let mut evidence = Self::default();
        let since = |age_ms| now.saturating_sub(Duration::from_millis(age_ms));
        for part in report.parts.iter().take(MAX_PARTS) {
            if let Some(age_ms) = part.answered_ms {
                evidence.add_answer(part.part, since(age_ms));
            }
            for crash in part.crashes.iter().take(MAX_CRASHES) {
                let at = since(crash.age_ms);
                let prompt = crash.prompt;
                evidence.add_crash(part.part, crash.incarnation, Crash { prompt, at });
            }
        }
        evidence.expire(now);
        evidence
    }

    /// Returns the report of this evidence to other nodes, without what expired and
    /// without parts of fewer than `min_crashes` that were not answered since.
    #[must_use]
    pub fn report(&self, min_crashes: usize, now: Now) -> EvidenceReport {
        let age_ms = |at: Now| now.saturating_sub(at).as_millis() as u64;
        let mut current = self.clone();
        current.expire(now);
        let parts = current.by_part.into_iter();
        let parts = parts
            .filter(|(_, e)| e.crashes.len() >= min_crashes || e.answered_at.is_some())
            .map(|(part, evidence)| PartReport {
                part,
                crashes: evidence
                    .crashes
                    .iter()
                    .map(|(incarnation, crash)| CrashReport {
                        incarnation: *incarnation,
                        prompt: crash.prompt,
                        age_ms: age_ms(crash.at),
                    })
                    .collect(),
                answered_ms: evidence.answered_at.map(age_ms),
            })
            .collect();
        EvidenceReport { parts }
    }

    pub(super) fn get(&self, part: PartId) -> Option<&PartEvidence> {
        self.by_part.get(&part)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&PartId, &PartEvidence)> {
        self.by_part.iter()
    }

    pub(super) fn filtered<F>(&self, selects: F) -> Self
    where
        F: Fn(&PartEvidence) -> bool,
    {
        let selected = self.by_part.iter().filter(|(_, e)| selects(e));
        Self {
            by_part: selected.map(|(part, e)| (*part, e.clone())).collect(),
        }
    }

    pub(super) fn has_crashes(&self, part: PartId) -> bool {
        self.get(part).is_some_and(|e| !e.crashes.is_empty())
    }

    pub(super) fn parts_with_crashes(&self) -> Vec<PartId> {
        let suspects = self.by_part.iter().filter(|(_, e)| !e.crashes.is_empty());
        suspects.map(|(part, _)| *part).collect()
    }

    /// Adds a crash unless the part was answered since. Returns whether it is new.
    pub(super) fn add_crash(
        &mut self,
        part: PartId,
        incarnation: IncarnationHash,
        crash: Crash,
    ) -> bool {
        let evidence = self.entry(part);
        let is_cleared = evidence.answered_at.is_some_and(|at| at >= crash.at);
        if is_cleared || evidence.crashes.contains_key(&incarnation) {
            return false;
        }
        evidence.crashes.insert(incarnation, crash);
        if evidence.crashes.len() > MAX_CRASHES {
            let oldest = evidence.crashes.iter().min_by_key(|(_, c)| c.at);
            if let Some(oldest) = oldest.map(|(incarnation, _)| *incarnation) {
                evidence.crashes.remove(&oldest);
                return oldest != incarnation;
            }
        }
        true
    }

    /// Clears a part of the crashes until `at`. Returns whether that is worth
    /// reporting.
    pub(super) fn add_answer(&mut self, part: PartId, at: Now) -> bool {
        let evidence = self.entry(part);
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
        for (part, evidence) in &other.by_part {
            if let Some(at) = evidence.answered_at {
                changed |= self.add_answer(*part, at);
            }
            for (incarnation, crash) in &evidence.crashes {
                changed |= self.add_crash(*part, *incarnation, *crash);
            }
        }
        changed
    }

    /// Drops what is no longer remembered.
    pub(super) fn expire(&mut self, now: Now) {
        for evidence in self.by_part.values_mut() {
            evidence
                .crashes
                .retain(|_, crash| now.saturating_sub(crash.at) < RETENTION);
            evidence
                .answered_at
                .take_if(|at| now.saturating_sub(*at) >= RETENTION);
        }
        self.by_part
            .retain(|_, e| !e.crashes.is_empty() || e.answered_at.is_some());
    }

    fn entry(&mut self, part: PartId) -> &mut PartEvidence {
        if self.by_part.len() >= MAX_PARTS && !self.by_part.contains_key(&part) {
            self.drop_least_suspect();
        }
        self.by_part.entry(part).or_default()
    }

    fn drop_least_suspect(&mut self) {
        let rank = |e: &PartEvidence| (e.crashes.len(), e.crashes.values().map(|c| c.at).max());
        let least = self.by_part.iter().min_by_key(|(_, e)| rank(e));
        if let Some(part) = least.map(|(part, _)| *part) {
            self.by_part.remove(&part);
        }
    }
}

impl PartEvidence {
    pub(super) fn crashes(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.values()
    }

    /// Whether the part was present in all crashes of another one.
    pub(super) fn explains(&self, other: &Self) -> bool {
        let mut crashes = other.crashes.keys();
        crashes.all(|incarnation| self.crashes.contains_key(incarnation))
    }
}
