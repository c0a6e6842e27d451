//! State of a node, shared by its tasks.
//!
//! One lock guards the state; it is never held across an await.

use crate::clock::Clock;
use crate::feeds::Feeds;
use crate::membership::ROLE_LEASE_TTL;
use crate::peer::StreamRecord;
use crate::settings::GatewaySettings;
use crate::store_retries::StoreRetries;
use reedford_core::rendezvous;
use reedford_fleet::balancer::{Balancer, slot_share};
use reedford_fleet::budget::{RetryBudget, RetryLimits};
use reedford_fleet::config::RouteTable;
use reedford_fleet::connectivity::Connectivity;
use reedford_fleet::directory::{Directory, Instance};
use reedford_fleet::health::Health;
use reedford_fleet::key_lag::KeyLag;
use reedford_fleet::links::Links;
use reedford_fleet::ownership::{Holder, Role};
use reedford_fleet::pushback::Pushback;
use reedford_fleet::quarantine::Quarantine;
use reedford_fleet::quota::{NodeQuotas, QuotaTolerance};
use reedford_fleet::rate_limits::RateLimits;
use reedford_fleet::recent_calls::RecentCalls;
use reedford_fleet::relays::Relays;
use reedford_fleet::scheduler::{AdapterKey, Grant, PlacementId};
use reedford_fleet::stopping::{RunTimes, StopTimes};
use reedford_fleet::stream_versions::StreamVersions;
use reedford_fleet::transfer::LinkShare;
use reedford_fleet::zones::ZoneReport;
use reedford_fleet::{InstanceId, Now, ServiceName, WeightVersion, ZoneId};
use reedford_store::{EraTracker, Position};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, watch};

/// Limit on origins that wait to be written to the store.
const MAX_UNSTORED_ORIGINS: usize = 4_096;
/// Limit on adapters whose last instance is recorded.
const MAX_LAST_INSTANCES: usize = 4_096;

/// Delay of a claim in a new era of the store by a node that did not hold the
/// role. The last holder claims first, and the other nodes not all at once.
const ERA_CLAIM_JITTER: Range<Duration> = Duration::from_millis(500)..Duration::from_secs(2);

/// What a node's tasks share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) clock: Clock,
    pub(crate) feeds: Feeds,
    pub(crate) store_retries: StoreRetries,
    /// Newest era of the store that this node knows.
    pub(crate) eras: EraTracker,
    /// Position of the newest of operators' keys that another node reported.
    pub(crate) operators_position: watch::Sender<Position>,
    /// Coordinator whose feed of the instances this node polls successfully.
    pub(crate) followed: watch::Sender<Option<SocketAddr>>,
    /// Notified when the coordinator of an availability zone becomes known or
    /// changes.
    pub(crate) holder_changed: Notify,
    /// Notified when this zone has lost its coordinator.
    pub(crate) role_vacant: Notify,
    /// Changes when the coordinator's task, or other nodes, have to learn what an
    /// instance stated in a response.
    pub(crate) instances_changed: watch::Sender<()>,
    /// Changes when other nodes have to learn what this one knows of calls under
    /// which instances crash.
    pub(crate) evidence_changed: watch::Sender<()>,
    /// Notified when a call found no coordinator.
    pub(crate) coordinator_wanted: Notify,
    /// Notified when this node has charged a call that it has to report, or put back the
    /// charge of one.
    pub(crate) usage_recorded: Notify,
    /// Notified when other nodes have to be listed, to open connections through them.
    pub(crate) relays_wanted: Notify,
    /// When this node handles calls for the last time, once it stops.
    pub(crate) stop_times: watch::Sender<Option<StopTimes>>,
    /// Changes when a cut of this node's links begins; whether connections hang.
    pub(crate) links_cut: watch::Sender<bool>,
    state: Mutex<State>,
}

#[derive(Debug)]
pub(crate) struct State {
    pub(crate) routes: Option<Arc<RouteTable>>,
    pub(crate) directory: Directory,
    /// Whether the instances have been listed at least once.
    pub(crate) instances_listed: bool,
    pub(crate) versions: BTreeMap<AdapterKey, WeightVersion>,
    pub(crate) health: Health,
    pub(crate) balancer: Balancer,
    pub(crate) pushback: Pushback,
    pub(crate) quarantine: Quarantine,
    pub(crate) rate_limits: RateLimits,
    /// Calls that may run once.
    pub(crate) recent_calls: RecentCalls,
    pub(crate) quotas: NodeQuotas,
    /// Last time at which the store, or a coordinator that follows it, had no newer
    /// configuration.
    pub(crate) configuration_confirmed: Option<Now>,
    /// How far this node is behind the keys that operators write.
    pub(crate) operators_lag: KeyLag<Position>,
    /// Calls of each service that wait for an instance to become available.
    pub(crate) awaiting_turn: BTreeMap<ServiceName, u32>,
    pub(crate) budget: RetryBudget,
    pub(crate) role: Role,
    pub(crate) zone: ZoneId,
    /// Coordinators of the other availability zones.
    pub(crate) other_coordinators: BTreeMap<ZoneId, Holder>,
    /// Last load report of each other zone's coordinator.
    pub(crate) zone_loads: BTreeMap<ZoneId, ZoneReport>,
    /// The instance that each adapter ran on last, for placement while no
    /// coordinator can be reached.
    pub(crate) last_instances: BTreeMap<AdapterKey, LastInstance>,
    /// This node's model calls that engines run.
    pub(crate) running: BTreeMap<PlacementId, LocalCall>,
    pub(crate) connectivity: Connectivity,
    /// This node's links to the instances.
    pub(crate) links: Links,
    /// Nodes that open connections to instances for this one.
    pub(crate) relays: Relays,
    /// Coordinator whose notices this node has, and their revision there.
    pub(crate) followed_notices: Option<(SocketAddr, u64)>,
    /// Origins of the streams that this node relayed, and of those reported to it.
    pub(crate) stream_versions: StreamVersions,
    /// Origins that this node, as coordinator, has yet to write to the store.
    pub(crate) unstored_origins: Vec<StreamRecord>,
    /// When the instances were listed first.
    pub(crate) instances_listed_at: Option<Now>,
    pub(crate) stopping: bool,
    /// Share of this node's link for bodies of feeds.
    pub(crate) link_share: LinkShare,
    /// How long the calls of each route run.
    pub(crate) run_times: RunTimes,
}

/// The instance that an adapter ran on last.
#[derive(Clone, Debug)]
pub(crate) struct LastInstance {
    pub(crate) instance: InstanceId,
    pub(crate) version: Option<WeightVersion>,
    pub(crate) recorded_at: Now,
}

/// A model call that this node sent to an engine.
#[derive(Clone, Debug)]
pub(crate) struct LocalCall {
    pub(crate) instance: InstanceId,
    pub(crate) key: Option<AdapterKey>,
    pub(crate) prompt_tokens: u32,
    pub(crate) max_output_tokens: u32,
    pub(crate) started: bool,
    pub(crate) deadline: Now,
}

impl Shared {
    pub(crate) fn new(
        zone: ZoneId,
        role: Role,
        retries: RetryLimits,
        staleness_limit: Duration,
        quota_tolerance: QuotaTolerance,
        link_bytes_per_s: Option<f64>,
        eras: EraTracker,
    ) -> Self {
        Self {
            clock: Clock::start(),
            feeds: Feeds::new(staleness_limit),
            store_retries: StoreRetries::new(staleness_limit),
            eras,
            operators_position: watch::Sender::new(Position::default()),
            followed: watch::Sender::new(None),
            holder_changed: Notify::new(),
            role_vacant: Notify::new(),
            instances_changed: watch::Sender::new(()),
            evidence_changed: watch::Sender::new(()),
            coordinator_wanted: Notify::new(),
            usage_recorded: Notify::new(),
            relays_wanted: Notify::new(),
            stop_times: watch::Sender::new(None),
            links_cut: watch::Sender::new(false),
            state: Mutex::new(State {
                routes: None,
                directory: Directory::default(),
                instances_listed: false,
                versions: BTreeMap::new(),
                health: Health::default(),
                balancer: Balancer::default(),
                pushback: Pushback::default(),
                quarantine: Quarantine::default(),
                rate_limits: RateLimits::new(rand::random()),
                recent_calls: RecentCalls::default(),
                quotas: NodeQuotas::new(quota_tolerance),
                configuration_confirmed: None,
                operators_lag: KeyLag::default(),
                awaiting_turn: BTreeMap::new(),
                budget: RetryBudget::new(retries),
                role,
                zone,
                other_coordinators: BTreeMap::new(),
                zone_loads: BTreeMap::new(),
                last_instances: BTreeMap::new(),
                running: BTreeMap::new(),
                connectivity: Connectivity::default(),
                links: Links::default(),
                relays: Relays::default(),
                followed_notices: None,
                stream_versions: StreamVersions::default(),
                unstored_origins: Vec::new(),
                instances_listed_at: None,
                stopping: false,
                link_share: LinkShare::new(link_bytes_per_s),
                run_times: RunTimes::default(),
            }),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn now(&self) -> Now {
        self.clock.now()
    }

    /// Applies the store's newest era to the coordinator role. Returns whether the
    /// era has risen.
    pub(crate) fn apply_era(&self, cfg: &GatewaySettings) -> bool {
        let Some(era) = self.eras.known() else {
            return false;
        };
        let now = self.now();
        let ttl = ROLE_LEASE_TTL.max(cfg.min_lease_ttl);
        let jitter = rand::random_range(ERA_CLAIM_JITTER);
        let mut state = self.lock();
        let held = state.role.held_fence();
        let risen = state.role.on_era(era, ttl, jitter, now);
        if risen {
            tracing::warn!(event = "store_era", zone = %cfg.zone, %era,
                ended_fence = held.unwrap_or(0));
        }
        risen
    }
}

impl State {
    /// Returns whether the node can serve callers.
    pub(crate) fn ready(&self, now: Now) -> bool {
        self.routes.is_some() && self.instances_listed && !self.stopping && !self.cut_off(now)
    }

    /// Returns whether this node can't place calls because neither the store
    /// nor another node responds. A node that leads as coordinator places calls
    /// itself.
    pub(crate) fn cut_off(&self, now: Now) -> bool {
        self.connectivity.cut_off(now) && !self.role.leads(now)
    }

    /// Records the number of nodes in the fleet.
    pub(crate) fn set_node_count(&mut self, nodes: usize, now: Now) {
        self.budget.set_node_count(nodes);
        self.quotas.set_node_count(nodes, now);
    }

    /// Returns the addresses of up to `most` coordinators, that of this zone first.
    pub(crate) fn coordinator_addrs(&self, most: usize) -> Vec<SocketAddr> {
        let own = self.role.holder().into_iter();
        let holders = own.chain(self.other_coordinators.values());
        holders.map(|holder| holder.addr).take(most).collect()
    }

    /// Returns the coordinator of a zone, if it is known.
    pub(crate) fn coordinator(&self, zone: &str) -> Option<&Holder> {
        if zone == &*self.zone {
            self.role.holder()
        } else {
            self.other_coordinators.get(zone)
        }
    }

    /// Records the instance that an adapter runs on.
    pub(crate) fn record_last_instance(&mut self, key: AdapterKey, grant: &Grant, now: Now) {
        if self.last_instances.len() >= MAX_LAST_INSTANCES
            && !self.last_instances.contains_key(&key)
        {
            let oldest = self
                .last_instances
                .iter()
                .min_by_key(|(_, last)| last.recorded_at);
            if let Some(oldest) = oldest.map(|(key, _)| key.clone()) {
                self.last_instances.remove(&oldest);
            }
        }
        let last = LastInstance {
            instance: grant.instance.clone(),
            version: grant.version,
            recorded_at: now,
        };
        self.last_instances.insert(key, last);
    }

    /// Returns how long after its first event a stream may be resumed.
    pub(crate) fn stream_lifetime(&self) -> Duration {
        let routes = self.routes.as_ref();
        routes.map_or(Duration::MAX, |routes| routes.stream_lifetime())
    }

    /// Whether this node has known the instances for as long as a stream may be resumed,
    /// so that it knows all versions at which one may have begun.
    pub(crate) fn knows_versions(&self, now: Now) -> bool {
        let listed = self.instances_listed_at;
        listed.is_some_and(|at| now.saturating_sub(at) >= self.stream_lifetime())
    }

    /// Returns the zone whose coordinator records the origin of a stream in addition
    /// to that of this zone.
    pub(crate) fn second_recording_zone(&self, attempt: &str) -> Option<&str> {
        let others = self.other_coordinators.keys().map(|zone| &**zone);
        rendezvous::first(attempt, others)
    }

    /// Records the origins of streams.
    pub(crate) fn record_streams<I>(&mut self, streams: I, now: Now)
    where
        I: IntoIterator<Item = StreamRecord>,
    {
        let lifetime = self.stream_lifetime();
        let is_coordinator = self.role.held_fence().is_some();
        for record in streams {
            if is_coordinator && self.unstored_origins.len() < MAX_UNSTORED_ORIGINS {
                self.unstored_origins.push(record.clone());
            }
            self.stream_versions
                .record(record.attempt, record.origin, now);
        }
        self.stream_versions.expire(lifetime, now);
    }

    /// Returns when a call may be sent to an instance, as far as it asked this node
    /// to wait; `now` if at once.
    pub(crate) fn available_at(&self, instance: &Instance, now: Now) -> Now {
        self.pushback.available_at(&instance.id, instance.born, now)
    }

    /// Returns when a call that no coordinator grants may be sent to an instance, as far
    /// as the instance names a limit on calls; `now` if at once.
    pub(crate) fn turn_at(&self, instance: &Instance, now: Now) -> Now {
        let nodes = self.budget.node_count();
        self.rate_limits
            .available_at(&instance.id, instance.born, nodes, now)
    }

    /// Returns when a call that no coordinator grants may be sent to an instance that must
    /// not reject many, or tried again; `now` if at once.
    pub(crate) fn room_at(&self, instance: &Instance, now: Now) -> Now {
        /// Time in which an instance ends a few calls.
        const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(20);
        let limits = &self.rate_limits;
        if !limits.is_brittle(&instance.id, instance.born) {
            return now;
        }
        let nodes = self.budget.node_count();
        let has_slot = self
            .balancer
            .has_free_slot(&instance.id, instance.slots, nodes, now);
        let tried_at = if has_slot {
            now
        } else {
            now + ROOM_POLL_INTERVAL
        };
        limits
            .rejected_until(&instance.id, instance.born, now)
            .max(tried_at)
    }

    /// Returns how many calls per second this node expects to send to an instance that
    /// must not reject many: its share of the slots, each of which ends a call in half of
    /// the objective.
    pub(crate) fn room_per_s(&self, instance: &Instance, objective: Duration) -> Option<f64> {
        let is_brittle = self.rate_limits.is_brittle(&instance.id, instance.born);
        let nodes = self.budget.node_count();
        let share = slot_share(instance.slots, nodes);
        is_brittle.then(|| f64::from(share) * 2.0 / objective.as_secs_f64())
    }

    /// Returns an instance if it accepts calls.
    pub(crate) fn ready_instance(&self, id: &str) -> Option<&Instance> {
        let instance = self.directory.get(id)?;
        (instance.state == reedford_fleet::directory::InstanceState::Ready).then_some(instance)
    }
}
