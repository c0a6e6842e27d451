//! State of a worker's scheduler and the events that change it.

use super::admission::refuse;
use super::{Action, Cx};
use crate::ids::{AdapterVersion, Epoch, Now, PermitId};
use crate::lease::LeaseState;
use crate::messages::{PermitReason, PermitRefusal, PermitRequest, Release};
use reedford_rules::{Admission, Class, Eviction, GroupRule, LoadOrdering, Objective};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Added to a permit's time, so that it outlasts the asker's own deadline.
const PERMIT_MARGIN: Duration = Duration::from_secs(1);
/// Guess of a request's time on the worker before any was seen.
const FIRST_HOLD: Duration = Duration::from_secs(1);
/// Weight of the newest hold time in the average.
const HOLD_WEIGHT: f64 = 0.1;

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

/// What an engine said about itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineFacts {
    /// Changes whenever the engine restarts.
    pub boot_id: Box<str>,
    /// Number of adapter slots.
    pub slots: u32,
    /// Most requests that run at once.
    pub batch_limit: u32,
    /// Whether the engine is leaving.
    pub leaving: bool,
    /// Occupied slots.
    pub residents: BTreeMap<AdapterVersion, SlotFacts>,
}

/// An occupied slot, as the engine said.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SlotFacts {
    /// Whether the load is still under way.
    pub loading: bool,
    /// Requests that run or wait in the engine.
    pub running: u32,
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

#[derive(Clone, Debug)]
pub(super) struct Engine {
    pub(super) boot_id: Box<str>,
    pub(super) slots: u32,
    pub(super) batch_limit: u32,
    pub(super) status: Status,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Status {
    Up,
    Down,
    Leaving,
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

    /// Decides on a request for a permit: at once, or later by an action.
    pub fn request(&mut self, req: &PermitRequest, cx: &Cx<'_>) {
        if let Some(refusal) = self.refusal(req, cx) {
            self.refuse(req.id.clone(), refusal);
            return;
        }
        let waiting = Waiting {
            target: req.target.clone(),
            class: req.class,
            expected: req.expected.unwrap_or_else(|| self.hold(req.class)),
            since: cx.now,
            deadline: cx.now + req.remaining,
            load_stall: None,
        };
        self.waiting.insert(req.id.clone(), waiting);
        self.pump(cx);
    }

    /// Takes a permit back, or a request for one out of the queue.
    pub fn release(&mut self, release: &Release, cx: &Cx<'_>) {
        self.waiting.remove(&release.id);
        if let Some(permit) = self.permits.remove(&release.id) {
            self.note_hold(&permit, cx.now);
            self.note_use(&permit.target, cx.now, !release.ended);
        }
        self.pump(cx);
    }

    /// Notes what the engine said, in answer to a question sent at `sent`.
    pub fn on_listing(&mut self, facts: &EngineFacts, sent: Now, cx: &Cx<'_>) {
        let rebooted = self
            .engine
            .as_ref()
            .is_some_and(|e| e.boot_id != facts.boot_id);
        if rebooted {
            self.forget_engine();
        }
        let status = if facts.leaving {
            Status::Leaving
        } else {
            Status::Up
        };
        self.engine = Some(Engine {
            boot_id: facts.boot_id.clone(),
            slots: facts.slots,
            batch_limit: facts.batch_limit,
            status,
        });
        self.reconcile(facts, sent);
        if status == Status::Leaving {
            self.refuse_all(PermitReason::WorkerLeaving);
        }
        self.pump(cx);
    }

    /// Notes that the engine does not answer.
    pub fn on_unreachable(&mut self) {
        if let Some(engine) = &mut self.engine {
            engine.status = Status::Down;
        }
        self.refuse_all(PermitReason::WorkerDown);
    }

    /// Notes that the platform lists the worker as leaving.
    pub fn on_leaving(&mut self) {
        if let Some(engine) = &mut self.engine {
            engine.status = Status::Leaving;
        }
        self.refuse_all(PermitReason::WorkerLeaving);
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

    /// Refuses everything that waits.
    pub fn refuse_all(&mut self, reason: PermitReason) {
        for (id, _) in std::mem::take(&mut self.waiting) {
            self.refuse(id, refuse(reason, Duration::ZERO));
        }
        self.withdraw_unwanted();
    }

    /// Refuses what waits for a load: without a lease nothing is loaded.
    fn refuse_not_resident(&mut self) {
        let targets = self.waiting_by_target().into_keys();
        let missing: Vec<AdapterVersion> = targets.filter(|t| !self.is_resident(t)).collect();
        for target in missing {
            self.refuse_waiting(&target, refuse(PermitReason::NotOwner, Duration::ZERO));
        }
        self.withdraw_unwanted();
    }

    /// Refuses what waits for `target`.
    pub(super) fn refuse_waiting(&mut self, target: &AdapterVersion, refusal: PermitRefusal) {
        let ids: Vec<PermitId> = self
            .waiting
            .iter()
            .filter(|(_, w)| w.target == *target)
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            self.waiting.remove(&id);
            self.refuse(id, refusal);
        }
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

    /// Expected time of a request on the worker.
    pub(super) fn hold(&self, class: Class) -> Duration {
        self.holds.get(&class).copied().unwrap_or(FIRST_HOLD)
    }

    /// Expected time of the requests that run now, or of an ordinary one when
    /// none runs.
    pub(super) fn average_hold(&self) -> Duration {
        if self.permits.is_empty() {
            return self.hold(Class::Standard);
        }
        let running = self.permits.values().map(|p| self.hold(p.class));
        running.sum::<Duration>() / self.running()
    }

    pub(super) fn refuse(&mut self, id: PermitId, refusal: PermitRefusal) {
        self.actions.push(Action::Refuse { id, refusal });
    }

    /// Gives up what is late, grants what can be granted, then asks for the
    /// loads still wanted.
    pub(super) fn pump(&mut self, cx: &Cx<'_>) {
        self.give_up_late(cx);
        if !self.is_open(cx.now) || cx.lease == LeaseState::Lapsed {
            return;
        }
        for id in self.grant_order() {
            self.try_grant(&id, cx.now);
        }
        self.withdraw_unwanted();
        if cx.lease == LeaseState::Held {
            self.ask_loads(cx);
        }
    }

    fn grant_order(&self) -> Vec<PermitId> {
        let mut ids: Vec<&PermitId> = self.waiting.keys().collect();
        ids.sort_by_key(|id| {
            let waiting = &self.waiting[*id];
            (waiting.class, waiting.since, *id)
        });
        ids.into_iter().cloned().collect()
    }

    fn try_grant(&mut self, id: &PermitId, now: Now) {
        let waiting = &self.waiting[id];
        if !self.is_resident(&waiting.target) || !self.has_room(waiting.class) {
            return;
        }
        let Some(waiting) = self.waiting.remove(id) else {
            return;
        };
        let load_stall = waiting.load_stall.unwrap_or_default();
        let permit = Permit {
            target: waiting.target,
            class: waiting.class,
            granted: now,
            until: waiting.deadline + PERMIT_MARGIN,
        };
        self.note_use(&permit.target, now, false);
        self.permits.insert(id.clone(), permit);
        self.actions.push(Action::Grant {
            id: id.clone(),
            load_stall,
        });
    }

    fn note_use(&mut self, target: &AdapterVersion, now: Now, uncertain: bool) {
        if let Some(resident) = self.residents.get_mut(target) {
            resident.last_used = now;
            if uncertain {
                resident.uncertain = resident.uncertain.max(Some(now));
            }
        }
    }

    fn note_hold(&mut self, permit: &Permit, now: Now) {
        let held = now.saturating_sub(permit.granted).as_secs_f64();
        let known = self.hold(permit.class).as_secs_f64();
        let average = known * (1.0 - HOLD_WEIGHT) + held * HOLD_WEIGHT;
        self.holds
            .insert(permit.class, Duration::from_secs_f64(average));
    }

    fn end_permits(&mut self, now: Now) {
        let ended: Vec<PermitId> = self
            .permits
            .iter()
            .filter(|(_, p)| p.until <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in ended {
            if let Some(permit) = self.permits.remove(&id) {
                self.note_use(&permit.target, now, true);
            }
        }
    }

    /// A restarted engine holds nothing. Permits stay: a request granted
    /// before the restart may reach the engine after it, when the adapter has
    /// been loaded again. A former owner may send until `evict_from` all the
    /// same. Orders under way are left to end by their own answers.
    fn forget_engine(&mut self) {
        self.residents.clear();
        self.loads_listed.clear();
        for order in self.orders.values_mut().filter(|order| order.is_load()) {
            order.kind = OrderKind::LoadBeforeRestart;
        }
    }

    /// Takes over the engine's word on its slots, unless an order was under
    /// way at some time since the question was sent: then the answer may be
    /// older than what is known here.
    fn reconcile(&mut self, facts: &EngineFacts, sent: Now) {
        self.clear_uncertain(facts, sent);
        if !self.orders.is_empty() || sent < self.orders_changed {
            return;
        }
        self.residents
            .retain(|target, _| facts.residents.contains_key(target));
        self.loads_listed.clear();
        let found = Resident {
            last_used: sent,
            uncertain: Some(self.evict_from.max(sent)),
        };
        for (target, slot) in &facts.residents {
            if slot.loading {
                self.loads_listed.insert(target.clone());
            } else {
                self.residents.entry(target.clone()).or_insert(found);
            }
        }
    }

    fn clear_uncertain(&mut self, facts: &EngineFacts, sent: Now) {
        for (target, resident) in &mut self.residents {
            let late_enough = resident.uncertain.is_some_and(|from| sent >= from);
            let idle = facts
                .residents
                .get(target)
                .is_none_or(|slot| slot.running == 0);
            if late_enough && idle {
                resident.uncertain = None;
            }
        }
    }
}
