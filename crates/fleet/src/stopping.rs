//! Until when a node that stops sends calls to instances.
//!
//! A node that stops closes the connections of its callers at a fixed time. A call that
//! could not end by then is refused while it certainly has not run, so that its caller can
//! go to another node, instead of being cut.

use crate::Now;
use std::collections::BTreeMap;
use std::time::Duration;

/// Name of a route.
type RouteName = Box<str>;

/// Time in which a refusal reaches its caller.
const REFUSAL_TIME: Duration = Duration::from_millis(200);
/// Weights of the newest run in the mean and in the deviation of a route's runs, and the
/// deviations above the mean that are allowed for, as in the estimator of TCP's
/// retransmission timeout (V. Jacobson, "Congestion avoidance and control", 1988).
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
const DEVIATIONS: f64 = 4.0;
/// Limit on the routes whose runs are recorded; all are dropped beyond it.
const MAX_ROUTES: usize = 4_096;

/// When a node that stops handles calls for the last time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopTimes {
    /// When the last request may have been received to its end.
    pub last_request_at: Now,
    /// When the connections of callers are closed.
    pub closed_at: Now,
}

impl StopTimes {
    /// Whether a call is served whose request has been received to its end at `now`.
    #[must_use]
    pub fn accepts(&self, now: Now) -> bool {
        now <= self.last_request_at
    }

    /// Returns until when a call that waits for an instance may be sent to one, if it
    /// probably runs for `run_time`. No call is refused while the node accepts others.
    #[must_use]
    pub fn last_sending_at(&self, run_time: Duration) -> Now {
        let refused_at = self.refused_at();
        let last = self.closed_at.saturating_sub(run_time);
        last.max(self.last_request_at).min(refused_at)
    }

    /// Returns when the last refusals are sent.
    #[must_use]
    pub fn refused_at(&self) -> Now {
        self.closed_at.saturating_sub(REFUSAL_TIME)
    }
}

/// How long the calls of each route run.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    routes: BTreeMap<RouteName, RunTime>,
}

/// Mean and mean deviation, in seconds.
#[derive(Clone, Copy, Debug)]
struct RunTime {
    mean: f64,
    deviation: f64,
}

impl RunTimes {
    /// Records that a call ran for `took`, from its sending to the end of its response.
    pub fn record(&mut self, route: &str, took: Duration) {
        let took = took.as_secs_f64();
        let Some(run_time) = self.routes.get_mut(route) else {
            if self.routes.len() >= MAX_ROUTES {
                self.routes.clear();
            }
            let first = RunTime {
                mean: took,
                deviation: took / 2.0,
            };
            self.routes.insert(route.into(), first);
            return;
        };
        let error = took - run_time.mean;
        run_time.mean += MEAN_WEIGHT * error;
        run_time.deviation += DEVIATION_WEIGHT * (error.abs() - run_time.deviation);
    }

    /// Returns a time in which nearly all calls of a route end; `None` if none has ended.
    #[must_use]
    pub fn expected(&self, route: &str) -> Option<Duration> {
        let run_time = self.routes.get(route)?;
        let seconds = run_time.mean + DEVIATIONS * run_time.deviation;
        Duration::try_from_secs_f64(seconds).ok()
    }
}
