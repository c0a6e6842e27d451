//! An execution of the specification, advanced step by step by a test that
//! compares the production code with it.

use super::{Action, INSTANCE_COUNT, State, enabled_steps, initial_state};

/// An execution of the protocol without mutation, in its current state.
#[derive(Clone, Debug)]
pub struct Execution {
    state: State,
}

impl Execution {
    /// Number of instances.
    pub const INSTANCE_COUNT: usize = INSTANCE_COUNT;

    /// Returns the initial state.
    #[must_use]
    pub fn initial() -> Self {
        Self {
            state: initial_state(),
        }
    }

    /// Returns the enabled actions.
    #[must_use]
    pub fn enabled_actions(&self) -> Vec<Action> {
        let steps = enabled_steps(&self.state, None).into_iter();
        steps.map(|(action, _)| action).collect()
    }

    /// Returns the execution after `action`; `None` if the action isn't enabled.
    #[must_use]
    pub fn after(&self, action: Action) -> Option<Self> {
        enabled_steps(&self.state, None)
            .into_iter()
            .find(|(enabled, _)| *enabled == action)
            .map(|(_, state)| Self { state })
    }

    /// Returns the revision in force on an instance; `None` while it starts.
    #[must_use]
    pub fn in_force(&self, instance: usize) -> Option<u8> {
        self.state.in_force[instance]
    }

    /// Returns the latest revision in the store.
    #[must_use]
    pub fn latest_revision(&self) -> u8 {
        (self.state.included.len() - 1) as u8
    }
}
