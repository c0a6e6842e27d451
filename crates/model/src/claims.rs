//! Claims of non-idempotent requests: three attempts under one idempotency key,
//! each through its own entry instance, one of them possibly with another body.
//! Covers lost and late store writes, lost responses of the store and the target,
//! late grants and entry instances that die.
//!
//! An attempt creates the claim with its own token and dispatches the request
//! only once the claim is confirmed. After a lost response of the store it reads
//! the claim. Finding no claim doesn't prove that the write failed. The attempt
//! therefore reports not run and never dispatches, even if the write takes effect
//! later.

mod attempt;
mod execution;

pub use execution::Execution;

use crate::search::{Outcome, explore, until_counterexample};

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
    /// A create whose response was lost counts as confirmed.
    DispatchUnconfirmed,
    /// The read after a lost response compares the body, not the token.
    ReadBackWithoutToken,
    /// An attempt takes over a claim that another attempt has started.
    TakeOverStarted,
    /// An attempt sends the request again after the target's response was lost.
    ResendAfterLostAnswer,
    /// An attempt reports not run although it sent the request.
    NotRunAfterSend,
    /// An attempt reports not run while its queued permit request may still lead
    /// to a dispatch.
    NotRunWhileQueued,
    /// An attempt marks its claim aborted although it sent the request.
    AbortAfterSend,
    /// An attempt doesn't compare its body with that of the claim.
    BodyNotCompared,
    /// A takeover overwrites the claim without compare-and-swap.
    TakeoverWithoutCompare,
    /// A claim is deleted while further attempts may still arrive.
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

const ATTEMPT_COUNT: usize = 3;

/// The cases in which the specification is searched: name, and the body of each
/// attempt.
const CASES: [(&str, [u8; ATTEMPT_COUNT]); 2] = [
    ("three attempts, one with another body", [0, 0, 1]),
    ("three attempts of one body", [0, 0, 0]),
];

/// State of the attempt that holds a claim.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Progress {
    /// The request may have run.
    Started,
    /// The request ran.
    Done,
    /// The request did not run, and this attempt will never send it.
    Aborted,
}

/// The record stored under the caller's idempotency key.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Claim {
    /// Index of the attempt that wrote the record.
    pub token: usize,
    /// Body of that attempt.
    pub body: u8,
    /// State of that attempt.
    pub progress: Progress,
}

/// Phase of an attempt.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Phase {
    /// The attempt has not started.
    New,
    /// A create or takeover was sent to the store, and its outcome is unknown.
    Claiming,
    /// The key has a claim that is not known to be this attempt's.
    Existing,
    /// The claim is confirmed, and no permit is granted yet.
    Claimed,
    /// A permit was granted.
    Granted,
    /// The request was sent, and its outcome is unknown.
    Sent,
    /// The target refused the request.
    Refused,
    /// The target ran the request, and its response arrived.
    Answered,
    /// The outcome was reported to the caller.
    Told(CallerOutcome),
    /// The entry instance died before it reported an outcome.
    Dead,
}

/// The final outcome reported to a caller.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum CallerOutcome {
    /// The request ran, and this is its response.
    Done,
    /// This attempt did not run the request and never will.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The key was used with another body.
    OtherBody,
}

/// A pending store write. It may take effect at any time, also after the attempt
/// has stopped waiting for the response.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Write {
    Create,
    /// Replaces the aborted claim of another token.
    TakeOver {
        token: usize,
    },
    /// Marks the attempt's own claim aborted.
    Abort,
    /// Marks the attempt's own claim done.
    Complete,
}

/// Delivery of the request to the target.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum RequestDelivery {
    None,
    InFlight,
    Refused,
    Ran,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Attempt {
    body: u8,
    phase: Phase,
    /// The pending store write.
    write: Option<Write>,
    /// Whether the last create or takeover took effect; `None` while it is
    /// pending.
    landed: Option<bool>,
    /// Delivery of the request to the target.
    message: RequestDelivery,
    /// Whether a permit request is queued at the worker's owner.
    queued: bool,
    /// Whether the reported outcome came from a claim with another body.
    foreign_record: bool,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct State {
    claim: Option<Claim>,
    attempts: [Attempt; ATTEMPT_COUNT],
    /// Number of times that the target ran the request.
    runs: u8,
}

/// A step of an attempt, of its messages or of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// The attempt sends the create of its claim.
    SendCreate,
    /// The attempt sends the takeover of an aborted claim.
    SendTakeOver,
    /// The pending store write takes effect, or fails its comparison.
    WriteLands,
    /// The store's response to a create or takeover arrives.
    StoreAnswers,
    /// The attempt reads the claim, instead of waiting for a response.
    ReadBack,
    /// The attempt requests a permit.
    AskPermit,
    /// The permit is granted.
    Grant,
    /// The request is sent.
    Dispatch,
    /// The target runs the request.
    TargetRuns,
    /// The target refuses the request.
    TargetRefuses,
    /// The target's response or refusal arrives.
    TargetAnswers,
    /// The attempt stops waiting for a response.
    AnswerLost,
    /// The request is sent again.
    Resend,
    /// The attempt reports not run and sends the abort to the store.
    SendAbort,
    /// The attempt reports not run and sends no abort.
    TellNotRun,
    /// The attempt reports the target's response.
    TellDone,
    /// The attempt reports the outcome that another attempt's claim shows.
    TellFromClaim,
    /// The entry instance dies.
    Die,
    /// The claim is deleted.
    DeleteClaim,
}

/// Searches the cases in order, up to the first counterexample.
pub fn check(mutation: Option<Mutation>) -> Vec<Outcome> {
    until_counterexample(CASES.iter().map(|(case, bodies)| {
        explore(
            case,
            &initial_state(*bodies),
            |s| enabled_steps(s, mutation),
            violated_invariant,
        )
    }))
}

fn initial_state(bodies: [u8; ATTEMPT_COUNT]) -> State {
    let attempts = bodies.map(|body| Attempt {
        body,
        phase: Phase::New,
        write: None,
        landed: None,
        message: RequestDelivery::None,
        queued: false,
        foreign_record: false,
    });
    State {
        claim: None,
        attempts,
        runs: 0,
    }
}

fn violated_invariant(s: &State) -> Option<&'static str> {
    let ran = |a: &Attempt| a.message == RequestDelivery::Ran;
    if s.runs > 1 {
        return Some(INVARIANTS[0]);
    }
    if s.attempts
        .iter()
        .any(|a| a.phase == Phase::Told(CallerOutcome::NotRun) && ran(a))
    {
        return Some(INVARIANTS[1]);
    }
    if s.runs == 0
        && s.attempts
            .iter()
            .any(|a| a.phase == Phase::Told(CallerOutcome::Done))
    {
        return Some(INVARIANTS[2]);
    }
    s.attempts
        .iter()
        .any(|a| a.foreign_record)
        .then_some(INVARIANTS[3])
}

fn enabled_steps(s: &State, mutation: Option<Mutation>) -> Vec<((usize, Action), State)> {
    let mut steps = Vec::new();
    for i in 0..ATTEMPT_COUNT {
        for (action, next) in attempt::steps(s, mutation, i) {
            steps.push(((i, action), next));
        }
    }
    if mutation == Some(Mutation::RetentionTooShort) && s.claim.is_some() {
        // A step of the store, listed under attempt 0 because each step has an
        // attempt.
        steps.push(((0, Action::DeleteClaim), State { claim: None, ..*s }));
    }
    steps
}
