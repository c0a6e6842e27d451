//! Reports the progress of granted calls and the origins of streams to
//! coordinators, batched by coordinator.

use crate::coordinator::{Command, CommandTx};
use crate::peer::{PeerClients, StreamRecord};
use reedford_fleet::scheduler::{Observation, PlacementId, Progress};
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

/// A report, and the coordinator to send it to.
#[derive(Debug)]
struct Report {
    coordinator: SocketAddr,
    subject: Subject,
}

/// What a report is about.
#[derive(Debug)]
enum Subject {
    Progress(PlacementId, Progress),
    Stream(StreamRecord),
    Observation(Observation),
}

/// What one message to a coordinator holds.
#[derive(Debug, Default)]
struct Message {
    steps: Vec<(PlacementId, Progress)>,
    streams: Vec<StreamRecord>,
    observations: Vec<Observation>,
}

/// Queues reports.
#[derive(Clone, Debug)]
pub(crate) struct ProgressTx {
    reports: mpsc::UnboundedSender<Report>,
    commands: CommandTx,
    own_addr: SocketAddr,
}

/// Sends queued reports.
#[derive(Debug)]
pub(crate) struct ProgressTask {
    reports: mpsc::UnboundedReceiver<Report>,
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
        self.send(coordinator, Subject::Progress(call, progress));
    }

    /// Reports the origin of a stream to the coordinator of another node.
    pub(crate) fn report_stream(&self, coordinator: SocketAddr, record: StreamRecord) {
        if coordinator != self.own_addr {
            self.send(coordinator, Subject::Stream(record));
        }
    }

    /// Reports what this node has observed of an engine.
    pub(crate) fn report_observation(&self, coordinator: SocketAddr, observed: Observation) {
        if coordinator == self.own_addr {
            self.commands.send(Command::Observed(observed));
            return;
        }
        self.send(coordinator, Subject::Observation(observed));
    }

    fn send(&self, coordinator: SocketAddr, subject: Subject) {
        let report = Report {
            coordinator,
            subject,
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
            let mut by_addr: BTreeMap<SocketAddr, Message> = BTreeMap::new();
            for report in buf.drain(..) {
                let message = by_addr.entry(report.coordinator).or_default();
                match report.subject {
                    Subject::Progress(call, progress) => message.steps.push((call, progress)),
                    Subject::Stream(record) => message.streams.push(record),
                    Subject::Observation(observed) => message.observations.push(observed),
                }
            }
            let messages = by_addr
                .into_iter()
                .map(|(addr, message)| self.send(addr, message));
            futures::future::join_all(messages).await;
        }
    }

    async fn send(&self, addr: SocketAddr, message: Message) {
        let Message {
            steps,
            streams,
            observations,
        } = message;
        let count = steps.len() + streams.len();
        let sent = self
            .peers
            .call(addr, MESSAGE_TIMEOUT, |peer, cx| async move {
                peer.progress(cx, steps, streams, Some(observations)).await
            })
            .await;
        if let Err(error) = sent {
            // The coordinator drops calls without reports at their deadlines.
            tracing::info!(event = "progress_untold", %addr, count, %error);
        }
    }
}
