//! Records which instances announced that they are leaving.

use crate::state::Shared;
use reedford_fleet::departures::DepartureSource;

impl Shared {
    /// Records that the incarnation of an instance with the start time `born`
    /// announced that it is leaving.
    pub(crate) fn on_departure(&self, id: &str, born: u64, source: DepartureSource) {
        let now = self.now();
        let mut state = self.lock();
        if !state.directory.on_departure(id, born, source, now) {
            return;
        }
        state.quarantine.on_leaving(id, now);
        drop(state);
        tracing::info!(
            event = "instance_leaving",
            instance = id,
            born,
            by = source.name()
        );
        self.publish_departures();
    }

    /// Makes the announcements that the store does not show available to other
    /// nodes.
    pub(crate) fn publish_departures(&self) {
        let unlisted = self.lock().directory.unlisted_departures();
        if self.feeds.set_leaving(unlisted) {
            self.instances_changed.send_replace(());
        }
    }
}
