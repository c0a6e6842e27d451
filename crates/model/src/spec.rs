//! The closed list of specifications, for the program and the tests.

use crate::search::Outcome;
use crate::{claims, configuration, ownership, permits};

/// A specification.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Spec {
    /// See [`ownership`].
    Ownership,
    /// See [`permits`].
    Permits,
    /// See [`claims`].
    Claims,
    /// See [`configuration`].
    Configuration,
}

impl Spec {
    /// All specifications.
    pub const ALL: [Self; 4] = [
        Self::Ownership,
        Self::Permits,
        Self::Claims,
        Self::Configuration,
    ];

    /// The invariants that are checked in every state.
    pub fn invariants(self) -> &'static [&'static str] {
        match self {
            Self::Ownership => &ownership::INVARIANTS,
            Self::Permits => &permits::INVARIANTS,
            Self::Claims => &claims::INVARIANTS,
            Self::Configuration => &configuration::INVARIANTS,
        }
    }

    /// Names of the mutations.
    pub fn mutations(self) -> Vec<Box<str>> {
        match self {
            Self::Ownership => names(&ownership::Mutation::ALL),
            Self::Permits => names(&permits::Mutation::ALL),
            Self::Claims => names(&claims::Mutation::ALL),
            Self::Configuration => names(&configuration::Mutation::ALL),
        }
    }

    /// Searches the protocol as designed, one outcome for each instance.
    pub fn check(self) -> Vec<Outcome> {
        match self {
            Self::Ownership => ownership::check(None),
            Self::Permits => permits::check(None),
            Self::Claims => claims::check(None),
            Self::Configuration => configuration::check(None),
        }
    }

    /// Searches the protocol with the named mutation; `None` for an unknown
    /// name. The outcomes end with the first that has a counterexample.
    pub fn check_mutation(self, name: &str) -> Option<Vec<Outcome>> {
        match self {
            Self::Ownership => {
                named(&ownership::Mutation::ALL, name).map(|m| ownership::check(Some(m)))
            }
            Self::Permits => named(&permits::Mutation::ALL, name).map(|m| permits::check(Some(m))),
            Self::Claims => named(&claims::Mutation::ALL, name).map(|m| claims::check(Some(m))),
            Self::Configuration => {
                named(&configuration::Mutation::ALL, name).map(|m| configuration::check(Some(m)))
            }
        }
    }
}

fn names<M>(all: &[M]) -> Vec<Box<str>>
where
    M: std::fmt::Debug,
{
    all.iter()
        .map(|m| format!("{m:?}").into_boxed_str())
        .collect()
}

fn named<M>(all: &[M], name: &str) -> Option<M>
where
    M: Copy + std::fmt::Debug,
{
    all.iter().copied().find(|m| format!("{m:?}") == name)
}
