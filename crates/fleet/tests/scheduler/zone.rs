//! A model of a zone's engines: loads that share a channel, prompts read one
//! after the other, answers that take their time. It checks while it runs that
//! no engine is ordered to hold more than it can, and that no adapter in use
//! is evicted.

use crate::support::{PLACES, instance, listed, ms, scheduler};
use reedford_fleet::Now;
use reedford_fleet::scheduler::{
    Action, OrderKind, OrderOutcome, PlacementRequest, Progress, Rejection, Scheduler,
};
use std::collections::{BTreeMap, BTreeSet};

/// Prompt tokens that an engine reads in a millisecond.
const READ_RATE: f64 = 16.0;
const COLD_MS: u64 = 250;
const WARM_MS: u64 = 25;
/// Time of an answer after its first token.
const ANSWER_MS: u64 = 350;
const STEP_MS: u64 = 5;
/// Time in the queue after which a refusal counts as late.
const HELD_MS: u64 = 1_000;

#[derive(Debug, Default)]
struct Engine {
    orders: u64,
    held: BTreeMap<Box<str>, Now>,
    seen: BTreeSet<Box<str>>,
    in_use: BTreeMap<Box<str>, u32>,
    reads_until: Now,
}

#[derive(Debug)]
struct Run {
    engine: Box<str>,
    adapter: Box<str>,
    starts: Now,
    ends: Now,
    started: bool,
    objective: Now,
}

/// What became of the calls.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) asked: u32,
    pub(crate) in_time: u32,
    pub(crate) late: u32,
    pub(crate) refused: u32,
    /// Of these, after having been held for more than a second.
    pub(crate) refused_late: u32,
    pub(crate) cold_loads: u32,
    pub(crate) early: u32,
}

/// The zone.
pub(crate) struct Zone {
    pub(crate) scheduler: Scheduler,
    pub(crate) tally: Tally,
    now: Now,
    engines: BTreeMap<Box<str>, Engine>,
    asks: BTreeMap<Box<str>, PlacementRequest>,
    asked_at: BTreeMap<Box<str>, Now>,
    runs: BTreeMap<Box<str>, Run>,
}

impl Zone {
    pub(crate) fn new(engines: usize) -> Self {
        let mut zone = Self {
            scheduler: scheduler(),
            tally: Tally::default(),
            now: Now::ZERO,
            engines: BTreeMap::new(),
            asks: BTreeMap::new(),
            asked_at: BTreeMap::new(),
            runs: BTreeMap::new(),
        };
        for n in 0..engines {
            let id = format!("e{n}");
            zone.scheduler.on_instance(&instance(&id, 1), Now::ZERO);
            listed(&mut zone.scheduler, &id, &[], 0, Now::ZERO);
            zone.engines.insert(id.into(), Engine::default());
        }
        zone
    }

    pub(crate) fn now(&self) -> Now {
        self.now
    }

    /// Takes an engine away with all that it runs.
    pub(crate) fn lose(&mut self, engine: &str) {
        self.engines.remove(engine);
        self.scheduler.forget(engine);
        self.runs.retain(|_, run| &*run.engine != engine);
    }

    pub(crate) fn ask(&mut self, ask: PlacementRequest) {
        self.tally.asked += 1;
        let call = ask.call.clone();
        self.asks.insert(call.clone(), ask.clone());
        self.asked_at.insert(call.clone(), self.now);
        if self.scheduler.submit(ask, self.now).is_some() {
            self.asks.remove(&call);
            self.tally.refused += 1;
        }
    }

    /// Lets time pass.
    pub(crate) fn run(&mut self, until: Now) {
        while self.now < until {
            self.now += ms(STEP_MS);
            self.advance_runs();
            for action in self.scheduler.poll(self.now) {
                self.carry_out(action);
            }
        }
    }

    fn advance_runs(&mut self) {
        let now = self.now;
        let mut ended = Vec::new();
        for (call, run) in &mut self.runs {
            if !run.started && run.starts <= now {
                run.started = true;
                self.scheduler.progress(call, Progress::Started, now);
                if run.starts <= run.objective {
                    self.tally.in_time += 1;
                } else {
                    self.tally.late += 1;
                }
            }
            if run.ends <= now {
                ended.push(call.clone());
            }
        }
        for call in ended {
            let run = self.runs.remove(&call).expect("found just now");
            self.scheduler.progress(&call, Progress::Ended, now);
            if let Some(engine) = self.engines.get_mut(&run.engine) {
                *engine.in_use.entry(run.adapter).or_default() -= 1;
            }
        }
    }

    fn carry_out(&mut self, action: Action) {
        let now = self.now;
        match action {
            Action::Grant(grant) => {
                let ask = self.asks[&grant.call].clone();
                let adapter = ask.adapter.clone().expect("every call names one");
                let engine = self.engines.get_mut(&grant.instance).expect("known");
                if engine.held.get(&adapter).is_none_or(|at| *at > now) {
                    self.tally.early += 1;
                    let rejected = Progress::Rejected(Rejection::Missing);
                    self.scheduler.progress(&grant.call, rejected, now);
                    if self.scheduler.submit(ask, now).is_some() {
                        self.tally.refused += 1;
                    }
                    return;
                }
                let reading = f64::from(ask.tokens) / READ_RATE;
                let starts = engine.reads_until.max(now) + ms(reading as u64);
                engine.reads_until = starts;
                *engine.in_use.entry(adapter.clone()).or_default() += 1;
                let run = Run {
                    engine: grant.instance,
                    adapter,
                    starts,
                    ends: starts + ms(ANSWER_MS),
                    started: false,
                    objective: ask.objective,
                };
                self.runs.insert(grant.call, run);
            }
            Action::Refuse(refusal) => {
                self.asks.remove(&refusal.call);
                self.tally.refused += 1;
                if now > self.asked_at[&refusal.call] + ms(HELD_MS) {
                    self.tally.refused_late += 1;
                }
            }
            Action::Order(order) => {
                let engine = self.engines.get_mut(&order.instance).expect("known");
                assert_eq!(order.after, engine.orders, "the count before");
                engine.orders += 1;
                let answer = engine.take(&order.kind, now, &mut self.tally);
                self.scheduler
                    .on_order_outcome(&order.instance, answer, now);
            }
            Action::FetchReport { instance, .. } => {
                self.scheduler.on_report(&instance, None, now);
            }
        }
    }
}

impl Engine {
    fn take(&mut self, kind: &OrderKind, now: Now, tally: &mut Tally) -> OrderOutcome {
        match kind {
            OrderKind::LoadAdapter { adapter, .. } => {
                let warm = self.seen.contains(adapter);
                if !warm {
                    tally.cold_loads += 1;
                }
                let time = if warm { WARM_MS } else { COLD_MS };
                self.held.insert(adapter.clone(), now + ms(time));
                self.seen.insert(adapter.clone());
                assert!(
                    self.held.len() <= PLACES as usize,
                    "too many: {:?}",
                    self.held
                );
                OrderOutcome::Accepted
            }
            OrderKind::UnloadAdapter { adapter, .. } => {
                let used = self.in_use.get(adapter).copied().unwrap_or(0);
                assert_eq!(used, 0, "{adapter} is in use");
                self.held.remove(adapter);
                OrderOutcome::Done
            }
            OrderKind::LoadModel { .. } => OrderOutcome::Accepted,
        }
    }
}
