//! The weight store. Loads start at a limited rate, first come, first served,
//! and take longer the more of them are in flight.

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
    load: Duration,
    in_flight_limit: u32,
    interval: Duration,
    /// Earliest time of the next start. The lock is fair, so loads start in
    /// the order of arrival, and a caller that disconnects leaves the queue.
    next_start: tokio::sync::Mutex<Instant>,
    in_flight: AtomicU32,
    max_in_flight: AtomicU32,
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

/// Counts a load as in flight until the guard is dropped.
struct InFlightGuard<'a>(&'a AtomicU32);

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Weights {
    pub(crate) fn new(cfg: &PlatformConfig) -> Self {
        let rate = u64::from(cfg.loads_per_1000_s.max(1));
        Self {
            load: Duration::from_millis(cfg.load_ms),
            in_flight_limit: cfg.load_in_flight.max(1),
            interval: Duration::from_millis(MILLIS_OF_1000_S.div_ceil(rate)),
            next_start: tokio::sync::Mutex::new(Instant::now()),
            in_flight: AtomicU32::new(0),
            max_in_flight: AtomicU32::new(0),
            rng: Mutex::new(StdRng::seed_from_u64(cfg.seed)),
            started: AtomicU64::new(0),
            done: AtomicU64::new(0),
            failed: AtomicU64::new(0),
        }
    }

    pub(crate) fn max_in_flight(&self) -> u32 {
        self.max_in_flight.load(Ordering::Relaxed)
    }

    /// Loads the weights of one adapter. A load that waits to start counts as
    /// in flight.
    pub(crate) async fn load(&self, adapter: &str, faults: &Faults) -> LoadResult {
        let count = self.in_flight.fetch_add(1, Ordering::Relaxed) + 1;
        let _guard = InFlightGuard(&self.in_flight);
        self.max_in_flight.fetch_max(count, Ordering::Relaxed);
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
        *next = Instant::now() + self.interval;
    }

    fn duration(&self) -> Duration {
        let count = self.in_flight.load(Ordering::Relaxed);
        if count <= self.in_flight_limit {
            return self.load;
        }
        self.load * count / self.in_flight_limit
    }

    fn fails(&self, adapter: &str, faults: &Faults) -> bool {
        if faults.fail_adapter.as_deref() == Some(adapter) {
            return true;
        }
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        rng.random_range(0..100) < faults.fail_percent
    }
}
