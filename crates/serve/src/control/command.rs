//! Inputs of the control thread: commands from other threads, and the results
//! of its own tasks.

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
use reedford_store::{DocumentError, KvError, Listing, TransactionOutcome};
use reedford_wire::instances::InstanceList;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use tokio::sync::{mpsc, oneshot};

/// Sends commands to the control thread.
pub(crate) type CommandTx = mpsc::Sender<Command>;

/// A command from traffic, peers or operators.
#[derive(Debug)]
pub(crate) enum Command {
    /// Takes over a worker with the state of its previous owner.
    HandOver(Handover),
    /// A request for a permit on an owned worker.
    Permit {
        req: PermitRequest,
        reply: oneshot::Sender<PermitResponse>,
    },
    /// Returns a permit, or withdraws the request for it.
    Release(Release),
    /// Reads this instance's status for operators.
    Report {
        reply: oneshot::Sender<InstanceReport>,
    },
    /// Changes the value of a load that is queued at this instance as the
    /// broker.
    Revalue(TurnRequest),
    /// Reads the rules in force.
    Rules {
        reply: oneshot::Sender<Option<RulesText>>,
    },
    /// Hands all workers over and leaves the table; the reply follows when
    /// that is complete.
    Stop { reply: oneshot::Sender<()> },
    /// A peer's periodic summary.
    Summary {
        summary: Summary,
        reply: oneshot::Sender<SummaryResponse>,
    },
    /// A peer's request for a load turn, for this instance as the broker.
    Turn {
        req: TurnRequest,
        reply: oneshot::Sender<TurnResponse>,
    },
    /// A load has ended or was withdrawn, for this instance as the broker.
    TurnEnded(LoadKey),
}

/// The result of a task that the control thread started.
#[derive(Debug)]
pub(crate) enum Event {
    /// The task's result needs no handling.
    Done,
    Evicted {
        worker: WorkerId,
        epoch: Epoch,
        target: AdapterVersion,
        eviction: EvictionOutcome,
    },
    Exchanged {
        peer: PeerEndpoint,
        sent: Now,
        response: Option<SummaryResponse>,
    },
    FenceRaised {
        worker: WorkerId,
        epoch: Epoch,
        raised: bool,
    },
    Instances(Result<InstanceList, KvError>),
    IntentsClaimed {
        worker: WorkerId,
        epoch: Epoch,
        claimed: Option<ClaimedIntents>,
    },
    Listing {
        worker: WorkerId,
        epoch: Epoch,
        sent: Now,
        listing: Option<EngineListing>,
    },
    Loaded {
        worker: WorkerId,
        epoch: Epoch,
        target: AdapterVersion,
        outcome: Result<(), LoadError>,
    },
    RulesRead(Result<Option<RulesDocument>, RulesError>),
    TableSwapped {
        result: Result<TransactionOutcome, KvError>,
    },
    TableRead {
        sent: Now,
        result: Result<Listing, KvError>,
    },
    TurnResponse {
        key: LoadKey,
        response: TurnResponse,
    },
}

/// A peer and the address at which it serves other entry instances.
#[derive(Clone, Debug)]
pub(crate) struct PeerEndpoint {
    pub(crate) instance: InstanceId,
    pub(crate) address: SocketAddr,
}

/// Result of an order to evict. The variants' names are logged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum EvictionOutcome {
    /// The adapter version is no longer resident.
    Gone,
    /// The order had no effect and never will.
    Kept,
    /// The order may have taken effect, or still may.
    Unknown,
}

/// The intent record of a worker, as found when this instance claimed it.
#[derive(Debug)]
pub(crate) struct ClaimedIntents {
    /// Store revision of the record that this instance wrote.
    pub(crate) revision: i64,
    /// Evictions of previous owners that may still take effect.
    pub(crate) evicting: BTreeSet<AdapterVersion>,
}

/// Why rules could not be read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RulesError {
    /// The store failed.
    #[error(transparent)]
    Document(#[from] DocumentError),
    /// A call to a peer with a newer revision failed, or the peer has no rules.
    #[error("a peer did not return its rules")]
    Peer,
    /// The text is not valid.
    #[error("the rules have faults")]
    Faults,
}
