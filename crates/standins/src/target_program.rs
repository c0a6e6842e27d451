//! Common parts of the target stand-in programs: configuration files, logs,
//! registration with the platform, and stop signals.

use crate::target_http::send_request;
use eyre::WrapErr as _;
use hyper::Method;
use reedford_wire::instances::Instance;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::timeout;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::layer::SubscriberExt as _;
use tracing_subscriber::util::SubscriberInitExt as _;

/// Number of attempts to register; the platform may start after the target.
const REGISTER_ATTEMPTS: u32 = 40;
/// Time between two attempts to register.
const REGISTER_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of one attempt to register.
const REGISTER_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads a YAML configuration file.
///
/// # Errors
/// When the file can't be read or parsed as `T`.
pub fn read_config<T>(path: &Path) -> eyre::Result<T>
where
    T: DeserializeOwned,
{
    let text =
        std::fs::read_to_string(path).wrap_err_with(|| format!("read {}", path.display()))?;
    serde_saphyr::from_str(&text).wrap_err_with(|| format!("parse {}", path.display()))
}

/// Sets up logging to standard output in logfmt, one line per event.
///
/// # Errors
/// When a subscriber is already set.
pub fn init_log() -> eyre::Result<()> {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_unset| "info".into());
    tracing_subscriber::registry()
        .with(filter)
        .with(tracing_logfmt::layer())
        .try_init()
        .wrap_err("set up logs")
}

/// Handlers of the signals that stop a program.
#[derive(Debug)]
pub struct StopSignals {
    interrupt: Signal,
    terminate: Signal,
}

impl StopSignals {
    /// Installs the handlers of SIGTERM and SIGINT. A program must do so before
    /// it logs that it listens, since the reader of that line may send the
    /// signal immediately.
    ///
    /// # Errors
    /// When a handler can't be installed.
    pub fn catch() -> eyre::Result<Self> {
        Ok(Self {
            interrupt: signal(SignalKind::interrupt())?,
            terminate: signal(SignalKind::terminate())?,
        })
    }

    /// Waits for one of the signals.
    pub async fn next(&mut self) {
        tokio::select! {
            _ = self.interrupt.recv() => {}
            _ = self.terminate.recv() => {}
        }
    }
}

/// Adds or replaces an instance in the platform's list.
pub(crate) async fn register(platform: SocketAddr, instance: &Instance) -> eyre::Result<()> {
    let path = format!("/control/instances/{}", instance.id);
    let body = serde_json::to_vec(instance)?;
    let put = send_request(platform, Method::PUT, &path, body.into());
    let status = timeout(REGISTER_TIMEOUT, put).await??;
    eyre::ensure!(
        status.is_success(),
        "the platform refused the registration: {status}"
    );
    Ok(())
}

/// Registers an instance, retrying after any failure, up to
/// [`REGISTER_ATTEMPTS`] attempts in total.
pub(crate) async fn register_with_retries(
    platform: SocketAddr,
    instance: &Instance,
) -> eyre::Result<()> {
    for _ in 1..REGISTER_ATTEMPTS {
        if register(platform, instance).await.is_ok() {
            return Ok(());
        }
        tokio::time::sleep(REGISTER_INTERVAL).await;
    }
    register(platform, instance)
        .await
        .wrap_err_with(|| format!("registering {} at {platform}", instance.id))
}
