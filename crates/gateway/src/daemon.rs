//! Starts a node, handles signals, and shuts the node down gracefully.

use crate::calls_report::CallsReporter;
use crate::coordinator::{Command, CommandTx, Coordinator, CoordinatorContext, command_queue};
use crate::dialect::Dialect;
use crate::dialer::{InstanceDialer, MAX_CONCURRENT_TESTS, keep_up_connections};
use crate::feeds::Feed;
use crate::handler::{AgeLimits, CallerService, Gateway};
use crate::log::Log;
use crate::membership::{CoordinatorKeys, Membership, ZONE_PREFIX};
use crate::metrics::Metrics;
use crate::notices::NoticesReporter;
use crate::peer::PeerClients;
use crate::peer_server::PeerServer;
use crate::placer::Placer;
use crate::probes::{MetricsEndpoint, Readiness};
use crate::progress::progress_queue;
use crate::quarantine_record::QuarantineRecord;
use crate::relay_nodes::RelayNodes;
use crate::relay_watch::RelayWatches;
use crate::sender::Sender;
use crate::serving_versions::serving_versions;
use crate::settings::GatewaySettings;
use crate::signals::Signals;
use crate::state::Shared;
use crate::stream_record::stream_record;
use crate::sync::{StoreClients, StoreSync, WatchedPrefix};
use crate::tunnel::Tunnels;
use crate::usage::UsageReporter;
use eyre::{Result, WrapErr as _};
use reedford_fleet::ownership::Role;
use reedford_fleet::stopping::StopTimes;
use reedford_front::{
    ConnectionLimits, HttpService, IDLE_CLOSE_DELAY, ShutdownSignals, serve_connections,
};
use reedford_store::KeyValue;
use reedford_targets::Pool;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout_at};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Timeout for connecting to an instance or another node; they are at most
/// milliseconds away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which a stopping node still accepts new connections. The load
/// balancer stops using the node after two readiness probes, one second apart.
const DRAIN_DELAY: Duration = Duration::from_millis(2_600);
/// Part of the shutdown grace period reserved for closing connections.
const CLOSE_TIME: Duration = Duration::from_millis(700);
/// Time for which a connection may be idle or its request head incomplete; longer
/// than callers are configured to keep idle connections.
const CONNECTION_IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// File descriptors reserved for everything but callers' connections.
const RESERVED_FILE_DESCRIPTORS: usize = 1_200;
/// Delay before a node with one core claims a vacant coordinator role. The
/// delay is inversely proportional to the cores, so that the largest nodes of a
/// zone claim first; a claim takes about ten milliseconds.
const CLAIM_DELAY: Duration = Duration::from_millis(20);
/// Smallest number of cores used in computing the claim delay.
const MIN_CORES: f64 = 0.05;
/// Connection limit of the readiness server and of the metrics server.
const PROBE_CONNECTIONS: usize = 32;

/// Runs a node until SIGTERM or SIGINT and then shuts it down gracefully.
///
/// # Errors
/// When it can't be started.
pub fn run<D, K, R>(
    cfg: GatewaySettings,
    dialect: D,
    stores: StoreClients<K>,
    reload: R,
) -> Result<()>
where
    D: Dialect,
    K: KeyValue + std::fmt::Debug + 'static,
    R: Fn(),
{
    // Control and request traffic share one thread: nodes have a fraction of a
    // core, so a second thread would only alternate with the first.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("can't create the Tokio runtime")?;
    runtime.block_on(serve(cfg, dialect, stores, reload))
}

async fn serve<D, K, R>(
    cfg: GatewaySettings,
    dialect: D,
    stores: StoreClients<K>,
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
    signals.wait_for_stop(&reload).await;
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
    caller_addr: SocketAddr,
    metrics_addr: SocketAddr,
    pool: Arc<Pool>,
    peers: Arc<PeerClients>,
    /// Connections to other nodes that carry nothing but parts of bodies.
    body_peers: Arc<PeerClients>,
    tunnels: Arc<Tunnels>,
    caller_shutdown: ShutdownSignals,
    /// Stops all tasks except the servers for callers, readiness and metrics, and
    /// the membership task.
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
    /// When an address can't be bound or the metrics can't be registered.
    pub async fn start<D, K>(
        cfg: GatewaySettings,
        dialect: D,
        stores: StoreClients<K>,
        dropped: Arc<AtomicU64>,
    ) -> Result<Self>
    where
        D: Dialect,
        K: KeyValue + std::fmt::Debug + 'static,
    {
        let dialect = Arc::new(dialect);
        let incarnation = rand::random::<u32>().into();
        let metrics = Arc::new(Metrics::new().wrap_err("can't register metrics")?);
        let claim_delay = CLAIM_DELAY.div_f64(cfg.cores.max(MIN_CORES));
        let role = Role::new(cfg.node.clone(), incarnation, claim_delay);
        let shared = Arc::new(Shared::new(
            cfg.zone.clone(),
            role,
            cfg.retries,
            cfg.staleness_limit,
            cfg.quota_tolerance,
            cfg.link_bytes_per_s,
            stores.eras.clone(),
        ));
        let (commands, rx) = command_queue();
        let background = CancellationToken::new();
        let tasks = TaskTracker::new();
        let tunnels = Arc::new(Tunnels::new());
        let peer_server = PeerServer {
            commands: commands.clone(),
            shared: Arc::clone(&shared),
            store: Arc::clone(&stores.short_poll),
            tunnels: Arc::clone(&tunnels),
        };
        let bound = peer_server
            .start(cfg.peers, &tasks, background.clone())
            .await
            .wrap_err_with(|| format!("peers: can't listen on {}", cfg.peers))?;
        let cfg = Arc::new(GatewaySettings {
            peers: bound,
            ..cfg
        });
        let dialer = InstanceDialer {
            shared: Arc::clone(&shared),
            own_addr: cfg.peers,
            relays: Arc::new(RelayWatches::new(
                Arc::clone(&shared),
                tasks.clone(),
                background.clone(),
            )),
            tests: Arc::new(Semaphore::new(MAX_CONCURRENT_TESTS)),
            tasks: tasks.clone(),
            stop: background.clone(),
        };
        let bodies = cfg.body_memory();
        let pool = Pool::with_dialer(CONNECT_TIMEOUT, Arc::new(dialer.clone()));
        let pool = Arc::new(pool.with_body_memory(bodies.clone()));
        let peers = Arc::new(PeerClients::new(CONNECT_TIMEOUT));
        let body_peers = Arc::new(PeerClients::new(CONNECT_TIMEOUT));
        let mut node = Self {
            shared: Arc::clone(&shared),
            cfg: Arc::clone(&cfg),
            caller_addr: cfg.callers,
            metrics_addr: cfg.metrics,
            pool: Arc::clone(&pool),
            peers: Arc::clone(&peers),
            body_peers: Arc::clone(&body_peers),
            tunnels,
            caller_shutdown: ShutdownSignals::default(),
            background,
            membership: CancellationToken::new(),
            probes: ShutdownSignals::default(),
            serving: TaskTracker::new(),
            tasks,
        };
        let ctx = CoordinatorContext {
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
            .spawn(Coordinator::new(ctx, commands.clone(), rx).run());
        let (progress_tx, progress_task) =
            progress_queue(commands.clone(), Arc::clone(&peers), cfg.peers);
        node.tasks.spawn(progress_task.run(node.background.clone()));
        let calls_reporter = CallsReporter {
            shared: Arc::clone(&shared),
            peers: Arc::clone(&peers),
            commands: commands.clone(),
            own_addr: cfg.peers,
        };
        node.tasks
            .spawn(calls_reporter.run(node.background.clone()));
        let notices_reporter = NoticesReporter {
            shared: Arc::clone(&shared),
            peers: Arc::clone(&peers),
            commands: commands.clone(),
            own_addr: cfg.peers,
        };
        node.tasks
            .spawn(notices_reporter.run(node.background.clone()));
        let usage_reporter = UsageReporter {
            shared: Arc::clone(&shared),
            peers: Arc::clone(&peers),
            commands: commands.clone(),
            own_addr: cfg.peers,
        };
        node.tasks
            .spawn(usage_reporter.run(node.background.clone()));
        let quarantine_record = QuarantineRecord {
            cfg: Arc::clone(&cfg),
            shared: Arc::clone(&shared),
            store: Arc::clone(&stores.short_poll),
        };
        node.tasks
            .spawn(quarantine_record.run(node.background.clone()));
        let (streams, stream_record_task) = stream_record(
            Arc::clone(&cfg),
            Arc::clone(&shared),
            Arc::clone(&stores.short_poll),
        );
        node.tasks
            .spawn(stream_record_task.run(node.background.clone()));
        let (versions, versions_task) =
            serving_versions(Arc::clone(&dialect), Arc::clone(&stores.short_poll));
        node.tasks.spawn(versions_task.run(node.background.clone()));
        let relay_nodes = RelayNodes {
            cfg: Arc::clone(&cfg),
            shared: Arc::clone(&shared),
            store: Arc::clone(&stores.short_poll),
        };
        node.tasks.spawn(relay_nodes.run(node.background.clone()));
        node.tasks
            .spawn(keep_up_connections(dialer.clone(), Arc::clone(&pool)));
        let sync = Arc::new(StoreSync {
            dialect: Arc::clone(&dialect),
            stores: StoreClients {
                short_poll: Arc::clone(&stores.short_poll),
                medium_poll: stores.medium_poll,
                long_poll: stores.long_poll,
                eras: stores.eras,
            },
            shared: Arc::clone(&shared),
            metrics: Arc::clone(&metrics),
            commands: commands.clone(),
            peers: Arc::clone(&peers),
            body_peers,
            receptions: Mutex::default(),
            own_addr: cfg.peers,
            staleness_limit: cfg.staleness_limit,
        });
        node.spawn_watches(&sync, &commands);
        let following = follow_eras(Arc::clone(&shared), Arc::clone(&cfg), commands.clone());
        let stop = node.background.clone();
        node.tasks.spawn(async move {
            stop.run_until_cancelled(following).await;
        });
        let membership = Membership {
            cfg: Arc::clone(&cfg),
            store: stores.short_poll,
            shared: Arc::clone(&shared),
            metrics: Arc::clone(&metrics),
            commands: commands.clone(),
            incarnation,
            peers: Arc::clone(&peers),
            next_count: Duration::ZERO,
            next_registration: Duration::ZERO,
            next_cut_yield: Duration::ZERO,
            count_holds_until: Duration::ZERO,
            zone_peers: None,
        };
        node.tasks.spawn(membership.run(node.membership.clone()));
        let gateway = Arc::new(Gateway {
            dialect: Arc::clone(&dialect),
            shared: Arc::clone(&shared),
            sender: Sender {
                dialect: Arc::clone(&dialect),
                shared: Arc::clone(&shared),
                pool,
                dialer,
            },
            placer: Placer {
                shared: Arc::clone(&shared),
                commands,
                peers,
                own_addr: cfg.peers,
                zone: cfg.zone.clone(),
            },
            progress: progress_tx,
            streams,
            versions,
            metrics: Arc::clone(&metrics),
            age_limits: AgeLimits {
                denial: cfg.staleness_limit,
                max_age: cfg.max_key_age,
            },
            bodies: bodies.clone(),
        });
        let readiness = Readiness {
            shared: Arc::clone(&shared),
            path: dialect.readiness_path().into(),
        };
        let endpoint = MetricsEndpoint {
            shared,
            metrics,
            dropped,
            bodies,
        };
        node.serve(
            "readiness",
            cfg.readiness,
            readiness,
            PROBE_CONNECTIONS,
            &node.probes,
        )
        .await?;
        node.metrics_addr = node
            .serve(
                "metrics",
                cfg.metrics,
                endpoint,
                PROBE_CONNECTIONS,
                &node.probes,
            )
            .await?;
        let connections = cfg
            .max_open_files
            .saturating_sub(RESERVED_FILE_DESCRIPTORS)
            .max(64);
        let caller_service = CallerService(gateway);
        node.caller_addr = node
            .serve(
                "callers",
                cfg.callers,
                caller_service,
                connections,
                &node.caller_shutdown,
            )
            .await?;
        Ok(node)
    }

    fn spawn_watches<D, K>(&self, sync: &Arc<StoreSync<D, K>>, commands: &CommandTx)
    where
        D: Dialect,
        K: KeyValue + std::fmt::Debug + 'static,
    {
        let stop = || self.background.clone();
        self.tasks.spawn(Arc::clone(sync).watch_operators(stop()));
        self.tasks.spawn(Arc::clone(sync).watch_instances(stop()));
        let handler = CoordinatorKeys {
            cfg: Arc::clone(&self.cfg),
            shared: Arc::clone(&self.shared),
            commands: commands.clone(),
        };
        let sync = Arc::clone(sync);
        let stop = stop();
        self.tasks.spawn(async move {
            let watched = WatchedPrefix {
                prefix: ZONE_PREFIX,
                feed: Feed::Members,
                pause: Duration::ZERO,
            };
            sync.watch_prefix(watched, handler, stop).await;
        });
    }

    async fn serve<A>(
        &self,
        name: &str,
        addr: SocketAddr,
        service: A,
        connections: usize,
        stop: &ShutdownSignals,
    ) -> Result<SocketAddr>
    where
        A: HttpService,
    {
        let listener = TcpListener::bind(addr)
            .await
            .wrap_err_with(|| format!("{name}: can't listen on {addr}"))?;
        let bound = listener
            .local_addr()
            .wrap_err("can't read the local address")?;
        let limits = ConnectionLimits {
            connections,
            head_timeout: CONNECTION_IDLE_TIMEOUT,
        };
        let stop = stop.clone();
        self.serving
            .spawn(serve_connections(listener, service, limits, stop));
        Ok(bound)
    }

    /// Address at which callers connect.
    #[must_use]
    pub const fn caller_addr(&self) -> SocketAddr {
        self.caller_addr
    }

    /// Address of the metrics.
    #[must_use]
    pub const fn metrics_addr(&self) -> SocketAddr {
        self.metrics_addr
    }

    /// Gives up the coordinator role, waits for the load balancer to stop using
    /// the node, completes calls in progress, and stops all tasks.
    pub async fn stop(self) {
        {
            let mut state = self.shared.lock();
            state.stopping = true;
            // Resign before the lease ends, so that no other node claims the role
            // while this one still sends orders.
            state.role.resign();
        }
        let began = self.shared.now();
        let times = StopTimes {
            last_request_at: began + DRAIN_DELAY + IDLE_CLOSE_DELAY,
            closed_at: began + self.cfg.stop_grace.saturating_sub(CLOSE_TIME),
        };
        // Calls that can't end in time are refused, and nodes whose connections this one
        // passes on close those that are idle.
        self.shared.stop_times.send_replace(Some(times));
        tracing::info!(
            event = "stopping",
            grace_ms = self.cfg.stop_grace.as_millis() as u64
        );
        self.membership.cancel();
        sleep(DRAIN_DELAY).await;
        self.caller_shutdown.graceful.cancel();
        let end = self.shared.clock.instant(times.closed_at);
        self.probes.graceful.cancel();
        self.serving.close();
        if timeout_at(end, self.serving.wait()).await.is_err() {
            tracing::warn!(event = "calls_cut", connections = self.serving.len());
            self.caller_shutdown.abort.cancel();
            self.probes.abort.cancel();
            self.serving.wait().await;
        }
        let closed = self.tunnels.wait_until_closed();
        if timeout_at(end, closed).await.is_err() {
            let connections = self.tunnels.open_count();
            tracing::warn!(event = "tunnels_cut", connections);
        }
        self.background.cancel();
        self.tasks.close();
        self.tasks.wait().await;
        self.pool.close().await;
        self.peers.close().await;
        self.body_peers.close().await;
    }
}

/// Applies each new era of the store to the coordinator role as soon as any
/// response or peer shows it.
async fn follow_eras(shared: Arc<Shared>, cfg: Arc<GatewaySettings>, commands: CommandTx) {
    let mut eras = shared.eras.subscribe();
    loop {
        if shared.apply_era(&cfg) {
            commands.send(Command::Refresh);
        }
        if eras.changed().await.is_err() {
            return;
        }
    }
}
