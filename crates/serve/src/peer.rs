//! The protocol between entry instances, over tarpc.

mod server;

pub(crate) use server::PeerServer;

use futures::FutureExt as _;
use futures::future::BoxFuture;
use reedford_core::messages::{
    Handover, PermitRequest, PermitResponse, Release, Summary, SummaryResponse, TurnRequest,
    TurnResponse,
};
use reedford_core::{AdapterVersion, WorkerId};
use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddr;
use tarpc::client::Config;
use tarpc::serde_transport::tcp;
use tarpc::tokio_serde::formats::Json;

/// The text of a revision of the rules.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct RulesText {
    pub(crate) revision: u64,
    pub(crate) text: Box<str>,
}

/// Calls between entry instances.
#[tarpc::service]
pub(crate) trait Peer {
    /// Requests a permit from the owner of a worker. Returns once it is granted or
    /// refused. `traceparent` is the sender's span, if it is traced.
    async fn permit(req: PermitRequest, traceparent: Option<Box<str>>) -> PermitResponse;
    /// Releases a permit, or withdraws the request for one.
    async fn release(release: Release);
    /// Sends the sender's periodic summary.
    async fn exchange(summary: Summary) -> SummaryResponse;
    /// Requests a load turn from the broker. Returns once it is granted or
    /// can't be granted in time.
    async fn turn(req: TurnRequest) -> TurnResponse;
    /// Changes the value of a load that is queued for a turn.
    async fn revalue(req: TurnRequest);
    /// Ends a turn, or withdraws the request for one.
    async fn turn_ended(worker: WorkerId, target: AdapterVersion);
    /// Hands a worker over to its next owner.
    async fn hand_over(handover: Handover);
    /// Returns the rules in force at the receiver.
    async fn rules() -> Option<RulesText>;
}

/// Connections to peers.
pub(crate) type PeerClients = reedford_rpc::PeerClients<PeerClient>;

impl reedford_rpc::Client for PeerClient {
    fn connect(addr: SocketAddr) -> BoxFuture<'static, io::Result<(Self, BoxFuture<'static, ()>)>> {
        async move {
            let transport = tcp::connect(addr, Json::default).await?;
            let new = Self::new(Config::default(), transport);
            let dispatch = new.dispatch.map(|_ended| ()).boxed();
            Ok((new.client, dispatch))
        }
        .boxed()
    }
}
