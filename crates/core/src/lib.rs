//! The decisions of an entry instance, without input or output.
//!
//! Each module is one state machine that takes events and the time, and
//! answers with actions for its caller to carry out. Time is a [`Now`], the
//! time since the process started, so that tests drive it as they like.
//!
//! | module | decides |
//! |---|---|
//! | [`table`] | who owns a worker, as a value changed by compare-and-swap |
//! | [`lease`] | whether this instance may still act as an owner |
//! | [`scheduler`] | permits, loads and evictions on one worker |
//! | [`broker`] | which load of the zone goes next |
//! | [`placement`] | which worker to ask for a request |
//! | [`claims`] | whether a non-idempotent request may run |
//! | [`limits`], [`retry`] | what is refused, what is tried again |

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
    AdapterVersion, Epoch, GroupName, Incarnation, InstanceId, Now, PermitId, WorkerId, ZoneId,
};
