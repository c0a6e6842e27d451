//! The protocol between nodes, over tarpc.

use crate::feeds::{Feed, FeedAnswer};
use futures::FutureExt as _;
use futures::future::BoxFuture;
use reedford_fleet::ownership::Holder;
use reedford_fleet::scheduler::{AdapterHash, CallId, Grant, PlacementRequest, Progress, Refusal};
use reedford_fleet::{AdapterName, InstanceId, ModelName, Now, ServiceName, ZoneId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tarpc::client::Config;
use tarpc::serde_transport::tcp;
use tarpc::tokio_serde::formats::Json;

/// Connections to other nodes.
pub(crate) type PeerClients = reedford_rpc::PeerClients<PeerClient>;

/// A call that needs a place; times are spans from now, because nodes' clocks
/// differ.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct PlaceRequest {
    pub(crate) call: CallId,
    pub(crate) service: ServiceName,
    pub(crate) model: ModelName,
    pub(crate) adapter: Option<AdapterName>,
    pub(crate) tokens: u32,
    pub(crate) output: u32,
    pub(crate) priority: u8,
    /// Time until the first token is due; `None` when it was due before.
    pub(crate) due_in: Option<Duration>,
    pub(crate) patience: Duration,
    pub(crate) avoid: BTreeSet<InstanceId>,
    /// Whether a coordinator passed it on; it is not passed on again.
    pub(crate) passed_on: bool,
}

/// What a coordinator answers.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum PlaceAnswer {
    /// Send it there; tell `coordinator` what becomes of it.
    Granted {
        grant: Grant,
        coordinator: SocketAddr,
    },
    Refused(Refusal),
    /// The node asked is not the coordinator; it knows of this one.
    NotCoordinator(Option<Holder>),
}

/// Load of a zone, for the coordinators of the others.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct ZoneLoad {
    pub(crate) zone: ZoneId,
    pub(crate) wait: Duration,
    pub(crate) engines: usize,
    pub(crate) free_places: usize,
    /// Adapters that its engines serve, or will, as [`AdapterHash`]s.
    pub(crate) held: BTreeSet<AdapterHash>,
}

/// What nodes ask of each other.
#[tarpc::service]
pub(crate) trait Peer {
    /// Asks the coordinator of a zone for a place; answers once it is decided.
    async fn place(req: PlaceRequest) -> PlaceAnswer;
    /// Tells what became of granted calls.
    async fn progress(steps: Vec<(CallId, Progress)>);
    /// Tells the load of the sender's zone.
    async fn load(load: ZoneLoad);
    /// Asks a coordinator what is new in a part of the store after a revision,
    /// 0 for everything; `operators` is the newest revision of operators' keys
    /// that the asker knows. Answers within a second.
    async fn news(feed: Feed, after: i64, operators: i64) -> FeedAnswer;
    /// Asks whether the platform's store answers the other node.
    async fn store_answers() -> bool;
    /// Asks for the coordinator of a zone, as far as the other node knows.
    async fn coordinator(zone: ZoneId) -> Option<Holder>;
}

impl PlaceRequest {
    /// The call as the scheduler takes it.
    pub(crate) fn into_placement_request(self, now: Now) -> PlacementRequest {
        PlacementRequest {
            call: self.call,
            service: self.service,
            model: self.model,
            adapter: self.adapter,
            tokens: self.tokens,
            output: self.output,
            priority: self.priority,
            objective: now + self.due_in.unwrap_or_default(),
            deadline: now + self.patience,
            avoid: self.avoid,
        }
    }
}

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
