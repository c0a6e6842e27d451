//! Permits, loads and evictions on one worker, decided by its owner.
//!
//! A permit pins its adapter version until it is released or ends by itself.
//! An adapter version is evicted only when no permit pins it and it is not
//! *uncertain*. It is uncertain after a permit ended without word that the
//! target has ended the request, and after a takeover from an owner that
//! handed nothing over. Only a listing of the engine, asked for late enough,
//! that shows nothing of it running makes it certain again.

mod admission;
mod engine;
mod loads;
mod permits;
mod state;
mod takeover;

pub use engine::{EngineFacts, SlotFacts};
pub use loads::{LoadFault, class_weight};
pub use state::{Policy, Scheduler};

use crate::frequency::Frequency;
use crate::ids::{AdapterVersion, Now, PermitId};
use crate::lease::LeaseState;
use crate::messages::{LoadOutlook, PermitRefusal};
use std::time::Duration;

/// What a decision depends on besides the worker's own state.
#[derive(Clone, Copy, Debug)]
pub struct Cx<'a> {
    /// The time.
    pub now: Now,
    /// What this instance may do as an owner.
    pub lease: LeaseState,
    /// How often adapters are asked for.
    pub frequency: &'a Frequency,
    /// Time that a load asked for now would wait for its turn.
    pub load_outlook: LoadOutlook,
}

/// What the owner has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Tell the asker that it may send.
    Grant {
        /// The permit.
        id: PermitId,
        /// Time that the request waited for a load.
        load_stall: Duration,
    },
    /// Tell the asker that it may not.
    Refuse {
        /// The permit.
        id: PermitId,
        /// Why.
        refusal: PermitRefusal,
    },
    /// Ask the broker for the turn to load, or change the value of an ask.
    AskTurn {
        /// What to load.
        target: AdapterVersion,
        /// Value of the load.
        value: f64,
        /// Longest wait after which the load is still of use.
        patience: Duration,
    },
    /// Withdraw an ask.
    WithdrawTurn {
        /// What would have been loaded.
        target: AdapterVersion,
    },
    /// Tell the broker that a turn is over.
    TurnEnded {
        /// What was loaded.
        target: AdapterVersion,
    },
    /// Order the engine to evict, then to load.
    Order {
        /// What to evict first.
        evict: Option<AdapterVersion>,
        /// What to load.
        load: AdapterVersion,
    },
}
