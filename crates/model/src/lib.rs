//! Executable specifications of the core protocols, explored exhaustively.
//!
//! Each specification is a state machine: an initial state, a function that
//! lists every enabled step with the state that it leads to, and invariants.
//! It is searched in one or more cases, which fix the number of participants and
//! bound the state space. [`search`] visits all reachable states breadth first.
//! Each specification also has mutations, faulty variants of the protocol that
//! leave out one mechanism or assumption, or add one fault. The shortest
//! counterexample of a mutation shows that the invariant can fail and that the
//! mechanism or assumption is needed.
//!
//! | module | what it specifies |
//! |---|---|
//! | [`ownership`] | at most one owner of a worker: table, leases, promises |
//! | [`permits`] | pins, evictions, takeover, fencing, restart of a worker |
//! | [`claims`] | at most one run of a non-idempotent request |
//! | [`configuration`] | revisions of the configuration (the rules): edits, distribution, restarts |
//! | [`orders`] | late orders to an engine of the gateway: never more than its room |
//! | [`coordinator`] | the gateway's coordinator role over a store restored from backups |

pub mod claims;
pub mod configuration;
pub mod coordinator;
pub mod orders;
pub mod ownership;
pub mod permits;
pub mod search;
pub mod spec;
