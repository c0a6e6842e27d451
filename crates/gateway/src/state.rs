//! What a node believes, shared by its tasks.
//!
//! Everything is changed by one task at a time under one lock that is never
//! held over an await.

use crate::clock::Clock;
use crate::feeds::Feeds;
use reedford_fleet::balancer::Balancer;
use reedford_fleet::budget::{RetryBudget, RetryLimits};
use reedford_fleet::config::RouteTable;
use reedford_fleet::connectivity::Connectivity;
use reedford_fleet::directory::{Directory, Instance};
use reedford_fleet::health::Health;
use reedford_fleet::ownership::{Holder, Role};
use reedford_fleet::scheduler::{AdapterKey, Grant};
use reedford_fleet::zones::ZoneReport;
use reedford_fleet::{InstanceId, Now, WeightVersion, ZoneId};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{Notify, watch};

/// Most adapters whose last place is remembered.
const PLACES_KEPT: usize = 4_096;

/// State of a node behind its lock.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) clock: Clock,
    pub(crate) feeds: Feeds,
    /// Newest revision of operators' keys that another node told.
    pub(crate) operators_told: watch::Sender<i64>,
    /// Told when the own zone has no coordinator any more.
    pub(crate) role_vacant: Notify,
    /// Told when a call found no coordinator.
    pub(crate) no_coordinator: Notify,
    state: Mutex<State>,
}

/// State of a node.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) routes: Option<Arc<RouteTable>>,
    pub(crate) directory: Directory,
    /// Whether the store has told the instances at least once.
    pub(crate) listed: bool,
    pub(crate) versions: BTreeMap<AdapterKey, WeightVersion>,
    pub(crate) health: Health,
    pub(crate) spread: Balancer,
    pub(crate) budget: RetryBudget,
    pub(crate) role: Role,
    /// This node's availability zone.
    pub(crate) zone: ZoneId,
    /// Coordinators of the other availability zones.
    pub(crate) neighbours: BTreeMap<ZoneId, Holder>,
    /// What they told of their zones.
    pub(crate) zone_words: BTreeMap<ZoneId, ZoneReport>,
    /// Where adapters ran last, for times without a coordinator.
    pub(crate) places: BTreeMap<AdapterKey, Place>,
    pub(crate) contact: Connectivity,
    pub(crate) stopping: bool,
}

/// Where an adapter ran last.
#[derive(Clone, Debug)]
pub(crate) struct Place {
    pub(crate) instance: InstanceId,
    pub(crate) version: Option<WeightVersion>,
    pub(crate) at: Now,
}

impl Shared {
    pub(crate) fn new(zone: ZoneId, role: Role, retries: RetryLimits) -> Self {
        Self {
            clock: Clock::start(),
            feeds: Feeds::default(),
            operators_told: watch::Sender::new(0),
            role_vacant: Notify::new(),
            no_coordinator: Notify::new(),
            state: Mutex::new(State {
                routes: None,
                directory: Directory::default(),
                listed: false,
                versions: BTreeMap::new(),
                health: Health::default(),
                spread: Balancer::default(),
                budget: RetryBudget::new(retries),
                role,
                zone,
                neighbours: BTreeMap::new(),
                zone_words: BTreeMap::new(),
                places: BTreeMap::new(),
                contact: Connectivity::default(),
                stopping: false,
            }),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn now(&self) -> Now {
        self.clock.now()
    }
}

impl State {
    /// Whether the node can serve callers.
    pub(crate) fn ready(&self, now: Now) -> bool {
        self.routes.is_some() && self.listed && !self.stopping && !self.cut_off(now)
    }

    /// Whether calls can't be placed because this node hears of nobody. A
    /// coordinator that may go on places them itself.
    pub(crate) fn cut_off(&self, now: Now) -> bool {
        self.contact.cut_off(now) && !self.role.leads(now)
    }

    /// Remembers where an adapter runs.
    pub(crate) fn remember(&mut self, key: AdapterKey, grant: &Grant, now: Now) {
        if self.places.len() >= PLACES_KEPT && !self.places.contains_key(&key) {
            let oldest = self.places.iter().min_by_key(|(_, p)| p.at);
            if let Some(oldest) = oldest.map(|(key, _)| key.clone()) {
                self.places.remove(&oldest);
            }
        }
        let place = Place {
            instance: grant.instance.clone(),
            version: grant.version,
            at: now,
        };
        self.places.insert(key, place);
    }

    /// An instance that may be used, by its id.
    pub(crate) fn usable(&self, id: &str) -> Option<&Instance> {
        let instance = self.directory.get(id)?;
        (instance.state == reedford_fleet::directory::InstanceState::Ready).then_some(instance)
    }
}
