//! Drives the schedulers of the workers that this instance owns.

use super::command::{ClaimedIntents, Event};
use super::orders::IntentLog;
use super::state::{Control, Fencing, OwnedWorker, PermitReply, PollTimer, send_reply};
use reedford_core::messages::{
    PermitReason, PermitRefusal, PermitRequest, PermitResponse, Release, TurnRequest,
};
use reedford_core::scheduler::{Action, EngineListing, Policy, Scheduler, SlotListing};
use reedford_core::{AdapterVersion, Epoch, Now, PermitId, WorkerId};
use reedford_wire::engine::EngineState;
use reedford_wire::instances::Instance;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Interval at which an engine's adapters are listed.
const LISTING_INTERVAL: Duration = Duration::from_secs(1);
/// Consecutive failed listings after which a worker counts as down.
const MAX_LISTING_FAILURES: u32 = 2;
/// Interval at which request counts close to zero and the state of peers that
/// have left are dropped.
const PRUNE_INTERVAL: Duration = Duration::from_secs(30);

impl Control {
    /// Adds the scheduler of a worker. Returns `false` if its listing by the
    /// platform or the rule of its group is not known yet.
    pub(super) fn add_worker(
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
        let fencing = if instance.checks_fence {
            Fencing::EngineNotRaised
        } else {
            Fencing::IntentsNotRead
        };
        let owned = OwnedWorker {
            scheduler: Scheduler::new(policy, epoch, open_from, evict_from),
            fencing,
            listing: PollTimer::default(),
            listing_failures: 0,
            next_loads: BTreeMap::new(),
        };
        self.workers.insert(worker.clone(), owned);
        true
    }

    /// Stops scheduling a worker and refuses its waiting requests.
    pub(super) fn drop_worker(&mut self, worker: &WorkerId) {
        let Some(mut owned) = self.workers.remove(worker) else {
            return;
        };
        self.metrics.remove_worker(worker);
        owned.scheduler.refuse_all(PermitReason::NotOwner);
        for action in owned.scheduler.take_actions() {
            self.perform_action(worker, action);
        }
    }

    /// Returns the policy for an instance's group, or `None` without a rule for the
    /// group.
    pub(super) fn policy_of(&self, instance: &Instance) -> Option<Policy> {
        let rules = &self.rules.as_ref()?.rules;
        rules.groups.get(&instance.group).map(Policy::from)
    }

    pub(super) fn on_permit(&mut self, req: PermitRequest, reply: oneshot::Sender<PermitResponse>) {
        let inputs = self.decision_inputs();
        let Some(owned) = self.workers.get_mut(&req.worker) else {
            let reason = PermitReason::NotOwner;
            let refusal = PermitRefusal::new(reason, Duration::ZERO);
            send_reply(reply, PermitResponse::Refused(refusal));
            return;
        };
        self.frequency.record(&req.target.adapter, 1, inputs.now);
        *self.recent.entry(req.target.adapter.clone()).or_default() += 1;
        let pending = PermitReply {
            worker: req.worker.clone(),
            tx: reply,
        };
        self.permit_replies.insert(req.id.clone(), pending);
        owned.scheduler.request(&req, &inputs.cx(&self.frequency));
    }

    pub(super) fn on_release(&mut self, release: &Release) {
        self.permit_replies.remove(&release.id);
        let inputs = self.decision_inputs();
        if let Some(owned) = self.workers.get_mut(&release.worker) {
            owned
                .scheduler
                .release(release, &inputs.cx(&self.frequency));
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
        listing: Option<EngineListing>,
    ) {
        let inputs = self.decision_inputs();
        let listed_live = self.is_listed_live(worker);
        let Some(owned) = owned_with_epoch(&mut self.workers, worker, epoch) else {
            return;
        };
        owned.listing.pending = false;
        match listing {
            Some(mut listing) => {
                listing.leaving |= !listed_live;
                owned.listing_failures = 0;
                owned
                    .scheduler
                    .on_listing(&listing, sent, &inputs.cx(&self.frequency));
            }
            None => {
                owned.listing_failures += 1;
                if owned.listing_failures >= MAX_LISTING_FAILURES {
                    owned.scheduler.on_unreachable();
                }
            }
        }
    }

    pub(super) fn on_intents_claimed(
        &mut self,
        worker: &WorkerId,
        epoch: Epoch,
        claimed: Option<ClaimedIntents>,
    ) {
        let now = self.clock.now();
        // The code assumes that a pending eviction no longer takes effect after
        // the longest wait for a previous owner.
        let block_until = now + self.membership.times.joiner_wait();
        let Some(owned) = owned_with_epoch(&mut self.workers, worker, epoch) else {
            return;
        };
        owned.listing.pending = false;
        let Some(claimed) = claimed else {
            return;
        };
        owned.listing.due = now;
        let log = IntentLog::new(&claimed, block_until);
        owned.fencing = Fencing::Intents(Arc::new(tokio::sync::Mutex::new(log)));
        owned.scheduler.block_targets(claimed.evicting, block_until);
    }

    pub(super) fn on_fence_raised(&mut self, worker: &WorkerId, epoch: Epoch, raised: bool) {
        let now = self.clock.now();
        let Some(owned) = owned_with_epoch(&mut self.workers, worker, epoch) else {
            return;
        };
        owned.listing.pending = false;
        if raised {
            owned.fencing = Fencing::Engine;
            owned.listing.due = now;
        }
    }

    pub(super) fn tick_workers(&mut self) {
        let inputs = self.decision_inputs();
        for owned in self.workers.values_mut() {
            owned.scheduler.on_tick(&inputs.cx(&self.frequency));
        }
        if inputs.now >= self.periodic.next_prune {
            self.periodic.next_prune = inputs.now + PRUNE_INTERVAL;
            self.frequency.prune(inputs.now);
            self.prune_peers(inputs.now);
        }
    }

    /// Withdraws requests for permits whose sender no longer waits.
    pub(super) fn drop_abandoned(&mut self) {
        let abandoned: Vec<(PermitId, WorkerId)> = self
            .permit_replies
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

    /// Performs the actions that the schedulers have decided on.
    pub(super) fn perform_actions(&mut self) {
        let mut pending: Vec<(WorkerId, Action)> = Vec::new();
        for (worker, owned) in &mut self.workers {
            let actions = owned.scheduler.take_actions();
            pending.extend(actions.into_iter().map(|action| (worker.clone(), action)));
        }
        for (worker, action) in pending {
            self.perform_action(&worker, action);
        }
    }

    fn perform_action(&mut self, worker: &WorkerId, action: Action) {
        match action {
            Action::Grant { id, load_stall } => {
                let granted = PermitResponse::Granted { load_stall };
                self.reply_permit(worker, &id, granted);
            }
            Action::Refuse { id, refusal } => {
                self.metrics.record_permit_refused(refusal.reason);
                self.reply_permit(worker, &id, PermitResponse::Refused(refusal));
            }
            Action::RequestTurn {
                target,
                value,
                patience,
            } => {
                self.periodic.loads_changed = true;
                let worker = worker.clone();
                self.request_turn(TurnRequest {
                    worker,
                    target,
                    value,
                    patience,
                });
            }
            Action::WithdrawTurn { target } | Action::EndTurn { target } => {
                self.end_turn(worker, &target);
            }
            Action::Order { evict, load } => self.order(worker, evict, load),
        }
    }

    /// Sends the response to a request for a permit. If its sender no longer
    /// waits for the response, a grant is released at once, because a request
    /// is sent only after its grant has arrived.
    fn reply_permit(&mut self, worker: &WorkerId, id: &PermitId, response: PermitResponse) {
        let granted = matches!(response, PermitResponse::Granted { .. });
        let reply = self.permit_replies.remove(id);
        let delivered = reply.is_some_and(|reply| send_reply(reply.tx, response));
        if granted && !delivered {
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
            return self.mark_unlisted(worker);
        };
        let Some(owned) = self.workers.get(worker) else {
            return;
        };
        let epoch = owned.scheduler.epoch();
        match owned.fencing {
            Fencing::Engine | Fencing::Intents(_) => {}
            Fencing::IntentsNotRead => return self.claim_intents(worker, epoch),
            Fencing::EngineNotRaised => return self.raise_fence(worker, address, epoch),
        }
        let targets = Arc::clone(&self.clients.targets);
        let worker = worker.clone();
        let sent = self.clock.now();
        self.tasks.spawn(async move {
            let listing = targets
                .listing(address)
                .await
                .ok()
                .map(|listing| engine_listing(&listing));
            Event::Listing {
                worker,
                epoch,
                sent,
                listing,
            }
        });
    }

    /// Ends the poll of a worker that the platform no longer lists, and marks the
    /// worker as leaving.
    fn mark_unlisted(&mut self, worker: &WorkerId) {
        if let Some(owned) = self.workers.get_mut(worker) {
            owned.listing.pending = false;
            owned.scheduler.on_leaving();
        }
    }
}

/// Returns the worker if it is still owned with `epoch`, so that results for an
/// earlier ownership are ignored.
pub(super) fn owned_with_epoch<'a>(
    workers: &'a mut BTreeMap<WorkerId, OwnedWorker>,
    worker: &WorkerId,
    epoch: Epoch,
) -> Option<&'a mut OwnedWorker> {
    workers
        .get_mut(worker)
        .filter(|o| o.scheduler.epoch() == epoch)
}

fn engine_listing(listing: &EngineState) -> EngineListing {
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
