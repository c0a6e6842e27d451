//! Reports the progress of granted calls to coordinators, batched by
//! coordinator.

use crate::coordinator::{Command, CommandTx};
use crate::peer::PeerClients;
use reedford_fleet::scheduler::{PlacementId, Progress};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// Timeout for one message.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of reports in one message.
const MAX_REPORTS: usize = 64;

/// Progress of a call, and the coordinator to report it to.
#[derive(Debug)]
struct ProgressReport {
    coordinator: SocketAddr,
    call: PlacementId,
    progress: Progress,
}

/// Queues reports.
#[derive(Clone, Debug)]
pub(crate) struct ProgressTx {
    reports: mpsc::UnboundedSender<ProgressReport>,
    commands: CommandTx,
    own_addr: SocketAddr,
}

/// Sends queued reports.
#[derive(Debug)]
pub(crate) struct ProgressTask {
    reports: mpsc::UnboundedReceiver<ProgressReport>,
    peers: Arc<PeerClients>,
}

/// Creates the queue. `own_addr` is this node's address for other nodes.
pub(crate) fn progress_queue(
    commands: CommandTx,
    peers: Arc<PeerClients>,
    own_addr: SocketAddr,
) -> (ProgressTx, ProgressTask) {
    let (tx, reports) = mpsc::unbounded_channel();
    let tx = ProgressTx {
        reports: tx,
        commands,
        own_addr,
    };
    (tx, ProgressTask { reports, peers })
}

impl ProgressTx {
    /// Reports a call's progress.
    pub(crate) fn report(&self, coordinator: SocketAddr, call: PlacementId, progress: Progress) {
        if coordinator == self.own_addr {
            self.commands.send(Command::Progress { call, progress });
            return;
        }
        let report = ProgressReport {
            coordinator,
            call,
            progress,
        };
        if self.reports.send(report).is_err() {
            tracing::debug!(event = "progress_after_stop");
        }
    }
}

impl ProgressTask {
    /// Runs until the node stops.
    pub(crate) async fn run(mut self, stop: CancellationToken) {
        let mut buf = Vec::new();
        loop {
            let received = stop
                .run_until_cancelled(self.reports.recv_many(&mut buf, MAX_REPORTS))
                .await;
            if received.is_none_or(|count| count == 0) {
                return;
            }
            let mut by_addr: BTreeMap<SocketAddr, Vec<(PlacementId, Progress)>> = BTreeMap::new();
            for report in buf.drain(..) {
                let reports = by_addr.entry(report.coordinator).or_default();
                reports.push((report.call, report.progress));
            }
            let messages = by_addr
                .into_iter()
                .map(|(addr, reports)| self.send(addr, reports));
            futures::future::join_all(messages).await;
        }
    }

    async fn send(&self, addr: SocketAddr, reports: Vec<(PlacementId, Progress)>) {
        let count = reports.len();
        let sent = self
            .peers
            .call(addr, MESSAGE_TIMEOUT, |peer, cx| async move {
                peer.progress(cx, reports).await
            })
            .await;
        if let Err(error) = sent {
            // The coordinator drops calls without reports at their deadlines.
            tracing::info!(event = "progress_untold", %addr, count, %error);
        }
    }
}
