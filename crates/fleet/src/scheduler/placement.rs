//! Selects the engine of each queued call.
//!
//! Rendezvous hashing orders the engines for each adapter; the first one is the
//! adapter's home engine, which is preferred when the costs are about equal.

use super::adapter_copy::{AdapterCopy, CopyState};
use super::drain::drain_penalty;
use super::engine_view::{EngineView, ModelState};
use super::estimate::{as_millis, millis, overtaking_factor};
use super::order::OrderKind;
use super::prompt_cache::PromptPath;
use super::queue_order::QueueRank;
use super::request::{Grant, PlacementRequest, Refusal, RefusalReason};
use super::{Action, AdapterKey, QueuedCall, Scheduler};
use crate::{InstanceId, Now};
use reedford_core::rendezvous;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Cost added to an engine with the lowest rendezvous weight for an adapter, in
/// milliseconds; the higher the weight, the lower the addition. It decides only
/// between engines of about equal cost.
const HOME_BIAS_MS: f64 = 30.0;
/// Cost of a load from the weight store in addition to its duration: the load
/// takes a share of the weight store's bandwidth, and if the adapter is held
/// elsewhere, the additional copy occupies a slot.
const COLD_LOAD_COST: Duration = Duration::from_millis(250);
/// Cost of a load from the engine's host memory in addition to its duration.
const WARM_LOAD_COST: Duration = Duration::from_millis(40);
/// Cost of processing a prompt in addition to the wait for it, as a share of its
/// duration, because other calls wait for it too. It favours engines that keep
/// parts of the prompt.
const PREFILL_COST_SHARE: f64 = 0.5;
/// Maximum concurrent adapter loads on one engine; engines refuse more.
const MAX_LOADS_PER_ENGINE: usize = 4;
/// Minimum of the expected wait of a late call, as a multiple of its computed
/// wait: while the zone is overloaded, about as many new calls overtake a late call
/// as were ahead of it on arrival.
const LATE_WAIT_FACTOR: f64 = 2.0;
/// Expected wait of a call that no engine can run at the moment.
const UNPLACED_WAIT: Duration = Duration::from_millis(1_000);
/// Maximum of the suggested retry delay, as a share of the time until the
/// deadline; callers don't wait longer than a third of that time before they
/// retry.
const MAX_RETRY_SHARE: f64 = 0.3;
/// Minimum of the suggested retry delay.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// An engine on which a call could run.
#[derive(Clone, Debug)]
struct Candidate {
    engine: InstanceId,
    /// Expected time until the first token.
    wait: Duration,
    /// Wait plus penalties; the candidate with the lowest cost is selected.
    cost: Duration,
    /// Prompt tokens that the engine is not assumed to keep.
    unprocessed_tokens: u32,
    prerequisite: Prerequisite,
}

/// What has to happen before a call can be sent.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Prerequisite {
    /// The call can be sent at once.
    None,
    /// The adapter's load in progress has to complete.
    LoadCompletion,
    /// A slot for the adapter has to become free.
    FreeSlot,
    /// The adapter has to be loaded, after the eviction of another one if given.
    Load { evict: Option<AdapterKey> },
}

/// Expected wait for the first token.
#[derive(Clone, Copy, Debug)]
struct ExpectedWait {
    wait: Duration,
    /// Whether a slot for the adapter has to become free.
    awaiting_slot: bool,
}

/// Outcome of a queued call in one placement round.
enum PlacementOutcome {
    /// The call can be sent.
    Granted(Grant),
    /// The call stays queued; its first token is expected after this time.
    Queued(Duration),
}

/// Prompt tokens of queued calls that are planned for each engine in one round.
type PlannedTokens = BTreeMap<InstanceId, f64>;

/// State of one placement round: values that are shared by all its calls, because
/// a zone has many engines and queued calls, and running totals of the calls
/// processed so far.
#[derive(Debug)]
struct PlacementRound {
    planned: PlannedTokens,
    /// Queued calls that are planned for each engine that names a limit on calls.
    planned_calls: BTreeMap<InstanceId, f64>,
    /// Adapters of the queued calls.
    requested: BTreeSet<AdapterKey>,
    /// Adapters that wait for a free slot, of the calls processed so far.
    awaiting_slot: BTreeSet<AdapterKey>,
    /// Adapter slots that become free per second.
    freed_slots_per_s: f64,
    /// Adapter loads that are ordered or in progress, on all engines.
    pending_loads: usize,
    /// The adapter that each engine would evict next, if it was determined.
    victims: BTreeMap<InstanceId, Option<AdapterKey>>,
}

impl Scheduler {
    /// Returns the expected time until the first token of a call requested at
    /// `now`.
    #[must_use]
    pub fn expected_wait(&self, request: &PlacementRequest, now: Now) -> Duration {
        self.expected_wait_of(&self.new_queued(request.clone(), 0), now)
    }

    fn expected_wait_of(&self, queued: &QueuedCall, now: Now) -> Duration {
        let rank = queued.rank(self.mean_prefill_rate(), now);
        let expected = self.queue_wait(rank, queued, now);
        if !rank.late && now + expected.wait <= queued.request.objective_at {
            return expected.wait;
        }
        let late = rank.as_late();
        let expected = self.queue_wait(late, queued, now);
        let factor = self.overtaking(expected.awaiting_slot, now);
        expected.wait.mul_f64(factor)
    }

    /// Creates the queue's record of a call.
    pub(super) fn new_queued(&self, request: PlacementRequest, serial: u64) -> QueuedCall {
        let key = request.key();
        let key_text: Box<str> = key
            .as_ref()
            .map(ToString::to_string)
            .unwrap_or_default()
            .into();
        let version = key.as_ref().and_then(|k| self.versions.get(k)).copied();
        QueuedCall {
            prompt: PromptPath::new(&key_text, version, &request.parts),
            key,
            key_text,
            request,
            awaiting_slot: false,
            serial,
        }
    }

    /// Returns the factor on the wait of a call that will miss its objective: new
    /// calls overtake it. One that waits for a slot is overtaken by all whose
    /// adapters have to be loaded too, however many these are.
    fn overtaking(&self, awaiting_slot: bool, now: Now) -> f64 {
        if !awaiting_slot {
            return LATE_WAIT_FACTOR;
        }
        let engines = self.engines.values().filter(|e| e.is_usable(now));
        let specs = engines.filter_map(|e| self.specs.get(&e.service));
        let slots = specs.map(|s| s.adapter_slots).sum();
        let freed_per_s = self.slot_turnover.per_s(slots, now);
        let utilization = self.load_demand.per_s(now) / freed_per_s;
        overtaking_factor(utilization).max(LATE_WAIT_FACTOR)
    }

    /// Whether the adapter of a call has to be loaded first.
    pub(super) fn needs_load(&self, queued: &QueuedCall) -> bool {
        let key = queued.key.as_ref();
        key.is_some_and(|key| !self.holds_or_loads(key))
    }

    /// Returns the expected wait of a call behind the queued calls of this rank
    /// or a better one.
    fn queue_wait(&self, rank: QueueRank, queued: &QueuedCall, now: Now) -> ExpectedWait {
        let mut round = self.new_round(now);
        let (mut tokens, mut calls) = (0.0, 0.0);
        for ahead in self.calls_ahead(rank, queued, now) {
            tokens += f64::from(ahead.request.tokens);
            calls += 1.0;
            round
                .awaiting_slot
                .extend(ahead.key.clone().filter(|_| ahead.awaiting_slot));
        }
        self.plan_tokens(tokens, &mut round.planned, now);
        self.plan_calls(calls, &mut round.planned_calls, now);
        let candidate = self.best_candidate(queued, &mut round, now);
        candidate.map_or(
            ExpectedWait {
                wait: UNPLACED_WAIT,
                awaiting_slot: false,
            },
            |c| ExpectedWait {
                wait: c.wait,
                awaiting_slot: c.prerequisite == Prerequisite::FreeSlot,
            },
        )
    }

    fn new_round(&self, now: Now) -> PlacementRound {
        let engine_specs = self.engines.values().filter(|e| e.is_usable(now));
        let engine_specs = engine_specs.filter_map(|e| self.specs.get(&e.service));
        PlacementRound {
            awaiting_slot: BTreeSet::new(),
            freed_slots_per_s: self
                .slot_turnover
                .per_s(engine_specs.map(|s| s.adapter_slots).sum(), now),
            planned: PlannedTokens::new(),
            planned_calls: BTreeMap::new(),
            requested: self.queue.iter().filter_map(|q| q.key.clone()).collect(),
            pending_loads: self.engines.values().map(EngineView::pending_loads).sum(),
            victims: BTreeMap::new(),
        }
    }

    /// Returns the refusal of a call that would spend most of the time until its
    /// deadline in the queue.
    pub(super) fn admission_refusal(
        &self,
        queued: &QueuedCall,
        wait: Duration,
        now: Now,
    ) -> Option<Refusal> {
        let mut engines = self.engines.values();
        let required = queued.request.software.is_some();
        if required && !engines.any(|e| e.ready && e.serves(&queued.request)) {
            return Some(refusal(queued, RefusalReason::VersionGone, wait, now));
        }
        let left = queued.request.deadline.saturating_sub(now);
        let in_time = now + wait < queued.request.first_token_by;
        if in_time && wait < left.mul_f64(self.limits.max_wait_share) {
            return None;
        }
        let reason = if self.engines.values().any(|e| e.is_usable(now)) {
            RefusalReason::Overload
        } else {
            RefusalReason::NoEngine
        };
        Some(refusal(queued, reason, wait, now))
    }

    /// Grants or refuses the queued calls, or orders loads for them, best rank
    /// first.
    pub(super) fn place_queued(&mut self, now: Now) -> Vec<Action> {
        for engine in self.engines.values_mut() {
            engine.complete_loads(now);
        }
        let mut round = self.new_round(now);
        let mut actions = Vec::new();
        for (tag, mut queued) in self.ordered_queue(now) {
            let outcome = match self.place_call(&mut queued, &mut round, now) {
                PlacementOutcome::Queued(wait) if now + wait > queued.request.objective_at => {
                    PlacementOutcome::Queued(
                        wait.mul_f64(self.overtaking(queued.awaiting_slot, now)),
                    )
                }
                queued @ PlacementOutcome::Queued(_) => queued,
                granted @ PlacementOutcome::Granted(_) => granted,
            };
            match outcome {
                PlacementOutcome::Granted(grant) => {
                    self.fair_queue.on_served(&queued, tag);
                    actions.push(Action::Grant(grant));
                }
                PlacementOutcome::Queued(wait) if now + wait < queued.request.first_token_by => {
                    self.queue.push(queued);
                }
                PlacementOutcome::Queued(wait) => {
                    let refusal = refusal(&queued, RefusalReason::Deadline, wait, now);
                    actions.push(Action::Refuse(refusal));
                }
            }
        }
        actions
    }

    fn place_call(
        &mut self,
        queued: &mut QueuedCall,
        round: &mut PlacementRound,
        now: Now,
    ) -> PlacementOutcome {
        let Some(candidate) = self.best_candidate(queued, round, now) else {
            return PlacementOutcome::Queued(UNPLACED_WAIT);
        };
        let max_prefill_backlog = self.limits.max_prefill_backlog;
        let spec = self.specs.get(&queued.request.service);
        let kv_tokens = spec.map_or(0, |s| s.kv_tokens);
        let version = queued.key.as_ref().and_then(|k| self.versions.get(k));
        let version = version.copied();
        let engine = self
            .engines
            .get_mut(&candidate.engine)
            .expect("the candidate is one of the engines");
        match &candidate.prerequisite {
            Prerequisite::None
                if engine.prefill_backlog() <= max_prefill_backlog
                    && engine.pace_wait(0.0, now).is_zero()
                    && engine
                        .gap_wait(queued, candidate.unprocessed_tokens, now)
                        .is_zero() =>
            {
                let grant = engine.grant(queued, kv_tokens, now);
                self.running.insert(grant.call.clone(), candidate.engine);
                return PlacementOutcome::Granted(grant);
            }
            Prerequisite::Load { evict } if engine.accepted_orders.is_some() => {
                if let Some(key) = &queued.key {
                    engine.order_load(key, version, evict.clone(), now);
                    self.slot_turnover.record_load(now);
                    round.pending_loads += 1;
                    round.victims.remove(&candidate.engine);
                }
            }
            Prerequisite::None
            | Prerequisite::LoadCompletion
            | Prerequisite::FreeSlot
            | Prerequisite::Load { .. } => {}
        }
        if engine.pace.is_some() {
            let engine = candidate.engine.clone();
            *round.planned_calls.entry(engine).or_default() += 1.0;
        }
        *round.planned.entry(candidate.engine).or_default() +=
            f64::from(candidate.unprocessed_tokens);
        queued.awaiting_slot = candidate.prerequisite == Prerequisite::FreeSlot;
        if queued.awaiting_slot && queued.request.workspace.is_some() {
            self.drain_copy_for(queued, round.awaiting_slot.len(), now);
        }
        round
            .awaiting_slot
            .extend(queued.key.clone().filter(|_| queued.awaiting_slot));
        PlacementOutcome::Queued(candidate.wait)
    }

    /// Returns the engine with the lowest cost for a call.
    fn best_candidate(
        &self,
        queued: &QueuedCall,
        round: &mut PlacementRound,
        now: Now,
    ) -> Option<Candidate> {
        let spec = self.specs.get(&queued.request.service)?;
        self.engines
            .values()
            .filter(|e| e.serves(&queued.request) && e.is_usable(now))
            .filter(|e| !queued.request.avoid.contains(&e.id))
            .filter(|e| {
                matches!(
                    e.models.get(&queued.request.model),
                    Some(ModelState::Resident)
                )
            })
            .filter(|e| e.has_room(&queued.request, spec.slots, spec.kv_tokens))
            .filter_map(|e| self.candidate(e, queued, round, spec.adapter_slots, now))
            .min_by_key(|c| c.cost)
    }

    fn candidate(
        &self,
        engine: &EngineView,
        queued: &QueuedCall,
        round: &mut PlacementRound,
        adapter_slots: u32,
        now: Now,
    ) -> Option<Candidate> {
        let ahead = round.planned.get(&engine.id).copied().unwrap_or(0.0);
        let unprocessed_tokens = engine.unprocessed_tokens(queued);
        let slowdown = engine.slowdown.factor(now);
        let own_prefill = millis(f64::from(unprocessed_tokens) / engine.prefill_rate());
        let own_prefill = own_prefill.mul_f64(slowdown);
        let backlog = engine.prefill_backlog().mul_f64(slowdown);
        let prefill = millis(ahead / engine.prefill_rate()) + own_prefill;
        let prefill_cost = own_prefill.mul_f64(PREFILL_COST_SHARE);
        let calls_ahead = round.planned_calls.get(&engine.id).copied();
        let paced = engine.pace_wait(calls_ahead.unwrap_or(0.0), now);
        let paced = paced.max(engine.gap_wait(queued, unprocessed_tokens, now));
        let Some(key) = &queued.key else {
            let wait = backlog.max(paced) + prefill;
            return Some(Candidate {
                engine: engine.id.clone(),
                wait,
                cost: wait + prefill_cost,
                unprocessed_tokens,
                prerequisite: Prerequisite::None,
            });
        };
        let warm = engine.host_cache.contains(key);
        let (prerequisite, load) =
            self.prerequisite(engine, key, warm, round, adapter_slots, now)?;
        // A load runs concurrently with the work already granted.
        let wait = backlog.max(load).max(paced) + prefill;
        let bias = millis(home_bias(&queued.key_text, &engine.id));
        let bias = bias + drain_penalty(engine, key, now);
        let cost = wait + bias + prefill_cost + load_cost(engine, key, warm);
        Some(Candidate {
            engine: engine.id.clone(),
            wait,
            cost,
            unprocessed_tokens,
            prerequisite,
        })
    }

    /// Returns what has to happen before calls for an adapter can run on an
    /// engine, and how long that takes; `None` if the adapter can't be used there
    /// until an eviction or the calls on its old version have ended.
    fn prerequisite(
        &self,
        engine: &EngineView,
        key: &AdapterKey,
        warm: bool,
        round: &mut PlacementRound,
        adapter_slots: u32,
        now: Now,
    ) -> Option<(Prerequisite, Duration)> {
        let version = self.versions.get(key).copied();
        let held = engine.held_until.saturating_sub(now);
        let load = held + self.load_estimate.expected(warm);
        let Some(copy) = engine.copies.get(key) else {
            if engine.pending_loads() < MAX_LOADS_PER_ENGINE && self.may_load(warm, round) {
                if engine.copies.len() < adapter_slots as usize {
                    return Some((Prerequisite::Load { evict: None }, load));
                }
                if let Some(victim) = self.eviction_victim(engine, round, now) {
                    let evict = Some(victim);
                    return Some((Prerequisite::Load { evict }, load));
                }
            }
            let counted_itself = usize::from(round.awaiting_slot.contains(key));
            let others_waiting = round.awaiting_slot.len() - counted_itself;
            let wait_s = (others_waiting + 1) as f64 / round.freed_slots_per_s;
            return Some((Prerequisite::FreeSlot, millis(wait_s * 1e3) + load));
        };
        match copy.state {
            CopyState::Resident if !copy.is_stale(version) => {
                Some((Prerequisite::None, Duration::ZERO))
            }
            // Replacing a version has to wait for the calls that run on it.
            CopyState::Resident if copy.running_calls == 0 => Some((
                Prerequisite::Load { evict: None },
                held + self.load_estimate.expected(false),
            )),
            CopyState::Resident | CopyState::Evicting => None,
            CopyState::Unresolved => {
                let fits = engine.copies.len() <= adapter_slots as usize
                    && engine.pending_loads() < MAX_LOADS_PER_ENGINE
                    && self.may_load(warm, round);
                fits.then_some((Prerequisite::Load { evict: None }, load))
            }
            CopyState::Ordered => Some((Prerequisite::LoadCompletion, load)),
            CopyState::Loading(at) => Some((Prerequisite::LoadCompletion, at.saturating_sub(now))),
        }
    }

    /// Returns the expected duration of a load of an adapter on an engine, which
    /// takes into account that concurrent loads share the weight store's bandwidth.
    pub(super) fn load_time(&self, engine: &EngineView, key: &AdapterKey) -> Duration {
        self.load_estimate.expected(engine.host_cache.contains(key))
    }

    /// Whether another load may start without slowing down those in progress.
    fn may_load(&self, warm: bool, round: &PlacementRound) -> bool {
        let limit = self.load_estimate.limit(self.engines.len());
        warm || (round.pending_loads as f64) < limit
    }

    /// Returns the least requested adapter that no call uses or waits for.
    fn eviction_victim(
        &self,
        engine: &EngineView,
        round: &mut PlacementRound,
        now: Now,
    ) -> Option<AdapterKey> {
        if now < self.evictions_from {
            return None;
        }
        if let Some(known) = round.victims.get(&engine.id) {
            return known.clone();
        }
        let victim = engine
            .copies
            .iter()
            .filter(|(key, copy)| {
                let requested = round.requested.contains(*key);
                copy.is_evictable(now) && (!requested || copy.is_draining(now))
            })
            .min_by(|a, b| {
                let draining = |copy: &AdapterCopy| std::cmp::Reverse(copy.is_draining(now));
                let by_drain = draining(a.1).cmp(&draining(b.1));
                let score = |key: &AdapterKey| self.popularity.count(&key.to_string(), now);
                let by_score = score(a.0).total_cmp(&score(b.0));
                by_drain
                    .then(by_score)
                    .then(a.1.last_used.cmp(&b.1.last_used))
            })
            .map(|(key, _)| key.clone());
        round.victims.insert(engine.id.clone(), victim.clone());
        victim
    }

    /// Distributes queued calls over the engines in proportion to their limits, if
    /// each of them names one.
    fn plan_calls(&self, calls: f64, planned: &mut BTreeMap<InstanceId, f64>, now: Now) {
        let Some(total) = self.total_rate_limit(now) else {
            return;
        };
        for engine in self.engines.values().filter(|e| e.is_usable(now)) {
            if let Some(pace) = engine.pace {
                planned.insert(engine.id.clone(), calls * pace.per_s() / total);
            }
        }
    }

    /// Distributes queued prompt tokens over the engines, the least busy first, so
    /// that their backlogs become equal.
    fn plan_tokens(&self, tokens: f64, planned: &mut PlannedTokens, now: Now) {
        let mut usable: Vec<&EngineView> =
            self.engines.values().filter(|e| e.is_usable(now)).collect();
        usable.sort_by_key(|e| e.prefill_backlog());
        let backlog_ms = |e: &EngineView| as_millis(e.prefill_backlog());
        // Finds the backlog at which the least busy engines together absorb all
        // tokens.
        let (mut rate, mut total_tokens) = (0.0, tokens);
        let mut level_ms = 0.0;
        for (index, engine) in usable.iter().enumerate() {
            rate += engine.prefill_rate();
            total_tokens += backlog_ms(engine) * engine.prefill_rate();
            level_ms = total_tokens / rate;
            if usable
                .get(index + 1)
                .is_none_or(|next| backlog_ms(next) >= level_ms)
            {
                break;
            }
        }
        for engine in usable.iter().take_while(|e| backlog_ms(e) < level_ms) {
            *planned.entry(engine.id.clone()).or_default() +=
                (level_ms - backlog_ms(engine)) * engine.prefill_rate();
        }
    }
}

impl EngineView {
    /// Queues the orders that load an adapter.
    fn order_load(
        &mut self,
        key: &AdapterKey,
        version: Option<u64>,
        evict: Option<AdapterKey>,
        now: Now,
    ) {
        if let Some(victim) = evict {
            if let Some(copy) = self.copies.get_mut(&victim) {
                copy.state = CopyState::Evicting;
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
        let mut copy = AdapterCopy::resident(version, now);
        copy.state = CopyState::Ordered;
        self.copies.insert(key.clone(), copy);
    }
}

/// Returns the cost of loading an adapter on an engine in addition to the load's
/// duration.
fn load_cost(engine: &EngineView, key: &AdapterKey, warm: bool) -> Duration {
    let copy = engine.copies.get(key);
    if copy.is_some_and(|c| c.state != CopyState::Unresolved) {
        Duration::ZERO
    } else if warm {
        WARM_LOAD_COST
    } else {
        COLD_LOAD_COST
    }
}

fn home_bias(key: &str, engine: &str) -> f64 {
    let weight = rendezvous::weight(key, engine) as f64 / u64::MAX as f64;
    HOME_BIAS_MS * (1.0 - weight)
}

/// Returns the refusal of a call, with `retry_after` limited to the range of
/// suggested retry delays.
fn refusal(queued: &QueuedCall, reason: RefusalReason, retry_after: Duration, now: Now) -> Refusal {
    let left = queued.request.deadline.saturating_sub(now);
    Refusal {
        call: queued.request.call.clone(),
        reason,
        retry_after: retry_after
            .max(MIN_RETRY_AFTER)
            .min(left.mul_f64(MAX_RETRY_SHARE)),
    }
}
