//! Handling of callers' requests.
//!
//! A traffic thread checks a request against the rules, claims its idempotency
//! key if it is not repeatable, acquires a permit from the owner of a worker,
//! sends the request to that worker and relays the response. Decisions about
//! workers are made by the control thread.

mod attempts;
mod chat;
mod check;
mod claims;
mod lifecycle;
mod permits;
mod plain;
mod refusals;
mod relay;
mod token_time;

pub(crate) use token_time::TokenTime;

use crate::clients::Clients;
use crate::clock::Clock;
use crate::control::{CommandTx, Identity};
use crate::metrics::Metrics;
use reedford_core::frequency::Frequency;
use reedford_core::limits::Limits;
use reedford_core::placement::ClusterView;
use reedford_core::retry::RetryBudget;
use reedford_core::{InstanceId, PermitId};
use reedford_front::{CallResponse, ChatCall, Handler, PlainCall, Readiness};
use reedford_rules::RulesDocument;
use reedford_settings::Settings;
use reedford_store::LeaseId;
use reedford_wire::instances::Instance;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Factor from request counts to the unit of `WorkerSummary::slot_cost`.
const MILLI_PER_UNIT: f64 = 1_000.0;

/// State shared by all requests of an entry instance.
#[derive(Debug)]
pub(crate) struct Traffic {
    pub(crate) cfg: Arc<Settings>,
    pub(crate) me: Identity,
    pub(crate) clock: Clock,
    pub(crate) clients: Arc<Clients>,
    pub(crate) control: CommandTx,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) view: watch::Receiver<Arc<ClusterView>>,
    pub(crate) rules: watch::Receiver<Option<Arc<RulesDocument>>>,
    pub(crate) instances: watch::Receiver<Arc<BTreeMap<Box<str>, Instance>>>,
    pub(crate) limits: Mutex<Limits>,
    pub(crate) retries: Mutex<RetryBudget>,
    pub(crate) frequency: Mutex<Frequency>,
    pub(crate) token_time: TokenTime,
    pub(crate) tasks: TaskTracker,
    pub(crate) stopping: CancellationToken,
    /// Serial number of the next attempt or permit request.
    pub(crate) next_serial: AtomicU64,
    /// Requests in this instance.
    pub(crate) running: AtomicUsize,
    /// Lease in the key-value service to which new claims are bound.
    pub(crate) claim_lease: watch::Receiver<Option<LeaseId>>,
}

/// A request that counts towards the bound on running requests until this is
/// dropped.
#[derive(Debug)]
pub(crate) struct RunningRequest {
    traffic: Arc<Traffic>,
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let before = self.traffic.running.fetch_sub(1, Ordering::Relaxed);
        self.traffic.metrics.set_requests(before - 1);
    }
}

impl Traffic {
    /// Returns an id that no permit or attempt has used before.
    fn next_id(&self) -> PermitId {
        PermitId {
            instance: self.me.instance.clone(),
            incarnation: self.me.incarnation,
            serial: self.next_serial.fetch_add(1, Ordering::Relaxed),
        }
    }

    fn view(&self) -> Arc<ClusterView> {
        Arc::clone(&self.view.borrow())
    }

    fn rules_document(&self) -> Option<Arc<RulesDocument>> {
        self.rules.borrow().clone()
    }

    /// Returns the lease to which new claims are bound.
    fn claim_lease(&self) -> Option<LeaseId> {
        *self.claim_lease.borrow()
    }

    /// Estimates the request frequency of an adapter over all instances, in
    /// thousandths of its decayed count. Extrapolates from this instance, because
    /// callers are spread evenly over the instances.
    fn request_frequency(&self, adapter: &str, view: &ClusterView) -> u32 {
        let instances: BTreeSet<&InstanceId> = view.workers.values().map(|w| &w.owner).collect();
        let now = self.clock.now();
        let count = lock(&self.frequency).count(adapter, now);
        (count * instances.len().max(1) as f64 * MILLI_PER_UNIT) as u32
    }

    /// Counts a request, or returns `None` if the bound is reached.
    fn try_begin_request(self: &Arc<Self>) -> Option<RunningRequest> {
        let before = self.running.fetch_add(1, Ordering::Relaxed);
        let running = RunningRequest {
            traffic: Arc::clone(self),
        };
        self.metrics.set_requests(before + 1);
        (before < self.cfg.bounds.requests).then_some(running)
    }

    /// Withdraws a retry from the budget. Returns `false` if the budget is spent.
    fn try_withdraw_retry(&self, cause: &'static str) -> bool {
        let allowed = lock(&self.retries).try_withdraw();
        self.metrics
            .record_retry(if allowed { cause } else { "budget_empty" });
        allowed
    }
}

/// Serves callers.
#[derive(Clone, Debug)]
pub(crate) struct CallerHandler(pub(crate) Arc<Traffic>);

impl Handler for CallerHandler {
    async fn chat(&self, call: ChatCall) -> CallResponse {
        chat::handle(&self.0, call).await
    }

    async fn plain(&self, call: PlainCall) -> CallResponse {
        plain::handle(&self.0, call).await
    }

    fn readiness(&self) -> Readiness {
        let traffic = &self.0;
        if traffic.stopping.is_cancelled() {
            return Readiness::NotReady {
                reason: "stopping".into(),
            };
        }
        match traffic.rules_document() {
            None => Readiness::NotReady {
                reason: "no rules yet".into(),
            },
            Some(_) => Readiness::Ready,
        }
    }

    fn metrics(&self) -> String {
        self.0.metrics.text()
    }
}

/// Locks a mutex, even if a holder has panicked: the values in this module are
/// never left half-updated.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
