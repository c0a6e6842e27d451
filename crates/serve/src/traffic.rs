//! The way of a request through an entry instance.
//!
//! Traffic threads check the request against the rules, take a claim for it
//! if it may run only once, get a permit from the owner of a worker, send the
//! request there themselves and pass the answer on. They decide nothing about
//! workers; see the control thread for that.

mod attempts;
mod chat;
mod check;
mod claims;
mod ends;
mod pace;
mod permits;
mod plain;
mod refusals;
mod relay;

pub(crate) use pace::Pace;

use crate::clients::Clients;
use crate::clock::Clock;
use crate::control::{CommandTx, Identity};
use crate::metrics::Metrics;
use reedford_core::frequency::Frequency;
use reedford_core::limits::Limits;
use reedford_core::placement::ClusterView;
use reedford_core::retry::RetryBudget;
use reedford_core::{InstanceId, PermitId};
use reedford_front::{Answer, ChatCall, Handler, PlainCall, Readiness};
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

/// Thousandths in one.
const MILLI: f64 = 1_000.0;

/// What all requests of an entry instance share.
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
    pub(crate) pace: Pace,
    pub(crate) tasks: TaskTracker,
    pub(crate) stopping: CancellationToken,
    pub(crate) serial: AtomicU64,
    pub(crate) running: AtomicUsize,
    pub(crate) claim_lease: watch::Receiver<Option<LeaseId>>,
}

/// Counts a request while it is held.
#[derive(Debug)]
pub(crate) struct Running {
    traffic: Arc<Traffic>,
}

impl Drop for Running {
    fn drop(&mut self) {
        let before = self.traffic.running.fetch_sub(1, Ordering::Relaxed);
        self.traffic.metrics.requests(before - 1);
    }
}

impl Traffic {
    /// An id that no attempt had before.
    fn next_id(&self) -> PermitId {
        PermitId {
            instance: self.me.instance.clone(),
            incarnation: self.me.incarnation,
            serial: self.serial.fetch_add(1, Ordering::Relaxed),
        }
    }

    fn view(&self) -> Arc<ClusterView> {
        Arc::clone(&self.view.borrow())
    }

    fn document(&self) -> Option<Arc<RulesDocument>> {
        self.rules.borrow().clone()
    }

    /// The lease that new claims are bound to.
    fn claim_lease(&self) -> Option<LeaseId> {
        *self.claim_lease.borrow()
    }

    /// How often an adapter is asked for at all instances, by what this one
    /// sees of it: callers are spread over the instances evenly.
    fn heat(&self, adapter: &str, view: &ClusterView) -> u32 {
        let instances: BTreeSet<&InstanceId> = view.workers.values().map(|w| &w.owner).collect();
        let now = self.clock.now();
        let score = lock(&self.frequency).score(adapter, now);
        (score * instances.len().max(1) as f64 * MILLI) as u32
    }

    /// Counts a request, if there is room for it.
    fn enter(self: &Arc<Self>) -> Option<Running> {
        let before = self.running.fetch_add(1, Ordering::Relaxed);
        let running = Running {
            traffic: Arc::clone(self),
        };
        self.metrics.requests(before + 1);
        (before < self.cfg.bounds.requests).then_some(running)
    }

    /// Takes a retry from the budget.
    fn may_retry(&self, cause: &'static str) -> bool {
        let allowed = lock(&self.retries).try_withdraw();
        self.metrics
            .retry(if allowed { cause } else { "budget_empty" });
        allowed
    }
}

/// The edge towards callers.
#[derive(Clone, Debug)]
pub(crate) struct CallerHandler(pub(crate) Arc<Traffic>);

impl Handler for CallerHandler {
    async fn chat(&self, call: ChatCall) -> Answer {
        chat::handle(&self.0, call).await
    }

    async fn plain(&self, call: PlainCall) -> Answer {
        plain::handle(&self.0, call).await
    }

    fn ready(&self) -> Readiness {
        let traffic = &self.0;
        if traffic.stopping.is_cancelled() {
            return Readiness::NotReady {
                reason: "stopping".into(),
            };
        }
        match traffic.document() {
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

/// Locks what no panic can leave half-changed.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
