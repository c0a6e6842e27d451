//! Carries the scheduler's decisions out: answers, orders, listings, and calls
//! passed on to other zones.

use super::commands::Command;
use super::{Coordinator, answer};
use crate::peer::{PlaceAnswer, PlaceRequest, ZoneLoad};
use crate::ports::Dialect;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use reedford_fleet::ownership::Fence;
use reedford_fleet::scheduler::{Action, Grant, Order, OrderKind, OrderOutcome, Progress, Refusal};
use reedford_fleet::{InstanceId, Now};
use reedford_targets::{Answer, CallError, HeadLimit, LostReason, Pool, Reuse, read_whole, start};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Time for an engine to answer an order or a question; it answers in
/// milliseconds, and one that does not is asked again.
const ENGINE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for another zone to find a place; it may be cut off without word.
const PASS_ON_TIMEOUT: Duration = Duration::from_millis(800);
/// Time for a word to another coordinator.
const LOAD_TIMEOUT: Duration = Duration::from_millis(400);

impl<D> Coordinator<D>
where
    D: Dialect,
{
    pub(super) fn carry_out(&mut self, action: Action) {
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
        let Some(reply) = self.replies.remove(&call) else {
            self.withdraw(&call);
            return;
        };
        let granted = PlaceAnswer::Granted {
            grant,
            coordinator: self.parts.cfg.peers,
        };
        if reply.send(granted).is_err() {
            self.withdraw(&call);
        }
    }

    fn withdraw(&mut self, call: &str) {
        let now = self.parts.shared.now();
        self.with_scheduler(|s| s.progress(call, Progress::Ended, now));
    }

    fn refuse(&mut self, refusal: Refusal) {
        tracing::info!(event = "place_refused", id = %refusal.call, reason = refusal.reason.name());
        self.parts.metrics.refused(refusal.reason.name());
        if let Some(reply) = self.replies.remove(&refusal.call) {
            answer(reply, PlaceAnswer::Refused(refusal));
        }
    }

    fn order(&self, order: Order, fence: Fence) {
        let req = self
            .parts
            .dialect
            .order(&order, &self.parts.cfg.node, fence);
        let pool = Arc::clone(&self.parts.pool);
        let dialect = Arc::clone(&self.parts.dialect);
        let metrics = Arc::clone(&self.parts.metrics);
        let tx = self.tx.clone();
        self.parts.tasks.spawn(async move {
            let sent = Instant::now();
            let outcome = exchange(&pool, order.addr, req).await;
            let answer = match &outcome {
                Ok(res) => dialect.order_answer(res.status, &res.body),
                Err(CallError::NotSent(_)) => OrderOutcome::NotSent,
                Err(CallError::Lost(_)) => OrderOutcome::Unknown,
            };
            log_order(&order, fence, answer, sent.elapsed());
            metrics.order(answer);
            if let Ok(res) = outcome {
                res.accept(&pool);
            }
            tx.send(Command::OrderAnswered {
                fence,
                instance: order.instance,
                answer,
            });
        });
    }

    fn fetch_report(&self, instance: InstanceId, addr: SocketAddr, fence: Fence) {
        let req = self.parts.dialect.report_request();
        let pool = Arc::clone(&self.parts.pool);
        let dialect = Arc::clone(&self.parts.dialect);
        let tx = self.tx.clone();
        self.parts.tasks.spawn(async move {
            let report = match exchange(&pool, addr, req).await {
                Ok(res) => dialect
                    .report(&res.accept(&pool))
                    .inspect_err(|error| {
                        tracing::warn!(event = "report_unreadable", %instance, %error);
                    })
                    .ok(),
                Err(error) => {
                    tracing::info!(event = "report_missing", %instance, %error);
                    None
                }
            };
            tx.send(Command::Reported {
                fence,
                instance,
                report,
            });
        });
    }

    pub(super) fn on_order_outcome(
        &mut self,
        fence: Fence,
        instance: &str,
        answer: OrderOutcome,
        now: Now,
    ) {
        if self.term.as_ref().is_none_or(|t| t.fence != fence) {
            return;
        }
        if answer == OrderOutcome::Fenced {
            self.parts.shared.lock().role.on_fenced(fence);
            self.follow_role();
            return;
        }
        self.with_scheduler(|s| s.on_order_outcome(instance, answer, now));
    }

    /// Asks another zone's coordinator, and queues the call here when that one
    /// has no place either.
    pub(super) fn pass_on(
        &self,
        mut req: PlaceRequest,
        reply: oneshot::Sender<PlaceAnswer>,
        addr: SocketAddr,
    ) {
        let peers = Arc::clone(&self.parts.peers);
        let tx = self.tx.clone();
        let shared = Arc::clone(&self.parts.shared);
        self.parts.tasks.spawn(async move {
            req.passed_on = true;
            let asked = shared.now();
            let patience = req.patience;
            let limit = patience.min(PASS_ON_TIMEOUT);
            let there = req.clone();
            let mut reply = reply;
            let answered = tokio::select! {
                answered = peers.long_call(addr, limit, |peer, cx| async move {
                    peer.place(cx, there).await
                }) => answered,
                () = reply.closed() => return,
            };
            if let Ok(granted @ PlaceAnswer::Granted { .. }) = answered {
                answer(reply, granted);
                return;
            }
            let spent = shared.now().saturating_sub(asked);
            req.patience = patience.saturating_sub(spent);
            req.due_in = req.due_in.map(|due| due.saturating_sub(spent));
            tx.send(Command::Place { req, reply });
        });
    }

    pub(super) fn send_load(&self, addr: SocketAddr, load: ZoneLoad) {
        let peers = Arc::clone(&self.parts.peers);
        self.parts.tasks.spawn(async move {
            let told = peers
                .call(addr, LOAD_TIMEOUT, |peer, cx| async move {
                    peer.load(cx, load).await
                })
                .await;
            if let Err(error) = told {
                tracing::debug!(event = "zone_load_untold", %addr, %error);
            }
        });
    }
}

async fn exchange(
    pool: &Pool,
    addr: SocketAddr,
    req: Request<Full<Bytes>>,
) -> Result<Answer, CallError> {
    let limit = HeadLimit {
        at: Instant::now() + ENGINE_TIMEOUT,
        reason: LostReason::FirstByteTimeout,
    };
    let exchange = start(pool, addr, req, Reuse::Allowed, limit).await?;
    Ok(read_whole(pool, exchange, ENGINE_TIMEOUT, Some(limit.at)).await?)
}

fn log_order(order: &Order, fence: Fence, answer: OrderOutcome, took: Duration) {
    let (what, adapter) = match &order.kind {
        OrderKind::LoadModel { model } => ("load_model", model),
        OrderKind::LoadAdapter { adapter, .. } => ("load", adapter),
        OrderKind::UnloadAdapter { adapter, .. } => ("unload", adapter),
    };
    tracing::info!(event = "order", what, instance = %order.instance, %adapter, fence,
        after = order.after, answer = ?answer, ms = took.as_millis() as u64);
}
