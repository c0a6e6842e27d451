//! Which adapter versions the worker asks to load, and what it evicts.

use super::admission::LOAD_TIME;
use super::state::{Backoff, Order, OrderKind, Resident, Scheduler, TurnAsk, Waiting};
use super::{Action, Cx};
use crate::frequency::Frequency;
use crate::ids::{AdapterVersion, Now, PermitId};
use crate::lease::LeaseState;
use crate::messages::{NO_SLOT, PermitReason, PermitRefusal};
use reedford_rules::{Admission, Class, Eviction, LoadOrdering, Objective};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// First pause after a failed load; doubles with each further one.
const BACKOFF_FIRST: Duration = Duration::from_millis(500);
/// Longest pause after failed loads; failures are forgotten this long after
/// their pause.
const BACKOFF_MOST: Duration = Duration::from_secs(30);
/// The broker is told of a new value once it has grown by this factor.
const REVALUE_FACTOR: f64 = 1.25;
/// Longer than any request waits for its turn.
const ENDLESS_PATIENCE: Duration = Duration::from_secs(24 * 60 * 60);
/// Weight of a waiting lookup in the value of a load.
const LOOKUP_WEIGHT: f64 = 4.0;
/// Weight of an ordinary waiting request.
const STANDARD_WEIGHT: f64 = 2.0;
/// Weight of long writing.
const WRITING_WEIGHT: f64 = 1.0;

/// Why a load did not happen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadFault {
    /// The engine or the weight store failed, or the answer was lost.
    Failed,
    /// The engine has no free slot; what is known of its slots is wrong.
    NoSlot,
    /// The engine has seen a higher fencing number.
    OldFence,
}

/// A load that requests wait for.
struct Wanted {
    value: f64,
    /// When the first of them came.
    since: Now,
}

impl Scheduler {
    /// The broker gave the turn to load `target`.
    pub fn on_turn(&mut self, target: &AdapterVersion, cx: &Cx<'_>) {
        let wanted = self.asked.remove(target).is_some() && self.is_wanted(target);
        let victim = self.victim(cx);
        let room = self.free_slots() > 0 || victim.is_some();
        let may = wanted && room && cx.lease == LeaseState::Held && self.is_open(cx.now);
        if !may {
            self.actions.push(Action::TurnEnded {
                target: target.clone(),
            });
            return;
        }
        let evict = if self.free_slots() > 0 { None } else { victim };
        if let Some(victim) = &evict {
            self.note_order(victim, OrderKind::Evict, cx.now);
        }
        self.note_order(target, OrderKind::Load, cx.now);
        self.actions.push(Action::Order {
            evict,
            load: target.clone(),
        });
    }

    fn note_order(&mut self, target: &AdapterVersion, kind: OrderKind, now: Now) {
        self.orders
            .insert(target.clone(), Order { kind, since: now });
        self.orders_changed = now;
    }

    /// The ask for the turn to load `target` was lost; it is asked again.
    pub fn on_turn_lost(&mut self, target: &AdapterVersion) {
        self.asked.remove(target);
    }

    /// The eviction of `target` has ended, with or without effect.
    pub fn on_evicted(&mut self, target: &AdapterVersion, gone: bool, cx: &Cx<'_>) {
        self.orders.remove(target);
        self.orders_changed = cx.now;
        if gone {
            self.residents.remove(target);
        } else if let Some(resident) = self.residents.get_mut(target) {
            resident.uncertain = resident.uncertain.max(Some(cx.now));
        }
    }

    /// The load of `target` has ended.
    pub fn on_loaded(
        &mut self,
        target: &AdapterVersion,
        outcome: Result<(), LoadFault>,
        cx: &Cx<'_>,
    ) {
        let kind = self.orders.remove(target).map(|order| order.kind);
        self.orders_changed = cx.now;
        self.actions.push(Action::TurnEnded {
            target: target.clone(),
        });
        match outcome {
            Ok(()) if kind == Some(OrderKind::LoadBeforeRestart) => {}
            Ok(()) => self.note_loaded(target, cx.now),
            Err(LoadFault::NoSlot) => {}
            Err(LoadFault::Failed) => self.note_failed(target, cx.now),
            Err(LoadFault::OldFence) => self.refuse_all(PermitReason::NotOwner),
        }
        self.pump(cx);
    }

    /// Slots that are free, or whose adapter could be evicted.
    #[must_use]
    pub fn open_slots(&self) -> u32 {
        let evictable = self
            .residents
            .iter()
            .filter(|(t, r)| self.evictable(t, r))
            .count();
        self.free_slots() + evictable as u32
    }

    /// The turn to load `target` would come only after `outlook`: requests that
    /// could not end in time then are refused at once.
    pub fn on_too_late(&mut self, target: &AdapterVersion, outlook: Duration, cx: &Cx<'_>) {
        self.asked.remove(target);
        if self.policy.admission == Admission::Off {
            return;
        }
        let wait = outlook + LOAD_TIME;
        let late: Vec<PermitId> = self
            .waiting
            .iter()
            .filter(|(_, w)| w.target == *target)
            .filter(|(_, w)| cx.now + wait + w.expected >= w.deadline)
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

    /// What the next load would cost, as [`WorkerSummary::slot_cost`] tells it.
    ///
    /// [`WorkerSummary::slot_cost`]: crate::messages::WorkerSummary::slot_cost
    #[must_use]
    pub fn slot_cost(&self, frequency: &Frequency, now: Now) -> u32 {
        if self.free_slots() > 0 {
            return 0;
        }
        let open = self.residents.iter().filter(|(t, r)| self.evictable(t, r));
        let scores = open.map(|(target, _)| frequency.score(&target.adapter, now));
        let least = scores.min_by(f64::total_cmp);
        least.map_or(NO_SLOT, |score| (score * 1_000.0) as u32)
    }

    pub(super) fn ask_loads(&mut self, cx: &Cx<'_>) {
        let mut room = (self.open_slots() as usize).saturating_sub(self.asked.len());
        for (target, value) in self.wanted_loads(cx) {
            let known = self.asked.get(&target).copied();
            match known {
                Some(known) if !has_grown(known.value, value) => continue,
                Some(_) => {}
                None if room == 0 => continue,
                None => room -= 1,
            }
            let outlook = cx.load_outlook.of(self.most_urgent(&target));
            let expected = known.map_or(cx.now + outlook, |known| known.expected);
            self.asked
                .insert(target.clone(), TurnAsk { value, expected });
            let patience = self.patience(&target, cx.now);
            self.actions.push(Action::AskTurn {
                target,
                value,
                patience,
            });
        }
    }

    pub(super) fn withdraw_unwanted(&mut self) {
        let unwanted: Vec<AdapterVersion> = self
            .asked
            .keys()
            .filter(|target| !self.is_wanted(target))
            .cloned()
            .collect();
        for target in unwanted {
            self.asked.remove(&target);
            self.actions.push(Action::WithdrawTurn { target });
        }
    }

    /// Longest wait for the turn after which a request for `target` could still
    /// end in time. Without admission a load keeps its place until nothing
    /// waits for it any more.
    fn patience(&self, target: &AdapterVersion, now: Now) -> Duration {
        if self.policy.admission == Admission::Off {
            return ENDLESS_PATIENCE;
        }
        let waiting = self.waiting.values().filter(|w| w.target == *target);
        let spare = waiting.map(|w| w.deadline.saturating_sub(now + LOAD_TIME + w.expected));
        spare.max().unwrap_or_default()
    }

    /// Class of the most urgent request for `target`.
    fn most_urgent(&self, target: &AdapterVersion) -> Class {
        let waiting = self.waiting.values().filter(|w| w.target == *target);
        waiting.map(|w| w.class).min().unwrap_or_default()
    }

    fn is_wanted(&self, target: &AdapterVersion) -> bool {
        !self.is_resident(target) && self.waiting.values().any(|w| w.target == *target)
    }

    /// A former owner that missed an engine's restart may take the adapter for
    /// resident already, and send to it until `evict_from`. What it sent may
    /// run since the load took effect, however late the load's answer comes.
    fn note_loaded(&mut self, target: &AdapterVersion, now: Now) {
        let inherited = (!self.settled).then_some(self.evict_from);
        let uncertain = self.doubts.remove(target).max(inherited);
        self.backoff.remove(target);
        self.loads_listed.remove(target);
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

    /// Pauses the adapter and refuses those who wait for it, so that they can
    /// try another worker.
    fn note_failed(&mut self, target: &AdapterVersion, now: Now) {
        let failures = self.backoff.get(target).map_or(0, |b| b.failures) + 1;
        let factor = 2_u32.saturating_pow(failures - 1);
        let pause = BACKOFF_FIRST.saturating_mul(factor).min(BACKOFF_MOST);
        self.backoff.insert(
            target.clone(),
            Backoff {
                failures,
                until: now + pause,
            },
        );
        self.refuse_waiting(target, PermitRefusal::new(PermitReason::LoadFailed, pause));
    }

    pub(super) fn forget_failures(&mut self, now: Now) {
        self.backoff
            .retain(|_, failed| failed.until + BACKOFF_MOST > now);
    }

    fn free_slots(&self) -> u32 {
        let Some(engine) = &self.engine else {
            return 0;
        };
        let loads = self.orders.iter().filter(|(_, order)| order.is_load());
        let loading = loads.map(|(target, _)| target).chain(&self.loads_listed);
        let taken: BTreeSet<&AdapterVersion> = loading.chain(self.residents.keys()).collect();
        engine.slots.saturating_sub(taken.len() as u32)
    }

    /// Adapter versions that requests wait for and nothing loads yet, with the
    /// value of loading them: highest first, and of equal value the one that
    /// was asked for first.
    fn wanted_loads(&self, cx: &Cx<'_>) -> Vec<(AdapterVersion, f64)> {
        let mut wanted: BTreeMap<&AdapterVersion, Wanted> = BTreeMap::new();
        for waiting in self.waiting.values() {
            let target = &waiting.target;
            if self.residents.contains_key(target) || self.orders.contains_key(target) {
                continue;
            }
            let load = wanted.entry(target).or_insert(Wanted {
                value: 0.0,
                since: waiting.since,
            });
            load.value += self.value(waiting, cx.now);
            load.since = load.since.min(waiting.since);
        }
        let mut wanted: Vec<(&AdapterVersion, Wanted)> = wanted.into_iter().collect();
        wanted.sort_by(|(_, a), (_, b)| {
            let by_value = b.value.total_cmp(&a.value);
            by_value.then(a.since.cmp(&b.since))
        });
        let loads = wanted.into_iter();
        loads.map(|(target, w)| (target.clone(), w.value)).collect()
    }

    fn value(&self, waiting: &Waiting, now: Now) -> f64 {
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

    /// What to evict: the least valuable, and of those the one that was not
    /// used for longest.
    fn victim(&self, cx: &Cx<'_>) -> Option<AdapterVersion> {
        let open = self.residents.iter().filter(|(t, r)| self.evictable(t, r));
        let worth = |target: &AdapterVersion| match self.policy.eviction {
            Eviction::Frequency => cx.frequency.score(&target.adapter, cx.now),
            Eviction::Lru => 0.0,
        };
        let least = open.min_by(|a, b| {
            let by_worth = worth(a.0).total_cmp(&worth(b.0));
            by_worth.then(a.1.last_used.cmp(&b.1.last_used))
        });
        least.map(|(target, _)| target.clone())
    }

    /// Whether an adapter version may be evicted: nothing pins it, nothing
    /// waits for it, no order concerns it, and it is not uncertain.
    fn evictable(&self, target: &AdapterVersion, resident: &Resident) -> bool {
        let pinned = self.permits.values().any(|p| p.target == *target);
        let wanted = self.waiting.values().any(|w| w.target == *target);
        let ordered = self.orders.contains_key(target);
        !pinned && !wanted && !ordered && resident.uncertain.is_none()
    }
}

/// Weight of a waiting request in the value of a load.
#[must_use]
pub const fn class_weight(class: Class) -> f64 {
    match class {
        Class::Lookup => LOOKUP_WEIGHT,
        Class::Standard => STANDARD_WEIGHT,
        Class::Writing => WRITING_WEIGHT,
    }
}

/// Whether the broker is told of the new value of a load.
fn has_grown(known: f64, value: f64) -> bool {
    value > known && value >= known * REVALUE_FACTOR
}
