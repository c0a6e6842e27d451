//! Parts of prompts under which instances crash.
//!
//! A part of a prompt may crash every instance that begins to answer a prompt with
//! it, whatever else the prompt has. Calls with such a part are refused.
//!
//! Nodes blame a crash on the calls that the instance was about to answer, and
//! count it against each part of their prompts that other prompts may share, which
//! are all but the last one. A part that is answered is cleared of the crashes before. One is
//! quarantined after several crashes without an answer between them. When all
//! instances crash together for another reason, nothing is answered for a while,
//! so a part that was answered shortly before is quarantined only after crashes at
//! different times.
//!
//! Parts that occur together are told apart by the crashes that they don't share:
//! a part that has been present in all crashes of another one explains them. A call
//! is refused only if its prompt also has the parts that explain the crashes, so that
//! calls with fewer of the parts show which one is the cause.

mod evidence;

pub use evidence::{Evidence, EvidenceReport};

use crate::Now;
use crate::scheduler::PromptPart;
use evidence::{Crash, PartEvidence, RETENTION};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Id of a part of a prompt.
pub type PartId = u64;

/// Digest of a whole request. Callers choose the bytes of requests, so that the
/// digest must be cryptographic and wide.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestDigest(u128);

impl RequestDigest {
    /// Returns the digest with the first bytes of a hash.
    #[must_use]
    pub fn from_bytes(hash: &[u8; 32]) -> Self {
        let mut first = [0; 16];
        first.copy_from_slice(&hash[..16]);
        Self(u128::from_be_bytes(first))
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Time since the first event of a response within which a crash is still blamed
/// on the call.
pub const BLAME_TIME: Duration = Duration::from_millis(250);
/// Time after which a crash counts; by then the nodes that know of an answer have
/// reported it.
pub const SETTLE_TIME: Duration = Duration::from_millis(400);

/// Crashes after which a part is quarantined.
const MIN_CRASHES: usize = 3;
/// Different prompts that must have crashed instances, since the same one may meet
/// with failures several times when it is retried.
const MIN_PROMPTS: usize = 2;
/// Duration of a quarantine after fewer than [`CERTAIN_CRASHES`].
const FIRST_QUARANTINE: Duration = Duration::from_secs(30);
/// Crashes after which the quarantine lasts for [`RETENTION`].
const CERTAIN_CRASHES: usize = 5;
/// Time since an answer within which crashes count only if they occurred at
/// different times.
const RECENT_ANSWER: Duration = Duration::from_secs(30);
/// Minimum time between crashes that occurred at different times.
const CRASH_GAP: Duration = Duration::from_secs(1);
/// Limit on the parts whose last answer is remembered.
const MAX_ANSWERED: usize = 4_096;

/// What a node knows of parts under which instances crash.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    all: Evidence,
    /// What this node has seen itself.
    own: Evidence,
    /// When calls of this node with a part were last answered.
    answered: BTreeMap<PartId, Now>,
}

/// Which evidence an event has changed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Changed {
    /// That of this node itself.
    pub own: bool,
    /// That of any node.
    pub all: bool,
}

/// Why a call is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Verdict {
    /// The quarantined part.
    pub part: PartId,
    /// Crashes without an answer between them.
    pub crashes: usize,
    /// End of the quarantine.
    pub until: Now,
}

impl Quarantine {
    /// Records the crash of the incarnation of an instance with the start time `born`
    /// that was about to answer a prompt.
    pub fn on_crash(
        &mut self,
        instance: &str,
        born: u64,
        prompt: &[PromptPart],
        now: Now,
    ) -> Changed {
        let Some((last, shared)) = prompt.split_last() else {
            return Changed::default();
        };
        self.expire(now);
        let incarnation = xxh3_64(instance.as_bytes()) ^ born;
        let crash = Crash {
            prompt: last.id,
            at: now,
        };
        let mut changed = Changed::default();
        for part in shared {
            changed.own |= self.own.add_crash(part.id, incarnation, crash);
            changed.all |= self.all.add_crash(part.id, incarnation, crash);
        }
        changed.own |= self.report_answers();
        changed
    }

    /// Records that an instance answers a prompt.
    pub fn on_answered(&mut self, prompt: &[PromptPart], now: Now) -> Changed {
        let mut changed = Changed::default();
        for part in shared_parts(prompt) {
            if self.answered.len() >= MAX_ANSWERED && !self.answered.contains_key(&part.id) {
                self.drop_older_answers();
            }
            self.answered.insert(part.id, now);
            if self.all.has_crashes(part.id) {
                changed.all |= self.all.add_answer(part.id, now);
                changed.own |= self.own.add_answer(part.id, now);
            }
        }
        changed
    }

    /// Adds what another node, or an earlier run, reported.
    pub fn merge(&mut self, report: &EvidenceReport, now: Now) -> Changed {
        self.expire(now);
        let all = self.all.merge(&Evidence::from_report(report, now));
        let own = all && self.report_answers();
        Changed { own, all }
    }

    /// Returns what any node has seen.
    #[must_use]
    pub const fn all(&self) -> &Evidence {
        &self.all
    }

    /// Returns what this node has seen itself.
    #[must_use]
    pub const fn own(&self) -> &Evidence {
        &self.own
    }

    /// Returns the evidence against the parts that are quarantined.
    #[must_use]
    pub fn quarantined(&self, now: Now) -> Evidence {
        self.all
            .filtered(|evidence| quarantined_until(evidence, now).is_some())
    }

    /// Returns why a call with this prompt is refused; `None` if it isn't.
    #[must_use]
    pub fn verdict(&self, prompt: &[PromptPart], now: Now) -> Option<Verdict> {
        let ids: BTreeSet<PartId> = shared_parts(prompt).iter().map(|part| part.id).collect();
        ids.iter().find_map(|part| {
            let evidence = self.all.get(*part)?;
            let until = quarantined_until(evidence, now)?;
            let mut others = self.all.iter().filter(|(other, _)| *other != part);
            let explained = others.any(|(other, e)| !ids.contains(other) && e.explains(evidence));
            (!explained).then_some(Verdict {
                part: *part,
                crashes: evidence.crashes().count(),
                until,
            })
        })
    }

    /// Adds the answers that this node knows to the evidence. Returns whether that
    /// changed its own.
    fn report_answers(&mut self) -> bool {
        let mut changed = false;
        for part in self.all.parts_with_crashes() {
            if let Some(at) = self.answered.get(&part).copied()
                && self.all.add_answer(part, at)
            {
                changed |= self.own.add_answer(part, at);
            }
        }
        changed
    }

    /// Drops the older half of the remembered answers.
    fn drop_older_answers(&mut self) {
        let mut times: Vec<Now> = self.answered.values().copied().collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        self.answered.retain(|_, at| *at > *median);
    }

    fn expire(&mut self, now: Now) {
        self.all.expire(now);
        self.own.expire(now);
    }
}

/// Returns the parts of a prompt that other prompts may share.
fn shared_parts(prompt: &[PromptPart]) -> &[PromptPart] {
    prompt.split_last().map_or(&[], |(_, shared)| shared)
}

/// Returns the end of a part's quarantine, if it is quarantined.
fn quarantined_until(evidence: &PartEvidence, now: Now) -> Option<Now> {
    let settled = evidence.crashes().filter(|c| c.at + SETTLE_TIME <= now);
    let mut crashes: Vec<&Crash> = settled.collect();
    crashes.sort_by_key(|c| c.at);
    let (first, last) = (crashes.first()?.at, crashes.last()?.at);
    let prompts: BTreeSet<u64> = crashes.iter().map(|c| c.prompt).collect();
    let was_answered = evidence
        .answered_at
        .is_some_and(|at| first.saturating_sub(at) < RECENT_ANSWER);
    if was_answered {
        let mut previous = None;
        crashes.retain(|c| {
            let counts = previous.is_none_or(|at| c.at >= at + CRASH_GAP);
            if counts {
                previous = Some(c.at);
            }
            counts
        });
    }
    if crashes.len() < MIN_CRASHES || prompts.len() < MIN_PROMPTS {
        return None;
    }
    let duration = if crashes.len() < CERTAIN_CRASHES {
        FIRST_QUARANTINE
    } else {
        RETENTION
    };
    let until = last + duration;
    (now < until).then_some(until)
}
