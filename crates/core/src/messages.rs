//! Messages between entry instances.

use crate::ids::{
    AdapterVersion, Epoch, GroupName, Incarnation, InstanceId, PermitId, WorkerId, ZoneId,
};
use reedford_rules::Class;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Least wait named in a refusal.
const LEAST_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Asks the owner of a worker for leave to send one request to it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PermitRequest {
    /// Chosen by the asker.
    pub id: PermitId,
    /// The worker.
    pub worker: WorkerId,
    /// The adapter version to run.
    pub target: AdapterVersion,
    /// Class of the request.
    pub class: Class,
    /// Time left until the caller's deadline, counted from sending.
    pub remaining: Duration,
    /// Time that the answer will take, where the request tells.
    pub expected: Option<Duration>,
    /// Refuse at once when the wait would be longer than this.
    pub patience: Duration,
}

/// Answer to a [`PermitRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PermitAnswer {
    /// The request may be sent within the dispatch time.
    Granted {
        /// Time that it waited for an adapter load.
        load_stall: Duration,
    },
    /// It may not. Nothing ran, and nothing of it will start later.
    Refused(PermitRefusal),
}

/// Why a permit was refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PermitRefusal {
    /// The reason.
    pub reason: PermitReason,
    /// When asking again is worth while.
    pub retry_after: Duration,
}

impl PermitRefusal {
    /// A refusal that names `wait`, but never less than 100 ms: those who are
    /// refused must not come back at once.
    #[must_use]
    pub fn new(reason: PermitReason, wait: Duration) -> Self {
        Self {
            reason,
            retry_after: wait.max(LEAST_RETRY_AFTER),
        }
    }
}

/// Reasons of a [`PermitRefusal`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum PermitReason {
    /// The wait would be longer than the asker's patience.
    Busy,
    /// The answer could not end before the deadline.
    DeadlineUnreachable,
    /// The adapter could not be loaded.
    LoadFailed,
    /// The instance does not own the worker, or may not act as its owner.
    NotOwner,
    /// The worker is leaving.
    WorkerLeaving,
    /// The worker does not answer.
    WorkerDown,
}

impl PermitReason {
    /// Short name, for logs and metrics.
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

/// Gives a permit back, or withdraws a request for one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Release {
    /// The permit.
    pub id: PermitId,
    /// Its worker.
    pub worker: WorkerId,
    /// Whether the target has surely ended the request.
    pub ended: bool,
}

/// What an entry instance tells the others at intervals. It describes, and
/// never decides: an owner refuses a permit that an old summary led to.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Summary {
    /// The sender.
    pub instance: InstanceId,
    /// Its run.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where peers reach it.
    pub peers: SocketAddr,
    /// Counts up with each summary of the run.
    pub serial: u64,
    /// Sequence of the zone's table that the sender last read.
    pub table: u64,
    /// Rules revision in force at the sender.
    pub revision: u64,
    /// Whether the sender is stopping.
    pub stopping: bool,
    /// Workers that the sender owns.
    pub workers: Vec<WorkerSummary>,
    /// Requests that the sender was asked permits for since its last summary,
    /// the adapters asked for most.
    pub recent: Vec<RecentRequests>,
    /// How long loads wait for their turn, when the sender orders them.
    pub load_outlook: Option<LoadOutlook>,
}

/// How often an adapter was asked for in a short time.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecentRequests {
    /// The adapter.
    pub adapter: Box<str>,
    /// Number of requests.
    pub requests: u32,
}

/// Time that a load asked for now would wait for its turn, by the class of
/// the request that waits for it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadOutlook {
    /// For a lookup.
    pub lookup: Duration,
    /// For an ordinary request.
    pub standard: Duration,
    /// For long writing.
    pub writing: Duration,
}

impl LoadOutlook {
    /// The wait for a class.
    #[must_use]
    pub const fn of(&self, class: Class) -> Duration {
        match class {
            Class::Lookup => self.lookup,
            Class::Standard => self.standard,
            Class::Writing => self.writing,
        }
    }
}

/// Cost of a slot on a worker where none can be had.
pub const NO_SLOT: u32 = u32::MAX;

/// One worker, as its owner sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerSummary {
    /// The worker.
    pub worker: WorkerId,
    /// Its group.
    pub group: GroupName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Number of the ownership.
    pub epoch: Epoch,
    /// Whether it takes new work.
    pub open: bool,
    /// Most requests that run at once.
    pub batch_limit: u32,
    /// Permits out.
    pub running: u32,
    /// Requests waiting for a permit.
    pub waiting: u32,
    /// Slots that are free, or whose adapter could be evicted.
    pub open_slots: u32,
    /// What the next load would cost: thousandths of the decayed request count
    /// of the adapter that it would evict, 0 while a slot is free, and
    /// [`NO_SLOT`] while none can be had.
    pub slot_cost: u32,
    /// Adapter versions that are resident.
    pub residents: BTreeSet<AdapterVersion>,
    /// Adapter versions that are being loaded, or wait for their turn.
    pub loading: BTreeSet<AdapterVersion>,
}

/// Answer to a [`Summary`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SummaryAnswer {
    /// Run of the answering instance.
    pub incarnation: Incarnation,
    /// Whether it promises, for the lease time, to take over no worker of the
    /// sender.
    pub promise: bool,
}

/// What an old owner hands to the next one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Handover {
    /// The worker.
    pub worker: WorkerId,
    /// Epoch under which the old owner held it.
    pub epoch: Epoch,
    /// Boot id of the engine that the rest is about.
    pub boot_id: Box<str>,
    /// Adapter versions that may be in use without a permit below.
    pub uncertain: BTreeSet<AdapterVersion>,
    /// Adapter versions that an eviction may still hit.
    pub barred: Vec<HandedBar>,
    /// Permits out.
    pub permits: Vec<HandedPermit>,
}

/// An adapter version that is neither granted nor loaded for a time.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HandedBar {
    /// The adapter version.
    pub target: AdapterVersion,
    /// Time until an eviction can no longer hit it.
    pub remaining: Duration,
}

/// A permit handed over.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HandedPermit {
    /// The permit.
    pub id: PermitId,
    /// What it pins.
    pub target: AdapterVersion,
    /// Class of the request.
    pub class: Class,
    /// Time until it ends by itself.
    pub remaining: Duration,
}

/// Asks the zone's broker for the turn to load.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TurnRequest {
    /// The worker that would load.
    pub worker: WorkerId,
    /// What it would load.
    pub target: AdapterVersion,
    /// Value of the load; the highest goes first.
    pub value: f64,
    /// Longest wait after which the load is still of use to a request.
    pub patience: Duration,
}

/// The broker's answer to a [`TurnRequest`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TurnAnswer {
    /// Load now.
    Granted,
    /// The turn would come too late for every request that waits for the load.
    TooLate {
        /// Expected wait.
        outlook: Duration,
    },
    /// The broker does not know the ask any more; ask again.
    Lost,
}
