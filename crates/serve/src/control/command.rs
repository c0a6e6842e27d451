//! What reaches the control thread.

use crate::operators::InstanceReport;
use crate::peer::RulesText;
use reedford_core::broker::LoadKey;
use reedford_core::messages::{
    Handover, PermitRequest, PermitResponse, Release, Summary, SummaryResponse, TurnRequest,
    TurnResponse,
};
use reedford_core::scheduler::{EngineListing, LoadError};
use reedford_core::{AdapterVersion, Epoch, InstanceId, Now, WorkerId};
use reedford_rules::RulesDocument;
use reedford_store::{DocumentError, KvError, Listing, Swapped};
use reedford_wire::instances::InstanceList;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use tokio::sync::{mpsc, oneshot};

/// Sends commands to the control thread.
pub(crate) type CommandTx = mpsc::Sender<Command>;

/// A command from traffic, peers or operators.
#[derive(Debug)]
pub(crate) enum Command {
    HandOver(Handover),
    Permit {
        req: PermitRequest,
        reply: oneshot::Sender<PermitResponse>,
    },
    Release(Release),
    Report {
        reply: oneshot::Sender<InstanceReport>,
    },
    Revalue(TurnRequest),
    Rules {
        reply: oneshot::Sender<Option<RulesText>>,
    },
    /// Hand everything over; answered once that is done.
    Stop {
        reply: oneshot::Sender<()>,
    },
    Summary {
        summary: Summary,
        reply: oneshot::Sender<SummaryResponse>,
    },
    Turn {
        req: TurnRequest,
        reply: oneshot::Sender<TurnResponse>,
    },
    TurnEnded(LoadKey),
}

/// The end of a task that the control thread started.
#[derive(Debug)]
pub(crate) enum Event {
    /// Nothing has to be decided on it.
    Done,
    Evicted {
        worker: WorkerId,
        epoch: Epoch,
        target: AdapterVersion,
        eviction: Eviction,
    },
    Exchanged {
        peer: Peer,
        sent: Now,
        answer: Option<SummaryResponse>,
    },
    FenceRaised {
        worker: WorkerId,
        epoch: Epoch,
        raised: bool,
    },
    Instances(Result<InstanceList, KvError>),
    Intent {
        worker: WorkerId,
        epoch: Epoch,
        taken: Option<IntentTaken>,
    },
    Listing {
        worker: WorkerId,
        epoch: Epoch,
        sent: Now,
        facts: Option<EngineListing>,
    },
    Loaded {
        worker: WorkerId,
        epoch: Epoch,
        target: AdapterVersion,
        outcome: Result<(), LoadError>,
    },
    RulesRead(Result<Option<RulesDocument>, RulesError>),
    Swapped {
        result: Result<Swapped, KvError>,
    },
    TableRead {
        sent: Now,
        result: Result<Listing, KvError>,
    },
    Turn {
        key: LoadKey,
        said: TurnResponse,
    },
}

/// A peer to which something was sent.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) instance: InstanceId,
    pub(crate) address: SocketAddr,
}

/// What became of an order to evict.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Eviction {
    /// The adapter version is gone.
    Gone,
    /// The order had no effect and never will.
    Kept,
    /// The order may have taken effect, or may still.
    Unknown,
}

/// The eviction intents found when a worker was taken over.
#[derive(Debug)]
pub(crate) struct IntentTaken {
    pub(crate) revision: i64,
    pub(crate) evicting: BTreeSet<AdapterVersion>,
}

/// Why rules could not be read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RulesError {
    /// The store failed.
    #[error(transparent)]
    Document(#[from] DocumentError),
    /// A peer that offered them did not give them.
    #[error("a peer did not answer")]
    Peer,
    /// The text has faults.
    #[error("the rules have faults")]
    Faults,
}
