//! The task that drives a zone's scheduler while this node is the zone's
//! coordinator. It alone touches the scheduler; everything reaches it as a
//! [`Command`].

mod carry_out;
mod commands;

pub(crate) use commands::{Command, CommandTx, Commands, queue};

use crate::metrics::Metrics;
use crate::peer::{PeerClients, PlaceAnswer, PlaceRequest, ZoneLoad};
use crate::ports::Dialect;
use crate::settings::GatewaySettings;
use crate::state::Shared;
use reedford_fleet::Now;
use reedford_fleet::ownership::Fence;
use reedford_fleet::scheduler::{CallId, Limits, PlacementRequest, Scheduler};
use reedford_fleet::zones::{self, ArrivingCall, ZoneReport};
use reedford_targets::Pool;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::sleep_until;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Work that an engine is given ahead; covers a few steps of its batch.
const WORK_AHEAD: Duration = Duration::from_millis(260);
/// Wait for a first token, in parts of the time that the caller has, from which
/// a call is refused on arrival; the rest is for the answer.
const PATIENCE: f64 = 0.6;
/// Pause between two words on the own zone's load.
const LOAD_PAUSE: Duration = Duration::from_millis(250);
/// Commands taken between two decisions.
const BATCH: usize = 64;
/// Shortest pause between two decisions while calls wait; calls are granted a
/// step of an engine's batch later at most.
const ROUND_PAUSE: Duration = Duration::from_millis(3);
/// Pause between two decisions, in parts of the time that the last one took, so
/// that a long queue leaves most of a small node's processor to answers.
const ROUND_PAUSE_PARTS: u32 = 3;
/// Longest pause between two decisions.
const LONGEST_ROUND_PAUSE: Duration = Duration::from_millis(40);

/// What the task needs of the node.
#[derive(Debug)]
pub(crate) struct Parts<D> {
    pub(crate) cfg: Arc<GatewaySettings>,
    pub(crate) dialect: Arc<D>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) pool: Arc<Pool>,
    pub(crate) peers: Arc<PeerClients>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) tasks: TaskTracker,
    pub(crate) stop: CancellationToken,
}

/// The coordinator's task.
#[derive(Debug)]
pub(crate) struct Coordinator<D> {
    parts: Parts<D>,
    commands: Commands,
    tx: CommandTx,
    term: Option<Term>,
    replies: BTreeMap<CallId, oneshot::Sender<PlaceAnswer>>,
    next_load: Now,
    /// When the next decision is made at the earliest.
    next_round: Now,
    /// Whether there is one to make.
    undecided: bool,
}

/// The time for which this node is the coordinator.
#[derive(Debug)]
struct Term {
    fence: Fence,
    scheduler: Scheduler,
    /// Whether the lease may have ended, so that nothing is decided.
    paused: bool,
}

impl<D> Coordinator<D>
where
    D: Dialect,
{
    pub(crate) fn new(parts: Parts<D>, tx: CommandTx, commands: Commands) -> Self {
        Self {
            parts,
            commands,
            tx,
            term: None,
            replies: BTreeMap::new(),
            next_load: Now::ZERO,
            next_round: Now::ZERO,
            undecided: false,
        }
    }

    /// Runs until the node stops.
    pub(crate) async fn run(mut self) {
        let stop = self.parts.stop.clone();
        loop {
            let look = self.next_look();
            tokio::select! {
                biased;
                () = stop.cancelled() => return,
                command = self.commands.next() => match command {
                    Some(command) => self.take_all(command),
                    None => return,
                },
                () = sleep_until(self.parts.shared.clock.instant(look)) => {}
            }
            self.step();
        }
    }

    fn next_look(&self) -> Now {
        let now = self.parts.shared.now();
        if self.undecided {
            return self.next_round;
        }
        let scheduler = self.term.as_ref().and_then(|t| t.scheduler.next_poll(now));
        let latest = now + LOAD_PAUSE;
        scheduler.map_or(latest, |at| at.clamp(now, latest))
    }

    fn take_all(&mut self, first: Command) {
        self.take(first);
        for _ in 0..BATCH {
            let Some(command) = self.commands.try_next() else {
                return;
            };
            self.take(command);
        }
    }

    fn step(&mut self) {
        self.follow_role();
        let now = self.parts.shared.now();
        let leads = self.leads(now);
        self.undecided = leads && now < self.next_round;
        if !leads || self.undecided {
            return;
        }
        let Some(term) = &mut self.term else { return };
        let actions = term.scheduler.poll(now);
        if term.scheduler.waiting() > 0 {
            let decided = self.parts.shared.now();
            let took = decided.saturating_sub(now);
            let pause = (took * ROUND_PAUSE_PARTS).clamp(ROUND_PAUSE, LONGEST_ROUND_PAUSE);
            self.next_round = decided + pause;
        }
        for action in actions {
            self.carry_out(action);
        }
        self.tell_load(now);
    }

    /// Begins or ends a term as the role says.
    fn follow_role(&mut self) {
        let held = self.parts.shared.lock().role.held_fence();
        if held == self.term.as_ref().map(|t| t.fence) {
            return;
        }
        self.refuse_waiting();
        tracing::info!(event = "role", zone = %self.parts.cfg.zone, fence = held.unwrap_or(0),
            coordinator = held.is_some());
        self.term = held.map(|fence| Term {
            fence,
            scheduler: self.new_scheduler(),
            paused: false,
        });
    }

    /// Whether this node may decide. While it may not, callers look for a place
    /// elsewhere.
    fn leads(&mut self, now: Now) -> bool {
        let leads = self.parts.shared.lock().role.leads(now);
        let Some(term) = &mut self.term else {
            return false;
        };
        if term.paused == leads {
            term.paused = !leads;
            tracing::info!(event = "orders", paused = !leads, zone = %self.parts.cfg.zone,
                fence = term.fence);
        }
        if !leads {
            term.scheduler.clear_queue();
            self.refuse_waiting();
        }
        leads
    }

    fn new_scheduler(&self) -> Scheduler {
        let mut scheduler = Scheduler::new(Limits {
            work_ahead: WORK_AHEAD,
            max_wait_share: PATIENCE,
            load_share: 1.0 / self.parts.cfg.zones.len().max(1) as f64,
        });
        self.refresh(&mut scheduler);
        scheduler
    }

    /// Brings a scheduler up to date with configuration, directory and versions.
    fn refresh(&self, scheduler: &mut Scheduler) {
        let now = self.parts.shared.now();
        let state = self.parts.shared.lock();
        if let Some(routes) = &state.routes {
            for (name, service) in &routes.config().services {
                if let Some(engine) = &service.engine {
                    scheduler.set_spec(name, engine.clone());
                }
            }
        }
        let own = |zone: &str| zone == &*self.parts.cfg.zone;
        for instance in state.directory.all().filter(|i| own(&i.zone)) {
            scheduler.on_instance(instance, now);
        }
        let gone: Vec<_> = scheduler
            .residents()
            .into_keys()
            .filter(|id| state.directory.get(id).is_none())
            .collect();
        for id in gone {
            scheduler.forget(&id);
        }
        for (key, version) in &state.versions {
            scheduler.on_version(key.clone(), *version);
        }
    }

    fn take(&mut self, command: Command) {
        let now = self.parts.shared.now();
        match command {
            Command::Place { req, reply } => self.place(req, reply, now),
            Command::ZoneLoad(load) => self.on_zone_load(load, now),
            Command::Refresh => self.on_refresh(),
            Command::Progress { call, step } => {
                self.with_scheduler(|s| s.progress(&call, step, now))
            }
            Command::Withdraw { call } => {
                self.replies.remove(&call);
                self.with_scheduler(|s| s.withdraw(&call, now));
            }
            Command::OrderAnswered {
                fence,
                instance,
                answer,
            } => self.on_order_outcome(fence, &instance, answer, now),
            Command::Reported {
                fence,
                instance,
                report,
            } => {
                if self.term.as_ref().is_some_and(|t| t.fence == fence) {
                    self.with_scheduler(|s| s.on_report(&instance, report.as_ref(), now));
                }
            }
        }
    }

    fn on_refresh(&mut self) {
        self.follow_role();
        if let Some(mut term) = self.term.take() {
            self.refresh(&mut term.scheduler);
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

    fn place(&mut self, req: PlaceRequest, reply: oneshot::Sender<PlaceAnswer>, now: Now) {
        self.follow_role();
        let leads = self.leads(now);
        let passed_on = req.passed_on;
        let Some(term) = self.term.as_mut().filter(|_| leads) else {
            answer(reply, self.not_coordinator());
            return;
        };
        let ask = req.clone().into_placement_request(now);
        let expected = term.scheduler.expected_wait(&ask, now);
        if !passed_on && let Some(addr) = self.elsewhere(&ask, expected, now) {
            self.pass_on(req, reply, addr);
            return;
        }
        let call = ask.call.clone();
        let Some(term) = &mut self.term else { return };
        match term.scheduler.submit_with_wait(ask, expected, now) {
            Some(refusal) => {
                tracing::info!(event = "place_refused", id = %refusal.call,
                    reason = refusal.reason.name(), expected_ms = expected.as_millis() as u64,
                    waiting = term.scheduler.waiting());
                self.parts.metrics.refused(refusal.reason.name());
                answer(reply, PlaceAnswer::Refused(refusal));
            }
            None => {
                self.replies.insert(call, reply);
            }
        }
    }

    /// The coordinator of the zone that places a call, if it is another one.
    fn elsewhere(
        &self,
        ask: &PlacementRequest,
        expected: Duration,
        now: Now,
    ) -> Option<SocketAddr> {
        let key = ask.key();
        let scheduler = &self.term.as_ref()?.scheduler;
        let call = ArrivingCall {
            key: key.as_ref(),
            held: key.as_ref().is_none_or(|key| scheduler.has_resident(key)),
            expected,
        };
        let state = self.parts.shared.lock();
        let zone = zones::forward_zone(&self.parts.cfg.zone, &state.zone_words, call, now)?;
        state.neighbours.get(zone).map(|holder| holder.addr)
    }

    fn on_zone_load(&self, load: ZoneLoad, now: Now) {
        let word = ZoneReport {
            wait: load.wait,
            engines: load.engines,
            free_slots: load.free_places,
            held: load.held,
            at: now,
        };
        let mut state = self.parts.shared.lock();
        if state.neighbours.contains_key(&load.zone) {
            state.zone_words.insert(load.zone, word);
        }
    }

    fn tell_load(&mut self, now: Now) {
        let Some(term) = &self.term else { return };
        if now < self.next_load {
            return;
        }
        self.next_load = now + LOAD_PAUSE;
        let outlook = term.scheduler.load_summary(now);
        let waiting = term.scheduler.waiting();
        self.parts.metrics.waiting(waiting);
        if waiting > 0 {
            let under_way = term.scheduler.stats();
            tracing::info!(
                event = "zone_load",
                waiting,
                placeless = under_way.awaiting_slot,
                running = under_way.running,
                ordered = under_way.ordered,
                arriving = under_way.arriving,
                load_ms = under_way.load_time.as_millis() as u64,
                engines = outlook.engines,
                free_places = outlook.free_slots,
                wait_ms = outlook.wait.as_millis() as u64
            );
        }
        let load = ZoneLoad {
            zone: self.parts.cfg.zone.clone(),
            wait: outlook.wait.min(Duration::from_secs(60)),
            engines: outlook.engines,
            free_places: outlook.free_slots,
            held: term.scheduler.resident_hashes(),
        };
        let addrs: Vec<SocketAddr> = {
            let state = self.parts.shared.lock();
            state.neighbours.values().map(|h| h.addr).collect()
        };
        for addr in addrs {
            self.send_load(addr, load.clone());
        }
    }

    fn refuse_waiting(&mut self) {
        for (_, reply) in std::mem::take(&mut self.replies) {
            answer(reply, self.not_coordinator());
        }
    }

    fn not_coordinator(&self) -> PlaceAnswer {
        PlaceAnswer::NotCoordinator(self.parts.shared.lock().role.holder().cloned())
    }
}

/// Sends an answer to whoever still waits for it.
fn answer(reply: oneshot::Sender<PlaceAnswer>, with: PlaceAnswer) {
    if reply.send(with).is_err() {
        tracing::debug!(event = "place_unclaimed");
    }
}
