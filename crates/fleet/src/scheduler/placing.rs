//! Chooses the engine of each waiting call.

use super::ask::{Ask, Grant, Refusal, RefusalReason};
use super::engine::{CopyState, Engine, ModelState};
use super::estimate::{as_millis, millis};
use super::order::OrderKind;
use super::{Action, AdapterKey, Scheduler, Waiting};
use crate::{InstanceId, Now};
use reedford_core::rendezvous;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Most that the rendezvous order of engines adds to a cost, in milliseconds.
/// It only separates engines that are about equal.
const HOME_BIAS_MS: f64 = 30.0;
/// Share of the time left that a caller is asked to wait at most; callers wait
/// no longer than a third.
const RETRY_SHARE: f64 = 0.3;
/// Shortest time after which a caller is asked to come back.
const SHORTEST_RETRY: Duration = Duration::from_millis(50);

/// Where a call could run.
#[derive(Clone, Debug)]
struct Choice {
    engine: InstanceId,
    cost: Duration,
    need: Need,
}

/// What has to happen before a call can be sent.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Need {
    /// Nothing.
    Nothing,
    /// The load under way has to end.
    Wait,
    /// The adapter has to be loaded, into the place of another if named.
    Load { evict: Option<AdapterKey> },
}

/// Work given to engines in one round but not granted.
type Planned = BTreeMap<InstanceId, f64>;

impl Scheduler {
    /// Expected time until the first token of a call that is asked for now.
    #[must_use]
    pub fn expected_wait(&self, ask: &Ask, now: Now) -> Duration {
        let waiting = Waiting {
            key: ask.key(),
            ask: ask.clone(),
            since: now,
            serial: 0,
        };
        self.expected(&waiting, now)
    }

    fn expected(&self, waiting: &Waiting, now: Now) -> Duration {
        let mut planned = Planned::new();
        let priority = waiting.ask.priority;
        for ahead in self.queue.iter().filter(|w| w.ask.priority <= priority) {
            self.plan_evenly(ahead, &mut planned, now);
        }
        let wanted = self.wanted();
        let choice = self.best(waiting, &planned, &wanted, now);
        choice.map_or_else(|| self.cost_without_choice(&planned), |c| c.cost)
    }

    /// Refuses a call at once whose first token would come far too late.
    pub(super) fn refusal_on_arrival(&self, waiting: &Waiting, now: Now) -> Option<Refusal> {
        let cost = self.expected(waiting, now);
        let useful = waiting.ask.objective.saturating_sub(waiting.since);
        let most = useful.mul_f64(self.limits.patience);
        if cost <= most && now + cost < waiting.ask.deadline {
            return None;
        }
        let reason = if self.engines.values().any(|e| e.usable(now)) {
            RefusalReason::Overload
        } else {
            RefusalReason::NoEngine
        };
        Some(refusal(
            waiting,
            reason,
            cost.saturating_sub(useful / 2),
            now,
        ))
    }

    /// Grants, orders and refuses for the calls that wait, best rank first.
    pub(super) fn place_waiting(&mut self, now: Now) -> Vec<Action> {
        for engine in self.engines.values_mut() {
            engine.settle(now);
        }
        let mut queue = std::mem::take(&mut self.queue);
        queue.sort_by_key(|w| (w.ask.objective < now, w.ask.priority, w.serial));
        let mut wanted: BTreeSet<AdapterKey> = queue.iter().filter_map(|w| w.key.clone()).collect();
        let mut planned = Planned::new();
        let mut actions = Vec::new();
        for waiting in queue {
            if let Some(refusal) = self.too_late(&waiting, now) {
                actions.push(Action::Refuse(refusal));
                continue;
            }
            match self.place(&waiting, &mut planned, &mut wanted, now) {
                Some(grant) => actions.push(Action::Grant(grant)),
                None => self.queue.push(waiting),
            }
        }
        actions
    }

    fn place(
        &mut self,
        waiting: &Waiting,
        planned: &mut Planned,
        wanted: &mut BTreeSet<AdapterKey>,
        now: Now,
    ) -> Option<Grant> {
        let choice = self.best(waiting, planned, wanted, now)?;
        let work_ahead = self.limits.work_ahead;
        let wanted_version = waiting
            .key
            .as_ref()
            .and_then(|k| self.versions.get(k))
            .copied();
        let engine = self.engines.get_mut(&choice.engine)?;
        let tokens = f64::from(waiting.ask.tokens);
        match choice.need {
            Need::Nothing if engine.wait() <= work_ahead => {
                engine.grant(&waiting.ask, waiting.key.as_ref(), now);
                let copy = waiting.key.as_ref().and_then(|k| engine.copies.get(k));
                let grant = Grant {
                    call: waiting.ask.call.clone(),
                    instance: engine.id.clone(),
                    addr: engine.addr,
                    version: copy.and_then(|c| c.version),
                };
                self.running.insert(waiting.ask.call.clone(), choice.engine);
                return Some(grant);
            }
            Need::Load { evict } if engine.orders_seen.is_some() => {
                if let Some(key) = &waiting.key {
                    engine.order_load(key, wanted_version, evict, now);
                }
            }
            Need::Nothing | Need::Wait | Need::Load { .. } => {}
        }
        *planned.entry(choice.engine).or_default() += tokens;
        None
    }

    /// The engine where the first token is expected soonest.
    fn best(
        &self,
        waiting: &Waiting,
        planned: &Planned,
        wanted: &BTreeSet<AdapterKey>,
        now: Now,
    ) -> Option<Choice> {
        let spec = self.specs.get(&waiting.ask.service)?;
        self.engines
            .values()
            .filter(|e| e.service == waiting.ask.service && e.usable(now))
            .filter(|e| !waiting.ask.avoid.contains(&e.id))
            .filter(|e| matches!(e.models.get(&waiting.ask.model), Some(ModelState::Held)))
            .filter(|e| e.has_room(&waiting.ask, spec.slots, spec.kv_tokens))
            .filter_map(|e| self.choice(e, waiting, planned, wanted, spec.adapter_slots, now))
            .min_by_key(|c| c.cost)
    }

    fn choice(
        &self,
        engine: &Engine,
        waiting: &Waiting,
        planned: &Planned,
        wanted: &BTreeSet<AdapterKey>,
        adapter_slots: u32,
        now: Now,
    ) -> Option<Choice> {
        let ahead = planned.get(&engine.id).copied().unwrap_or_default();
        let reading = (ahead + f64::from(waiting.ask.tokens)) / engine.rate();
        let (need, load) = match &waiting.key {
            None => (Need::Nothing, Duration::ZERO),
            Some(key) => self.need(engine, key, wanted, adapter_slots, now)?,
        };
        let bias = waiting
            .key
            .as_ref()
            .map_or(0.0, |k| home_bias(&k.popularity_name(), &engine.id));
        // A load runs beside the work ahead.
        let before = engine.wait().max(load);
        let cost = before + millis(reading + bias);
        Some(Choice {
            engine: engine.id.clone(),
            cost,
            need,
        })
    }

    /// What an adapter needs at an engine, and how long that takes; `None`
    /// when it has no place there now.
    fn need(
        &self,
        engine: &Engine,
        key: &AdapterKey,
        wanted: &BTreeSet<AdapterKey>,
        adapter_slots: u32,
        now: Now,
    ) -> Option<(Need, Duration)> {
        let version = self.versions.get(key).copied();
        let warm = engine.warm.contains(key);
        let load = self.load_times.expected(warm);
        let Some(copy) = engine.copies.get(key) else {
            if engine.copies.len() < adapter_slots as usize {
                return Some((Need::Load { evict: None }, load));
            }
            let victim = self.victim(engine, wanted, now)?;
            return Some((
                Need::Load {
                    evict: Some(victim),
                },
                load,
            ));
        };
        match copy.state {
            CopyState::Held if !copy.is_stale(version) => Some((Need::Nothing, Duration::ZERO)),
            // Replacing waits for the calls that run on the old version.
            CopyState::Held if copy.runs == 0 => {
                Some((Need::Load { evict: None }, self.load_times.expected(false)))
            }
            CopyState::Held | CopyState::Leaving => None,
            CopyState::Ordered => Some((Need::Wait, load)),
            CopyState::Loading(at) => Some((Need::Wait, at.saturating_sub(now))),
        }
    }

    /// The least asked-for adapter that nothing uses or waits for.
    fn victim(
        &self,
        engine: &Engine,
        wanted: &BTreeSet<AdapterKey>,
        now: Now,
    ) -> Option<AdapterKey> {
        engine
            .copies
            .iter()
            .filter(|(key, copy)| copy.evictable() && !wanted.contains(*key))
            .min_by(|a, b| {
                let score = |key: &AdapterKey| self.popularity.score(&key.popularity_name(), now);
                let by_score = score(a.0).total_cmp(&score(b.0));
                by_score.then(a.1.used.cmp(&b.1.used))
            })
            .map(|(key, _)| key.clone())
    }

    fn too_late(&self, waiting: &Waiting, now: Now) -> Option<Refusal> {
        let reading = self.fastest_reading(waiting);
        if now + reading < waiting.ask.deadline {
            return None;
        }
        Some(refusal(
            waiting,
            RefusalReason::Deadline,
            Duration::ZERO,
            now,
        ))
    }

    fn fastest_reading(&self, waiting: &Waiting) -> Duration {
        let rate = self.engines.values().map(Engine::rate).fold(1.0, f64::max);
        millis(f64::from(waiting.ask.tokens) / rate)
    }

    /// Adapters that calls wait for.
    fn wanted(&self) -> BTreeSet<AdapterKey> {
        self.queue.iter().filter_map(|w| w.key.clone()).collect()
    }

    /// Adds a waiting call to the engine with the least work.
    fn plan_evenly(&self, waiting: &Waiting, planned: &mut Planned, now: Now) {
        let least = self
            .engines
            .values()
            .filter(|e| e.usable(now))
            .min_by_key(|e| {
                e.wait() + millis(planned.get(&e.id).copied().unwrap_or(0.0) / e.rate())
            });
        if let Some(engine) = least {
            *planned.entry(engine.id.clone()).or_default() += f64::from(waiting.ask.tokens);
        }
    }

    /// Expected wait when no engine has a place for the adapter now: places
    /// come free as calls end, about as fast as work is done.
    fn cost_without_choice(&self, planned: &Planned) -> Duration {
        const PLACE_WAIT: Duration = Duration::from_millis(300);
        let most = self
            .engines
            .values()
            .map(|e| {
                let ahead = planned.get(&e.id).copied().unwrap_or(0.0) / e.rate();
                as_millis(e.wait()) + ahead
            })
            .fold(f64::INFINITY, f64::min);
        if most.is_finite() {
            PLACE_WAIT + millis(most)
        } else {
            Duration::from_secs(1)
        }
    }
}

impl Engine {
    /// Queues the orders that bring an adapter in.
    fn order_load(
        &mut self,
        key: &AdapterKey,
        version: Option<u64>,
        evict: Option<AdapterKey>,
        now: Now,
    ) {
        if let Some(victim) = evict {
            if let Some(copy) = self.copies.get_mut(&victim) {
                copy.state = CopyState::Leaving;
            }
            self.order_queue.push_back(OrderKind::UnloadAdapter {
                model: victim.model,
                adapter: victim.adapter,
            });
        }
        self.order_queue.push_back(OrderKind::LoadAdapter {
            model: key.model.clone(),
            adapter: key.adapter.clone(),
            version,
        });
        let mut copy = super::engine::Copy::held(version, now);
        copy.state = CopyState::Ordered;
        self.copies.insert(key.clone(), copy);
    }
}

fn home_bias(key: &str, engine: &str) -> f64 {
    let weight = rendezvous::weight(key, engine) as f64 / u64::MAX as f64;
    HOME_BIAS_MS * (1.0 - weight)
}

fn refusal(waiting: &Waiting, reason: RefusalReason, wait: Duration, now: Now) -> Refusal {
    let left = waiting.ask.deadline.saturating_sub(now);
    Refusal {
        call: waiting.ask.call.clone(),
        reason,
        retry_after: wait.max(SHORTEST_RETRY).min(left.mul_f64(RETRY_SHARE)),
    }
}
