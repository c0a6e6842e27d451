//! One engine as its coordinator sees it.

use super::ask::{CallId, Grant, Rejection};
use super::estimate::{ReadRate, millis};
use super::order::{Order, OrderKind, Report};
use super::{AdapterKey, Ask};
use crate::directory::{Instance, InstanceState};
use crate::{InstanceId, ModelName, Now, ServiceName, WeightVersion};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Adapters that an engine is taken to keep a copy of in its host memory after
/// they were evicted.
const WARM_ADAPTERS: usize = 25;
/// How long an engine that refused as full gets nothing.
const FULL_PAUSE: Duration = Duration::from_millis(60);
/// How long an engine that could not be reached gets nothing; doubles with each
/// further failure, up to [`LONGEST_PAUSE`].
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(700);
/// Longest pause; a lost engine leaves the directory after some seconds.
const LONGEST_PAUSE: Duration = Duration::from_millis(2_800);
/// Time by which a call outlives its deadline at most.
const RUN_SLACK: Duration = Duration::from_millis(700);
/// Share of an engine's memory that granted calls may claim.
const MEMORY_SHARE: f64 = 0.92;

/// An engine.
#[derive(Clone, Debug)]
pub(super) struct Engine {
    pub(super) id: InstanceId,
    pub(super) addr: SocketAddr,
    pub(super) service: ServiceName,
    pub(super) born: u64,
    pub(super) ready: bool,
    /// Base models that it holds.
    pub(super) models: BTreeMap<ModelName, ModelState>,
    pub(super) copies: BTreeMap<AdapterKey, Copy>,
    /// Evicted adapters, the newest last.
    pub(super) warm: VecDeque<AdapterKey>,
    /// Orders accepted, if known.
    pub(super) orders_seen: Option<u64>,
    /// The order that has not been answered.
    pub(super) order: Option<Order>,
    pub(super) order_queue: VecDeque<OrderKind>,
    /// When to ask it what it holds.
    pub(super) list_at: Option<Now>,
    pub(super) listing: bool,
    pub(super) last_order: Now,
    /// Conflicts of the next order so far.
    pub(super) conflicts: u32,
    /// No order goes out before.
    pub(super) orders_from: Now,
    runs: BTreeMap<CallId, Run>,
    /// Prompt tokens of the calls that have not started.
    unstarted: u64,
    /// Memory that the granted calls may claim, in tokens.
    claimed: u64,
    paused_until: Now,
    /// Times that it could not be reached since it last answered.
    failures: u32,
    last_start: Now,
    rate: ReadRate,
}

/// State of a base model at an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ModelState {
    /// Ordered; expected then.
    Loading(Now),
    /// There.
    Held,
}

/// An adapter at an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Copy {
    pub(super) state: CopyState,
    /// `None` when ordered as the newest, or unknown.
    pub(super) version: Option<WeightVersion>,
    pub(super) used: Now,
    pub(super) runs: u32,
    /// When it surely has arrived; not evicted before, because an engine takes
    /// the eviction of an adapter on its way for done and loads it all the same.
    pub(super) certain: Now,
}

/// State of an adapter at an engine. Each state takes a place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CopyState {
    /// An order to load it waits or is under way.
    Ordered,
    /// Expected at this time.
    Loading(Now),
    /// There.
    Held,
    /// An order to evict it waits, is under way or not yet carried out.
    Leaving,
}

#[derive(Clone, Debug)]
struct Run {
    key: Option<AdapterKey>,
    tokens: u32,
    output: u32,
    granted: Now,
    until: Now,
    started: bool,
}

impl Engine {
    pub(super) fn new(instance: &Instance, now: Now) -> Self {
        let mut engine = Self {
            id: instance.id.clone(),
            addr: instance.addr,
            service: instance.service.clone(),
            born: instance.born,
            ready: instance.state == InstanceState::Ready,
            models: BTreeMap::new(),
            copies: BTreeMap::new(),
            warm: VecDeque::new(),
            orders_seen: None,
            order: None,
            order_queue: VecDeque::new(),
            list_at: Some(now),
            listing: false,
            last_order: Now::ZERO,
            conflicts: 0,
            orders_from: Now::ZERO,
            runs: BTreeMap::new(),
            unstarted: 0,
            claimed: 0,
            paused_until: Now::ZERO,
            failures: 0,
            last_start: Now::ZERO,
            rate: ReadRate::default(),
        };
        for model in &instance.models {
            engine.models.insert(model.name.clone(), ModelState::Held);
            for (adapter, version) in &model.adapters {
                let key = AdapterKey {
                    model: model.name.clone(),
                    adapter: adapter.clone(),
                };
                engine.copies.insert(key, Copy::held(Some(*version), now));
            }
        }
        engine
    }

    /// Whether calls may be sent to it.
    pub(super) fn usable(&self, now: Now) -> bool {
        self.ready && now >= self.paused_until
    }

    pub(super) const fn rate(&self) -> f64 {
        self.rate.per_ms()
    }

    /// Expected time until it begins to read a prompt granted now.
    pub(super) fn wait(&self) -> Duration {
        millis(self.unstarted as f64 / self.rate.per_ms())
    }

    /// Whether a call of this size fits beside those granted.
    pub(super) fn has_room(&self, ask: &Ask, slots: u32, kv_tokens: u64) -> bool {
        let most = kv_tokens as f64 * MEMORY_SHARE;
        let wanted = self.claimed + u64::from(ask.tokens) + u64::from(ask.output);
        self.runs.len() < slots as usize && (self.runs.is_empty() || wanted as f64 <= most)
    }

    /// Places for adapters that are free or could be made free at once.
    pub(super) fn places(&self, adapter_slots: u32, now: Now) -> usize {
        let free = (adapter_slots as usize).saturating_sub(self.copies.len());
        free + self.copies.values().filter(|c| c.evictable(now)).count()
    }

    /// Adapters whose load has not been accepted yet.
    pub(super) fn ordered(&self) -> usize {
        let ordered = |c: &&Copy| c.state == CopyState::Ordered;
        self.copies.values().filter(ordered).count()
    }

    /// Adapters on their way.
    pub(super) fn arriving(&self) -> usize {
        let arriving = |c: &&Copy| matches!(c.state, CopyState::Ordered | CopyState::Loading(_));
        self.copies.values().filter(arriving).count()
    }

    pub(super) fn grant(&mut self, ask: &Ask, key: Option<&AdapterKey>, now: Now) -> Grant {
        let copy = key.and_then(|k| self.copies.get_mut(k));
        let version = copy.as_ref().and_then(|c| c.version);
        if let Some(copy) = copy {
            copy.runs += 1;
            copy.used = now;
        }
        let run = Run {
            key: key.cloned(),
            tokens: ask.tokens,
            output: ask.output,
            granted: now,
            until: ask.deadline + RUN_SLACK,
            started: false,
        };
        self.unstarted += u64::from(run.tokens);
        self.claimed += run.memory();
        if let Some(replaced) = self.runs.insert(ask.call.clone(), run) {
            self.release(&replaced);
        }
        Grant {
            call: ask.call.clone(),
            instance: self.id.clone(),
            addr: self.addr,
            version,
        }
    }

    /// Notes the first token of a call. Answers whether it was the first call
    /// on an adapter that has arrived.
    pub(super) fn started(&mut self, call: &str, now: Now) -> bool {
        let Some(run) = self.runs.get_mut(call) else {
            return false;
        };
        if run.started {
            return false;
        }
        run.started = true;
        self.failures = 0;
        self.unstarted -= u64::from(run.tokens);
        let from = run.granted.max(self.last_start);
        self.rate.learn(f64::from(run.tokens), from, now);
        self.last_start = now;
        let copy = run.key.as_ref().and_then(|k| self.copies.get_mut(k));
        let first = copy.as_ref().is_some_and(|c| c.certain > now);
        if let Some(copy) = copy {
            copy.certain = now;
        }
        first
    }

    pub(super) fn ended(&mut self, call: &str, now: Now) {
        let Some(run) = self.runs.remove(call) else {
            return;
        };
        self.release(&run);
        if let Some(copy) = run.key.as_ref().and_then(|k| self.copies.get_mut(k)) {
            copy.runs = copy.runs.saturating_sub(1);
            copy.used = now;
        }
    }

    /// Takes a call that is gone out of the sums.
    fn release(&mut self, run: &Run) {
        self.claimed -= run.memory();
        if !run.started {
            self.unstarted -= u64::from(run.tokens);
        }
    }

    /// Notes that the engine refused a call. Answers whether an adapter has not
    /// arrived when it was expected.
    pub(super) fn rejected(&mut self, call: &str, why: Rejection, now: Now) -> bool {
        let key = self.runs.get(call).and_then(|r| r.key.clone());
        self.ended(call, now);
        match why {
            Rejection::Missing => return self.missing(key, now),
            Rejection::Full => self.paused_until = self.paused_until.max(now + FULL_PAUSE),
            Rejection::Unreachable => self.unreachable(now),
        }
        false
    }

    /// Leaves the engine out for a while. Loads that were not ordered yet are
    /// given up, so that other engines can take them and their share of the
    /// loads under way.
    pub(super) fn unreachable(&mut self, now: Now) {
        if now < self.paused_until {
            return;
        }
        let pause = UNREACHABLE_PAUSE * (1 << self.failures.min(2));
        self.failures += 1;
        self.paused_until = now + pause.min(LONGEST_PAUSE);
        self.drop_orders();
    }

    /// Notes that the engine answered.
    pub(super) const fn answered(&mut self) {
        self.failures = 0;
    }

    /// Gives up the orders that have not been sent. The one under way keeps its
    /// place until it is answered.
    pub(super) fn drop_orders(&mut self) {
        self.order_queue.clear();
        let under_way = self.order.as_ref().and_then(|o| o.kind.adapter());
        self.copies.retain(|key, copy| {
            copy.state != CopyState::Ordered || under_way.as_ref() == Some(key)
        });
        for (key, copy) in &mut self.copies {
            if copy.state == CopyState::Leaving && under_way.as_ref() != Some(key) {
                copy.state = CopyState::Held;
            }
        }
    }

    /// An adapter that should be there is not: its load takes longer than
    /// expected, or this view is wrong and the engine has to be listed.
    fn missing(&mut self, key: Option<AdapterKey>, now: Now) -> bool {
        const LONGER: Duration = Duration::from_millis(50);
        let copy = key.and_then(|k| self.copies.get_mut(&k));
        if let Some(copy) = copy.filter(|c| c.certain > now) {
            // Of the calls that were sent when it was expected, one counts.
            let first = copy.state == CopyState::Held;
            copy.state = CopyState::Loading(now + LONGER);
            return first;
        }
        self.list_at.get_or_insert(now);
        false
    }

    /// Forgets calls past their time and answers with them.
    pub(super) fn expire(&mut self, now: Now) -> Vec<CallId> {
        let late: Vec<CallId> = self
            .runs
            .iter()
            .filter(|(_, run)| run.until <= now)
            .map(|(call, _)| call.clone())
            .collect();
        for call in &late {
            self.ended(call, now);
        }
        late
    }

    /// Turns loads whose time has come into held copies.
    pub(super) fn settle(&mut self, now: Now) {
        for copy in self.copies.values_mut() {
            if matches!(copy.state, CopyState::Loading(at) if at <= now) {
                copy.state = CopyState::Held;
            }
        }
        for state in self.models.values_mut() {
            if matches!(state, ModelState::Loading(at) if *at <= now) {
                *state = ModelState::Held;
            }
        }
    }

    /// Next time at which something changes by itself.
    pub(super) fn next_change(&self) -> Option<Now> {
        let loads = self.copies.values().filter_map(|c| match c.state {
            CopyState::Loading(at) => Some(at),
            CopyState::Ordered | CopyState::Held | CopyState::Leaving => None,
        });
        let models = self.models.values().filter_map(|s| match s {
            ModelState::Loading(at) => Some(*at),
            ModelState::Held => None,
        });
        let orders = (!self.order_queue.is_empty()).then_some(self.orders_from);
        loads.chain(models).chain(self.list_at).chain(orders).min()
    }

    pub(super) fn evicted(&mut self, key: &AdapterKey) {
        self.copies.remove(key);
        self.warm.retain(|k| k != key);
        self.warm.push_back(key.clone());
        if self.warm.len() > WARM_ADAPTERS {
            self.warm.pop_front();
        }
    }

    /// Takes the engine's own word, which no order has overtaken.
    pub(super) fn on_report(&mut self, report: &Report, now: Now) {
        self.orders_seen = Some(report.orders);
        self.order_queue.clear();
        let before = std::mem::take(&mut self.copies);
        for (model, adapters) in &report.models {
            self.models.insert(model.clone(), ModelState::Held);
            for (adapter, version) in adapters {
                let key = AdapterKey {
                    model: model.clone(),
                    adapter: adapter.clone(),
                };
                let copy = Copy::held(Some(*version), now).with_use(before.get(&key));
                self.copies.insert(key, copy);
            }
        }
        self.models.retain(|model, state| {
            report.models.contains_key(model) || matches!(state, ModelState::Loading(_))
        });
        for (model, adapter) in &report.arriving {
            let key = AdapterKey {
                model: model.clone(),
                adapter: adapter.clone(),
            };
            const STILL_LOADING: Duration = Duration::from_millis(150);
            let mut copy = Copy::held(None, now).with_use(before.get(&key));
            copy.state = CopyState::Loading(now + STILL_LOADING);
            self.copies.entry(key).or_insert(copy);
        }
    }
}

impl Copy {
    pub(super) const fn held(version: Option<WeightVersion>, now: Now) -> Self {
        Self {
            state: CopyState::Held,
            version,
            used: now,
            runs: 0,
            certain: Now::ZERO,
        }
    }

    fn with_use(mut self, before: Option<&Self>) -> Self {
        if let Some(before) = before {
            self.runs = before.runs;
            self.used = before.used;
        }
        self
    }

    /// Whether it can be evicted without waiting.
    pub(super) fn evictable(&self, now: Now) -> bool {
        self.state == CopyState::Held && self.runs == 0 && now >= self.certain
    }

    /// Whether calls can run on it, now or once it has arrived.
    pub(super) fn serves(&self, wanted: Option<WeightVersion>) -> bool {
        self.state != CopyState::Leaving && !self.is_stale(wanted)
    }

    /// Whether its version is older than the one wanted.
    pub(super) fn is_stale(&self, wanted: Option<WeightVersion>) -> bool {
        matches!((self.version, wanted), (Some(held), Some(wanted)) if held < wanted)
    }
}

impl Run {
    fn memory(&self) -> u64 {
        u64::from(self.tokens) + u64::from(self.output)
    }
}
