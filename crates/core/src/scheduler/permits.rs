//! Permits: requests, grants, releases, expiry and refusals.

use super::state::{Permit, Scheduler, WaitingRequest};
use super::{Action, SchedulerContext};
use crate::ids::{AdapterVersion, Now, PermitId};
use crate::lease::LeaseState;
use crate::messages::{PermitReason, PermitRefusal, PermitRequest, Release};
use reedford_rules::Class;
use std::time::Duration;

/// Time after the request's deadline at which its permit expires.
const PERMIT_MARGIN: Duration = Duration::from_secs(1);
/// Assumed service time of a class before a request of it has ended.
const INITIAL_SERVICE_TIME: Duration = Duration::from_secs(1);
/// Weight of the latest service time in the moving average.
const SERVICE_TIME_WEIGHT: f64 = 0.1;

impl Scheduler {
    /// Refuses a request for a permit, or queues it and grants it when possible.
    pub fn request(&mut self, req: &PermitRequest, cx: &SchedulerContext<'_>) {
        if let Some(refusal) = self.refusal(req, cx) {
            self.refuse(req.id.clone(), refusal);
            return;
        }
        let waiting = WaitingRequest {
            target: req.target.clone(),
            class: req.class,
            expected_service_time: req.expected.unwrap_or_else(|| self.service_time(req.class)),
            since: cx.now,
            deadline: cx.now + req.remaining,
            load_stall: None,
        };
        self.waiting.insert(req.id.clone(), waiting);
        self.schedule(cx);
    }

    /// Ends a permit, or removes the request for it from the queue.
    pub fn release(&mut self, release: &Release, cx: &SchedulerContext<'_>) {
        self.waiting.remove(&release.id);
        if let Some(permit) = self.permits.remove(&release.id) {
            self.record_service_time(&permit, cx.now);
            self.record_use(&permit.target, cx.now, !release.ended);
        }
        self.schedule(cx);
    }

    /// Refuses all waiting requests.
    pub fn refuse_all(&mut self, reason: PermitReason) {
        for (id, _) in std::mem::take(&mut self.waiting) {
            self.refuse(id, PermitRefusal::new(reason, Duration::ZERO));
        }
        self.withdraw_unwanted();
    }

    /// Refuses the requests that wait for a load: loads need a held lease.
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

    /// Refuses the requests that wait for `target`.
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

    /// Refuses requests past their deadline, grants as many others as possible,
    /// then requests load turns for those that wait for a load.
    pub(super) fn schedule(&mut self, cx: &SchedulerContext<'_>) {
        self.refuse_overdue(cx);
        if !self.is_open(cx.now) || cx.lease == LeaseState::Lapsed {
            return;
        }
        for id in self.grant_order() {
            self.try_grant(&id, cx.now);
        }
        self.withdraw_unwanted();
        if cx.lease == LeaseState::Held {
            self.request_turns(cx);
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
        if !self.is_resident(&waiting.target) || !self.has_capacity(waiting.class) {
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
        self.record_use(&permit.target, now, false);
        self.permits.insert(id.clone(), permit);
        self.actions.push(Action::Grant {
            id: id.clone(),
            load_stall,
        });
    }

    fn record_use(&mut self, target: &AdapterVersion, now: Now, uncertain: bool) {
        if let Some(resident) = self.residents.get_mut(target) {
            resident.last_used = now;
            if uncertain {
                resident.uncertain = resident.uncertain.max(Some(now));
            }
        } else if uncertain {
            // The load may have taken effect although its response has not
            // arrived.
            self.maybe_in_use.insert(target.clone(), now);
        }
    }

    fn record_service_time(&mut self, permit: &Permit, now: Now) {
        let latest = now.saturating_sub(permit.granted).as_secs_f64();
        let known = self.service_time(permit.class).as_secs_f64();
        let average = known * (1.0 - SERVICE_TIME_WEIGHT) + latest * SERVICE_TIME_WEIGHT;
        self.service_times
            .insert(permit.class, Duration::from_secs_f64(average));
    }

    pub(super) fn expire_permits(&mut self, now: Now) {
        let expired: Vec<PermitId> = self
            .permits
            .iter()
            .filter(|(_, p)| p.until <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            if let Some(permit) = self.permits.remove(&id) {
                self.record_use(&permit.target, now, true);
            }
        }
    }

    /// Returns the moving average of the time that requests of `class` run on the
    /// worker.
    pub(super) fn service_time(&self, class: Class) -> Duration {
        self.service_times
            .get(&class)
            .copied()
            .unwrap_or(INITIAL_SERVICE_TIME)
    }

    /// Returns the mean service time over the requests that run now, or that of a
    /// standard request if none runs.
    pub(super) fn average_service_time(&self) -> Duration {
        if self.permits.is_empty() {
            return self.service_time(Class::Standard);
        }
        let running = self.permits.values().map(|p| self.service_time(p.class));
        running.sum::<Duration>() / self.running()
    }
}
