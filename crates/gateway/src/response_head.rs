//! Records what instances state of themselves in the heads of their responses.

use crate::dialect::ResponseHead;
use crate::state::Shared;
use reedford_fleet::Now;
use reedford_fleet::departures::DepartureSource;
use reedford_fleet::rate_limits::{Changed, LimitsReport};
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

    /// Records the limit that an instance names in its response to a request that was
    /// sent at `sent_at`. A rejection without one says nothing.
    pub(crate) fn on_rate_limit(&self, id: &str, born: u64, head: &ResponseHead, sent_at: Now) {
        let per_s = match &head.rate_limit {
            Some(Ok(per_s)) => Some(*per_s),
            Some(Err(text)) => {
                tracing::warn!(event = "limit_unreadable", instance = id, value = %text);
                return;
            }
            None if head.not_run.is_some() => return,
            None => None,
        };
        let now = self.now();
        let mut state = self.lock();
        let changed = state.rate_limits.on_response(id, born, per_s, sent_at, now);
        drop(state);
        if changed.limits {
            tracing::info!(event = "instance_limit", instance = id, born, ?per_s);
        }
        self.on_rate_limits(changed);
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
