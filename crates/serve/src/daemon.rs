//! Runs an entry instance as a process: start, signals, graceful shutdown.

use crate::entry::{DrainOutcome, EntryInstance};
use crate::telemetry::Telemetry;
use eyre::{Result, WrapErr as _};
use reedford_settings::Settings;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// How a process that ran an entry instance ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ShutdownOutcome {
    /// All requests were completed.
    Graceful,
    /// Requests were aborted, at the drain timeout or by a second signal.
    Aborted,
}

/// Runs an entry instance until SIGTERM or SIGINT, then stops it gracefully. A
/// second signal stops it immediately.
///
/// # Errors
/// If the instance can't be started, or one of its tasks or threads fails.
pub fn run(cfg: Settings) -> Result<ShutdownOutcome> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(cfg.bounds.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build()
        .wrap_err("the traffic runtime can't be created")?;
    let outcome = runtime.block_on(serve(cfg));
    runtime.shutdown_background();
    outcome
}

async fn serve(cfg: Settings) -> Result<ShutdownOutcome> {
    let telemetry = Telemetry::start(&cfg)?;
    let mut signals = Signals::new()?;
    let entry = EntryInstance::start(cfg).await?;
    signals.next().await;
    let outcome = tokio::select! {
        drained = entry.stop() => match drained? {
            DrainOutcome::Complete => ShutdownOutcome::Graceful,
            DrainOutcome::TimedOut => ShutdownOutcome::Aborted,
        },
        () = signals.next() => {
            tracing::warn!(event = "stopped_at_once", cause = "second signal");
            ShutdownOutcome::Aborted
        }
    };
    telemetry.stop();
    Ok(outcome)
}

/// The signals that stop the process.
struct Signals {
    interrupt: Signal,
    terminate: Signal,
}

impl Signals {
    fn new() -> Result<Self> {
        Ok(Self {
            interrupt: signal_handler(SignalKind::interrupt(), "SIGINT")?,
            terminate: signal_handler(SignalKind::terminate(), "SIGTERM")?,
        })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.interrupt.recv() => (),
            _ = self.terminate.recv() => (),
        }
    }
}

fn signal_handler(kind: SignalKind, name: &str) -> Result<Signal> {
    signal(kind).wrap_err_with(|| format!("can't install the handler for {name}"))
}
