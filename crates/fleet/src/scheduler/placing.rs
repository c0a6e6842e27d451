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
/// What a load from the store must gain besides its time: it uses a share of
/// the store, and the adapter loses its home.
const COLD_COST: Duration = Duration::from_millis(250);
/// The same for a load from an engine's own memory.
const WARM_COST: Duration = Duration::from_millis(40);
/// Adapters on their way to one engine; engines refuse more.
const MOST_ARRIVING: usize = 4;
/// Loads from the store at full speed, for each engine of the zone; more at
/// once would only slow each other down.
const FULL_SPEED_LOADS: f64 = 0.67;
/// Prompt tokens a millisecond by which it is judged whether a call can start
/// in time.
const USUAL_RATE: f64 = 14.0;
/// Wait of a late call, in times of the wait for the queue ahead of it: while
/// the zone is overloaded, as many new calls go ahead as there were.
const LATE_FACTOR: u32 = 2;
/// Expected wait of a call that no engine can take now.
const UNPLACED_WAIT: Duration = Duration::from_millis(1_000);
/// Share of the time left that a caller is asked to wait at most; callers wait
/// no longer than a third.
const RETRY_SHARE: f64 = 0.3;
/// Shortest time after which a caller is asked to come back.
const SHORTEST_RETRY: Duration = Duration::from_millis(50);

/// Where a call could run.
#[derive(Clone, Debug)]
struct Choice {
    engine: InstanceId,
    /// Expected time until the first token.
    wait: Duration,
    /// What it is compared by.
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
    /// A place for the adapter has to come free.
    Place,
    /// The adapter has to be loaded, into the place of another if named.
    Load { evict: Option<AdapterKey> },
}

/// Place in the queue; the lowest goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Rank {
    /// Whether it can't start in time any more.
    late: bool,
    priority: u8,
}

/// What became of a waiting call in one round.
enum Placing {
    /// It is sent.
    Granted(Grant),
    /// It is expected to start after this time.
    Waits(Duration),
}

/// Prompt tokens given to each engine in one round but not granted.
type Plans = BTreeMap<InstanceId, f64>;

/// What is worked out once for all calls that are placed at one time, because
/// a zone has many engines and many calls wait.
#[derive(Debug)]
struct Round {
    plans: Plans,
    /// Adapters that calls wait for.
    wanted: BTreeSet<AdapterKey>,
    /// Adapters that wait for a place, of the calls looked at so far.
    placeless: BTreeSet<AdapterKey>,
    /// Places for adapters that come free in a second.
    turnover: f64,
    /// Adapters on their way to all engines.
    arriving: usize,
    /// The adapter that each engine would evict next.
    victims: BTreeMap<InstanceId, Option<AdapterKey>>,
}

impl Scheduler {
    /// Expected time until the first token of a call that is asked for now.
    #[must_use]
    pub fn expected_wait(&self, ask: &Ask, now: Now) -> Duration {
        self.expected(&Waiting::new(ask.clone(), 0), now)
    }

    fn expected(&self, waiting: &Waiting, now: Now) -> Duration {
        let rank = waiting.rank(now);
        let wait = self.wait_behind(rank, waiting, now);
        let late = Rank { late: true, ..rank };
        if rank.late || now + wait > waiting.ask.objective {
            let wait = self.wait_behind(late, waiting, now);
            late_wait(wait, waiting, now)
        } else {
            wait
        }
    }

    /// Expected wait behind the calls that wait with this rank or a better one.
    fn wait_behind(&self, rank: Rank, waiting: &Waiting, now: Now) -> Duration {
        let mut round = self.round(now);
        let mut tokens = 0.0;
        for ahead in self.queue.iter().filter(|w| w.rank(now) <= rank) {
            tokens += f64::from(ahead.ask.tokens);
            round
                .placeless
                .extend(ahead.key.clone().filter(|_| ahead.placeless));
        }
        self.plan_evenly(tokens, &mut round.plans, now);
        let choice = self.best(waiting, &mut round, now);
        choice.map_or(UNPLACED_WAIT, |c| c.wait)
    }

    fn round(&self, now: Now) -> Round {
        let places = self.engines.values().filter(|e| e.usable(now));
        let places = places.filter_map(|e| self.specs.get(&e.service));
        Round {
            placeless: BTreeSet::new(),
            turnover: self
                .turnover
                .per_s(places.map(|s| s.adapter_slots).sum(), now),
            plans: Plans::new(),
            wanted: self.queue.iter().filter_map(|w| w.key.clone()).collect(),
            arriving: self.engines.values().map(Engine::arriving).sum(),
            victims: BTreeMap::new(),
        }
    }

    /// Refuses a call at once that would take most of its time to start.
    pub(super) fn refusal_on_arrival(
        &self,
        waiting: &Waiting,
        wait: Duration,
        now: Now,
    ) -> Option<Refusal> {
        let left = waiting.ask.deadline.saturating_sub(now);
        if wait < left.mul_f64(self.limits.patience) {
            return None;
        }
        let reason = if self.engines.values().any(|e| e.usable(now)) {
            RefusalReason::Overload
        } else {
            RefusalReason::NoEngine
        };
        Some(refusal(waiting, reason, wait / 2, now))
    }

    /// Grants, orders and refuses for the calls that wait, best rank first.
    pub(super) fn place_waiting(&mut self, now: Now) -> Vec<Action> {
        for engine in self.engines.values_mut() {
            engine.settle(now);
        }
        let mut round = self.round(now);
        let mut queue = std::mem::take(&mut self.queue);
        queue.sort_by_key(|w| (w.rank(now), w.serial));
        let mut actions = Vec::new();
        for mut waiting in queue {
            let placing = match self.place(&mut waiting, &mut round, now) {
                Placing::Waits(wait) => Placing::Waits(late_wait(wait, &waiting, now)),
                granted @ Placing::Granted(_) => granted,
            };
            match placing {
                Placing::Granted(grant) => actions.push(Action::Grant(grant)),
                Placing::Waits(wait) if now + wait < waiting.ask.deadline => {
                    self.queue.push(waiting);
                }
                Placing::Waits(wait) => {
                    let refusal = refusal(&waiting, RefusalReason::Deadline, wait / 2, now);
                    actions.push(Action::Refuse(refusal));
                }
            }
        }
        actions
    }

    fn place(&mut self, waiting: &mut Waiting, round: &mut Round, now: Now) -> Placing {
        let Some(choice) = self.best(waiting, round, now) else {
            return Placing::Waits(UNPLACED_WAIT);
        };
        let work_ahead = self.limits.work_ahead;
        let version = waiting.key.as_ref().and_then(|k| self.versions.get(k));
        let version = version.copied();
        let engine = self
            .engines
            .get_mut(&choice.engine)
            .expect("the choice was made among the engines");
        match &choice.need {
            Need::Nothing if engine.wait() <= work_ahead => {
                let grant = engine.grant(&waiting.ask, waiting.key.as_ref(), now);
                self.running.insert(grant.call.clone(), choice.engine);
                return Placing::Granted(grant);
            }
            Need::Load { evict } if engine.orders_seen.is_some() => {
                if let Some(key) = &waiting.key {
                    engine.order_load(key, version, evict.clone(), now);
                    self.turnover.note(now);
                    round.arriving += 1;
                    round.victims.remove(&choice.engine);
                }
            }
            Need::Nothing | Need::Wait | Need::Place | Need::Load { .. } => {}
        }
        *round.plans.entry(choice.engine).or_default() += f64::from(waiting.ask.tokens);
        waiting.placeless = choice.need == Need::Place;
        round
            .placeless
            .extend(waiting.key.clone().filter(|_| waiting.placeless));
        Placing::Waits(choice.wait)
    }

    /// The engine where the first token is expected soonest.
    fn best(&self, waiting: &Waiting, round: &mut Round, now: Now) -> Option<Choice> {
        let spec = self.specs.get(&waiting.ask.service)?;
        self.engines
            .values()
            .filter(|e| e.service == waiting.ask.service && e.usable(now))
            .filter(|e| !waiting.ask.avoid.contains(&e.id))
            .filter(|e| matches!(e.models.get(&waiting.ask.model), Some(ModelState::Held)))
            .filter(|e| e.has_room(&waiting.ask, spec.slots, spec.kv_tokens))
            .filter_map(|e| self.choice(e, waiting, round, spec.adapter_slots, now))
            .min_by_key(|c| c.cost)
    }

    fn choice(
        &self,
        engine: &Engine,
        waiting: &Waiting,
        round: &mut Round,
        adapter_slots: u32,
        now: Now,
    ) -> Option<Choice> {
        let ahead = round.plans.get(&engine.id).copied().unwrap_or(0.0);
        let reading = millis((ahead + f64::from(waiting.ask.tokens)) / engine.rate());
        let Some(key) = &waiting.key else {
            let wait = engine.wait() + reading;
            return Some(Choice {
                engine: engine.id.clone(),
                wait,
                cost: wait,
                need: Need::Nothing,
            });
        };
        let warm = engine.warm.contains(key);
        let (need, load) = self.need(engine, key, warm, round, adapter_slots, now)?;
        // A load runs beside the work ahead.
        let wait = engine.wait().max(load) + reading;
        let bias = millis(home_bias(&waiting.name, &engine.id));
        let cost = wait + bias + load_cost(engine, key, warm);
        Some(Choice {
            engine: engine.id.clone(),
            wait,
            cost,
            need,
        })
    }

    /// What an adapter needs at an engine, and how long that takes; `None`
    /// when it can't be used there until calls on an old version have ended.
    fn need(
        &self,
        engine: &Engine,
        key: &AdapterKey,
        warm: bool,
        round: &mut Round,
        adapter_slots: u32,
        now: Now,
    ) -> Option<(Need, Duration)> {
        let version = self.versions.get(key).copied();
        let load = self.load_times.expected(warm);
        let Some(copy) = engine.copies.get(key) else {
            if engine.arriving() < MOST_ARRIVING && self.may_load(warm, round) {
                if engine.copies.len() < adapter_slots as usize {
                    return Some((Need::Load { evict: None }, load));
                }
                if let Some(victim) = self.victim(engine, round, now) {
                    let evict = Some(victim);
                    return Some((Need::Load { evict }, load));
                }
            }
            let counted = usize::from(round.placeless.contains(key));
            let others = round.placeless.len() - counted;
            let turns = (others + 1) as f64 / round.turnover;
            return Some((Need::Place, millis(turns * 1e3) + load));
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

    /// Expected time of a load; loads from the store share its speed.
    pub(super) fn load_time(&self, engine: &Engine, key: &AdapterKey) -> Duration {
        self.load_times.expected(engine.warm.contains(key))
    }

    /// Whether one more load would not slow those under way down.
    fn may_load(&self, warm: bool, round: &Round) -> bool {
        let most = (self.engines.len() as f64 * FULL_SPEED_LOADS).max(2.0);
        warm || (round.arriving as f64) < most
    }

    /// The least asked-for adapter that nothing uses or waits for.
    fn victim(&self, engine: &Engine, round: &mut Round, now: Now) -> Option<AdapterKey> {
        if let Some(known) = round.victims.get(&engine.id) {
            return known.clone();
        }
        let victim = engine
            .copies
            .iter()
            .filter(|(key, copy)| copy.evictable(now) && !round.wanted.contains(*key))
            .min_by(|a, b| {
                let score = |key: &AdapterKey| self.popularity.score(&key.to_string(), now);
                let by_score = score(a.0).total_cmp(&score(b.0));
                by_score.then(a.1.used.cmp(&b.1.used))
            })
            .map(|(key, _)| key.clone());
        round.victims.insert(engine.id.clone(), victim.clone());
        victim
    }

    /// Gives waiting work to the engines, the least busy first, until all are
    /// equally busy.
    fn plan_evenly(&self, tokens: f64, plans: &mut Plans, now: Now) {
        let mut usable: Vec<&Engine> = self.engines.values().filter(|e| e.usable(now)).collect();
        usable.sort_by_key(|e| e.wait());
        let busy = |e: &Engine| as_millis(e.wait());
        // The level at which the first engines, filled up to it, take it all.
        let (mut rate, mut work) = (0.0, tokens);
        let mut level = 0.0;
        for (index, engine) in usable.iter().enumerate() {
            rate += engine.rate();
            work += busy(engine) * engine.rate();
            level = work / rate;
            if usable.get(index + 1).is_none_or(|next| busy(next) >= level) {
                break;
            }
        }
        for engine in usable.iter().take_while(|e| busy(e) < level) {
            *plans.entry(engine.id.clone()).or_default() += (level - busy(engine)) * engine.rate();
        }
    }
}

impl Waiting {
    pub(super) fn new(ask: Ask, serial: u64) -> Self {
        let key = ask.key();
        Self {
            name: key
                .as_ref()
                .map(ToString::to_string)
                .unwrap_or_default()
                .into(),
            key,
            ask,
            placeless: false,
            serial,
        }
    }

    /// Order in which calls are served: those that can still start in time come
    /// first, because a late answer is worth little and an engine's time as
    /// much for it as for one in time; then by priority.
    fn rank(&self, now: Now) -> Rank {
        let soonest = now + millis(f64::from(self.ask.tokens) / USUAL_RATE);
        Rank {
            late: soonest > self.ask.objective,
            priority: self.ask.priority,
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

/// What a load at an engine must gain besides its time.
fn load_cost(engine: &Engine, key: &AdapterKey, warm: bool) -> Duration {
    if engine.copies.contains_key(key) {
        Duration::ZERO
    } else if warm {
        WARM_COST
    } else {
        COLD_COST
    }
}

/// Wait of a call that comes too late to be in time. Calls that arrive while it
/// waits go first, so that it waits longer than the queue ahead of it says.
fn late_wait(wait: Duration, waiting: &Waiting, now: Now) -> Duration {
    if now + wait > waiting.ask.objective {
        wait * LATE_FACTOR
    } else {
        wait
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
