//! Runs an entry instance as a process: start, signals, graceful shutdown.

use crate::entry::{Drained, Entry};
use crate::telemetry::Telemetry;
use eyre::{Result, WrapErr as _};
use reedford_settings::Settings;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// How the process ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ended {
    /// After a graceful stop, with every request answered.
    Stopped,
    /// Requests were cut, by a second signal or at the end of the drain time.
    Cut,
}

/// Runs an entry instance until SIGTERM or SIGINT, then stops it gracefully. A
/// second signal stops it immediately.
///
/// # Errors
/// If the instance can't be started, or one of its tasks or threads fails.
pub fn run(cfg: Settings) -> Result<Ended> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(cfg.bounds.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build()
        .wrap_err("the traffic runtime can't be made")?;
    let ended = runtime.block_on(serve(cfg));
    runtime.shutdown_background();
    ended
}

async fn serve(cfg: Settings) -> Result<Ended> {
    let telemetry = Telemetry::start(&cfg)?;
    let mut signals = Signals::new()?;
    let entry = Entry::start(cfg).await?;
    signals.next().await;
    let ended = tokio::select! {
        drained = entry.stop() => match drained? {
            Drained::Complete => Ended::Stopped,
            Drained::TimedOut => Ended::Cut,
        },
        () = signals.next() => {
            tracing::warn!(event = "stopped_at_once", cause = "second signal");
            Ended::Cut
        }
    };
    telemetry.stop();
    Ok(ended)
}

/// The signals that stop the process.
struct Signals {
    interrupt: Signal,
    terminate: Signal,
}

impl Signals {
    fn new() -> Result<Self> {
        let interrupt = signal(SignalKind::interrupt()).wrap_err("SIGINT")?;
        let terminate = signal(SignalKind::terminate()).wrap_err("SIGTERM")?;
        Ok(Self {
            interrupt,
            terminate,
        })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.interrupt.recv() => (),
            _ = self.terminate.recv() => (),
        }
    }
}
