//! Orders to engines: evictions and loads.
//!
//! An order of a previous owner that an engine executes late could evict an
//! adapter that the current owner has granted permits on. Engines that check
//! fencing tokens refuse such orders. For the others, the owner records each
//! eviction in the store before it orders it, and the next owner grants nothing
//! on the recorded adapters until the order can no longer take effect.

use super::command::{ClaimedIntents, Event, EvictionOutcome};
use super::state::{Control, Fencing};
use super::workers::owned_with_epoch;
use crate::clients::Clients;
use crate::clock::Clock;
use reedford_core::lease::LeaseState;
use reedford_core::scheduler::LoadError;
use reedford_core::{AdapterVersion, Epoch, Now, WorkerId};
use reedford_store::{Entry, KeyValue as _, TransactionOutcome};
use reedford_targets::OrderError;
use reedford_wire::engine::{AdapterOrder, RefusalCode};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Largest number of attempts to write an intent record. The second follows if
/// the response to an earlier write was lost.
const INTENT_WRITE_ATTEMPTS: u32 = 2;
/// Longest time that a load may take.
const LOAD_TIMEOUT: Duration = Duration::from_secs(10);

/// The record that an owner writes before it orders an eviction from an engine
/// that ignores fencing tokens. The next owner replaces the record by
/// compare-and-swap when it claims the worker, after which the previous owner's
/// writes fail.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
struct IntentRecord {
    epoch: Epoch,
    evicting: BTreeSet<AdapterVersion>,
}

/// The owner's copy of a worker's intent record, which lists every eviction that
/// may still take effect.
#[derive(Debug)]
pub(super) struct IntentLog {
    /// Revision of the record in the store.
    revision: i64,
    /// This owner's evictions that may still take effect.
    own: BTreeSet<AdapterVersion>,
    /// Evictions of previous owners, kept until `inherited_until`.
    inherited: BTreeSet<AdapterVersion>,
    inherited_until: Now,
}

impl IntentLog {
    pub(super) fn new(claimed: &ClaimedIntents, inherited_until: Now) -> Self {
        Self {
            revision: claimed.revision,
            own: BTreeSet::new(),
            inherited: claimed.evicting.clone(),
            inherited_until,
        }
    }

    /// Returns the record to write before `target` is evicted.
    fn record_with(&self, target: &AdapterVersion, epoch: Epoch, now: Now) -> IntentRecord {
        let mut evicting = self.own.clone();
        evicting.insert(target.clone());
        if now < self.inherited_until {
            evicting.extend(self.inherited.iter().cloned());
        }
        IntentRecord { epoch, evicting }
    }
}

/// An eviction, which runs in a task of its own.
struct EvictionTask {
    clients: Arc<Clients>,
    clock: Clock,
    address: SocketAddr,
    intent_key: String,
    fencing: Fencing,
    epoch: Epoch,
    target: AdapterVersion,
    lease_valid_until: Now,
}

impl Control {
    /// Orders a load, after the eviction of `evict` if there is one.
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
        eviction: EvictionOutcome,
    ) {
        let inputs = self.decision_inputs();
        // The code assumes that a pending eviction no longer takes effect after
        // the longest wait for a previous owner.
        let block_until = inputs.now + self.membership.times.joiner_wait();
        let Some(owned) = owned_with_epoch(&mut self.workers, worker, epoch) else {
            return;
        };
        let gone = eviction == EvictionOutcome::Gone;
        owned
            .scheduler
            .on_evicted(target, gone, &inputs.cx(&self.frequency));
        if eviction == EvictionOutcome::Unknown {
            owned
                .scheduler
                .block_targets(BTreeSet::from([target.clone()]), block_until);
        }
        let Some(load) = owned.next_loads.remove(target) else {
            return;
        };
        tracing::info!(event = "evicted", %worker, adapter = %target, ?eviction);
        if gone && self.membership.lease.state(inputs.now) == LeaseState::Held {
            self.metrics.record_eviction();
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
        self.metrics.record_load(outcome);
        self.periodic.loads_changed = true;
        tracing::info!(event = "loaded", %worker, adapter = %target, ?outcome);
        let inputs = self.decision_inputs();
        if let Some(owned) = owned_with_epoch(&mut self.workers, worker, epoch) {
            owned
                .scheduler
                .on_loaded(target, outcome, &inputs.cx(&self.frequency));
            if outcome.is_err() {
                owned.listing.due = inputs.now;
            }
        }
    }

    /// Reads which evictions previous owners of a worker recorded, and makes
    /// their further writes of the record fail. Needed for engines that ignore
    /// fencing tokens.
    pub(super) fn claim_intents(&mut self, worker: &WorkerId, epoch: Epoch) {
        let clients = Arc::clone(&self.clients);
        let key = intent_key(&self.me.zone, worker);
        let worker = worker.clone();
        self.metrics.record_platform_call("intent");
        self.tasks.spawn(async move {
            let claimed = claim_intents(&clients, &key, epoch).await;
            Event::IntentsClaimed {
                worker,
                epoch,
                claimed,
            }
        });
    }

    /// Makes an engine that checks fencing tokens refuse late orders of
    /// previous owners.
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
        let lease_valid_until = self.membership.lease.proved_until().unwrap_or_default();
        let Some(owned) = self.workers.get_mut(worker) else {
            return;
        };
        let epoch = owned.scheduler.epoch();
        owned.next_loads.insert(evict.clone(), load);
        let Some(address) = address else {
            self.on_evicted(worker, epoch, &evict, EvictionOutcome::Kept);
            return;
        };
        let task = EvictionTask {
            clients: Arc::clone(&self.clients),
            clock: self.clock,
            address,
            intent_key: intent_key(&self.me.zone, worker),
            fencing: owned.fencing.clone(),
            epoch,
            target: evict.clone(),
            lease_valid_until,
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
        let order = adapter_order(&target, epoch);
        self.tasks.spawn(async move {
            let loaded = targets.load(address, &order, LOAD_TIMEOUT).await;
            let outcome = loaded.map(|_| ()).map_err(|error| {
                tracing::warn!(event = "load_failed", %worker, adapter = %target, %error);
                load_error(&error)
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
    async fn run(self) -> EvictionOutcome {
        if !self.write_intent().await {
            return EvictionOutcome::Kept;
        }
        // The lease may have ended while the intent was written.
        if self.clock.now() >= self.lease_valid_until {
            self.clear_intent().await;
            return EvictionOutcome::Kept;
        }
        let eviction = self.unload().await;
        if eviction != EvictionOutcome::Unknown {
            self.clear_intent().await;
        }
        eviction
    }

    async fn unload(&self) -> EvictionOutcome {
        let order = adapter_order(&self.target, self.epoch);
        match self.clients.targets.unload(self.address, &order).await {
            Ok(_) => EvictionOutcome::Gone,
            Err(OrderError::Refused(refusal)) => refused_eviction(refusal.code),
            Err(OrderError::NotSent(_)) => EvictionOutcome::Kept,
            Err(OrderError::Unknown(_)) => EvictionOutcome::Unknown,
        }
    }

    /// Records the eviction in the store if the engine does not check fencing
    /// tokens. Returns whether the eviction may be ordered.
    async fn write_intent(&self) -> bool {
        let log = match &self.fencing {
            Fencing::Engine => return true,
            Fencing::IntentsNotRead | Fencing::EngineNotRaised => return false,
            Fencing::Intents(log) => log,
        };
        let mut log = log.lock().await;
        for _ in 0..INTENT_WRITE_ATTEMPTS {
            let record = log.record_with(&self.target, self.epoch, self.clock.now());
            match swap_intent(&self.clients, &self.intent_key, log.revision, &record).await {
                Some(TransactionOutcome::Committed { revision, .. }) => {
                    log.revision = revision;
                    log.own.insert(self.target.clone());
                    return true;
                }
                // Only this owner writes with its epoch, so an earlier write
                // succeeded and its response was lost.
                Some(TransactionOutcome::Conflict {
                    current: Some(current),
                    ..
                }) if self.is_own(&current) => {
                    log.revision = current.revision;
                }
                Some(TransactionOutcome::Conflict { .. }) | None => return false,
            }
        }
        false
    }

    fn is_own(&self, entry: &Entry) -> bool {
        let record: Result<IntentRecord, _> = serde_json::from_slice(&entry.value);
        record.is_ok_and(|record| record.epoch == self.epoch)
    }

    /// Leaves the eviction, which can no longer take effect, out of the next
    /// record.
    async fn clear_intent(&self) {
        if let Fencing::Intents(log) = &self.fencing {
            log.lock().await.own.remove(&self.target);
        }
    }
}

async fn claim_intents(clients: &Clients, key: &str, epoch: Epoch) -> Option<ClaimedIntents> {
    let current = clients.kv.get(key).await.ok()?;
    let (revision, record) = match current {
        Some(entry) => (entry.revision, serde_json::from_slice(&entry.value).ok()?),
        None => (0, IntentRecord::default()),
    };
    // Claiming the record again must keep the evictions that it lists.
    let record = IntentRecord {
        epoch,
        evicting: record.evicting,
    };
    match swap_intent(clients, key, revision, &record).await? {
        TransactionOutcome::Committed { revision, .. } => Some(ClaimedIntents {
            revision,
            evicting: record.evicting,
        }),
        TransactionOutcome::Conflict { .. } => None,
    }
}

async fn swap_intent(
    clients: &Clients,
    key: &str,
    expected: i64,
    record: &IntentRecord,
) -> Option<TransactionOutcome> {
    let value = serde_json::to_vec(record).ok()?;
    clients.kv.compare_and_swap(key, expected, value).await.ok()
}

/// Raises an engine's fencing token to `epoch` by ordering a load of an adapter
/// that is already resident. The engine then refuses later orders with lower
/// tokens. Without a resident adapter there is nothing that a late order could
/// evict, so no order is needed.
async fn raise_fence(clients: &Clients, address: SocketAddr, epoch: Epoch) -> bool {
    let Ok(listing) = clients.targets.listing(address).await else {
        return false;
    };
    let Some(slot) = listing.adapters.iter().find(|slot| !slot.loading) else {
        return listing.adapters.is_empty();
    };
    let target = AdapterVersion::new(&slot.adapter, &slot.version);
    let order = adapter_order(&target, epoch);
    clients
        .targets
        .load(address, &order, LOAD_TIMEOUT)
        .await
        .is_ok()
}

fn refused_eviction(code: RefusalCode) -> EvictionOutcome {
    match code {
        RefusalCode::AdapterNotLoaded => EvictionOutcome::Gone,
        RefusalCode::BadRequest
        | RefusalCode::Full
        | RefusalCode::Leaving
        | RefusalCode::LoadFailed
        | RefusalCode::NoSlot
        | RefusalCode::OldFence => EvictionOutcome::Kept,
    }
}

fn load_error(error: &OrderError) -> LoadError {
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

fn adapter_order(target: &AdapterVersion, fence: Epoch) -> AdapterOrder {
    AdapterOrder {
        adapter: target.adapter.clone(),
        version: target.version.clone(),
        fence,
    }
}

fn intent_key(zone: &str, worker: &str) -> String {
    format!("reedford/intents/{zone}/{worker}")
}
