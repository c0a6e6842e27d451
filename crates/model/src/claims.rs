//! Claims of non-idempotent requests: three attempts of one key, each through
//! its own entry instance, the third with another body; lost and late store
//! writes, lost target answers, late grants, dead entry instances.
//!
//! An attempt creates the claim with a token of its own, dispatches only when
//! the claim is confirmed, and settles a lost answer by reading the claim
//! back. A read-back that finds nothing is not final, since the write may land
//! later: the attempt ends as not run and never dispatches.

mod attempt;

use crate::search::{Outcome, explore};

/// Checked in every state.
pub const INVARIANTS: [&str; 4] = [
    "a request of one key runs at most once",
    "an attempt told not run never runs",
    "an attempt told done has run, here or as recorded",
    "a recorded outcome goes only to the same body",
];

/// A faulty variant of the protocol.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mutation {
    /// A create whose answer was lost is taken as done.
    DispatchUnconfirmed,
    /// The read-back compares key and body, not the token.
    ReadBackWithoutToken,
    /// A claim that another attempt started is taken over.
    TakeOverStarted,
    /// The request is sent again when the target's answer was lost.
    ResendAfterLostAnswer,
    /// Not run is told although the request was sent.
    NotRunAfterSend,
    /// Not run is told while a queued permit may still start the request.
    NotRunWhileQueued,
    /// The claim is marked aborted although the request was sent.
    AbortAfterSend,
    /// The body of a claim isn't compared.
    BodyNotCompared,
    /// A takeover of an aborted claim writes without comparing.
    TakeoverWithoutCompare,
    /// A claim is deleted while attempts may still come.
    RetentionTooShort,
}

impl Mutation {
    /// All mutations.
    pub const ALL: [Self; 10] = [
        Self::DispatchUnconfirmed,
        Self::ReadBackWithoutToken,
        Self::TakeOverStarted,
        Self::ResendAfterLostAnswer,
        Self::NotRunAfterSend,
        Self::NotRunWhileQueued,
        Self::AbortAfterSend,
        Self::BodyNotCompared,
        Self::TakeoverWithoutCompare,
        Self::RetentionTooShort,
    ];
}

const ATTEMPTS: usize = 3;

/// The bodies of the attempts in each instance.
const BODIES: [(&str, [u8; ATTEMPTS]); 2] = [
    ("three attempts, one with another body", [0, 0, 1]),
    ("three attempts of one body", [0, 0, 0]),
];

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Progress {
    Started,
    Done,
    Aborted,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Claim {
    token: usize,
    body: u8,
    progress: Progress,
}

/// Where an attempt stands.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Phase {
    New,
    /// A create or takeover is on its way to the store.
    Claiming,
    /// The store has answered that the claim exists already.
    Existing,
    /// The claim is confirmed, a permit is awaited.
    Claimed,
    /// A permit was granted.
    Granted,
    /// The request was sent, no answer yet.
    Sent,
    /// The target refused.
    Refused,
    /// The target answered.
    Answered,
    /// The caller has its outcome.
    Told(Told),
    /// The entry instance died; the caller has nothing.
    Dead,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Told {
    Done,
    NotRun,
    Unknown,
    OtherBody,
}

/// A store write on its way. It lands at any time, also after its sender has
/// given up.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Write {
    Create,
    /// Replaces the aborted claim of another token.
    TakeOver {
        token: usize,
    },
    Abort,
    Complete,
}

/// Fate of the request at the target.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Message {
    None,
    InFlight,
    Refused,
    Ran,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Attempt {
    body: u8,
    phase: Phase,
    write: Option<Write>,
    /// Whether the last create or takeover took effect, when it has landed.
    landed: Option<bool>,
    message: Message,
    /// Whether a permit is queued at the worker's owner.
    queued: bool,
    /// Whether the outcome told was taken from a record of another body.
    foreign_record: bool,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct State {
    claim: Option<Claim>,
    attempts: [Attempt; ATTEMPTS],
    runs: u8,
}

#[derive(Clone, Copy, Debug)]
enum Action {
    SendCreate,
    SendTakeOver,
    WriteLands,
    StoreAnswers,
    ReadBack,
    AskPermit,
    Grant,
    Dispatch,
    TargetRuns,
    TargetRefuses,
    TargetAnswers,
    AnswerLost,
    Resend,
    SendAbort,
    TellNotRun,
    TellDone,
    TellFromClaim,
    Die,
    DeleteClaim,
}

/// Searches the specification.
pub fn check(mutation: Option<Mutation>) -> Vec<Outcome> {
    let outcomes = BODIES.iter().map(|(instance, bodies)| {
        explore(instance, &start(*bodies), |s| next(s, mutation), broken)
    });
    let mut found = Vec::new();
    for outcome in outcomes {
        let failed = outcome.counterexample.is_some();
        found.push(outcome);
        if failed {
            break;
        }
    }
    found
}

fn start(bodies: [u8; ATTEMPTS]) -> State {
    let attempts = bodies.map(|body| Attempt {
        body,
        phase: Phase::New,
        write: None,
        landed: None,
        message: Message::None,
        queued: false,
        foreign_record: false,
    });
    State {
        claim: None,
        attempts,
        runs: 0,
    }
}

fn broken(s: &State) -> Option<&'static str> {
    let ran = |a: &Attempt| a.message == Message::Ran;
    if s.runs > 1 {
        return Some(INVARIANTS[0]);
    }
    if s.attempts
        .iter()
        .any(|a| a.phase == Phase::Told(Told::NotRun) && ran(a))
    {
        return Some(INVARIANTS[1]);
    }
    if s.runs == 0
        && s.attempts
            .iter()
            .any(|a| a.phase == Phase::Told(Told::Done))
    {
        return Some(INVARIANTS[2]);
    }
    s.attempts
        .iter()
        .any(|a| a.foreign_record)
        .then_some(INVARIANTS[3])
}

fn next(s: &State, mutation: Option<Mutation>) -> Vec<((usize, Action), State)> {
    let mut steps = Vec::new();
    for i in 0..ATTEMPTS {
        for (action, t) in attempt::steps(s, mutation, i) {
            steps.push(((i, action), t));
        }
    }
    if mutation == Some(Mutation::RetentionTooShort) && s.claim.is_some() {
        steps.push(((0, Action::DeleteClaim), State { claim: None, ..*s }));
    }
    steps
}
