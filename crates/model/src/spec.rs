//! The list of specifications, for the program and the tests.

use crate::search::Outcome;
use crate::{claims, configuration, coordinator, orders, ownership, permits};

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
    /// See [`orders`].
    Orders,
    /// See [`coordinator`].
    Coordinator,
}

impl Spec {
    /// All specifications.
    pub const ALL: [Self; 6] = [
        Self::Ownership,
        Self::Permits,
        Self::Claims,
        Self::Configuration,
        Self::Orders,
        Self::Coordinator,
    ];

    /// Returns the invariants, each of which is checked in every state.
    pub fn invariants(self) -> &'static [&'static str] {
        match self {
            Self::Ownership => &ownership::INVARIANTS,
            Self::Permits => &permits::INVARIANTS,
            Self::Claims => &claims::INVARIANTS,
            Self::Configuration => &configuration::INVARIANTS,
            Self::Orders => &orders::INVARIANTS,
            Self::Coordinator => &coordinator::INVARIANTS,
        }
    }

    /// Returns the names of the mutations.
    pub fn mutations(self) -> Vec<Box<str>> {
        match self {
            Self::Ownership => debug_names(&ownership::Mutation::ALL),
            Self::Permits => debug_names(&permits::Mutation::ALL),
            Self::Claims => debug_names(&claims::Mutation::ALL),
            Self::Configuration => debug_names(&configuration::Mutation::ALL),
            Self::Orders => debug_names(&orders::Mutation::ALL),
            Self::Coordinator => debug_names(&coordinator::Mutation::ALL),
        }
    }

    /// Searches the protocol without mutation. Returns one outcome for each case.
    pub fn check(self) -> Vec<Outcome> {
        match self {
            Self::Ownership => ownership::check(None),
            Self::Permits => permits::check(None),
            Self::Claims => claims::check(None),
            Self::Configuration => configuration::check(None),
            Self::Orders => orders::check(None),
            Self::Coordinator => coordinator::check(None),
        }
    }

    /// Searches the protocol with the mutation called `name`. The outcomes end
    /// with the first that has a counterexample.
    ///
    /// Returns `None` for an unknown name.
    pub fn check_mutation(self, name: &str) -> Option<Vec<Outcome>> {
        match self {
            Self::Ownership => find_by_debug_name(&ownership::Mutation::ALL, name)
                .map(|m| ownership::check(Some(m))),
            Self::Permits => {
                find_by_debug_name(&permits::Mutation::ALL, name).map(|m| permits::check(Some(m)))
            }
            Self::Claims => {
                find_by_debug_name(&claims::Mutation::ALL, name).map(|m| claims::check(Some(m)))
            }
            Self::Configuration => find_by_debug_name(&configuration::Mutation::ALL, name)
                .map(|m| configuration::check(Some(m))),
            Self::Orders => {
                find_by_debug_name(&orders::Mutation::ALL, name).map(|m| orders::check(Some(m)))
            }
            Self::Coordinator => find_by_debug_name(&coordinator::Mutation::ALL, name)
                .map(|m| coordinator::check(Some(m))),
        }
    }
}

fn debug_names<M>(all: &[M]) -> Vec<Box<str>>
where
    M: std::fmt::Debug,
{
    all.iter()
        .map(|m| format!("{m:?}").into_boxed_str())
        .collect()
}

fn find_by_debug_name<M>(all: &[M], name: &str) -> Option<M>
where
    M: Copy + std::fmt::Debug,
{
    all.iter().copied().find(|m| format!("{m:?}") == name)
}
