//! Linearizability checks of two objects: an idempotency key, which is bound
//! to its first attempt permanently, and the rules document, which changes by
//! compare-and-swap.

use super::{BrokenGuarantee, CallOutcome, CallRecord};
use std::collections::BTreeMap;
use todc_utils::{Action, History, Specification, WGLChecker};

/// An operation on the rules document.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CasOperation {
    /// A swap that succeeded.
    Applied {
        /// The revision that was edited.
        from: u64,
        /// The resulting revision.
        to: u64,
    },
    /// A swap that failed because another revision was in force.
    Conflict {
        /// The revision that was edited.
        from: u64,
        /// The revision in force.
        current: u64,
    },
    /// A read of the revision in force.
    Read(u64),
}

/// Specification of the rules document: the state is its revision.
struct RulesSpecification;

impl Specification for RulesSpecification {
    type State = u64;
    type Operation = CasOperation;

    fn init() -> u64 {
        0
    }

    fn apply(op: &CasOperation, state: &u64) -> (bool, u64) {
        match *op {
            CasOperation::Applied { from, to } => (from == *state && to == from + 1, to),
            CasOperation::Conflict { from, current } => {
                (from != *state && current == *state, *state)
            }
            CasOperation::Read(revision) => (revision == *state, *state),
        }
    }
}

/// Specification of an idempotency key: the state is the attempt that ran
/// under it, if any.
struct KeySpecification;

impl Specification for KeySpecification {
    type State = Option<Box<str>>;
    /// The attempt that a response names.
    type Operation = Box<str>;

    fn init() -> Self::State {
        None
    }

    fn apply(op: &Box<str>, state: &Self::State) -> (bool, Self::State) {
        let fits = state.as_ref().is_none_or(|ran| ran == op);
        (fits, Some(op.clone()))
    }
}

/// Returns whether the operations on the rules document are linearizable.
/// `operations` are the begins and ends in the order of their occurrence, each
/// with the number of its caller; a caller performs one operation at a time.
#[must_use]
pub fn revisions_linearizable(operations: Vec<(usize, Action<CasOperation>)>) -> bool {
    operations.is_empty()
        || WGLChecker::<RulesSpecification>::is_linearizable(History::from_actions(operations))
}

/// Returns whether the complete responses under one idempotency key are
/// consistent with a single attempt.
#[must_use]
pub fn keys_linearizable(calls: &[&CallRecord]) -> bool {
    let done = calls
        .iter()
        .filter(|call| call.outcome == CallOutcome::Done);
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
    actions.is_empty()
        || WGLChecker::<KeySpecification>::is_linearizable(History::from_actions(actions))
}

/// Returns the keys whose responses contradict each other.
pub(super) fn key_conflicts(calls: &[CallRecord]) -> Vec<BrokenGuarantee> {
    let mut keys: BTreeMap<&str, Vec<&CallRecord>> = BTreeMap::new();
    for call in calls {
        if let Some(key) = &call.request.key {
            keys.entry(key).or_default().push(call);
        }
    }
    let wrong = keys.iter().filter(|(_, calls)| !keys_linearizable(calls));
    wrong
        .map(|(key, _)| BrokenGuarantee::KeyConflict((*key).into()))
        .collect()
}
