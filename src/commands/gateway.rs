//! `reedford gateway`: runs a node on the users' platform, or only checks its
//! settings.

use crate::flags::Gateway;
use crate::outcome::Outcome;
use eyre::OptionExt as _;
use reedford_gateway::StoreClients;
use reedford_platform::{PlatformDialect, PlatformStore, SETTINGS_VARIABLE};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

/// Longest wait of a watch whose silence has to show soon.
const QUICK_WATCH: Duration = Duration::from_millis(500);
/// Longest wait of a watch on keys that change seldom; with the time until its
/// silence shows, less than the time in touch that a platform asks for before
/// bounds hold.
const STEADY_WATCH: Duration = Duration::from_secs(2);
/// Longest wait of a watch on keys of whose changes another node tells.
const PATIENT_WATCH: Duration = Duration::from_secs(25);

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
    let store = |watch_wait| Arc::new(PlatformStore::new(&settings.store, watch_wait));
    let stores = StoreClients {
        short_poll: store(QUICK_WATCH),
        medium_poll: store(STEADY_WATCH),
        long_poll: store(PATIENT_WATCH),
    };
    reedford_gateway::run(settings, PlatformDialect, stores, || reload(&path))?;
    Ok(Outcome::Done)
}

/// Reads the settings again. Addresses and limits of a running node stay as
/// they are; what does not fit is told.
fn reload(path: &Path) {
    match reedford_platform::load_settings(path) {
        Ok(settings) => tracing::info!(event = "reload", node = %settings.node),
        Err(error) => tracing::warn!(event = "reload_failed", %error),
    }
}
