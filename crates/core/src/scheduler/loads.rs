//! Which adapter versions the worker loads and which it evicts.

use super::admission::LOAD_TIME;
use super::state::{Backoff, Order, OrderKind, PendingTurn, Resident, Scheduler, WaitingRequest};
use super::{Action, SchedulerContext};
use crate::frequency::Frequency;
use crate::ids::{AdapterVersion, Now, PermitId};
use crate::lease::LeaseState;
use crate::messages::{NO_SLOT, PermitReason, PermitRefusal};
use reedford_rules::{Admission, Class, Eviction, LoadOrdering, Objective};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Backoff after the first failed load; doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// Longest backoff after failed loads.
const MAX_BACKOFF: Duration = Duration::from_secs(30);
/// Time from the end of a backoff until the failures no longer count.
const FAILURE_RETENTION: Duration = Duration::from_secs(30);
/// A load's value is sent to the broker again once it has grown by this factor.
const REVALUE_FACTOR: f64 = 1.25;
/// Longest wait for a turn while admission control is off; longer than any
/// request waits.
const UNBOUNDED_PATIENCE: Duration = Duration::from_secs(24 * 60 * 60);
/// Weight of a waiting lookup in the value of a load.
const LOOKUP_WEIGHT: f64 = 4.0;
/// Weight of a waiting standard request.
const STANDARD_WEIGHT: f64 = 2.0;
/// Weight of a waiting writing request.
const WRITING_WEIGHT: f64 = 1.0;

/// Why a load failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadError {
    /// The engine or the weight store failed, or the response was lost.
    Failed,
    /// No slot was free, so the load did not take place: either the engine
    /// refused it, because the known state of its slots is wrong, or it was not
    /// sent, because the eviction before it failed or the lease ended.
    NoSlot,
    /// The engine has seen a higher fencing token.
    OldFence,
}

/// A load that requests wait for.
struct WantedLoad {
    value: f64,
    /// Arrival of the first of these requests.
    since: Now,
}

impl Scheduler {
    /// Orders the load of `target`, whose load turn the broker has granted, or
    /// ends the turn if it can't be used.
    pub fn on_turn(&mut self, target: &AdapterVersion, cx: &SchedulerContext<'_>) {
        let wanted = self.pending_turns.remove(target).is_some() && self.is_wanted(target);
        let victim = self.victim(cx);
        let has_slot = self.free_slots() > 0 || victim.is_some();
        let allowed = wanted && has_slot && cx.lease == LeaseState::Held && self.is_open(cx.now);
        if !allowed {
            self.actions.push(Action::EndTurn {
                target: target.clone(),
            });
            return;
        }
        let evict = if self.free_slots() > 0 { None } else { victim };
        if let Some(victim) = &evict {
            self.record_order(victim, OrderKind::Evict, cx.now);
        }
        self.record_order(target, OrderKind::Load, cx.now);
        self.actions.push(Action::Order {
            evict,
            load: target.clone(),
        });
    }

    fn record_order(&mut self, target: &AdapterVersion, kind: OrderKind, now: Now) {
        self.orders
            .insert(target.clone(), Order { kind, since: now });
        self.orders_changed = now;
    }

    /// Drops the request for the load turn of `target`, which the broker lost; the
    /// next [`Self::on_tick`] at the latest sends it again.
    pub fn on_turn_lost(&mut self, target: &AdapterVersion) {
        self.pending_turns.remove(target);
    }

    /// Records the end of the eviction of `target`; `evicted` if it took effect.
    pub fn on_evicted(
        &mut self,
        target: &AdapterVersion,
        evicted: bool,
        cx: &SchedulerContext<'_>,
    ) {
        self.orders.remove(target);
        self.orders_changed = cx.now;
        if evicted {
            self.residents.remove(target);
        } else if let Some(resident) = self.residents.get_mut(target) {
            resident.uncertain = resident.uncertain.max(Some(cx.now));
        }
    }

    /// Records the end of the load of `target`.
    pub fn on_loaded(
        &mut self,
        target: &AdapterVersion,
        outcome: Result<(), LoadError>,
        cx: &SchedulerContext<'_>,
    ) {
        let kind = self.orders.remove(target).map(|order| order.kind);
        self.orders_changed = cx.now;
        self.actions.push(Action::EndTurn {
            target: target.clone(),
        });
        match outcome {
            Ok(()) if kind == Some(OrderKind::LoadBeforeRestart) => {}
            Ok(()) => self.record_load(target, cx.now),
            Err(LoadError::NoSlot) => {}
            Err(LoadError::Failed) => self.record_load_failure(target, cx.now),
            Err(LoadError::OldFence) => self.refuse_all(PermitReason::NotOwner),
        }
        self.schedule(cx);
    }

    /// Returns the number of slots that are free, or whose adapter could be
    /// evicted.
    #[must_use]
    pub fn open_slots(&self) -> u32 {
        let evictable = self
            .residents
            .iter()
            .filter(|(t, r)| self.evictable(t, r))
            .count();
        self.free_slots() + evictable as u32
    }

    /// Refuses the requests for `target` that could not end by their deadline if
    /// its load turn came after `turn_wait`.
    pub fn on_too_late(
        &mut self,
        target: &AdapterVersion,
        turn_wait: Duration,
        cx: &SchedulerContext<'_>,
    ) {
        self.pending_turns.remove(target);
        if self.policy.admission == Admission::Off {
            return;
        }
        let wait = turn_wait + LOAD_TIME;
        let late: Vec<PermitId> = self
            .waiting
            .iter()
            .filter(|(_, w)| w.target == *target)
            .filter(|(_, w)| cx.now + wait + w.expected_service_time >= w.deadline)
            .map(|(id, _)| id.clone())
            .collect();
        for id in late {
            self.waiting.remove(&id);
            self.refuse(
                id,
                PermitRefusal::new(PermitReason::DeadlineUnreachable, wait),
            );
        }
    }

    /// Returns the cost of the next load, as defined by
    /// [`WorkerSummary::slot_cost`].
    ///
    /// [`WorkerSummary::slot_cost`]: crate::messages::WorkerSummary::slot_cost
    #[must_use]
    pub fn slot_cost(&self, frequency: &Frequency, now: Now) -> u32 {
        if self.free_slots() > 0 {
            return 0;
        }
        let evictable = self.residents.iter().filter(|(t, r)| self.evictable(t, r));
        let counts = evictable.map(|(target, _)| frequency.count(&target.adapter, now));
        let lowest = counts.min_by(f64::total_cmp);
        lowest.map_or(NO_SLOT, |count| (count * 1_000.0) as u32)
    }

    /// Requests load turns for the most valuable wanted adapter versions, at most
    /// one for each slot that is free or can be freed.
    pub(super) fn request_turns(&mut self, cx: &SchedulerContext<'_>) {
        let mut slots = (self.open_slots() as usize).saturating_sub(self.pending_turns.len());
        for (target, value) in self.wanted_loads(cx) {
            let pending = self.pending_turns.get(&target).copied();
            match pending {
                Some(pending) if !has_grown(pending.value, value) => continue,
                Some(_) => {}
                None if slots == 0 => continue,
                None => slots -= 1,
            }
            let turn_wait = cx.turn_wait.of(self.most_urgent(&target));
            let expected_at = pending.map_or(cx.now + turn_wait, |pending| pending.expected_at);
            self.pending_turns
                .insert(target.clone(), PendingTurn { value, expected_at });
            let patience = self.patience(&target, cx.now);
            self.actions.push(Action::RequestTurn {
                target,
                value,
                patience,
            });
        }
    }

    pub(super) fn withdraw_unwanted(&mut self) {
        let unwanted: Vec<AdapterVersion> = self
            .pending_turns
            .keys()
            .filter(|target| !self.is_wanted(target))
            .cloned()
            .collect();
        for target in unwanted {
            self.pending_turns.remove(&target);
            self.actions.push(Action::WithdrawTurn { target });
        }
    }

    /// Returns the longest wait for the turn with which a request for `target`
    /// could still end by its deadline. While admission control is off, a load
    /// stays queued until no request waits for it any more.
    fn patience(&self, target: &AdapterVersion, now: Now) -> Duration {
        if self.policy.admission == Admission::Off {
            return UNBOUNDED_PATIENCE;
        }
        let waiting = self.waiting.values().filter(|w| w.target == *target);
        let spare = waiting.map(|w| {
            w.deadline
                .saturating_sub(now + LOAD_TIME + w.expected_service_time)
        });
        spare.max().unwrap_or_default()
    }

    /// Returns the class of the most urgent request for `target`.
    fn most_urgent(&self, target: &AdapterVersion) -> Class {
        let waiting = self.waiting.values().filter(|w| w.target == *target);
        waiting.map(|w| w.class).min().unwrap_or_default()
    }

    fn is_wanted(&self, target: &AdapterVersion) -> bool {
        !self.is_resident(target) && self.waiting.values().any(|w| w.target == *target)
    }

    /// Records that `target` is resident.
    ///
    /// The adapter stays uncertain while requests of a previous owner may run
    /// on it: an owner that missed a restart of the engine considers the
    /// adapter resident already and may send requests for it until
    /// `evict_from`. Its requests run as soon as the load takes effect, which
    /// may be long before the load's response arrives.
    fn record_load(&mut self, target: &AdapterVersion, now: Now) {
        let inherited = (!self.listed_after_evict_from).then_some(self.evict_from);
        let uncertain = self.maybe_in_use.remove(target).max(inherited);
        self.backoff.remove(target);
        self.listed_loads.remove(target);
        self.residents.insert(
            target.clone(),
            Resident {
                last_used: now,
                uncertain,
            },
        );
        for waiting in self.waiting.values_mut().filter(|w| w.target == *target) {
            waiting.load_stall = Some(now.saturating_sub(waiting.since));
        }
    }

    /// Starts a backoff for the adapter and refuses the requests that wait for
    /// it, so that they can try another worker.
    fn record_load_failure(&mut self, target: &AdapterVersion, now: Now) {
        let failures = self.backoff.get(target).map_or(0, |b| b.failures) + 1;
        let factor = 2_u32.saturating_pow(failures - 1);
        let backoff = INITIAL_BACKOFF.saturating_mul(factor).min(MAX_BACKOFF);
        self.backoff.insert(
            target.clone(),
            Backoff {
                failures,
                until: now + backoff,
            },
        );
        self.refuse_waiting(
            target,
            PermitRefusal::new(PermitReason::LoadFailed, backoff),
        );
    }

    pub(super) fn prune_backoff(&mut self, now: Now) {
        self.backoff
            .retain(|_, failed| failed.until + FAILURE_RETENTION > now);
    }

    fn free_slots(&self) -> u32 {
        let Some(engine) = &self.engine else {
            return 0;
        };
        let loads = self.orders.iter().filter(|(_, order)| order.is_load());
        let loading = loads.map(|(target, _)| target).chain(&self.listed_loads);
        let occupied: BTreeSet<&AdapterVersion> = loading.chain(self.residents.keys()).collect();
        engine.slots.saturating_sub(occupied.len() as u32)
    }

    /// Returns the adapter versions that requests wait for and that are not being
    /// loaded yet, with the value of loading them: highest value first, and of
    /// equal values the one requested first.
    fn wanted_loads(&self, cx: &SchedulerContext<'_>) -> Vec<(AdapterVersion, f64)> {
        let mut wanted: BTreeMap<&AdapterVersion, WantedLoad> = BTreeMap::new();
        for waiting in self.waiting.values() {
            let target = &waiting.target;
            if self.residents.contains_key(target) || self.orders.contains_key(target) {
                continue;
            }
            let load = wanted.entry(target).or_insert(WantedLoad {
                value: 0.0,
                since: waiting.since,
            });
            load.value += self.waiting_value(waiting, cx.now);
            load.since = load.since.min(waiting.since);
        }
        let mut wanted: Vec<(&AdapterVersion, WantedLoad)> = wanted.into_iter().collect();
        wanted.sort_by(|(_, a), (_, b)| {
            let by_value = b.value.total_cmp(&a.value);
            by_value.then(a.since.cmp(&b.since))
        });
        let loads = wanted.into_iter();
        loads.map(|(target, w)| (target.clone(), w.value)).collect()
    }

    /// Returns what a waiting request adds to the value of its load.
    fn waiting_value(&self, waiting: &WaitingRequest, now: Now) -> f64 {
        if self.policy.load_ordering == LoadOrdering::Fifo {
            return 0.0;
        }
        let weight = class_weight(waiting.class);
        let waited = now.saturating_sub(waiting.since).as_secs_f64();
        match self.policy.objective {
            Objective::LoadStalls => weight * (1.0 + waited / LOAD_TIME.as_secs_f64()),
            Objective::BatchEfficiency => weight * (1.0 + waited),
        }
    }

    /// Returns the adapter version to evict: the one with the lowest request
    /// count, and of equal counts the least recently used one. Under
    /// [`Eviction::Lru`] all counts are taken as equal.
    fn victim(&self, cx: &SchedulerContext<'_>) -> Option<AdapterVersion> {
        let evictable = self.residents.iter().filter(|(t, r)| self.evictable(t, r));
        let count = |target: &AdapterVersion| match self.policy.eviction {
            Eviction::Frequency => cx.frequency.count(&target.adapter, cx.now),
            Eviction::Lru => 0.0,
        };
        let lowest = evictable.min_by(|a, b| {
            let by_count = count(a.0).total_cmp(&count(b.0));
            by_count.then(a.1.last_used.cmp(&b.1.last_used))
        });
        lowest.map(|(target, _)| target.clone())
    }

    /// Returns whether an adapter version may be evicted: no permit pins it, no
    /// request waits for it, no order for it is under way, and it is not
    /// uncertain.
    fn evictable(&self, target: &AdapterVersion, resident: &Resident) -> bool {
        let pinned = self.permits.values().any(|p| p.target == *target);
        let wanted = self.waiting.values().any(|w| w.target == *target);
        let ordered = self.orders.contains_key(target);
        !pinned && !wanted && !ordered && resident.uncertain.is_none()
    }
}

/// Returns the weight of a waiting request in the value of a load.
#[must_use]
pub const fn class_weight(class: Class) -> f64 {
    match class {
        Class::Lookup => LOOKUP_WEIGHT,
        Class::Standard => STANDARD_WEIGHT,
        Class::Writing => WRITING_WEIGHT,
    }
}

/// Returns whether the new value of a load is sent to the broker.
fn has_grown(known: f64, value: f64) -> bool {
    value > known && value >= known * REVALUE_FACTOR
}
