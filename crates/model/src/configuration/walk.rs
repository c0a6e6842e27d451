//! One run of the specification, taken step by step by a test that drives the
//! production decisions along.

use super::{Action, INSTANCES, State, next, start};

/// A run of the specification as designed.
#[derive(Clone, Debug)]
pub struct Walk {
    state: State,
}

impl Walk {
    /// Number of instances.
    pub const INSTANCES: usize = INSTANCES;

    /// The start.
    #[must_use]
    pub fn start() -> Self {
        Self { state: start() }
    }

    /// The actions that are possible now.
    #[must_use]
    pub fn steps(&self) -> Vec<Action> {
        let steps = next(&self.state, None).into_iter();
        steps.map(|(action, _)| action).collect()
    }

    /// The run after one of [`Self::steps`]; `None` if it isn't possible.
    #[must_use]
    pub fn after(&self, action: Action) -> Option<Self> {
        next(&self.state, None)
            .into_iter()
            .find(|(possible, _)| *possible == action)
            .map(|(_, state)| Self { state })
    }

    /// The revision in force at an instance, `None` while it starts.
    #[must_use]
    pub fn in_force(&self, instance: usize) -> Option<u8> {
        self.state.in_force[instance]
    }

    /// The newest revision in the store.
    #[must_use]
    pub fn newest(&self) -> u8 {
        (self.state.included.len() - 1) as u8
    }
}
