//! What the engine says and what is made of it.

use super::Cx;
use super::state::{OrderKind, Resident, Scheduler};
use crate::ids::{AdapterVersion, Now};
use crate::messages::PermitReason;
use std::collections::BTreeMap;

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

impl EngineFacts {
    /// Whether nothing of an adapter version runs.
    fn is_idle(&self, target: &AdapterVersion) -> bool {
        let slot = self.residents.get(target);
        slot.is_none_or(|slot| slot.running == 0)
    }
}

/// An occupied slot, as the engine said.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SlotFacts {
    /// Whether the load is still under way.
    pub loading: bool,
    /// Requests that run or wait in the engine.
    pub running: u32,
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

impl Scheduler {
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
            if late_enough && facts.is_idle(target) {
                resident.uncertain = None;
            }
        }
        self.doubts
            .retain(|target, from| sent < *from || !facts.is_idle(target));
        self.settled |= sent >= self.evict_from;
        let running = facts.residents.keys().filter(|t| !facts.is_idle(t));
        for target in running.filter(|t| !self.residents.contains_key(*t)) {
            self.doubts.insert(target.clone(), sent);
        }
    }
}
