//! Admission: which requests may wait for a permit, and their expected wait.

use super::engine::EngineStatus;
use super::state::Scheduler;
use super::{Action, SchedulerContext};
use crate::ids::{AdapterVersion, Now, PermitId};
use crate::lease::LeaseState;
use crate::messages::{PermitReason, PermitRefusal, PermitRequest};
use reedford_rules::{Admission, Class};
use std::time::Duration;

/// Divisor of the batch limit that gives the part of a batch, rounded up, that
/// writing requests leave free.
const LOOKUP_RESERVE_DIVISOR: u32 = 8;
/// Expected time of a load once it has its turn.
pub(super) const LOAD_TIME: Duration = Duration::from_millis(250);
/// Shortest expected wait for a load that has not ended, however overdue.
const MIN_LOAD_WAIT: Duration = Duration::from_millis(50);

impl Scheduler {
    /// Returns the refusal for a request that can't wait here, `None` if it can.
    pub(super) fn refusal(
        &self,
        req: &PermitRequest,
        cx: &SchedulerContext<'_>,
    ) -> Option<PermitRefusal> {
        if let Some(reason) = self.closed_reason(&req.target, cx) {
            return Some(PermitRefusal::new(reason, Duration::ZERO));
        }
        if let Some(left) = self.backoff_left(&req.target, cx.now) {
            return Some(PermitRefusal::new(PermitReason::LoadFailed, left));
        }
        let wait = self.expected_wait(&req.target, req.class, cx);
        if wait > req.patience {
            return Some(PermitRefusal::new(PermitReason::Busy, wait));
        }
        let expected = req.expected.unwrap_or_else(|| self.service_time(req.class));
        let late = wait + expected >= req.remaining;
        let admission = self.policy.admission == Admission::On;
        (late && admission).then(|| PermitRefusal::new(PermitReason::DeadlineUnreachable, wait))
    }

    /// Refuses the waiting requests whose deadline has passed.
    pub(super) fn refuse_overdue(&mut self, cx: &SchedulerContext<'_>) {
        let overdue: Vec<PermitId> = self
            .waiting
            .iter()
            .filter(|(_, w)| w.deadline <= cx.now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in overdue {
            if let Some(waiting) = self.waiting.remove(&id) {
                let wait = self.expected_wait(&waiting.target, waiting.class, cx);
                let refusal = PermitRefusal::new(PermitReason::DeadlineUnreachable, wait);
                self.actions.push(Action::Refuse { id, refusal });
            }
        }
    }

    /// Returns whether the batch has capacity for one more request of `class`.
    ///
    /// Writing requests leave a part of each batch free, so that a lookup never
    /// waits for the end of a long response.
    pub(super) fn has_capacity(&self, class: Class) -> bool {
        let limit = self.batch_limit();
        if self.running() >= limit {
            return false;
        }
        if class != Class::Writing {
            return true;
        }
        let writing = self
            .permits
            .values()
            .filter(|p| p.class == Class::Writing)
            .count();
        (writing as u32) < writing_limit(limit)
    }

    /// Returns how long a request for `target` is expected to wait for its permit.
    pub(super) fn expected_wait(
        &self,
        target: &AdapterVersion,
        class: Class,
        cx: &SchedulerContext<'_>,
    ) -> Duration {
        let opening = self.open_from.saturating_sub(cx.now);
        opening
            + self
                .load_wait(target, class, cx)
                .max(self.batch_wait(class))
    }

    fn load_wait(
        &self,
        target: &AdapterVersion,
        class: Class,
        cx: &SchedulerContext<'_>,
    ) -> Duration {
        if self.is_resident(target) {
            return Duration::ZERO;
        }
        if let Some(load) = self.orders.get(target).filter(|order| order.is_load()) {
            return time_to_load_end(load.since + LOAD_TIME, cx.now);
        }
        if let Some(turn) = self.pending_turns.get(target) {
            return time_to_load_end(turn.expected_at + LOAD_TIME, cx.now);
        }
        let slot = if self.open_slots() > 0 {
            Duration::ZERO
        } else {
            self.average_service_time()
        };
        slot + cx.turn_wait.of(class) + LOAD_TIME
    }

    fn batch_wait(&self, class: Class) -> Duration {
        let limit = self.batch_limit().max(1);
        if self.has_capacity(class) && self.waiting() < limit {
            return Duration::ZERO;
        }
        let ahead = self.waiting.values().filter(|w| w.class <= class).count() as u32 + 1;
        self.average_service_time() * ahead / limit
    }

    fn closed_reason(
        &self,
        target: &AdapterVersion,
        cx: &SchedulerContext<'_>,
    ) -> Option<PermitReason> {
        match self.engine.as_ref().map(|e| e.status) {
            Some(EngineStatus::Leaving) => return Some(PermitReason::WorkerLeaving),
            Some(EngineStatus::Down) | None => return Some(PermitReason::WorkerDown),
            Some(EngineStatus::Up) => {}
        }
        let allowed = match cx.lease {
            LeaseState::Held => !self.blocked.contains_key(target),
            LeaseState::ResidentOnly => self.is_resident(target),
            LeaseState::Lapsed => false,
        };
        (!allowed).then_some(PermitReason::NotOwner)
    }

    fn backoff_left(&self, target: &AdapterVersion, now: Now) -> Option<Duration> {
        if self.is_resident(target) {
            return None;
        }
        let until = self.backoff.get(target)?.until;
        until.checked_sub(now).filter(|left| !left.is_zero())
    }
}

/// Returns the expected time until a load ends, at least [`MIN_LOAD_WAIT`] if its
/// expected `end` has passed.
fn time_to_load_end(end: Now, now: Now) -> Duration {
    end.saturating_sub(now).max(MIN_LOAD_WAIT)
}

fn writing_limit(batch_limit: u32) -> u32 {
    let reserve = batch_limit.div_ceil(LOOKUP_RESERVE_DIVISOR);
    batch_limit.saturating_sub(reserve).max(1)
}
