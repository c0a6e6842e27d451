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

/// A revision of the rules, as peers pass it on.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct RulesText {
    pub(crate) revision: u64,
    pub(crate) text: Box<str>,
}

/// What entry instances ask of each other.
#[tarpc::service]
pub(crate) trait Peer {
    /// Asks the owner of a worker for a permit; answers once it is decided.
    /// `traceparent` is the asker's span, when it is traced.
    async fn permit(req: PermitRequest, traceparent: Option<Box<str>>) -> PermitResponse;
    /// Gives a permit back.
    async fn release(release: Release);
    /// Tells what the sender owns and knows.
    async fn exchange(summary: Summary) -> SummaryResponse;
    /// Asks the zone's broker for the turn to load; answers when it comes.
    async fn turn(req: TurnRequest) -> TurnResponse;
    /// Changes the value of a load that waits for its turn.
    async fn revalue(req: TurnRequest);
    /// Ends a turn, or withdraws the ask for one.
    async fn turn_ended(worker: WorkerId, target: AdapterVersion);
    /// Hands a worker over to its next owner.
    async fn hand_over(handover: Handover);
    /// The rules in force.
    async fn rules() -> Option<RulesText>;
}

/// Connections to other entry instances.
pub(crate) type PeerClients = reedford_rpc::PeerClients<PeerClient>;

impl reedford_rpc::Client for PeerClient {
    fn open(addr: SocketAddr) -> BoxFuture<'static, io::Result<(Self, BoxFuture<'static, ()>)>> {
        async move {
            let transport = tcp::connect(addr, Json::default).await?;
            let new = Self::new(Config::default(), transport);
            let dispatch = new.dispatch.map(|_ended| ()).boxed();
            Ok((new.client, dispatch))
        }
        .boxed()
    }
}
