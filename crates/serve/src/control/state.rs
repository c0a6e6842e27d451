//! The control thread's state.

use super::command::Event;
use super::orders::IntentLog;
use super::turns::BrokerPlace;
use crate::clients::Clients;
use crate::clock::Clock;
use crate::metrics::Metrics;
use reedford_core::broker::{Broker, LoadKey};
use reedford_core::frequency::Frequency;
use reedford_core::lease::{Lease, LeaseTimes, Promises};
use reedford_core::messages::{Handover, LoadWaitEstimate, PermitResponse, Summary, TurnResponse};
use reedford_core::placement::ClusterView;
use reedford_core::scheduler::{Scheduler, SchedulerContext};
use reedford_core::table::ZoneTable;
use reedford_core::{AdapterVersion, Incarnation, InstanceId, Now, PermitId, WorkerId, ZoneId};
use reedford_rules::{LoadsRule, RulesDocument};
use reedford_settings::{Settings, ms};
use reedford_wire::instances::Instance;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use tokio::task::JoinSet;

/// Half-life of the request counts that evictions go by.
pub(crate) const FREQUENCY_HALF_LIFE: Duration = Duration::from_secs(1_200);
/// How long a lapsed owner still grants on resident adapters.
const GRACE: Duration = Duration::from_secs(5);
/// Time within which a granted request is sent to its target.
pub(crate) const DISPATCH_WINDOW: Duration = Duration::from_secs(1);
/// How long promises may stand in for reads of the table.
const JOINER_WAIT: Duration = Duration::from_secs(600);

/// Who this instance is.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    pub(crate) instance: InstanceId,
    pub(crate) incarnation: Incarnation,
    pub(crate) zone: ZoneId,
    pub(crate) peers: SocketAddr,
}

/// What the control thread tells traffic.
#[derive(Clone, Debug)]
pub(crate) struct Outputs {
    pub(crate) view: watch::Sender<Arc<ClusterView>>,
    pub(crate) rules: watch::Sender<Option<Arc<RulesDocument>>>,
    pub(crate) instances: watch::Sender<Arc<BTreeMap<Box<str>, Instance>>>,
}

/// All control state.
#[derive(Debug)]
pub(crate) struct Control {
    pub(super) cfg: Arc<Settings>,
    pub(super) me: Identity,
    pub(super) clock: Clock,
    pub(super) clients: Arc<Clients>,
    pub(super) metrics: Arc<Metrics>,
    pub(super) outputs: Outputs,
    pub(super) tasks: JoinSet<Event>,
    pub(super) membership: Membership,
    pub(super) workers: BTreeMap<WorkerId, Owned>,
    pub(super) frequency: Frequency,
    /// Requests by adapter since the last summary.
    pub(super) recent: BTreeMap<Box<str>, u32>,
    pub(super) broker: Broker,
    pub(super) broker_place: BrokerPlace,
    pub(super) replies: BTreeMap<PermitId, Reply>,
    pub(super) turn_replies: BTreeMap<LoadKey, oneshot::Sender<TurnResponse>>,
    pub(super) instances: BTreeMap<Box<str>, Instance>,
    pub(super) rules: Option<Arc<RulesDocument>>,
    pub(super) handovers: BTreeMap<WorkerId, Handover>,
    pub(super) timers: Timers,
    pub(super) stop: Stop,
    pub(super) summaries_sent: u64,
}

/// Ownership and peers.
#[derive(Debug)]
pub(super) struct Membership {
    pub(super) times: LeaseTimes,
    /// The own zone's table, and its revision in the store; 0 when absent.
    pub(super) table: ZoneTable,
    pub(super) revision: i64,
    /// Tables of the other zones, as last read.
    pub(super) foreign: BTreeMap<ZoneId, ZoneTable>,
    pub(super) lease: Lease,
    pub(super) promises: Promises,
    pub(super) heard: BTreeMap<InstanceId, Heard>,
    /// Sequence of the table by which this instance last claimed workers of a
    /// member.
    pub(super) claimed_from: BTreeMap<InstanceId, u64>,
    /// When this instance first saw itself in the table.
    pub(super) joined_at: Option<Now>,
    pub(super) swap: Option<PendingSwap>,
    /// When the last swap ended.
    pub(super) swap_ended: Now,
    /// When the read was sent that showed `table`.
    pub(super) read_sent: Now,
}

/// The last word of a peer.
#[derive(Debug)]
pub(super) struct Heard {
    pub(super) at: Now,
    /// Since when it has been heard of without a gap.
    pub(super) since: Now,
    pub(super) summary: Summary,
}

/// A change of the table under way.
#[derive(Debug)]
pub(super) struct PendingSwap {
    pub(super) handovers: Vec<(InstanceId, Handover)>,
}

/// A worker that this instance owns.
#[derive(Debug)]
pub(super) struct Owned {
    pub(super) scheduler: Scheduler,
    pub(super) fence: Fence,
    pub(super) listing: Poll,
    pub(super) failures: u32,
    /// Loads that follow an eviction under way, by what is evicted.
    pub(super) next_loads: BTreeMap<AdapterVersion, AdapterVersion>,
}

/// How the engine is protected from orders of an old owner.
#[derive(Clone, Debug)]
pub(super) enum Fence {
    /// The engine refuses old fencing numbers, and has seen this owner's.
    Checked,
    /// The engine refuses old fencing numbers, but an order of an old owner
    /// that comes late would still be the newest that it has seen.
    Unraised,
    /// The engine ignores them; the intents of old owners are not yet known.
    IntentUnknown,
    /// The engine ignores them; evictions are written down before they are
    /// ordered.
    Intent(Arc<tokio::sync::Mutex<IntentLog>>),
}

/// A request for a permit that is not yet answered.
#[derive(Debug)]
pub(super) struct Reply {
    pub(super) worker: WorkerId,
    pub(super) tx: oneshot::Sender<PermitResponse>,
}

/// Something that is asked for at intervals, one call at a time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Poll {
    pub(super) due: Now,
    pub(super) pending: bool,
}

impl Poll {
    /// Whether to ask now; if so, notes that an answer is awaited.
    pub(super) fn start(&mut self, now: Now, interval: Duration) -> bool {
        if self.pending || now < self.due {
            return false;
        }
        self.pending = true;
        self.due = now + interval;
        true
    }
}

/// When the control thread next asks for what.
#[derive(Debug, Default)]
pub(super) struct Timers {
    pub(super) table: Poll,
    pub(super) rules: Poll,
    pub(super) instances: Poll,
    pub(super) exchange: Now,
    pub(super) exchanged: Now,
    /// Whether what is resident has changed since the last summary.
    pub(super) changed: bool,
    pub(super) exchanging: BTreeSet<InstanceId>,
    /// Loads for which a turn was asked of a broker elsewhere.
    pub(super) turns: BTreeSet<LoadKey>,
    pub(super) prune: Now,
    pub(super) ticked: Now,
    /// When what concerns all peers and workers is next looked at.
    pub(super) survey: Now,
}

/// How far a stop has come.
#[derive(Debug, Default)]
pub(super) enum Stop {
    #[default]
    Running,
    HandingOver {
        reply: oneshot::Sender<()>,
        since: Now,
    },
    Leaving {
        reply: oneshot::Sender<()>,
        since: Now,
    },
    Stopped,
}

/// The parts of a decision's context that are not borrowed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Decision {
    pub(super) now: Now,
    lease: reedford_core::lease::LeaseState,
    load_outlook: LoadWaitEstimate,
}

impl Decision {
    pub(super) fn cx<'a>(&self, frequency: &'a Frequency) -> SchedulerContext<'a> {
        SchedulerContext {
            now: self.now,
            lease: self.lease,
            frequency,
            load_outlook: self.load_outlook,
        }
    }
}

impl Control {
    pub(crate) fn new(
        cfg: Arc<Settings>,
        me: Identity,
        clients: Arc<Clients>,
        metrics: Arc<Metrics>,
        outputs: Outputs,
    ) -> Self {
        let clock = Clock::start();
        let times = lease_times(&cfg);
        Self {
            clock,
            me,
            clients,
            metrics,
            outputs,
            tasks: JoinSet::new(),
            membership: Membership {
                times,
                table: ZoneTable::default(),
                revision: 0,
                foreign: BTreeMap::new(),
                lease: Lease::new(times),
                promises: Promises::default(),
                heard: BTreeMap::new(),
                claimed_from: BTreeMap::new(),
                joined_at: None,
                swap: None,
                swap_ended: Duration::ZERO,
                read_sent: Duration::ZERO,
            },
            workers: BTreeMap::new(),
            frequency: Frequency::new(FREQUENCY_HALF_LIFE),
            recent: BTreeMap::new(),
            broker: Broker::new(cfg.zones.len(), LoadsRule::default(), clock.now()),
            broker_place: BrokerPlace::Here,
            cfg,
            replies: BTreeMap::new(),
            turn_replies: BTreeMap::new(),
            instances: BTreeMap::new(),
            rules: None,
            handovers: BTreeMap::new(),
            timers: Timers::default(),
            stop: Stop::default(),
            summaries_sent: 0,
        }
    }

    /// What decisions made now depend on.
    pub(super) fn decision(&self) -> Decision {
        let now = self.clock.now();
        let lease = self.membership.lease.state(now);
        Decision {
            now,
            lease,
            load_outlook: self.load_outlook(now),
        }
    }

    /// Whether the table at hand was read after our last change of it.
    pub(super) fn is_table_fresh(&self) -> bool {
        self.membership.swap.is_none() && self.membership.read_sent >= self.membership.swap_ended
    }

    /// Members of the own zone that were heard of lately, with this one.
    pub(super) fn alive_members(&self, now: Now) -> BTreeSet<InstanceId> {
        let members = self.membership.table.members.iter();
        let alive = members.filter(|(id, m)| {
            **id == self.me.instance || self.is_heard(id, Some(m.incarnation), now)
        });
        alive.map(|(id, _)| id.clone()).collect()
    }

    /// Entry instances of all zones in reach, with this one.
    pub(super) fn reachable(&self, now: Now) -> BTreeMap<InstanceId, ZoneId> {
        let peers = self
            .membership
            .heard
            .iter()
            .filter(|(id, _)| self.is_heard(id, None, now));
        let mut reachable: BTreeMap<InstanceId, ZoneId> = peers
            .map(|(id, heard)| (id.clone(), heard.summary.zone.clone()))
            .collect();
        reachable.insert(self.me.instance.clone(), self.me.zone.clone());
        reachable
    }

    /// Whether a peer was heard of lately and is not stopping.
    pub(super) fn is_heard(
        &self,
        id: &InstanceId,
        incarnation: Option<Incarnation>,
        now: Now,
    ) -> bool {
        let silence = ms(self.cfg.timeouts.peer_failed_ms);
        self.membership.heard.get(id).is_some_and(|heard| {
            let same = incarnation.is_none_or(|i| i == heard.summary.incarnation);
            same && heard.at + silence > now && !heard.summary.stopping
        })
    }
}

fn lease_times(cfg: &Settings) -> LeaseTimes {
    LeaseTimes {
        lease: ms(cfg.timeouts.lease_ms),
        margin: ms(cfg.timeouts.lease_margin_ms),
        grace: GRACE,
        dispatch: DISPATCH_WINDOW,
        joiner: JOINER_WAIT,
    }
}

/// Sends an answer; nobody waiting for it any more is no fault.
pub(super) fn answer<T>(tx: oneshot::Sender<T>, value: T) -> bool {
    tx.send(value).is_ok()
}
