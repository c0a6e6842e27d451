//! Orders to engines: evictions and loads.

use super::command::{Event, Eviction, IntentTaken};
use super::state::{Control, Fence};
use super::workers::owned_at;
use crate::clients::Clients;
use crate::clock::Clock;
use reedford_core::lease::LeaseState;
use reedford_core::scheduler::LoadError;
use reedford_core::{AdapterVersion, Epoch, Now, WorkerId};
use reedford_store::{Entry, KeyValue as _, Swapped};
use reedford_targets::OrderError;
use reedford_wire::engine::{LoadOrder, RefusalCode};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Times that an intent is written, when the answer to an earlier write was
/// lost.
const INTENT_TRIES: u32 = 2;
/// Longest time that a load may take.
const LOAD_LIMIT: Duration = Duration::from_secs(10);

/// What an owner writes down before it orders an eviction from an engine that
/// ignores fencing numbers. A later owner swaps the record when it takes the
/// worker over, so that the old one can write no other.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
struct IntentRecord {
    epoch: Epoch,
    evicting: BTreeSet<AdapterVersion>,
}

/// The record of a worker as its owner knows it. It names every eviction whose
/// order may still take effect.
#[derive(Debug)]
pub(super) struct IntentLog {
    /// Revision of the record in the store.
    revision: i64,
    /// Evictions of this owner that may still take effect.
    own: BTreeSet<AdapterVersion>,
    /// Evictions of old owners, kept until then.
    inherited: BTreeSet<AdapterVersion>,
    inherited_until: Now,
}

impl IntentLog {
    pub(super) fn new(taken: &IntentTaken, inherited_until: Now) -> Self {
        Self {
            revision: taken.revision,
            own: BTreeSet::new(),
            inherited: taken.evicting.clone(),
            inherited_until,
        }
    }

    /// The record that adds an eviction of `target`.
    fn with(&self, target: &AdapterVersion, epoch: Epoch, now: Now) -> IntentRecord {
        let mut evicting = self.own.clone();
        evicting.insert(target.clone());
        if now < self.inherited_until {
            evicting.extend(self.inherited.iter().cloned());
        }
        IntentRecord { epoch, evicting }
    }
}

/// All that an eviction needs.
struct EvictionTask {
    clients: Arc<Clients>,
    clock: Clock,
    address: SocketAddr,
    intent_key: String,
    fence: Fence,
    epoch: Epoch,
    target: AdapterVersion,
    proved_until: Now,
}

impl Control {
    pub(super) fn order(
        &mut self,
        worker: &WorkerId,
        evict: Option<AdapterVersion>,
        load: AdapterVersion,
    ) {
        match evict {
            None => self.start_load(worker, load),
            Some(evict) => self.start_eviction(worker, evict, load),
        }
    }

    pub(super) fn on_evicted(
        &mut self,
        worker: &WorkerId,
        epoch: Epoch,
        target: &AdapterVersion,
        eviction: Eviction,
    ) {
        let decision = self.decision();
        let bar_until = decision.now + self.membership.times.joiner_wait();
        let Some(owned) = owned_at(&mut self.workers, worker, epoch) else {
            return;
        };
        let gone = eviction == Eviction::Gone;
        owned
            .scheduler
            .on_evicted(target, gone, &decision.cx(&self.frequency));
        if eviction == Eviction::Unknown {
            owned
                .scheduler
                .block_targets(BTreeSet::from([target.clone()]), bar_until);
        }
        let Some(load) = owned.next_loads.remove(target) else {
            return;
        };
        tracing::info!(event = "evicted", %worker, adapter = %target, ?eviction);
        if gone && self.membership.lease.state(decision.now) == LeaseState::Held {
            self.metrics.eviction();
            self.start_load(worker, load);
        } else {
            self.on_loaded(worker, epoch, &load, Err(LoadError::NoSlot));
        }
    }

    pub(super) fn on_loaded(
        &mut self,
        worker: &WorkerId,
        epoch: Epoch,
        target: &AdapterVersion,
        outcome: Result<(), LoadError>,
    ) {
        self.metrics.load(outcome);
        self.timers.changed = true;
        tracing::info!(event = "loaded", %worker, adapter = %target, ?outcome);
        let decision = self.decision();
        if let Some(owned) = owned_at(&mut self.workers, worker, epoch) {
            owned
                .scheduler
                .on_loaded(target, outcome, &decision.cx(&self.frequency));
            if outcome.is_err() {
                owned.listing.due = decision.now;
            }
        }
    }

    /// Finds out what the old owner of an engine that ignores fencing numbers
    /// was evicting, and ends its power to write further intents.
    pub(super) fn take_intent(&mut self, worker: &WorkerId, epoch: Epoch) {
        let clients = Arc::clone(&self.clients);
        let key = intent_key(&self.me.zone, worker);
        let worker = worker.clone();
        self.metrics.platform_call("intent");
        self.tasks.spawn(async move {
            let taken = take_intent(&clients, &key, epoch).await;
            Event::Intent {
                worker,
                epoch,
                taken,
            }
        });
    }

    /// Makes an engine refuse late orders of old owners.
    pub(super) fn raise_fence(&mut self, worker: &WorkerId, address: SocketAddr, epoch: Epoch) {
        let clients = Arc::clone(&self.clients);
        let worker = worker.clone();
        self.tasks.spawn(async move {
            let raised = raise_fence(&clients, address, epoch).await;
            Event::FenceRaised {
                worker,
                epoch,
                raised,
            }
        });
    }

    fn start_eviction(&mut self, worker: &WorkerId, evict: AdapterVersion, load: AdapterVersion) {
        let address = self.instances.get(worker).map(|i| i.address);
        let proved_until = self.membership.lease.proved_until().unwrap_or_default();
        let Some(owned) = self.workers.get_mut(worker) else {
            return;
        };
        let epoch = owned.scheduler.epoch();
        owned.next_loads.insert(evict.clone(), load);
        let Some(address) = address else {
            self.on_evicted(worker, epoch, &evict, Eviction::Kept);
            return;
        };
        let task = EvictionTask {
            clients: Arc::clone(&self.clients),
            clock: self.clock,
            address,
            intent_key: intent_key(&self.me.zone, worker),
            fence: owned.fence.clone(),
            epoch,
            target: evict.clone(),
            proved_until,
        };
        let worker = worker.clone();
        self.tasks.spawn(async move {
            let eviction = task.run().await;
            Event::Evicted {
                worker,
                epoch,
                target: evict,
                eviction,
            }
        });
    }

    fn start_load(&mut self, worker: &WorkerId, target: AdapterVersion) {
        let address = self.instances.get(worker).map(|i| i.address);
        let Some(owned) = self.workers.get(worker) else {
            return;
        };
        let epoch = owned.scheduler.epoch();
        let Some(address) = address else {
            self.on_loaded(worker, epoch, &target, Err(LoadError::Failed));
            return;
        };
        let targets = Arc::clone(&self.clients.targets);
        let worker = worker.clone();
        let order = load_order(&target, epoch);
        self.tasks.spawn(async move {
            let loaded = targets.load(address, &order, LOAD_LIMIT).await;
            let outcome = loaded.map(|_| ()).map_err(|error| {
                tracing::warn!(event = "load_failed", %worker, adapter = %target, %error);
                load_fault(&error)
            });
            Event::Loaded {
                worker,
                epoch,
                target,
                outcome,
            }
        });
    }
}

impl EvictionTask {
    async fn run(self) -> Eviction {
        if !self.write_intent().await {
            return Eviction::Kept;
        }
        // Writing the intent took time: the lease has to be proved still.
        if self.clock.now() >= self.proved_until {
            self.settle_intent().await;
            return Eviction::Kept;
        }
        let eviction = self.unload().await;
        if eviction != Eviction::Unknown {
            self.settle_intent().await;
        }
        eviction
    }

    async fn unload(&self) -> Eviction {
        let order = load_order(&self.target, self.epoch);
        match self.clients.targets.unload(self.address, &order).await {
            Ok(_) => Eviction::Gone,
            Err(OrderError::Refused(refusal)) => refused_eviction(refusal.code),
            Err(OrderError::NotSent(_)) => Eviction::Kept,
            Err(OrderError::Unknown(_)) => Eviction::Unknown,
        }
    }

    /// Writes down what will be evicted, where the engine would not protect
    /// itself from this order when it comes late.
    async fn write_intent(&self) -> bool {
        let known = match &self.fence {
            Fence::Checked => return true,
            Fence::IntentUnknown | Fence::Unraised => return false,
            Fence::Intent(known) => known,
        };
        let mut log = known.lock().await;
        for _ in 0..INTENT_TRIES {
            let record = log.with(&self.target, self.epoch, self.clock.now());
            match swap_intent(&self.clients, &self.intent_key, log.revision, &record).await {
                Some(Swapped::Done { revision }) => {
                    log.revision = revision;
                    log.own.insert(self.target.clone());
                    return true;
                }
                // Only this owner writes under its epoch: the answer to an
                // earlier write of ours was lost.
                Some(Swapped::Lost {
                    current: Some(current),
                }) if self.is_own(&current) => {
                    log.revision = current.revision;
                }
                Some(Swapped::Lost { .. }) | None => return false,
            }
        }
        false
    }

    fn is_own(&self, entry: &Entry) -> bool {
        let record: Result<IntentRecord, _> = serde_json::from_slice(&entry.value);
        record.is_ok_and(|record| record.epoch == self.epoch)
    }

    /// Takes an eviction that can no longer take effect out of the next record.
    async fn settle_intent(&self) {
        if let Fence::Intent(log) = &self.fence {
            log.lock().await.own.remove(&self.target);
        }
    }
}

async fn take_intent(clients: &Clients, key: &str, epoch: Epoch) -> Option<IntentTaken> {
    let current = clients.kv.get(key).await.ok()?;
    let (known, record) = match current {
        Some(entry) => (entry.revision, serde_json::from_slice(&entry.value).ok()?),
        None => (0, IntentRecord::default()),
    };
    // Taking the record twice must not forget what it names.
    let record = IntentRecord {
        epoch,
        evicting: record.evicting,
    };
    match swap_intent(clients, key, known, &record).await? {
        Swapped::Done { revision } => Some(IntentTaken {
            revision,
            evicting: record.evicting,
        }),
        Swapped::Lost { .. } => None,
    }
}

async fn swap_intent(
    clients: &Clients,
    key: &str,
    expected: i64,
    record: &IntentRecord,
) -> Option<Swapped> {
    let value = serde_json::to_vec(record).ok()?;
    clients.kv.swap(key, expected, value).await.ok()
}

/// Makes an engine that checks fencing numbers see `epoch`, by an order to load
/// what it holds already. An order of an old owner that comes later is refused.
/// An engine that holds nothing has nothing that a late order could evict.
async fn raise_fence(clients: &Clients, address: SocketAddr, epoch: Epoch) -> bool {
    let Ok(listing) = clients.targets.listing(address).await else {
        return false;
    };
    let Some(slot) = listing.adapters.iter().find(|slot| !slot.loading) else {
        return listing.adapters.is_empty();
    };
    let target = AdapterVersion::new(&slot.adapter, &slot.version);
    let order = load_order(&target, epoch);
    clients
        .targets
        .load(address, &order, LOAD_LIMIT)
        .await
        .is_ok()
}

fn refused_eviction(code: RefusalCode) -> Eviction {
    match code {
        RefusalCode::AdapterNotLoaded => Eviction::Gone,
        RefusalCode::BadRequest
        | RefusalCode::Full
        | RefusalCode::Leaving
        | RefusalCode::LoadFailed
        | RefusalCode::NoSlot
        | RefusalCode::OldFence => Eviction::Kept,
    }
}

fn load_fault(error: &OrderError) -> LoadError {
    match error {
        OrderError::Refused(refusal) => match refusal.code {
            RefusalCode::NoSlot => LoadError::NoSlot,
            RefusalCode::OldFence => LoadError::OldFence,
            RefusalCode::AdapterNotLoaded
            | RefusalCode::BadRequest
            | RefusalCode::Full
            | RefusalCode::Leaving
            | RefusalCode::LoadFailed => LoadError::Failed,
        },
        OrderError::NotSent(_) | OrderError::Unknown(_) => LoadError::Failed,
    }
}

fn load_order(target: &AdapterVersion, fence: Epoch) -> LoadOrder {
    LoadOrder {
        adapter: target.adapter.clone(),
        version: target.version.clone(),
        fence,
    }
}

fn intent_key(zone: &str, worker: &str) -> String {
    format!("reedford/intents/{zone}/{worker}")
}
