//! State of a worker's scheduler, and what is asked of it.

use super::engine::{Engine, Status};
use super::{Action, Cx};
use crate::ids::{AdapterVersion, Epoch, Now, PermitId};
use crate::lease::LeaseState;
use crate::messages::PermitReason;
use reedford_rules::{Admission, Class, Eviction, GroupRule, LoadOrdering, Objective};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The rules that a scheduler follows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Policy {
    /// What the group favours.
    pub objective: Objective,
    /// How a resident adapter is chosen for eviction.
    pub eviction: Eviction,
    /// Which load goes next.
    pub load_ordering: LoadOrdering,
    /// Whether requests that can't end in time are refused at once.
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
    /// Adapter versions not known to be resident that may be in use all the
    /// same: a listing asked for then or later has to show that they are not.
    pub(super) doubts: BTreeMap<AdapterVersion, Now>,
    /// Whether a listing asked for at `evict_from` or later was taken in. What
    /// a former owner sent has then ended or is in that listing.
    pub(super) settled: bool,
    /// Loads that the engine listed; not all are by orders of ours.
    pub(super) loads_listed: BTreeSet<AdapterVersion>,
    /// Not granted or loaded until then, whatever the engine lists meanwhile:
    /// the adapter may be gone for another reason than the eviction that may
    /// still come.
    pub(super) barred: BTreeMap<AdapterVersion, Now>,
    pub(super) orders: BTreeMap<AdapterVersion, Order>,
    pub(super) orders_changed: Now,
    pub(super) asked: BTreeMap<AdapterVersion, TurnAsk>,
    pub(super) backoff: BTreeMap<AdapterVersion, Backoff>,
    pub(super) waiting: BTreeMap<PermitId, Waiting>,
    pub(super) permits: BTreeMap<PermitId, Permit>,
    pub(super) holds: BTreeMap<Class, Duration>,
    pub(super) actions: Vec<Action>,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Resident {
    pub(super) last_used: Now,
    /// Set while it may be in use unknown to us: a listing asked for at this
    /// time or later has to show that it is not.
    pub(super) uncertain: Option<Now>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum OrderKind {
    Evict,
    Load,
    /// The engine has restarted since. Which boot took the order is unknown,
    /// so its success says nothing about the present one.
    LoadBeforeRestart,
}

/// An order under way.
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

/// A turn asked of the broker.
#[derive(Clone, Copy, Debug)]
pub(super) struct TurnAsk {
    /// Value that the broker was told.
    pub(super) value: f64,
    /// When the turn is expected.
    pub(super) expected: Now,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Backoff {
    pub(super) failures: u32,
    pub(super) until: Now,
}

#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub(super) target: AdapterVersion,
    pub(super) class: Class,
    pub(super) expected: Duration,
    pub(super) since: Now,
    pub(super) deadline: Now,
    /// Set when the load that it waited for ended.
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
    /// A scheduler that grants from `open_from` on and evicts what it finds
    /// from `evict_from` on.
    #[must_use]
    pub fn new(policy: Policy, epoch: Epoch, open_from: Now, evict_from: Now) -> Self {
        Self {
            policy,
            epoch,
            open_from,
            evict_from,
            engine: None,
            residents: BTreeMap::new(),
            doubts: BTreeMap::new(),
            settled: false,
            loads_listed: BTreeSet::new(),
            barred: BTreeMap::new(),
            orders: BTreeMap::new(),
            orders_changed: Duration::ZERO,
            asked: BTreeMap::new(),
            backoff: BTreeMap::new(),
            waiting: BTreeMap::new(),
            permits: BTreeMap::new(),
            holds: BTreeMap::new(),
            actions: Vec::new(),
        }
    }

    /// Puts another policy in force.
    pub fn set_policy(&mut self, policy: Policy) {
        self.policy = policy;
    }

    /// Ends what has run out of time and starts what can be started.
    pub fn on_tick(&mut self, cx: &Cx<'_>) {
        self.end_permits(cx.now);
        self.barred.retain(|_, until| *until > cx.now);
        self.forget_failures(cx.now);
        match cx.lease {
            LeaseState::Held => {}
            LeaseState::ResidentOnly => self.refuse_not_resident(),
            LeaseState::Lapsed => self.refuse_all(PermitReason::NotOwner),
        }
        self.pump(cx);
    }

    /// The actions decided since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Number of the ownership.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Whether the worker takes new work, lease aside.
    #[must_use]
    pub fn is_open(&self, now: Now) -> bool {
        now >= self.open_from && self.engine.as_ref().is_some_and(|e| e.status == Status::Up)
    }

    /// Permits out.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.permits.len() as u32
    }

    /// Requests waiting for a permit.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        self.waiting.len() as u32
    }

    /// Most requests that run at once; 0 while unknown.
    #[must_use]
    pub fn batch_limit(&self) -> u32 {
        self.engine.as_ref().map_or(0, |e| e.batch_limit)
    }

    /// Adapter versions that are resident and may be granted.
    #[must_use]
    pub fn residents(&self) -> BTreeSet<AdapterVersion> {
        self.residents
            .keys()
            .filter(|t| self.is_resident(t))
            .cloned()
            .collect()
    }

    /// Adapter versions that are being loaded, or wait for their turn.
    #[must_use]
    pub fn loading(&self) -> BTreeSet<AdapterVersion> {
        let loads = self.orders.iter().filter(|(_, kind)| kind.is_load());
        let loads = loads.map(|(target, _)| target);
        loads.chain(self.asked.keys()).cloned().collect()
    }

    /// How many requests wait for each adapter version.
    #[must_use]
    pub fn waiting_by_target(&self) -> BTreeMap<AdapterVersion, u32> {
        let mut counts = BTreeMap::new();
        for waiting in self.waiting.values() {
            *counts.entry(waiting.target.clone()).or_default() += 1;
        }
        counts
    }

    /// Permits that pin `target`.
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
            && !self.barred.contains_key(target)
    }
}
