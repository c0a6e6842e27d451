//! State of a worker's scheduler, and its accessors.

use super::engine::{Engine, EngineStatus};
use super::{Action, SchedulerContext};
use crate::ids::{AdapterVersion, Epoch, Now, PermitId};
use crate::lease::LeaseState;
use crate::messages::PermitReason;
use reedford_rules::{Admission, Class, Eviction, GroupRule, LoadOrdering, Objective};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The rules of the worker's group that the scheduler follows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Policy {
    /// Objective of the group.
    pub objective: Objective,
    /// How the resident adapter to evict is chosen.
    pub eviction: Eviction,
    /// How loads are ordered.
    pub load_ordering: LoadOrdering,
    /// Whether requests that can't end by their deadline are refused at once.
    pub admission: Admission,
}

impl From<&GroupRule> for Policy {
    fn from(rule: &GroupRule) -> Self {
        Self {
            objective: rule.objective,
            eviction: rule.eviction,
            load_ordering: rule.load_ordering,
            admission: rule.admission,
        }
    }
}

/// The scheduler of one worker.
#[derive(Clone, Debug)]
pub struct Scheduler {
    pub(super) policy: Policy,
    pub(super) epoch: Epoch,
    pub(super) open_from: Now,
    pub(super) evict_from: Now,
    pub(super) engine: Option<Engine>,
    pub(super) residents: BTreeMap<AdapterVersion, Resident>,
    /// Adapter versions that may be in use although they are not known to be
    /// resident, until a listing requested at this time or later shows them
    /// idle.
    pub(super) maybe_in_use: BTreeMap<AdapterVersion, Now>,
    /// Whether a listing requested at `evict_from` or later was applied. Such a
    /// listing includes all requests of previous owners that had not ended by
    /// then.
    pub(super) listed_after_evict_from: bool,
    /// Loads that the engine listed; some may not be ordered by this scheduler.
    pub(super) listed_loads: BTreeSet<AdapterVersion>,
    /// Adapter versions on which no permit may be granted, and which may not be
    /// loaded, until this time, even if a listing no longer shows them: they
    /// may have been removed for another reason, and the pending eviction may
    /// still take effect.
    pub(super) blocked: BTreeMap<AdapterVersion, Now>,
    pub(super) orders: BTreeMap<AdapterVersion, Order>,
    pub(super) orders_changed: Now,
    pub(super) pending_turns: BTreeMap<AdapterVersion, PendingTurn>,
    pub(super) backoff: BTreeMap<AdapterVersion, Backoff>,
    pub(super) waiting: BTreeMap<PermitId, WaitingRequest>,
    pub(super) permits: BTreeMap<PermitId, Permit>,
    pub(super) service_times: BTreeMap<Class, Duration>,
    pub(super) actions: Vec<Action>,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Resident {
    pub(super) last_used: Now,
    /// Set while the adapter may be in use by a request without a known permit,
    /// until a listing requested at this time or later shows it idle.
    pub(super) uncertain: Option<Now>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum OrderKind {
    Evict,
    Load,
    /// The engine has restarted since the order was sent. Which boot carried it
    /// out is unknown, so its success does not show that the adapter is resident
    /// now.
    LoadBeforeRestart,
}

/// An order to the engine whose response has not arrived.
#[derive(Clone, Copy, Debug)]
pub(super) struct Order {
    pub(super) kind: OrderKind,
    pub(super) since: Now,
}

impl Order {
    pub(super) fn is_load(&self) -> bool {
        match self.kind {
            OrderKind::Evict => false,
            OrderKind::Load | OrderKind::LoadBeforeRestart => true,
        }
    }
}

/// A load turn requested from the broker and not yet granted.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingTurn {
    /// Value last sent to the broker.
    pub(super) value: f64,
    /// Time at which the turn is expected to be granted.
    pub(super) expected_at: Now,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Backoff {
    pub(super) failures: u32,
    pub(super) until: Now,
}

#[derive(Clone, Debug)]
pub(super) struct WaitingRequest {
    pub(super) target: AdapterVersion,
    pub(super) class: Class,
    /// Expected time from the grant to the end of the response.
    pub(super) expected_service_time: Duration,
    pub(super) since: Now,
    pub(super) deadline: Now,
    /// Time that the request waited for a load, set when the load ends.
    pub(super) load_stall: Option<Duration>,
}

#[derive(Clone, Debug)]
pub(super) struct Permit {
    pub(super) target: AdapterVersion,
    pub(super) class: Class,
    pub(super) granted: Now,
    pub(super) until: Now,
}

impl Scheduler {
    /// Creates a scheduler that grants from `open_from` on and evicts adapters
    /// that it finds on the worker from `evict_from` on.
    #[must_use]
    pub fn new(policy: Policy, epoch: Epoch, open_from: Now, evict_from: Now) -> Self {
        Self {
            policy,
            epoch,
            open_from,
            evict_from,
            engine: None,
            residents: BTreeMap::new(),
            maybe_in_use: BTreeMap::new(),
            listed_after_evict_from: false,
            listed_loads: BTreeSet::new(),
            blocked: BTreeMap::new(),
            orders: BTreeMap::new(),
            orders_changed: Duration::ZERO,
            pending_turns: BTreeMap::new(),
            backoff: BTreeMap::new(),
            waiting: BTreeMap::new(),
            permits: BTreeMap::new(),
            service_times: BTreeMap::new(),
            actions: Vec::new(),
        }
    }

    /// Replaces the policy.
    pub fn set_policy(&mut self, policy: Policy) {
        self.policy = policy;
    }

    /// Drops expired permits, blocks and backoffs, refuses requests that the lease
    /// no longer allows, then schedules the others.
    pub fn on_tick(&mut self, cx: &SchedulerContext<'_>) {
        self.expire_permits(cx.now);
        self.blocked.retain(|_, until| *until > cx.now);
        self.prune_backoff(cx.now);
        match cx.lease {
            LeaseState::Held => {}
            LeaseState::ResidentOnly => self.refuse_not_resident(),
            LeaseState::Lapsed => self.refuse_all(PermitReason::NotOwner),
        }
        self.schedule(cx);
    }

    /// Removes and returns the actions decided since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the epoch of this ownership.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns whether the worker takes new requests, regardless of the lease.
    #[must_use]
    pub fn is_open(&self, now: Now) -> bool {
        now >= self.open_from
            && self
                .engine
                .as_ref()
                .is_some_and(|e| e.status == EngineStatus::Up)
    }

    /// Returns the number of permits granted and not yet ended.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.permits.len() as u32
    }

    /// Returns the number of requests waiting for a permit.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        self.waiting.len() as u32
    }

    /// Returns the maximum number of requests that run at once; 0 while unknown.
    #[must_use]
    pub fn batch_limit(&self) -> u32 {
        self.engine.as_ref().map_or(0, |e| e.batch_limit)
    }

    /// Returns the adapter versions that are resident and on which permits may
    /// be granted.
    #[must_use]
    pub fn residents(&self) -> BTreeSet<AdapterVersion> {
        self.residents
            .keys()
            .filter(|t| self.is_resident(t))
            .cloned()
            .collect()
    }

    /// Returns the adapter versions that are being loaded, or wait for a load
    /// turn.
    #[must_use]
    pub fn loading(&self) -> BTreeSet<AdapterVersion> {
        let loads = self.orders.iter().filter(|(_, order)| order.is_load());
        let loads = loads.map(|(target, _)| target);
        loads.chain(self.pending_turns.keys()).cloned().collect()
    }

    /// Returns the number of requests that wait for each adapter version.
    #[must_use]
    pub fn waiting_by_target(&self) -> BTreeMap<AdapterVersion, u32> {
        let mut counts = BTreeMap::new();
        for waiting in self.waiting.values() {
            *counts.entry(waiting.target.clone()).or_default() += 1;
        }
        counts
    }

    /// Returns the number of permits that pin `target`.
    #[must_use]
    pub fn pins(&self, target: &AdapterVersion) -> usize {
        self.permits
            .values()
            .filter(|p| p.target == *target)
            .count()
    }

    pub(super) fn is_resident(&self, target: &AdapterVersion) -> bool {
        self.residents.contains_key(target)
            && !self.orders.contains_key(target)
            && !self.blocked.contains_key(target)
    }
}
