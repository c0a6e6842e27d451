//! Records what instances state of themselves in the heads of their responses.

use crate::dialect::ResponseHead;
use crate::state::Shared;
use reedford_fleet::Now;
use reedford_fleet::departures::DepartureSource;
use reedford_fleet::rate_limits::{Changed, Limits, LimitsReport};
use std::time::Duration;

impl Shared {
    /// Records whether an instance, whose incarnation has the start time `born`, is
    /// leaving or asks this node to send nothing for a time.
    pub(crate) fn on_response_head(&self, id: &str, born: u64, head: &ResponseHead) {
        if head.leaving {
            self.on_departure(id, born, DepartureSource::Response);
        }
        match &head.pushback {
            Some(Ok(pause)) => self.on_pushback(id, born, *pause),
            Some(Err(text)) => {
                tracing::warn!(event = "pushback_unreadable", instance = id, value = %text);
            }
            None => {
                let now = self.now();
                self.lock().pushback.on_response(id, now);
            }
        }
    }

    /// Records the limits that an instance names in its response to a request that was
    /// sent at `sent_at`. A rejection without one says nothing.
    pub(crate) fn on_rate_limit(&self, id: &str, born: u64, head: &ResponseHead, sent_at: Now) {
        let read = |name, field: &Option<Result<f64, Box<str>>>| match field {
            Some(Ok(limit)) => Some(*limit),
            Some(Err(text)) => {
                tracing::warn!(event = "limit_unreadable", instance = id, name, value = %text);
                None
            }
            None => None,
        };
        let fields = [&head.rate_limit, &head.rejection_limit];
        if fields.iter().any(|f| matches!(f, Some(Err(_)))) {
            read("calls", &head.rate_limit);
            read("rejections", &head.rejection_limit);
            return;
        }
        let limits = Limits {
            per_s: read("calls", &head.rate_limit),
            rejections: read("rejections", &head.rejection_limit),
        };
        if limits == Limits::default() && head.not_run.is_some() {
            return;
        }
        let now = self.now();
        let mut state = self.lock();
        let changed = state
            .rate_limits
            .on_response(id, born, limits, sent_at, now);
        drop(state);
        if changed.limits {
            tracing::info!(event = "instance_limit", instance = id, born,
                per_s = ?limits.per_s, rejections = ?limits.rejections);
        }
        self.on_rate_limits(changed);
    }

    /// Records that an instance rejected, for want of room, a call that was sent at
    /// `sent_at`.
    pub(crate) fn on_rejected(&self, id: &str, born: u64, sent_at: Now) {
        let now = self.now();
        let mut state = self.lock();
        let nodes = state.budget.node_count();
        let until = state.rate_limits.on_rejected(id, born, nodes, sent_at, now);
        drop(state);
        if let Some(until) = until {
            tracing::info!(
                event = "instance_full",
                instance = id,
                born,
                held_ms = until.saturating_sub(now).as_millis() as u64
            );
        }
    }

    /// Adds the limits on calls that other nodes know of.
    pub(crate) fn merge_rate_limits(&self, report: &LimitsReport) {
        let now = self.now();
        let changed = self.lock().rate_limits.merge(report, now);
        self.on_rate_limits(changed);
    }

    fn on_rate_limits(&self, changed: Changed) {
        if changed.limits {
            let statements = self.lock().rate_limits.statements().clone();
            self.feeds.set_rate_limits(statements);
        }
        if changed.limits || changed.own {
            self.instances_changed.send_replace(());
        }
    }

    fn on_pushback(&self, id: &str, born: u64, pause: Duration) {
        let now = self.now();
        let until = self.lock().pushback.record(id, born, pause, now);
        tracing::info!(
            event = "instance_pushback",
            instance = id,
            born,
            asked_ms = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX),
            held_ms = until.saturating_sub(now).as_millis() as u64
        );
        self.instances_changed.send_replace(());
    }
}
