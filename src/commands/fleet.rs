//! `reedford fleet`: shows the state of a fleet in the platform's store.

use crate::flags::Fleet;
use crate::outcome::Outcome;
use reedford_gateway::FleetView;
use reedford_platform::{PlatformDialect, PlatformStore};
use reedford_store::EraTracker;
use std::time::Duration;

/// Longest poll of a watch. This command starts no watch.
const WATCH_POLL: Duration = Duration::ZERO;

pub(crate) async fn run(flags: Fleet) -> eyre::Result<Outcome> {
    let store = PlatformStore::new(&flags.platform.0, WATCH_POLL, &EraTracker::default());
    let view = FleetView::read(&PlatformDialect, &store).await?;
    print!("{view}");
    Ok(Outcome::Done)
}
