//! Waiting for a turn to use a store that does not respond.

use crate::clock::Clock;
use reedford_fleet::Now;
use reedford_fleet::store_retries::StoreRetries as Turns;
use std::ops::Range;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout_at;

/// Factors on the pauses.
const JITTER: Range<f64> = 0.75..1.25;

/// Shared by the watches of a node.
#[derive(Debug)]
pub(crate) struct StoreRetries {
    turns: Mutex<Turns>,
    recovered: Notify,
}

impl StoreRetries {
    pub(crate) fn new(staleness_limit: Duration) -> Self {
        Self {
            turns: Mutex::new(Turns::new(staleness_limit)),
            recovered: Notify::new(),
        }
    }

    /// Records a response, which ends all waits.
    pub(crate) fn on_response(&self) {
        if self.lock().on_response() {
            self.recovered.notify_waiters();
        }
    }

    pub(crate) fn on_failure(&self, now: Now) {
        self.lock().on_failure(now, rand::random_range(JITTER));
    }

    /// Takes a turn if one is due and returns true. Otherwise waits until one is
    /// due, without taking it, and returns false: another source may be available
    /// by then.
    pub(crate) async fn take_or_await_turn(&self, clock: &Clock) -> bool {
        let recovered = self.recovered.notified();
        let mut recovered = std::pin::pin!(recovered);
        recovered.as_mut().enable();
        let turn = self
            .lock()
            .try_take_turn(clock.now(), rand::random_range(JITTER));
        let Err(next) = turn else { return true };
        if timeout_at(clock.instant(next), recovered).await.is_err() {
            tracing::trace!(event = "store_turn");
        }
        false
    }

    fn lock(&self) -> MutexGuard<'_, Turns> {
        self.turns.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
