//! Tells coordinators what becomes of granted calls, several in one message.

use crate::coordinator::{Command, CommandTx};
use crate::peer::PeerClients;
use reedford_fleet::scheduler::{CallId, Progress};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// Time for one message.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(500);
/// Steps in one message at most.
const MESSAGE_STEPS: usize = 64;

/// A step of a call, and whom to tell.
#[derive(Debug)]
struct Step {
    coordinator: SocketAddr,
    call: CallId,
    step: Progress,
}

/// Takes steps.
#[derive(Clone, Debug)]
pub(crate) struct ProgressTx {
    steps: mpsc::UnboundedSender<Step>,
    commands: CommandTx,
    own: SocketAddr,
}

/// Sends steps on.
#[derive(Debug)]
pub(crate) struct ProgressTask {
    steps: mpsc::UnboundedReceiver<Step>,
    peers: Arc<PeerClients>,
}

/// Makes the two ends. `own` is this node's address for other nodes.
pub(crate) fn progress(
    commands: CommandTx,
    peers: Arc<PeerClients>,
    own: SocketAddr,
) -> (ProgressTx, ProgressTask) {
    let (tx, steps) = mpsc::unbounded_channel();
    let tx = ProgressTx {
        steps: tx,
        commands,
        own,
    };
    (tx, ProgressTask { steps, peers })
}

impl ProgressTx {
    /// Tells a step.
    pub(crate) fn tell(&self, coordinator: SocketAddr, call: CallId, step: Progress) {
        if coordinator == self.own {
            self.commands.send(Command::Progress { call, step });
            return;
        }
        let step = Step {
            coordinator,
            call,
            step,
        };
        if self.steps.send(step).is_err() {
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
                .run_until_cancelled(self.steps.recv_many(&mut buf, MESSAGE_STEPS))
                .await;
            if received.is_none_or(|count| count == 0) {
                return;
            }
            let mut by_addr: BTreeMap<SocketAddr, Vec<(CallId, Progress)>> = BTreeMap::new();
            for step in buf.drain(..) {
                let steps = by_addr.entry(step.coordinator).or_default();
                steps.push((step.call, step.step));
            }
            let messages = by_addr
                .into_iter()
                .map(|(addr, steps)| self.send(addr, steps));
            futures::future::join_all(messages).await;
        }
    }

    async fn send(&self, addr: SocketAddr, steps: Vec<(CallId, Progress)>) {
        let count = steps.len();
        let told = self
            .peers
            .call(addr, MESSAGE_TIMEOUT, |peer, cx| async move {
                peer.progress(cx, steps).await
            })
            .await;
        if let Err(error) = told {
            // The coordinator forgets the calls at their deadlines.
            tracing::info!(event = "progress_untold", %addr, count, %error);
        }
    }
}
