//! A test harness: a scheduler with the inputs of its decisions.

use reedford_core::frequency::Frequency;
use reedford_core::lease::LeaseState;
use reedford_core::messages::{
    PermitReason, PermitRefusal, PermitRequest, Release, TurnWaitEstimate,
};
use reedford_core::scheduler::{
    Action, EngineListing, Policy, Scheduler, SchedulerContext, SlotListing,
};
use reedford_core::{AdapterVersion, Now, PermitId};
use reedford_rules::{Admission, Class, Eviction, LoadOrdering, Objective};
use std::collections::BTreeMap;
use std::time::Duration;

/// The default policy of a group.
pub const POLICY: Policy = Policy {
    objective: Objective::LoadStalls,
    eviction: Eviction::Frequency,
    load_ordering: LoadOrdering::Value,
    admission: Admission::On,
};
/// Time left until the deadline of a standard request.
pub const REMAINING: Duration = Duration::from_secs(30);

pub const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn av(name: &str) -> AdapterVersion {
    AdapterVersion::new(name, "1")
}

/// Returns the listing of an engine that holds `held`, each with the number of
/// its running requests.
pub fn engine_listing(
    boot: &str,
    slots: u32,
    batch_limit: u32,
    held: &[(&str, u32)],
) -> EngineListing {
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

/// A scheduler with its time, lease and other inputs.
pub struct Harness {
    pub scheduler: Scheduler,
    pub frequency: Frequency,
    pub now: Now,
    pub lease: LeaseState,
    /// Expected wait for a load turn, for all classes.
    pub turn_wait: Duration,
    pub serial: u64,
}

impl Harness {
    /// Creates a scheduler that has not received a listing of its engine.
    pub fn without_listing(policy: Policy, open_from: Now, evict_from: Now) -> Self {
        Self {
            scheduler: Scheduler::new(policy, 1, open_from, evict_from),
            frequency: Frequency::new(ms(60_000)),
            now: Duration::ZERO,
            lease: LeaseState::Held,
            turn_wait: Duration::ZERO,
            serial: 0,
        }
    }

    /// Creates an open scheduler whose engine holds `held`, all known to be idle.
    pub fn open(policy: Policy, slots: u32, batch_limit: u32, held: &[&str]) -> Self {
        let mut harness = Self::without_listing(policy, Duration::ZERO, Duration::ZERO);
        let held: Vec<(&str, u32)> = held.iter().map(|name| (*name, 0)).collect();
        let listing = engine_listing("boot-1", slots, batch_limit, &held);
        harness.deliver_listing(&listing);
        harness.advance(1);
        harness.deliver_listing(&listing);
        harness.advance(1);
        harness
    }

    /// Applies `f` to the scheduler and returns the decided actions.
    pub fn apply<F>(&mut self, f: F) -> Vec<Action>
    where
        F: FnOnce(&mut Scheduler, &SchedulerContext<'_>),
    {
        let cx = SchedulerContext {
            now: self.now,
            lease: self.lease,
            frequency: &self.frequency,
            turn_wait: TurnWaitEstimate {
                lookup: self.turn_wait,
                standard: self.turn_wait,
                writing: self.turn_wait,
            },
        };
        f(&mut self.scheduler, &cx);
        self.scheduler.take_actions()
    }

    pub fn advance(&mut self, millis: u64) -> Vec<Action> {
        self.now += ms(millis);
        self.apply(Scheduler::on_tick)
    }

    /// Delivers a listing requested at the current time.
    pub fn deliver_listing(&mut self, listing: &EngineListing) -> Vec<Action> {
        let sent = self.now;
        self.apply(|s, cx| s.on_listing(listing, sent, cx))
    }

    /// Returns a standard request with a new id, for the test to modify.
    pub fn permit_request(&mut self, name: &str) -> PermitRequest {
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

    pub fn submit(&mut self, req: &PermitRequest) -> Vec<Action> {
        self.apply(|s, cx| s.request(req, cx))
    }

    /// Submits a standard request and returns the permit's id.
    pub fn request(&mut self, name: &str) -> (PermitId, Vec<Action>) {
        let req = self.permit_request(name);
        let actions = self.submit(&req);
        (req.id, actions)
    }

    pub fn release(&mut self, id: &PermitId, ended: bool) -> Vec<Action> {
        let release = Release {
            id: id.clone(),
            worker: "worker-1".into(),
            ended,
        };
        self.apply(|s, cx| s.release(&release, cx))
    }

    /// Grants the load turn for `name`.
    pub fn grant_turn(&mut self, name: &str) -> Vec<Action> {
        self.apply(|s, cx| s.on_turn(&av(name), cx))
    }

    /// Ends the load of `name` successfully.
    pub fn finish_load(&mut self, name: &str) -> Vec<Action> {
        self.apply(|s, cx| s.on_loaded(&av(name), Ok(()), cx))
    }

    /// Loads `name` into a free slot, for a request that then ends.
    pub fn load(&mut self, name: &str) {
        let (id, _) = self.request(name);
        self.grant_turn(name);
        self.finish_load(name);
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
    Action::EndTurn { target: av(name) }
}

/// Returns the adapters whose load turns were requested, in order.
pub fn requested_turns(actions: &[Action]) -> Vec<&str> {
    let requests = actions.iter().filter_map(|action| match action {
        Action::RequestTurn { target, .. } => Some(&*target.adapter),
        _ => None,
    });
    requests.collect()
}

/// Returns the refusals, by permit.
pub fn refusals(actions: &[Action]) -> BTreeMap<PermitId, PermitRefusal> {
    let refused = actions.iter().filter_map(|action| match action {
        Action::Refuse { id, refusal } => Some((id.clone(), *refusal)),
        _ => None,
    });
    refused.collect()
}

/// Returns the reason of the only refusal, if any.
pub fn refusal_reason(actions: &[Action]) -> Option<PermitReason> {
    let all = refusals(actions);
    assert!(all.len() <= 1, "{all:?}");
    all.values().next().map(|refusal| refusal.reason)
}
