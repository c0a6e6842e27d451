//! State of the engine: slots, accepted requests, load reports and the record
//! of events.

use super::accepted_request::{AcceptedRequest, Phase};
use super::batch::Batch;
use super::config::{ActiveFaults, EngineConfig, EngineFaults, UnloadRunning};
use super::record::{EngineRecord, EngineStats, OrderKind, OrderOutcome, OrderRecord, Violation};
use super::reports::DelayedReports;
use super::slots::{LoadNumber, LoadStart, SlotKey, Slots};
use crate::target_http::refusal;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use reedford_wire::chat::{ChatChunk, ChatRequest, ChatResponse};
use reedford_wire::engine::{AdapterOrder, EngineState, Refusal, RefusalCode, SlotReport};
use std::time::{Duration, Instant};

/// Model named in responses while the `wrong_model` fault is on; no caller
/// requests it.
const WRONG_MODEL: &str = "wrong@0";

/// Why a request is not accepted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Rejection {
    /// The engine refuses it.
    Refused(Refusal),
    /// A request with its attempt id is still retained: running, waiting, or
    /// ended less than `ENDED_RETENTION` ago. Neither a refusal nor a second
    /// run would be correct, so the connection is closed without a response.
    Duplicate,
}

/// Next item of a stream.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum StreamPart {
    Chunk(ChatChunk),
    /// The request was cancelled, cut off or removed: the stream breaks off.
    Cut,
    End,
}

/// Result of a started load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LoadResult {
    /// The engine restarted before the load ended.
    Cut,
    Failed,
    Loaded,
}

/// Position of an order in [`EngineRecord::orders`].
pub(crate) type OrderNumber = usize;

/// State of the engine stand-in.
#[derive(Debug)]
pub(crate) struct StandinState {
    pub(crate) boot_id: Box<str>,
    pub(crate) faults: ActiveFaults,
    pub(crate) record: EngineRecord,
    pub(crate) slots: Slots,
    batch: Batch,
    reports: DelayedReports,
    rng: StdRng,
    seq: u64,
    slot_limit: u32,
    stats: EngineStats,
    unload_running: UnloadRunning,
}

impl StandinState {
    /// Returns the state of an engine that has just started.
    pub(crate) fn new(cfg: &EngineConfig, now: Instant) -> Self {
        let mut state = Self {
            batch: Batch::new(cfg),
            boot_id: new_boot_id(),
            faults: ActiveFaults::default(),
            record: EngineRecord::default(),
            reports: DelayedReports::new(Duration::from_millis(cfg.report_lag_ms)),
            rng: StdRng::seed_from_u64(cfg.seed),
            seq: 0,
            slot_limit: cfg.slots,
            slots: Slots::new(cfg.slots, cfg.checks_fence),
            stats: EngineStats {
                batch_limit: cfg.batch_limit,
                ..EngineStats::default()
            },
            unload_running: cfg.unload_running,
        };
        state.store_report(now);
        state
    }

    /// Accepts a request, which runs once the batch has room for it.
    pub(crate) fn accept(
        &mut self,
        attempt: &str,
        priority: i32,
        chat: &ChatRequest,
    ) -> Result<(), Rejection> {
        if self.batch.get(attempt).is_some() {
            let attempt = attempt.into();
            self.record
                .violations
                .push(Violation::DuplicateAttempt { attempt });
            return Err(Rejection::Duplicate);
        }
        let key = self.admit(&chat.model).map_err(Rejection::Refused)?;
        self.seq += 1;
        let request = AcceptedRequest::new(attempt.into(), key, self.seq, priority, chat);
        self.batch.push(request);
        Ok(())
    }

    /// Performs one step: starts waiting requests and generates one token for
    /// each running request.
    pub(crate) fn step(&mut self, now: Instant) {
        self.batch.remove_expired(now);
        for request in self.batch.start_waiting(now) {
            self.seq += 1;
            let record_index = self.record.runs.len();
            self.record.runs.push(request.record(self.seq));
            self.batch.set_record_index(&request.attempt, record_index);
        }
        let running = self.batch.running();
        let generated = self.batch.generate(now);
        for record_index in generated.finished {
            self.record.runs[record_index].finished = true;
        }
        self.stats.steps += 1;
        self.stats.busy_steps += u64::from(running > 0);
        self.stats.tokens += generated.tokens;
        self.stats.max_running = self.stats.max_running.max(running);
        self.store_report(now);
    }

    /// Stops a request and returns whether its stream was still readable.
    pub(crate) fn cancel(&mut self, attempt: &str, now: Instant) -> bool {
        let was_readable = self.is_readable(attempt);
        self.batch.stop(attempt, now);
        was_readable
    }

    /// Returns whether the stream of an attempt can be read.
    pub(crate) fn is_readable(&self, attempt: &str) -> bool {
        let request = self.batch.get(attempt);
        request.is_some_and(|r| r.phase != Phase::Stopped)
    }

    /// Returns the item at a position of a stream, or `None` if it is not
    /// generated yet.
    pub(crate) fn stream_part(&self, attempt: &str, index: u32) -> Option<StreamPart> {
        let Some(request) = self.batch.get(attempt) else {
            return Some(StreamPart::Cut);
        };
        if index < request.tokens {
            let mut chunk = self.response_source(request).chunk(index);
            chunk.model = self.response_model(&chunk.model);
            return Some(StreamPart::Chunk(chunk));
        }
        match request.phase {
            Phase::Finished => Some(StreamPart::End),
            Phase::Stopped => Some(StreamPart::Cut),
            Phase::Running(_) | Phase::Waiting => None,
        }
    }

    /// Returns the complete response, `Some(None)` if the request was cut off,
    /// or `None` if it is not finished yet.
    pub(crate) fn complete_response(&self, attempt: &str) -> Option<Option<ChatResponse>> {
        let Some(request) = self.batch.get(attempt) else {
            return Some(None);
        };
        match request.phase {
            Phase::Finished => {
                let mut response = self.response_source(request).response();
                response.model = self.response_model(&response.model);
                Some(Some(response))
            }
            Phase::Stopped => Some(None),
            Phase::Running(_) | Phase::Waiting => None,
        }
    }

    /// Returns the attempt id and model for the headers of a response.
    pub(crate) fn response_identity(&self, attempt: &str) -> Option<(Box<str>, Box<str>)> {
        let request = self.response_source(self.batch.get(attempt)?);
        Some((request.attempt.clone(), self.response_model(&request.model)))
    }

    /// Records an order that was received.
    pub(crate) fn record_order(&mut self, kind: OrderKind, order: &AdapterOrder) -> OrderNumber {
        self.seq += 1;
        self.record.orders.push(OrderRecord {
            kind,
            adapter: order.adapter.clone(),
            version: order.version.clone(),
            fence: order.fence,
            seq: self.seq,
            outcome: OrderOutcome::Pending,
        });
        self.record.orders.len() - 1
    }

    /// Records the outcome of an order.
    pub(crate) fn end_order(&mut self, number: OrderNumber, outcome: OrderOutcome) {
        self.record.orders[number].outcome = outcome;
    }

    /// Begins a load, unless the order is refused.
    pub(crate) fn begin_load(&mut self, order: &AdapterOrder) -> Result<LoadStart, Refusal> {
        self.slots.check_fence(order.fence)?;
        self.refuse_leaving()?;
        self.slots.begin_load(SlotKey::of(order))
    }

    /// Decides whether an injected fault makes the next load fail.
    pub(crate) fn next_load_fails(&mut self) -> bool {
        if self.faults.fail_loads > 0 {
            self.faults.fail_loads -= 1;
            return true;
        }
        self.rng.random_range(0..100) < self.faults.fail_load_percent
    }

    /// Ends a load and, if its slot is still reserved for it, counts it.
    pub(crate) fn end_load(&mut self, key: &SlotKey, load: LoadNumber, loaded: bool) {
        if !self.slots.end_load(key, load, loaded) {
            return;
        }
        if loaded {
            self.stats.loads += 1;
        } else {
            self.stats.failed_loads += 1;
        }
    }

    /// Returns the result of a load, or `None` while it is in flight.
    pub(crate) fn load_result(
        &self,
        boot_id: &str,
        key: &SlotKey,
        load: LoadNumber,
    ) -> Option<LoadResult> {
        if *self.boot_id != *boot_id {
            return Some(LoadResult::Cut);
        }
        match self.slots.get(key) {
            Some(slot) if slot.load == load && slot.loading => None,
            Some(slot) if slot.load == load => Some(LoadResult::Loaded),
            Some(_) | None => Some(LoadResult::Failed),
        }
    }

    /// Unloads an adapter version.
    pub(crate) fn unload(&mut self, order: &AdapterOrder, now: Instant) -> Result<(), Refusal> {
        self.slots.check_fence(order.fence)?;
        let key = SlotKey::of(order);
        let attempts = self.batch.active_of(&key);
        if !attempts.is_empty() && self.unload_running == UnloadRunning::Refuse {
            return Err(refusal(RefusalCode::Full, "requests use the adapter"));
        }
        if !self.slots.free(&key) {
            return Err(refusal(RefusalCode::AdapterNotLoaded, "not loaded"));
        }
        self.stats.unloads += 1;
        self.cut_requests_of_unloaded(order, attempts, now);
        Ok(())
    }

    /// Switches faults on or off.
    pub(crate) fn set_faults(&mut self, faults: &EngineFaults) {
        self.faults.apply(faults);
    }

    /// Restarts with a new boot id, empty slots and no requests.
    pub(crate) fn restart(&mut self, now: Instant) {
        self.boot_id = new_boot_id();
        self.slots.clear();
        self.batch.clear();
        self.reports.clear();
        self.store_report(now);
    }

    /// Returns the slots and request counts that the engine reports.
    pub(crate) fn engine_state(&self) -> EngineState {
        let adapters = self.slots.iter().map(|(key, slot)| SlotReport {
            adapter: key.adapter.clone(),
            version: key.version.clone(),
            loading: slot.loading,
            running: u32::try_from(self.batch.active_of(key).len()).unwrap_or(u32::MAX),
        });
        EngineState {
            boot_id: self.boot_id.clone(),
            slots: self.slot_limit,
            batch_limit: self.stats.batch_limit,
            running: self.batch.running(),
            queued: self.batch.waiting(),
            leaving: self.faults.leaving,
            adapters: adapters.collect(),
        }
    }

    /// Returns the engine state as of `report_lag_ms` ago.
    pub(crate) fn delayed_engine_state(&self, now: Instant) -> EngineState {
        let due = self.reports.due(now).filter(|_| self.reports.lags());
        due.cloned().unwrap_or_else(|| self.engine_state())
    }

    /// Returns the counters.
    pub(crate) const fn stats(&self) -> EngineStats {
        self.stats
    }

    fn admit(&self, model: &str) -> Result<SlotKey, Refusal> {
        self.refuse_leaving()?;
        let key = SlotKey::parse(model)
            .ok_or_else(|| refusal(RefusalCode::BadRequest, "model is not adapter@version"))?;
        let resident = self.slots.get(&key).is_some_and(|slot| !slot.loading);
        if !resident {
            return Err(refusal(RefusalCode::AdapterNotLoaded, "not loaded"));
        }
        if self.batch.is_full() {
            return Err(refusal(RefusalCode::Full, "batch and queue are full"));
        }
        Ok(key)
    }

    fn refuse_leaving(&self) -> Result<(), Refusal> {
        if self.faults.leaving {
            return Err(refusal(RefusalCode::Leaving, "the engine is leaving"));
        }
        Ok(())
    }

    fn cut_requests_of_unloaded(
        &mut self,
        order: &AdapterOrder,
        attempts: Vec<Box<str>>,
        now: Instant,
    ) {
        if attempts.is_empty() {
            return;
        }
        for attempt in &attempts {
            self.batch.stop(attempt, now);
        }
        self.record.violations.push(Violation::EvictedInUse {
            adapter: order.adapter.clone(),
            version: order.version.clone(),
            fence: order.fence,
            attempts,
        });
    }

    /// Returns the request whose response a caller gets: its own, or with the
    /// `cross_answers` fault the neighbouring one.
    fn response_source<'a>(&'a self, request: &'a AcceptedRequest) -> &'a AcceptedRequest {
        let crossed = self
            .faults
            .cross_answers
            .then(|| self.batch.neighbour(request));
        crossed.flatten().unwrap_or(request)
    }

    fn response_model(&self, model: &str) -> Box<str> {
        if self.faults.wrong_model {
            WRONG_MODEL.into()
        } else {
            model.into()
        }
    }

    fn store_report(&mut self, now: Instant) {
        if self.reports.lags() {
            let current = self.engine_state();
            self.reports.keep(now, current);
        }
    }
}

fn new_boot_id() -> Box<str> {
    format!("{:016x}", rand::random::<u64>()).into()
}
