//! The coordinator's view of one engine.

use super::adapter_copy::{AdapterCopy, CopyState};
use super::estimate::{PrefillRate, Slowdown, millis};
use super::gaps::{GapControl, GapLimit, RecentPrefill};
use super::order::{EngineReport, Order, OrderKind};
use super::prompt_cache::PromptCache;
use super::request::{Grant, PlacementId, Rejection, RunningCall};
use super::unresolved::UnresolvedOrders;
use super::{AdapterKey, PlacementRequest, QueuedCall};
use crate::directory::{Instance, InstanceState};
use crate::rate_limits::Pace;
use crate::{InstanceId, ModelName, Now, ServiceName, SoftwareVersion};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Number of evicted adapters that an engine is assumed to keep in its host memory.
const HOST_CACHE_ADAPTERS: usize = 25;
/// Pause in grants to an engine that rejected a call because it was full.
const FULL_PAUSE: Duration = Duration::from_millis(60);
/// Pause in grants to an engine that could not be reached; doubles with each
/// further failure, up to [`MAX_PAUSE`].
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(700);
/// Maximum pause; a failed engine leaves the directory after some seconds.
const MAX_PAUSE: Duration = Duration::from_millis(2_800);
/// Maximum time that a call stays on an engine after its deadline.
const CALL_EXPIRY_MARGIN: Duration = Duration::from_millis(700);
/// Share of an engine's KV cache in which parts of prompts are assumed to be kept.
const PROMPT_CACHE_SHARE: f64 = 0.7;
/// Share of an engine's KV cache that granted calls may reserve.
const KV_CACHE_SHARE: f64 = 0.92;
/// Pause between two reports of an engine that loads or unloads a base model.
const BUSY_REPORT_PAUSE: Duration = Duration::from_millis(250);

/// State of an engine, derived from grants, orders and reports.
#[derive(Clone, Debug)]
pub(super) struct EngineView {
    pub(super) id: InstanceId,
    pub(super) addr: SocketAddr,
    pub(super) service: ServiceName,
    pub(super) software: SoftwareVersion,
    /// Start time of its incarnation, in Unix milliseconds.
    pub(super) born: u64,
    pub(super) ready: bool,
    /// Base models that it holds or loads.
    pub(super) models: BTreeMap<ModelName, ModelState>,
    /// Adapters that occupy its slots.
    pub(super) copies: BTreeMap<AdapterKey, AdapterCopy>,
    /// Evicted adapters that it is assumed to keep in host memory, the latest last.
    pub(super) host_cache: VecDeque<AdapterKey>,
    /// Number of orders that it has accepted, if known.
    pub(super) accepted_orders: Option<u64>,
    /// The order that was sent and whose outcome is not known yet.
    pub(super) pending_order: Option<Order>,
    /// Orders without a response that it may still carry out.
    pub(super) unresolved: UnresolvedOrders,
    /// Number of accepted orders in the last report that was applied.
    reported_orders: u64,
    pub(super) order_queue: VecDeque<OrderKind>,
    /// When to fetch a report from it, if one is needed.
    pub(super) report_due: Option<Now>,
    /// Whether a report is being fetched.
    pub(super) fetching_report: bool,
    /// When the outcome of the last order became known; zero before the first.
    pub(super) last_order_outcome_at: Now,
    /// Conflicts so far of the first order in the queue.
    pub(super) conflicts: u32,
    /// Time before which no order is sent.
    pub(super) orders_paused_until: Now,
    /// Time before which it is sent neither orders nor requests for reports.
    pub(super) held_until: Now,
    /// Pace of the calls granted to it, if it names a limit.
    pub(super) pace: Option<Pace>,
    calls: BTreeMap<PlacementId, GrantedCall>,
    /// Unprocessed prompt tokens of the calls whose first token has not come yet.
    unstarted_tokens: u64,
    prompt_cache: PromptCache,
    /// Part of the KV cache that the granted calls may need, in tokens.
    reserved_tokens: u64,
    /// Time before which no call is granted to it.
    paused_until: Now,
    /// Failures to reach it since its last response.
    consecutive_failures: u32,
    last_first_token: Now,
    prefill_rate: PrefillRate,
    recent_prefill: RecentPrefill,
    pub(super) gap_control: GapControl,
    /// How much longer work takes on its machine than usually.
    pub(super) slowdown: Slowdown,
}

/// State of a base model on an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ModelState {
    /// A load was accepted and is expected to complete at this time. Only a report
    /// shows that it is complete, because loads slow each other down.
    Loading(Now),
    /// Loaded.
    Resident,
}

#[derive(Clone, Debug)]
struct GrantedCall {
    key: Option<AdapterKey>,
    prompt_tokens: u32,
    /// Prompt tokens that were not assumed to be kept when it was granted.
    unprocessed_tokens: u32,
    max_output_tokens: u32,
    granted_at: Now,
    expires_at: Now,
    started: bool,
    /// Target for the longest gap between two events.
    max_gap: Option<Duration>,
}

impl EngineView {
    /// Creates the view of an engine whose prefill rate is expected to be `prefill_rate`;
    /// `unresolved` are the orders that were sent to it earlier.
    pub(super) fn new(
        instance: &Instance,
        prefill_rate: PrefillRate,
        unresolved: UnresolvedOrders,
        now: Now,
    ) -> Self {
        let mut engine = Self {
            id: instance.id.clone(),
            addr: instance.addr,
            service: instance.service.clone(),
            software: instance.software.clone(),
            born: instance.born,
            ready: instance.state == InstanceState::Ready,
            models: BTreeMap::new(),
            copies: BTreeMap::new(),
            host_cache: VecDeque::new(),
            accepted_orders: None,
            pending_order: None,
            unresolved,
            reported_orders: 0,
            order_queue: VecDeque::new(),
            report_due: Some(now),
            fetching_report: false,
            last_order_outcome_at: Now::ZERO,
            conflicts: 0,
            orders_paused_until: Now::ZERO,
            held_until: Now::ZERO,
            pace: None,
            calls: BTreeMap::new(),
            unstarted_tokens: 0,
            prompt_cache: PromptCache::default(),
            reserved_tokens: 0,
            paused_until: Now::ZERO,
            consecutive_failures: 0,
            last_first_token: Now::ZERO,
            prefill_rate,
            recent_prefill: RecentPrefill::default(),
            gap_control: GapControl::default(),
            slowdown: Slowdown::default(),
        };
        for model in &instance.models {
            engine
                .models
                .insert(model.name.clone(), ModelState::Resident);
            for (adapter, version) in &model.adapters {
                let key = AdapterKey {
                    model: model.name.clone(),
                    adapter: adapter.clone(),
                };
                engine
                    .copies
                    .insert(key, AdapterCopy::resident(Some(*version), now));
            }
        }
        engine.hold_unresolved();
        engine
    }

    /// Whether it may run a call by its service and software version.
    pub(super) fn serves(&self, request: &PlacementRequest) -> bool {
        let required = request.software.as_ref();
        self.service == request.service && required.is_none_or(|v| *v == self.software)
    }

    /// Returns the orders that the engine may carry out after it left the directory.
    pub(super) fn into_unresolved(mut self) -> UnresolvedOrders {
        if let Some(pending) = self.pending_order {
            self.unresolved.push(pending);
        }
        self.unresolved
    }

    /// Keeps a slot for each adapter that an unresolved order may load.
    fn hold_unresolved(&mut self) {
        for key in self.unresolved.loads() {
            let mut copy = AdapterCopy::resident(None, Now::ZERO);
            copy.state = CopyState::Unresolved;
            self.copies.entry(key).or_insert(copy);
        }
    }

    /// Whether calls may be granted to it.
    pub(super) fn is_usable(&self, now: Now) -> bool {
        self.ready && now >= self.paused_until
    }

    /// Whether orders and requests for reports may be sent to it.
    pub(super) fn takes_requests(&self, now: Now) -> bool {
        self.ready && now >= self.held_until
    }

    pub(super) const fn prefill_rate(&self) -> f64 {
        self.prefill_rate.per_ms()
    }

    /// Returns the expected time until it begins to process the prompt of a call
    /// granted now.
    pub(super) fn prefill_backlog(&self) -> Duration {
        millis(self.unstarted_tokens as f64 / self.prefill_rate.per_ms())
    }

    /// Returns how long a call has to wait behind `ahead` others, because the engine
    /// names a limit on calls.
    pub(super) fn pace_wait(&self, ahead: f64, now: Now) -> Duration {
        self.pace
            .map_or(Duration::ZERO, |pace| pace.wait(ahead, now))
    }

    /// Returns how long a call has to wait so that its prompt pauses no stream, itself
    /// included, for too long.
    pub(super) fn gap_wait(&self, queued: &QueuedCall, tokens: u32, now: Now) -> Duration {
        let gaps = self.calls.values().filter_map(|call| call.max_gap);
        let Some(gap) = gaps.chain(queued.request.max_gap).min() else {
            return Duration::ZERO;
        };
        if self.calls.is_empty() {
            return Duration::ZERO;
        }
        let tokens_per_ms = self.prefill_rate() / self.slowdown.factor(now);
        let ends = now + millis(f64::from(tokens) / tokens_per_ms);
        let limit = GapLimit {
            gap,
            tokens_per_ms,
            pending: self.unstarted_tokens as f64,
            in_time: ends < queued.request.objective_at,
        };
        self.recent_prefill
            .wait(f64::from(tokens), limit, self.gap_control, now)
    }

    /// Whether a call fits in addition to the granted ones.
    pub(super) fn has_room(&self, request: &PlacementRequest, slots: u32, kv_tokens: u64) -> bool {
        let limit = kv_tokens as f64 * KV_CACHE_SHARE;
        let needed = self.reserved_tokens + u64::from(request.tokens) + u64::from(request.output);
        self.calls.len() < slots as usize && (self.calls.is_empty() || needed as f64 <= limit)
    }

    /// Returns the number of adapter slots that are free or can be freed at once.
    pub(super) fn free_or_evictable_slots(&self, adapter_slots: u32, now: Now) -> usize {
        let free = (adapter_slots as usize).saturating_sub(self.copies.len());
        free + self.copies.values().filter(|c| c.is_evictable(now)).count()
    }

    /// Returns the number of adapter loads that are ordered but not accepted by the
    /// engine yet.
    pub(super) fn ordered_loads(&self) -> usize {
        let ordered = |c: &&AdapterCopy| c.state == CopyState::Ordered;
        self.copies.values().filter(ordered).count()
    }

    /// Returns the number of adapter loads that are ordered or in progress.
    pub(super) fn pending_loads(&self) -> usize {
        let pending =
            |c: &&AdapterCopy| matches!(c.state, CopyState::Ordered | CopyState::Loading(_));
        self.copies.values().filter(pending).count()
    }

    /// Returns the prompt tokens of a call that the engine is not assumed to keep.
    pub(super) fn unprocessed_tokens(&self, queued: &QueuedCall) -> u32 {
        let kept = self.prompt_cache.kept_tokens(&queued.prompt);
        queued.request.tokens.saturating_sub(kept).max(1)
    }

    /// Grants a call to the engine, whose KV cache has `kv_tokens` tokens.
    pub(super) fn grant(&mut self, queued: &QueuedCall, kv_tokens: u64, now: Now) -> Grant {
        let request = &queued.request;
        let key = queued.key.as_ref();
        let unprocessed_tokens = self.unprocessed_tokens(queued);
        let cached = (kv_tokens as f64 * PROMPT_CACHE_SHARE) as u64;
        self.prompt_cache.record(&queued.prompt, cached, now);
        if let Some(pace) = &mut self.pace {
            pace.on_sent(now);
        }
        let copy = key.and_then(|k| self.copies.get_mut(k));
        let version = copy.as_ref().and_then(|c| c.version);
        if let Some(copy) = copy {
            copy.running_calls += 1;
            copy.last_used = now;
        }
        let call = GrantedCall {
            key: key.cloned(),
            prompt_tokens: request.tokens,
            unprocessed_tokens,
            max_output_tokens: request.output,
            granted_at: now,
            expires_at: request.deadline + CALL_EXPIRY_MARGIN,
            started: false,
            max_gap: request.max_gap,
        };
        self.unstarted_tokens += u64::from(call.unprocessed_tokens);
        self.reserved_tokens += call.reserved_tokens();
        if let Some(replaced) = self.calls.insert(request.call.clone(), call) {
            self.release_tokens(&replaced);
        }
        Grant {
            call: request.call.clone(),
            instance: self.id.clone(),
            addr: self.addr,
            born: self.born,
            version,
        }
    }

    /// Adopts a call that another coordinator granted.
    pub(super) fn adopt(&mut self, running: RunningCall, now: Now) {
        if let Some(copy) = running.key.as_ref().and_then(|k| self.copies.get_mut(k)) {
            copy.running_calls += 1;
            copy.last_used = now;
        }
        let call = GrantedCall {
            key: running.key,
            prompt_tokens: running.tokens,
            unprocessed_tokens: running.tokens,
            max_output_tokens: running.output,
            granted_at: now,
            expires_at: running.deadline + CALL_EXPIRY_MARGIN,
            started: running.started,
            max_gap: None,
        };
        if !call.started {
            self.unstarted_tokens += u64::from(call.unprocessed_tokens);
        }
        self.reserved_tokens += call.reserved_tokens();
        self.calls.insert(running.call, call);
    }

    /// Assumes that the engine keeps an adapter in host memory, unless it is
    /// resident.
    pub(super) fn assume_cached(&mut self, key: &AdapterKey) {
        if !self.copies.contains_key(key) {
            self.remember_evicted(key);
        }
    }

    /// Records the first token of a call. Returns whether it is the first proof
    /// that the load of the call's adapter is complete.
    pub(super) fn on_started(&mut self, call: &str, now: Now) -> bool {
        let Some(call) = self.calls.get_mut(call) else {
            return false;
        };
        if call.started {
            return false;
        }
        call.started = true;
        self.consecutive_failures = 0;
        self.unstarted_tokens -= u64::from(call.unprocessed_tokens);
        let from = call.granted_at.max(self.last_first_token);
        // The rate is that of the machine in ordinary times.
        let tokens = f64::from(call.unprocessed_tokens) * self.slowdown.factor(now);
        self.prefill_rate.record_sample(tokens, from, now);
        self.last_first_token = now;
        self.recent_prefill
            .record(f64::from(call.unprocessed_tokens), now);
        let copy = call.key.as_ref().and_then(|k| self.copies.get_mut(k));
        let first = copy.as_ref().is_some_and(|c| c.load_complete_by > now);
        if let Some(copy) = copy {
            copy.load_complete_by = now;
        }
        first
    }

    pub(super) fn on_ended(&mut self, call: &str, now: Now) {
        let Some(call) = self.calls.remove(call) else {
            return;
        };
        self.release_tokens(&call);
        if let Some(copy) = call.key.as_ref().and_then(|k| self.copies.get_mut(k)) {
            copy.running_calls = copy.running_calls.saturating_sub(1);
            copy.last_used = now;
        }
    }

    /// Releases the tokens that a removed call had reserved.
    fn release_tokens(&mut self, call: &GrantedCall) {
        self.reserved_tokens -= call.reserved_tokens();
        if !call.started {
            self.unstarted_tokens -= u64::from(call.unprocessed_tokens);
        }
    }

    /// Records that the engine did not run a granted call. Returns whether this
    /// shows that the load of an adapter took longer than estimated.
    pub(super) fn on_rejected(&mut self, call: &str, why: Rejection, now: Now) -> bool {
        let key = self.calls.get(call).and_then(|c| c.key.clone());
        self.on_ended(call, now);
        match why {
            Rejection::Missing => return self.on_adapter_missing(key, now),
            Rejection::Full => self.paused_until = self.paused_until.max(now + FULL_PAUSE),
            Rejection::Unreachable => self.on_unreachable(now),
        }
        false
    }

    /// Pauses grants to the engine. Orders that were not sent yet are cancelled,
    /// so that other engines can load these adapters and the cancelled loads no
    /// longer count against the limit on concurrent loads.
    pub(super) fn on_unreachable(&mut self, now: Now) {
        if now < self.paused_until {
            return;
        }
        let pause = UNREACHABLE_PAUSE * (1 << self.consecutive_failures.min(2));
        self.consecutive_failures += 1;
        self.paused_until = now + pause.min(MAX_PAUSE);
        self.cancel_unsent_orders();
    }

    /// Records that the engine responded.
    pub(super) const fn on_response(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Cancels the orders that have not been sent. The adapter of an order that
    /// was sent keeps its slot until it is resolved.
    pub(super) fn cancel_unsent_orders(&mut self) {
        self.order_queue.clear();
        let sent = self.pending_order.as_ref().and_then(|o| o.kind.adapter());
        self.copies
            .retain(|key, copy| copy.state != CopyState::Ordered || sent.as_ref() == Some(key));
        for (key, copy) in &mut self.copies {
            if copy.state == CopyState::Evicting && sent.as_ref() != Some(key) {
                copy.state = CopyState::Resident;
            }
        }
        self.hold_unresolved();
    }

    /// Handles an adapter that the engine unexpectedly does not hold: either its
    /// load takes longer than estimated, or this view is wrong and a report has
    /// to be fetched. Returns whether the load takes longer.
    fn on_adapter_missing(&mut self, key: Option<AdapterKey>, now: Now) -> bool {
        /// Time after which a load that took longer than estimated is assumed to
        /// be complete.
        const LOAD_EXTENSION: Duration = Duration::from_millis(50);
        let copy = key.and_then(|k| self.copies.get_mut(&k));
        if let Some(copy) = copy.filter(|c| c.load_complete_by > now) {
            // Several calls may have been granted when the load was expected to
            // be complete. The first rejection sets the copy back to loading;
            // later ones find it so and don't count.
            let first = copy.state == CopyState::Resident;
            copy.state = CopyState::Loading(now + LOAD_EXTENSION);
            return first;
        }
        self.report_due.get_or_insert(now);
        false
    }

    /// Drops the calls that have outlived their deadline and returns their ids.
    pub(super) fn expire_calls(&mut self, now: Now) -> Vec<PlacementId> {
        let expired: Vec<PlacementId> = self
            .calls
            .iter()
            .filter(|(_, call)| call.expires_at <= now)
            .map(|(call, _)| call.clone())
            .collect();
        for call in &expired {
            self.on_ended(call, now);
        }
        expired
    }

    /// Marks loads of adapters whose expected end has passed as complete.
    pub(super) fn complete_loads(&mut self, now: Now) {
        for copy in self.copies.values_mut() {
            if matches!(copy.state, CopyState::Loading(at) if at <= now) {
                copy.state = CopyState::Resident;
            }
        }
    }

    /// Returns the time of the next expected end of a load, due report or due
    /// order.
    pub(super) fn next_change(&self) -> Option<Now> {
        let loads = self.copies.values().filter_map(|c| match c.state {
            CopyState::Loading(at) => Some(at),
            CopyState::Ordered
            | CopyState::Resident
            | CopyState::Evicting
            | CopyState::Unresolved => None,
        });
        let orders = (!self.order_queue.is_empty()).then_some(self.orders_paused_until);
        // A leaving engine gets neither.
        let requests = self.report_due.into_iter().chain(orders);
        let requests = requests.map(|at| at.max(self.held_until));
        loads.chain(requests.filter(|_| self.ready)).min()
    }

    pub(super) fn on_evicted(&mut self, key: &AdapterKey) {
        self.copies.remove(key);
        self.remember_evicted(key);
    }

    fn remember_evicted(&mut self, key: &AdapterKey) {
        self.host_cache.retain(|k| k != key);
        self.host_cache.push_back(key.clone());
        if self.host_cache.len() > HOST_CACHE_ADAPTERS {
            self.host_cache.pop_front();
        }
    }

    /// Whether a report is older than this view. The number of accepted orders only
    /// increases while an incarnation runs.
    pub(super) const fn is_outdated(&self, report: &EngineReport) -> bool {
        let earlier_incarnation = report.born != 0 && report.born < self.born;
        earlier_incarnation || report.born == self.born && report.orders < self.reported_orders
    }

    /// Replaces the models and adapters of this view with those of the engine's
    /// report. No order may have been sent since the engine wrote the report.
    pub(super) fn on_report(&mut self, report: &EngineReport, now: Now) {
        if report.born > self.born {
            self.born = report.born;
            self.unresolved.outlive_incarnation(now);
        }
        self.accepted_orders = Some(report.orders);
        self.reported_orders = report.orders;
        self.unresolved.resolve(report.orders, now);
        self.order_queue.clear();
        let before = std::mem::take(&mut self.copies);
        for (model, adapters) in &report.models {
            self.models.insert(model.clone(), ModelState::Resident);
            for (adapter, version) in adapters {
                let key = AdapterKey {
                    model: model.clone(),
                    adapter: adapter.clone(),
                };
                let copy =
                    AdapterCopy::resident(Some(*version), now).with_usage_of(before.get(&key));
                self.copies.insert(key, copy);
            }
        }
        self.models.retain(|model, state| {
            let loading = report.busy && matches!(state, ModelState::Loading(_));
            loading || report.models.contains_key(model)
        });
        if report.busy {
            // It accepts no order now.
            let ends = self.models.values().filter_map(|s| match s {
                ModelState::Loading(at) => Some(*at),
                ModelState::Resident => None,
            });
            self.report_due = ends.chain([now + BUSY_REPORT_PAUSE]).max();
        }
        for (model, adapter) in &report.loading {
            let key = AdapterKey {
                model: model.clone(),
                adapter: adapter.clone(),
            };
            /// Assumed, because a report doesn't say when loads end.
            const ASSUMED_REMAINING_LOAD: Duration = Duration::from_millis(150);
            let mut copy = AdapterCopy::resident(None, now).with_usage_of(before.get(&key));
            copy.state = CopyState::Loading(now + ASSUMED_REMAINING_LOAD);
            self.copies.entry(key).or_insert(copy);
        }
        self.hold_unresolved();
        // Calls may have been adopted before their adapters were known.
        for (key, copy) in &mut self.copies {
            let uses = |call: &&GrantedCall| call.key.as_ref() == Some(key);
            let count = self.calls.values().filter(uses).count();
            copy.running_calls = u32::try_from(count).unwrap_or(u32::MAX);
        }
    }
}

impl GrantedCall {
    fn reserved_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.max_output_tokens)
    }
}
