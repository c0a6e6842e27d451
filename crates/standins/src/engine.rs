//! Stand-in for a model engine, with the API of [`reedford_wire::engine`].
//!
//! It batches continuously: up to `batch_limit` requests run at once and
//! generate one token each per step, others wait by priority. Every token
//! names the adapter that ran and the attempt, so that a response delivered to
//! the wrong request is detected. Requests continue after their caller's
//! connection closes, until cancelled, and ended streams can be resumed for
//! 30 s. A restart empties the slots, drops all requests and resets the
//! highest fencing token seen.
//!
//! | call | effect or response |
//! |---|---|
//! | `POST /control/faults` with [`EngineFaults`] | switches faults on or off |
//! | `POST /control/restart` | restarts with empty slots; running requests are cut off |
//! | `GET /control/record` | [`EngineRecord`] |
//! | `GET /control/stats` | [`EngineStats`] |

mod accepted_request;
mod batch;
mod config;
mod loads;
mod record;
mod reports;
mod routes;
mod slots;
mod state;
mod streams;

pub use config::{EngineConfig, EngineFaults, UnloadRunning};
pub use record::{
    EngineRecord, EngineStats, OrderKind, OrderOutcome, OrderRecord, RunRecord, Violation,
};

use self::state::StandinState;
use crate::target_http::{self, ConnectionNumber, Silence};
use crate::target_program::{register, register_with_retries};
use eyre::WrapErr as _;
use reedford_wire::instances::{Instance, InstanceKind, InstanceState};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// A running engine stand-in.
#[derive(Debug)]
pub struct EngineStandin {
    engine: Arc<Engine>,
}

impl EngineStandin {
    /// Binds the address, starts serving, and registers with the platform if
    /// one is configured.
    ///
    /// # Errors
    /// When the address can't be bound or the registration fails.
    pub async fn start(cfg: EngineConfig) -> eyre::Result<Self> {
        let listener = TcpListener::bind(cfg.listen)
            .await
            .wrap_err_with(|| format!("binding {}", cfg.listen))?;
        let addr = listener.local_addr()?;
        let engine = Arc::new(Engine::new(cfg, addr));
        engine.spawn(step(Arc::clone(&engine)));
        let stop = engine.stop.clone();
        let silence = Arc::clone(&engine.silence);
        let handler = {
            let engine = Arc::clone(&engine);
            move |req| routes::route(Arc::clone(&engine), req)
        };
        // `Engine::spawn` would drop the server when the stand-in stops, before
        // the server has closed and joined its connections.
        engine
            .tasks
            .spawn(target_http::serve(listener, stop, silence, handler));
        let standin = Self { engine };
        if let Some(platform) = standin.engine.cfg.register {
            let instance = standin.engine.instance(InstanceState::Live);
            if let Err(error) = register_with_retries(platform, &instance).await {
                standin.shutdown().await;
                return Err(error);
            }
        }
        Ok(standin)
    }

    /// Returns the listening address.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.engine.addr
    }

    /// Returns the events recorded for checks.
    #[must_use]
    pub fn record(&self) -> EngineRecord {
        self.engine.state().record.clone()
    }

    /// Returns the counters.
    #[must_use]
    pub fn stats(&self) -> EngineStats {
        self.engine.state().stats()
    }

    /// Switches faults on or off.
    pub async fn set_faults(&self, faults: &EngineFaults) {
        self.engine.set_faults(faults, None).await;
    }

    /// Restarts the engine with empty slots; running requests are cut off.
    pub fn restart(&self) {
        self.engine.restart();
    }

    /// Refuses new requests and waits until no request is running or queued.
    pub async fn drain(&self) {
        let leaving = EngineFaults {
            leaving: Some(true),
            ..EngineFaults::default()
        };
        self.engine.set_faults(&leaving, None).await;
        self.engine
            .wait_for(|state| {
                let current = state.engine_state();
                (current.running + current.queued == 0).then_some(())
            })
            .await;
    }

    /// Closes all connections and joins all tasks.
    pub async fn shutdown(self) {
        self.engine.stop.cancel();
        self.engine.tasks.close();
        self.engine.tasks.wait().await;
    }
}

/// Shared parts of a running stand-in, used by the request handlers and the
/// step loop.
#[derive(Debug)]
struct Engine {
    addr: SocketAddr,
    cfg: EngineConfig,
    changed: watch::Sender<()>,
    state: Mutex<StandinState>,
    silence: Arc<Silence>,
    stop: CancellationToken,
    tasks: TaskTracker,
}

impl Engine {
    fn new(cfg: EngineConfig, addr: SocketAddr) -> Self {
        Self {
            addr,
            changed: watch::Sender::new(()),
            state: Mutex::new(StandinState::new(&cfg, Instant::now())),
            cfg,
            silence: Arc::default(),
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, StandinState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes all tasks in [`Engine::wait_for`].
    fn notify(&self) {
        self.changed.send_replace(());
    }

    /// Waits until `query` returns a value for the current state.
    async fn wait_for<T, F>(&self, mut query: F) -> T
    where
        F: FnMut(&StandinState) -> Option<T>,
    {
        let mut changed = self.changed.subscribe();
        loop {
            changed.mark_unchanged();
            if let Some(value) = query(&self.state()) {
                return value;
            }
            if changed.changed().await.is_err() {
                // The sender lives as long as `self`.
                std::future::pending::<()>().await;
            }
        }
    }

    /// Runs a task until it ends or the stand-in stops.
    fn spawn<F>(&self, task: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let stop = self.stop.clone();
        self.tasks.spawn(async move {
            stop.run_until_cancelled_owned(task).await;
        });
    }

    async fn set_faults(&self, faults: &EngineFaults, from: Option<ConnectionNumber>) {
        self.state().set_faults(faults);
        if faults.silent_connections == Some(true) {
            self.silence.silence_open(from);
        }
        self.notify();
        let (Some(platform), Some(leaving)) = (self.cfg.register, faults.leaving) else {
            return;
        };
        let state = if leaving {
            InstanceState::Leaving
        } else {
            InstanceState::Live
        };
        if let Err(e) = register(platform, &self.instance(state)).await {
            tracing::warn!(event = "register_failed", id = %self.cfg.id, error = %e);
        }
    }

    fn restart(&self) {
        self.state().restart(Instant::now());
        self.notify();
    }

    fn instance(&self, state: InstanceState) -> Instance {
        Instance {
            id: self.cfg.id.clone(),
            group: self.cfg.group.clone(),
            kind: InstanceKind::Engine,
            zone: self.cfg.zone.clone(),
            address: self.addr,
            state,
            checks_fence: self.cfg.checks_fence,
        }
    }
}

async fn step(engine: Arc<Engine>) {
    let mut ticks = interval(Duration::from_millis(engine.cfg.step_ms.max(1)));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        ticks.tick().await;
        engine.state().step(Instant::now());
        engine.notify();
    }
}
