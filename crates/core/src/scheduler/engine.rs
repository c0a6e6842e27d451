//! The engine's listing of its slots, and how it updates the scheduler.

use super::SchedulerContext;
use super::state::{OrderKind, Resident, Scheduler};
use crate::ids::{AdapterVersion, Now};
use crate::messages::PermitReason;
use std::collections::BTreeMap;

/// An engine's listing of its state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineListing {
    /// Changes whenever the engine restarts.
    pub boot_id: Box<str>,
    /// Number of adapter slots.
    pub slots: u32,
    /// Maximum number of requests that run at once.
    pub batch_limit: u32,
    /// Whether the engine is leaving and takes no new requests.
    pub leaving: bool,
    /// Occupied slots, by adapter version.
    pub residents: BTreeMap<AdapterVersion, SlotListing>,
}

impl EngineListing {
    /// Returns whether no request of an adapter version runs.
    fn is_idle(&self, target: &AdapterVersion) -> bool {
        let slot = self.residents.get(target);
        slot.is_none_or(|slot| slot.running == 0)
    }
}

/// An occupied slot, as listed by the engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SlotListing {
    /// Whether the adapter is still being loaded.
    pub loading: bool,
    /// Number of requests for the adapter that run or wait in the engine.
    pub running: u32,
}

#[derive(Clone, Debug)]
pub(super) struct Engine {
    pub(super) boot_id: Box<str>,
    pub(super) slots: u32,
    pub(super) batch_limit: u32,
    pub(super) status: EngineStatus,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum EngineStatus {
    Up,
    Down,
    Leaving,
}

impl Scheduler {
    /// Applies the engine's listing, requested at `sent`.
    pub fn on_listing(&mut self, listing: &EngineListing, sent: Now, cx: &SchedulerContext<'_>) {
        let rebooted = self
            .engine
            .as_ref()
            .is_some_and(|e| e.boot_id != listing.boot_id);
        if rebooted {
            self.reset_engine();
        }
        let status = if listing.leaving {
            EngineStatus::Leaving
        } else {
            EngineStatus::Up
        };
        self.engine = Some(Engine {
            boot_id: listing.boot_id.clone(),
            slots: listing.slots,
            batch_limit: listing.batch_limit,
            status,
        });
        self.reconcile(listing, sent);
        if status == EngineStatus::Leaving {
            self.refuse_all(PermitReason::WorkerLeaving);
        }
        self.schedule(cx);
    }

    /// Marks the engine as down and refuses all waiting requests.
    pub fn on_unreachable(&mut self) {
        if let Some(engine) = &mut self.engine {
            engine.status = EngineStatus::Down;
        }
        self.refuse_all(PermitReason::WorkerDown);
    }

    /// Marks the worker as leaving, as listed by the platform, and refuses all
    /// waiting requests.
    pub fn on_leaving(&mut self) {
        if let Some(engine) = &mut self.engine {
            engine.status = EngineStatus::Leaving;
        }
        self.refuse_all(PermitReason::WorkerLeaving);
    }

    /// Clears the slots of an engine that has restarted, and so holds no adapter.
    ///
    /// Permits stay, because a request granted before the restart may reach the
    /// engine once its adapter has been loaded again. `evict_from` stays,
    /// because a previous owner may send requests until then. Orders under way
    /// stay until their responses arrive.
    fn reset_engine(&mut self) {
        self.residents.clear();
        self.listed_loads.clear();
        for order in self.orders.values_mut().filter(|order| order.is_load()) {
            order.kind = OrderKind::LoadBeforeRestart;
        }
    }

    /// Replaces the known slots by the listed ones, unless an order was under way
    /// at any time since the listing was requested: the listing may then be
    /// older than the known state.
    fn reconcile(&mut self, listing: &EngineListing, sent: Now) {
        self.clear_uncertain(listing, sent);
        if !self.orders.is_empty() || sent < self.orders_changed {
            return;
        }
        self.residents
            .retain(|target, _| listing.residents.contains_key(target));
        self.listed_loads.clear();
        let found = Resident {
            last_used: sent,
            uncertain: Some(self.evict_from.max(sent)),
        };
        for (target, slot) in &listing.residents {
            if slot.loading {
                self.listed_loads.insert(target.clone());
            } else {
                self.residents.entry(target.clone()).or_insert(found);
            }
        }
    }

    fn clear_uncertain(&mut self, listing: &EngineListing, sent: Now) {
        for (target, resident) in &mut self.residents {
            let late_enough = resident.uncertain.is_some_and(|from| sent >= from);
            if late_enough && listing.is_idle(target) {
                resident.uncertain = None;
            }
        }
        self.maybe_in_use
            .retain(|target, from| sent < *from || !listing.is_idle(target));
        self.listed_after_evict_from |= sent >= self.evict_from;
        let running = listing.residents.keys().filter(|t| !listing.is_idle(t));
        for target in running.filter(|t| !self.residents.contains_key(*t)) {
            self.maybe_in_use.insert(target.clone(), sent);
        }
    }
}
