//! Executable specifications of the core protocols, explored exhaustively.
//!
//! Each specification is a state machine: an initial state, a function that
//! lists every enabled step with the state that it leads to, and invariants.
//! It is checked in one or more instances, which fix the number of participants
//! and bound the state space. [`search`] visits all reachable states breadth
//! first. Each specification also has mutations, faulty variants of the
//! protocol that leave out one mechanism. The shortest counterexample of a
//! mutation shows that the invariant can fail and that the mechanism is needed.
//!
//! | module | what it specifies |
//! |---|---|
//! | [`ownership`] | at most one owner of a worker: table, leases, promises |
//! | [`permits`] | pins, evictions, takeover, fencing, restart of a worker |
//! | [`claims`] | at most one run of a non-idempotent request |
//! | [`configuration`] | configuration revisions: edits, distribution, restarts |

pub mod claims;
pub mod configuration;
pub mod ownership;
pub mod permits;
pub mod search;
pub mod spec;
