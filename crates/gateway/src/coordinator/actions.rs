//! Executes the scheduler's actions: grants, refusals, orders and report
//! requests, and forwards calls to other zones.

use super::commands::Command;
use super::{Coordinator, respond};
use crate::dialect::Dialect;
use crate::peer::{PlaceRequest, PlaceResponse, ZoneLoad};
use crate::state::Shared;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use reedford_fleet::attribution::{Attribution, Exchange};
use reedford_fleet::ownership::Fence;
use reedford_fleet::scheduler::{
    Action, EngineReport, Grant, Order, OrderKind, OrderOutcome, Progress, Refusal,
};
use reedford_fleet::{InstanceId, Now};
use reedford_targets::{
    BufferedResponse, CallError, HeadDeadline, LostReason, Pool, Reuse, read_body, send_request,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Timeout for an order or a report request. Engines respond within
/// milliseconds; after a timeout a report is fetched.
const ENGINE_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for a placement in another zone, which may have become unreachable
/// unnoticed.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout for a load report to another coordinator.
const LOAD_REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// Sends requests to one engine.
struct EngineClient<D> {
    dialect: Arc<D>,
    shared: Arc<Shared>,
    pool: Arc<Pool>,
    instance: InstanceId,
    addr: SocketAddr,
    /// Start time of the engine's incarnation; `None` if the engine has left the
    /// directory.
    born: Option<u64>,
}

impl<D> Coordinator<D>
where
    D: Dialect,
{
    pub(super) fn execute(&mut self, action: Action) {
        let Some(fence) = self.term.as_ref().map(|t| t.fence) else {
            return;
        };
        match action {
            Action::Grant(grant) => self.grant(grant),
            Action::Refuse(refusal) => self.refuse(refusal),
            Action::Order(order) => self.order(order, fence),
            Action::FetchReport { instance, addr } => self.fetch_report(instance, addr, fence),
        }
    }

    fn grant(&mut self, grant: Grant) {
        let call = grant.call.clone();
        let Some(response_tx) = self.pending_responses.remove(&call) else {
            self.release_grant(&call);
            return;
        };
        let granted = PlaceResponse::Granted {
            grant,
            coordinator: self.ctx.cfg.peers,
        };
        if response_tx.send(granted).is_err() {
            self.release_grant(&call);
        } else {
            self.settle(&call);
        }
    }

    /// Releases a grant that the requester no longer waits for.
    fn release_grant(&mut self, call: &str) {
        let now = self.ctx.shared.now();
        self.put_back(call, now);
        self.with_scheduler(|s| s.progress(call, Progress::Ended, now));
    }

    fn refuse(&mut self, refusal: Refusal) {
        tracing::info!(event = "place_refused", id = %refusal.call, reason = refusal.reason.name());
        self.ctx.metrics.placement_refused(refusal.reason.name());
        self.put_back(&refusal.call, self.ctx.shared.now());
        if let Some(response_tx) = self.pending_responses.remove(&refusal.call) {
            respond(response_tx, PlaceResponse::Refused(refusal));
        }
    }

    fn order(&self, order: Order, fence: Fence) {
        let req = self
            .ctx
            .dialect
            .order_request(&order, &self.ctx.cfg.node, fence);
        let engine = self.engine_client(&order.instance, order.addr);
        let metrics = Arc::clone(&self.ctx.metrics);
        let tx = self.command_tx.clone();
        self.ctx.tasks.spawn(async move {
            let sent = Instant::now();
            let result = engine.send(req, Reuse::AllowedDirect).await;
            let outcome = match &result {
                Ok(res) => engine.dialect.parse_order_response(res.status, &res.body),
                Err(CallError::NotSent(_)) => OrderOutcome::NotSent,
                Err(CallError::Lost(_)) => OrderOutcome::Unknown,
            };
            log_order(&order, fence, outcome, sent.elapsed());
            metrics.order(outcome);
            // A copy of a refusal, which has no id, could be taken for that of a later order.
            if let Ok(res) = result
                && matches!(outcome, OrderOutcome::Accepted | OrderOutcome::Done)
            {
                res.into_body(&engine.pool);
            }
            tx.send(Command::OrderCompleted {
                fence,
                order,
                outcome,
            });
        });
    }

    fn fetch_report(&self, instance: InstanceId, addr: SocketAddr, fence: Fence) {
        let req = self.ctx.dialect.report_request();
        let engine = self.engine_client(&instance, addr);
        let tx = self.command_tx.clone();
        self.ctx.tasks.spawn(async move {
            let report = match engine.send(req, Reuse::Allowed).await {
                Ok(res) => engine
                    .dialect
                    .parse_report(&res.into_body(&engine.pool))
                    .inspect_err(|error| {
                        tracing::warn!(event = "report_unreadable", %instance, %error);
                    })
                    .ok(),
                Err(error) => {
                    tracing::info!(event = "report_missing", %instance, %error);
                    None
                }
            };
            tx.send(Command::ReportFetched {
                fence,
                instance,
                report,
            });
        });
    }

    fn engine_client(&self, instance: &str, addr: SocketAddr) -> EngineClient<D> {
        let state = self.ctx.shared.lock();
        EngineClient {
            dialect: Arc::clone(&self.ctx.dialect),
            shared: Arc::clone(&self.ctx.shared),
            pool: Arc::clone(&self.ctx.pool),
            instance: instance.into(),
            addr,
            born: state.directory.get(instance).map(|i| i.born),
        }
    }

    /// Applies an engine's report, and logs what it shows beside what was assumed.
    pub(super) fn on_report(
        &mut self,
        fence: Fence,
        instance: &str,
        report: Option<&EngineReport>,
        now: Now,
    ) {
        let term = self.term.as_mut().filter(|t| t.fence == fence);
        let Some(scheduler) = term.map(|t| &mut t.scheduler) else {
            return;
        };
        let before = scheduler.order_status(instance, now);
        let applied = scheduler.on_report(instance, report, now);
        let (Some(report), Some(before)) = (report, before) else {
            return;
        };
        let after = scheduler.order_status(instance, now);
        tracing::info!(event = "engine_report", instance, fence, applied, born = report.born,
            orders = report.orders, busy = report.busy, models = report.models.len(),
            adapters = report.models.values().map(BTreeMap::len).sum::<usize>(),
            loading = report.loading.len(), assumed = ?before.accepted,
            unresolved = after.map(|a| a.unresolved),
            age_ms = before.outcome_age.map(|a| a.as_millis() as u64));
    }

    pub(super) fn on_order_outcome(
        &mut self,
        fence: Fence,
        order: &Order,
        outcome: OrderOutcome,
        now: Now,
    ) {
        if self.term.as_ref().is_none_or(|t| t.fence != fence) {
            return;
        }
        if outcome == OrderOutcome::Fenced {
            self.ctx.shared.lock().role.on_fenced(fence);
            self.update_term();
            return;
        }
        self.with_scheduler(|s| {
            if s.is_pending(order) {
                s.on_order_outcome(&order.instance, outcome, now);
            }
        });
    }

    /// Requests a placement from another zone's coordinator, and queues the
    /// call here if that one does not grant it.
    pub(super) fn forward(
        &self,
        mut req: PlaceRequest,
        response_tx: oneshot::Sender<PlaceResponse>,
        addr: SocketAddr,
    ) {
        let peers = Arc::clone(&self.ctx.peers);
        let tx = self.command_tx.clone();
        let shared = Arc::clone(&self.ctx.shared);
        self.ctx.tasks.spawn(async move {
            req.passed_on = true;
            let sent_at = shared.now();
            let time_left = req.patience;
            let limit = time_left.min(FORWARD_TIMEOUT);
            let forwarded = req.clone();
            let mut response_tx = response_tx;
            let response = tokio::select! {
                response = peers.long_call(addr, limit, |peer, cx| async move {
                    peer.place(cx, forwarded).await
                }) => response,
                () = response_tx.closed() => return,
            };
            if let Ok(granted @ PlaceResponse::Granted { .. }) = response {
                if response_tx.send(granted).is_ok() {
                    let call = req.call;
                    tx.send(Command::GrantedElsewhere { call });
                }
                return;
            }
            let spent = shared.now().saturating_sub(sent_at);
            req.patience = time_left.saturating_sub(spent);
            req.first_token_in = req.first_token_in.saturating_sub(spent);
            req.due_in = req.due_in.map(|due| due.saturating_sub(spent));
            tx.send(Command::Place { req, response_tx });
        });
    }

    pub(super) fn send_load_report(&self, addr: SocketAddr, load: ZoneLoad) {
        let peers = Arc::clone(&self.ctx.peers);
        self.ctx.tasks.spawn(async move {
            let sent = peers
                .call(addr, LOAD_REPORT_TIMEOUT, |peer, cx| async move {
                    peer.load(cx, load).await
                })
                .await;
            if let Err(error) = sent {
                tracing::debug!(event = "zone_load_untold", %addr, %error);
            }
        });
    }
}

impl<D> EngineClient<D>
where
    D: Dialect,
{
    /// Sends a request. Orders must not be relayed, since engines take them as coming from
    /// their holder alone.
    async fn send(
        &self,
        req: Request<Full<Bytes>>,
        reuse: Reuse,
    ) -> Result<BufferedResponse, CallError> {
        let limit = HeadDeadline {
            at: Instant::now() + ENGINE_TIMEOUT,
            reason: LostReason::FirstByteTimeout,
        };
        let incoming = send_request(&self.pool, self.addr, req, reuse, limit).await?;
        let head = self
            .dialect
            .parse_response(incoming.status, &incoming.headers);
        let exchange = Exchange {
            call: "",
            number: incoming.conn.exchanges,
            failed_before: false,
        };
        let is_success = incoming.status.is_success();
        if exchange.attribute(head.attempt_id.as_deref(), is_success) == Attribution::Other {
            tracing::warn!(event = "answer_of_a_call", id = ?head.attempt_id,
                instance = %self.instance, status = incoming.status.as_u16(),
                conn = incoming.conn.id, exchange = exchange.number);
            // Dropping the response closes its connection.
            return Err(LostReason::OtherRequest.into());
        }
        if let Some(born) = self.born {
            self.shared.on_response_head(&self.instance, born, &head);
        }
        Ok(read_body(&self.pool, incoming, ENGINE_TIMEOUT, Some(limit.at)).await?)
    }
}

fn log_order(order: &Order, fence: Fence, outcome: OrderOutcome, took: Duration) {
    let (what, adapter) = match &order.kind {
        OrderKind::LoadModel { model } => ("load_model", model),
        OrderKind::LoadAdapter { adapter, .. } => ("load", adapter),
        OrderKind::UnloadAdapter { adapter, .. } => ("unload", adapter),
    };
    tracing::info!(event = "order", what, instance = %order.instance, %adapter, fence,
        after = order.after, answer = ?outcome, ms = took.as_millis() as u64);
}
