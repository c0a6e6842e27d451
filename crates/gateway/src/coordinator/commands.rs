//! Commands to the coordinator's task.

use super::quotas::ShortCall;
use crate::peer::{CallsReport, PlaceRequest, PlaceResponse, ZoneLoad};
use reedford_fleet::ownership::Fence;
use reedford_fleet::quota::{ChargeOutcome, Usage};
use reedford_fleet::scheduler::{
    EngineReport, Observation, Order, OrderOutcome, PlacementId, Progress,
};
use reedford_fleet::workspaces::{Charge, WorkspaceName};
use reedford_fleet::{InstanceId, ZoneId};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Whether a call was charged; `None` if this node isn't the coordinator.
pub(crate) type Charged = Option<ChargeOutcome>;
/// Workspaces whose calls a node has to refuse, and for how long; `None` if this node
/// isn't the coordinator.
pub(crate) type UsageResponse = Option<Vec<(WorkspaceName, Duration)>>;

pub(crate) enum Command {
    /// Decide where a call runs.
    Place {
        req: PlaceRequest,
        response_tx: oneshot::Sender<PlaceResponse>,
    },
    /// Place a call that another zone has charged.
    PlaceCharged {
        req: PlaceRequest,
        charge: Charge,
        response_tx: oneshot::Sender<PlaceResponse>,
    },
    /// No other zone can charge a call. `short` are those that were asked, with the times
    /// after which they can.
    LimitReached {
        call: ShortCall,
        short: Vec<(ZoneId, Duration)>,
    },
    /// Another zone has granted a call.
    GrantedElsewhere { call: PlacementId },
    /// Charge a call to this zone's part of its workspace's limit.
    Charge {
        charge: Charge,
        response_tx: oneshot::Sender<Charged>,
    },
    /// Charge calls that a node admitted.
    Usage {
        usage: Usage,
        response_tx: oneshot::Sender<UsageResponse>,
    },
    /// The requester no longer waits for the placement, which may have been granted
    /// already.
    Cancel { call: PlacementId },
    /// A granted call made progress.
    Progress {
        call: PlacementId,
        progress: Progress,
    },
    /// A node has observed something of an engine.
    Observed(Observation),
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

    /// Requests the charge of a call.
    pub(crate) async fn charge(&self, charge: Charge) -> Charged {
        let (response_tx, rx) = oneshot::channel();
        self.send(Command::Charge {
            charge,
            response_tx,
        });
        rx.await.ok().flatten()
    }

    /// Reports the calls that a node admitted.
    pub(crate) async fn usage(&self, usage: Usage) -> UsageResponse {
        let (response_tx, rx) = oneshot::channel();
        self.send(Command::Usage { usage, response_tx });
        rx.await.ok().flatten()
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
