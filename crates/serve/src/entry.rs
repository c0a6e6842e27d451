//! Start and graceful shutdown of an entry instance.

use crate::clients::Clients;
use crate::clock::Clock;
use crate::control::{
    COMMAND_QUEUE_CAPACITY, Command, CommandTx, Control, FREQUENCY_HALF_LIFE, Identity, Outputs,
};
use crate::metrics::Metrics;
use crate::peer::PeerServer;
use crate::retention::rotate_claim_lease;
use crate::traffic::{CallerHandler, TokenTime, Traffic};
use eyre::{Result, WrapErr as _, eyre};
use reedford_core::frequency::Frequency;
use reedford_core::limits::Limits;
use reedford_core::placement::ClusterView;
use reedford_core::retry::RetryBudget;
use reedford_front::ServerLimits;
use reedford_operator::InstanceStatus;
use reedford_settings::{Settings, ms};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Caller connections accepted, as a multiple of the bound on running requests.
const CONNECTIONS_PER_REQUEST: usize = 2;
/// Timeout for the head of a request, also for that of the next request on an idle
/// connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout for the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout after the drain for the last releases of permits and writes of claims.
const BACKGROUND_TASKS_TIMEOUT: Duration = Duration::from_secs(5);

/// A running entry instance.
#[derive(Debug)]
pub struct EntryInstance {
    callers: SocketAddr,
    peers: SocketAddr,
    operators: SocketAddr,
    drain_timeout: Duration,
    control: CommandTx,
    control_thread: JoinHandle<()>,
    traffic: Arc<Traffic>,
    clients: Arc<Clients>,
    front: tokio::task::JoinHandle<()>,
    tasks: TaskTracker,
    /// Cancelled when the shutdown begins: new requests are refused.
    stopping: CancellationToken,
    /// Signals to the server for callers: to complete the running requests, and
    /// to abort those left after the drain timeout.
    front_stop: reedford_front::ShutdownSignals,
    /// Cancelled after the drain: the servers for peers and operators stop.
    servers_stop: CancellationToken,
}

/// Status of an entry instance and the number of open workers, for
/// [`EntryInstance::report`].
#[derive(Clone, Debug)]
pub struct EntryReport {
    /// Number of known workers that accept requests.
    pub open_workers: usize,
    /// The status shown to operators.
    pub status: InstanceStatus,
}

/// Result of waiting for the running requests at a graceful shutdown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrainOutcome {
    /// All requests were completed.
    Complete,
    /// Requests still running at the drain timeout were aborted.
    TimedOut,
}

impl EntryInstance {
    /// Starts an entry instance.
    ///
    /// Requests are handled on the caller's runtime. The control thread has a
    /// runtime of its own.
    ///
    /// # Errors
    /// If an address can't be bound, or the metrics or the control thread can't be
    /// set up.
    pub async fn start(cfg: Settings) -> Result<Self> {
        let cfg = Arc::new(cfg);
        let servers_stop = CancellationToken::new();
        let stopping = CancellationToken::new();
        let front_stop = reedford_front::ShutdownSignals::default();
        let tasks = TaskTracker::new();
        let metrics = Arc::new(Metrics::new().wrap_err("metrics can't be set up")?);
        let clients = Arc::new(Clients::new(&cfg));
        let (control, rx) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
        let incarnation = rand::random();

        let server = PeerServer {
            control: control.clone(),
            incarnation,
        };
        let peers = server.start(cfg.peers, &tasks, servers_stop.clone()).await;
        let peers = peers.wrap_err_with(|| format!("peers: can't listen on {}", cfg.peers))?;
        let me = Identity {
            instance: cfg.instance.clone(),
            incarnation,
            zone: cfg.zone.clone(),
            peer_address: peers,
        };

        let (view_tx, view) = watch::channel(Arc::new(ClusterView::default()));
        let (rules_tx, rules) = watch::channel(None);
        let (instances_tx, instances) = watch::channel(Arc::new(BTreeMap::new()));
        let outputs = Outputs {
            view: view_tx,
            rules: rules_tx,
            instances: instances_tx,
        };
        let args = ControlArgs {
            cfg: Arc::clone(&cfg),
            me: me.clone(),
            clients: Arc::clone(&clients),
            metrics: Arc::clone(&metrics),
            outputs,
        };
        let control_thread = spawn_control(args, rx)?;

        let (lease_tx, claim_lease) = watch::channel(None);
        tasks.spawn(rotate_claim_lease(
            Arc::clone(&clients),
            lease_tx,
            servers_stop.clone(),
        ));

        let traffic = Arc::new(Traffic {
            cfg: Arc::clone(&cfg),
            me,
            clock: Clock::start(),
            clients: Arc::clone(&clients),
            control: control.clone(),
            metrics,
            view,
            rules,
            instances,
            limits: Mutex::new(Limits::default()),
            frequency: Mutex::new(Frequency::new(FREQUENCY_HALF_LIFE)),
            token_time: TokenTime::default(),
            retries: Mutex::new(RetryBudget::new(cfg.bounds.retry_percent)),
            tasks: TaskTracker::new(),
            stopping: stopping.clone(),
            next_serial: AtomicU64::new(1),
            running: AtomicUsize::new(0),
            claim_lease,
        });
        let listener = TcpListener::bind(cfg.callers).await;
        let listener =
            listener.wrap_err_with(|| format!("callers: can't listen on {}", cfg.callers))?;
        let callers = listener
            .local_addr()
            .wrap_err("callers: no local address")?;
        let bounds = front_bounds(&cfg);
        let handler = CallerHandler(Arc::clone(&traffic));
        let serving = reedford_front::serve(listener, handler, bounds, front_stop.clone());
        let front = tokio::spawn(serving);
        let operators =
            crate::operators::start(&cfg, control.clone(), &tasks, servers_stop.clone()).await?;

        tracing::info!(event = "started", instance = %cfg.instance, zone = %cfg.zone, %callers, %peers, %operators);
        Ok(Self {
            callers,
            peers,
            operators,
            drain_timeout: ms(cfg.timeouts.drain_ms),
            control,
            control_thread,
            traffic,
            clients,
            front,
            tasks,
            stopping,
            front_stop,
            servers_stop,
        })
    }

    /// Returns the address for callers.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the address for peers.
    #[must_use]
    pub fn peers(&self) -> SocketAddr {
        self.peers
    }

    /// Returns the address for operators.
    #[must_use]
    pub fn operators(&self) -> SocketAddr {
        self.operators
    }

    /// Returns the current state of the instance.
    ///
    /// # Errors
    /// If the control thread has ended.
    pub async fn report(&self) -> Result<EntryReport> {
        let (reply, report) = oneshot::channel();
        self.control.send(Command::Report { reply }).await?;
        let status = report.await?.status;
        let open = self
            .traffic
            .view
            .borrow()
            .workers
            .values()
            .filter(|w| w.summary.open)
            .count();
        Ok(EntryReport {
            open_workers: open,
            status,
        })
    }

    /// Shuts the instance down gracefully: it reports not ready and refuses new
    /// requests, hands its workers over, and waits for running requests up to the
    /// drain timeout.
    ///
    /// # Errors
    /// If the server for callers or the control thread has failed.
    pub async fn stop(self) -> Result<DrainOutcome> {
        tracing::info!(event = "stopping");
        self.stopping.cancel();
        let (reply, handed_over) = oneshot::channel();
        let requested = self.control.send(Command::Stop { reply }).await.is_ok();
        if requested && handed_over.await.is_err() {
            tracing::error!(event = "control_gone");
        }
        self.front_stop.graceful.cancel();
        let drained = drain(self.front, self.drain_timeout, &self.front_stop.abort).await?;
        self.traffic.tasks.close();
        let ended = tokio::time::timeout(BACKGROUND_TASKS_TIMEOUT, self.traffic.tasks.wait()).await;
        if ended.is_err() {
            tracing::warn!(event = "tasks_left", tasks = self.traffic.tasks.len());
        }
        self.servers_stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
        self.clients.close().await;
        drop(self.traffic);
        drop(self.control);
        let joined = tokio::task::spawn_blocking(move || self.control_thread.join()).await;
        joined
            .wrap_err("the control thread can't be joined")?
            .map_err(|_panic| eyre!("the control thread failed"))?;
        tracing::info!(event = "stopped", ?drained);
        Ok(drained)
    }
}

/// Waits for running requests. Those still running after `timeout` are aborted.
async fn drain(
    mut front: tokio::task::JoinHandle<()>,
    timeout: Duration,
    abort: &CancellationToken,
) -> Result<DrainOutcome> {
    let message = "the server for callers failed";
    if let Ok(joined) = tokio::time::timeout(timeout, &mut front).await {
        joined.wrap_err(message)?;
        return Ok(DrainOutcome::Complete);
    }
    abort.cancel();
    front.await.wrap_err(message)?;
    Ok(DrainOutcome::TimedOut)
}

fn front_bounds(cfg: &Settings) -> ServerLimits {
    ServerLimits {
        body_bytes: cfg.bounds.body_bytes,
        connections: cfg.bounds.requests * CONNECTIONS_PER_REQUEST,
        max_deadline: ms(cfg.timeouts.request_max_ms),
        head_timeout: HEAD_TIMEOUT,
        body_timeout: BODY_TIMEOUT,
    }
}

/// Arguments of [`Control::new`], which runs on the control thread.
struct ControlArgs {
    cfg: Arc<Settings>,
    me: Identity,
    clients: Arc<Clients>,
    metrics: Arc<Metrics>,
    outputs: Outputs,
}

fn spawn_control(args: ControlArgs, rx: mpsc::Receiver<Command>) -> Result<JoinHandle<()>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("the control runtime can't be created")?;
    let thread = std::thread::Builder::new().name("control".to_owned());
    let run = move || {
        let ControlArgs {
            cfg,
            me,
            clients,
            metrics,
            outputs,
        } = args;
        let control = Control::new(cfg, me, clients, metrics, outputs);
        runtime.block_on(control.run(rx));
    };
    thread
        .spawn(run)
        .wrap_err("the control thread can't be started")
}
