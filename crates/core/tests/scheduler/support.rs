//! A scheduler with all that its decisions depend on.

use reedford_core::frequency::Frequency;
use reedford_core::lease::LeaseState;
use reedford_core::messages::{
    LoadWaitEstimate, PermitReason, PermitRefusal, PermitRequest, Release,
};
use reedford_core::scheduler::{
    Action, EngineListing, Policy, Scheduler, SchedulerContext, SlotListing,
};
use reedford_core::{AdapterVersion, Now, PermitId};
use reedford_rules::{Admission, Class, Eviction, LoadOrdering, Objective};
use std::collections::BTreeMap;
use std::time::Duration;

/// The policy of a group that names nothing else.
pub const POLICY: Policy = Policy {
    objective: Objective::LoadStalls,
    eviction: Eviction::Frequency,
    load_ordering: LoadOrdering::Value,
    admission: Admission::On,
};
/// Time left to the deadline of an ordinary request.
pub const REMAINING: Duration = Duration::from_secs(30);

pub const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn av(name: &str) -> AdapterVersion {
    AdapterVersion::new(name, "1")
}

/// An engine's word: what it holds and how many requests of each it runs.
pub fn facts(boot: &str, slots: u32, batch_limit: u32, held: &[(&str, u32)]) -> EngineListing {
    let residents = held.iter().map(|(name, running)| {
        let slot = SlotListing {
            loading: false,
            running: *running,
        };
        (av(name), slot)
    });
    EngineListing {
        boot_id: boot.into(),
        slots,
        batch_limit,
        leaving: false,
        residents: residents.collect(),
    }
}

/// A scheduler at some time, under some lease.
pub struct Bench {
    pub scheduler: Scheduler,
    pub frequency: Frequency,
    pub now: Now,
    pub lease: LeaseState,
    pub outlook: Duration,
    pub serial: u64,
}

impl Bench {
    /// A scheduler that has not heard from its engine yet.
    pub fn unheard(policy: Policy, open_from: Now, evict_from: Now) -> Self {
        Self {
            scheduler: Scheduler::new(policy, 1, open_from, evict_from),
            frequency: Frequency::new(ms(60_000)),
            now: Duration::ZERO,
            lease: LeaseState::Held,
            outlook: Duration::ZERO,
            serial: 0,
        }
    }

    /// An open scheduler whose engine holds `held`, all of it idle for sure.
    pub fn open(policy: Policy, slots: u32, batch_limit: u32, held: &[&str]) -> Self {
        let mut bench = Self::unheard(policy, Duration::ZERO, Duration::ZERO);
        let held: Vec<(&str, u32)> = held.iter().map(|name| (*name, 0)).collect();
        let facts = facts("boot-1", slots, batch_limit, &held);
        bench.listing(&facts);
        bench.advance(1);
        bench.listing(&facts);
        bench.advance(1);
        bench
    }

    pub fn act<F>(&mut self, f: F) -> Vec<Action>
    where
        F: FnOnce(&mut Scheduler, &SchedulerContext<'_>),
    {
        let cx = SchedulerContext {
            now: self.now,
            lease: self.lease,
            frequency: &self.frequency,
            load_outlook: LoadWaitEstimate {
                lookup: self.outlook,
                standard: self.outlook,
                writing: self.outlook,
            },
        };
        f(&mut self.scheduler, &cx);
        self.scheduler.take_actions()
    }

    pub fn advance(&mut self, millis: u64) -> Vec<Action> {
        self.now += ms(millis);
        self.act(Scheduler::on_tick)
    }

    /// Delivers what the engine says now.
    pub fn listing(&mut self, facts: &EngineListing) -> Vec<Action> {
        let sent = self.now;
        self.act(|s, cx| s.on_listing(facts, sent, cx))
    }

    /// An ordinary request, to be altered.
    pub fn permit(&mut self, name: &str) -> PermitRequest {
        self.serial += 1;
        PermitRequest {
            id: PermitId {
                instance: "entry-1".into(),
                incarnation: 1,
                serial: self.serial,
            },
            worker: "worker-1".into(),
            target: av(name),
            class: Class::Standard,
            remaining: REMAINING,
            expected: Some(Duration::ZERO),
            patience: REMAINING,
        }
    }

    pub fn ask(&mut self, req: &PermitRequest) -> Vec<Action> {
        self.act(|s, cx| s.request(req, cx))
    }

    /// Asks for an ordinary request, and gives the permit's id.
    pub fn request(&mut self, name: &str) -> (PermitId, Vec<Action>) {
        let req = self.permit(name);
        let actions = self.ask(&req);
        (req.id, actions)
    }

    pub fn release(&mut self, id: &PermitId, ended: bool) -> Vec<Action> {
        let release = Release {
            id: id.clone(),
            worker: "worker-1".into(),
            ended,
        };
        self.act(|s, cx| s.release(&release, cx))
    }

    pub fn turn(&mut self, name: &str) -> Vec<Action> {
        self.act(|s, cx| s.on_turn(&av(name), cx))
    }

    pub fn loaded(&mut self, name: &str) -> Vec<Action> {
        self.act(|s, cx| s.on_loaded(&av(name), Ok(()), cx))
    }

    /// Brings `name` into a free slot, for a request that then ends.
    pub fn load(&mut self, name: &str) {
        let (id, _) = self.request(name);
        self.turn(name);
        self.loaded(name);
        self.release(&id, true);
    }
}

pub fn granted(id: &PermitId, load_stall: Duration) -> Action {
    Action::Grant {
        id: id.clone(),
        load_stall,
    }
}

pub fn order(evict: Option<&str>, load: &str) -> Action {
    Action::Order {
        evict: evict.map(av),
        load: av(load),
    }
}

pub fn turn_ended(name: &str) -> Action {
    Action::TurnEnded { target: av(name) }
}

/// What was asked of the broker, in order.
pub fn asked(actions: &[Action]) -> Vec<&str> {
    let asks = actions.iter().filter_map(|action| match action {
        Action::RequestTurn { target, .. } => Some(&*target.adapter),
        _ => None,
    });
    asks.collect()
}

/// The refusals, by permit.
pub fn refusals(actions: &[Action]) -> BTreeMap<PermitId, PermitRefusal> {
    let refused = actions.iter().filter_map(|action| match action {
        Action::Refuse { id, refusal } => Some((id.clone(), *refusal)),
        _ => None,
    });
    refused.collect()
}

/// The reason of the only refusal.
pub fn refused(actions: &[Action]) -> Option<PermitReason> {
    let all = refusals(actions);
    assert!(all.len() <= 1, "{all:?}");
    all.values().next().map(|refusal| refusal.reason)
}
