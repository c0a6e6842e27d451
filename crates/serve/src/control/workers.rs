//! Driving the schedulers of the workers that this instance owns.

use super::command::{Event, IntentTaken};
use super::orders::IntentLog;
use super::state::{Control, Fence, Owned, Poll, Reply, answer};
use reedford_core::messages::{
    PermitReason, PermitRefusal, PermitRequest, PermitResponse, Release, TurnRequest,
};
use reedford_core::scheduler::{Action, EngineListing, Policy, Scheduler, SlotListing};
use reedford_core::{AdapterVersion, Epoch, Now, PermitId, WorkerId};
use reedford_wire::engine::Listing;
use reedford_wire::instances::Instance;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Interval at which an engine is asked what it holds.
const LISTING_INTERVAL: Duration = Duration::from_secs(1);
/// Listings without an answer after which a worker is taken for down.
const FAILURES_DOWN: u32 = 2;
/// Interval at which forgotten counts are dropped.
const PRUNE_INTERVAL: Duration = Duration::from_secs(30);

impl Control {
    /// Starts to schedule a worker; answers whether what is needed is known.
    pub(super) fn open_worker(
        &mut self,
        worker: &WorkerId,
        epoch: Epoch,
        open_from: Now,
        evict_from: Now,
    ) -> bool {
        let Some(instance) = self.instances.get(worker) else {
            return false;
        };
        let Some(policy) = self.policy_of(instance) else {
            return false;
        };
        let fence = if instance.checks_fence {
            Fence::Unraised
        } else {
            Fence::IntentUnknown
        };
        let owned = Owned {
            scheduler: Scheduler::new(policy, epoch, open_from, evict_from),
            fence,
            listing: Poll::default(),
            failures: 0,
            next_loads: BTreeMap::new(),
        };
        self.workers.insert(worker.clone(), owned);
        true
    }

    /// Ends the scheduling of a worker: what waits is refused.
    pub(super) fn drop_worker(&mut self, worker: &WorkerId) {
        let Some(mut owned) = self.workers.remove(worker) else {
            return;
        };
        self.metrics.worker_gone(worker);
        owned.scheduler.refuse_all(PermitReason::NotOwner);
        for action in owned.scheduler.take_actions() {
            self.perform(worker, action);
        }
    }

    /// The policy for a worker's group; `None` while no rule names the group.
    pub(super) fn policy_of(&self, instance: &Instance) -> Option<Policy> {
        let rules = &self.rules.as_ref()?.rules;
        rules.groups.get(&instance.group).map(Policy::from)
    }

    pub(super) fn on_permit(&mut self, req: PermitRequest, reply: oneshot::Sender<PermitResponse>) {
        let decision = self.decision();
        let Some(owned) = self.workers.get_mut(&req.worker) else {
            let reason = PermitReason::NotOwner;
            let refusal = PermitRefusal::new(reason, Duration::ZERO);
            answer(reply, PermitResponse::Refused(refusal));
            return;
        };
        self.frequency.record(&req.target.adapter, 1, decision.now);
        *self.recent.entry(req.target.adapter.clone()).or_default() += 1;
        let waiting = Reply {
            worker: req.worker.clone(),
            tx: reply,
        };
        self.replies.insert(req.id.clone(), waiting);
        owned.scheduler.request(&req, &decision.cx(&self.frequency));
    }

    pub(super) fn on_release(&mut self, release: &Release) {
        self.replies.remove(&release.id);
        let decision = self.decision();
        if let Some(owned) = self.workers.get_mut(&release.worker) {
            owned
                .scheduler
                .release(release, &decision.cx(&self.frequency));
        }
    }

    pub(super) fn poll_workers(&mut self) {
        let now = self.clock.now();
        let due: Vec<WorkerId> = self
            .workers
            .iter_mut()
            .filter_map(|(id, o)| o.listing.start(now, LISTING_INTERVAL).then(|| id.clone()))
            .collect();
        for worker in due {
            self.poll_worker(&worker);
        }
    }

    pub(super) fn on_listing(
        &mut self,
        worker: &WorkerId,
        epoch: Epoch,
        sent: Now,
        facts: Option<EngineListing>,
    ) {
        let decision = self.decision();
        let listed_live = self.is_listed_live(worker);
        let Some(owned) = owned_at(&mut self.workers, worker, epoch) else {
            return;
        };
        owned.listing.pending = false;
        match facts {
            Some(mut facts) => {
                facts.leaving |= !listed_live;
                owned.failures = 0;
                owned
                    .scheduler
                    .on_listing(&facts, sent, &decision.cx(&self.frequency));
            }
            None => {
                owned.failures += 1;
                if owned.failures >= FAILURES_DOWN {
                    owned.scheduler.on_unreachable();
                }
            }
        }
    }

    pub(super) fn on_intent(
        &mut self,
        worker: &WorkerId,
        epoch: Epoch,
        taken: Option<IntentTaken>,
    ) {
        let now = self.clock.now();
        let bar_until = now + self.membership.times.joiner_wait();
        let Some(owned) = owned_at(&mut self.workers, worker, epoch) else {
            return;
        };
        owned.listing.pending = false;
        let Some(taken) = taken else {
            return;
        };
        owned.listing.due = now;
        let log = IntentLog::new(&taken, bar_until);
        owned.fence = Fence::Intent(Arc::new(tokio::sync::Mutex::new(log)));
        owned.scheduler.block_targets(taken.evicting, bar_until);
    }

    pub(super) fn on_fence_raised(&mut self, worker: &WorkerId, epoch: Epoch, raised: bool) {
        let now = self.clock.now();
        let Some(owned) = owned_at(&mut self.workers, worker, epoch) else {
            return;
        };
        owned.listing.pending = false;
        if raised {
            owned.fence = Fence::Checked;
            owned.listing.due = now;
        }
    }

    pub(super) fn tick_workers(&mut self) {
        let decision = self.decision();
        for owned in self.workers.values_mut() {
            owned.scheduler.on_tick(&decision.cx(&self.frequency));
        }
        if decision.now >= self.timers.prune {
            self.timers.prune = decision.now + PRUNE_INTERVAL;
            self.frequency.prune(decision.now);
            self.forget_members(decision.now);
        }
    }

    /// Withdraws requests whose asker has gone away.
    pub(super) fn drop_abandoned(&mut self) {
        let abandoned: Vec<(PermitId, WorkerId)> = self
            .replies
            .iter()
            .filter(|(_, reply)| reply.tx.is_closed())
            .map(|(id, reply)| (id.clone(), reply.worker.clone()))
            .collect();
        for (id, worker) in abandoned {
            self.on_release(&Release {
                id,
                worker,
                ended: true,
            });
        }
    }

    /// Carries out what the schedulers have decided.
    pub(super) fn carry_out(&mut self) {
        let mut decided: Vec<(WorkerId, Action)> = Vec::new();
        for (worker, owned) in &mut self.workers {
            let actions = owned.scheduler.take_actions();
            decided.extend(actions.into_iter().map(|action| (worker.clone(), action)));
        }
        for (worker, action) in decided {
            self.perform(&worker, action);
        }
    }

    fn perform(&mut self, worker: &WorkerId, action: Action) {
        match action {
            Action::Grant { id, load_stall } => {
                let granted = PermitResponse::Granted { load_stall };
                self.reply_permit(worker, &id, granted);
            }
            Action::Refuse { id, refusal } => {
                self.metrics.permit_refused(refusal.reason);
                self.reply_permit(worker, &id, PermitResponse::Refused(refusal));
            }
            Action::RequestTurn {
                target,
                value,
                patience,
            } => {
                self.timers.changed = true;
                let worker = worker.clone();
                self.ask_turn(TurnRequest {
                    worker,
                    target,
                    value,
                    patience,
                });
            }
            Action::WithdrawTurn { target } | Action::TurnEnded { target } => {
                self.end_turn(worker, &target);
            }
            Action::Order { evict, load } => self.order(worker, evict, load),
        }
    }

    /// Answers a request for a permit. A grant that nobody waits for any more
    /// is taken back: its asker sends nothing without having seen it.
    fn reply_permit(&mut self, worker: &WorkerId, id: &PermitId, said: PermitResponse) {
        let granted = matches!(said, PermitResponse::Granted { .. });
        let reply = self.replies.remove(id);
        let heard = reply.is_some_and(|reply| answer(reply.tx, said));
        if granted && !heard {
            let release = Release {
                id: id.clone(),
                worker: worker.clone(),
                ended: true,
            };
            self.on_release(&release);
        }
    }

    fn poll_worker(&mut self, worker: &WorkerId) {
        let Some(address) = self.instances.get(worker).map(|i| i.address) else {
            return self.end_poll(worker);
        };
        let Some(owned) = self.workers.get(worker) else {
            return;
        };
        let epoch = owned.scheduler.epoch();
        match owned.fence {
            Fence::Checked | Fence::Intent(_) => {}
            Fence::IntentUnknown => return self.take_intent(worker, epoch),
            Fence::Unraised => return self.raise_fence(worker, address, epoch),
        }
        let targets = Arc::clone(&self.clients.targets);
        let worker = worker.clone();
        let sent = self.clock.now();
        self.tasks.spawn(async move {
            let facts = targets
                .listing(address)
                .await
                .ok()
                .map(|listing| facts_of(&listing));
            Event::Listing {
                worker,
                epoch,
                sent,
                facts,
            }
        });
    }

    fn end_poll(&mut self, worker: &WorkerId) {
        if let Some(owned) = self.workers.get_mut(worker) {
            owned.listing.pending = false;
            owned.scheduler.on_leaving();
        }
    }
}

/// The worker, if it is still owned under `epoch`.
pub(super) fn owned_at<'a>(
    workers: &'a mut BTreeMap<WorkerId, Owned>,
    worker: &WorkerId,
    epoch: Epoch,
) -> Option<&'a mut Owned> {
    workers
        .get_mut(worker)
        .filter(|o| o.scheduler.epoch() == epoch)
}

fn facts_of(listing: &Listing) -> EngineListing {
    let residents = listing.adapters.iter().map(|slot| {
        let target = AdapterVersion::new(&slot.adapter, &slot.version);
        (
            target,
            SlotListing {
                loading: slot.loading,
                running: slot.running,
            },
        )
    });
    EngineListing {
        boot_id: listing.boot_id.clone(),
        slots: listing.slots,
        batch_limit: listing.batch_limit,
        leaving: listing.leaving,
        residents: residents.collect(),
    }
}
