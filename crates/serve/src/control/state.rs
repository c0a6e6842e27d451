//! The control thread's state.

use super::command::Event;
use super::orders::IntentLog;
use super::turns::BrokerLocation;
use crate::clients::Clients;
use crate::clock::Clock;
use crate::metrics::Metrics;
use reedford_core::broker::{Broker, LoadKey};
use reedford_core::frequency::Frequency;
use reedford_core::lease::{GivenPromises, Lease, LeaseTimes};
use reedford_core::messages::{Handover, PermitResponse, Summary, TurnResponse, TurnWaitEstimate};
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

/// Half-life of the request counts by which adapters to evict are chosen.
pub(crate) const FREQUENCY_HALF_LIFE: Duration = Duration::from_secs(1_200);
/// How long an owner still grants on resident adapters after the proof of its
/// lease has ended.
const RESIDENT_ONLY_GRACE: Duration = Duration::from_secs(5);
/// Time within which a granted request is sent to its target.
const DISPATCH_WINDOW: Duration = Duration::from_secs(1);
/// How long promises may replace reads of the table.
const PROMISES_ONLY_LIMIT: Duration = Duration::from_secs(600);

/// Identity of this entry instance.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    pub(crate) instance: InstanceId,
    pub(crate) incarnation: Incarnation,
    pub(crate) zone: ZoneId,
    /// Address at which peers reach it.
    pub(crate) peer_address: SocketAddr,
}

/// State that the control thread publishes to the traffic threads.
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
    pub(super) workers: BTreeMap<WorkerId, OwnedWorker>,
    pub(super) frequency: Frequency,
    /// Requests for permits by adapter, since the last summary.
    pub(super) recent: BTreeMap<Box<str>, u32>,
    pub(super) broker: Broker,
    pub(super) broker_location: BrokerLocation,
    /// Reply channels of permit requests that have no response yet.
    pub(super) permit_replies: BTreeMap<PermitId, PermitReply>,
    /// Reply channels of peers' turn requests that have no response yet.
    pub(super) turn_replies: BTreeMap<LoadKey, oneshot::Sender<TurnResponse>>,
    /// Engines, plain services and other instances, as listed by the platform.
    pub(super) instances: BTreeMap<Box<str>, Instance>,
    pub(super) rules: Option<Arc<RulesDocument>>,
    /// Handovers that were received from peers, kept until a read of the table
    /// shows this instance as the owner; and handovers to peers, kept until
    /// their table swap has succeeded or a read shows that it has failed.
    pub(super) handovers: BTreeMap<WorkerId, Handover>,
    pub(super) periodic: PeriodicWork,
    pub(super) stop: StopState,
    pub(super) summaries_sent: u64,
}

/// The zone's table, the lease on this instance's ownerships, and what is known
/// of peers.
#[derive(Debug)]
pub(super) struct Membership {
    pub(super) times: LeaseTimes,
    /// Table of this instance's zone.
    pub(super) table: ZoneTable,
    /// Store revision of `table`; 0 while the store holds none.
    pub(super) revision: i64,
    /// Tables of the other zones, as last read.
    pub(super) foreign: BTreeMap<ZoneId, ZoneTable>,
    pub(super) lease: Lease,
    pub(super) given_promises: GivenPromises,
    pub(super) peer_states: BTreeMap<InstanceId, PeerState>,
    /// For each member from which this instance has claimed workers, the
    /// sequence of the table with the latest claim.
    pub(super) claimed_from: BTreeMap<InstanceId, u64>,
    /// Start of the settle time: when this instance first found itself listed
    /// as a member of the table, or when it resumed after a pause.
    pub(super) settling_since: Option<Now>,
    pub(super) swap: Option<PendingSwap>,
    /// When the last swap completed or failed.
    pub(super) swap_ended: Now,
    /// When the read that returned `table` was sent.
    pub(super) read_sent: Now,
}

/// The latest summary of a peer.
#[derive(Debug)]
pub(super) struct PeerState {
    pub(super) received_at: Now,
    /// Start of the period in which its summaries have arrived without a gap of
    /// `peer_failed_ms`.
    pub(super) reachable_since: Now,
    pub(super) summary: Summary,
}

/// A swap of the table that is in progress.
#[derive(Debug)]
pub(super) struct PendingSwap {
    /// Handovers to send once the swap has succeeded, with their receivers.
    pub(super) handovers: Vec<(InstanceId, Handover)>,
}

/// A worker that this instance owns.
#[derive(Debug)]
pub(super) struct OwnedWorker {
    pub(super) scheduler: Scheduler,
    pub(super) fencing: Fencing,
    pub(super) listing: PollTimer,
    /// Consecutive listings that failed.
    pub(super) listing_failures: u32,
    /// Loads to start after the evictions in progress, keyed by the evicted
    /// adapter version.
    pub(super) next_loads: BTreeMap<AdapterVersion, AdapterVersion>,
}

/// How an engine is protected from late orders of previous owners.
#[derive(Clone, Debug)]
pub(super) enum Fencing {
    /// The engine checks fencing tokens and has received this owner's.
    Engine,
    /// The engine checks fencing tokens but has not received this owner's yet,
    /// so it would still accept a late order of the previous owner.
    EngineNotRaised,
    /// The engine ignores fencing tokens, and the intents of previous owners
    /// have not been read yet.
    IntentsNotRead,
    /// The engine ignores fencing tokens. Evictions are recorded in the store
    /// before they are ordered.
    Intents(Arc<tokio::sync::Mutex<IntentLog>>),
}

/// Where to send the response to a request for a permit.
#[derive(Debug)]
pub(super) struct PermitReply {
    pub(super) worker: WorkerId,
    pub(super) tx: oneshot::Sender<PermitResponse>,
}

/// Timer of a periodic read with at most one call in progress.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PollTimer {
    pub(super) due: Now,
    /// Whether a call is in progress.
    pub(super) pending: bool,
}

impl PollTimer {
    /// Returns whether to start a call now, and if so marks it as pending and
    /// sets the time of the next one.
    pub(super) fn start(&mut self, now: Now, interval: Duration) -> bool {
        if self.pending || now < self.due {
            return false;
        }
        self.pending = true;
        self.due = now + interval;
        true
    }
}

/// State of the control thread's periodic work: timers, calls in progress and
/// pending changes.
#[derive(Debug, Default)]
pub(super) struct PeriodicWork {
    pub(super) table: PollTimer,
    pub(super) rules: PollTimer,
    pub(super) instances: PollTimer,
    pub(super) next_exchange: Now,
    pub(super) last_exchange: Now,
    /// Whether resident adapters or pending loads have changed since the last
    /// summary.
    pub(super) loads_changed: bool,
    /// Peers whose response to the last summary is still pending.
    pub(super) exchanges_pending: BTreeSet<InstanceId>,
    /// Loads for which a turn was requested from a remote broker.
    pub(super) remote_turns: BTreeSet<LoadKey>,
    pub(super) next_prune: Now,
    pub(super) last_tick: Now,
    pub(super) next_refresh: Now,
}

/// Progress of a graceful shutdown.
#[derive(Debug, Default)]
pub(super) enum StopState {
    #[default]
    Running,
    /// Workers are being handed over.
    HandingOver {
        reply: oneshot::Sender<()>,
        since: Now,
    },
    /// This instance is being removed from the zone's table.
    Leaving {
        reply: oneshot::Sender<()>,
        since: Now,
    },
    Stopped,
}

/// The fields of a scheduler's context that are not borrowed.
#[derive(Clone, Copy, Debug)]
pub(super) struct DecisionInputs {
    pub(super) now: Now,
    lease: reedford_core::lease::LeaseState,
    turn_wait: TurnWaitEstimate,
}

impl DecisionInputs {
    pub(super) fn cx<'a>(&self, frequency: &'a Frequency) -> SchedulerContext<'a> {
        SchedulerContext {
            now: self.now,
            lease: self.lease,
            frequency,
            turn_wait: self.turn_wait,
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
                given_promises: GivenPromises::default(),
                peer_states: BTreeMap::new(),
                claimed_from: BTreeMap::new(),
                settling_since: None,
                swap: None,
                swap_ended: Duration::ZERO,
                read_sent: Duration::ZERO,
            },
            workers: BTreeMap::new(),
            frequency: Frequency::new(FREQUENCY_HALF_LIFE),
            recent: BTreeMap::new(),
            broker: Broker::new(cfg.zones.len(), LoadsRule::default(), clock.now()),
            broker_location: BrokerLocation::Local,
            cfg,
            permit_replies: BTreeMap::new(),
            turn_replies: BTreeMap::new(),
            instances: BTreeMap::new(),
            rules: None,
            handovers: BTreeMap::new(),
            periodic: PeriodicWork::default(),
            stop: StopState::default(),
            summaries_sent: 0,
        }
    }

    /// Returns the inputs for scheduling decisions made now.
    pub(super) fn decision_inputs(&self) -> DecisionInputs {
        let now = self.clock.now();
        let lease = self.membership.lease.state(now);
        DecisionInputs {
            now,
            lease,
            turn_wait: self.turn_wait(now),
        }
    }

    /// Whether no swap is in progress and the table was read after the last one.
    pub(super) fn is_table_fresh(&self) -> bool {
        self.membership.swap.is_none() && self.membership.read_sent >= self.membership.swap_ended
    }

    /// Returns the live members of this instance's zone, including itself.
    pub(super) fn alive_members(&self, now: Now) -> BTreeSet<InstanceId> {
        let members = self.membership.table.members.iter();
        let alive = members.filter(|(id, m)| {
            **id == self.me.instance || self.is_alive(id, Some(m.incarnation), now)
        });
        alive.map(|(id, _)| id.clone()).collect()
    }

    /// Returns this instance and every entry instance, of any zone, that is alive
    /// by its last summary, each with its zone.
    pub(super) fn reachable_instances(&self, now: Now) -> BTreeMap<InstanceId, ZoneId> {
        let peers = self
            .membership
            .peer_states
            .iter()
            .filter(|(id, _)| self.is_alive(id, None, now));
        let mut reachable: BTreeMap<InstanceId, ZoneId> = peers
            .map(|(id, peer)| (id.clone(), peer.summary.zone.clone()))
            .collect();
        reachable.insert(self.me.instance.clone(), self.me.zone.clone());
        reachable
    }

    /// Whether the last summary of a peer is younger than `peer_failed_ms` and
    /// doesn't say that it is stopping.
    pub(super) fn is_alive(
        &self,
        id: &InstanceId,
        incarnation: Option<Incarnation>,
        now: Now,
    ) -> bool {
        let failure_timeout = ms(self.cfg.timeouts.peer_failed_ms);
        self.membership.peer_states.get(id).is_some_and(|peer| {
            let same_incarnation = incarnation.is_none_or(|i| i == peer.summary.incarnation);
            same_incarnation && peer.received_at + failure_timeout > now && !peer.summary.stopping
        })
    }
}

fn lease_times(cfg: &Settings) -> LeaseTimes {
    LeaseTimes {
        lease: ms(cfg.timeouts.lease_ms),
        margin: ms(cfg.timeouts.lease_margin_ms),
        grace: RESIDENT_ONLY_GRACE,
        dispatch: DISPATCH_WINDOW,
        joiner: PROMISES_ONLY_LIMIT,
    }
}

/// Sends a reply and returns whether the receiver still exists. A receiver that
/// was dropped is not an error.
pub(super) fn send_reply<T>(tx: oneshot::Sender<T>, value: T) -> bool {
    tx.send(value).is_ok()
}
