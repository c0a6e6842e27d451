//! Specification of the core protocol, explored exhaustively.
//!
//! Each specification is a state machine: a start state, a function that lists
//! every step with the state it leads to, and invariants. [`search`] visits
//! all reachable states breadth first. Each specification also has mutations,
//! faulty variants of the protocol, whose shortest counterexample shows that
//! the invariant can fail and that the mechanism is needed.
//!
//! | module | what it specifies |
//! |---|---|
//! | [`ownership`] | who may load and evict on a worker: table, lease, promises |
//! | [`permits`] | pins, evictions, takeover, fencing, restart of a worker |
//! | [`claims`] | at most one run of a non-idempotent request |
//! | [`configuration`] | revisions of the configuration |

pub mod claims;
pub mod configuration;
pub mod ownership;
pub mod permits;
pub mod search;
pub mod spec;
