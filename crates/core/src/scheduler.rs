//! Permits, loads and evictions on one worker, decided by its owner.
//!
//! A permit pins its adapter version until it is released or expires. An
//! adapter version is evicted only when no permit pins it and it is not
//! *uncertain*. It becomes uncertain when a permit ends without confirmation
//! that the request has ended at the target, and when the worker is taken over
//! without a handover from the previous owner. It stays uncertain until a
//! listing of the engine, requested late enough to include any such request,
//! shows no request for the adapter version running.

mod admission;
mod engine;
mod loads;
mod permits;
mod state;
mod takeover;

pub use engine::{EngineListing, SlotListing};
pub use loads::{LoadError, class_weight};
pub use state::{Policy, Scheduler};

use crate::frequency::Frequency;
use crate::ids::{AdapterVersion, Now, PermitId};
use crate::lease::LeaseState;
use crate::messages::{PermitRefusal, TurnWaitEstimate};
use std::time::Duration;

/// The inputs of a decision besides the scheduler's own state.
#[derive(Clone, Copy, Debug)]
pub struct SchedulerContext<'a> {
    /// The current time.
    pub now: Now,
    /// What this instance's lease allows.
    pub lease: LeaseState,
    /// Request counts of adapters.
    pub frequency: &'a Frequency,
    /// Expected wait for a load turn.
    pub turn_wait: TurnWaitEstimate,
}

/// An action that the owner has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Grant the permit to the requesting instance.
    Grant {
        /// The permit.
        id: PermitId,
        /// Time that the request waited for a load.
        load_stall: Duration,
    },
    /// Refuse the permit to the requesting instance.
    Refuse {
        /// The permit.
        id: PermitId,
        /// Reason and time to wait.
        refusal: PermitRefusal,
    },
    /// Request a load turn from the broker, or update the value of the request.
    RequestTurn {
        /// The adapter version to load.
        target: AdapterVersion,
        /// Value of the load.
        value: f64,
        /// Longest wait for the turn with which the load still serves a waiting
        /// request.
        patience: Duration,
    },
    /// Withdraw the request for a load turn.
    WithdrawTurn {
        /// The adapter version no longer wanted.
        target: AdapterVersion,
    },
    /// Report the end of a load turn to the broker.
    EndTurn {
        /// The adapter version whose turn ended.
        target: AdapterVersion,
    },
    /// Send the engine an order to evict, if any, then one to load.
    Order {
        /// The adapter version to evict first.
        evict: Option<AdapterVersion>,
        /// The adapter version to load.
        load: AdapterVersion,
    },
}
