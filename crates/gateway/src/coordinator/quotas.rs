//! Charges calls to the zone's part of their workspaces' limits.

use super::commands::{Charged, Command};
use super::{Coordinator, respond};
use crate::dialect::Dialect;
use crate::peer::{PlaceRequest, PlaceResponse};
use reedford_fleet::quota::{ChargeOutcome, Usage};
use reedford_fleet::scheduler::{PlacementId, Refusal, RefusalReason};
use reedford_fleet::workspaces::{Charge, WorkspaceName};
use reedford_fleet::{Now, ZoneId};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Timeout for a charge at another zone's coordinator.
const CHARGE_TIMEOUT: Duration = Duration::from_millis(150);
/// Interval between log lines on the limits.
pub(super) const QUOTA_LOG_INTERVAL: Duration = Duration::from_secs(2);
/// Workspaces in the log lines of one interval.
const MAX_LOGGED_WORKSPACES: usize = 16;

/// A call that its zone can't charge.
pub(crate) struct ShortCall {
    req: PlaceRequest,
    charge: Charge,
    response_tx: oneshot::Sender<PlaceResponse>,
    /// Time after which the zone can charge it.
    wait: Duration,
}

impl<D> Coordinator<D>
where
    D: Dialect,
{
    /// Charges a call that arrived. Returns the request to place; `None` if the call is
    /// refused, or another zone is asked to charge it.
    pub(super) fn charge_arrival(
        &mut self,
        mut req: PlaceRequest,
        response_tx: oneshot::Sender<PlaceResponse>,
        now: Now,
    ) -> Option<(PlaceRequest, oneshot::Sender<PlaceResponse>)> {
        let Some(charge) = take_charge(&mut req) else {
            return Some((req, response_tx));
        };
        let term = self.term.as_mut()?;
        match term.quotas.charge(&charge, now) {
            ChargeOutcome::Charged => {
                term.charges.insert(req.call.clone(), charge);
                Some((req, response_tx))
            }
            ChargeOutcome::Short { wait } => {
                let call = ShortCall {
                    req,
                    charge,
                    response_tx,
                    wait,
                };
                self.charge_elsewhere(call, now);
                None
            }
        }
    }

    /// Asks the coordinators of other zones to charge a call, as far as they may have
    /// something left.
    fn charge_elsewhere(&mut self, call: ShortCall, now: Now) {
        let Some(term) = &self.term else { return };
        let workspace = &*call.charge.workspace;
        let state = self.ctx.shared.lock();
        let zones = state.other_coordinators.iter();
        let zones = zones.filter(|(zone, _)| term.quotas.may_charge_at(workspace, zone, now));
        let mut zones: Vec<(ZoneId, SocketAddr)> = zones
            .map(|(zone, holder)| (zone.clone(), holder.addr))
            .collect();
        drop(state);
        if zones.is_empty() {
            self.on_limit(call, Vec::new(), now);
            return;
        }
        let first = rand::random_range(0..zones.len());
        zones.rotate_left(first);
        let peers = Arc::clone(&self.ctx.peers);
        let tx = self.command_tx.clone();
        self.ctx.tasks.spawn(async move {
            let mut short = Vec::new();
            for (zone, addr) in zones {
                let charge = call.charge.clone();
                let outcome = peers
                    .call(addr, CHARGE_TIMEOUT, |peer, cx| async move {
                        peer.charge(cx, charge).await
                    })
                    .await;
                match outcome {
                    Ok(Some(ChargeOutcome::Charged)) => {
                        tx.send(Command::PlaceCharged {
                            req: call.req,
                            charge: call.charge,
                            response_tx: call.response_tx,
                        });
                        return;
                    }
                    Ok(Some(ChargeOutcome::Short { wait })) => short.push((zone, wait)),
                    Ok(None) => {}
                    Err(error) => {
                        tracing::info!(event = "charge_unanswered", id = %call.req.call, %zone,
                            %error);
                    }
                }
            }
            tx.send(Command::LimitReached { call, short });
        });
    }

    /// Places a call that another zone has charged.
    pub(super) fn place_charged(
        &mut self,
        req: PlaceRequest,
        charge: Charge,
        response_tx: oneshot::Sender<PlaceResponse>,
        now: Now,
    ) {
        if let Some(term) = &mut self.term {
            term.charges.insert(req.call.clone(), charge);
        }
        self.place(req, response_tx, now);
    }

    /// Refuses a call because no zone can charge it. `short` are the zones that were
    /// asked, with the times after which they can.
    pub(super) fn on_limit(&mut self, call: ShortCall, short: Vec<(ZoneId, Duration)>, now: Now) {
        let workspace = &call.charge.workspace;
        let mut wait = call.wait;
        if let Some(term) = &mut self.term {
            for (zone, other) in &short {
                wait = wait.min(*other);
                term.quotas.on_short_elsewhere(workspace, zone, *other, now);
            }
            wait = term.quotas.on_refused(&call.charge, wait, now);
        }
        tracing::info!(event = "limit_reached", id = %call.req.call, %workspace,
            units = call.charge.units, wait_ms = wait.as_millis() as u64, asked = short.len());
        self.ctx.metrics.limit_reached(workspace);
        let refusal = Refusal {
            call: call.req.call,
            reason: RefusalReason::Limit,
            retry_after: wait,
        };
        respond(call.response_tx, PlaceResponse::Refused(refusal));
    }

    /// Puts back the charge of a call that was not granted.
    pub(super) fn put_back(&mut self, call: &str, now: Now) {
        if let Some(term) = &mut self.term
            && let Some(charge) = term.charges.remove(call)
        {
            term.quotas.put_back(&charge, now);
        }
    }

    /// Keeps the charge of a call that was granted.
    pub(super) fn settle(&mut self, call: &PlacementId) {
        if let Some(term) = &mut self.term {
            term.charges.remove(call);
        }
    }

    /// Charges a call that another zone, or a node without a coordinator, asks to charge.
    pub(super) fn charge_for_other(&mut self, charge: &Charge, now: Now) -> Charged {
        self.update_term();
        let leads = self.update_leadership(now);
        let term = self.term.as_mut().filter(|_| leads)?;
        Some(term.quotas.charge(charge, now))
    }

    /// Charges what a node reports. Returns for how long the node has to refuse calls of
    /// these workspaces.
    pub(super) fn on_usage(
        &mut self,
        usage: &Usage,
        now: Now,
    ) -> Option<Vec<(WorkspaceName, Duration)>> {
        self.update_term();
        let leads = self.update_leadership(now);
        let quotas = &mut self.term.as_mut().filter(|_| leads)?.quotas;
        for charge in &usage.returned {
            quotas.put_back(charge, now);
        }
        for charge in &usage.used {
            quotas.record_used(charge, now);
        }
        let used = usage.used.iter().map(|charge| {
            let wait = quotas.refuse_plain_for(&charge.workspace, now);
            (charge.workspace.clone(), wait)
        });
        Some(used.collect())
    }

    /// Logs the use of the limits that calls were refused for.
    pub(super) fn log_quotas(&mut self, now: Now) {
        let Some(term) = &mut self.term else { return };
        if now < term.next_quota_log || term.quotas.is_empty() {
            return;
        }
        term.next_quota_log = now + QUOTA_LOG_INTERVAL;
        let refused = term.quotas.uses(now).filter(|(_, used)| used.refused > 0.0);
        for (workspace, used) in refused.take(MAX_LOGGED_WORKSPACES) {
            tracing::info!(event = "quota", zone = %self.ctx.cfg.zone, %workspace,
                left = used.left as i64, per_s = used.per_s as u64,
                charged = used.charged as i64, refused = used.refused as u64);
        }
    }
}

/// Takes the charge out of a request, so that it is charged once.
fn take_charge(req: &mut PlaceRequest) -> Option<Charge> {
    let units = req.charge.take()?;
    Some(Charge {
        workspace: req.workspace.clone()?,
        units,
    })
}
