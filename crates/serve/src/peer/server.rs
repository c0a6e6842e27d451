//! The server for peers, which passes each call to the control thread as a
//! command.

use super::{Peer, RulesText};
use crate::control::{Command, CommandTx};
use crate::spans;
use futures::StreamExt as _;
use reedford_core::broker::LoadKey;
use reedford_core::messages::{
    Handover, PermitReason, PermitRefusal, PermitRequest, PermitResponse, Release, Summary,
    SummaryResponse, TurnRequest, TurnResponse,
};
use reedford_core::{AdapterVersion, WorkerId};
use std::net::SocketAddr;
use std::time::Duration;
use tarpc::context::Context;
use tarpc::serde_transport::tcp;
use tarpc::server::{BaseChannel, Channel as _};
use tarpc::tokio_serde::formats::Json;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tracing::Instrument as _;

/// Serves the calls of peers.
#[derive(Clone, Debug)]
pub(crate) struct PeerServer {
    pub(crate) control: CommandTx,
    pub(crate) incarnation: u64,
}

impl PeerServer {
    /// Binds `addr`, starts a server that runs until `stop` is cancelled, and
    /// returns the bound address.
    pub(crate) async fn start(
        self,
        addr: SocketAddr,
        tasks: &TaskTracker,
        stop: CancellationToken,
    ) -> std::io::Result<SocketAddr> {
        let mut incoming = tcp::listen(addr, Json::default).await?;
        let bound = incoming.local_addr();
        let connections = tasks.clone();
        tasks.spawn(async move {
            loop {
                let transport = tokio::select! {
                    next = incoming.next() => next,
                    () = stop.cancelled() => None,
                };
                match transport {
                    Some(Ok(transport)) => {
                        let serving = self.clone().connection(transport, stop.clone());
                        connections.spawn(serving);
                    }
                    Some(Err(_)) => {}
                    None => break,
                }
            }
        });
        Ok(bound)
    }

    async fn connection<T>(self, transport: T, stop: CancellationToken)
    where
        T: tarpc::Transport<
                tarpc::Response<super::PeerResponse>,
                tarpc::ClientMessage<super::PeerRequest>,
            > + Send
            + 'static,
        T::Error: Send + Sync,
    {
        let calls = BaseChannel::with_defaults(transport).execute(self.serve());
        let serving = calls.for_each_concurrent(None, |call| call);
        tokio::select! {
            () = serving => (),
            () = stop.cancelled() => (),
        }
    }

    /// Sends the control thread the command made by `make`, and waits for its
    /// reply. Returns `None` if the control thread has ended.
    async fn query<T, F>(&self, make: F) -> Option<T>
    where
        F: FnOnce(oneshot::Sender<T>) -> Command,
    {
        let (tx, rx) = oneshot::channel();
        self.control.send(make(tx)).await.ok()?;
        rx.await.ok()
    }

    async fn send(&self, command: Command) {
        if self.control.send(command).await.is_err() {
            tracing::debug!(event = "peer_call_after_stop");
        }
    }
}

impl Peer for PeerServer {
    async fn permit(
        self,
        _: Context,
        req: PermitRequest,
        traceparent: Option<Box<str>>,
    ) -> PermitResponse {
        let span = spans::owner_permit(&req.worker, traceparent.as_deref());
        let response = self.query(|reply| Command::Permit { req, reply });
        let response = response.instrument(span).await;
        let not_owner = || PermitRefusal::new(PermitReason::NotOwner, Duration::ZERO);
        response.unwrap_or_else(|| PermitResponse::Refused(not_owner()))
    }

    async fn release(self, _: Context, release: Release) {
        self.send(Command::Release(release)).await;
    }

    async fn exchange(self, _: Context, summary: Summary) -> SummaryResponse {
        let response = self
            .query(|reply| Command::Summary { summary, reply })
            .await;
        response.unwrap_or(SummaryResponse {
            incarnation: self.incarnation,
            promise: false,
        })
    }

    async fn turn(self, _: Context, req: TurnRequest) -> TurnResponse {
        let response = self.query(|reply| Command::Turn { req, reply }).await;
        response.unwrap_or(TurnResponse::Lost)
    }

    async fn revalue(self, _: Context, req: TurnRequest) {
        self.send(Command::Revalue(req)).await;
    }

    async fn turn_ended(self, _: Context, worker: WorkerId, target: AdapterVersion) {
        self.send(Command::TurnEnded(LoadKey { worker, target }))
            .await;
    }

    async fn hand_over(self, _: Context, handover: Handover) {
        self.send(Command::HandOver(handover)).await;
    }

    async fn rules(self, _: Context) -> Option<RulesText> {
        self.query(|reply| Command::Rules { reply }).await.flatten()
    }
}
