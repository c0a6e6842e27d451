//! Calls that are refused because instances crash under them.
//!
//! A part of a prompt may crash every instance that begins to answer a prompt with
//! it, whatever else the prompt has. So may a whole request, to an engine or to a plain
//! service, that callers send again and again.
//!
//! Nodes blame a crash on the calls that the instance was about to answer: on the whole
//! request, and on each part of its prompt that other prompts may share, which are all
//! but the last one. A cause that is answered is cleared of the crashes before. One is
//! quarantined after several crashes without an answer between them. When all
//! instances crash together for another reason, nothing is answered for a while,
//! so a cause that was answered shortly before is quarantined only after crashes at
//! different times.
//!
//! Parts that occur together are told apart by the crashes that they don't share:
//! a cause that has been present in all crashes of a part explains them. A call
//! is refused for a part only if it also has the causes that explain the crashes, so that
//! calls with fewer of them show which one is it. Requests can't occur together in
//! a call, so that nothing would show which of two is it; both are refused.

mod evidence;
mod unconfirmed;

pub use evidence::{Evidence, EvidenceReport};

use crate::Now;
use crate::scheduler::PromptPart;
use evidence::{CauseEvidence, Crash, RETENTION};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;
use unconfirmed::Unconfirmed;
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

/// What may crash the instance that runs a call.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Cause {
    /// A part of the prompt.
    Part(PartId),
    /// The whole request.
    Request(RequestDigest),
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(part) => write!(f, "part:{part:x}"),
            Self::Request(digest) => write!(f, "request:{digest}"),
        }
    }
}

/// A call, by what of it may crash instances.
#[derive(Clone, Copy, Debug)]
pub struct Suspect<'a> {
    /// Parts of the prompt in order; empty if there is none.
    pub prompt: &'a [PromptPart],
    /// Digest of the whole request; `None` only where no request is suspected.
    pub request: Option<RequestDigest>,
}

impl Suspect<'_> {
    fn causes(&self) -> impl Iterator<Item = Cause> {
        let shared = self
            .prompt
            .split_last()
            .map_or(&[][..], |(_, shared)| shared);
        let parts = shared.iter().map(|part| Cause::Part(part.id));
        parts.chain(self.request.map(Cause::Request))
    }
}

/// Time since the first event of a response within which a crash is still blamed
/// on the call.
pub const BLAME_TIME: Duration = Duration::from_millis(250);
/// Time after which a crash counts; by then the nodes that know of an answer have
/// reported it.
pub const SETTLE_TIME: Duration = Duration::from_millis(400);

/// Crashes after which a cause is quarantined.
const MIN_CRASHES: usize = 3;
/// Different prompts with a part that must have crashed instances; if there is only one,
/// the whole request is the cause.
const MIN_PROMPTS: usize = 2;
/// Duration of the quarantine of a part, or of a request that was answered shortly before
/// the crashes, after fewer than [`CERTAIN_CRASHES`].
const FIRST_QUARANTINE: Duration = Duration::from_secs(30);
/// Crashes after which the quarantine lasts for [`RETENTION`].
const CERTAIN_CRASHES: usize = 5;
/// Time since an answer within which crashes count only if they occurred at
/// different times.
const RECENT_ANSWER: Duration = Duration::from_secs(30);
/// Minimum time between crashes that occurred at different times.
const CRASH_GAP: Duration = Duration::from_secs(1);
/// Limit on the causes whose last answer is remembered.
const MAX_ANSWERED: usize = 4_096;

/// What a node knows of calls under which instances crash.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    all: Evidence,
    /// What this node has seen itself.
    own: Evidence,
    /// When calls of this node with a cause were last answered.
    answered: BTreeMap<Cause, Now>,
    unconfirmed: Unconfirmed,
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
    /// What is quarantined.
    pub cause: Cause,
    /// Crashes without an answer between them.
    pub crashes: usize,
    /// End of the quarantine.
    pub until: Now,
}

impl Quarantine {
    /// Records the crash of the incarnation of an instance with the start time `born`
    /// that was about to answer a call.
    pub fn on_crash(&mut self, instance: &str, born: u64, call: &Suspect<'_>, now: Now) -> Changed {
        self.expire(now);
        let incarnation = xxh3_64(instance.as_bytes()) ^ born;
        let crash = Crash {
            prompt: call.prompt.last().map_or(0, |last| last.id),
            at: now,
        };
        let mut changed = Changed::default();
        for cause in call.causes() {
            changed.own |= self.own.add_crash(cause, incarnation, crash);
            changed.all |= self.all.add_crash(cause, incarnation, crash);
        }
        changed.own |= self.report_answers();
        changed
    }

    /// Records that a call broke off that an instance was about to answer, which accepts
    /// connections nevertheless.
    pub fn on_broken(&mut self, instance: &str, born: u64, call: &Suspect<'_>, now: Now) {
        self.unconfirmed.add(instance, born, call, now);
    }

    /// Records that an instance's entry ended without notice, or that an incarnation of it
    /// started at `born`: calls that broke off before met with a crash.
    pub fn on_ended(&mut self, instance: &str, born: Option<u64>, now: Now) -> Changed {
        let mut changed = Changed::default();
        for call in self.unconfirmed.take(instance, born, now) {
            let crashed = self.on_crash(&call.instance, call.born, &call.suspect(), call.at);
            changed.own |= crashed.own;
            changed.all |= crashed.all;
        }
        changed
    }

    /// Records that an instance announced its end, which explains calls that break off.
    pub fn on_leaving(&mut self, instance: &str, now: Now) {
        self.unconfirmed.take(instance, None, now);
    }

    /// Records that an instance answers a call.
    pub fn on_answered(&mut self, call: &Suspect<'_>, now: Now) -> Changed {
        let mut changed = Changed::default();
        for cause in call.causes() {
            if self.answered.len() >= MAX_ANSWERED && !self.answered.contains_key(&cause) {
                self.drop_older_answers();
            }
            self.answered.insert(cause, now);
            if self.all.has_crashes(cause) {
                changed.all |= self.all.add_answer(cause, now);
                changed.own |= self.own.add_answer(cause, now);
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

    /// Returns the evidence against what is quarantined.
    #[must_use]
    pub fn quarantined(&self, now: Now) -> Evidence {
        self.all
            .filtered(|cause, evidence| quarantined_until(cause, evidence, now).is_some())
    }

    /// Returns whether any request is suspected, so that calls have to be compared with
    /// it by their digests.
    #[must_use]
    pub fn suspects_requests(&self) -> bool {
        let mut causes = self.all.iter();
        causes.any(|(cause, _)| matches!(cause, Cause::Request(_)))
    }

    /// Returns why a call is refused; `None` if it isn't.
    #[must_use]
    pub fn verdict(&self, call: &Suspect<'_>, now: Now) -> Option<Verdict> {
        let causes: BTreeSet<Cause> = call.causes().collect();
        causes.iter().copied().find_map(|cause| {
            let evidence = self.all.get(cause)?;
            let until = quarantined_until(cause, evidence, now)?;
            let mut others = self.all.iter().filter(|(other, _)| !causes.contains(other));
            let explained =
                matches!(cause, Cause::Part(_)) && others.any(|(_, e)| e.explains(evidence));
            (!explained).then_some(Verdict {
                cause,
                crashes: evidence.crashes().count(),
                until,
            })
        })
    }

    /// Adds the answers that this node knows to the evidence. Returns whether that
    /// changed its own.
    fn report_answers(&mut self) -> bool {
        let mut changed = false;
        for cause in self.all.with_crashes() {
            if let Some(at) = self.answered.get(&cause).copied()
                && self.all.add_answer(cause, at)
            {
                changed |= self.own.add_answer(cause, at);
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

/// Returns the end of a cause's quarantine, if it is quarantined.
fn quarantined_until(cause: Cause, evidence: &CauseEvidence, now: Now) -> Option<Now> {
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
    // A request that was never answered has no sound callers to lose, and each one that is
    // let through may cost an instance.
    let (min_prompts, is_certain) = match cause {
        Cause::Part(_) => (MIN_PROMPTS, false),
        Cause::Request(_) => (1, !was_answered),
    };
    if crashes.len() < MIN_CRASHES || prompts.len() < min_prompts {
        return None;
    }
    let duration = if is_certain || crashes.len() >= CERTAIN_CRASHES {
        RETENTION
    } else {
        FIRST_QUARANTINE
    };
    let until = last + duration;
    (now < until).then_some(until)
}
