//! The life of a node as a process: start, signals, graceful stop.

use crate::coordinator::{Coordinator, Parts, queue};
use crate::feeds::Feed;
use crate::handler::{Callers, Gateway};
use crate::log::Log;
use crate::membership::{Members, Membership, ZONES};
use crate::metrics::Metrics;
use crate::peer::PeerClients;
use crate::peer_server::PeerServer;
use crate::places::Places;
use crate::ports::Dialect;
use crate::probes::{MetricsPage, Readiness};
use crate::progress::progress;
use crate::sending::Sender;
use crate::settings::GatewaySettings;
use crate::state::Shared;
use crate::sync::{Part, Stores, Sync};
use eyre::{Result, WrapErr as _};
use reedford_fleet::ownership::Role;
use reedford_front::{ConnectionLimits, HttpService, ShutdownSignals, serve_connections};
use reedford_store::KeyValue;
use reedford_targets::Pool;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Time to connect to an instance or another node; they are at most
/// milliseconds away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which a stopping node still takes new connections: the balancer
/// notices after two questions, a second apart.
const LAME_DUCK: Duration = Duration::from_millis(2_600);
/// Time kept at the end of the grace for closing.
const CLOSING: Duration = Duration::from_millis(700);
/// Longest time an unused caller's connection stays open; longer than any
/// configured idle time of callers.
const IDLE_CALLERS: Duration = Duration::from_secs(75);
/// Descriptors kept for everything but callers.
const OTHER_DESCRIPTORS: usize = 1_200;
/// Wait before a vacant coordinator's role is claimed, of a node with one core.
/// A node with a part of a core waits longer in proportion, so that the largest
/// nodes of a zone claim first; a claim takes some ten milliseconds.
const CLAIM_PATIENCE: Duration = Duration::from_millis(20);
/// Cores that a node is taken to have at least.
const FEWEST_CORES: f64 = 0.05;
/// Connections to the readiness and the metrics server at once.
const PROBE_CONNECTIONS: usize = 32;

/// Runs a node until SIGTERM or SIGINT and then stops it gracefully.
///
/// # Errors
/// When it can't be started.
pub fn run<D, K, R>(cfg: GatewaySettings, dialect: D, stores: Stores<K>, reload: R) -> Result<()>
where
    D: Dialect,
    K: KeyValue + std::fmt::Debug + 'static,
    R: Fn(),
{
    // One thread carries control and traffic: the nodes have a fraction of a
    // core, so that a second thread would only take turns with the first.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("the runtime can't be made")?;
    runtime.block_on(serve(cfg, dialect, stores, reload))
}

async fn serve<D, K, R>(
    cfg: GatewaySettings,
    dialect: D,
    stores: Stores<K>,
    reload: R,
) -> Result<()>
where
    D: Dialect,
    K: KeyValue + std::fmt::Debug + 'static,
    R: Fn(),
{
    let log = Log::start()?;
    let mut signals = Signals::new()?;
    tracing::info!(event = "start", node = %cfg.node, zone = %cfg.zone, cores = cfg.cores,
        version = env!("CARGO_PKG_VERSION"));
    let node = Node::start(cfg, dialect, stores, log.dropped()).await?;
    signals.stop(&reload).await;
    node.stop().await;
    tracing::info!(event = "stop");
    log.stop();
    Ok(())
}

/// A running node.
#[derive(Debug)]
pub struct Node {
    shared: Arc<Shared>,
    cfg: Arc<GatewaySettings>,
    callers_address: SocketAddr,
    pool: Arc<Pool>,
    peers: Arc<PeerClients>,
    callers: ShutdownSignals,
    /// Ends everything but the callers' and the small servers.
    background: CancellationToken,
    membership: CancellationToken,
    probes: ShutdownSignals,
    serving: TaskTracker,
    tasks: TaskTracker,
}

impl Node {
    /// Starts a node. `dropped` counts the log lines that were dropped.
    ///
    /// # Errors
    /// When an address can't be bound.
    pub async fn start<D, K>(
        cfg: GatewaySettings,
        dialect: D,
        stores: Stores<K>,
        dropped: Arc<AtomicU64>,
    ) -> Result<Self>
    where
        D: Dialect,
        K: KeyValue + std::fmt::Debug + 'static,
    {
        let dialect = Arc::new(dialect);
        let incarnation = rand::random::<u32>().into();
        let metrics = Arc::new(Metrics::new().wrap_err("metrics can't be set up")?);
        let patience = CLAIM_PATIENCE.div_f64(cfg.cores.max(FEWEST_CORES));
        let role = Role::new(cfg.node.clone(), incarnation, patience);
        let shared = Arc::new(Shared::new(cfg.zone.clone(), role, cfg.retries));
        let (commands, rx) = queue();
        let background = CancellationToken::new();
        let tasks = TaskTracker::new();
        let peer_server = PeerServer {
            commands: commands.clone(),
            shared: Arc::clone(&shared),
            kv: Arc::clone(&stores.quick),
        };
        let bound = peer_server
            .start(cfg.peers, &tasks, background.clone())
            .await
            .wrap_err_with(|| format!("peers: can't listen on {}", cfg.peers))?;
        let cfg = Arc::new(GatewaySettings {
            peers: bound,
            ..cfg
        });
        let pool = Arc::new(Pool::new(CONNECT_TIMEOUT));
        let peers = Arc::new(PeerClients::new(CONNECT_TIMEOUT));
        let mut node = Self {
            shared: Arc::clone(&shared),
            cfg: Arc::clone(&cfg),
            callers_address: cfg.callers,
            pool: Arc::clone(&pool),
            peers: Arc::clone(&peers),
            callers: ShutdownSignals::default(),
            background,
            membership: CancellationToken::new(),
            probes: ShutdownSignals::default(),
            serving: TaskTracker::new(),
            tasks,
        };
        let parts = Parts {
            cfg: Arc::clone(&cfg),
            dialect: Arc::clone(&dialect),
            shared: Arc::clone(&shared),
            pool: Arc::clone(&pool),
            peers: Arc::clone(&peers),
            metrics: Arc::clone(&metrics),
            tasks: node.tasks.clone(),
            stop: node.background.clone(),
        };
        node.tasks
            .spawn(Coordinator::new(parts, commands.clone(), rx).run());
        let (progress_tx, progress_task) =
            progress(commands.clone(), Arc::clone(&peers), cfg.peers);
        node.tasks.spawn(progress_task.run(node.background.clone()));
        let sync = Arc::new(Sync {
            dialect: Arc::clone(&dialect),
            stores: Stores {
                quick: Arc::clone(&stores.quick),
                steady: stores.steady,
                patient: stores.patient,
            },
            shared: Arc::clone(&shared),
            metrics: Arc::clone(&metrics),
            commands: commands.clone(),
            peers: Arc::clone(&peers),
            own: cfg.peers,
        });
        node.follow(&sync, &commands);
        let membership = Membership {
            cfg: Arc::clone(&cfg),
            kv: stores.quick,
            shared: Arc::clone(&shared),
            metrics: Arc::clone(&metrics),
            commands: commands.clone(),
            incarnation,
            peers: Arc::clone(&peers),
            next_count: Duration::ZERO,
            colleagues: None,
        };
        node.tasks.spawn(membership.run(node.membership.clone()));
        let gateway = Arc::new(Gateway {
            dialect: Arc::clone(&dialect),
            shared: Arc::clone(&shared),
            sender: Sender {
                dialect: Arc::clone(&dialect),
                shared: Arc::clone(&shared),
                pool,
            },
            places: Places {
                shared: Arc::clone(&shared),
                commands,
                peers,
                own: cfg.peers,
                zone: cfg.zone.clone(),
            },
            progress: progress_tx,
            metrics: Arc::clone(&metrics),
        });
        let readiness = Readiness {
            shared,
            path: dialect.readiness_path().into(),
        };
        let page = MetricsPage { metrics, dropped };
        node.serve(cfg.readiness, readiness, PROBE_CONNECTIONS, &node.probes)
            .await?;
        node.serve(cfg.metrics, page, PROBE_CONNECTIONS, &node.probes)
            .await?;
        let connections = cfg.descriptors.saturating_sub(OTHER_DESCRIPTORS).max(64);
        let callers = Callers(gateway);
        node.callers_address = node
            .serve(cfg.callers, callers, connections, &node.callers)
            .await?;
        Ok(node)
    }

    fn follow<D, K>(&self, sync: &Arc<Sync<D, K>>, commands: &crate::coordinator::CommandTx)
    where
        D: Dialect,
        K: KeyValue + std::fmt::Debug + 'static,
    {
        let stop = || self.background.clone();
        self.tasks.spawn(Arc::clone(sync).operators(stop()));
        self.tasks.spawn(Arc::clone(sync).instances(stop()));
        let members = Members {
            cfg: Arc::clone(&self.cfg),
            shared: Arc::clone(&self.shared),
            commands: commands.clone(),
        };
        let sync = Arc::clone(sync);
        let stop = stop();
        self.tasks.spawn(async move {
            let part = Part {
                prefix: ZONES,
                feed: Some(Feed::Members),
                pause: Duration::ZERO,
            };
            sync.follow(part, members, stop).await;
        });
    }

    async fn serve<A>(
        &self,
        addr: SocketAddr,
        answerer: A,
        connections: usize,
        stop: &ShutdownSignals,
    ) -> Result<SocketAddr>
    where
        A: HttpService,
    {
        let listener = TcpListener::bind(addr)
            .await
            .wrap_err_with(|| format!("can't listen on {addr}"))?;
        let bound = listener.local_addr().wrap_err("no local address")?;
        let limits = ConnectionLimits {
            connections,
            head_timeout: IDLE_CALLERS,
        };
        let stop = stop.clone();
        self.serving
            .spawn(serve_connections(listener, answerer, limits, stop));
        Ok(bound)
    }

    /// Where callers are taken.
    #[must_use]
    pub const fn callers_address(&self) -> SocketAddr {
        self.callers_address
    }

    /// Gives the role up, lets the balancer notice, answers what is in
    /// progress, and ends everything.
    pub async fn stop(self) {
        {
            let mut state = self.shared.lock();
            state.stopping = true;
            // Before the lease ends, so that nobody claims while this node
            // still orders.
            state.role.resign();
        }
        tracing::info!(
            event = "stopping",
            grace_ms = self.cfg.stop_grace.as_millis() as u64
        );
        self.membership.cancel();
        sleep(LAME_DUCK).await;
        self.callers.graceful.cancel();
        let left = self.cfg.stop_grace.saturating_sub(LAME_DUCK + CLOSING);
        self.probes.graceful.cancel();
        self.serving.close();
        if timeout(left, self.serving.wait()).await.is_err() {
            tracing::warn!(event = "calls_cut", connections = self.serving.len());
            self.callers.abort.cancel();
            self.probes.abort.cancel();
            self.serving.wait().await;
        }
        self.background.cancel();
        self.tasks.close();
        self.tasks.wait().await;
        self.pool.close().await;
        self.peers.close().await;
    }
}

/// The signals of the process.
struct Signals {
    hangup: Signal,
    interrupt: Signal,
    terminate: Signal,
}

impl Signals {
    fn new() -> Result<Self> {
        Ok(Self {
            hangup: signal(SignalKind::hangup()).wrap_err("SIGHUP")?,
            interrupt: signal(SignalKind::interrupt()).wrap_err("SIGINT")?,
            terminate: signal(SignalKind::terminate()).wrap_err("SIGTERM")?,
        })
    }

    /// Waits for a signal to stop; SIGHUP reads the settings again.
    async fn stop<R>(&mut self, reload: &R)
    where
        R: Fn(),
    {
        loop {
            tokio::select! {
                _ = self.hangup.recv() => reload(),
                _ = self.interrupt.recv() => return,
                _ = self.terminate.recv() => return,
            }
        }
    }
}
