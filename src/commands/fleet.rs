//! `reedford fleet`: shows what the platform's store holds of a fleet.

use crate::flags::Fleet;
use crate::outcome::Outcome;
use reedford_gateway::FleetView;
use reedford_platform::{PlatformDialect, PlatformStore};
use std::time::Duration;

/// Wait of a watch; none is made here.
const NO_WATCH: Duration = Duration::ZERO;

pub(crate) async fn run(flags: Fleet) -> eyre::Result<Outcome> {
    let store = PlatformStore::new(&flags.platform.0, NO_WATCH);
    let view = FleetView::read(&PlatformDialect, &store).await?;
    print!("{view}");
    Ok(Outcome::Done)
}
