//! Runs the platform stand-in until SIGINT or SIGTERM.

use eyre::WrapErr as _;
use reedford_standins::platform::{PlatformConfig, PlatformStandin};
use std::path::Path;
use tokio::signal::unix::{SignalKind, signal};
use tracing_subscriber::layer::SubscriberExt as _;
use tracing_subscriber::util::SubscriberInitExt as _;

mod flags {
    use std::net::SocketAddr;
    use std::path::PathBuf;

    xflags::xflags! {
        /// Stand-in of the platform, for tests and demonstrations.
        cmd reedford-platform-standin {
            /// YAML file of its settings; all have a default.
            optional --config file: PathBuf
            /// Address at which everyone reaches it; goes before the file's.
            optional --listen address: SocketAddr
        }
    }
}

fn main() -> eyre::Result<()> {
    let flags = flags::ReedfordPlatformStandin::from_env_or_exit();
    tracing_subscriber::registry()
        .with(tracing_logfmt::layer())
        .init();
    let mut cfg = match &flags.config {
        Some(path) => read(path)?,
        None => PlatformConfig::default(),
    };
    if let Some(address) = flags.listen {
        cfg.control = address;
    }
    run(cfg)
}

fn read(path: &Path) -> eyre::Result<PlatformConfig> {
    let text = std::fs::read_to_string(path).wrap_err_with(|| path.display().to_string())?;
    serde_saphyr::from_str(&text).wrap_err_with(|| path.display().to_string())
}

#[tokio::main]
async fn run(cfg: PlatformConfig) -> eyre::Result<()> {
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut terminate = signal(SignalKind::terminate())?;
    let standin = PlatformStandin::start(cfg).await?;
    tracing::info!(event = "listening", control = %standin.control(), zones = ?standin.zones());
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
    standin.shutdown().await;
    tracing::info!(event = "stopped");
    Ok(())
}
