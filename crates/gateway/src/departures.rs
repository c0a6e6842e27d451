//! Passes on which instances announced that they are leaving.
//!
//! A node reports the announcements that it received in responses to the
//! coordinator of its zone. Coordinators report what they know to each other and
//! pass it on to the nodes of their zones with the change feeds.

use crate::coordinator::{Command, CommandTx};
use crate::peer::PeerClients;
use crate::state::Shared;
use reedford_fleet::departures::{DepartureSource, LeavingInstances};
use reedford_fleet::ownership::{Fence, Holder};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Time for which announcements are collected before they are reported.
const COLLECTION_TIME: Duration = Duration::from_millis(30);
/// Timeout for one report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before a failed report is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Reports leaving instances to coordinators.
#[derive(Debug)]
pub(crate) struct DeparturesReporter {
    pub(crate) shared: Arc<Shared>,
    pub(crate) peers: Arc<PeerClients>,
    pub(crate) commands: CommandTx,
    pub(crate) own_addr: SocketAddr,
}

/// Announcements reported to each coordinator, by its address and fencing token.
type Reported = BTreeMap<(SocketAddr, Fence), LeavingInstances>;

impl Shared {
    /// Records that the incarnation of an instance with the start time `born`
    /// announced that it is leaving.
    pub(crate) fn on_departure(&self, id: &str, born: u64, source: DepartureSource) {
        let now = self.now();
        let mut state = self.lock();
        if !state.directory.on_departure(id, born, source, now) {
            return;
        }
        drop(state);
        tracing::info!(
            event = "instance_leaving",
            instance = id,
            born,
            by = source.name()
        );
        self.publish_departures();
    }

    /// Makes the announcements that the store does not show available to other
    /// nodes.
    pub(crate) fn publish_departures(&self) {
        let unlisted = self.lock().directory.unlisted_departures();
        if self.feeds.set_leaving(unlisted) {
            self.instances_changed.send_replace(());
        }
    }
}

impl DeparturesReporter {
    /// Runs until the node stops.
    pub(crate) async fn run(self, stop: CancellationToken) {
        let running = async { tokio::join!(self.refresh(), self.report_changes()) };
        stop.run_until_cancelled(running).await;
    }

    /// Lets this node's scheduler know of each change at once.
    async fn refresh(&self) {
        let mut changed = self.shared.instances_changed.subscribe();
        while changed.changed().await.is_ok() {
            self.commands.send(Command::Refresh);
        }
    }

    async fn report_changes(&self) {
        let mut reported = Reported::new();
        let mut changed = self.shared.instances_changed.subscribe();
        loop {
            let holder_changed = self.shared.holder_changed.notified();
            let mut holder_changed = std::pin::pin!(holder_changed);
            holder_changed.as_mut().enable();
            changed.mark_unchanged();
            let complete = self.report_all(&mut reported).await;
            tokio::select! {
                changed = changed.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    sleep(COLLECTION_TIME).await;
                }
                () = holder_changed => {}
                () = sleep(RETRY_PAUSE), if !complete => {}
            }
        }
    }

    /// Reports to each coordinator what it was not sent yet. Returns whether all
    /// reports arrived.
    async fn report_all(&self, reported: &mut Reported) -> bool {
        let due = self.due_reports(reported);
        let reports = due
            .iter()
            .map(|((addr, _), leaving)| self.report(*addr, leaving));
        let arrived = futures::future::join_all(reports).await;
        let complete = arrived.iter().all(|arrived| *arrived);
        let sent = due.into_iter().zip(arrived).filter(|(_, arrived)| *arrived);
        reported.extend(sent.map(|(report, _)| report));
        complete
    }

    fn due_reports(&self, reported: &mut Reported) -> Vec<((SocketAddr, Fence), LeavingInstances)> {
        let state = self.shared.lock();
        let own = state.role.holder();
        let target = |holder: &Holder| (holder.addr, holder.fence);
        let (targets, leaving): (Vec<_>, _) = if own.is_some_and(|h| h.addr == self.own_addr) {
            let others = state.other_coordinators.values().map(target);
            (others.collect(), state.directory.unlisted_departures())
        } else {
            let received = state.directory.received_departures();
            (own.map(target).into_iter().collect(), received)
        };
        drop(state);
        reported.retain(|target, _| targets.contains(target));
        let is_new = |target: &_, (id, born): (&_, &u64)| {
            reported.get(target).and_then(|r| r.get(id)) != Some(born)
        };
        let due = targets
            .into_iter()
            .filter(|target| leaving.iter().any(|l| is_new(target, l)));
        due.map(|target| (target, leaving.clone())).collect()
    }

    async fn report(&self, addr: SocketAddr, leaving: &LeavingInstances) -> bool {
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
}
