//! Where model calls of one availability zone run, and which adapters its
//! engines load and evict.
//!
//! One node of the zone, the coordinator, drives a [`Scheduler`]. Nodes ask it
//! for a place before they send a call, and tell it when the call started and
//! ended. It knows what it granted, so that its view of the engines needs no
//! reports; engines are listed only after a takeover, a restart, or an order
//! whose fate is unknown.
//!
//! Calls wait here and not in the engines' queues: an engine gets only as much
//! work ahead as keeps it busy ([`Limits::work_ahead`]), and the rest stays in
//! an order that can still change. Every call goes to the engine where its
//! first token is expected soonest, counting work ahead, a load of the adapter
//! and an eviction. So an adapter stays at its engine while that is not
//! busier than others by more than a load costs, and is copied when it is.

mod ask;
mod engine;
mod estimate;
mod order;
mod placing;
mod synchronize;

pub use ask::{Ask, CallId, Grant, Progress, Refusal, RefusalReason, Rejection};
pub use order::{Order, OrderAnswer, OrderKind, Report};

use crate::config::{Engine as EngineSpec, Model};
use crate::directory::{Instance, InstanceState};
use crate::{AdapterName, InstanceId, ModelName, Now, WeightVersion};
use engine::Engine;
use estimate::{LoadTimes, Turnover};
use reedford_core::frequency::Frequency;
use reedford_core::rendezvous;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Half-life of the request counts that choose what is evicted; popularity
/// moves within seconds.
const POPULARITY_HALF_LIFE: Duration = Duration::from_secs(8);
/// Pause between two forgettings of rare adapters.
const PRUNE_PAUSE: Duration = Duration::from_secs(5);
/// Longest time between two looks at a queue that is not empty.
const QUEUE_LOOK: Duration = Duration::from_millis(15);

/// An adapter of a base model.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct AdapterKey {
    /// The base model.
    pub model: ModelName,
    /// The adapter.
    pub adapter: AdapterName,
}

/// Stands for an adapter in words between zones. Two adapters may share one;
/// a call that is passed on in vain costs only the way there.
pub type AdapterMark = u32;

/// Limits of a scheduler.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Work granted to an engine before its running calls have started.
    pub work_ahead: Duration,
    /// Wait for the first token, in parts of the time that the caller has, from
    /// which a call is refused on arrival.
    pub patience: f64,
    /// Share of the rate of base model loads that this zone may use.
    pub load_share: f64,
}

/// What the owner of a scheduler has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Tell the asker to send its call.
    Grant(Grant),
    /// Tell the asker that its call is refused.
    Refuse(Refusal),
    /// Send an order to an engine.
    Order(Order),
    /// Ask an engine what it holds.
    FetchReport {
        /// The engine.
        instance: InstanceId,
        /// Its address.
        addr: SocketAddr,
    },
}

/// How loaded a zone is, for other zones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outlook {
    /// Shortest wait for a first token on any engine.
    pub wait: Duration,
    /// Engines that can be used.
    pub engines: usize,
    /// Places for adapters that could be had at once.
    pub free_places: usize,
}

/// What goes on in a zone, for logs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UnderWay {
    /// Calls granted and not ended.
    pub running: usize,
    /// Adapters whose load has not been accepted yet.
    pub ordered: usize,
    /// Adapters on their way, the ordered ones included.
    pub arriving: usize,
    /// Waiting calls for whose adapter no engine had a place.
    pub placeless: usize,
    /// Expected time of a load from the store.
    pub load_time: Duration,
}

/// The scheduler of one zone.
#[derive(Clone, Debug)]
pub struct Scheduler {
    limits: Limits,
    specs: BTreeMap<Box<str>, EngineSpec>,
    engines: BTreeMap<InstanceId, Engine>,
    versions: BTreeMap<AdapterKey, WeightVersion>,
    queue: Vec<Waiting>,
    running: BTreeMap<CallId, InstanceId>,
    popularity: Frequency,
    load_times: LoadTimes,
    turnover: Turnover,
    model_loads: Vec<Now>,
    next_prune: Now,
    serial: u64,
}

#[derive(Clone, Debug)]
struct Waiting {
    ask: Ask,
    key: Option<AdapterKey>,
    /// The adapter as text, for hashes.
    name: Box<str>,
    /// Whether no engine had a place for its adapter when it was last looked at.
    placeless: bool,
    serial: u64,
}

impl Scheduler {
    /// A scheduler that knows no engine.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            specs: BTreeMap::new(),
            engines: BTreeMap::new(),
            versions: BTreeMap::new(),
            queue: Vec::new(),
            running: BTreeMap::new(),
            popularity: Frequency::new(POPULARITY_HALF_LIFE),
            load_times: LoadTimes::default(),
            turnover: Turnover::default(),
            model_loads: Vec::new(),
            next_prune: PRUNE_PAUSE,
            serial: 0,
        }
    }

    /// Puts the engine part of a service's configuration in force.
    pub fn set_spec(&mut self, service: &str, spec: EngineSpec) {
        self.specs.insert(service.into(), spec);
    }

    /// Takes an engine's entry in the directory.
    pub fn on_instance(&mut self, instance: &Instance, now: Now) {
        if !self.specs.contains_key(&instance.service) {
            return;
        }
        match self.engines.get_mut(&instance.id) {
            Some(engine) if engine.born == instance.born && engine.addr == instance.addr => {
                engine.ready = instance.state == InstanceState::Ready;
            }
            _ => {
                self.forget(&instance.id);
                let engine = Engine::new(instance, now);
                self.engines.insert(instance.id.clone(), engine);
            }
        }
    }

    /// Drops an engine that is gone.
    pub fn forget(&mut self, id: &str) {
        if self.engines.remove(id).is_some() {
            self.running.retain(|_, at| &**at != id);
        }
    }

    /// Takes word of an adapter's newest version.
    pub fn on_version(&mut self, key: AdapterKey, version: WeightVersion) {
        let known = self.versions.entry(key.clone()).or_insert(0);
        if *known >= version {
            return;
        }
        *known = version;
        // What was loaded as the newest is so no longer.
        let copies = self
            .engines
            .values_mut()
            .filter_map(|e| e.copies.get_mut(&key));
        for copy in copies {
            copy.version.get_or_insert(0);
        }
    }

    /// Queues a call, or refuses it when it would surely come too late.
    pub fn ask(&mut self, ask: Ask, now: Now) -> Option<Refusal> {
        let expected = self.expected_wait(&ask, now);
        self.ask_expecting(ask, expected, now)
    }

    /// [`Self::ask`] for a call whose [`Self::expected_wait`] has just been
    /// worked out.
    pub fn ask_expecting(&mut self, ask: Ask, expected: Duration, now: Now) -> Option<Refusal> {
        self.serial += 1;
        let waiting = Waiting::new(ask, self.serial);
        if waiting.key.is_some() {
            self.popularity.record(&waiting.name, 1, now);
        }
        if let Some(refusal) = self.refusal_on_arrival(&waiting, expected, now) {
            return Some(refusal);
        }
        self.queue.push(waiting);
        None
    }

    /// Withdraws a call that its caller no longer waits for.
    pub fn withdraw(&mut self, call: &str, now: Now) {
        self.queue.retain(|w| &*w.ask.call != call);
        self.progress(call, Progress::Ended, now);
    }

    /// Forgets the calls that wait; their askers are told by the owner.
    pub fn drop_waiting(&mut self) {
        self.queue.clear();
    }

    /// Takes word of a granted call.
    pub fn progress(&mut self, call: &str, progress: Progress, now: Now) {
        let Some(id) = self.running.get(call).cloned() else {
            return;
        };
        let Some(engine) = self.engines.get_mut(&id) else {
            return;
        };
        match progress {
            Progress::Started => {
                if engine.started(call, now) {
                    self.load_times.long_enough();
                }
            }
            Progress::Ended => {
                engine.ended(call, now);
                self.running.remove(call);
            }
            Progress::Rejected(why) => {
                if engine.rejected(call, why, now) {
                    self.load_times.too_short();
                }
                self.running.remove(call);
            }
        }
    }

    /// Decides what can be decided at `now`.
    pub fn poll(&mut self, now: Now) -> Vec<Action> {
        self.expire(now);
        let mut actions = self.synchronize(now);
        actions.extend(self.place_waiting(now));
        actions.extend(self.next_orders(now));
        actions
    }

    /// When [`Self::poll`] has something to do although nothing happens.
    #[must_use]
    pub fn next_look(&self, now: Now) -> Option<Now> {
        let engines = self.engines.values().filter_map(Engine::next_change);
        let queue = (!self.queue.is_empty()).then_some(now + QUEUE_LOOK);
        engines.chain(queue).min()
    }

    /// How loaded the zone is.
    #[must_use]
    pub fn outlook(&self, now: Now) -> Outlook {
        let usable = self.engines.values().filter(|e| e.usable(now));
        let queued: f64 = self.queue.iter().map(|w| f64::from(w.ask.tokens)).sum();
        let mut outlook = Outlook {
            wait: Duration::MAX,
            engines: 0,
            free_places: 0,
        };
        let mut rate = 0.0;
        for engine in usable {
            let spec = self.specs.get(&engine.service);
            let places = spec.map_or(0, |s| engine.places(s.adapter_slots, now));
            outlook.engines += 1;
            outlook.free_places += places;
            outlook.wait = outlook.wait.min(engine.wait());
            rate += engine.rate();
        }
        if outlook.engines > 0 {
            outlook.wait += estimate::millis(queued / rate);
        }
        outlook
    }

    /// Whether an engine has an adapter, or will, in a version that serves.
    #[must_use]
    pub fn holds(&self, key: &AdapterKey) -> bool {
        let version = self.versions.get(key).copied();
        let serves = |e: &Engine| e.copies.get(key).is_some_and(|c| c.serves(version));
        self.engines.values().any(|e| e.ready && serves(e))
    }

    /// Marks of the adapters that [`Self::holds`] is true for.
    #[must_use]
    pub fn held(&self) -> BTreeSet<AdapterMark> {
        let ready = self.engines.values().filter(|e| e.ready);
        let copies = ready.flat_map(|e| &e.copies);
        copies
            .filter(|(key, copy)| copy.serves(self.versions.get(*key).copied()))
            .map(|(key, _)| key.mark())
            .collect()
    }

    /// Calls that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// What is under way.
    #[must_use]
    pub fn under_way(&self) -> UnderWay {
        UnderWay {
            running: self.running.len(),
            ordered: self.engines.values().map(Engine::ordered).sum(),
            arriving: self.engines.values().map(Engine::arriving).sum(),
            placeless: self.queue.iter().filter(|w| w.placeless).count(),
            load_time: self.load_times.expected(false),
        }
    }

    /// Engines with the adapters that they hold or load, for operators.
    #[must_use]
    pub fn residents(&self) -> BTreeMap<InstanceId, BTreeSet<AdapterKey>> {
        self.engines
            .iter()
            .map(|(id, engine)| (id.clone(), engine.copies.keys().cloned().collect()))
            .collect()
    }

    fn expire(&mut self, now: Now) {
        for engine in self.engines.values_mut() {
            for call in engine.expire(now) {
                self.running.remove(&call);
            }
        }
        if now >= self.next_prune {
            self.popularity.prune(now);
            self.next_prune = now + PRUNE_PAUSE;
        }
    }

    fn model(&self, service: &str, model: &str) -> Option<&Model> {
        let spec = self.specs.get(service)?;
        spec.models.iter().find(|m| &*m.name == model)
    }
}

impl AdapterKey {
    /// Its mark, the same on all nodes.
    #[must_use]
    pub fn mark(&self) -> AdapterMark {
        rendezvous::weight(&self.model, &self.adapter) as AdapterMark
    }
}

impl fmt::Display for AdapterKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.model, self.adapter)
    }
}
