//! Passes on what nodes learn of instances and calls from responses: which
//! instances announced that they are leaving, how many calls a second they take, and
//! under which calls they crash.
//!
//! A node reports what it has seen itself to the coordinator of its zone.
//! Coordinators report what they know to each other and pass it on to the nodes of
//! their zones with the change feeds.

use crate::coordinator::{Command, CommandTx};
use crate::peer::PeerClients;
use crate::state::Shared;
use reedford_fleet::departures::LeavingInstances;
use reedford_fleet::ownership::{Fence, Holder};
use reedford_fleet::quarantine::Evidence;
use reedford_fleet::rate_limits::{LimitsReport, Statements};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Time for which notices are collected before they are reported.
const COLLECTION_TIME: Duration = Duration::from_millis(30);
/// Timeout for one report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before a failed report is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Reports notices to coordinators.
#[derive(Debug)]
pub(crate) struct NoticesReporter {
    pub(crate) shared: Arc<Shared>,
    pub(crate) peers: Arc<PeerClients>,
    pub(crate) commands: CommandTx,
    pub(crate) own_addr: SocketAddr,
}

/// A coordinator, by its address and fencing token.
type Target = (SocketAddr, Fence);

/// What a coordinator has to know.
#[derive(Clone, Debug, Default)]
struct Notices {
    leaving: LeavingInstances,
    evidence: Evidence,
    limits: Statements,
}

/// Notices reported to each coordinator.
type Reported = BTreeMap<Target, Notices>;

impl NoticesReporter {
    /// Runs until the node stops.
    pub(crate) async fn run(self, stop: CancellationToken) {
        let running = async { tokio::join!(self.refresh(), self.report_changes()) };
        stop.run_until_cancelled(running).await;
    }

    /// Lets this node's scheduler know of each change of an instance at once.
    async fn refresh(&self) {
        let mut changed = self.shared.instances_changed.subscribe();
        while changed.changed().await.is_ok() {
            self.commands.send(Command::Refresh);
        }
    }

    async fn report_changes(&self) {
        let mut reported = Reported::new();
        let mut instances = self.shared.instances_changed.subscribe();
        let mut evidence = self.shared.evidence_changed.subscribe();
        loop {
            let holder_changed = self.shared.holder_changed.notified();
            let mut holder_changed = std::pin::pin!(holder_changed);
            holder_changed.as_mut().enable();
            instances.mark_unchanged();
            evidence.mark_unchanged();
            let complete = self.report_all(&mut reported).await;
            tokio::select! {
                Ok(()) = instances.changed() => sleep(COLLECTION_TIME).await,
                Ok(()) = evidence.changed() => sleep(COLLECTION_TIME).await,
                () = holder_changed => {}
                () = sleep(RETRY_PAUSE), if !complete => {}
            }
        }
    }

    /// Reports to each coordinator what it was not sent yet. Returns whether all
    /// reports arrived.
    async fn report_all(&self, reported: &mut Reported) -> bool {
        let (targets, notices) = self.notices();
        reported.retain(|target, _| targets.contains(target));
        let reports = targets.into_iter().map(|target| {
            let before = reported.get(&target).cloned().unwrap_or_default();
            let notices = &notices;
            async move { (target, self.report(target.0, before, notices).await) }
        });
        let mut complete = true;
        for (target, (now_reported, arrived)) in futures::future::join_all(reports).await {
            complete &= arrived;
            reported.insert(target, now_reported);
        }
        complete
    }

    /// Returns the coordinators to report to, and what they have to know.
    fn notices(&self) -> (Vec<Target>, Notices) {
        let state = self.shared.lock();
        let own = state.role.holder();
        let target = |holder: &Holder| (holder.addr, holder.fence);
        if own.is_some_and(|h| h.addr == self.own_addr) {
            let others = state.other_coordinators.values().map(target);
            let notices = Notices {
                leaving: state.directory.unlisted_departures(),
                evidence: state.quarantine.all().clone(),
                limits: state.rate_limits.statements().clone(),
            };
            (others.collect(), notices)
        } else {
            let notices = Notices {
                leaving: state.directory.received_departures(),
                evidence: state.quarantine.own().clone(),
                limits: state.rate_limits.own_statements(),
            };
            (own.map(target).into_iter().collect(), notices)
        }
    }

    /// Reports to a coordinator what is new since `before`. Returns what it has been
    /// sent by now, and whether that is all.
    async fn report(
        &self,
        addr: SocketAddr,
        before: Notices,
        notices: &Notices,
    ) -> (Notices, bool) {
        let mut leaving = notices.leaving.iter();
        let leaving_due = leaving.any(|(id, born)| before.leaving.get(id) != Some(born));
        let evidence_due = notices.evidence != before.evidence;
        let limits_due = notices.limits != before.limits;
        let mut reported = before;
        if leaving_due && self.report_leaving(addr, &notices.leaving).await {
            reported.leaving.clone_from(&notices.leaving);
        }
        if evidence_due && self.report_evidence(addr, &notices.evidence).await {
            reported.evidence.clone_from(&notices.evidence);
        }
        if limits_due && self.report_limits(addr, &notices.limits).await {
            reported.limits.clone_from(&notices.limits);
        }
        let complete = (!leaving_due || reported.leaving == notices.leaving)
            && reported.evidence == notices.evidence
            && reported.limits == notices.limits;
        (reported, complete)
    }

    async fn report_leaving(&self, addr: SocketAddr, leaving: &LeavingInstances) -> bool {
        let leaving = leaving.clone();
        let count = leaving.len();
        let sent = self
            .peers
            .call(addr, REPORT_TIMEOUT, |peer, cx| async move {
                peer.leaving(cx, leaving).await
            })
            .await;
        if let Err(error) = &sent {
            tracing::info!(event = "departures_unreported", %addr, count, %error);
        }
        sent.is_ok()
    }

    async fn report_limits(&self, addr: SocketAddr, limits: &Statements) -> bool {
        let report = LimitsReport::new(limits, self.shared.now());
        let sent = self
            .peers
            .call(addr, REPORT_TIMEOUT, |peer, cx| async move {
                peer.limits(cx, report).await
            })
            .await;
        if let Err(error) = &sent {
            tracing::info!(event = "limits_unreported", %addr, %error);
        }
        sent.is_ok()
    }

    async fn report_evidence(&self, addr: SocketAddr, evidence: &Evidence) -> bool {
        let report = evidence.report(self.shared.now());
        let sent = self
            .peers
            .call(addr, REPORT_TIMEOUT, |peer, cx| async move {
                peer.crashes(cx, report).await
            })
            .await;
        if let Err(error) = &sent {
            tracing::info!(event = "crashes_unreported", %addr, %error);
        }
        sent.is_ok()
    }
}
