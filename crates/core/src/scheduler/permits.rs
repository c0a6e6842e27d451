//! Permits: requests for them, grants, releases and refusals.

use super::state::{Permit, Scheduler, Waiting};
use super::{Action, Cx};
use crate::ids::{AdapterVersion, Now, PermitId};
use crate::lease::LeaseState;
use crate::messages::{PermitReason, PermitRefusal, PermitRequest, Release};
use reedford_rules::Class;
use std::time::Duration;

/// Added to a permit's time, so that it outlasts the asker's own deadline.
const PERMIT_MARGIN: Duration = Duration::from_secs(1);
/// Guess of a request's time on the worker before any was seen.
const FIRST_HOLD: Duration = Duration::from_secs(1);
/// Weight of the newest hold time in the average.
const HOLD_WEIGHT: f64 = 0.1;

impl Scheduler {
    /// Decides on a request for a permit: at once, or later by an action.
    pub fn request(&mut self, req: &PermitRequest, cx: &Cx<'_>) {
        if let Some(refusal) = self.refusal(req, cx) {
            self.refuse(req.id.clone(), refusal);
            return;
        }
        let waiting = Waiting {
            target: req.target.clone(),
            class: req.class,
            expected: req.expected.unwrap_or_else(|| self.hold(req.class)),
            since: cx.now,
            deadline: cx.now + req.remaining,
            load_stall: None,
        };
        self.waiting.insert(req.id.clone(), waiting);
        self.pump(cx);
    }

    /// Takes a permit back, or a request for one out of the queue.
    pub fn release(&mut self, release: &Release, cx: &Cx<'_>) {
        self.waiting.remove(&release.id);
        if let Some(permit) = self.permits.remove(&release.id) {
            self.note_hold(&permit, cx.now);
            self.note_use(&permit.target, cx.now, !release.ended);
        }
        self.pump(cx);
    }

    /// Refuses everything that waits.
    pub fn refuse_all(&mut self, reason: PermitReason) {
        for (id, _) in std::mem::take(&mut self.waiting) {
            self.refuse(id, PermitRefusal::new(reason, Duration::ZERO));
        }
        self.withdraw_unwanted();
    }

    /// Refuses what waits for a load: without a lease nothing is loaded.
    pub(super) fn refuse_not_resident(&mut self) {
        let targets = self.waiting_by_target().into_keys();
        let missing: Vec<AdapterVersion> = targets.filter(|t| !self.is_resident(t)).collect();
        for target in missing {
            self.refuse_waiting(
                &target,
                PermitRefusal::new(PermitReason::NotOwner, Duration::ZERO),
            );
        }
        self.withdraw_unwanted();
    }

    /// Refuses what waits for `target`.
    pub(super) fn refuse_waiting(&mut self, target: &AdapterVersion, refusal: PermitRefusal) {
        let ids: Vec<PermitId> = self
            .waiting
            .iter()
            .filter(|(_, w)| w.target == *target)
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            self.waiting.remove(&id);
            self.refuse(id, refusal);
        }
    }

    pub(super) fn refuse(&mut self, id: PermitId, refusal: PermitRefusal) {
        self.actions.push(Action::Refuse { id, refusal });
    }

    /// Gives up what is late, grants what can be granted, then asks for the
    /// loads still wanted.
    pub(super) fn pump(&mut self, cx: &Cx<'_>) {
        self.give_up_late(cx);
        if !self.is_open(cx.now) || cx.lease == LeaseState::Lapsed {
            return;
        }
        for id in self.grant_order() {
            self.try_grant(&id, cx.now);
        }
        self.withdraw_unwanted();
        if cx.lease == LeaseState::Held {
            self.ask_loads(cx);
        }
    }

    fn grant_order(&self) -> Vec<PermitId> {
        let mut ids: Vec<&PermitId> = self.waiting.keys().collect();
        ids.sort_by_key(|id| {
            let waiting = &self.waiting[*id];
            (waiting.class, waiting.since, *id)
        });
        ids.into_iter().cloned().collect()
    }

    fn try_grant(&mut self, id: &PermitId, now: Now) {
        let waiting = &self.waiting[id];
        if !self.is_resident(&waiting.target) || !self.has_room(waiting.class) {
            return;
        }
        let Some(waiting) = self.waiting.remove(id) else {
            return;
        };
        let load_stall = waiting.load_stall.unwrap_or_default();
        let permit = Permit {
            target: waiting.target,
            class: waiting.class,
            granted: now,
            until: waiting.deadline + PERMIT_MARGIN,
        };
        self.note_use(&permit.target, now, false);
        self.permits.insert(id.clone(), permit);
        self.actions.push(Action::Grant {
            id: id.clone(),
            load_stall,
        });
    }

    fn note_use(&mut self, target: &AdapterVersion, now: Now, uncertain: bool) {
        if let Some(resident) = self.residents.get_mut(target) {
            resident.last_used = now;
            if uncertain {
                resident.uncertain = resident.uncertain.max(Some(now));
            }
        } else if uncertain {
            // Its load may have taken effect already, and the answer be late.
            self.doubts.insert(target.clone(), now);
        }
    }

    fn note_hold(&mut self, permit: &Permit, now: Now) {
        let held = now.saturating_sub(permit.granted).as_secs_f64();
        let known = self.hold(permit.class).as_secs_f64();
        let average = known * (1.0 - HOLD_WEIGHT) + held * HOLD_WEIGHT;
        self.holds
            .insert(permit.class, Duration::from_secs_f64(average));
    }

    pub(super) fn end_permits(&mut self, now: Now) {
        let ended: Vec<PermitId> = self
            .permits
            .iter()
            .filter(|(_, p)| p.until <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in ended {
            if let Some(permit) = self.permits.remove(&id) {
                self.note_use(&permit.target, now, true);
            }
        }
    }

    /// Expected time of a request on the worker.
    pub(super) fn hold(&self, class: Class) -> Duration {
        self.holds.get(&class).copied().unwrap_or(FIRST_HOLD)
    }

    /// Expected time of the requests that run now, or of an ordinary one when
    /// none runs.
    pub(super) fn average_hold(&self) -> Duration {
        if self.permits.is_empty() {
            return self.hold(Class::Standard);
        }
        let running = self.permits.values().map(|p| self.hold(p.class));
        running.sum::<Duration>() / self.running()
    }
}
