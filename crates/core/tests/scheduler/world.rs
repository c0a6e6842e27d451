//! A scheduler driven against a small engine, its askers, a former owner and
//! a broker, with a check of what must always hold after each step.

use super::steps::{ADAPTERS, Fate, Step};
use super::support::{Bench, av, ms};
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
/// No two steps happen at the same time.
const STEP_TIME: Duration = Duration::from_micros(1);
/// Time within which a granted request reaches the engine.
const DISPATCH: Duration = ms(400);
/// Added by the scheduler to the time of a permit.
const PERMIT_MARGIN: Duration = ms(1_000);
/// The former owner's requests reach the engine until then.
const FORMER_OWNER_ENDS: Duration = ms(1_500);
/// Time within which an eviction without an answer takes effect.
const LATE_EVICTION: Duration = ms(2_000);

/// A request as its asker sees it.
#[derive(Clone, Debug)]
struct Asked {
    req: PermitRequest,
    deadline: Now,
    state: AskState,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum AskState {
    Waiting,
    /// May be sent until this time.
    Granted(Now),
    Running,
    /// Permit expired without word.
    Orphaned,
    Over,
}

#[derive(Clone, Debug)]
enum Pending {
    Evict {
        target: AdapterVersion,
        load: AdapterVersion,
    },
    Load(AdapterVersion),
}

pub struct World {
    bench: Bench,
    policy: Policy,
    boot: u32,
    /// What the engine holds, with the number of requests that run.
    held: BTreeMap<AdapterVersion, u32>,
    /// Requests that run without a permit.
    orphans: Vec<AdapterVersion>,
    asked: BTreeMap<PermitId, Asked>,
    turns: BTreeSet<AdapterVersion>,
    pending: Vec<Pending>,
    late_evictions: Vec<(AdapterVersion, Now)>,
    listing: Option<(EngineListing, Now)>,
    /// Whether the engine may hold more than the scheduler can know.
    surprised: bool,
    /// When an order was last given or ended.
    orders_changed: Now,
    granted: u32,
    evictions: u32,
}

impl World {
    pub fn new(policy: Policy) -> Self {
        let bench = Bench::unheard(policy, ms(500), FORMER_OWNER_ENDS);
        Self {
            bench,
            policy,
            boot: 1,
            held: BTreeMap::from([(av("a"), 0), (av("b"), 0)]),
            orphans: Vec::new(),
            asked: BTreeMap::new(),
            turns: BTreeSet::new(),
            pending: Vec::new(),
            late_evictions: Vec::new(),
            listing: None,
            surprised: true,
            orders_changed: Duration::ZERO,
            granted: 0,
            evictions: 0,
        }
    }

    /// Permits granted so far: shows that the run was not idle.
    pub fn granted(&self) -> u32 {
        self.granted
    }

    /// Evictions ordered so far.
    pub fn evictions(&self) -> u32 {
        self.evictions
    }

    pub fn take(&mut self, step: &Step) {
        self.bench.now += STEP_TIME;
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
            Step::LoseTouch(n) => self.lose_touch(*n),
            Step::OrphanEnds(n) => self.orphan_ends(*n),
            Step::FormerOwnerSends(n) => self.former_owner_sends(&av(ADAPTERS[*n])),
            Step::ListingSent => self.listing = Some((self.facts(), self.bench.now)),
            Step::ListingArrives => self.listing_arrives(),
            Step::Turn(n) => self.turn(*n),
            Step::TurnLost(n) => self.turn_lost(*n),
            Step::TurnTooLate { which, outlook } => self.turn_too_late(*which, ms(*outlook)),
            Step::StrayTurn(n) => self.act(|s, cx| s.on_turn(&av(ADAPTERS[*n]), cx)),
            Step::Order { which, fate } => self.order_ends(*which, *fate),
            Step::LateEviction(n) => self.late_eviction(*n),
            Step::Lease(lease) => self.bench.lease = *lease,
            Step::Restart => self.restart(),
            Step::HandOver => self.hand_over(),
        }
        assert!(self.bench.scheduler.running() as usize <= BATCH_LIMIT);
    }

    fn act<F>(&mut self, f: F)
    where
        F: FnOnce(&mut Scheduler, &SchedulerContext<'_>),
    {
        let actions = self.bench.act(f);
        for action in actions {
            self.check(&action);
            self.carry_out(action);
        }
    }

    fn check(&self, action: &Action) {
        match action {
            Action::Grant { id, .. } => self.check_grant(id),
            Action::Refuse { id, refusal } => {
                assert_eq!(self.asked[id].state, AskState::Waiting, "answered twice");
                assert!(refusal.retry_after >= ms(100));
            }
            Action::RequestTurn { .. } => assert_eq!(self.bench.lease, LeaseState::Held),
            Action::WithdrawTurn { .. } | Action::TurnEnded { .. } => {}
            Action::Order { evict, load } => self.check_order(evict.as_ref(), load),
        }
    }

    fn check_grant(&self, id: &PermitId) {
        let asked = &self.asked[id];
        assert_eq!(asked.state, AskState::Waiting, "answered twice");
        assert!(asked.deadline > self.bench.now, "granted too late");
        assert_ne!(self.bench.lease, LeaseState::Lapsed);
        assert!(self.bench.now >= ms(500), "granted before it may");
        assert!(self.bench.scheduler.residents().contains(&asked.req.target));
        assert!(self.bench.scheduler.pins(&asked.req.target) > 0);
        let late = |(target, until): &(AdapterVersion, Now)| {
            *target == asked.req.target && *until > self.bench.now
        };
        assert!(
            !self.late_evictions.iter().any(late),
            "granted while barred"
        );
        if asked.req.class == Class::Writing {
            assert!(self.pins(|a| a.req.class == Class::Writing) < WRITING_LIMIT);
        }
    }

    fn check_order(&self, evict: Option<&AdapterVersion>, load: &AdapterVersion) {
        assert_eq!(self.bench.lease, LeaseState::Held);
        if let Some(evict) = evict {
            assert_ne!(evict, load);
            let pinned = self.pins(|a| a.req.target == *evict);
            assert_eq!(pinned, 0, "evicts {evict}, which permits pin");
            self.check_idle(evict);
        }
        let loads = self.pending.len() + 1;
        let freed = self
            .pending
            .iter()
            .filter(|p| matches!(p, Pending::Evict { .. }));
        let freed = freed.count() + usize::from(evict.is_some());
        let taken = self.held.len() + loads - freed;
        assert!(self.surprised || taken <= SLOTS, "{taken} slots");
    }

    fn check_idle(&self, target: &AdapterVersion) {
        let running = self.held.get(target).copied().unwrap_or(0);
        assert_eq!(running, 0, "evicts {target}, which runs");
    }

    /// Permits out that are as asked.
    fn pins<F>(&self, which: F) -> usize
    where
        F: Fn(&Asked) -> bool,
    {
        let out = self
            .asked
            .values()
            .filter(|a| matches!(a.state, AskState::Granted(_) | AskState::Running));
        out.filter(|a| which(a)).count()
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Grant { id, .. } => {
                self.granted += 1;
                let until = self.bench.now + DISPATCH;
                self.set(&id, AskState::Granted(until));
            }
            Action::Refuse { id, .. } => self.set(&id, AskState::Over),
            Action::RequestTurn { target, .. } => {
                self.turns.insert(target);
            }
            Action::WithdrawTurn { target } | Action::TurnEnded { target } => {
                self.turns.remove(&target);
            }
            Action::Order { evict, load } => {
                self.orders_changed = self.bench.now;
                self.evictions += u32::from(evict.is_some());
                self.pending.push(match evict {
                    None => Pending::Load(load),
                    Some(target) => Pending::Evict { target, load },
                });
            }
        }
    }

    fn set(&mut self, id: &PermitId, state: AskState) {
        if let Some(asked) = self.asked.get_mut(id) {
            asked.state = state;
        }
    }

    /// The `n`th request in a state, round and round.
    fn pick<F>(&self, n: usize, which: F) -> Option<PermitId>
    where
        F: Fn(AskState) -> bool,
    {
        let found = self.asked.iter().filter(|(_, a)| which(a.state));
        let found: Vec<&PermitId> = found.map(|(id, _)| id).collect();
        (!found.is_empty()).then(|| found[n % found.len()].clone())
    }

    fn advance(&mut self, millis: u64) {
        self.bench.now += ms(millis);
        self.act(Scheduler::on_tick);
        let now = self.bench.now;
        for (id, asked) in &mut self.asked {
            let waits = asked.state == AskState::Waiting;
            assert!(!waits || asked.deadline > now, "{id} was not answered");
            let out = matches!(asked.state, AskState::Granted(_) | AskState::Running);
            if out && asked.deadline + PERMIT_MARGIN <= now {
                if asked.state == AskState::Running {
                    self.orphans.push(asked.req.target.clone());
                }
                asked.state = AskState::Orphaned;
            }
        }
    }

    fn request(&mut self, name: &str, class: Class, remaining: Duration) {
        let mut req = self.bench.permit(name);
        req.class = class;
        req.remaining = remaining;
        self.bench.frequency.record(name, 1, self.bench.now);
        let asked = Asked {
            req: req.clone(),
            deadline: self.bench.now + remaining,
            state: AskState::Waiting,
        };
        self.asked.insert(req.id.clone(), asked);
        self.act(|s, cx| s.request(&req, cx));
    }

    fn release(&mut self, id: &PermitId, ended: bool) {
        self.set(id, AskState::Over);
        let release = Release {
            id: id.clone(),
            worker: "worker-1".into(),
            ended,
        };
        self.act(|s, cx| s.release(&release, cx));
    }

    fn withdraw(&mut self, n: usize) {
        if let Some(id) = self.pick(n, |s| s == AskState::Waiting) {
            self.release(&id, true);
        }
    }

    /// A granted request reaches the engine, which refuses it when it does not
    /// hold the adapter.
    fn dispatch(&mut self, n: usize) {
        let now = self.bench.now;
        let may = |s| matches!(s, AskState::Granted(until) if until >= now);
        let Some(id) = self.pick(n, may) else {
            return;
        };
        let target = self.asked[&id].req.target.clone();
        match self.held.get_mut(&target) {
            None => self.release(&id, true),
            Some(running) => {
                *running += 1;
                self.set(&id, AskState::Running);
            }
        }
    }

    fn finish(&mut self, n: usize) {
        let Some(id) = self.pick(n, |s| s == AskState::Running) else {
            return;
        };
        let target = self.asked[&id].req.target.clone();
        self.one_less(&target);
        self.release(&id, true);
    }

    fn lose_touch(&mut self, n: usize) {
        let Some(id) = self.pick(n, |s| s == AskState::Running) else {
            return;
        };
        self.orphans.push(self.asked[&id].req.target.clone());
        self.release(&id, false);
    }

    fn orphan_ends(&mut self, n: usize) {
        if !self.orphans.is_empty() {
            let target = self.orphans.swap_remove(n % self.orphans.len());
            self.one_less(&target);
        }
    }

    fn one_less(&mut self, target: &AdapterVersion) {
        if let Some(running) = self.held.get_mut(target) {
            *running = running.saturating_sub(1);
        }
    }

    /// The former owner still takes everything for resident.
    fn former_owner_sends(&mut self, target: &AdapterVersion) {
        if self.bench.now >= FORMER_OWNER_ENDS {
            return;
        }
        if let Some(running) = self.held.get_mut(target) {
            *running += 1;
            self.orphans.push(target.clone());
        }
    }

    fn facts(&self) -> EngineListing {
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
        let Some((facts, sent)) = self.listing.take() else {
            return;
        };
        let certain =
            self.pending.is_empty() && sent > self.orders_changed && facts == self.facts();
        self.surprised &= !certain;
        self.act(|s, cx| s.on_listing(&facts, sent, cx));
    }

    /// Takes the `n`th turn asked for out of the broker's queue.
    fn take_turn(&mut self, n: usize) -> Option<AdapterVersion> {
        let which = n % self.turns.len().max(1);
        let target = self.turns.iter().nth(which).cloned()?;
        self.turns.remove(&target);
        Some(target)
    }

    fn turn(&mut self, n: usize) {
        if let Some(target) = self.take_turn(n) {
            self.act(|s, cx| s.on_turn(&target, cx));
        }
    }

    fn turn_lost(&mut self, n: usize) {
        if let Some(target) = self.take_turn(n) {
            self.act(|s, _| s.on_turn_lost(&target));
        }
    }

    fn turn_too_late(&mut self, n: usize, outlook: Duration) {
        if let Some(target) = self.take_turn(n) {
            self.act(|s, cx| s.on_too_late(&target, outlook, cx));
        }
    }

    fn order_ends(&mut self, which: usize, fate: Fate) {
        if self.pending.is_empty() {
            return;
        }
        self.orders_changed = self.bench.now;
        match self.pending.remove(which % self.pending.len()) {
            Pending::Evict { target, load } => self.eviction_ends(&target, load, fate),
            Pending::Load(target) => self.load_ends(&target, fate),
        }
    }

    fn eviction_ends(&mut self, target: &AdapterVersion, load: AdapterVersion, fate: Fate) {
        let gone = matches!(fate, Fate::Done);
        if gone {
            self.check_idle(target);
            self.held.remove(target);
        }
        self.act(|s, cx| s.on_evicted(target, gone, cx));
        if matches!(fate, Fate::AnswerLost) {
            let until = self.bench.now + LATE_EVICTION;
            self.late_evictions.push((target.clone(), until));
            self.act(|s, _| s.block_targets(BTreeSet::from([target.clone()]), until));
        }
        if gone && self.bench.lease == LeaseState::Held {
            self.pending.push(Pending::Load(load));
        } else {
            self.act(|s, cx| s.on_loaded(&load, Err(LoadError::NoSlot), cx));
        }
    }

    fn load_ends(&mut self, target: &AdapterVersion, fate: Fate) {
        let room = self.held.len() < SLOTS || self.held.contains_key(target);
        let outcome = match fate {
            _ if !room => Err(LoadError::NoSlot),
            Fate::Refused => Err(LoadError::Failed),
            Fate::Done => Ok(()),
            Fate::AnswerLost => {
                self.surprised = true;
                Err(LoadError::Failed)
            }
        };
        if room && !matches!(fate, Fate::Refused) {
            self.held.entry(target.clone()).or_insert(0);
        }
        self.act(|s, cx| s.on_loaded(target, outcome, cx));
    }

    fn late_eviction(&mut self, n: usize) {
        if self.late_evictions.is_empty() {
            return;
        }
        let which = n % self.late_evictions.len();
        let (target, until) = self.late_evictions.swap_remove(which);
        if self.bench.now < until {
            self.check_idle(&target);
            self.held.remove(&target);
        }
    }

    /// The engine starts again empty; those who ran there notice later.
    fn restart(&mut self) {
        self.boot += 1;
        self.held.clear();
        self.orphans.clear();
        self.surprised = true;
    }

    /// The next owner goes on with what this one hands over.
    fn hand_over(&mut self) {
        let now = self.bench.now;
        let Some(handover) = self.bench.scheduler.hand_over(&"worker-1".into(), now) else {
            return;
        };
        self.act(|s, _| s.refuse_all(PermitReason::NotOwner));
        self.turns.clear();
        self.listing = None;
        let epoch = handover.epoch + 1;
        self.bench.scheduler = Scheduler::new(self.policy, epoch, now, now);
        self.act(|s, _| s.apply_handover(handover, now));
    }
}
