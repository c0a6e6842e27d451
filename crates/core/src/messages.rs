//! Messages between entry instances, and parts of them.

use crate::ids::{
    AdapterVersion, Epoch, GroupName, Incarnation, InstanceId, PermitId, WorkerId, ZoneId,
};
use reedford_rules::Class;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Shortest wait named in a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Requests from a worker's owner a permit to send one request to the worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PermitRequest {
    /// Chosen by the requesting instance.
    pub id: PermitId,
    /// The worker.
    pub worker: WorkerId,
    /// The adapter version to run.
    pub target: AdapterVersion,
    /// Class of the request.
    pub class: Class,
    /// Time left until the caller's deadline when this message was sent.
    pub remaining: Duration,
    /// Expected time from dispatch to the end of the response, if the request
    /// gives one.
    pub expected: Option<Duration>,
    /// Longest acceptable wait: the owner refuses at once if it expects a longer
    /// one.
    pub patience: Duration,
}

/// Response to a [`PermitRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PermitResponse {
    /// The request may be sent within [`LeaseTimes::dispatch`].
    ///
    /// [`LeaseTimes::dispatch`]: crate::lease::LeaseTimes::dispatch
    Granted {
        /// Time that the request waited for an adapter load.
        load_stall: Duration,
    },
    /// The request may not be sent. It did not run, and the owner will not
    /// grant it later.
    Refused(PermitRefusal),
}

/// Why a permit was refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PermitRefusal {
    /// The reason.
    pub reason: PermitReason,
    /// Time after which a new request may succeed.
    pub retry_after: Duration,
}

impl PermitRefusal {
    /// Creates a refusal that names `wait`, but at least 100 ms, so that refused
    /// requests are not repeated at once.
    #[must_use]
    pub fn new(reason: PermitReason, wait: Duration) -> Self {
        Self {
            reason,
            retry_after: wait.max(MIN_RETRY_AFTER),
        }
    }
}

/// Reasons of a [`PermitRefusal`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum PermitReason {
    /// The expected wait is longer than [`PermitRequest::patience`].
    Busy,
    /// The response could not end before the deadline.
    DeadlineUnreachable,
    /// The adapter could not be loaded.
    LoadFailed,
    /// The instance does not own the worker, or may not act as its owner.
    NotOwner,
    /// The worker is leaving.
    WorkerLeaving,
    /// The worker's engine does not respond.
    WorkerDown,
}

impl PermitReason {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::DeadlineUnreachable => "deadline_unreachable",
            Self::LoadFailed => "load_failed",
            Self::NotOwner => "not_owner",
            Self::WorkerDown => "worker_down",
            Self::WorkerLeaving => "worker_leaving",
        }
    }
}

/// Releases a permit, or withdraws a request for one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Release {
    /// The permit.
    pub id: PermitId,
    /// The worker that the permit is for.
    pub worker: WorkerId,
    /// Whether the request is known not to be running at the target, because it
    /// ended there or was never sent.
    pub ended: bool,
}

/// Periodic report of an entry instance to its peers. It is only a hint: an owner
/// refuses a permit request that a stale summary led to.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Summary {
    /// The sender.
    pub instance: InstanceId,
    /// Run of the sender.
    pub incarnation: Incarnation,
    /// Availability zone of the sender.
    pub zone: ZoneId,
    /// Address at which peers reach the sender.
    pub peers: SocketAddr,
    /// Increases with each summary of the run.
    pub serial: u64,
    /// Sequence of the zone's table that the sender last read.
    pub table: u64,
    /// Rules revision in force at the sender.
    pub revision: u64,
    /// Whether the sender is stopping.
    pub stopping: bool,
    /// Workers that the sender owns.
    pub workers: Vec<WorkerSummary>,
    /// Permit requests that the sender received since its last summary, for the
    /// most requested adapters.
    pub recent: Vec<RecentRequests>,
    /// Expected wait for a load turn, if the sender runs the broker.
    pub load_outlook: Option<TurnWaitEstimate>,
}

/// Number of recent requests for an adapter.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecentRequests {
    /// The adapter.
    pub adapter: Box<str>,
    /// Number of requests.
    pub requests: u32,
}

/// Expected time from requesting a load turn until it is granted, by the class
/// of the request that waits for the load.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TurnWaitEstimate {
    /// For a lookup.
    pub lookup: Duration,
    /// For a standard request.
    pub standard: Duration,
    /// For a writing request.
    pub writing: Duration,
}

impl TurnWaitEstimate {
    /// Returns the wait for a class.
    #[must_use]
    pub const fn of(&self, class: Class) -> Duration {
        match class {
            Class::Lookup => self.lookup,
            Class::Standard => self.standard,
            Class::Writing => self.writing,
        }
    }
}

/// Value of [`WorkerSummary::slot_cost`] while no slot can be freed.
pub const NO_SLOT: u32 = u32::MAX;

/// State of one worker, as reported by its owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerSummary {
    /// The worker.
    pub worker: WorkerId,
    /// Group of the worker.
    pub group: GroupName,
    /// Address at which the worker takes requests.
    pub address: SocketAddr,
    /// Epoch of the reporting owner.
    pub epoch: Epoch,
    /// Whether the worker takes new requests.
    pub open: bool,
    /// Maximum number of requests that run at once.
    pub batch_limit: u32,
    /// Permits granted and not yet ended.
    pub running: u32,
    /// Requests waiting for a permit.
    pub waiting: u32,
    /// Slots that are free, or whose adapter could be evicted.
    pub open_slots: u32,
    /// Cost of the next load, in thousandths of the decayed request count of the
    /// adapter that it would evict: 0 while a slot is free, [`NO_SLOT`] while
    /// none can be freed.
    pub slot_cost: u32,
    /// Adapter versions that are resident.
    pub residents: BTreeSet<AdapterVersion>,
    /// Adapter versions that are being loaded, or wait for a load turn.
    pub loading: BTreeSet<AdapterVersion>,
}

/// Response to a [`Summary`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SummaryResponse {
    /// Run of the responding instance.
    pub incarnation: Incarnation,
    /// Whether the responding instance promises not to take over any worker of
    /// the sender for the lease time.
    pub promise: bool,
}

/// State of a worker that the previous owner passes to the next one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Handover {
    /// The worker.
    pub worker: WorkerId,
    /// Epoch of the previous owner.
    pub epoch: Epoch,
    /// Boot id of the engine that the other fields describe.
    pub boot_id: Box<str>,
    /// Adapter versions that may be in use without one of `permits`.
    pub uncertain: BTreeSet<AdapterVersion>,
    /// Adapter versions that a pending eviction may still remove.
    pub barred: Vec<BlockedAdapter>,
    /// Permits granted and not yet ended.
    pub permits: Vec<HandoverPermit>,
}

/// An adapter version on which no permit may be granted, and which may not be
/// loaded, until no eviction can remove it any more.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BlockedAdapter {
    /// The adapter version.
    pub target: AdapterVersion,
    /// Time until no eviction can remove it any more.
    pub remaining: Duration,
}

/// A permit in a [`Handover`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HandoverPermit {
    /// The permit.
    pub id: PermitId,
    /// The adapter version that it pins.
    pub target: AdapterVersion,
    /// Class of the request.
    pub class: Class,
    /// Time until it expires.
    pub remaining: Duration,
}

/// Requests a load turn from the broker. A load turn is the broker's permission
/// to start one load.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TurnRequest {
    /// The worker that would load.
    pub worker: WorkerId,
    /// The adapter version to load.
    pub target: AdapterVersion,
    /// Priority of the load; the highest starts first.
    pub value: f64,
    /// Longest wait for the turn with which the load still serves a waiting
    /// request.
    pub patience: Duration,
}

/// The broker's response to a [`TurnRequest`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TurnResponse {
    /// The load may start now.
    Granted,
    /// The turn would come too late for every request that waits for the load;
    /// the broker has removed the load from its queue.
    TooLate {
        /// Expected wait.
        outlook: Duration,
    },
    /// The request or its response was lost; send the request again.
    Lost,
}
