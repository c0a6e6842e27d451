//! Decides where the model calls of one availability zone run and which
//! adapters its engines load and evict.
//!
//! One node of the zone, the coordinator, drives a [`Scheduler`]. Nodes request
//! a placement from it before they send a call, and report when the call started
//! and ended. The scheduler derives the state of the engines from the calls that
//! it granted and the orders that it gave; it fetches a report from an engine
//! whenever that state may be wrong, for example after a change of coordinator, a
//! restart, or an order whose outcome is unknown.
//!
//! Calls are queued here and not in the engines: an engine is granted only as
//! much work in advance as keeps it busy ([`Limits::max_prefill_backlog`]), and
//! the order of the remaining calls can still change. Every call goes to the
//! engine where its first token is expected soonest, taking into account the work
//! already granted, a load of the adapter and an eviction. Calls for an adapter
//! therefore go to the engine that holds it as long as that engine is busier than
//! others by less than the cost of a load; beyond that, the adapter is loaded on
//! another engine as well.

mod adapter_copy;
mod drain;
mod engine_view;
mod estimate;
mod fair_queue;
mod gaps;
mod order;
mod placement;
mod prompt_cache;
mod queue_order;
mod request;
mod synchronize;
mod unresolved;

pub use order::{EngineReport, Order, OrderKind, OrderOutcome};
pub use request::{
    Grant, Observation, PlacementId, PlacementRequest, Progress, PromptPart, Refusal,
    RefusalReason, Rejection, RunningCall,
};

use crate::config::{Engine as EngineSpec, Model};
use crate::directory::{Instance, InstanceState};
use crate::rate_limits::Pace;
use crate::workspaces::WorkspaceName;
use crate::{AdapterName, InstanceId, ModelName, Now, WeightVersion};
use engine_view::EngineView;
use estimate::{LoadDemand, LoadTimeEstimate, PrefillRate, SlotTurnover};
use fair_queue::FairQueue;
use prompt_cache::PromptPath;
use reedford_core::frequency::Frequency;
use reedford_core::rendezvous;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use unresolved::UnresolvedOrders;

/// Half-life of the request counts by which adapters are selected for eviction;
/// popularity shifts within seconds.
const POPULARITY_HALF_LIFE: Duration = Duration::from_secs(8);
/// Time between two removals of rare adapters from the request counts.
const PRUNE_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum time between two polls while calls are queued.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(15);

/// An adapter of a base model.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AdapterKey {
    /// Name of the base model.
    pub model: ModelName,
    /// Name of the adapter.
    pub adapter: AdapterName,
}

/// Short hash of an [`AdapterKey`] in the reports between zones. A collision
/// costs only the round trip of a call that is forwarded needlessly.
pub type AdapterHash = u32;

/// Limits of a scheduler.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Time that an engine needs to process the prompts granted to it, up to which
    /// it is granted further calls.
    pub max_prefill_backlog: Duration,
    /// Expected wait for the first token, as a share of the time until the
    /// call's deadline, at or above which a call is refused on arrival.
    pub max_wait_share: f64,
    /// Share of the service's rate of base model loads that this zone may use.
    pub load_share: f64,
}

/// An action that the coordinator has to carry out for its scheduler.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Notify the requesting node that its call is granted.
    Grant(Grant),
    /// Notify the requesting node that its call is refused.
    Refuse(Refusal),
    /// Send an order to an engine.
    Order(Order),
    /// Fetch a report from an engine.
    FetchReport {
        /// Id of the engine.
        instance: InstanceId,
        /// Address of the engine.
        addr: SocketAddr,
    },
}

/// Load of this zone, which the gateway reports to the coordinators of other
/// zones together with the adapters held; [`crate::zones::ZoneReport`] is such a
/// report as received.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadSummary {
    /// Shortest wait for a first token on any engine.
    pub wait: Duration,
    /// Engines that accept calls.
    pub engines: usize,
    /// Adapter slots that are free or can be freed at once.
    pub free_slots: usize,
}

/// Counts and estimates of a scheduler, for logs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SchedulerStats {
    /// Calls that are granted and have not ended.
    pub running: usize,
    /// Adapter loads that are ordered but not accepted by an engine yet.
    pub ordered_loads: usize,
    /// Adapter loads that are ordered or in progress.
    pub pending_loads: usize,
    /// Queued calls whose adapter waits for a free slot.
    pub awaiting_slot: usize,
    /// Expected duration of a load from the weight store.
    pub load_time: Duration,
}

/// What a scheduler assumes about the orders to an engine, for logs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OrderStatus {
    /// Number of orders that the engine has accepted, if known.
    pub accepted: Option<u64>,
    /// Orders without a response that the engine may still carry out.
    pub unresolved: usize,
    /// Time since the last outcome of an order, if there was one.
    pub outcome_age: Option<Duration>,
}

/// The scheduler of one zone.
#[derive(Clone, Debug)]
pub struct Scheduler {
    limits: Limits,
    specs: BTreeMap<Box<str>, EngineSpec>,
    engines: BTreeMap<InstanceId, EngineView>,
    /// Orders without a response to engines that left the directory. They may be
    /// carried out by the next incarnation under the same id.
    departed: BTreeMap<InstanceId, UnresolvedOrders>,
    /// Newest known version of each adapter.
    versions: BTreeMap<AdapterKey, WeightVersion>,
    queue: Vec<QueuedCall>,
    fair_queue: FairQueue,
    /// Engine of each granted call.
    running: BTreeMap<PlacementId, InstanceId>,
    popularity: Frequency,
    load_estimate: LoadTimeEstimate,
    slot_turnover: SlotTurnover,
    load_demand: LoadDemand,
    recent_model_loads: Vec<Now>,
    next_prune: Now,
    /// Time before which no eviction is ordered.
    evictions_from: Now,
    /// Number of calls submitted so far.
    serial: u64,
}

#[derive(Clone, Debug)]
struct QueuedCall {
    request: PlacementRequest,
    key: Option<AdapterKey>,
    /// The adapter's key as text, for hashes; empty for a base model.
    key_text: Box<str>,
    /// Parts of its prompt, for the engines' prompt caches.
    prompt: PromptPath,
    /// Whether its adapter waited for a free slot in the last placement round.
    awaiting_slot: bool,
    /// Order of arrival.
    serial: u64,
}

impl Scheduler {
    /// Creates a scheduler without engines.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            specs: BTreeMap::new(),
            engines: BTreeMap::new(),
            departed: BTreeMap::new(),
            versions: BTreeMap::new(),
            queue: Vec::new(),
            fair_queue: FairQueue::default(),
            running: BTreeMap::new(),
            popularity: Frequency::new(POPULARITY_HALF_LIFE),
            load_estimate: LoadTimeEstimate::default(),
            slot_turnover: SlotTurnover::default(),
            load_demand: LoadDemand::default(),
            recent_model_loads: Vec::new(),
            next_prune: PRUNE_INTERVAL,
            evictions_from: Now::ZERO,
            serial: 0,
        }
    }

    /// Sets the engine properties of a service.
    pub fn set_spec(&mut self, service: &str, spec: EngineSpec) {
        self.specs.insert(service.into(), spec);
    }

    /// Sets the weights of workspaces, in proportion to which their queued calls are
    /// placed.
    pub fn set_weights(&mut self, weights: BTreeMap<WorkspaceName, f64>) {
        self.fair_queue.set_weights(weights);
    }

    /// Adds or updates an engine from its entry in the directory.
    pub fn on_instance(&mut self, instance: &Instance, now: Now) {
        if !self.specs.contains_key(&instance.service) {
            return;
        }
        match self.engines.get_mut(&instance.id) {
            Some(engine) if engine.born == instance.born && engine.addr == instance.addr => {
                engine.ready = instance.state == InstanceState::Ready;
                if !engine.ready {
                    engine.cancel_unsent_orders();
                }
            }
            // The entry is older than a report of the engine.
            Some(engine) if instance.born != 0 && instance.born < engine.born => {}
            _ => {
                self.forget(&instance.id);
                let rate = PrefillRate::new(self.mean_prefill_rate());
                let mut unresolved = self.departed.remove(&instance.id).unwrap_or_default();
                unresolved.outlive_incarnation(now);
                let engine = EngineView::new(instance, rate, unresolved, now);
                self.engines.insert(instance.id.clone(), engine);
            }
        }
    }

    /// Sends no orders and no requests for reports to an engine before `until`.
    pub fn hold_engine(&mut self, id: &str, until: Now) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.held_until = engine.held_until.max(until);
        }
    }

    /// Applies what a node has observed of an engine.
    pub fn observe(&mut self, observed: &Observation, now: Now) {
        let Some(engine) = self.engines.get_mut(&observed.instance) else {
            return;
        };
        if let Some(factor) = observed.slowdown {
            engine.slowdown.record(factor, now);
        }
        if let Some(exceeded) = observed.exceeded_gap {
            engine.gap_control.record(exceeded);
        }
    }

    /// Sets the calls per second that an engine takes, or that it takes any number.
    pub fn set_rate_limit(&mut self, id: &str, per_s: Option<f64>, now: Now) {
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        match (&mut engine.pace, per_s) {
            (Some(pace), Some(per_s)) => pace.set_limit(per_s),
            (pace, per_s) => *pace = per_s.map(|per_s| Pace::new(per_s, now)),
        }
    }

    /// Drops an engine that left the directory, with the calls granted to it.
    pub fn forget(&mut self, id: &str) {
        if let Some(engine) = self.engines.remove(id) {
            self.running.retain(|_, engine| &**engine != id);
            self.departed.insert(id.into(), engine.into_unresolved());
        }
    }

    /// Records an adapter's newest version.
    pub fn on_version(&mut self, key: AdapterKey, version: WeightVersion) {
        let known = self.versions.entry(key.clone()).or_insert(0);
        if *known >= version {
            return;
        }
        *known = version;
        // Copies of the adapter without a known version, such as those that were
        // loaded as the newest one, are marked with 0 as older than any.
        let copies = self
            .engines
            .values_mut()
            .filter_map(|e| e.copies.get_mut(&key));
        for copy in copies {
            copy.version.get_or_insert(0);
        }
    }

    /// Queues a call, or refuses it when its expected wait is too long.
    pub fn submit(&mut self, request: PlacementRequest, now: Now) -> Option<Refusal> {
        let expected = self.expected_wait(&request, now);
        self.submit_with_wait(request, expected, now)
    }

    /// Like [`Self::submit`], for a call whose [`Self::expected_wait`] has just
    /// been computed.
    pub fn submit_with_wait(
        &mut self,
        request: PlacementRequest,
        expected: Duration,
        now: Now,
    ) -> Option<Refusal> {
        self.serial += 1;
        let queued = self.new_queued(request, self.serial);
        if queued.key.is_some() {
            self.popularity.record(&queued.key_text, 1, now);
        }
        if self.needs_load(&queued) {
            self.load_demand.record(now);
        }
        if let Some(refusal) = self.admission_refusal(&queued, expected, now) {
            return Some(refusal);
        }
        self.queue.push(queued);
        None
    }

    /// Orders no evictions before `from`. A new coordinator does not know yet
    /// which adapters are in use.
    pub const fn defer_evictions(&mut self, from: Now) {
        self.evictions_from = from;
    }

    /// Adopts a call that another coordinator granted, as if it was granted here.
    pub fn adopt(&mut self, running: RunningCall, now: Now) {
        let Some(engine) = self.engines.get_mut(&running.instance) else {
            return;
        };
        if running.deadline <= now || self.running.contains_key(&running.call) {
            return;
        }
        self.running
            .insert(running.call.clone(), running.instance.clone());
        engine.adopt(running, now);
    }

    /// Records an adapter that calls requested before this node was coordinator,
    /// and the engine on which it ran last. Adapters are recorded in the order in
    /// which they were used.
    pub fn record_recent(&mut self, key: &AdapterKey, instance: &str, now: Now) {
        self.popularity.record(&key.to_string(), 1, now);
        if let Some(engine) = self.engines.get_mut(instance) {
            engine.assume_cached(key);
        }
    }

    /// Cancels a queued or granted call whose caller no longer waits.
    pub fn cancel(&mut self, call: &str, now: Now) {
        self.queue.retain(|q| &*q.request.call != call);
        self.progress(call, Progress::Ended, now);
    }

    /// Drops the queued calls; the coordinator notifies the nodes that requested
    /// them.
    pub fn clear_queue(&mut self) {
        self.queue.clear();
    }

    /// Records the progress of a granted call.
    pub fn progress(&mut self, call: &str, progress: Progress, now: Now) {
        let Some(id) = self.running.get(call).cloned() else {
            return;
        };
        let Some(engine) = self.engines.get_mut(&id) else {
            return;
        };
        match progress {
            Progress::Started => {
                if engine.on_started(call, now) {
                    let pending: usize = self.engines.values().map(EngineView::pending_loads).sum();
                    let limit = self.load_estimate.limit(self.engines.len());
                    self.load_estimate.record_met(pending as f64 + 1.0 >= limit);
                }
            }
            Progress::Ended => {
                engine.on_ended(call, now);
                self.running.remove(call);
            }
            Progress::Rejected(why) => {
                if engine.on_rejected(call, why, now) {
                    self.load_estimate.record_exceeded();
                }
                self.running.remove(call);
            }
        }
    }

    /// Makes the decisions that are due at `now` and returns the actions to carry
    /// out.
    pub fn poll(&mut self, now: Now) -> Vec<Action> {
        self.expire_calls(now);
        let mut actions = self.synchronize(now);
        actions.extend(self.place_queued(now));
        actions.extend(self.next_orders(now));
        actions
    }

    /// Returns when [`Self::poll`] must be called at the latest if no event comes
    /// before.
    #[must_use]
    pub fn next_poll(&self, now: Now) -> Option<Now> {
        let engines = self.engines.values().filter_map(EngineView::next_change);
        let queue = (!self.queue.is_empty()).then_some(now + QUEUE_POLL_INTERVAL);
        engines.chain(queue).min()
    }

    /// Returns the load of the zone.
    #[must_use]
    pub fn load_summary(&self, now: Now) -> LoadSummary {
        let usable = self.engines.values().filter(|e| e.is_usable(now));
        let queued_tokens: f64 = self.queue.iter().map(|q| f64::from(q.request.tokens)).sum();
        let mut summary = LoadSummary {
            wait: Duration::MAX,
            engines: 0,
            free_slots: 0,
        };
        let mut rate = 0.0;
        for engine in usable {
            let spec = self.specs.get(&engine.service);
            let slots = spec.map_or(0, |s| engine.free_or_evictable_slots(s.adapter_slots, now));
            summary.engines += 1;
            summary.free_slots += slots;
            let wait = engine.prefill_backlog().max(engine.pace_wait(0.0, now));
            summary.wait = summary.wait.min(wait);
            rate += engine.prefill_rate();
        }
        if summary.engines > 0 {
            summary.wait += estimate::millis(queued_tokens / rate);
            if let Some(per_s) = self.total_rate_limit(now) {
                summary.wait += estimate::millis(self.queue.len() as f64 / per_s * 1e3);
            }
        }
        summary
    }

    /// Whether an engine holds or loads an adapter in a usable version.
    #[must_use]
    pub fn holds_or_loads(&self, key: &AdapterKey) -> bool {
        let version = self.versions.get(key).copied();
        let serves = |e: &EngineView| e.copies.get(key).is_some_and(|c| c.serves(version));
        self.engines.values().any(|e| e.ready && serves(e))
    }

    /// Returns the hashes of the adapters for which [`Self::holds_or_loads`] is
    /// true.
    #[must_use]
    pub fn held_hashes(&self) -> BTreeSet<AdapterHash> {
        let ready = self.engines.values().filter(|e| e.ready);
        let copies = ready.flat_map(|e| &e.copies);
        copies
            .filter(|(key, copy)| copy.serves(self.versions.get(*key).copied()))
            .map(|(key, _)| key.short_hash())
            .collect()
    }

    /// Returns the number of queued calls.
    #[must_use]
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Returns counts and estimates for logs.
    #[must_use]
    pub fn stats(&self) -> SchedulerStats {
        SchedulerStats {
            running: self.running.len(),
            ordered_loads: self.engines.values().map(EngineView::ordered_loads).sum(),
            pending_loads: self.engines.values().map(EngineView::pending_loads).sum(),
            awaiting_slot: self.queue.iter().filter(|q| q.awaiting_slot).count(),
            load_time: self.load_estimate.expected(false),
        }
    }

    /// Returns what is assumed about the orders to an engine.
    #[must_use]
    pub fn order_status(&self, id: &str, now: Now) -> Option<OrderStatus> {
        let engine = self.engines.get(id)?;
        let outcome_at = engine.last_order_outcome_at;
        Some(OrderStatus {
            accepted: engine.accepted_orders,
            unresolved: engine.unresolved.len(),
            outcome_age: (outcome_at > Now::ZERO).then(|| now.saturating_sub(outcome_at)),
        })
    }

    /// Returns the adapters that each engine holds or loads; engines without any
    /// are included.
    #[must_use]
    pub fn held_adapters(&self) -> BTreeMap<InstanceId, BTreeSet<AdapterKey>> {
        self.engines
            .iter()
            .map(|(id, engine)| (id.clone(), engine.copies.keys().cloned().collect()))
            .collect()
    }

    fn expire_calls(&mut self, now: Now) {
        for engine in self.engines.values_mut() {
            for call in engine.expire_calls(now) {
                self.running.remove(&call);
            }
        }
        if now >= self.next_prune {
            self.popularity.prune(now);
            self.departed.retain(|_, orders| {
                orders.outlive_incarnation(now);
                orders.len() > 0
            });
            self.next_prune = now + PRUNE_INTERVAL;
        }
    }

    /// Returns the calls per second that all engines take together, if each of them
    /// names a limit.
    fn total_rate_limit(&self, now: Now) -> Option<f64> {
        let usable = self.engines.values().filter(|e| e.is_usable(now));
        let limits = usable.map(|e| e.pace.map(|pace| pace.per_s()));
        limits.sum::<Option<f64>>().filter(|per_s| *per_s > 0.0)
    }

    /// Returns the mean prefill rate of the engines, in tokens per millisecond.
    fn mean_prefill_rate(&self) -> f64 {
        let sum: f64 = self.engines.values().map(EngineView::prefill_rate).sum();
        if self.engines.is_empty() {
            PrefillRate::default().per_ms()
        } else {
            sum / self.engines.len() as f64
        }
    }

    fn model(&self, service: &str, model: &str) -> Option<&Model> {
        let spec = self.specs.get(service)?;
        spec.models.iter().find(|m| &*m.name == model)
    }
}

impl AdapterKey {
    /// Returns its short hash, which is the same on all nodes.
    #[must_use]
    pub fn short_hash(&self) -> AdapterHash {
        rendezvous::weight(&self.model, &self.adapter) as AdapterHash
    }
}

impl fmt::Display for AdapterKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.model, self.adapter)
    }
}
