//! Graceful shutdown: hands all workers over, then leaves the zone's table.

use super::state::{Control, StopState, send_reply};
use reedford_core::{InstanceId, Now, WorkerId};
use reedford_settings::ms;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::oneshot;

/// Longest time for handing workers over. The other members claim those that
/// remain.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(5);

impl Control {
    pub(super) fn on_stop(&mut self, reply: oneshot::Sender<()>) {
        tracing::info!(event = "handing_over", workers = self.workers.len());
        self.periodic.next_exchange = Duration::ZERO;
        self.stop = StopState::HandingOver {
            reply,
            since: self.clock.now(),
        };
    }

    pub(super) fn is_stopping(&self) -> bool {
        !matches!(self.stop, StopState::Running)
    }

    pub(super) fn tick_stop(&mut self) {
        let now = self.clock.now();
        match std::mem::take(&mut self.stop) {
            StopState::Running => {}
            StopState::HandingOver { reply, since } => self.hand_over_all(reply, since, now),
            StopState::Leaving { reply, since } => self.finish_leaving(reply, since, now),
            StopState::Stopped => self.stop = StopState::Stopped,
        }
    }

    fn hand_over_all(&mut self, reply: oneshot::Sender<()>, since: Now, now: Now) {
        let timed_out = now >= since + HAND_OVER_TIMEOUT;
        self.stop = StopState::HandingOver { reply, since };
        if !self.is_table_fresh() && !timed_out {
            return;
        }
        let moves = self.next_owners(now);
        let hand_over_ended = self.workers.is_empty() || moves.is_empty() || timed_out;
        if !hand_over_ended {
            self.hand_over(moves);
            return;
        }
        for worker in self.workers.keys().cloned().collect::<Vec<_>>() {
            self.drop_worker(&worker);
        }
        self.leave(now);
    }

    /// Returns the next owner of each worker, if there is another live member.
    fn next_owners(&self, now: Now) -> BTreeMap<WorkerId, InstanceId> {
        let mut others = self.alive_members(now);
        others.remove(&self.me.instance);
        let owners = self.workers.keys().map(|worker| {
            let owner = self.membership.table.preferred_owner(worker, &others);
            owner.map(|owner| (worker.clone(), owner))
        });
        owners.flatten().collect()
    }

    fn leave(&mut self, now: Now) {
        let StopState::HandingOver { reply, .. } = std::mem::take(&mut self.stop) else {
            return;
        };
        self.stop = StopState::Leaving { reply, since: now };
        let table = self.membership.table.without_member(&self.me.instance);
        self.swap_table(&table, Vec::new());
    }

    /// Completes the shutdown once the table no longer lists this instance. A
    /// swap that failed because of another change is repeated with the table
    /// read since then.
    fn finish_leaving(&mut self, reply: oneshot::Sender<()>, since: Now, now: Now) {
        let me = &self.me;
        let left = !self
            .membership
            .table
            .has_member(&me.instance, me.incarnation);
        let timed_out = now >= since + ms(self.cfg.timeouts.platform_ms) * 3;
        if left || timed_out {
            tracing::info!(event = "left_table", left);
            self.stop = StopState::Stopped;
            send_reply(reply, ());
            return;
        }
        self.stop = StopState::Leaving { reply, since };
        if self.is_table_fresh() {
            let table = self.membership.table.without_member(&self.me.instance);
            self.swap_table(&table, Vec::new());
        }
    }
}
