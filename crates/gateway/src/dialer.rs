//! Opens connections to instances: directly, or through another node while this node's
//! own links are broken.

mod link_tests;

pub(crate) use link_tests::MAX_CONCURRENT_TESTS;

use crate::relay_watch::RelayWatches;
use crate::state::Shared;
use crate::tunnel::{self, Status, TunnelError};
use futures::FutureExt as _;
use futures::future::BoxFuture;
use link_tests::LinkTest;
use reedford_fleet::InstanceId;
use reedford_fleet::directory::Instance;
use reedford_fleet::links::{LinkChange, Route};
use reedford_fleet::relays::RelayNode;
use reedford_targets::{Dialed, Dialer, NotSentReason, Pool, Relay};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::{interval, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Time after which a direct connection that is not established is tried through another
/// node as well. Instances are a few milliseconds away.
const RELAY_DELAY: Duration = Duration::from_millis(150);
/// Nodes that are asked for one connection.
const MAX_NODES_ASKED: usize = 3;
/// Nodes that may fail to reach an instance before it counts as unreachable: the first
/// one may have lost its link to it, too.
const MAX_FAILURES: usize = 2;
/// Interval at which relayed connections that are not used any more are closed, and
/// broken links are tested whose test is due.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Cores that a coordinator of unknown size is assumed to have.
const ASSUMED_CORES: f64 = 0.25;

/// Opens connections to instances. Clones share their state.
#[derive(Clone, Debug)]
pub(crate) struct InstanceDialer {
    pub(crate) shared: Arc<Shared>,
    pub(crate) own_addr: SocketAddr,
    pub(crate) relays: Arc<RelayWatches>,
    pub(crate) tasks: TaskTracker,
    /// Places for tests of links.
    pub(crate) tests: Arc<Semaphore>,
    pub(crate) stop: CancellationToken,
}

/// An instance to connect to.
#[derive(Clone, Debug)]
struct Target {
    id: InstanceId,
    addr: SocketAddr,
}

impl Target {
    fn new(instance: &Instance) -> Self {
        Self {
            id: instance.id.clone(),
            addr: instance.addr,
        }
    }
}

impl Dialer for InstanceDialer {
    fn dial(&self, addr: SocketAddr) -> BoxFuture<'_, Result<Dialed, NotSentReason>> {
        async move {
            let Some((target, route)) = self.route(addr) else {
                return direct(addr).await;
            };
            match route {
                Route::Direct => self.dial_both(&target).await,
                Route::DirectOnly => self.dial_direct(&target).await,
                Route::Relayed { test } => {
                    if test {
                        self.spawn_test(target.clone(), LinkTest::Relayed);
                    }
                    match self.relay(&target).await {
                        Ok(dialed) => Ok(dialed),
                        Err(Some(Status::Refused)) => {
                            Err(NotSentReason::Connect(ErrorKind::ConnectionRefused))
                        }
                        Err(_) => self.dial_direct(&target).await,
                    }
                }
            }
        }
        .boxed()
    }

    /// Tests a broken link while connections around it are in use, so that they go out of
    /// use when it works again: the node that relays them may be stopped.
    fn uses_relay(&self, addr: SocketAddr) -> bool {
        match self.route(addr) {
            Some((target, Route::Relayed { test })) => {
                if test {
                    self.spawn_test(target, LinkTest::Relayed);
                }
                true
            }
            Some((_, Route::Direct | Route::DirectOnly)) => false,
            None => true,
        }
    }
}

impl InstanceDialer {
    fn route(&self, addr: SocketAddr) -> Option<(Target, Route)> {
        let now = self.shared.now();
        let mut state = self.shared.lock();
        let mut instances = state.directory.all();
        let id = instances.find(|i| i.addr == addr)?.id.clone();
        drop(instances);
        let route = state.links.route(&id, now);
        Some((Target { id, addr }, route))
    }

    /// Connects directly, and through another node if that fails or takes long.
    async fn dial_both(&self, target: &Target) -> Result<Dialed, NotSentReason> {
        let mut direct = std::pin::pin!(TcpStream::connect(target.addr));
        match timeout(RELAY_DELAY, &mut direct).await {
            Ok(Ok(stream)) => self.finish_direct(target, Ok(stream)),
            Ok(Err(error)) => {
                self.on_failed(target, false);
                self.relay_instead(target, &error).await
            }
            Err(_elapsed) => {
                self.on_failed(target, true);
                self.race(target, direct).await
            }
        }
    }

    /// Connects through another node while a direct connection is under way.
    async fn race<F>(&self, target: &Target, mut direct: F) -> Result<Dialed, NotSentReason>
    where
        F: Future<Output = io::Result<TcpStream>> + Unpin,
    {
        let mut relaying = std::pin::pin!(self.relay(target));
        tokio::select! {
            biased;
            connected = &mut direct => match connected {
                Ok(stream) => self.finish_direct(target, Ok(stream)),
                Err(error) => self.relay_instead(target, &error).await,
            },
            relay = &mut relaying => match relay {
                Ok(dialed) => Ok(dialed),
                Err(_) => self.finish_direct(target, direct.await),
            }
        }
    }

    /// Connects through another node after a direct connection failed.
    async fn relay_instead(
        &self,
        target: &Target,
        direct_error: &io::Error,
    ) -> Result<Dialed, NotSentReason> {
        let relayed = self.relay(target).await;
        relayed.map_err(|_status| NotSentReason::Connect(direct_error.kind()))
    }

    async fn dial_direct(&self, target: &Target) -> Result<Dialed, NotSentReason> {
        self.finish_direct(target, TcpStream::connect(target.addr).await)
    }

    fn finish_direct(
        &self,
        target: &Target,
        connected: io::Result<TcpStream>,
    ) -> Result<Dialed, NotSentReason> {
        match connected {
            Ok(stream) => {
                self.on_connected(target);
                Ok(unrelayed(stream))
            }
            Err(error) => {
                self.on_failed(target, false);
                Err(NotSentReason::Connect(error.kind()))
            }
        }
    }

    /// Opens a connection through another node. An error has the status if the node could
    /// not reach the instance.
    async fn relay(&self, target: &Target) -> Result<Dialed, Option<Status>> {
        let mut failures = 0;
        for _ in 0..MAX_NODES_ASKED {
            let Some(node) = self.choose_node() else {
                return Err(None);
            };
            let relay = self.relays.get(node);
            let opened = tunnel::open(node, &target.id).await;
            let now = self.shared.now();
            match opened {
                // The node began to stop meanwhile.
                Ok(_) if relay.is_retired() => {}
                Ok(stream) => {
                    tracing::info!(event = "relayed", instance = %target.id, %node);
                    self.on_relayed(target);
                    return Ok(relayed(stream, relay));
                }
                Err(TunnelError::Status(
                    status @ (Status::Refused | Status::Unreachable | Status::Unknown),
                )) => {
                    tracing::info!(event = "unrelayed", instance = %target.id, %node, ?status);
                    failures += 1;
                    if failures >= MAX_FAILURES {
                        self.shared.lock().links.on_unreachable(&target.id, now);
                        return Err(Some(status));
                    }
                }
                Err(error) => {
                    tracing::info!(event = "unrelayed", instance = %target.id, %node, %error);
                    self.shared.lock().relays.avoid(node, now);
                }
            }
        }
        Err(None)
    }

    /// Selects a node, and requests the list of nodes if there is none.
    fn choose_node(&self) -> Option<SocketAddr> {
        let now = self.shared.now();
        let state = self.shared.lock();
        if state.relays.wants_list(now) {
            self.shared.relays_wanted.notify_one();
        }
        let own = state.role.holder().map(|holder| (&state.zone, holder));
        let coordinators = own.into_iter().chain(&state.other_coordinators);
        let others = coordinators.map(|(zone, holder)| RelayNode {
            addr: holder.addr,
            zone: zone.clone(),
            cores: ASSUMED_CORES,
        });
        let others: Vec<RelayNode> = others.filter(|n| n.addr != self.own_addr).collect();
        state
            .relays
            .choose(&state.zone, &others, rand::random(), now)
    }

    fn on_connected(&self, target: &Target) {
        let now = self.shared.now();
        let change = self.shared.lock().links.on_connected(&target.id, now);
        self.on_change(change);
    }

    fn on_failed(&self, target: &Target, hung: bool) {
        let now = self.shared.now();
        self.shared.lock().links.on_failed(&target.id, hung, now);
    }

    fn on_relayed(&self, target: &Target) {
        let now = self.shared.now();
        let mut state = self.shared.lock();
        let instances = state.directory.all().count();
        let change = state.links.on_relayed(&target.id, instances, now);
        drop(state);
        self.on_change(change);
    }

    fn on_change(&self, change: Option<LinkChange>) {
        match change {
            Some(LinkChange::Broken) => self.test_others(),
            Some(LinkChange::Cut { hung }) => {
                tracing::warn!(event = "links_cut", hung);
                self.shared.lock().health.forgive();
                self.shared.links_cut.send_replace(hung);
            }
            Some(LinkChange::Restored) => tracing::warn!(event = "links_restored"),
            None => {}
        }
    }
}

/// Closes idle connections to instances that are dead because the links to them hang, or
/// that depend on another node for no reason, until the node stops. Tests broken links.
pub(crate) async fn keep_up_connections(dialer: InstanceDialer, pool: Arc<Pool>) {
    let mut cuts = dialer.shared.links_cut.subscribe();
    let mut ticks = interval(UPKEEP_INTERVAL);
    let stop = dialer.stop.clone();
    let upkeep = async {
        loop {
            tokio::select! {
                changed = cuts.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let hung = *cuts.borrow_and_update();
                    if hung {
                        pool.drop_idle_direct();
                    }
                }
                _ = ticks.tick() => {
                    dialer.test_broken_links(&pool.idle_relayed());
                    pool.drop_unused_relayed();
                }
            }
        }
    };
    stop.run_until_cancelled(upkeep).await;
}

async fn direct(addr: SocketAddr) -> Result<Dialed, NotSentReason> {
    let connected = TcpStream::connect(addr).await;
    connected
        .map(unrelayed)
        .map_err(|error| NotSentReason::Connect(error.kind()))
}

const fn unrelayed(stream: TcpStream) -> Dialed {
    Dialed {
        stream,
        relay: None,
    }
}

const fn relayed(stream: TcpStream, relay: Arc<Relay>) -> Dialed {
    Dialed {
        stream,
        relay: Some(relay),
    }
}
