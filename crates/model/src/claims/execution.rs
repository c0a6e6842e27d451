//! An execution of the specification, advanced step by step by a test that
//! compares the production code with it.

use super::{ATTEMPT_COUNT, Action, CASES, Claim, Phase, State, enabled_steps, initial_state};

/// An execution of the protocol without mutation, in its current state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Execution {
    state: State,
}

impl Execution {
    /// Number of attempts.
    pub const ATTEMPT_COUNT: usize = ATTEMPT_COUNT;

    /// Returns the initial state of each case in which the specification is
    /// searched.
    pub fn all_initial() -> Vec<Self> {
        CASES
            .iter()
            .map(|(_, bodies)| Self {
                state: initial_state(*bodies),
            })
            .collect()
    }

    /// Returns the enabled actions, each with its attempt.
    pub fn enabled_actions(&self) -> Vec<(usize, Action)> {
        enabled_steps(&self.state, None)
            .into_iter()
            .map(|(action, _)| action)
            .collect()
    }

    /// Returns the execution after an attempt's action; `None` if the action isn't
    /// enabled.
    pub fn after(&self, action: (usize, Action)) -> Option<Self> {
        enabled_steps(&self.state, None)
            .into_iter()
            .find(|(enabled, _)| *enabled == action)
            .map(|(_, state)| Self { state })
    }

    /// Returns the claim stored under the key.
    pub fn claim(&self) -> Option<Claim> {
        self.state.claim
    }

    /// Returns the phase of the attempt.
    pub fn phase(&self, attempt: usize) -> Phase {
        self.state.attempts[attempt].phase
    }

    /// Returns the body of the attempt.
    pub fn body(&self, attempt: usize) -> u8 {
        self.state.attempts[attempt].body
    }
}
