//! Keeps the view of each engine in step with the engine: orders one after the
//! other, each bound to the number accepted before, and a listing whenever the
//! fate of an order is unknown.

use super::engine::{CopyState, Engine, ModelState};
use super::order::{Order, OrderAnswer, OrderKind, Report};
use super::{Action, AdapterKey, Scheduler};
use crate::{InstanceId, Now};
use std::time::Duration;

/// Age of what engines say of themselves, with an allowance; the platform's
/// pages name some hundred milliseconds.
const REPORT_LAG: Duration = Duration::from_millis(350);
/// Pause between two listings of an engine that does not answer.
const LISTING_PAUSE: Duration = Duration::from_millis(600);
/// Time after its expected end by which a load has surely ended.
const SURELY_ARRIVED: Duration = Duration::from_millis(700);
/// Conflicts of one order after which an engine is listed.
const CONFLICTS_BORNE: u32 = 3;
/// Pause after a conflict.
const CONFLICT_PAUSE: Duration = Duration::from_millis(60);
/// Base model loads that may start at once after a quiet time.
const LOAD_BURST: usize = 2;
/// Time over which base model loads are counted.
const LOAD_WINDOW: Duration = Duration::from_secs(5);
/// Allowance on the time of a base model load.
const MODEL_LOAD_FACTOR: f64 = 1.15;

impl Scheduler {
    /// Asks engines what they hold where that is not known.
    pub(super) fn synchronize(&mut self, now: Now) -> Vec<Action> {
        let mut actions = Vec::new();
        for engine in self.engines.values_mut() {
            let due = engine.list_at.is_some_and(|at| at <= now);
            let settled = now >= engine.last_order + REPORT_LAG || engine.last_order == Now::ZERO;
            if !due || engine.listing || engine.order.is_some() {
                continue;
            }
            if !settled {
                engine.list_at = Some(engine.last_order + REPORT_LAG);
                continue;
            }
            engine.listing = true;
            engine.list_at = None;
            actions.push(Action::FetchReport {
                instance: engine.id.clone(),
                addr: engine.addr,
            });
        }
        actions
    }

    /// Takes an engine's word on itself, or `None` when it gave none.
    pub fn on_report(&mut self, id: &str, report: Option<&Report>, now: Now) {
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        engine.listing = false;
        let Some(report) = report else {
            engine.list_at = Some(now + LISTING_PAUSE);
            engine.unreachable(now);
            return;
        };
        engine.answered();
        let overtaken = engine.order.is_some() || now < engine.last_order + REPORT_LAG;
        if overtaken && engine.last_order > Now::ZERO {
            engine.list_at = Some(engine.last_order + REPORT_LAG);
            return;
        }
        engine.on_report(report, now);
    }

    /// The next order of each engine that has none under way.
    pub(super) fn next_orders(&mut self, now: Now) -> Vec<Action> {
        self.order_missing_models(now);
        let mut actions = Vec::new();
        for engine in self.engines.values_mut() {
            let Some(after) = engine.orders_seen else {
                continue;
            };
            let waits = engine.order.is_some() || now < engine.orders_from;
            if waits || engine.list_at.is_some() || engine.listing {
                continue;
            }
            let Some(kind) = engine.order_queue.pop_front() else {
                continue;
            };
            let order = Order {
                instance: engine.id.clone(),
                addr: engine.addr,
                after,
                kind,
            };
            engine.order = Some(order.clone());
            actions.push(Action::Order(order));
        }
        actions
    }

    /// Takes the answer to an order.
    pub fn on_order_answer(&mut self, id: &str, answer: OrderAnswer, now: Now) {
        let Some(order) = self.engines.get_mut(id).and_then(|e| e.order.take()) else {
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
        engine.last_order = now;
        match answer {
            OrderAnswer::Accepted | OrderAnswer::Done => {
                engine.orders_seen = Some(order.after + 1);
                engine.conflicts = 0;
                engine.answered();
                let done = answer == OrderAnswer::Done;
                match order.kind {
                    OrderKind::LoadModel { model } => {
                        let state = ModelState::Loading(now + model_time);
                        engine.models.insert(model, state);
                    }
                    OrderKind::LoadAdapter { model, adapter, .. } => {
                        let key = AdapterKey { model, adapter };
                        let time = if done { Duration::ZERO } else { adapter_time };
                        engine.load_accepted(&key, time, now);
                    }
                    OrderKind::UnloadAdapter { model, adapter } => {
                        if done {
                            engine.evicted(&AdapterKey { model, adapter });
                        } else {
                            // The engine waits for calls that this node does
                            // not know; the place is taken until it says so.
                            engine.list_at = Some(now + REPORT_LAG);
                        }
                    }
                }
            }
            OrderAnswer::NotSent => engine.unreachable(now),
            OrderAnswer::Conflict if engine.conflicts < CONFLICTS_BORNE => {
                // Mostly an adapter that arrives later than expected.
                engine.conflicts += 1;
                engine.order_queue.push_front(order.kind);
                engine.orders_from = now + CONFLICT_PAUSE;
            }
            OrderAnswer::Conflict
            | OrderAnswer::Fenced
            | OrderAnswer::Refused
            | OrderAnswer::Unknown => engine.resynchronize(order.kind, now),
        }
    }

    /// Orders a base model for engines that hold none.
    fn order_missing_models(&mut self, now: Now) {
        let empty: Vec<InstanceId> = self
            .engines
            .values()
            .filter(|e| e.usable(now) && e.models.is_empty() && e.orders_seen.is_some())
            .filter(|e| e.order.is_none() && e.order_queue.is_empty() && !e.listing)
            .map(|e| e.id.clone())
            .collect();
        for id in empty {
            if !self.take_model_load(&id, now) {
                continue;
            }
            let Some(engine) = self.engines.get_mut(&id) else {
                continue;
            };
            let spec = self.specs.get(&engine.service);
            let Some(model) = spec.and_then(|s| s.models.first()) else {
                continue;
            };
            engine.order_queue.push_back(OrderKind::LoadModel {
                model: model.name.clone(),
            });
        }
    }

    /// Takes a base model load from this zone's share of the rate.
    fn take_model_load(&mut self, id: &str, now: Now) -> bool {
        let Some(spec) = self
            .engines
            .get(id)
            .and_then(|e| self.specs.get(&e.service))
        else {
            return false;
        };
        let whole = spec.loads_per_s * LOAD_WINDOW.as_secs_f64();
        let most = (whole * self.limits.load_share) as usize + LOAD_BURST - 1;
        self.model_loads
            .retain(|at| now.saturating_sub(*at) < LOAD_WINDOW);
        if self.model_loads.len() >= most.max(1) {
            return false;
        }
        self.model_loads.push(now);
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

impl Engine {
    fn load_accepted(&mut self, key: &AdapterKey, time: Duration, now: Now) {
        self.warm.retain(|k| k != key);
        if let Some(copy) = self.copies.get_mut(key) {
            copy.state = CopyState::Loading(now + time);
            copy.certain = now + time + SURELY_ARRIVED;
        }
    }

    /// Gives the view up until the engine has been listed.
    fn resynchronize(&mut self, kind: OrderKind, now: Now) {
        self.orders_seen = None;
        self.conflicts = 0;
        self.drop_orders();
        if let OrderKind::UnloadAdapter { model, adapter } = kind {
            // It may be gone already or go at any moment.
            self.copies.remove(&AdapterKey { model, adapter });
        }
        self.list_at = Some(now + REPORT_LAG);
    }
}
