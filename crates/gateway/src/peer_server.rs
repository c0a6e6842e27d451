//! Serves other nodes. Placements, progress and load become commands to the
//! coordinator's task.

use crate::body_part::BodyPart;
use crate::coordinator::{Charged, Command, CommandTx, UsageResponse};
use crate::feeds::{BodyRequest, Feed, FeedResponse, KnownMetadata};
use crate::membership::ZONE_PREFIX;
use crate::peer::{CallsReport, Peer, PlaceRequest, PlaceResponse, StreamRecord, ZoneLoad};
use crate::relay_watch;
use crate::state::Shared;
use crate::tunnel::{self, Tunnels};
use futures::StreamExt as _;
use reedford_fleet::departures::{DepartureSource, LeavingInstances};
use reedford_fleet::ownership::Holder;
use reedford_fleet::quarantine::EvidenceReport;
use reedford_fleet::quota::Usage;
use reedford_fleet::rate_limits::LimitsReport;
use reedford_fleet::scheduler::{Observation, PlacementId, Progress};
use reedford_fleet::stream_versions::StreamOrigin;
use reedford_fleet::transfer::Digest;
use reedford_fleet::workspaces::Charge;
use reedford_fleet::{AttemptId, Era, ZoneId};
use reedford_store::{KeyValue, Position};
use std::io::{self, Cursor};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tarpc::context::Context;
use tarpc::serde_transport;
use tarpc::server::{BaseChannel, Channel as _};
use tarpc::tokio_serde::formats::Json;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::io::AsyncReadExt as _;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Timeout for a store request made for another node. The store responds within
/// milliseconds, and within a few hundred when it is slow.
const STORE_TIMEOUT: Duration = Duration::from_millis(400);

/// Pause after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Server for other nodes' requests; cloned for each connection.
#[derive(Debug)]
pub(crate) struct PeerServer<K> {
    pub(crate) commands: CommandTx,
    pub(crate) shared: Arc<Shared>,
    pub(crate) store: Arc<K>,
    /// Limits the connections to instances that are passed on for other nodes.
    pub(crate) tunnels: Arc<Tunnels>,
}

impl<K> Clone for PeerServer<K> {
    fn clone(&self) -> Self {
        Self {
            commands: self.commands.clone(),
            shared: Arc::clone(&self.shared),
            store: Arc::clone(&self.store),
            tunnels: Arc::clone(&self.tunnels),
        }
    }
}

impl<K> PeerServer<K>
where
    K: KeyValue + 'static,
{
    /// Binds `addr` and serves until `stop`.
    pub(crate) async fn start(
        self,
        addr: SocketAddr,
        tasks: &TaskTracker,
        stop: CancellationToken,
    ) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind(addr).await?;
        let bound = listener.local_addr()?;
        let connections = tasks.clone();
        tasks.spawn(async move {
            while let Some(next) = stop.run_until_cancelled(listener.accept()).await {
                match next {
                    Ok((stream, _)) => {
                        let serving = self.clone().connection(stream);
                        let stop = stop.clone();
                        connections.spawn(async move {
                            if let Some(Err(error)) = stop.run_until_cancelled(serving).await {
                                tracing::debug!(event = "peer_connection_failed", %error);
                            }
                        });
                    }
                    Err(error) => {
                        tracing::debug!(event = "peer_accept_failed", %error);
                        sleep(ACCEPT_RETRY_DELAY).await;
                    }
                }
            }
        });
        Ok(bound)
    }

    /// Serves a connection, whose first bytes show what it is for.
    async fn connection(self, mut stream: TcpStream) -> io::Result<()> {
        // An error is ignored, since the option only reduces the latency of small writes.
        let _ = stream.set_nodelay(true);
        let mut first = [0; tunnel::MAGIC.len()];
        stream.read_exact(&mut first).await?;
        match first {
            tunnel::MAGIC => return tunnel::serve(stream, self.shared, self.tunnels).await,
            relay_watch::MAGIC => return relay_watch::serve(stream, self.shared).await,
            _ => {}
        }
        let (rx, tx) = stream.into_split();
        let stream = tokio::io::join(Cursor::new(first).chain(rx), tx);
        let frames = LengthDelimitedCodec::builder().new_framed(stream);
        let transport = serde_transport::new(frames, Json::default());
        let calls = BaseChannel::with_defaults(transport).execute(self.serve());
        calls.for_each_concurrent(None, |call| call).await;
        Ok(())
    }
}

impl<K> Peer for PeerServer<K>
where
    K: KeyValue + 'static,
{
    async fn place(self, _: Context, req: PlaceRequest) -> PlaceResponse {
        self.shared.lock().connectivity.on_success();
        self.commands.place(req).await
    }

    async fn progress(
        self,
        _: Context,
        steps: Vec<(PlacementId, Progress)>,
        streams: Vec<StreamRecord>,
        observations: Option<Vec<Observation>>,
    ) {
        let now = self.shared.now();
        self.shared.lock().record_streams(streams, now);
        for observed in observations.into_iter().flatten() {
            self.commands.send(Command::Observed(observed));
        }
        for (call, progress) in steps {
            self.commands.send(Command::Progress { call, progress });
        }
    }

    async fn calls(self, _: Context, mut report: CallsReport) -> bool {
        let now = self.shared.now();
        let mut state = self.shared.lock();
        let coordinates = state.role.held_fence().is_some();
        if coordinates {
            state.record_streams(std::mem::take(&mut report.streams), now);
            drop(state);
            self.commands.send(Command::Calls(report));
        }
        coordinates
    }

    async fn stream_origin(self, _: Context, attempt: AttemptId) -> Option<StreamOrigin> {
        self.shared.lock().stream_versions.get(&attempt).cloned()
    }

    async fn load(self, _: Context, load: ZoneLoad) {
        self.commands.send(Command::ZoneLoad(load));
    }

    async fn leaving(self, _: Context, instances: LeavingInstances) {
        for (id, born) in &instances {
            self.shared.on_departure(id, *born, DepartureSource::Node);
        }
    }

    async fn crashes(self, _: Context, report: EvidenceReport) {
        self.shared.merge_evidence(&report, "node");
    }

    async fn limits(self, _: Context, report: LimitsReport) {
        self.shared.merge_rate_limits(&report);
    }

    async fn news(
        self,
        _: Context,
        feed: Feed,
        after: i64,
        operators: i64,
        era: Option<Era>,
        notices: Option<u64>,
        body: Option<BodyRequest>,
    ) -> FeedResponse {
        self.shared.lock().connectivity.on_success();
        let after = Position {
            era: era.unwrap_or_default(),
            revision: after,
        };
        if let Some(era) = era {
            self.shared.eras.observe(era);
        }
        let known = KnownMetadata {
            body,
            operators,
            notices,
        };
        let clock = || self.shared.now();
        self.shared.feeds.poll(feed, after, known, clock).await
    }

    async fn body_part(self, _: Context, body: Digest, offset: usize) -> Option<BodyPart> {
        let body = self.shared.feeds.offered_body(body)?;
        let part = body.part(offset)?;
        let now = self.shared.now();
        let wait = self.shared.lock().link_share.take(part.len(), now);
        sleep(wait).await;
        Some(BodyPart(part.into()))
    }

    async fn store_answers(self, _: Context) -> bool {
        if self.shared.lock().stopping {
            return false;
        }
        let listing = timeout(STORE_TIMEOUT, self.store.list(ZONE_PREFIX)).await;
        matches!(listing, Ok(Ok(_)))
    }

    async fn coordinator(self, _: Context, zone: ZoneId) -> Option<Holder> {
        self.shared.lock().coordinator(&zone).cloned()
    }

    async fn charge(self, _: Context, charge: Charge) -> Charged {
        self.commands.charge(charge).await
    }

    async fn usage(self, _: Context, usage: Usage) -> UsageResponse {
        self.commands.usage(usage).await
    }

    async fn reaches_instances(self, _: Context) -> bool {
        !self.shared.lock().links.is_cut()
    }
}
