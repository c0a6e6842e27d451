//! The weight store. Loads start at a limited rate, first come, first served,
//! and take longer the more of them are pending (waiting to start or started).

use crate::platform::config::{Faults, PlatformConfig};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

const MILLIS_OF_1000_S: u64 = 1_000_000;

/// The weight store.
#[derive(Debug)]
pub(crate) struct Weights {
    base_load_time: Duration,
    pending_limit: u32,
    start_interval: Duration,
    /// Earliest time of the next start. The lock is fair, so loads start in
    /// the order of arrival, and a caller that disconnects leaves the queue.
    next_start: tokio::sync::Mutex<Instant>,
    pending: AtomicU32,
    max_pending: AtomicU32,
    rng: Mutex<StdRng>,
    pub(crate) started: AtomicU64,
    pub(crate) done: AtomicU64,
    pub(crate) failed: AtomicU64,
}

/// Result of a load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LoadResult {
    Done,
    Failed,
}

/// Counts a load as pending until the guard is dropped.
struct PendingGuard<'a>(&'a AtomicU32);

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Weights {
    pub(crate) fn new(cfg: &PlatformConfig) -> Self {
        let rate = u64::from(cfg.loads_per_1000_s.max(1));
        Self {
            base_load_time: Duration::from_millis(cfg.load_ms),
            pending_limit: cfg.load_in_flight.max(1),
            start_interval: Duration::from_millis(MILLIS_OF_1000_S.div_ceil(rate)),
            next_start: tokio::sync::Mutex::new(Instant::now()),
            pending: AtomicU32::new(0),
            max_pending: AtomicU32::new(0),
            rng: Mutex::new(StdRng::seed_from_u64(cfg.seed)),
            started: AtomicU64::new(0),
            done: AtomicU64::new(0),
            failed: AtomicU64::new(0),
        }
    }

    pub(crate) fn max_pending(&self) -> u32 {
        self.max_pending.load(Ordering::Relaxed)
    }

    /// Loads the weights of one adapter. The load counts as pending from the
    /// call on, also while it waits to start.
    pub(crate) async fn load(&self, adapter: &str, faults: &Faults) -> LoadResult {
        let count = self.pending.fetch_add(1, Ordering::Relaxed) + 1;
        let _guard = PendingGuard(&self.pending);
        self.max_pending.fetch_max(count, Ordering::Relaxed);
        self.wait_for_start().await;
        self.started.fetch_add(1, Ordering::Relaxed);
        sleep(self.duration()).await;
        if self.fails(adapter, faults) {
            self.failed.fetch_add(1, Ordering::Relaxed);
            return LoadResult::Failed;
        }
        self.done.fetch_add(1, Ordering::Relaxed);
        LoadResult::Done
    }

    async fn wait_for_start(&self) {
        let mut next = self.next_start.lock().await;
        sleep_until(*next).await;
        *next = Instant::now() + self.start_interval;
    }

    fn duration(&self) -> Duration {
        let count = self.pending.load(Ordering::Relaxed);
        if count <= self.pending_limit {
            return self.base_load_time;
        }
        self.base_load_time * count / self.pending_limit
    }

    fn fails(&self, adapter: &str, faults: &Faults) -> bool {
        if faults.fail_adapter.as_deref() == Some(adapter) {
            return true;
        }
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        rng.random_range(0..100) < faults.fail_percent
    }
}
