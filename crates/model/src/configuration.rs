//! Revisions of the configuration, which is the operators' rules: two operators
//! that edit it concurrently, and two entry instances that receive revisions
//! late, in any order and from any source, and that are replaced.
//!
//! An apply is an operator's write of an edited revision to the store. The stored
//! value carries the token of each apply whose change it includes. An operator
//! whose response was lost can therefore learn the outcome of its apply even after
//! the other operator has applied another revision.

mod execution;

pub use execution::Execution;

use crate::search::{Outcome, explore};

/// Checked in every state.
pub const INVARIANTS: [&str; 4] = [
    "the revision in force at a place never falls",
    "an apply reported as refused did not take effect",
    "an apply reported as accepted took effect",
    "an accepted change is part of all later revisions",
];

/// A faulty variant of the protocol.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mutation {
    /// An instance adopts any revision that it receives, also a lower one.
    LowerRevisionAccepted,
    /// A new instance may adopt its first revision from a peer instead of the
    /// store.
    StartFromPeer,
    /// A lagging replica may serve the first read of a new instance.
    StaleStartRead,
    /// A new instance serves with the built-in revision 0 until it has read one.
    ServeBeforeRevision,
    /// An apply overwrites the store without comparing the revision that was
    /// edited.
    ApplyWithoutCompare,
    /// An apply whose response was lost is reported as refused.
    NoReadBack,
    /// A read that finds the store unchanged counts as a refusal, although the
    /// write may still take effect.
    UnchangedMeansRefused,
    /// The read after a lost response checks only the token of the last apply.
    LastTokenOnly,
}

impl Mutation {
    /// All mutations.
    pub const ALL: [Self; 8] = [
        Self::LowerRevisionAccepted,
        Self::StartFromPeer,
        Self::StaleStartRead,
        Self::ServeBeforeRevision,
        Self::ApplyWithoutCompare,
        Self::NoReadBack,
        Self::UnchangedMeansRefused,
        Self::LastTokenOnly,
    ];
}

const OPERATOR_COUNT: usize = 2;
const INSTANCE_COUNT: usize = 2;

/// State of the apply of one operator.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum ApplyState {
    Idle,
    Sent,
    /// The write took effect, and the operator doesn't know.
    Landed,
    /// The comparison at the store failed, and the operator doesn't know.
    Rejected,
    /// Reported as accepted.
    Accepted,
    /// Reported as refused.
    Refused,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct State {
    /// For each revision, the operators whose change it includes, as a mask.
    included: Vec<u8>,
    /// For each revision, the operator that applied it; `u8::MAX` for revision 0,
    /// which no operator applied.
    author: Vec<u8>,
    operators: [ApplyState; OPERATOR_COUNT],
    /// For each operator, the revision that its pending write expects in the
    /// store. A write may take effect after the operator has stopped waiting for
    /// the response.
    writes: [Option<usize>; OPERATOR_COUNT],
    /// For each instance, the revision in force; `None` while a new instance
    /// starts.
    in_force: [Option<u8>; INSTANCE_COUNT],
    /// For each instance, the highest revision that was ever in force on it or on
    /// those that it replaced.
    highest: [u8; INSTANCE_COUNT],
}

/// A step of the specification.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// An operator sends an apply.
    SendApply {
        /// The operator.
        operator: usize,
    },
    /// The write of an apply reaches the store, which applies or rejects it.
    LandApply {
        /// The operator.
        operator: usize,
    },
    /// The store's response reaches the operator.
    AnswerApply {
        /// The operator.
        operator: usize,
    },
    /// The store's response is lost.
    LoseAnswer {
        /// The operator.
        operator: usize,
    },
    /// The operator reads the store for the outcome of its apply.
    ReadBack {
        /// The operator.
        operator: usize,
    },
    /// An instance receives a revision from any source and adopts it.
    Deliver {
        /// The instance.
        instance: usize,
        /// The revision.
        revision: u8,
    },
    /// A new instance replaces an instance.
    Replace {
        /// The instance.
        instance: usize,
    },
    /// A new instance adopts its first revision from the store.
    StartFromStore {
        /// The instance.
        instance: usize,
        /// The revision.
        revision: u8,
    },
    /// A new instance adopts its first revision from a peer.
    StartFromPeer {
        /// The instance.
        instance: usize,
        /// The revision.
        revision: u8,
    },
}

/// Searches the specification.
pub fn check(mutation: Option<Mutation>) -> Vec<Outcome> {
    vec![explore(
        "two operators, two instances",
        &initial_state(),
        |s| enabled_steps(s, mutation),
        violated_invariant,
    )]
}

fn initial_state() -> State {
    State {
        included: vec![0],
        author: vec![u8::MAX],
        operators: [ApplyState::Idle; OPERATOR_COUNT],
        writes: [None; OPERATOR_COUNT],
        in_force: [Some(0); INSTANCE_COUNT],
        highest: [0; INSTANCE_COUNT],
    }
}

fn violated_invariant(s: &State) -> Option<&'static str> {
    let reverted = (0..INSTANCE_COUNT).any(|i| s.in_force[i].is_some_and(|r| r < s.highest[i]));
    let reported =
        |outcome: ApplyState| (0..OPERATOR_COUNT).filter(move |&o| s.operators[o] == outcome);
    let applied = |o: usize| s.author.contains(&(o as u8));
    let in_latest = |o: usize| s.included.last().is_some_and(|m| m & 1 << o != 0);
    if reverted {
        return Some(INVARIANTS[0]);
    }
    if reported(ApplyState::Refused).any(applied) {
        return Some(INVARIANTS[1]);
    }
    if reported(ApplyState::Accepted).any(|o| !applied(o)) {
        return Some(INVARIANTS[2]);
    }
    reported(ApplyState::Accepted)
        .any(|o| !in_latest(o))
        .then_some(INVARIANTS[3])
}

fn enabled_steps(s: &State, mutation: Option<Mutation>) -> Vec<(Action, State)> {
    let mut steps = Vec::new();
    for operator in 0..OPERATOR_COUNT {
        operator_steps(s, mutation, operator, &mut steps);
    }
    for instance in 0..INSTANCE_COUNT {
        instance_steps(s, mutation, instance, &mut steps);
    }
    steps
}

fn operator_steps(
    s: &State,
    mutation: Option<Mutation>,
    operator: usize,
    steps: &mut Vec<(Action, State)>,
) {
    let newest = s.included.len() - 1;
    let with_apply_state = |apply| {
        let mut next = s.clone();
        next.operators[operator] = apply;
        next
    };
    if let Some(from) = s.writes[operator] {
        let next = apply_write(s, mutation, operator, from);
        steps.push((Action::LandApply { operator }, next));
    }
    match s.operators[operator] {
        ApplyState::Idle => {
            let mut next = with_apply_state(ApplyState::Sent);
            next.writes[operator] = Some(newest);
            steps.push((Action::SendApply { operator }, next));
        }
        ApplyState::Landed => {
            steps.push((
                Action::AnswerApply { operator },
                with_apply_state(ApplyState::Accepted),
            ));
        }
        ApplyState::Rejected => {
            steps.push((
                Action::AnswerApply { operator },
                with_apply_state(ApplyState::Refused),
            ));
        }
        ApplyState::Sent | ApplyState::Accepted | ApplyState::Refused => {}
    }
    if !matches!(
        s.operators[operator],
        ApplyState::Sent | ApplyState::Landed | ApplyState::Rejected
    ) {
        return;
    }
    if mutation == Some(Mutation::NoReadBack) {
        steps.push((
            Action::LoseAnswer { operator },
            with_apply_state(ApplyState::Refused),
        ));
    }
    if let Some(apply) = read_back(s, mutation, operator) {
        steps.push((Action::ReadBack { operator }, with_apply_state(apply)));
    }
}

/// Applies the pending write of `operator`, an edit of the revision `from`, at
/// the store.
fn apply_write(s: &State, mutation: Option<Mutation>, operator: usize, from: usize) -> State {
    let compares = mutation != Some(Mutation::ApplyWithoutCompare);
    let rejected = compares && from != s.included.len() - 1;
    let mut next = s.clone();
    next.writes[operator] = None;
    if next.operators[operator] == ApplyState::Sent {
        next.operators[operator] = if rejected {
            ApplyState::Rejected
        } else {
            ApplyState::Landed
        };
    }
    if !rejected {
        next.included.push(s.included[from] | 1 << operator);
        next.author.push(operator as u8);
    }
    next
}

/// Returns the outcome that the operator concludes from reading the store; `None`
/// while the write may still take effect.
fn read_back(s: &State, mutation: Option<Mutation>, operator: usize) -> Option<ApplyState> {
    let author = operator as u8;
    let found = match mutation {
        Some(Mutation::LastTokenOnly) => s.author.last() == Some(&author),
        _ => s.author.contains(&author),
    };
    let may_land = s.writes[operator].is_some_and(|from| from == s.included.len() - 1);
    if found {
        return Some(ApplyState::Accepted);
    }
    if may_land && mutation != Some(Mutation::UnchangedMeansRefused) {
        return None;
    }
    Some(ApplyState::Refused)
}

fn instance_steps(
    s: &State,
    mutation: Option<Mutation>,
    instance: usize,
    steps: &mut Vec<(Action, State)>,
) {
    let newest = (s.included.len() - 1) as u8;
    let with_revision = |revision: u8| {
        let mut next = s.clone();
        next.in_force[instance] = Some(revision);
        next.highest[instance] = next.highest[instance].max(revision);
        next
    };
    if let Some(current) = s.in_force[instance] {
        let mut next = s.clone();
        next.in_force[instance] = None;
        steps.push((Action::Replace { instance }, next));
        let accepts_any = mutation == Some(Mutation::LowerRevisionAccepted);
        for revision in 0..=newest {
            if revision > current || accepts_any && revision != current {
                steps.push((
                    Action::Deliver { instance, revision },
                    with_revision(revision),
                ));
            }
        }
        return;
    }
    let oldest = match mutation {
        Some(Mutation::StaleStartRead) => 0,
        _ => newest,
    };
    for revision in oldest..=newest {
        steps.push((
            Action::StartFromStore { instance, revision },
            with_revision(revision),
        ));
    }
    if mutation == Some(Mutation::ServeBeforeRevision) {
        steps.push((
            Action::Deliver {
                instance,
                revision: 0,
            },
            with_revision(0),
        ));
    }
    if mutation == Some(Mutation::StartFromPeer) {
        for revision in s.in_force.iter().flatten().copied() {
            steps.push((
                Action::StartFromPeer { instance, revision },
                with_revision(revision),
            ));
        }
    }
}
