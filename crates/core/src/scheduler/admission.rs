//! Which requests may wait for a permit, and how long they would.

use super::engine::Status;
use super::state::Scheduler;
use super::{Action, Cx};
use crate::ids::{AdapterVersion, Now, PermitId};
use crate::lease::LeaseState;
use crate::messages::{PermitReason, PermitRefusal, PermitRequest};
use reedford_rules::{Admission, Class};
use std::time::Duration;

/// One part in this many of a batch is kept free of long writing.
const LOOKUP_RESERVE: u32 = 8;
/// Time of a load that does not wait for others.
pub(super) const LOAD_TIME: Duration = Duration::from_millis(250);
/// Expected wait for a load that should have ended.
const LEAST_LOAD_WAIT: Duration = Duration::from_millis(50);

impl Scheduler {
    /// Why a request can't wait here, if it can't.
    pub(super) fn refusal(&self, req: &PermitRequest, cx: &Cx<'_>) -> Option<PermitRefusal> {
        if let Some(reason) = self.closed(&req.target, cx) {
            return Some(PermitRefusal::new(reason, Duration::ZERO));
        }
        if let Some(left) = self.backoff_left(&req.target, cx.now) {
            return Some(PermitRefusal::new(PermitReason::LoadFailed, left));
        }
        let wait = self.expected_wait(&req.target, req.class, cx);
        if wait > req.patience {
            return Some(PermitRefusal::new(PermitReason::Busy, wait));
        }
        let expected = req.expected.unwrap_or_else(|| self.hold(req.class));
        let late = wait + expected >= req.remaining;
        let admission = self.policy.admission == Admission::On;
        (late && admission).then(|| PermitRefusal::new(PermitReason::DeadlineUnreachable, wait))
    }

    /// Gives up requests that can no longer end in time.
    pub(super) fn give_up_late(&mut self, cx: &Cx<'_>) {
        let late: Vec<PermitId> = self
            .waiting
            .iter()
            .filter(|(_, w)| w.deadline <= cx.now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in late {
            if let Some(waiting) = self.waiting.remove(&id) {
                let wait = self.expected_wait(&waiting.target, waiting.class, cx);
                let refusal = PermitRefusal::new(PermitReason::DeadlineUnreachable, wait);
                self.actions.push(Action::Refuse { id, refusal });
            }
        }
    }

    /// Whether a request of `class` may run now beside those that do.
    ///
    /// Long writing leaves a part of each batch free, so that a lookup never
    /// waits for the end of a long answer.
    pub(super) fn has_room(&self, class: Class) -> bool {
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

    /// Time that a request for `target` would wait for its permit.
    pub(super) fn expected_wait(
        &self,
        target: &AdapterVersion,
        class: Class,
        cx: &Cx<'_>,
    ) -> Duration {
        let opening = self.open_from.saturating_sub(cx.now);
        opening
            + self
                .load_wait(target, class, cx)
                .max(self.batch_wait(class))
    }

    fn load_wait(&self, target: &AdapterVersion, class: Class, cx: &Cx<'_>) -> Duration {
        if self.is_resident(target) {
            return Duration::ZERO;
        }
        if let Some(load) = self.orders.get(target).filter(|order| order.is_load()) {
            return wait_until(load.since + LOAD_TIME, cx.now);
        }
        if let Some(ask) = self.asked.get(target) {
            return wait_until(ask.expected + LOAD_TIME, cx.now);
        }
        let slot = if self.open_slots() > 0 {
            Duration::ZERO
        } else {
            self.average_hold()
        };
        slot + cx.load_outlook.of(class) + LOAD_TIME
    }

    fn batch_wait(&self, class: Class) -> Duration {
        let limit = self.batch_limit().max(1);
        if self.has_room(class) && self.waiting() < limit {
            return Duration::ZERO;
        }
        let ahead = self.waiting.values().filter(|w| w.class <= class).count() as u32 + 1;
        self.average_hold() * ahead / limit
    }

    fn closed(&self, target: &AdapterVersion, cx: &Cx<'_>) -> Option<PermitReason> {
        match self.engine.as_ref().map(|e| e.status) {
            Some(Status::Leaving) => return Some(PermitReason::WorkerLeaving),
            Some(Status::Down) | None => return Some(PermitReason::WorkerDown),
            Some(Status::Up) => {}
        }
        let may = match cx.lease {
            LeaseState::Held => !self.barred.contains_key(target),
            LeaseState::ResidentOnly => self.is_resident(target),
            LeaseState::Lapsed => false,
        };
        (!may).then_some(PermitReason::NotOwner)
    }

    fn backoff_left(&self, target: &AdapterVersion, now: Now) -> Option<Duration> {
        if self.is_resident(target) {
            return None;
        }
        let until = self.backoff.get(target)?.until;
        until.checked_sub(now).filter(|left| !left.is_zero())
    }
}

/// Time until a load is expected to end that may be late by now.
fn wait_until(end: Now, now: Now) -> Duration {
    end.saturating_sub(now).max(LEAST_LOAD_WAIT)
}

fn writing_limit(batch_limit: u32) -> u32 {
    let reserve = batch_limit.div_ceil(LOOKUP_RESERVE);
    batch_limit.saturating_sub(reserve).max(1)
}
