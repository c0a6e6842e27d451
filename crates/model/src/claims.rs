//! Claims of non-idempotent requests: three attempts of one key, each through
//! its own entry instance, the third with another body; lost and late store
//! writes, lost target answers, late grants, dead entry instances.
//!
//! An attempt creates the claim with a token of its own, dispatches only when
//! the claim is confirmed, and settles a lost answer by reading the claim
//! back. A read-back that finds nothing is not final, since the write may land
//! later: the attempt ends as not run and never dispatches.

mod attempt;
mod walk;

pub use walk::Walk;

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

/// How far the attempt that holds a claim came.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Progress {
    /// It may have run.
    Started,
    /// It ran.
    Done,
    /// It did not run and never will.
    Aborted,
}

/// The record under the caller's key.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Claim {
    /// The attempt that wrote it.
    pub token: usize,
    /// The body of that attempt.
    pub body: u8,
    /// How far it came.
    pub progress: Progress,
}

/// Where an attempt stands.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Phase {
    /// Nothing was done yet.
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

/// The final outcome that a caller was told.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Told {
    /// It ran, and this is the outcome.
    Done,
    /// This attempt did not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// The key was used for another body.
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

/// A step of an attempt, of its messages or of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// The attempt sends the create of its claim.
    SendCreate,
    /// The attempt sends the takeover of an aborted claim.
    SendTakeOver,
    /// A store write of the attempt lands.
    WriteLands,
    /// The attempt gets the answer to its create or takeover.
    StoreAnswers,
    /// The attempt reads the claim instead.
    ReadBack,
    /// The attempt asks for a permit.
    AskPermit,
    /// The permit is granted.
    Grant,
    /// The request is sent.
    Dispatch,
    /// The target runs the request.
    TargetRuns,
    /// The target refuses the request.
    TargetRefuses,
    /// The attempt gets the target's answer.
    TargetAnswers,
    /// The attempt gives up waiting for an answer.
    AnswerLost,
    /// The request is sent again.
    Resend,
    /// The caller is told not run, and the abort is sent to the store.
    SendAbort,
    /// The caller is told not run, and the store nothing.
    TellNotRun,
    /// The caller is told the outcome.
    TellDone,
    /// The caller is told what the claim of another attempt shows.
    TellFromClaim,
    /// The entry instance dies.
    Die,
    /// The claim is deleted.
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
