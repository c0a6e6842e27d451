//! Acquires permits from the owners of workers, and decides which workers to try
//! in which order.

use super::Traffic;
use super::check::ChatJob;
use crate::control::Command;
use crate::peer::PeerClient;
use crate::spans;
use reedford_core::messages::{
    PermitReason, PermitRefusal, PermitRequest, PermitResponse, Release,
};
use reedford_core::placement::{Candidates, ClusterView, PlacementRequest, WorkerView, candidates};
use reedford_core::{InstanceId, PermitId, WorkerId};
use reedford_rules::Class;
use reedford_settings::ms;
use reedford_targets::Cancellation;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use tracing::Instrument as _;

/// Longest time that a request waits for a worker to get a new owner.
const MAX_OWNER_CHANGE_WAIT: Duration = Duration::from_secs(1);
/// Largest number of workers with the adapter resident, and then of other
/// workers, that are tried for a request.
const MAX_WORKERS_TRIED: usize = 4;
/// Added to the timeout of a permit request, so that the owner's refusal at the
/// deadline still arrives.
const RESPONSE_SLACK: Duration = Duration::from_millis(500);
/// Longest wait of a lookup at a worker with the adapter resident, while another
/// worker may be free.
const LOOKUP_MAX_WAIT: Duration = Duration::from_millis(20);
/// The same for requests of other classes.
const DEFAULT_MAX_WAIT: Duration = Duration::from_millis(200);

/// A permit to send one request to a worker. It is released when dropped.
#[derive(Debug)]
pub(super) struct Permit {
    traffic: Arc<Traffic>,
    pub(super) id: PermitId,
    pub(super) worker: WorkerId,
    pub(super) address: SocketAddr,
    pub(super) load_stall: Duration,
    owner: InstanceId,
    repeatable: bool,
    /// Whether the request certainly isn't running on the worker.
    ended: bool,
}

/// A request to a worker's owner for a permit.
struct OwnerRequest<'a> {
    job: &'a ChatJob,
    worker: &'a WorkerView,
    patience: Duration,
}

/// The refusal that tells the caller most precisely when to retry.
#[derive(Debug, Default)]
struct BestRefusal {
    /// The refusal, and its worker if the reason was [`PermitReason::Busy`].
    best: Option<(PermitRefusal, Option<WorkerId>)>,
}

/// Acquires a permit for `job` on a worker that is not in `tried`.
///
/// # Errors
/// Returns the best refusal, or `None` if there was no worker to try.
pub(super) async fn acquire_permit(
    traffic: &Arc<Traffic>,
    job: &ChatJob,
    tried: &BTreeSet<WorkerId>,
) -> Result<Permit, Option<PermitRefusal>> {
    let max_wait = MAX_OWNER_CHANGE_WAIT.min(job.remaining());
    let give_up_at = tokio::time::Instant::now() + max_wait;
    let mut views = traffic.view.clone();
    loop {
        views.mark_unchanged();
        let refusal = match search(traffic, job, tried).await {
            Ok(permit) => return Ok(permit),
            Err(refusal) => refusal,
        };
        if !refusal.is_none_or(|r| is_transient(r.reason)) {
            return Err(refusal);
        }
        let changed = tokio::time::timeout_at(give_up_at, views.changed()).await;
        if !matches!(changed, Ok(Ok(()))) {
            return Err(refusal);
        }
    }
}

/// Whether a refusal for this reason may be due to a change of owner in progress.
const fn is_transient(reason: PermitReason) -> bool {
    match reason {
        PermitReason::NotOwner | PermitReason::WorkerDown => true,
        PermitReason::Busy
        | PermitReason::DeadlineUnreachable
        | PermitReason::LoadFailed
        | PermitReason::WorkerLeaving => false,
    }
}

async fn search(
    traffic: &Arc<Traffic>,
    job: &ChatJob,
    tried: &BTreeSet<WorkerId>,
) -> Result<Permit, Option<PermitRefusal>> {
    let view = traffic.view();
    let candidates = untried_candidates(traffic, &view, job, tried);
    let mut search = WorkerSearch {
        traffic,
        view: &view,
        job,
        refusal: BestRefusal::default(),
    };
    match search.run(&candidates).await {
        Some(permit) => Ok(permit),
        None => Err(search.refusal.best.map(|(refusal, _)| refusal)),
    }
}

/// A search for a worker that grants a permit.
struct WorkerSearch<'a> {
    traffic: &'a Arc<Traffic>,
    view: &'a ClusterView,
    job: &'a ChatJob,
    refusal: BestRefusal,
}

impl WorkerSearch<'_> {
    /// Tries the workers with the adapter resident, then those that are loading
    /// it. The other workers, best first, are tried only if no worker is
    /// loading it, because a load in progress ends before one that would be
    /// requested now. If none grants a permit within its maximum wait, the
    /// request queues at the busy worker with the shortest expected wait, if any
    /// was busy.
    async fn run(&mut self, candidates: &Candidates) -> Option<Permit> {
        for worker in candidates.resident.iter().take(MAX_WORKERS_TRIED) {
            let permit = self.request_permit(worker, max_wait(self.job.class)).await;
            if permit.is_some() {
                return permit;
            }
        }
        let next = if candidates.loading.is_empty() {
            &candidates.others
        } else {
            &candidates.loading
        };
        for worker in next.iter().take(MAX_WORKERS_TRIED) {
            let permit = self
                .request_permit(worker, self.refusal.max_wait_for_next(self.job))
                .await;
            if permit.is_some() {
                return permit;
            }
            if self.refusal.applies_to_all() {
                break;
            }
        }
        let least_busy = self.refusal.least_busy_worker()?;
        self.request_permit(&least_busy, self.job.remaining()).await
    }

    async fn request_permit(&mut self, worker: &WorkerId, patience: Duration) -> Option<Permit> {
        let worker = self.view.workers.get(worker)?;
        let request = OwnerRequest {
            job: self.job,
            worker,
            patience,
        };
        match self.traffic.request_permit(&request).await {
            Ok(permit) => Some(permit),
            Err(refusal) => {
                self.refusal.update(refusal, worker);
                None
            }
        }
    }
}

fn untried_candidates(
    traffic: &Traffic,
    view: &ClusterView,
    job: &ChatJob,
    tried: &BTreeSet<WorkerId>,
) -> Candidates {
    let req = PlacementRequest {
        group: &job.group,
        target: &job.target,
        zone: &traffic.me.zone,
        objective: job.rule.objective,
        placement: job.rule.placement,
        frequency: traffic.request_frequency(&job.target.adapter, view),
        random: rand::random(),
    };
    let mut untried = candidates(view, &req);
    untried.resident.retain(|w| !tried.contains(w));
    untried.loading.retain(|w| !tried.contains(w));
    untried.others.retain(|w| !tried.contains(w));
    untried
}

/// Returns the rank of a reason. Lower ranks tell the caller more about when to
/// retry.
const fn rank(reason: PermitReason) -> u8 {
    match reason {
        PermitReason::Busy => 0,
        PermitReason::DeadlineUnreachable => 1,
        PermitReason::LoadFailed => 2,
        PermitReason::NotOwner | PermitReason::WorkerDown | PermitReason::WorkerLeaving => 3,
    }
}

/// Returns how long a request may wait at one worker while others are untried.
fn max_wait(class: Class) -> Duration {
    match class {
        Class::Lookup => LOOKUP_MAX_WAIT,
        Class::Standard | Class::Writing => DEFAULT_MAX_WAIT,
    }
}

impl BestRefusal {
    /// Keeps the better of the known refusal and the one of `worker`.
    fn update(&mut self, refusal: PermitRefusal, worker: &WorkerView) {
        let busy_worker =
            (refusal.reason == PermitReason::Busy).then(|| worker.summary.worker.clone());
        let rank = |r: &PermitRefusal| (rank(r.reason), r.retry_after);
        let better = self
            .best
            .as_ref()
            .is_none_or(|(known, _)| rank(&refusal) < rank(known));
        if better {
            self.best = Some((refusal, busy_worker));
        }
    }

    /// Returns the maximum wait for the next worker: the shortest wait known so
    /// far, if a worker has refused because it is busy.
    fn max_wait_for_next(&self, job: &ChatJob) -> Duration {
        let busy = self
            .best
            .as_ref()
            .filter(|(r, _)| r.reason == PermitReason::Busy);
        let remaining = job.remaining();
        busy.map_or(remaining, |(r, _)| r.retry_after.min(remaining))
    }

    /// Returns the worker with the shortest known wait.
    fn least_busy_worker(&self) -> Option<WorkerId> {
        self.best.as_ref().and_then(|(_, worker)| worker.clone())
    }

    /// Whether other workers would refuse for the same reason. A load that can't
    /// get its turn before the deadline can't get it for another worker either.
    fn applies_to_all(&self) -> bool {
        let reason = self.best.as_ref().map(|(r, _)| r.reason);
        reason == Some(PermitReason::DeadlineUnreachable)
    }
}

impl Traffic {
    async fn request_permit(
        self: &Arc<Self>,
        request: &OwnerRequest<'_>,
    ) -> Result<Permit, PermitRefusal> {
        let id = self.next_id();
        let summary = &request.worker.summary;
        let remaining = request.job.remaining();
        let req = PermitRequest {
            id: id.clone(),
            worker: summary.worker.clone(),
            target: request.job.target.clone(),
            class: request.job.class,
            remaining,
            expected: request.job.expected,
            patience: request.patience,
        };
        let started = Instant::now();
        // The owner may grant the permit from here on, even if its response is
        // lost. Dropping `permit` releases it.
        let mut permit = Permit {
            traffic: Arc::clone(self),
            id,
            worker: summary.worker.clone(),
            address: summary.address,
            load_stall: Duration::ZERO,
            owner: request.worker.owner.clone(),
            repeatable: request.job.repeatable,
            ended: true,
        };
        let span = spans::permit(&req.worker, &request.worker.owner);
        let response = self.request_from_owner(request.worker, req, remaining + RESPONSE_SLACK);
        match response.instrument(span.clone()).await {
            PermitResponse::Granted { load_stall } => {
                span.record("answer", "granted");
                permit.load_stall = load_stall;
                self.metrics
                    .record_permit_granted(started.elapsed(), load_stall);
                Ok(permit)
            }
            PermitResponse::Refused(refusal) => {
                span.record("answer", refusal.reason.name());
                permit.disarm();
                Err(refusal)
            }
        }
    }

    async fn request_from_owner(
        &self,
        worker: &WorkerView,
        req: PermitRequest,
        timeout: Duration,
    ) -> PermitResponse {
        if worker.owner == self.me.instance {
            let span = spans::owner_permit(&req.worker, None);
            return self.request_from_control(req).instrument(span).await;
        }
        let traceparent = spans::current_traceparent();
        let call =
            |client: PeerClient, cx| async move { client.permit(cx, req, traceparent).await };
        self.metrics.record_peer_call("permit");
        let response = self
            .clients
            .peers
            .call(worker.owner_address, timeout, call)
            .await;
        response.unwrap_or_else(|error| {
            tracing::debug!(event = "permit_lost", owner = %worker.owner, %error);
            not_owner()
        })
    }

    /// Requests a permit from this instance's control thread, which owns the
    /// worker.
    async fn request_from_control(&self, req: PermitRequest) -> PermitResponse {
        let (reply, rx) = oneshot::channel();
        let sent = self.control.send(Command::Permit { req, reply }).await;
        if sent.is_err() {
            return not_owner();
        }
        rx.await.unwrap_or_else(|_| not_owner())
    }

    async fn release(&self, release: Release) {
        let view = self.view();
        let Some(worker) = view.workers.get(&release.worker) else {
            return;
        };
        if worker.owner == self.me.instance {
            let sent = self.control.send(Command::Release(release)).await;
            if sent.is_err() {
                tracing::debug!(event = "release_after_stop");
            }
            return;
        }
        let timeout = ms(self.cfg.timeouts.platform_ms);
        let call = |client: PeerClient, cx| async move { client.release(cx, release).await };
        self.metrics.record_peer_call("release");
        let released = self
            .clients
            .peers
            .call(worker.owner_address, timeout, call)
            .await;
        if let Err(error) = released {
            tracing::debug!(event = "release_lost", %error);
        }
    }
}

impl Permit {
    /// Whether the owner that granted the permit still owns the worker, according
    /// to the current view. A delayed permit of a previous owner must not be
    /// used, because the new owner may not know it and may evict the adapter.
    pub(super) fn is_current(&self) -> bool {
        let view = self.traffic.view();
        view.workers
            .get(&self.worker)
            .is_some_and(|w| w.owner == self.owner)
    }

    /// Marks the request as sent. It may run on the worker until the worker
    /// reports that it has ended.
    pub(super) fn mark_sent(&mut self) {
        self.ended = false;
    }

    /// Marks the request as certainly ended on the worker.
    pub(super) fn mark_ended(&mut self) {
        self.ended = true;
    }

    /// Drops the permit without a release, after a refusal.
    fn disarm(mut self) {
        self.worker = "".into();
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.worker.is_empty() {
            return;
        }
        let traffic = Arc::clone(&self.traffic);
        let mut release = Release {
            id: self.id.clone(),
            worker: self.worker.clone(),
            ended: self.ended,
        };
        let address = self.address;
        // A request that is not repeatable is not cancelled.
        let cancel = !self.ended && self.repeatable;
        self.traffic.tasks.spawn(async move {
            if cancel {
                let attempt = release.id.to_string();
                let cancelled = traffic.clients.targets.cancel(address, &attempt).await;
                release.ended = cancelled == Ok(Cancellation::Cancelled);
            }
            traffic.release(release).await;
        });
    }
}

fn not_owner() -> PermitResponse {
    PermitResponse::Refused(PermitRefusal::new(PermitReason::NotOwner, Duration::ZERO))
}
