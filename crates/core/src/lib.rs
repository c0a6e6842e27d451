//! The decision logic of an entry instance, without I/O.
//!
//! Each module is a state machine: the caller passes events and the current
//! time and carries out the returned actions. Time is passed as a [`Now`], so
//! that tests can control it.
//!
//! | module | decides |
//! |---|---|
//! | [`table`] | which instance owns a worker, in a table changed by compare-and-swap |
//! | [`lease`] | whether this instance may still act as an owner |
//! | [`scheduler`] | permits, loads and evictions on one worker |
//! | [`broker`] | which queued load starts next, in all reachable zones |
//! | [`placement`] | which workers to try for a request, in order |
//! | [`claims`] | whether a request that is not repeatable may run |
//! | [`limits`] | which requests exceed a rate limit |
//! | [`retry`] | whether a failed attempt may be retried |

pub mod broker;
pub mod claims;
pub mod frequency;
pub mod ids;
pub mod lease;
pub mod limits;
pub mod messages;
pub mod placement;
pub mod rendezvous;
pub mod retry;
pub mod scheduler;
pub mod table;

pub use ids::{
    AdapterVersion, Epoch, Era, GroupName, Incarnation, InstanceId, Now, PermitId, WorkerId, ZoneId,
};
