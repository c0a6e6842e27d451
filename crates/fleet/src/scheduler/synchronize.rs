//! Keeps the scheduler's view of each engine consistent with the engine. Orders
//! to an engine are sent one after the other, each conditional on the number of
//! orders accepted before, and a report is fetched whenever the view may be wrong,
//! such as after an order whose outcome is unknown.

use super::adapter_copy::CopyState;
use super::engine_view::{EngineView, ModelState};
use super::order::{EngineReport, Order, OrderKind, OrderOutcome};
use super::{Action, AdapterKey, Scheduler};
use crate::{InstanceId, Now};
use std::time::Duration;

/// Maximum age of the state in an engine's report, with an allowance; the
/// platform's documentation gives a few hundred milliseconds.
const REPORT_LAG: Duration = Duration::from_millis(350);
/// Pause before another report is fetched from an engine that did not respond.
const REPORT_RETRY_PAUSE: Duration = Duration::from_millis(600);
/// Time after its expected end by which a load is certain to be complete.
const LOAD_COMPLETION_MARGIN: Duration = Duration::from_millis(700);
/// Conflicts of one order after which a report is fetched.
const MAX_CONFLICTS: u32 = 3;
/// Pause in orders to an engine after a conflict.
const CONFLICT_PAUSE: Duration = Duration::from_millis(60);
/// One more than the base model loads per window that are allowed beyond the
/// configured rate.
const MODEL_LOAD_BURST: usize = 2;
/// Window over which base model loads are counted.
const MODEL_LOAD_WINDOW: Duration = Duration::from_secs(5);
/// Factor on the configured duration of a base model load, as an allowance.
const MODEL_LOAD_FACTOR: f64 = 1.15;

impl Scheduler {
    /// Fetches the reports that are due.
    pub(super) fn synchronize(&mut self, now: Now) -> Vec<Action> {
        let mut actions = Vec::new();
        let engines = self.engines.values_mut();
        for engine in engines.filter(|e| e.takes_requests(now)) {
            let due = engine.report_due.is_some_and(|at| at <= now);
            let report_is_current = now >= engine.last_order_outcome_at + REPORT_LAG
                || engine.last_order_outcome_at == Now::ZERO;
            if !due || engine.fetching_report || engine.pending_order.is_some() {
                continue;
            }
            if !report_is_current {
                engine.report_due = Some(engine.last_order_outcome_at + REPORT_LAG);
                continue;
            }
            engine.fetching_report = true;
            engine.report_due = None;
            actions.push(Action::FetchReport {
                instance: engine.id.clone(),
                addr: engine.addr,
            });
        }
        actions
    }

    /// Applies an engine's report; `None` if the engine did not respond. Returns
    /// whether it was applied; another one is fetched otherwise.
    pub fn on_report(&mut self, id: &str, report: Option<&EngineReport>, now: Now) -> bool {
        let Some(engine) = self.engines.get_mut(id) else {
            return false;
        };
        engine.fetching_report = false;
        let Some(report) = report else {
            engine.report_due = Some(now + REPORT_RETRY_PAUSE);
            engine.on_unreachable(now);
            return false;
        };
        engine.on_response();
        let outdated =
            engine.pending_order.is_some() || now < engine.last_order_outcome_at + REPORT_LAG;
        if outdated && engine.last_order_outcome_at > Now::ZERO {
            engine.report_due = Some(engine.last_order_outcome_at + REPORT_LAG);
            return false;
        }
        if engine.is_outdated(report) {
            engine.report_due = Some(now + REPORT_LAG);
            return false;
        }
        engine.on_report(report, now);
        true
    }

    /// Returns the next order of each engine that has no order pending.
    pub(super) fn next_orders(&mut self, now: Now) -> Vec<Action> {
        self.order_missing_models(now);
        let mut actions = Vec::new();
        let engines = self.engines.values_mut();
        for engine in engines.filter(|e| e.takes_requests(now)) {
            let Some(after) = engine.accepted_orders else {
                continue;
            };
            let blocked = engine.pending_order.is_some() || now < engine.orders_paused_until;
            if blocked || engine.report_due.is_some() || engine.fetching_report {
                continue;
            }
            let Some(kind) = engine.order_queue.pop_front() else {
                continue;
            };
            let order = Order {
                instance: engine.id.clone(),
                addr: engine.addr,
                born: engine.born,
                after,
                kind,
            };
            engine.pending_order = Some(order.clone());
            actions.push(Action::Order(order));
        }
        actions
    }

    /// Whether the outcome of an order is awaited. It is not if the engine restarted
    /// or left the directory since.
    #[must_use]
    pub fn is_pending(&self, order: &Order) -> bool {
        let engine = self.engines.get(&order.instance);
        engine.is_some_and(|e| e.pending_order.as_ref() == Some(order))
    }

    /// Applies the outcome of the pending order of an engine.
    pub fn on_order_outcome(&mut self, id: &str, outcome: OrderOutcome, now: Now) {
        let Some(order) = self
            .engines
            .get_mut(id)
            .and_then(|e| e.pending_order.take())
        else {
            return;
        };
        let adapter_time = self.adapter_load_time(id, &order.kind);
        let model_time = match &order.kind {
            OrderKind::LoadModel { model } => self.model_load_time(id, model),
            OrderKind::LoadAdapter { .. } | OrderKind::UnloadAdapter { .. } => Duration::ZERO,
        };
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        engine.last_order_outcome_at = now;
        match outcome {
            OrderOutcome::Accepted | OrderOutcome::Done => {
                if engine.is_counted(&order, outcome) {
                    engine.accepted_orders = Some(order.after + 1);
                } else {
                    engine.accepted_orders = None;
                    engine.report_due = Some(now + REPORT_LAG);
                }
                engine.conflicts = 0;
                engine.on_response();
                let is_done = outcome == OrderOutcome::Done;
                match order.kind {
                    OrderKind::LoadModel { model } => {
                        let state = ModelState::Loading(now + model_time);
                        engine.models.insert(model, state);
                    }
                    OrderKind::LoadAdapter { model, adapter, .. } => {
                        let key = AdapterKey { model, adapter };
                        let time = if is_done {
                            Duration::ZERO
                        } else {
                            adapter_time
                        };
                        engine.on_load_accepted(&key, time, now);
                    }
                    OrderKind::UnloadAdapter { model, adapter } => {
                        if is_done {
                            engine.on_evicted(&AdapterKey { model, adapter });
                        } else {
                            // The engine waits for calls that this node does
                            // not know of; the slot stays occupied until a
                            // report shows that it is free.
                            engine.report_due = Some(now + REPORT_LAG);
                        }
                    }
                }
            }
            OrderOutcome::NotSent => {
                engine.on_unreachable(now);
                // The engine may have been paused already.
                engine.cancel_unsent_orders();
            }
            OrderOutcome::Conflict if engine.conflicts < MAX_CONFLICTS => {
                // Usually the engine is still loading an adapter.
                engine.conflicts += 1;
                engine.order_queue.push_front(order.kind);
                engine.orders_paused_until = now + CONFLICT_PAUSE;
            }
            OrderOutcome::Unknown => {
                engine.unresolved.push(order.clone());
                engine.resynchronize(order.kind, now);
            }
            OrderOutcome::Conflict | OrderOutcome::Fenced | OrderOutcome::Refused => {
                engine.resynchronize(order.kind, now);
            }
        }
    }

    /// Queues the load of a base model for engines that hold none.
    fn order_missing_models(&mut self, now: Now) {
        let without_model: Vec<InstanceId> = self
            .engines
            .values()
            .filter(|e| e.is_usable(now) && e.models.is_empty() && e.accepted_orders.is_some())
            .filter(|e| e.pending_order.is_none() && e.order_queue.is_empty())
            .filter(|e| !e.fetching_report && e.report_due.is_none())
            .map(|e| e.id.clone())
            .collect();
        for id in without_model {
            if !self.try_take_model_load(&id, now) {
                continue;
            }
            let Some(engine) = self.engines.get_mut(&id) else {
                continue;
            };
            let spec = self.specs.get(&engine.service);
            let first = spec.and_then(|s| s.models.first()).map(|m| &m.name);
            // Another model would not fit beside one that may still be loaded.
            let Some(model) = engine.unresolved.model().or(first).cloned() else {
                continue;
            };
            engine.order_queue.push_back(OrderKind::LoadModel { model });
        }
    }

    /// Takes one base model load from this zone's share of the rate; returns
    /// whether one was left.
    fn try_take_model_load(&mut self, id: &str, now: Now) -> bool {
        let Some(spec) = self
            .engines
            .get(id)
            .and_then(|e| self.specs.get(&e.service))
        else {
            return false;
        };
        let service_limit = spec.loads_per_s * MODEL_LOAD_WINDOW.as_secs_f64();
        let limit = (service_limit * self.limits.load_share) as usize + MODEL_LOAD_BURST - 1;
        self.recent_model_loads
            .retain(|at| now.saturating_sub(*at) < MODEL_LOAD_WINDOW);
        if self.recent_model_loads.len() >= limit.max(1) {
            return false;
        }
        self.recent_model_loads.push(now);
        true
    }

    fn adapter_load_time(&self, id: &str, kind: &OrderKind) -> Duration {
        match (self.engines.get(id), kind) {
            (Some(engine), OrderKind::LoadAdapter { model, adapter, .. }) => {
                let key = AdapterKey {
                    model: model.clone(),
                    adapter: adapter.clone(),
                };
                self.load_time(engine, &key)
            }
            _ => Duration::ZERO,
        }
    }

    fn model_load_time(&self, id: &str, model: &str) -> Duration {
        let service = self.engines.get(id).map(|e| &*e.service);
        let spec = service.and_then(|s| self.model(s, model));
        spec.map_or(Duration::from_secs(1), |m| {
            m.load_time.mul_f64(MODEL_LOAD_FACTOR)
        })
    }
}

impl EngineView {
    /// Whether the response to an accepted order proves that the engine counted it.
    /// An engine does not count an order whose effect is in place or on its way. An
    /// eviction that was not counted makes the next order conflict; that does not
    /// hold while an unresolved order may take the number.
    fn is_counted(&self, order: &Order, outcome: OrderOutcome) -> bool {
        let proven = match (&order.kind, outcome) {
            (OrderKind::LoadModel { .. }, _)
            | (OrderKind::LoadAdapter { .. }, OrderOutcome::Done) => false,
            (OrderKind::LoadAdapter { .. } | OrderKind::UnloadAdapter { .. }, _) => true,
        };
        proven && !self.unresolved.compete_with(order)
    }

    fn on_load_accepted(&mut self, key: &AdapterKey, time: Duration, now: Now) {
        self.host_cache.retain(|k| k != key);
        if let Some(copy) = self.copies.get_mut(key) {
            copy.state = CopyState::Loading(now + time);
            copy.load_complete_by = now + time + LOAD_COMPLETION_MARGIN;
        }
    }

    /// Invalidates this view: no order is sent until a report has been applied.
    fn resynchronize(&mut self, kind: OrderKind, now: Now) {
        self.accepted_orders = None;
        self.conflicts = 0;
        self.cancel_unsent_orders();
        if let OrderKind::UnloadAdapter { model, adapter } = kind {
            // The adapter may already be evicted or may be evicted at any moment.
            self.copies.remove(&AdapterKey { model, adapter });
        }
        self.report_due = Some(now + REPORT_LAG);
    }
}
