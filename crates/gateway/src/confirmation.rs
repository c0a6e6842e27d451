//! Whether a node's configuration is the newest one.

use crate::state::State;
use reedford_fleet::Now;
use std::time::Duration;

impl State {
    /// Records that the store, or a coordinator that follows it, responded. That confirms
    /// the configuration unless a newer one is known.
    pub(crate) fn on_source_response(&mut self, now: Now) {
        self.connectivity.on_success();
        if self.operators_lag.behind(now).is_none() {
            self.configuration_confirmed = Some(now);
        }
    }

    /// Whether this node's configuration was the newest one less than `limit` ago.
    pub(crate) fn is_configuration_current(&self, limit: Duration, now: Now) -> bool {
        let confirmed = self.configuration_confirmed;
        confirmed.is_some_and(|at| now.saturating_sub(at) < limit)
    }

    /// Whether this node may tell callers that something does not exist, which they take as
    /// final: its configuration was the newest one less than `limit` ago, and it knows of
    /// none that is newer.
    pub(crate) fn may_deny(&self, limit: Duration, now: Now) -> bool {
        self.operators_lag.behind(now).is_none() && self.is_configuration_current(limit, now)
    }
}
