//! Objects whose histories must be linearizable: a caller's key, which takes
//! one run for good, and the rules document, which is swapped.

use super::{Broken, CallRecord, Told};
use std::collections::BTreeMap;
use todc_utils::{Action, History, Specification, WGLChecker};

/// An operation on the rules document.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CasOperation {
    /// Swapped from one revision to the next.
    Applied {
        /// The revision that was edited.
        from: u64,
        /// The revision that came of it.
        to: u64,
    },
    /// Not swapped, because this other revision was in force.
    Lost {
        /// The revision that was edited.
        from: u64,
        /// The revision in force.
        current: u64,
    },
    /// Read.
    Read(u64),
}

/// Revisions of the rules document.
struct Document;

impl Specification for Document {
    type State = u64;
    type Operation = CasOperation;

    fn init() -> u64 {
        0
    }

    fn apply(op: &CasOperation, state: &u64) -> (bool, u64) {
        match *op {
            CasOperation::Applied { from, to } => (from == *state && to == from + 1, to),
            CasOperation::Lost { from, current } => (from != *state && current == *state, *state),
            CasOperation::Read(revision) => (revision == *state, *state),
        }
    }
}

/// A key: the attempt that ran under it, once one did.
struct Key;

impl Specification for Key {
    type State = Option<Box<str>>;
    /// The attempt whose answer was given.
    type Operation = Box<str>;

    fn init() -> Self::State {
        None
    }

    fn apply(op: &Box<str>, state: &Self::State) -> (bool, Self::State) {
        let fits = state.as_ref().is_none_or(|ran| ran == op);
        (fits, Some(op.clone()))
    }
}

/// Whether there is an order of the operations, each within its own time,
/// that a document swapped in place allows. `operations` are in the order of
/// their begins and ends, each with the number of its caller, who makes one
/// operation at a time.
#[must_use]
pub fn revisions_linearizable(operations: Vec<(usize, Action<CasOperation>)>) -> bool {
    operations.is_empty()
        || WGLChecker::<Document>::is_linearizable(History::from_actions(operations))
}

/// Whether the answers under one key allow that one attempt ran.
#[must_use]
pub fn keys_linearizable(calls: &[&CallRecord]) -> bool {
    let done = calls.iter().filter(|call| call.told == Told::Done);
    let mut actions: Vec<_> = done
        .enumerate()
        .flat_map(|(caller, call)| {
            let attempt = &call.attempt;
            [
                (call.began, caller, Action::Call(attempt.clone())),
                (call.ended, caller, Action::Response(attempt.clone())),
            ]
        })
        .collect();
    actions.sort_by_key(|(at, ..)| *at);
    let actions: Vec<_> = actions.into_iter().map(|(_, c, a)| (c, a)).collect();
    actions.is_empty() || WGLChecker::<Key>::is_linearizable(History::from_actions(actions))
}

/// Keys whose answers contradict each other.
pub(super) fn contradictions(calls: &[CallRecord]) -> Vec<Broken> {
    let mut keys: BTreeMap<&str, Vec<&CallRecord>> = BTreeMap::new();
    for call in calls {
        if let Some(key) = &call.asked.key {
            keys.entry(key).or_default().push(call);
        }
    }
    let wrong = keys.iter().filter(|(_, calls)| !keys_linearizable(calls));
    wrong.map(|(key, _)| Broken::Key((*key).into())).collect()
}
