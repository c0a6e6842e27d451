//! One run through the specification, step by step, for comparing the
//! production code with it.

use super::{ATTEMPTS, Action, BODIES, Claim, Phase, State, next, start};

/// A run of the protocol as designed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Walk {
    state: State,
}

impl Walk {
    /// Number of attempts.
    pub const ATTEMPTS: usize = ATTEMPTS;

    /// The starts of all instances.
    pub fn starts() -> Vec<Self> {
        BODIES
            .iter()
            .map(|(_, bodies)| Self {
                state: start(*bodies),
            })
            .collect()
    }

    /// The attempts and actions that are possible now.
    pub fn steps(&self) -> Vec<(usize, Action)> {
        next(&self.state, None)
            .into_iter()
            .map(|(step, _)| step)
            .collect()
    }

    /// The run after one of [`Self::steps`]; `None` if it isn't possible.
    pub fn after(&self, step: (usize, Action)) -> Option<Self> {
        next(&self.state, None)
            .into_iter()
            .find(|(possible, _)| *possible == step)
            .map(|(_, state)| Self { state })
    }

    /// The record under the key.
    pub fn claim(&self) -> Option<Claim> {
        self.state.claim
    }

    /// Where the attempt stands.
    pub fn phase(&self, attempt: usize) -> Phase {
        self.state.attempts[attempt].phase
    }

    /// The body of the attempt.
    pub fn body(&self, attempt: usize) -> u8 {
        self.state.attempts[attempt].body
    }
}
