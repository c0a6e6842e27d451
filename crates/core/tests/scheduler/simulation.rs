//! Simulates a scheduler with a small engine, requesting instances, a previous
//! owner and a broker, and checks the invariants after each step.

use super::steps::{ADAPTERS, OrderOutcome, Step};
use super::support::{Harness, av, ms};
use reedford_core::lease::LeaseState;
use reedford_core::messages::{PermitReason, PermitRequest, Release};
use reedford_core::scheduler::{
    Action, EngineListing, LoadError, Policy, Scheduler, SchedulerContext, SlotListing,
};
use reedford_core::{AdapterVersion, Now, PermitId};
use reedford_rules::Class;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const SLOTS: usize = 3;
const BATCH_LIMIT: usize = 8;
const WRITING_LIMIT: usize = 7;
/// Added to the time at each step, so that no two steps have the same time.
const STEP_TIME: Duration = Duration::from_micros(1);
/// Time within which a granted request reaches the engine.
const DISPATCH: Duration = ms(400);
/// Time after a request's deadline at which the scheduler expires its permit.
const PERMIT_MARGIN: Duration = ms(1_000);
/// Time until which requests of the previous owner reach the engine.
const PREVIOUS_OWNER_UNTIL: Duration = ms(1_500);
/// Time within which an eviction whose response was lost may take effect.
const LATE_EVICTION: Duration = ms(2_000);

/// A request, as known to the instance that sent it.
#[derive(Clone, Debug)]
struct TrackedRequest {
    req: PermitRequest,
    deadline: Now,
    state: RequestState,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum RequestState {
    Waiting,
    /// The request may be sent until this time.
    Granted(Now),
    Running,
    /// The permit expired before the end of the request was reported.
    Orphaned,
    Ended,
}

/// An order whose response has not arrived.
#[derive(Clone, Debug)]
enum PendingOrder {
    Evict {
        target: AdapterVersion,
        load: AdapterVersion,
    },
    Load(AdapterVersion),
}

pub struct Simulation {
    harness: Harness,
    policy: Policy,
    boot: u32,
    /// Adapter versions that the engine holds, with the number of running
    /// requests.
    held: BTreeMap<AdapterVersion, u32>,
    /// Requests that run without a permit.
    orphans: Vec<AdapterVersion>,
    requests: BTreeMap<PermitId, TrackedRequest>,
    requested_turns: BTreeSet<AdapterVersion>,
    pending: Vec<PendingOrder>,
    late_evictions: Vec<(AdapterVersion, Now)>,
    listing: Option<(EngineListing, Now)>,
    /// Whether the engine may hold adapters unknown to the scheduler.
    unknown_residents: bool,
    /// Time at which an order was last sent or ended.
    orders_changed: Now,
    granted: u32,
    evictions: u32,
}

impl Simulation {
    pub fn new(policy: Policy) -> Self {
        let harness = Harness::without_listing(policy, ms(500), PREVIOUS_OWNER_UNTIL);
        Self {
            harness,
            policy,
            boot: 1,
            held: BTreeMap::from([(av("a"), 0), (av("b"), 0)]),
            orphans: Vec::new(),
            requests: BTreeMap::new(),
            requested_turns: BTreeSet::new(),
            pending: Vec::new(),
            late_evictions: Vec::new(),
            listing: None,
            unknown_residents: true,
            orders_changed: Duration::ZERO,
            granted: 0,
            evictions: 0,
        }
    }

    /// Returns the number of permits granted so far.
    pub fn granted(&self) -> u32 {
        self.granted
    }

    /// Returns the number of evictions ordered so far.
    pub fn evictions(&self) -> u32 {
        self.evictions
    }

    pub fn run_step(&mut self, step: &Step) {
        self.harness.now += STEP_TIME;
        match step {
            Step::Advance(millis) => self.advance(*millis),
            Step::Request {
                adapter,
                class,
                remaining,
            } => self.request(ADAPTERS[*adapter], *class, ms(*remaining)),
            Step::Withdraw(n) => self.withdraw(*n),
            Step::Dispatch(n) => self.dispatch(*n),
            Step::Finish(n) => self.finish(*n),
            Step::LoseConnection(n) => self.lose_connection(*n),
            Step::OrphanEnds(n) => self.orphan_ends(*n),
            Step::PreviousOwnerSends(n) => self.previous_owner_sends(&av(ADAPTERS[*n])),
            Step::ListingSent => self.listing = Some((self.current_listing(), self.harness.now)),
            Step::ListingArrives => self.listing_arrives(),
            Step::TurnGranted(n) => self.turn_granted(*n),
            Step::TurnLost(n) => self.turn_lost(*n),
            Step::TurnTooLate { which, wait } => self.turn_too_late(*which, ms(*wait)),
            Step::UnrequestedTurn(n) => self.apply(|s, cx| s.on_turn(&av(ADAPTERS[*n]), cx)),
            Step::OrderEnds { which, outcome } => self.order_ends(*which, *outcome),
            Step::LateEviction(n) => self.late_eviction(*n),
            Step::Lease(lease) => self.harness.lease = *lease,
            Step::Restart => self.restart(),
            Step::HandOver => self.hand_over(),
        }
        assert!(self.harness.scheduler.running() as usize <= BATCH_LIMIT);
    }

    fn apply<F>(&mut self, f: F)
    where
        F: FnOnce(&mut Scheduler, &SchedulerContext<'_>),
    {
        let actions = self.harness.apply(f);
        for action in actions {
            self.check_action(&action);
            self.carry_out(action);
        }
    }

    fn check_action(&self, action: &Action) {
        match action {
            Action::Grant { id, .. } => self.check_grant(id),
            Action::Refuse { id, refusal } => {
                assert_eq!(
                    self.requests[id].state,
                    RequestState::Waiting,
                    "granted or refused twice"
                );
                assert!(refusal.retry_after >= ms(100));
            }
            Action::RequestTurn { .. } => assert_eq!(self.harness.lease, LeaseState::Held),
            Action::WithdrawTurn { .. } | Action::EndTurn { .. } => {}
            Action::Order { evict, load } => self.check_order(evict.as_ref(), load),
        }
    }

    fn check_grant(&self, id: &PermitId) {
        let request = &self.requests[id];
        assert_eq!(
            request.state,
            RequestState::Waiting,
            "granted or refused twice"
        );
        assert!(request.deadline > self.harness.now, "granted too late");
        assert_ne!(self.harness.lease, LeaseState::Lapsed);
        assert!(
            self.harness.now >= ms(500),
            "granted before the worker opens"
        );
        assert!(
            self.harness
                .scheduler
                .residents()
                .contains(&request.req.target)
        );
        assert!(self.harness.scheduler.pins(&request.req.target) > 0);
        let may_be_evicted = |(target, until): &(AdapterVersion, Now)| {
            *target == request.req.target && *until > self.harness.now
        };
        assert!(
            !self.late_evictions.iter().any(may_be_evicted),
            "granted while blocked"
        );
        if request.req.class == Class::Writing {
            assert!(self.count_permits(|r| r.req.class == Class::Writing) < WRITING_LIMIT);
        }
    }

    fn check_order(&self, evict: Option<&AdapterVersion>, load: &AdapterVersion) {
        assert_eq!(self.harness.lease, LeaseState::Held);
        if let Some(evict) = evict {
            assert_ne!(evict, load);
            let pinned = self.count_permits(|r| r.req.target == *evict);
            assert_eq!(pinned, 0, "evicts {evict}, which permits pin");
            self.check_idle(evict);
        }
        let loads = self.pending.len() + 1;
        let freed = self
            .pending
            .iter()
            .filter(|p| matches!(p, PendingOrder::Evict { .. }));
        let freed = freed.count() + usize::from(evict.is_some());
        let occupied = self.held.len() + loads - freed;
        assert!(
            self.unknown_residents || occupied <= SLOTS,
            "{occupied} slots"
        );
    }

    fn check_idle(&self, target: &AdapterVersion) {
        let running = self.held.get(target).copied().unwrap_or(0);
        assert_eq!(running, 0, "evicts {target}, which has running requests");
    }

    /// Counts the requests with a permit that match `which`.
    fn count_permits<F>(&self, which: F) -> usize
    where
        F: Fn(&TrackedRequest) -> bool,
    {
        let permitted = self
            .requests
            .values()
            .filter(|r| matches!(r.state, RequestState::Granted(_) | RequestState::Running));
        permitted.filter(|r| which(r)).count()
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Grant { id, .. } => {
                self.granted += 1;
                let until = self.harness.now + DISPATCH;
                self.set_state(&id, RequestState::Granted(until));
            }
            Action::Refuse { id, .. } => self.set_state(&id, RequestState::Ended),
            Action::RequestTurn { target, .. } => {
                self.requested_turns.insert(target);
            }
            Action::WithdrawTurn { target } | Action::EndTurn { target } => {
                self.requested_turns.remove(&target);
            }
            Action::Order { evict, load } => {
                self.orders_changed = self.harness.now;
                self.evictions += u32::from(evict.is_some());
                self.pending.push(match evict {
                    None => PendingOrder::Load(load),
                    Some(target) => PendingOrder::Evict { target, load },
                });
            }
        }
    }

    fn set_state(&mut self, id: &PermitId, state: RequestState) {
        if let Some(request) = self.requests.get_mut(id) {
            request.state = state;
        }
    }

    /// Returns the `n`th request in a state, modulo the number of such requests.
    fn pick_request<F>(&self, n: usize, which: F) -> Option<PermitId>
    where
        F: Fn(RequestState) -> bool,
    {
        let found = self.requests.iter().filter(|(_, r)| which(r.state));
        let found: Vec<&PermitId> = found.map(|(id, _)| id).collect();
        (!found.is_empty()).then(|| found[n % found.len()].clone())
    }

    fn advance(&mut self, millis: u64) {
        self.harness.now += ms(millis);
        self.apply(Scheduler::on_tick);
        let now = self.harness.now;
        for (id, request) in &mut self.requests {
            let waits = request.state == RequestState::Waiting;
            assert!(!waits || request.deadline > now, "{id} got no response");
            let permitted = matches!(
                request.state,
                RequestState::Granted(_) | RequestState::Running
            );
            if permitted && request.deadline + PERMIT_MARGIN <= now {
                if request.state == RequestState::Running {
                    self.orphans.push(request.req.target.clone());
                }
                request.state = RequestState::Orphaned;
            }
        }
    }

    fn request(&mut self, name: &str, class: Class, remaining: Duration) {
        let mut req = self.harness.permit_request(name);
        req.class = class;
        req.remaining = remaining;
        self.harness.frequency.record(name, 1, self.harness.now);
        let request = TrackedRequest {
            req: req.clone(),
            deadline: self.harness.now + remaining,
            state: RequestState::Waiting,
        };
        self.requests.insert(req.id.clone(), request);
        self.apply(|s, cx| s.request(&req, cx));
    }

    fn release(&mut self, id: &PermitId, ended: bool) {
        self.set_state(id, RequestState::Ended);
        let release = Release {
            id: id.clone(),
            worker: "worker-1".into(),
            ended,
        };
        self.apply(|s, cx| s.release(&release, cx));
    }

    fn withdraw(&mut self, n: usize) {
        if let Some(id) = self.pick_request(n, |s| s == RequestState::Waiting) {
            self.release(&id, true);
        }
    }

    /// A granted request reaches the engine, which refuses it if it does not hold
    /// the adapter.
    fn dispatch(&mut self, n: usize) {
        let now = self.harness.now;
        let may_send = |s| matches!(s, RequestState::Granted(until) if until >= now);
        let Some(id) = self.pick_request(n, may_send) else {
            return;
        };
        let target = self.requests[&id].req.target.clone();
        match self.held.get_mut(&target) {
            None => self.release(&id, true),
            Some(running) => {
                *running += 1;
                self.set_state(&id, RequestState::Running);
            }
        }
    }

    fn finish(&mut self, n: usize) {
        let Some(id) = self.pick_request(n, |s| s == RequestState::Running) else {
            return;
        };
        let target = self.requests[&id].req.target.clone();
        self.end_running(&target);
        self.release(&id, true);
    }

    fn lose_connection(&mut self, n: usize) {
        let Some(id) = self.pick_request(n, |s| s == RequestState::Running) else {
            return;
        };
        self.orphans.push(self.requests[&id].req.target.clone());
        self.release(&id, false);
    }

    fn orphan_ends(&mut self, n: usize) {
        if !self.orphans.is_empty() {
            let target = self.orphans.swap_remove(n % self.orphans.len());
            self.end_running(&target);
        }
    }

    fn end_running(&mut self, target: &AdapterVersion) {
        if let Some(running) = self.held.get_mut(target) {
            *running = running.saturating_sub(1);
        }
    }

    /// The previous owner sends a request for `target`, whether or not it is
    /// resident.
    fn previous_owner_sends(&mut self, target: &AdapterVersion) {
        if self.harness.now >= PREVIOUS_OWNER_UNTIL {
            return;
        }
        if let Some(running) = self.held.get_mut(target) {
            *running += 1;
            self.orphans.push(target.clone());
        }
    }

    fn current_listing(&self) -> EngineListing {
        let residents = self.held.iter().map(|(target, running)| {
            let slot = SlotListing {
                loading: false,
                running: *running,
            };
            (target.clone(), slot)
        });
        EngineListing {
            boot_id: self.boot.to_string().into(),
            slots: SLOTS as u32,
            batch_limit: BATCH_LIMIT as u32,
            leaving: false,
            residents: residents.collect(),
        }
    }

    fn listing_arrives(&mut self) {
        let Some((listing, sent)) = self.listing.take() else {
            return;
        };
        let certain = self.pending.is_empty()
            && sent > self.orders_changed
            && listing == self.current_listing();
        self.unknown_residents &= !certain;
        self.apply(|s, cx| s.on_listing(&listing, sent, cx));
    }

    /// Removes the `n`th requested load turn, modulo their number, from the
    /// broker's queue.
    fn take_turn(&mut self, n: usize) -> Option<AdapterVersion> {
        let which = n % self.requested_turns.len().max(1);
        let target = self.requested_turns.iter().nth(which).cloned()?;
        self.requested_turns.remove(&target);
        Some(target)
    }

    fn turn_granted(&mut self, n: usize) {
        if let Some(target) = self.take_turn(n) {
            self.apply(|s, cx| s.on_turn(&target, cx));
        }
    }

    fn turn_lost(&mut self, n: usize) {
        if let Some(target) = self.take_turn(n) {
            self.apply(|s, _| s.on_turn_lost(&target));
        }
    }

    fn turn_too_late(&mut self, n: usize, wait: Duration) {
        if let Some(target) = self.take_turn(n) {
            self.apply(|s, cx| s.on_too_late(&target, wait, cx));
        }
    }

    fn order_ends(&mut self, which: usize, outcome: OrderOutcome) {
        if self.pending.is_empty() {
            return;
        }
        self.orders_changed = self.harness.now;
        match self.pending.remove(which % self.pending.len()) {
            PendingOrder::Evict { target, load } => self.eviction_ends(&target, load, outcome),
            PendingOrder::Load(target) => self.load_ends(&target, outcome),
        }
    }

    fn eviction_ends(
        &mut self,
        target: &AdapterVersion,
        load: AdapterVersion,
        outcome: OrderOutcome,
    ) {
        let evicted = matches!(outcome, OrderOutcome::Done);
        if evicted {
            self.check_idle(target);
            self.held.remove(target);
        }
        self.apply(|s, cx| s.on_evicted(target, evicted, cx));
        if matches!(outcome, OrderOutcome::ResponseLost) {
            let until = self.harness.now + LATE_EVICTION;
            self.late_evictions.push((target.clone(), until));
            self.apply(|s, _| s.block_targets(BTreeSet::from([target.clone()]), until));
        }
        if evicted && self.harness.lease == LeaseState::Held {
            self.pending.push(PendingOrder::Load(load));
        } else {
            self.apply(|s, cx| s.on_loaded(&load, Err(LoadError::NoSlot), cx));
        }
    }

    fn load_ends(&mut self, target: &AdapterVersion, outcome: OrderOutcome) {
        let has_slot = self.held.len() < SLOTS || self.held.contains_key(target);
        let result = match outcome {
            _ if !has_slot => Err(LoadError::NoSlot),
            OrderOutcome::Refused => Err(LoadError::Failed),
            OrderOutcome::Done => Ok(()),
            OrderOutcome::ResponseLost => {
                self.unknown_residents = true;
                Err(LoadError::Failed)
            }
        };
        if has_slot && !matches!(outcome, OrderOutcome::Refused) {
            self.held.entry(target.clone()).or_insert(0);
        }
        self.apply(|s, cx| s.on_loaded(target, result, cx));
    }

    fn late_eviction(&mut self, n: usize) {
        if self.late_evictions.is_empty() {
            return;
        }
        let which = n % self.late_evictions.len();
        let (target, until) = self.late_evictions.swap_remove(which);
        if self.harness.now < until {
            self.check_idle(&target);
            self.held.remove(&target);
        }
    }

    /// The engine restarts empty; the instances whose requests ran there notice
    /// it later.
    fn restart(&mut self) {
        self.boot += 1;
        self.held.clear();
        self.orphans.clear();
        self.unknown_residents = true;
    }

    /// Replaces the scheduler by the next owner's, which applies the handover.
    fn hand_over(&mut self) {
        let now = self.harness.now;
        let Some(handover) = self
            .harness
            .scheduler
            .handover_state(&"worker-1".into(), now)
        else {
            return;
        };
        self.apply(|s, _| s.refuse_all(PermitReason::NotOwner));
        self.requested_turns.clear();
        self.listing = None;
        let epoch = handover.epoch + 1;
        self.harness.scheduler = Scheduler::new(self.policy, epoch, now, now);
        self.apply(|s, _| s.apply_handover(handover, now));
    }
}
