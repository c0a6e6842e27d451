//! Revisions of the configuration: two operators that edit at the same time,
//! two instances that learn revisions late, in any order and from any source,
//! and that are replaced.
//!
//! The store's value carries the tokens of the applies it includes, so that a
//! lost answer can be settled even after somebody else applied on top.

mod walk;

pub use walk::Walk;

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
    /// An instance takes whatever revision it hears of.
    LowerRevisionAccepted,
    /// A new instance takes its first revision from a peer alone.
    StartFromPeer,
    /// The first read of a new instance may be served by a lagging replica.
    StaleStartRead,
    /// A new instance serves with the built-in revision until it has one.
    ServeBeforeRevision,
    /// An apply writes without comparing the revision it was edited from.
    ApplyWithoutCompare,
    /// An apply whose answer was lost is reported as refused.
    NoReadBack,
    /// A read-back that finds the store unchanged is taken as final, though
    /// the write may land later.
    UnchangedMeansRefused,
    /// The read-back looks only at the token of the last apply.
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

const OPERATORS: usize = 2;
const INSTANCES: usize = 2;

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Apply {
    Idle,
    Sent,
    Landed,
    Rejected,
    Accepted,
    Refused,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct State {
    /// For each revision, the operators whose change it includes.
    included: Vec<u8>,
    /// For each revision, the operator that applied it.
    author: Vec<u8>,
    operators: [Apply; OPERATORS],
    /// Writes on their way, with the revision that they compare. A write may
    /// land after its sender has given up.
    writes: [Option<usize>; OPERATORS],
    /// Revision in force, `None` while an instance starts.
    in_force: [Option<u8>; INSTANCES],
    /// Highest revision that was ever in force at each place.
    highest: [u8; INSTANCES],
}

/// A step of the specification.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// An operator sends an apply.
    SendApply {
        /// The operator.
        operator: usize,
    },
    /// The write of an apply reaches the store.
    LandApply {
        /// The operator.
        operator: usize,
    },
    /// The operator gets the store's answer.
    AnswerApply {
        /// The operator.
        operator: usize,
    },
    /// The store's answer is lost.
    LoseAnswer {
        /// The operator.
        operator: usize,
    },
    /// The operator reads back what became of the apply.
    ReadBack {
        /// The operator.
        operator: usize,
    },
    /// An instance hears of a revision, from any source, and takes it.
    Deliver {
        /// The instance.
        instance: usize,
        /// The revision.
        revision: u8,
    },
    /// A new instance takes the place of one.
    Replace {
        /// The instance.
        instance: usize,
    },
    /// A new instance takes its first revision from the store.
    StartFromStore {
        /// The instance.
        instance: usize,
        /// The revision.
        revision: u8,
    },
    /// A new instance takes its first revision from a peer.
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
        &start(),
        |s| next(s, mutation),
        broken,
    )]
}

fn start() -> State {
    State {
        included: vec![0],
        author: vec![u8::MAX],
        operators: [Apply::Idle; OPERATORS],
        writes: [None; OPERATORS],
        in_force: [Some(0); INSTANCES],
        highest: [0; INSTANCES],
    }
}

fn broken(s: &State) -> Option<&'static str> {
    let falls = (0..INSTANCES).any(|i| s.in_force[i].is_some_and(|r| r < s.highest[i]));
    let told = |outcome: Apply| (0..OPERATORS).filter(move |&o| s.operators[o] == outcome);
    let applied = |o: usize| s.author.contains(&(o as u8));
    let kept = |o: usize| s.included.last().is_some_and(|m| m & 1 << o != 0);
    if falls {
        return Some(INVARIANTS[0]);
    }
    if told(Apply::Refused).any(applied) {
        return Some(INVARIANTS[1]);
    }
    if told(Apply::Accepted).any(|o| !applied(o)) {
        return Some(INVARIANTS[2]);
    }
    told(Apply::Accepted)
        .any(|o| !kept(o))
        .then_some(INVARIANTS[3])
}

fn next(s: &State, mutation: Option<Mutation>) -> Vec<(Action, State)> {
    let mut steps = Vec::new();
    for operator in 0..OPERATORS {
        operator_steps(s, mutation, operator, &mut steps);
    }
    for instance in 0..INSTANCES {
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
    let becomes = |apply| {
        let mut t = s.clone();
        t.operators[operator] = apply;
        t
    };
    if let Some(from) = s.writes[operator] {
        let t = land_apply(s, mutation, operator, from);
        steps.push((Action::LandApply { operator }, t));
    }
    match s.operators[operator] {
        Apply::Idle => {
            let mut t = becomes(Apply::Sent);
            t.writes[operator] = Some(newest);
            steps.push((Action::SendApply { operator }, t));
        }
        Apply::Landed => {
            steps.push((Action::AnswerApply { operator }, becomes(Apply::Accepted)));
        }
        Apply::Rejected => {
            steps.push((Action::AnswerApply { operator }, becomes(Apply::Refused)));
        }
        Apply::Sent | Apply::Accepted | Apply::Refused => {}
    }
    if !matches!(
        s.operators[operator],
        Apply::Sent | Apply::Landed | Apply::Rejected
    ) {
        return;
    }
    if mutation == Some(Mutation::NoReadBack) {
        steps.push((Action::LoseAnswer { operator }, becomes(Apply::Refused)));
    }
    if let Some(apply) = read_back(s, mutation, operator) {
        steps.push((Action::ReadBack { operator }, becomes(apply)));
    }
}

fn land_apply(s: &State, mutation: Option<Mutation>, operator: usize, from: usize) -> State {
    let compares = mutation != Some(Mutation::ApplyWithoutCompare);
    let rejected = compares && from != s.included.len() - 1;
    let mut t = s.clone();
    t.writes[operator] = None;
    if t.operators[operator] == Apply::Sent {
        t.operators[operator] = if rejected {
            Apply::Rejected
        } else {
            Apply::Landed
        };
    }
    if !rejected {
        t.included.push(s.included[from] | 1 << operator);
        t.author.push(operator as u8);
    }
    t
}

/// What the operator concludes from reading the store; `None` when the write
/// may still land.
fn read_back(s: &State, mutation: Option<Mutation>, operator: usize) -> Option<Apply> {
    let me = operator as u8;
    let found = match mutation {
        Some(Mutation::LastTokenOnly) => s.author.last() == Some(&me),
        _ => s.author.contains(&me),
    };
    let may_land = s.writes[operator].is_some_and(|from| from == s.included.len() - 1);
    if found {
        return Some(Apply::Accepted);
    }
    if may_land && mutation != Some(Mutation::UnchangedMeansRefused) {
        return None;
    }
    Some(Apply::Refused)
}

fn instance_steps(
    s: &State,
    mutation: Option<Mutation>,
    instance: usize,
    steps: &mut Vec<(Action, State)>,
) {
    let newest = (s.included.len() - 1) as u8;
    let takes = |revision: u8| {
        let mut t = s.clone();
        t.in_force[instance] = Some(revision);
        t.highest[instance] = t.highest[instance].max(revision);
        t
    };
    if let Some(held) = s.in_force[instance] {
        let mut t = s.clone();
        t.in_force[instance] = None;
        steps.push((Action::Replace { instance }, t));
        let accepts_lower = mutation == Some(Mutation::LowerRevisionAccepted);
        for revision in 0..=newest {
            if revision > held || accepts_lower && revision != held {
                steps.push((Action::Deliver { instance, revision }, takes(revision)));
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
            takes(revision),
        ));
    }
    if mutation == Some(Mutation::ServeBeforeRevision) {
        steps.push((
            Action::Deliver {
                instance,
                revision: 0,
            },
            takes(0),
        ));
    }
    if mutation == Some(Mutation::StartFromPeer) {
        for revision in s.in_force.iter().flatten().copied() {
            steps.push((
                Action::StartFromPeer { instance, revision },
                takes(revision),
            ));
        }
    }
}
