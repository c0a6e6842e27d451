//! `reedford gateway`: runs a node on the users' platform, or only checks its
//! settings.

use crate::flags::Gateway;
use crate::outcome::Outcome;
use eyre::OptionExt as _;
use reedford_gateway::StoreClients;
use reedford_platform::{PlatformDialect, PlatformStore, SETTINGS_VARIABLE};
use reedford_store::EraTracker;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

/// Longest poll of a watch whose loss has to be detected soon.
const SHORT_POLL: Duration = Duration::from_millis(500);
/// Longest poll of a watch on keys that seldom change. The sum of this poll and the
/// time to detect the loss of the watch must be shorter than the time in contact with
/// the store after which the users' platform requires a node to meet its limits.
const MEDIUM_POLL: Duration = Duration::from_secs(2);
/// Longest poll of a watch on keys whose changes another node also reports.
const LONG_POLL: Duration = Duration::from_secs(25);

pub(crate) fn run(flags: &Gateway) -> eyre::Result<Outcome> {
    let path = match &flags.config {
        Some(path) => path.clone(),
        None => std::env::var_os(SETTINGS_VARIABLE)
            .map(PathBuf::from)
            .ok_or_eyre("neither --config nor REEDFORD_CONFIG names a settings file")?,
    };
    let settings = reedford_platform::load_settings(&path)?;
    if flags.check {
        println!("{}: node {} is good", path.display(), settings.node);
        return Ok(Outcome::Done);
    }
    let eras = EraTracker::default();
    let store = |watch_poll| Arc::new(PlatformStore::new(&settings.store, watch_poll, &eras));
    let stores = StoreClients {
        short_poll: store(SHORT_POLL),
        medium_poll: store(MEDIUM_POLL),
        long_poll: store(LONG_POLL),
        eras: eras.clone(),
    };
    reedford_gateway::run(settings, PlatformDialect, stores, || check_settings(&path))?;
    Ok(Outcome::Done)
}

/// Reads the settings file again and logs whether it is valid. The running node keeps
/// the settings that it started with.
fn check_settings(path: &Path) {
    match reedford_platform::load_settings(path) {
        Ok(settings) => tracing::info!(event = "reload", node = %settings.node),
        Err(error) => tracing::warn!(event = "reload_failed", %error),
    }
}
