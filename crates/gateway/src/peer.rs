//! The protocol between nodes, over tarpc.

#![expect(
    clippy::too_many_arguments,
    reason = "nodes of earlier versions send the arguments one by one"
)]

use crate::body_part::BodyPart;
use crate::feeds::{BodyRequest, Feed, FeedResponse};
use futures::FutureExt as _;
use futures::future::BoxFuture;
use reedford_fleet::departures::LeavingInstances;
use reedford_fleet::ownership::Holder;
use reedford_fleet::quarantine::EvidenceReport;
use reedford_fleet::quota::{ChargeOutcome, Usage};
use reedford_fleet::rate_limits::LimitsReport;
use reedford_fleet::scheduler::{
    AdapterHash, AdapterKey, Grant, Observation, PlacementId, PlacementRequest, Progress,
    PromptPart, Refusal, RunningCall,
};
use reedford_fleet::stream_versions::StreamOrigin;
use reedford_fleet::transfer::Digest;
use reedford_fleet::workspaces::{Charge, WorkspaceName};
use reedford_fleet::{
    AdapterName, AttemptId, Era, InstanceId, ModelName, Now, ServiceName, SoftwareVersion, ZoneId,
};
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

/// Request of [`Peer::place`]: a call that needs an instance. The scheduler's form
/// is [`PlacementRequest`]. Times are relative, because nodes' clocks differ.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct PlaceRequest {
    pub(crate) call: PlacementId,
    pub(crate) service: ServiceName,
    pub(crate) model: ModelName,
    pub(crate) adapter: Option<AdapterName>,
    /// Number of prompt tokens.
    pub(crate) tokens: u32,
    /// Parts of the prompt in order.
    pub(crate) parts: Vec<PromptPart>,
    /// Maximum number of generated tokens.
    pub(crate) output: u32,
    pub(crate) priority: u8,
    /// Time until the first token is due; `None` if that time has passed.
    pub(crate) due_in: Option<Duration>,
    /// Time until the caller gives up unless it gets the first token.
    pub(crate) first_token_in: Duration,
    /// Time until the caller's deadline.
    pub(crate) patience: Duration,
    /// Instances that must not be granted.
    pub(crate) avoid: BTreeSet<InstanceId>,
    /// Software version that the instance must have, to resume a stream.
    pub(crate) software: Option<SoftwareVersion>,
    /// Whether another coordinator forwarded the call; a call is forwarded at
    /// most once.
    pub(crate) passed_on: bool,
    /// The caller's workspace, if the configuration has any.
    #[serde(default)]
    pub(crate) workspace: Option<WorkspaceName>,
    /// Priority of the workspace, which goes before that of the route.
    #[serde(default)]
    pub(crate) workspace_priority: Option<u8>,
    /// Target for the longest gap between two events of the stream.
    #[serde(default)]
    pub(crate) max_gap: Option<Duration>,
    /// Units of the workspace's limit, if the call was not charged yet.
    #[serde(default)]
    pub(crate) charge: Option<u64>,
}

/// A coordinator's response to a [`PlaceRequest`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum PlaceResponse {
    /// Send the call to the granted instance, and report its progress to
    /// `coordinator`.
    Granted {
        grant: Grant,
        coordinator: SocketAddr,
    },
    Refused(Refusal),
    /// The receiver is not the coordinator, and names the one that it knows of.
    NotCoordinator(Option<Holder>),
}

/// Load of a zone, as sent to the coordinators of other zones: the scheduler's
/// `LoadSummary` with the adapters held.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct ZoneLoad {
    pub(crate) zone: ZoneId,
    /// Shortest wait for a first token at any engine of the zone.
    pub(crate) wait: Duration,
    pub(crate) engines: usize,
    /// Adapter slots that are available at once.
    pub(crate) free_places: usize,
    /// [`AdapterHash`]s of the adapters that the zone's engines serve or are
    /// loading.
    pub(crate) held: BTreeSet<AdapterHash>,
}

/// What a node reports to a new coordinator about the engines of its zone.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(crate) struct CallsReport {
    pub(crate) running: Vec<ReportedCall>,
    /// Adapters of recent calls with the engines that they ran on, the latest
    /// last.
    pub(crate) recent: Vec<(AdapterKey, InstanceId)>,
    /// Origins of recent streams, the latest last.
    pub(crate) streams: Vec<StreamRecord>,
}

/// The origin of the stream that an attempt of a caller received events of.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct StreamRecord {
    pub(crate) attempt: AttemptId,
    pub(crate) origin: StreamOrigin,
}

/// A running call in a [`CallsReport`]; the scheduler's form is [`RunningCall`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct ReportedCall {
    pub(crate) call: PlacementId,
    pub(crate) instance: InstanceId,
    pub(crate) key: Option<AdapterKey>,
    /// Number of prompt tokens.
    pub(crate) tokens: u32,
    /// Maximum number of generated tokens.
    pub(crate) output: u32,
    /// Whether the first token came.
    pub(crate) started: bool,
    /// Time until the caller's deadline.
    pub(crate) patience: Duration,
}

/// Requests between nodes.
#[tarpc::service]
pub(crate) trait Peer {
    /// Requests an instance from a zone's coordinator, which responds once it
    /// has decided.
    async fn place(req: PlaceRequest) -> PlaceResponse;
    /// Reports the progress of granted calls and the origins of streams.
    /// `observations` is `None` from a node that reports none.
    async fn progress(
        steps: Vec<(PlacementId, Progress)>,
        streams: Vec<StreamRecord>,
        observations: Option<Vec<Observation>>,
    );
    /// Asks where the stream of a caller's attempt began.
    async fn stream_origin(attempt: AttemptId) -> Option<StreamOrigin>;
    /// Reports the sender's calls on the engines of the receiver's zone to a new
    /// coordinator. Returns whether the receiver is the coordinator.
    async fn calls(report: CallsReport) -> bool;
    /// Reports the load of the sender's zone.
    async fn load(load: ZoneLoad);
    /// Reports instances that announced to the sender, or to a node that reported it
    /// to the sender, that they are leaving.
    async fn leaving(instances: LeavingInstances);
    /// Reports what the sender knows of calls under which instances crash.
    async fn crashes(report: EvidenceReport);
    /// Reports the limits on calls that instances named to the sender, or to a node that
    /// reported them to the sender.
    async fn limits(report: LimitsReport);
    /// Long-polls a coordinator for the changes of a feed after a revision, 0
    /// for all keys. `operators` is the newest revision of operators' keys that
    /// the sender knows. Both are revisions of `era`, the newest era of the store
    /// that the sender knows. `notices` is the revision of the receiver's notices
    /// that the sender has, 0 if none; `None` if it wants none. `body` says how the
    /// sender can get values that are too large for a response; `None` from a node that
    /// can't. Responds within a second.
    async fn news(
        feed: Feed,
        after: i64,
        operators: i64,
        era: Option<Era>,
        notices: Option<u64>,
        body: Option<BodyRequest>,
    ) -> FeedResponse;
    /// Requests the part at an offset of a body that the receiver offered; `None` if it
    /// no longer has that body.
    async fn body_part(body: Digest, offset: usize) -> Option<BodyPart>;
    /// Asks whether the platform's store responds to the receiver.
    async fn store_answers() -> bool;
    /// Asks which coordinator of a zone the receiver knows of.
    async fn coordinator(zone: ZoneId) -> Option<Holder>;
    /// Asks whether the receiver's own links to the instances are up.
    async fn reaches_instances() -> bool;
    /// Requests that a zone's coordinator charges a call to its part of a workspace's
    /// limit; `None` if the receiver isn't the coordinator.
    async fn charge(charge: Charge) -> Option<ChargeOutcome>;
    /// Reports calls that the sender admitted, or that did not run, to a coordinator.
    /// Returns for how long it wants calls of these workspaces refused; `None` if the
    /// receiver isn't the coordinator.
    async fn usage(usage: Usage) -> Option<Vec<(WorkspaceName, Duration)>>;
}

impl PlaceRequest {
    /// Converts the request to the scheduler's type; `now` is the time of arrival
    /// at this node.
    pub(crate) fn into_placement_request(self, now: Now) -> PlacementRequest {
        PlacementRequest {
            call: self.call,
            service: self.service,
            model: self.model,
            adapter: self.adapter,
            tokens: self.tokens,
            parts: self.parts,
            output: self.output,
            priority: self.priority,
            workspace: self.workspace,
            workspace_priority: self.workspace_priority,
            max_gap: self.max_gap,
            objective_at: now + self.due_in.unwrap_or_default(),
            first_token_by: now + self.first_token_in,
            deadline: now + self.patience,
            avoid: self.avoid,
            software: self.software,
        }
    }
}

impl ReportedCall {
    /// Converts the report to the scheduler's type; `now` is the time of arrival at
    /// this node.
    pub(crate) fn into_running_call(self, now: Now) -> RunningCall {
        RunningCall {
            call: self.call,
            instance: self.instance,
            key: self.key,
            tokens: self.tokens,
            output: self.output,
            started: self.started,
            deadline: now + self.patience,
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
