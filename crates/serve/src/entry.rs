//! An entry instance: its parts, how they start, and how they stop.

use crate::clients::Clients;
use crate::clock::Clock;
use crate::control::{
    COMMAND_QUEUE, Command, CommandTx, Control, FREQUENCY_HALF_LIFE, Identity, Outputs,
};
use crate::metrics::Metrics;
use crate::peer::PeerServer;
use crate::retention::keep_lease;
use crate::traffic::{CallerHandler, Pace, Traffic};
use eyre::{Result, WrapErr as _, eyre};
use reedford_core::frequency::Frequency;
use reedford_core::limits::Limits;
use reedford_core::placement::ClusterView;
use reedford_core::retry::RetryBudget;
use reedford_front::Bounds;
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

/// Connections of callers for each request that may be held.
const CONNECTIONS_PER_REQUEST: usize = 2;
/// Time for the head of a request, and for the next one on a connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest wait for the last releases and claim records after the drain.
const SETTLE_LIMIT: Duration = Duration::from_secs(5);

/// A running entry instance.
#[derive(Debug)]
pub struct Entry {
    callers: SocketAddr,
    peers: SocketAddr,
    operators: SocketAddr,
    drain: Duration,
    control: CommandTx,
    control_thread: JoinHandle<()>,
    traffic: Arc<Traffic>,
    clients: Arc<Clients>,
    front: tokio::task::JoinHandle<()>,
    tasks: TaskTracker,
    stopping: CancellationToken,
    front_stop: reedford_front::Stop,
    stop: CancellationToken,
}

/// What an entry instance knows.
#[derive(Clone, Debug)]
pub struct EntryReport {
    /// Workers in reach that take requests.
    pub open_workers: usize,
    /// What operators are shown.
    pub status: InstanceStatus,
}

/// How a stop ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Drained {
    /// Every request had its answer.
    Complete,
    /// Requests were still running when the drain time ended.
    TimedOut,
}

impl Entry {
    /// Starts an entry instance.
    ///
    /// Traffic runs on the runtime of the caller; control runs on a thread of
    /// its own.
    ///
    /// # Errors
    /// When an address can't be bound.
    pub async fn start(cfg: Settings) -> Result<Self> {
        let cfg = Arc::new(cfg);
        let stop = CancellationToken::new();
        let stopping = CancellationToken::new();
        let front_stop = reedford_front::Stop::default();
        let tasks = TaskTracker::new();
        let metrics = Arc::new(Metrics::new().wrap_err("metrics can't be set up")?);
        let clients = Arc::new(Clients::new(&cfg));
        let (control, rx) = mpsc::channel(COMMAND_QUEUE);
        let incarnation = rand::random();

        let server = PeerServer {
            control: control.clone(),
            incarnation,
        };
        let peers = server.start(cfg.peers, &tasks, stop.clone()).await;
        let peers = peers.wrap_err_with(|| format!("peers: can't listen on {}", cfg.peers))?;
        let me = Identity {
            instance: cfg.instance.clone(),
            incarnation,
            zone: cfg.zone.clone(),
            peers,
        };

        let (view_tx, view) = watch::channel(Arc::new(ClusterView::default()));
        let (rules_tx, rules) = watch::channel(None);
        let (instances_tx, instances) = watch::channel(Arc::new(BTreeMap::new()));
        let outputs = Outputs {
            view: view_tx,
            rules: rules_tx,
            instances: instances_tx,
        };
        let parts = ControlParts {
            cfg: Arc::clone(&cfg),
            me: me.clone(),
            clients: Arc::clone(&clients),
            metrics: Arc::clone(&metrics),
            outputs,
        };
        let control_thread = spawn_control(parts, rx)?;

        let (lease_tx, claim_lease) = watch::channel(None);
        tasks.spawn(keep_lease(Arc::clone(&clients), lease_tx, stop.clone()));

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
            pace: Pace::default(),
            retries: Mutex::new(RetryBudget::new(cfg.bounds.retry_percent)),
            tasks: TaskTracker::new(),
            stopping: stopping.clone(),
            serial: AtomicU64::new(1),
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
            crate::operators::start(&cfg, control.clone(), &tasks, stop.clone()).await?;

        tracing::info!(event = "started", instance = %cfg.instance, zone = %cfg.zone, %callers, %peers, %operators);
        Ok(Self {
            callers,
            peers,
            operators,
            drain: ms(cfg.timeouts.drain_ms),
            control,
            control_thread,
            traffic,
            clients,
            front,
            tasks,
            stopping,
            front_stop,
            stop,
        })
    }

    /// Where callers connect.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Where peers connect.
    #[must_use]
    pub fn peers(&self) -> SocketAddr {
        self.peers
    }

    /// Where operators connect.
    #[must_use]
    pub fn operators(&self) -> SocketAddr {
        self.operators
    }

    /// What this instance knows now.
    ///
    /// # Errors
    /// When the control thread is gone.
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

    /// Stops gracefully: not ready, workers handed over, requests finished.
    ///
    /// # Errors
    /// When a part of the instance has failed before.
    pub async fn stop(self) -> Result<Drained> {
        tracing::info!(event = "stopping");
        self.stopping.cancel();
        let (reply, handed_over) = oneshot::channel();
        let asked = self.control.send(Command::Stop { reply }).await.is_ok();
        if asked && handed_over.await.is_err() {
            tracing::error!(event = "control_gone");
        }
        self.front_stop.graceful.cancel();
        let drained = drain(self.front, self.drain, &self.front_stop.abort).await?;
        self.traffic.tasks.close();
        let settled = tokio::time::timeout(SETTLE_LIMIT, self.traffic.tasks.wait()).await;
        if settled.is_err() {
            tracing::warn!(event = "tasks_left", tasks = self.traffic.tasks.len());
        }
        self.stop.cancel();
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

/// Waits for the requests in progress; those left after `limit` are cut.
async fn drain(
    mut front: tokio::task::JoinHandle<()>,
    limit: Duration,
    abort: &CancellationToken,
) -> Result<Drained> {
    let failed = "the callers' side failed";
    if let Ok(joined) = tokio::time::timeout(limit, &mut front).await {
        joined.wrap_err(failed)?;
        return Ok(Drained::Complete);
    }
    abort.cancel();
    front.await.wrap_err(failed)?;
    Ok(Drained::TimedOut)
}

fn front_bounds(cfg: &Settings) -> Bounds {
    Bounds {
        body_bytes: cfg.bounds.body_bytes,
        connections: cfg.bounds.requests * CONNECTIONS_PER_REQUEST,
        deadline_max: ms(cfg.timeouts.request_max_ms),
        head_timeout: HEAD_TIMEOUT,
        body_timeout: BODY_TIMEOUT,
    }
}

/// What the control thread is made of.
struct ControlParts {
    cfg: Arc<Settings>,
    me: Identity,
    clients: Arc<Clients>,
    metrics: Arc<Metrics>,
    outputs: Outputs,
}

fn spawn_control(parts: ControlParts, rx: mpsc::Receiver<Command>) -> Result<JoinHandle<()>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("the control runtime can't be made")?;
    let thread = std::thread::Builder::new().name("control".to_owned());
    let run = move || {
        let ControlParts {
            cfg,
            me,
            clients,
            metrics,
            outputs,
        } = parts;
        let control = Control::new(cfg, me, clients, metrics, outputs);
        runtime.block_on(control.run(rx));
    };
    thread
        .spawn(run)
        .wrap_err("the control thread can't be started")
}
