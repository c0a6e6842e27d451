//! Getting a permit: which workers are asked, and in which order.

use super::Traffic;
use super::check::Job;
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

/// Longest time for which a request waits for a worker to get a new owner.
const OWNER_CHANGE: Duration = Duration::from_secs(1);
/// Workers asked for one request.
const ASK_MOST: usize = 4;
/// Added to the time for an owner's answer, so that the owner's own refusal at
/// the deadline arrives.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// Longest wait that a lookup takes at one worker while another may be free.
const LOOKUP_PATIENCE: Duration = Duration::from_millis(20);
/// The same for other requests.
const PATIENCE: Duration = Duration::from_millis(200);

/// Leave to send one request to a worker. Dropping it gives it back.
#[derive(Debug)]
pub(super) struct Permit {
    traffic: Arc<Traffic>,
    pub(super) id: PermitId,
    pub(super) worker: WorkerId,
    pub(super) address: SocketAddr,
    pub(super) load_stall: Duration,
    owner: InstanceId,
    repeatable: bool,
    ended: bool,
}

/// An ask of one worker.
struct Ask<'a> {
    job: &'a Job,
    worker: &'a WorkerView,
    patience: Duration,
}

/// The best refusal so far.
#[derive(Debug, Default)]
struct Refusals {
    least: Option<(PermitRefusal, Option<WorkerId>)>,
}

/// Gets a permit for `job` on a worker that is not in `tried`.
///
/// # Errors
/// The refusal with the shortest time to come back; `None` when no worker
/// could be asked.
pub(super) async fn permit(
    traffic: &Arc<Traffic>,
    job: &Job,
    tried: &BTreeSet<WorkerId>,
) -> Result<Permit, Option<PermitRefusal>> {
    let patience = OWNER_CHANGE.min(job.remaining());
    let give_up = tokio::time::Instant::now() + patience;
    let mut views = traffic.view.clone();
    loop {
        views.mark_unchanged();
        let refusal = match search(traffic, job, tried).await {
            Ok(permit) => return Ok(permit),
            Err(refusal) => refusal,
        };
        if !refusal.is_none_or(|r| may_pass(r.reason)) {
            return Err(refusal);
        }
        let changed = tokio::time::timeout_at(give_up, views.changed()).await;
        if !matches!(changed, Ok(Ok(()))) {
            return Err(refusal);
        }
    }
}

/// Whether a reason goes away by itself when a worker changes its owner.
const fn may_pass(reason: PermitReason) -> bool {
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
    job: &Job,
    tried: &BTreeSet<WorkerId>,
) -> Result<Permit, Option<PermitRefusal>> {
    let view = traffic.view();
    let order = order(traffic, &view, job, tried);
    let mut search = Search {
        traffic,
        view: &view,
        job,
        refusals: Refusals::default(),
    };
    match search.run(&order).await {
        Some(permit) => Ok(permit),
        None => Err(search.refusals.least.map(|(refusal, _)| refusal)),
    }
}

/// The search for a worker that grants.
struct Search<'a> {
    traffic: &'a Arc<Traffic>,
    view: &'a ClusterView,
    job: &'a Job,
    refusals: Refusals,
}

impl Search<'_> {
    /// Asks where the adapter is resident, then where it is being loaded, then
    /// at its homes. A load under way ends before any that is asked for now,
    /// so a home is asked only when no worker loads the adapter.
    async fn run(&mut self, order: &Candidates) -> Option<Permit> {
        for worker in order.resident.iter().take(ASK_MOST) {
            let permit = self.ask(worker, patience(self.job.class)).await;
            if permit.is_some() {
                return permit;
            }
        }
        let next = if order.loading.is_empty() {
            &order.homes
        } else {
            &order.loading
        };
        for worker in next.iter().take(ASK_MOST) {
            let permit = self.ask(worker, self.refusals.wait(self.job)).await;
            if permit.is_some() {
                return permit;
            }
            if self.refusals.is_final() {
                break;
            }
        }
        let shortest = self.refusals.shortest_queue()?;
        self.ask(&shortest, self.job.remaining()).await
    }

    async fn ask(&mut self, worker: &WorkerId, patience: Duration) -> Option<Permit> {
        let worker = self.view.workers.get(worker)?;
        let ask = Ask {
            job: self.job,
            worker,
            patience,
        };
        match self.traffic.ask(&ask).await {
            Ok(permit) => Some(permit),
            Err(refusal) => {
                self.refusals.note(refusal, worker);
                None
            }
        }
    }
}

fn order(
    traffic: &Traffic,
    view: &ClusterView,
    job: &Job,
    tried: &BTreeSet<WorkerId>,
) -> Candidates {
    let req = PlacementRequest {
        group: &job.group,
        target: &job.target,
        zone: &traffic.me.zone,
        objective: job.rule.objective,
        placement: job.rule.placement,
        frequency: traffic.heat(&job.target.adapter, view),
        random: rand::random(),
    };
    let mut order = candidates(view, &req);
    order.resident.retain(|w| !tried.contains(w));
    order.loading.retain(|w| !tried.contains(w));
    order.homes.retain(|w| !tried.contains(w));
    order
}

/// Lower tells the caller more about when to come back.
const fn rank(reason: PermitReason) -> u8 {
    match reason {
        PermitReason::Busy => 0,
        PermitReason::DeadlineUnreachable => 1,
        PermitReason::LoadFailed => 2,
        PermitReason::NotOwner | PermitReason::WorkerDown | PermitReason::WorkerLeaving => 3,
    }
}

fn patience(class: Class) -> Duration {
    match class {
        Class::Lookup => LOOKUP_PATIENCE,
        Class::Standard | Class::Writing => PATIENCE,
    }
}

impl Refusals {
    fn note(&mut self, refusal: PermitRefusal, worker: &WorkerView) {
        let queue = (refusal.reason == PermitReason::Busy).then(|| worker.summary.worker.clone());
        let rank = |r: &PermitRefusal| (rank(r.reason), r.retry_after);
        let better = self
            .least
            .as_ref()
            .is_none_or(|(known, _)| rank(&refusal) < rank(known));
        if better {
            self.least = Some((refusal, queue));
        }
    }

    /// The wait that another worker has to beat.
    fn wait(&self, job: &Job) -> Duration {
        let busy = self
            .least
            .as_ref()
            .filter(|(r, _)| r.reason == PermitReason::Busy);
        let remaining = job.remaining();
        busy.map_or(remaining, |(r, _)| r.retry_after.min(remaining))
    }

    /// The worker to wait at, when all were asked with less patience.
    fn shortest_queue(&self) -> Option<WorkerId> {
        self.least.as_ref().and_then(|(_, queue)| queue.clone())
    }

    /// Whether other workers would say the same: loads wait for the zone's
    /// turn wherever they are asked.
    fn is_final(&self) -> bool {
        let reason = self.least.as_ref().map(|(r, _)| r.reason);
        reason == Some(PermitReason::DeadlineUnreachable)
    }
}

impl Traffic {
    async fn ask(self: &Arc<Self>, ask: &Ask<'_>) -> Result<Permit, PermitRefusal> {
        let id = self.next_id();
        let summary = &ask.worker.summary;
        let remaining = ask.job.remaining();
        let req = PermitRequest {
            id: id.clone(),
            worker: summary.worker.clone(),
            target: ask.job.target.clone(),
            class: ask.job.class,
            remaining,
            expected: ask.job.expected,
            patience: ask.patience,
        };
        let started = Instant::now();
        // From here on the permit may be out: dropping gives it back.
        let mut permit = Permit {
            traffic: Arc::clone(self),
            id,
            worker: summary.worker.clone(),
            address: summary.address,
            load_stall: Duration::ZERO,
            owner: ask.worker.owner.clone(),
            repeatable: ask.job.repeatable,
            ended: true,
        };
        let span = spans::permit(&req.worker, &ask.worker.owner);
        let asking = self.ask_owner(ask.worker, req, remaining + ANSWER_SLACK);
        match asking.instrument(span.clone()).await {
            PermitResponse::Granted { load_stall } => {
                span.record("answer", "granted");
                permit.load_stall = load_stall;
                self.metrics.permit(started.elapsed(), load_stall);
                Ok(permit)
            }
            PermitResponse::Refused(refusal) => {
                span.record("answer", refusal.reason.name());
                permit.forget();
                Err(refusal)
            }
        }
    }

    async fn ask_owner(
        &self,
        worker: &WorkerView,
        req: PermitRequest,
        limit: Duration,
    ) -> PermitResponse {
        if worker.owner == self.me.instance {
            let span = spans::owner_permit(&req.worker, None);
            return self.ask_control(req).instrument(span).await;
        }
        let traceparent = spans::current_traceparent();
        let asking =
            |client: PeerClient, cx| async move { client.permit(cx, req, traceparent).await };
        self.metrics.peer_call("permit");
        let answer = self
            .clients
            .peers
            .call(worker.owner_address, limit, asking)
            .await;
        answer.unwrap_or_else(|error| {
            tracing::debug!(event = "permit_lost", owner = %worker.owner, %error);
            not_owner()
        })
    }

    /// Asks the control thread of this instance, the owner.
    async fn ask_control(&self, req: PermitRequest) -> PermitResponse {
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
        let limit = ms(self.cfg.timeouts.platform_ms);
        let telling = |client: PeerClient, cx| async move { client.release(cx, release).await };
        self.metrics.peer_call("release");
        let told = self
            .clients
            .peers
            .call(worker.owner_address, limit, telling)
            .await;
        if let Err(error) = told {
            tracing::debug!(event = "release_lost", %error);
        }
    }
}

impl Permit {
    /// Whether the owner that granted still owns the worker, by what was last
    /// heard. A grant that was on its way for long is not used, because a new
    /// owner that does not know it may have begun to evict.
    pub(super) fn is_current(&self) -> bool {
        let view = self.traffic.view();
        view.workers
            .get(&self.worker)
            .is_some_and(|w| w.owner == self.owner)
    }

    /// Notes that the request goes out: until the target says that it ended
    /// it, it may be running there.
    pub(super) fn sent(&mut self) {
        self.ended = false;
    }

    /// Notes that the target has surely ended the request.
    pub(super) fn ended(&mut self) {
        self.ended = true;
    }

    /// There is nothing to give back.
    fn forget(mut self) {
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
        // A run that may happen only once is left to end by itself.
        let cancel = !self.ended && self.repeatable;
        self.traffic.tasks.spawn(async move {
            if cancel {
                let attempt = release.id.to_string();
                let said = traffic.clients.targets.cancel(address, &attempt).await;
                release.ended = said == Ok(Cancellation::Cancelled);
            }
            traffic.release(release).await;
        });
    }
}

fn not_owner() -> PermitResponse {
    PermitResponse::Refused(PermitRefusal::new(PermitReason::NotOwner, Duration::ZERO))
}
