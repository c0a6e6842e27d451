//! Runs the plain service stand-in until SIGINT or SIGTERM.

use reedford_standins::plain::PlainStandin;
use reedford_standins::target_program::{StopSignals, init_log, read_config};
use std::path::PathBuf;

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let flags = xflags::parse_or_exit! {
        /// Configuration file, YAML
        required --config file: PathBuf
    };
    init_log()?;
    let mut signals = StopSignals::catch()?;
    let service = PlainStandin::start(read_config(&flags.config)?).await?;
    tracing::info!(event = "listening", addr = %service.addr());
    signals.next().await;
    service.shutdown().await;
    tracing::info!(event = "stopped");
    Ok(())
}
