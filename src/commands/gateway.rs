//! `reedford gateway`: runs a node on the users' platform, or only checks its
//! settings.

use crate::flags::Gateway;
use crate::outcome::Outcome;
use eyre::OptionExt as _;
use reedford_platform::{PlatformDialect, PlatformStore, SETTINGS_VARIABLE};
use std::path::{Path, PathBuf};

pub(crate) fn run(flags: &Gateway) -> eyre::Result<Outcome> {
    let path = match &flags.config {
        Some(path) => path.clone(),
        None => std::env::var_os(SETTINGS_VARIABLE)
            .map(PathBuf::from)
            .ok_or_eyre("neither --config nor REEDFORD_CONFIG names a settings file")?,
    };
    let settings = reedford_platform::load(&path)?;
    if flags.check {
        println!("{}: node {} is good", path.display(), settings.node);
        return Ok(Outcome::Done);
    }
    let store = PlatformStore::new(settings.store.clone());
    reedford_gateway::run(settings, PlatformDialect, store, || reload(&path))?;
    Ok(Outcome::Done)
}

/// Reads the settings again. Addresses and limits of a running node stay as
/// they are; what does not fit is told.
fn reload(path: &Path) {
    match reedford_platform::load(path) {
        Ok(settings) => tracing::info!(event = "reload", node = %settings.node),
        Err(error) => tracing::warn!(event = "reload_failed", %error),
    }
}
