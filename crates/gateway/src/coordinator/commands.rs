//! Commands to the coordinator's task.

use crate::peer::{CallsReport, PlaceRequest, PlaceResponse, ZoneLoad};
use reedford_fleet::InstanceId;
use reedford_fleet::ownership::Fence;
use reedford_fleet::scheduler::{EngineReport, Order, OrderOutcome, PlacementId, Progress};
use tokio::sync::{mpsc, oneshot};

#[derive(Debug)]
pub(crate) enum Command {
    /// Decide where a call runs.
    Place {
        req: PlaceRequest,
        response_tx: oneshot::Sender<PlaceResponse>,
    },
    /// The requester no longer waits for the placement, which may have been granted
    /// already.
    Cancel { call: PlacementId },
    /// A granted call made progress.
    Progress {
        call: PlacementId,
        progress: Progress,
    },
    /// An order has an outcome, which may be `Unknown`. `fence` is the
    /// token of the term in which the order was sent.
    OrderCompleted {
        fence: Fence,
        order: Order,
        outcome: OrderOutcome,
    },
    /// An engine's report, or `None` if the request for it failed.
    ReportFetched {
        fence: Fence,
        instance: InstanceId,
        report: Option<EngineReport>,
    },
    /// A node reported the calls that it runs on this zone's engines.
    Calls(CallsReport),
    /// Another zone reported its load.
    ZoneLoad(ZoneLoad),
    /// The configuration, directory, versions or role changed.
    Refresh,
}

/// Sending half of the command queue. The queue is unbounded because each
/// sender either waits for a response or belongs to a call in progress, and the
/// number of those is bounded.
#[derive(Clone, Debug)]
pub(crate) struct CommandTx(mpsc::UnboundedSender<Command>);

/// Receiving half of the command queue.
#[derive(Debug)]
pub(crate) struct CommandRx(mpsc::UnboundedReceiver<Command>);

pub(crate) fn command_queue() -> (CommandTx, CommandRx) {
    let (tx, rx) = mpsc::unbounded_channel();
    (CommandTx(tx), CommandRx(rx))
}

impl CommandRx {
    pub(crate) async fn next(&mut self) -> Option<Command> {
        self.0.recv().await
    }

    pub(crate) fn try_next(&mut self) -> Option<Command> {
        self.0.try_recv().ok()
    }
}

impl CommandTx {
    pub(crate) fn send(&self, command: Command) {
        if self.0.send(command).is_err() {
            tracing::debug!(event = "command_after_stop");
        }
    }

    /// Requests a placement. Dropping the future cancels the call.
    pub(crate) async fn place(&self, req: PlaceRequest) -> PlaceResponse {
        let mut pending = PendingPlacement {
            tx: self,
            call: Some(req.call.clone()),
        };
        let (response_tx, rx) = oneshot::channel();
        self.send(Command::Place { req, response_tx });
        let response = rx.await.unwrap_or(PlaceResponse::NotCoordinator(None));
        pending.call = None;
        response
    }
}

/// Cancels a call if it is dropped before the response.
struct PendingPlacement<'a> {
    tx: &'a CommandTx,
    call: Option<PlacementId>,
}

impl Drop for PendingPlacement<'_> {
    fn drop(&mut self) {
        if let Some(call) = self.call.take() {
            self.tx.send(Command::Cancel { call });
        }
    }
}
