//! Orders to engines: evictions and loads.

use super::command::{Event, Eviction, IntentTaken};
use super::state::{Control, Fence};
use super::workers::owned_at;
use crate::clients::Clients;
use crate::clock::Clock;
use reedford_core::lease::LeaseState;
use reedford_core::scheduler::LoadFault;
use reedford_core::{AdapterVersion, Epoch, Now, WorkerId};
use reedford_platform::{KeyValue as _, Swapped};
use reedford_targets::OrderError;
use reedford_wire::engine::{LoadOrder, RefusalCode};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Longest time that a load may take.
const LOAD_LIMIT: Duration = Duration::from_secs(10);

/// What an owner writes down before it orders an eviction from an engine that
/// ignores fencing numbers. A later owner swaps the record when it takes the
/// worker over, so that the old one can write no other.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
struct IntentRecord {
    epoch: Epoch,
    evicting: Option<AdapterVersion>,
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
                .bar(BTreeSet::from([target.clone()]), bar_until);
        }
        let Some(load) = owned.next_loads.remove(target) else {
            return;
        };
        tracing::info!(event = "evicted", %worker, adapter = %target, ?eviction);
        if gone && self.membership.lease.state(decision.now) == LeaseState::Held {
            self.metrics.eviction();
            self.start_load(worker, load);
        } else {
            self.on_loaded(worker, epoch, &load, Err(LoadFault::NoSlot));
        }
    }

    pub(super) fn on_loaded(
        &mut self,
        worker: &WorkerId,
        epoch: Epoch,
        target: &AdapterVersion,
        outcome: Result<(), LoadFault>,
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
            self.on_loaded(worker, epoch, &target, Err(LoadFault::Failed));
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
            return Eviction::Kept;
        }
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
            Fence::IntentUnknown => return false,
            Fence::Intent(known) => known,
        };
        let record = IntentRecord {
            epoch: self.epoch,
            evicting: Some(self.target.clone()),
        };
        let Ok(value) = serde_json::to_vec(&record) else {
            return false;
        };
        let mut revision = known.lock().await;
        let swapped = self
            .clients
            .kv
            .swap(&self.intent_key, *revision, value.clone())
            .await;
        match swapped {
            Ok(Swapped::Done { revision: new }) => {
                *revision = new;
                true
            }
            Ok(Swapped::Lost {
                current: Some(current),
            }) if current.value == value => {
                // The answer to an earlier, identical write was lost.
                *revision = current.revision;
                true
            }
            Ok(Swapped::Lost { .. }) | Err(_) => false,
        }
    }
}

async fn take_intent(clients: &Clients, key: &str, epoch: Epoch) -> Option<IntentTaken> {
    let current = clients.kv.get(key).await.ok()?;
    let (known, record) = match current {
        Some(entry) => (entry.revision, serde_json::from_slice(&entry.value).ok()?),
        None => (0, IntentRecord::default()),
    };
    // Taking an intent twice must not forget it: it is kept in the new record.
    let evicting = record.evicting;
    let value = serde_json::to_vec(&IntentRecord {
        epoch,
        evicting: evicting.clone(),
    })
    .ok()?;
    match clients.kv.swap(key, known, value).await {
        Ok(Swapped::Done { revision }) => Some(IntentTaken { revision, evicting }),
        Ok(Swapped::Lost { .. }) | Err(_) => None,
    }
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

fn load_fault(error: &OrderError) -> LoadFault {
    match error {
        OrderError::Refused(refusal) => match refusal.code {
            RefusalCode::NoSlot => LoadFault::NoSlot,
            RefusalCode::OldFence => LoadFault::OldFence,
            RefusalCode::AdapterNotLoaded
            | RefusalCode::BadRequest
            | RefusalCode::Full
            | RefusalCode::Leaving
            | RefusalCode::LoadFailed => LoadFault::Failed,
        },
        OrderError::NotSent(_) | OrderError::Unknown(_) => LoadFault::Failed,
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
