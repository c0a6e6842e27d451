//! Which load of the zone goes next.
//!
//! The weight store allows few loads a second for all zones together. Each
//! zone has a share that adds up to no more than the whole, so that zones
//! that can't talk don't overload the store. A zone takes over the shares of
//! zones that said lately that nothing waits there; what was said is believed
//! for [`BELIEVED`] only.

use crate::ids::{AdapterVersion, Now, WorkerId, ZoneId};
use crate::limits::Bucket;
use crate::messages::TurnRequest;
use reedford_rules::LoadsRule;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long another zone's word on its waiting loads is believed.
const BELIEVED: Duration = Duration::from_secs(2);
/// A load that has not reported its end by then no longer counts as under way.
const LOAD_FORGOTTEN: Duration = Duration::from_secs(10);
/// Loads that may start at once after a quiet time.
const BURST_LOADS: f64 = 1.0;
/// Part of a load's time that is kept while loads wait: what has passed of it
/// between two calls of [`Broker::start`] would be lost to the share otherwise.
const CARRIED_LOADS: f64 = 0.25;

/// A load: the worker and what it loads.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct LoadKey {
    /// The worker.
    pub worker: WorkerId,
    /// What it loads.
    pub target: AdapterVersion,
}

impl From<&TurnRequest> for LoadKey {
    fn from(req: &TurnRequest) -> Self {
        Self {
            worker: req.worker.clone(),
            target: req.target.clone(),
        }
    }
}

/// Orders the loads of one zone.
#[derive(Clone, Debug)]
pub struct Broker {
    zones: usize,
    rule: LoadsRule,
    bucket: Bucket,
    waiting: BTreeMap<LoadKey, Ask>,
    running: BTreeMap<LoadKey, Now>,
    quiet: BTreeMap<ZoneId, Now>,
    asks: u64,
}

#[derive(Clone, Copy, Debug)]
struct Ask {
    value: f64,
    serial: u64,
}

impl Broker {
    /// A broker of one of `zones` zones.
    ///
    /// # Panics
    /// When `zones` is 0.
    #[must_use]
    pub fn new(zones: usize, rule: LoadsRule, now: Now) -> Self {
        assert!(zones > 0, "a region has at least one zone");
        Self {
            zones,
            rule,
            bucket: Bucket::new(0.0, now),
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            quiet: BTreeMap::new(),
            asks: 0,
        }
    }

    /// Puts a new rule in force.
    pub fn set_rule(&mut self, rule: LoadsRule) {
        self.rule = rule;
    }

    /// Queues a load, or changes the value of one that waits.
    pub fn ask(&mut self, req: &TurnRequest) {
        self.asks += 1;
        let serial = self.asks;
        let ask = self.waiting.entry(req.into()).or_insert(Ask {
            value: req.value,
            serial,
        });
        ask.value = req.value;
    }

    /// Takes a load out of the queue.
    pub fn withdraw(&mut self, key: &LoadKey) {
        self.waiting.remove(key);
    }

    /// Notes that a load has ended.
    pub fn ended(&mut self, key: &LoadKey) {
        self.running.remove(key);
    }

    /// Notes what another zone said about its waiting loads.
    pub fn heard(&mut self, zone: &ZoneId, waiting: u32, now: Now) {
        if waiting == 0 {
            self.quiet.insert(zone.clone(), now);
        } else {
            self.quiet.remove(zone);
        }
    }

    /// Starts the loads whose turn it is.
    pub fn start(&mut self, now: Now) -> Vec<LoadKey> {
        self.running
            .retain(|_, since| *since + LOAD_FORGOTTEN > now);
        let rate = self.rate(now);
        self.bucket.refill(now, rate, self.burst());
        let mut started = Vec::new();
        while self.running.len() < self.in_flight() {
            let Some(key) = self.best() else {
                break;
            };
            if !self.bucket.take() {
                break;
            }
            self.waiting.remove(&key);
            self.running.insert(key.clone(), now);
            started.push(key);
        }
        started
    }

    /// Number of loads that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Time that a load asked for now would wait behind those that wait.
    #[must_use]
    pub fn outlook(&self, now: Now) -> Duration {
        let mut bucket = self.bucket;
        let rate = self.rate(now);
        bucket.refill(now, rate, BURST_LOADS);
        let ahead = self.waiting.len() as f64;
        bucket.wait(rate) + Duration::from_secs_f64(ahead / rate.max(f64::MIN_POSITIVE))
    }

    /// Loads a second that this zone may start.
    #[must_use]
    pub fn rate(&self, now: Now) -> f64 {
        let whole = f64::from(self.rule.per_1000_s) / 1_000.0;
        let quiet = self
            .quiet
            .values()
            .filter(|at| **at + BELIEVED > now)
            .count();
        let busy = self.zones.saturating_sub(quiet).max(1);
        whole / busy as f64
    }

    fn burst(&self) -> f64 {
        if self.waiting.is_empty() {
            BURST_LOADS
        } else {
            BURST_LOADS + CARRIED_LOADS
        }
    }

    fn in_flight(&self) -> usize {
        (self.rule.in_flight as usize / self.zones).max(1)
    }

    fn best(&self) -> Option<LoadKey> {
        let by_value = |a: &Ask, b: &Ask| {
            let value = a.value.total_cmp(&b.value);
            value.then(b.serial.cmp(&a.serial))
        };
        let best = self.waiting.iter().max_by(|a, b| by_value(a.1, b.1));
        best.map(|(key, _)| key.clone())
    }
}
