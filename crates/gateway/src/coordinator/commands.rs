//! What the coordinator's task is told.

use crate::peer::{PlaceAnswer, PlaceRequest, ZoneLoad};
use reedford_fleet::InstanceId;
use reedford_fleet::ownership::Fence;
use reedford_fleet::scheduler::{CallId, EngineReport, OrderOutcome, Progress};
use tokio::sync::{mpsc, oneshot};

/// A command to the coordinator's task.
#[derive(Debug)]
pub(crate) enum Command {
    /// Decide where a call runs.
    Place {
        req: PlaceRequest,
        reply: oneshot::Sender<PlaceAnswer>,
    },
    /// Nobody waits for a place any more, granted or not.
    Withdraw { call: CallId },
    /// A granted call went on.
    Progress { call: CallId, step: Progress },
    /// An engine answered an order of the term with this fencing number.
    OrderAnswered {
        fence: Fence,
        instance: InstanceId,
        answer: OrderOutcome,
    },
    /// An engine told what it holds, or did not.
    Reported {
        fence: Fence,
        instance: InstanceId,
        report: Option<EngineReport>,
    },
    /// Another zone told its load.
    ZoneLoad(ZoneLoad),
    /// Configuration, directory, versions or role changed.
    Refresh,
}

/// Takes commands. The queue needs no bound: each sender waits for an answer
/// or stands for a call in progress, whose number is bounded.
#[derive(Clone, Debug)]
pub(crate) struct CommandTx(mpsc::UnboundedSender<Command>);

/// Yields commands.
#[derive(Debug)]
pub(crate) struct Commands(mpsc::UnboundedReceiver<Command>);

/// Makes a queue of commands.
pub(crate) fn queue() -> (CommandTx, Commands) {
    let (tx, rx) = mpsc::unbounded_channel();
    (CommandTx(tx), Commands(rx))
}

impl Commands {
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

    /// Asks for a place. Dropping the future withdraws the call.
    pub(crate) async fn place(&self, req: PlaceRequest) -> PlaceAnswer {
        let mut asked = Asked {
            tx: self,
            call: Some(req.call.clone()),
        };
        let (reply, rx) = oneshot::channel();
        self.send(Command::Place { req, reply });
        let answer = rx.await.unwrap_or(PlaceAnswer::NotCoordinator(None));
        asked.call = None;
        answer
    }
}

/// Withdraws a call when it is dropped unanswered.
struct Asked<'a> {
    tx: &'a CommandTx,
    call: Option<CallId>,
}

impl Drop for Asked<'_> {
    fn drop(&mut self) {
        if let Some(call) = self.call.take() {
            self.tx.send(Command::Withdraw { call });
        }
    }
}
