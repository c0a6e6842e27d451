//! Runs the model engine stand-in until SIGINT or SIGTERM.

use reedford_standins::engine::EngineStandin;
use reedford_standins::target_program::{StopSignals, init_log, read_config};
use std::path::PathBuf;
use std::time::Duration;
use tokio::time::timeout;

/// Maximum time that a shutdown waits for running and queued requests.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let flags = xflags::parse_or_exit! {
        /// Configuration file, YAML
        required --config file: PathBuf
    };
    init_log()?;
    let mut signals = StopSignals::catch()?;
    let engine = EngineStandin::start(read_config(&flags.config)?).await?;
    tracing::info!(event = "listening", addr = %engine.addr());
    signals.next().await;
    let drained = timeout(DRAIN_TIMEOUT, engine.drain()).await.is_ok();
    engine.shutdown().await;
    tracing::info!(event = "stopped", drained);
    Ok(())
}
