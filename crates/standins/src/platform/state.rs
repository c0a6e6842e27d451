//! State shared by all connections of the platform stand-in.

use crate::platform::config::{Faults, PlatformConfig, Stats};
use crate::platform::directory::InstanceDirectory;
use crate::platform::store::Store;
use crate::platform::weights::Weights;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Interval at which expired leases are removed.
const LEASE_EXPIRY_INTERVAL: Duration = Duration::from_millis(50);

/// Numbers of calls since the start, reported in [`Stats`].
#[derive(Debug, Default)]
pub(crate) struct Counters {
    pub(crate) reads: AtomicU64,
    pub(crate) writes: AtomicU64,
    pub(crate) watches: AtomicU64,
    pub(crate) leases: AtomicU64,
    pub(crate) refused: AtomicU64,
    pub(crate) instance_reads: AtomicU64,
}

/// The injected faults and the connections that they made silent.
#[derive(Clone, Debug, Default)]
pub(crate) struct FaultState {
    pub(crate) faults: Faults,
    /// For each zone, connections with a lower number than this are silent.
    pub(crate) silent_below: BTreeMap<Box<str>, u64>,
}

/// State of the platform stand-in, shared by its connections and tasks.
#[derive(Debug)]
pub(crate) struct PlatformState {
    store: Mutex<Store>,
    /// Revision of the store, which wakes the watches.
    pub(crate) revision: watch::Sender<i64>,
    directory: Mutex<InstanceDirectory>,
    pub(crate) weights: Weights,
    pub(crate) faults: watch::Sender<FaultState>,
    pub(crate) counters: Counters,
    pub(crate) watch_progress: Duration,
    pub(crate) tasks: TaskTracker,
    pub(crate) stop: CancellationToken,
    connections: AtomicU64,
}

impl PlatformState {
    pub(crate) fn new(cfg: PlatformConfig) -> Self {
        let store = Store::new();
        let lag = Duration::from_millis(cfg.lag_ms);
        Self {
            revision: watch::Sender::new(store.revision()),
            store: Mutex::new(store),
            weights: Weights::new(&cfg),
            directory: Mutex::new(InstanceDirectory::new(lag, cfg.instances)),
            faults: watch::Sender::new(FaultState {
                faults: cfg.faults,
                silent_below: BTreeMap::new(),
            }),
            counters: Counters::default(),
            watch_progress: Duration::from_millis(cfg.watch_progress_ms),
            tasks: TaskTracker::new(),
            stop: CancellationToken::new(),
            connections: AtomicU64::new(0),
        }
    }

    pub(crate) fn store(&self) -> MutexGuard<'_, Store> {
        lock(&self.store)
    }

    pub(crate) fn directory(&self) -> MutexGuard<'_, InstanceDirectory> {
        lock(&self.directory)
    }

    /// Changes the store and wakes the watches.
    pub(crate) fn update<F, T>(&self, f: F) -> T
    where
        F: FnOnce(&mut Store) -> T,
    {
        let mut store = self.store();
        let result = f(&mut store);
        self.revision.send_replace(store.revision());
        result
    }

    /// Returns the number of a new connection.
    pub(crate) fn next_connection_number(&self) -> u64 {
        self.connections.fetch_add(1, Ordering::Relaxed)
    }

    pub(crate) fn set_faults(&self, faults: Faults) {
        let next = self.connections.load(Ordering::Relaxed);
        self.faults.send_modify(|state| {
            for zone in &faults.silence_zones {
                state.silent_below.insert(zone.clone(), next);
            }
            state.faults = faults;
        });
    }

    /// Consumes one of the responses to lose; returns whether there was one.
    pub(crate) fn take_lost_response(&self) -> bool {
        self.faults.send_if_modified(|state| {
            let lost = state.faults.lose_next_answers > 0;
            state.faults.lose_next_answers -= u32::from(lost);
            lost
        })
    }

    /// Consumes one of the transactions to delay and returns its delay, or
    /// `None` if there is none.
    pub(crate) fn take_late_write(&self) -> Option<Duration> {
        let mut delay = None;
        self.faults.send_if_modified(|state| {
            let faults = &mut state.faults;
            if faults.late_next_writes > 0 {
                faults.late_next_writes -= 1;
                delay = Some(Duration::from_millis(faults.late_ms));
            }
            delay.is_some()
        });
        delay
    }

    pub(crate) fn stats(&self) -> Stats {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Stats {
            kv_reads: read(&self.counters.reads),
            kv_writes: read(&self.counters.writes),
            kv_watches: read(&self.counters.watches),
            kv_leases: read(&self.counters.leases),
            refused: read(&self.counters.refused),
            instance_reads: read(&self.counters.instance_reads),
            loads_started: read(&self.weights.started),
            loads_done: read(&self.weights.done),
            loads_failed: read(&self.weights.failed),
            loads_most_at_once: self.weights.max_pending(),
        }
    }
}

/// Removes expired leases until the stand-in shuts down.
pub(crate) async fn expire_leases(shared: Arc<PlatformState>) {
    let tick = || {
        shared
            .stop
            .run_until_cancelled(sleep(LEASE_EXPIRY_INTERVAL))
    };
    while tick().await.is_some() {
        let expired = shared.store().expired_leases(Instant::now());
        for id in expired {
            shared.update(|store| store.lease_revoke(id));
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
