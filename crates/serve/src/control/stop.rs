//! The graceful stop: workers are handed over, then the table is left.

use super::state::{Control, Stop, answer};
use reedford_core::{InstanceId, Now, WorkerId};
use reedford_settings::ms;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::oneshot;

/// Longest time for handing over; what is left then is claimed by others.
const HAND_OVER_LIMIT: Duration = Duration::from_secs(5);

impl Control {
    pub(super) fn on_stop(&mut self, reply: oneshot::Sender<()>) {
        tracing::info!(event = "handing_over", workers = self.workers.len());
        self.timers.exchange = Duration::ZERO;
        self.stop = Stop::HandingOver {
            reply,
            since: self.clock.now(),
        };
    }

    pub(super) fn is_stopping(&self) -> bool {
        !matches!(self.stop, Stop::Running)
    }

    pub(super) fn tick_stop(&mut self) {
        let now = self.clock.now();
        match std::mem::take(&mut self.stop) {
            Stop::Running => {}
            Stop::HandingOver { reply, since } => self.hand_over_all(reply, since, now),
            Stop::Leaving { reply, since } => self.finish_leaving(reply, since, now),
            Stop::Stopped => self.stop = Stop::Stopped,
        }
    }

    fn hand_over_all(&mut self, reply: oneshot::Sender<()>, since: Now, now: Now) {
        let late = now >= since + HAND_OVER_LIMIT;
        self.stop = Stop::HandingOver { reply, since };
        if !self.is_table_fresh() && !late {
            return;
        }
        let moves = self.moves(now);
        let done = self.workers.is_empty() || moves.is_empty() || late;
        if !done {
            self.hand_over(moves);
            return;
        }
        for worker in self.workers.keys().cloned().collect::<Vec<_>>() {
            self.drop_worker(&worker);
        }
        self.leave(now);
    }

    /// Next owners of the workers, where another live member can be one.
    fn moves(&self, now: Now) -> BTreeMap<WorkerId, InstanceId> {
        let mut others = self.alive_members(now);
        others.remove(&self.me.instance);
        let homes = self.workers.keys().map(|worker| {
            let home = self.membership.table.preferred_owner(worker, &others);
            home.map(|home| (worker.clone(), home))
        });
        homes.flatten().collect()
    }

    fn leave(&mut self, now: Now) {
        let Stop::HandingOver { reply, .. } = std::mem::take(&mut self.stop) else {
            return;
        };
        self.stop = Stop::Leaving { reply, since: now };
        let table = self.membership.table.without_member(&self.me.instance);
        self.swap_table(&table, Vec::new());
    }

    /// Waits until the table no longer names this instance. A swap that lost
    /// against another change is made again on what was read since.
    fn finish_leaving(&mut self, reply: oneshot::Sender<()>, since: Now, now: Now) {
        let me = &self.me;
        let left = !self
            .membership
            .table
            .has_member(&me.instance, me.incarnation);
        let late = now >= since + ms(self.cfg.timeouts.platform_ms) * 3;
        if left || late {
            tracing::info!(event = "left_table", left);
            self.stop = Stop::Stopped;
            answer(reply, ());
            return;
        }
        self.stop = Stop::Leaving { reply, since };
        if self.is_table_fresh() {
            let table = self.membership.table.without_member(&self.me.instance);
            self.swap_table(&table, Vec::new());
        }
    }
}
