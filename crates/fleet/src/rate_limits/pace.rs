//! When a call may be sent to an instance that takes a limited rate.

use crate::Now;
use std::time::Duration;

/// Lowest rate at which calls are sent, in calls per second, since only a response
/// shows that a limit has ended.
const MIN_PER_S: f64 = 0.25;
/// Time ahead of its turn at which a call may be sent, for short bursts.
const BURST_TIME: Duration = Duration::from_secs(1);
/// Longest time after the beginning of its turn in which a node may use it.
const MAX_TURN: Duration = Duration::from_secs(1);
/// Share of a limit that nodes use which don't know of each other's calls.
const USABLE_SHARE: f64 = 0.8;

/// Pace of all calls to an instance, where one node grants them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    interval: Duration,
    /// When the next call is due at the limit.
    next: Now,
}

/// Turns of one node among those that share an instance's limit. A turn that is not
/// used is lost, so that nodes without calls for a while don't all send at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Turns {
    pub(super) interval: Duration,
    /// Beginning of the turns within the interval, as a share of it.
    phase: f64,
}

impl Pace {
    /// Creates the pace of an instance that takes `per_s` calls per second.
    #[must_use]
    pub fn new(per_s: f64, now: Now) -> Self {
        let interval = interval(per_s);
        Self {
            interval,
            next: now + interval,
        }
    }

    /// Sets the limit in calls per second.
    pub fn set_limit(&mut self, per_s: f64) {
        self.interval = interval(per_s);
    }

    /// Returns the limit in calls per second.
    #[must_use]
    pub fn per_s(&self) -> f64 {
        1.0 / self.interval.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    /// Returns how long a call has to wait behind `ahead` others.
    #[must_use]
    pub fn wait(&self, ahead: f64, now: Now) -> Duration {
        let due = self.next + self.interval.mul_f64(ahead);
        due.saturating_sub(now + BURST_TIME)
    }

    /// Counts a call that is sent.
    pub fn on_sent(&mut self, now: Now) {
        self.next = self.next.max(now) + self.interval;
    }
}

impl Turns {
    pub(super) fn new(per_s: f64, nodes: usize, phase: f64) -> Self {
        let share = USABLE_SHARE / nodes.max(1) as f64;
        Self {
            interval: interval(per_s).div_f64(share),
            phase,
        }
    }

    /// Returns when a call may be sent: `now` within a turn that has not been used.
    pub(super) fn next(&self, last_sent: Option<Now>, now: Now) -> Now {
        let interval_s = self.interval.as_secs_f64();
        if interval_s <= 0.0 {
            return now;
        }
        let number = (now.as_secs_f64() / interval_s - self.phase).floor();
        let begin =
            |number: f64| Duration::from_secs_f64((number + self.phase).max(0.0) * interval_s);
        if number >= 0.0 {
            let current = begin(number);
            let is_used = last_sent.is_some_and(|at| at >= current);
            if !is_used && now < current + MAX_TURN.min(self.interval) {
                return now;
            }
        }
        begin(number + 1.0).max(now)
    }
}

fn interval(per_s: f64) -> Duration {
    Duration::from_secs_f64(1.0 / per_s.max(MIN_PER_S))
}
