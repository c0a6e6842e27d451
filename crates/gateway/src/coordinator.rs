//! The task that runs a zone's scheduler while this node is the zone's
//! coordinator. Only this task touches the scheduler; everything else sends it
//! a [`Command`].

mod actions;
mod commands;
mod quotas;
mod term;

pub(crate) use commands::{Charged, Command, CommandRx, CommandTx, UsageResponse, command_queue};

use crate::dialect::Dialect;
use crate::metrics::Metrics;
use crate::peer::{CallsReport, PeerClients, PlaceRequest, PlaceResponse, ZoneLoad};
use crate::settings::GatewaySettings;
use crate::state::Shared;
use reedford_fleet::Now;
use reedford_fleet::quota::ZoneQuotas;
use reedford_fleet::scheduler::{Limits, PlacementId, PlacementRequest, Scheduler};
use reedford_fleet::zones::{self, ArrivingCall, ZoneReport};
use reedford_targets::Pool;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use term::Term;
use tokio::sync::oneshot;
use tokio::time::sleep_until;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Time that an engine needs to process the prompts granted to it, up to which it
/// is granted further calls to keep it busy; covers a few steps of its batch.
const MAX_PREFILL_BACKLOG: Duration = Duration::from_millis(260);
/// Expected wait for the first token, as a fraction of the caller's remaining
/// time, at or above which a call is refused on arrival; the rest is needed to
/// generate the response.
const MAX_WAIT_SHARE: f64 = 0.6;
/// Time in which nodes report their calls to a new coordinator.
const CALLS_REPORT_TIME: Duration = Duration::from_millis(400);
/// Interval between reports of this zone's load.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Commands handled between two scheduling rounds.
const MAX_COMMAND_BATCH: usize = 64;
/// Minimum pause between scheduling rounds while calls wait. It delays a grant
/// by at most one step of an engine's batch.
const MIN_ROUND_PAUSE: Duration = Duration::from_millis(3);
/// Pause between scheduling rounds, as a multiple of the duration of the last
/// round, so that a long queue leaves most of a small node's CPU time for
/// responses to callers.
const ROUND_PAUSE_FACTOR: u32 = 3;
const MAX_ROUND_PAUSE: Duration = Duration::from_millis(40);

/// The node's components that the task uses.
#[derive(Debug)]
pub(crate) struct CoordinatorContext<D> {
    pub(crate) cfg: Arc<GatewaySettings>,
    pub(crate) dialect: Arc<D>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) pool: Arc<Pool>,
    pub(crate) peers: Arc<PeerClients>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) tasks: TaskTracker,
    pub(crate) stop: CancellationToken,
}

#[derive(Debug)]
pub(crate) struct Coordinator<D> {
    ctx: CoordinatorContext<D>,
    command_rx: CommandRx,
    command_tx: CommandTx,
    term: Option<Term>,
    pending_responses: BTreeMap<PlacementId, oneshot::Sender<PlaceResponse>>,
    next_load_report: Now,
    /// Earliest time of the next scheduling round.
    next_round: Now,
    /// Whether the scheduler has changes that no round has handled yet.
    round_pending: bool,
}

impl<D> Coordinator<D>
where
    D: Dialect,
{
    pub(crate) fn new(
        ctx: CoordinatorContext<D>,
        command_tx: CommandTx,
        command_rx: CommandRx,
    ) -> Self {
        Self {
            ctx,
            command_rx,
            command_tx,
            term: None,
            pending_responses: BTreeMap::new(),
            next_load_report: Now::ZERO,
            next_round: Now::ZERO,
            round_pending: false,
        }
    }

    /// Runs until the node stops.
    pub(crate) async fn run(mut self) {
        let stop = self.ctx.stop.clone();
        loop {
            let wakeup = self.next_wakeup();
            tokio::select! {
                biased;
                () = stop.cancelled() => return,
                command = self.command_rx.next() => match command {
                    Some(command) => self.handle_batch(command),
                    None => return,
                },
                () = sleep_until(self.ctx.shared.clock.instant(wakeup)) => {}
            }
            self.run_round();
        }
    }

    fn next_wakeup(&self) -> Now {
        let now = self.ctx.shared.now();
        if self.round_pending {
            return self.next_round;
        }
        let scheduler = self.term.as_ref().and_then(|t| t.scheduler.next_poll(now));
        let latest = now + LOAD_REPORT_INTERVAL;
        scheduler.map_or(latest, |at| at.clamp(now, latest))
    }

    fn handle_batch(&mut self, first: Command) {
        self.handle(first);
        for _ in 0..MAX_COMMAND_BATCH {
            let Some(command) = self.command_rx.try_next() else {
                return;
            };
            self.handle(command);
        }
    }

    fn run_round(&mut self) {
        self.update_term();
        let now = self.ctx.shared.now();
        let leads = self.update_leadership(now);
        self.round_pending = leads && now < self.next_round;
        if !leads || self.round_pending {
            return;
        }
        let Some(term) = &mut self.term else { return };
        let actions = term.scheduler.poll(now);
        if term.scheduler.queue_len() > 0 {
            let decided = self.ctx.shared.now();
            let took = decided.saturating_sub(now);
            let pause = (took * ROUND_PAUSE_FACTOR).clamp(MIN_ROUND_PAUSE, MAX_ROUND_PAUSE);
            self.next_round = decided + pause;
        }
        for action in actions {
            self.execute(action);
        }
        self.report_load(now);
        self.log_quotas(now);
    }

    /// Starts or ends a term when the role has changed.
    fn update_term(&mut self) {
        let held = self.ctx.shared.lock().role.held_fence();
        if held == self.term.as_ref().map(|t| t.fence) {
            return;
        }
        self.redirect_pending();
        tracing::info!(event = "role", zone = %self.ctx.cfg.zone, fence = held.unwrap_or(0),
            coordinator = held.is_some());
        self.term = held.map(|fence| {
            let zones = self.ctx.cfg.zones.len();
            let quotas = ZoneQuotas::new(zones, self.ctx.cfg.quota_tolerance);
            let mut term = Term::new(fence, self.new_scheduler(), quotas);
            self.refresh(&mut term);
            term
        });
    }

    /// Pauses or resumes scheduling, depending on whether this node leads; returns
    /// whether it does. While it does not, the queue is cleared and waiting calls
    /// get [`PlaceResponse::NotCoordinator`], so that their nodes look for an
    /// instance by other means.
    fn update_leadership(&mut self, now: Now) -> bool {
        let leads = self.ctx.shared.lock().role.leads(now);
        let Some(term) = &mut self.term else {
            return false;
        };
        if term.paused == leads {
            term.paused = !leads;
            tracing::info!(event = "orders", paused = !leads, zone = %self.ctx.cfg.zone,
                fence = term.fence);
        }
        if !leads {
            term.scheduler.clear_queue();
            self.redirect_pending();
        }
        leads
    }

    fn new_scheduler(&self) -> Scheduler {
        let mut scheduler = Scheduler::new(Limits {
            max_prefill_backlog: MAX_PREFILL_BACKLOG,
            max_wait_share: MAX_WAIT_SHARE,
            load_share: 1.0 / self.ctx.cfg.zones.len().max(1) as f64,
        });
        scheduler.defer_evictions(self.ctx.shared.now() + CALLS_REPORT_TIME);
        scheduler
    }

    /// Updates a term with the current configuration, directory and versions.
    fn refresh(&self, term: &mut Term) {
        let now = self.ctx.shared.now();
        let state = self.ctx.shared.lock();
        if let Some(routes) = &state.routes {
            term.apply_limits(routes.config(), now);
        }
        let scheduler = &mut term.scheduler;
        if let Some(routes) = &state.routes {
            for (name, service) in &routes.config().services {
                if let Some(engine) = &service.engine {
                    scheduler.set_spec(name, engine.clone());
                }
            }
        }
        let in_own_zone = |zone: &str| zone == &*self.ctx.cfg.zone;
        for instance in state.directory.all().filter(|i| in_own_zone(&i.zone)) {
            scheduler.on_instance(instance, now);
            let held_until = state.pushback.held_until(&instance.id, instance.born, now);
            if let Some(until) = held_until {
                scheduler.hold_engine(&instance.id, until);
            }
            let per_s = state.rate_limits.per_s(&instance.id, instance.born);
            scheduler.set_rate_limit(&instance.id, per_s, now);
        }
        let removed: Vec<_> = scheduler
            .held_adapters()
            .into_keys()
            .filter(|id| state.directory.get(id).is_none())
            .collect();
        for id in removed {
            scheduler.forget(&id);
        }
        for (key, version) in &state.versions {
            scheduler.on_version(key.clone(), *version);
        }
    }

    fn handle(&mut self, command: Command) {
        let now = self.ctx.shared.now();
        match command {
            Command::Place { req, response_tx } => self.place(req, response_tx, now),
            Command::Calls(report) => self.on_calls_report(report, now),
            Command::ZoneLoad(load) => self.on_zone_load(load, now),
            Command::Refresh => self.on_refresh(),
            Command::Progress { call, progress } => {
                self.with_scheduler(|s| s.progress(&call, progress, now))
            }
            Command::Observed(observed) => self.with_scheduler(|s| s.observe(&observed, now)),
            Command::PlaceCharged {
                req,
                charge,
                response_tx,
            } => self.place_charged(req, charge, response_tx, now),
            Command::LimitReached { call, short } => self.on_limit(call, short, now),
            Command::GrantedElsewhere { call } => self.settle(&call),
            Command::Charge {
                charge,
                response_tx,
            } => {
                let charged = self.charge_for_other(&charge, now);
                if response_tx.send(charged).is_err() {
                    tracing::debug!(event = "charge_unclaimed");
                }
            }
            Command::Usage { usage, response_tx } => {
                let refused = self.on_usage(&usage, now);
                if response_tx.send(refused).is_err() {
                    tracing::debug!(event = "usage_unclaimed");
                }
            }
            Command::Cancel { call } => {
                self.pending_responses.remove(&call);
                self.put_back(&call, now);
                self.with_scheduler(|s| s.cancel(&call, now));
            }
            Command::OrderCompleted {
                fence,
                order,
                outcome,
            } => self.on_order_outcome(fence, &order, outcome, now),
            Command::ReportFetched {
                fence,
                instance,
                report,
            } => self.on_report(fence, &instance, report.as_ref(), now),
        }
    }

    /// Adopts what a node reports to this node as a new coordinator.
    fn on_calls_report(&mut self, report: CallsReport, now: Now) {
        self.update_term();
        let Some(term) = &mut self.term else { return };
        tracing::info!(
            event = "calls_adopted",
            fence = term.fence,
            running = report.running.len(),
            recent = report.recent.len()
        );
        for (key, instance) in &report.recent {
            term.scheduler.record_recent(key, instance, now);
        }
        for call in report.running {
            term.scheduler.adopt(call.into_running_call(now), now);
        }
    }

    fn on_refresh(&mut self) {
        self.update_term();
        if let Some(mut term) = self.term.take() {
            self.refresh(&mut term);
            self.term = Some(term);
        }
    }

    fn with_scheduler<F>(&mut self, f: F)
    where
        F: FnOnce(&mut Scheduler),
    {
        if let Some(term) = &mut self.term {
            f(&mut term.scheduler);
        }
    }

    fn place(&mut self, req: PlaceRequest, response_tx: oneshot::Sender<PlaceResponse>, now: Now) {
        self.update_term();
        let leads = self.update_leadership(now);
        let passed_on = req.passed_on;
        if !leads || self.term.is_none() {
            respond(response_tx, self.not_coordinator());
            return;
        }
        let Some((req, response_tx)) = self.charge_arrival(req, response_tx, now) else {
            return;
        };
        let Some(term) = &self.term else { return };
        let request = req.clone().into_placement_request(now);
        let expected = term.scheduler.expected_wait(&request, now);
        if !passed_on && let Some(addr) = self.forward_addr(&request, expected, now) {
            self.forward(req, response_tx, addr);
            return;
        }
        let call = request.call.clone();
        let Some(term) = &mut self.term else { return };
        match term.scheduler.submit_with_wait(request, expected, now) {
            Some(refusal) => {
                tracing::info!(event = "place_refused", id = %refusal.call,
                    reason = refusal.reason.name(), expected_ms = expected.as_millis() as u64,
                    waiting = term.scheduler.queue_len());
                self.ctx.metrics.placement_refused(refusal.reason.name());
                self.put_back(&call, now);
                respond(response_tx, PlaceResponse::Refused(refusal));
            }
            None => {
                self.pending_responses.insert(call, response_tx);
            }
        }
    }

    /// Returns the address of another zone's coordinator if that zone should
    /// place the call.
    fn forward_addr(
        &self,
        request: &PlacementRequest,
        expected: Duration,
        now: Now,
    ) -> Option<SocketAddr> {
        let key = request.key();
        let scheduler = &self.term.as_ref()?.scheduler;
        let call = ArrivingCall {
            key: key.as_ref(),
            held: key.as_ref().is_none_or(|key| scheduler.holds_or_loads(key)),
            expected,
        };
        let state = self.ctx.shared.lock();
        let own_zone = &*self.ctx.cfg.zone;
        let zone = match &request.software {
            None => zones::forward_zone(own_zone, &state.zone_loads, call, now)?,
            Some(software) => {
                let ready = state.directory.ready(&request.service);
                let serving = ready.filter(|i| i.software == *software);
                let serving = serving.map(|i| &*i.zone).collect();
                zones::forward_zone_among(own_zone, &state.zone_loads, &serving, now)?
            }
        };
        state.other_coordinators.get(zone).map(|holder| holder.addr)
    }

    fn on_zone_load(&self, load: ZoneLoad, now: Now) {
        let report = ZoneReport {
            wait: load.wait,
            engines: load.engines,
            free_slots: load.free_places,
            held: load.held,
            at: now,
        };
        let mut state = self.ctx.shared.lock();
        if state.other_coordinators.contains_key(&load.zone) {
            state.zone_loads.insert(load.zone, report);
        }
    }

    fn report_load(&mut self, now: Now) {
        let Some(term) = &self.term else { return };
        if now < self.next_load_report {
            return;
        }
        self.next_load_report = now + LOAD_REPORT_INTERVAL;
        let summary = term.scheduler.load_summary(now);
        let waiting = term.scheduler.queue_len();
        self.ctx.metrics.set_placements_waiting(waiting);
        if waiting > 0 {
            let stats = term.scheduler.stats();
            tracing::info!(
                event = "zone_load",
                waiting,
                placeless = stats.awaiting_slot,
                running = stats.running,
                ordered = stats.ordered_loads,
                arriving = stats.pending_loads,
                load_ms = stats.load_time.as_millis() as u64,
                engines = summary.engines,
                free_places = summary.free_slots,
                wait_ms = summary.wait.as_millis() as u64
            );
        }
        let load = ZoneLoad {
            zone: self.ctx.cfg.zone.clone(),
            wait: summary.wait.min(Duration::from_secs(60)),
            engines: summary.engines,
            free_places: summary.free_slots,
            held: term.scheduler.held_hashes(),
        };
        let addrs: Vec<SocketAddr> = {
            let state = self.ctx.shared.lock();
            state.other_coordinators.values().map(|h| h.addr).collect()
        };
        for addr in addrs {
            self.send_load_report(addr, load.clone());
        }
    }

    fn redirect_pending(&mut self) {
        for (_, response_tx) in std::mem::take(&mut self.pending_responses) {
            respond(response_tx, self.not_coordinator());
        }
    }

    fn not_coordinator(&self) -> PlaceResponse {
        PlaceResponse::NotCoordinator(self.ctx.shared.lock().role.holder().cloned())
    }
}

/// Sends a response unless the receiver has been dropped.
fn respond(response_tx: oneshot::Sender<PlaceResponse>, response: PlaceResponse) {
    if response_tx.send(response).is_err() {
        tracing::debug!(event = "place_unclaimed");
    }
}
