//! Which load goes next.
//!
//! The weight store allows few loads a second for all zones together. One
//! instance orders the loads of all zones that it can reach; zones that are
//! cut off from it have a broker of their own. Each broker starts loads at the
//! share of the rate that belongs to the zones it reaches, so that all shares
//! together are no more than the whole.

use crate::ids::{AdapterVersion, Now, WorkerId};
use crate::limits::Bucket;
use crate::messages::{LoadOutlook, TurnRequest};
use crate::scheduler::class_weight;
use reedford_rules::{Class, LoadsRule};
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Duration;

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

/// A load whose turn would come too late.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TooLate {
    /// The load.
    pub key: LoadKey,
    /// Expected wait.
    pub outlook: Duration,
}

/// Orders the loads of the zones in reach.
#[derive(Clone, Debug)]
pub struct Broker {
    zones: usize,
    reached: usize,
    rule: LoadsRule,
    bucket: Bucket,
    waiting: BTreeMap<LoadKey, Ask>,
    running: BTreeMap<LoadKey, Now>,
    asks: u64,
}

#[derive(Clone, Copy, Debug)]
struct Ask {
    value: f64,
    serial: u64,
    until: Now,
}

impl Ask {
    /// Whether its group orders loads as they come. A load asked for now is
    /// then behind it, whatever its class.
    fn is_first_come(&self) -> bool {
        self.value == 0.0
    }
}

impl Broker {
    /// A broker in a region of `zones` zones that reaches only its own yet.
    ///
    /// # Panics
    /// When `zones` is 0.
    #[must_use]
    pub fn new(zones: usize, rule: LoadsRule, now: Now) -> Self {
        assert!(zones > 0, "a region has at least one zone");
        Self {
            zones,
            reached: 1,
            rule,
            bucket: Bucket::new(0.0, now),
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            asks: 0,
        }
    }

    /// Puts a new rule in force.
    pub fn set_rule(&mut self, rule: LoadsRule) {
        self.rule = rule;
    }

    /// Notes how many zones are in reach, the own one included.
    pub fn set_reached(&mut self, zones: usize, now: Now) {
        self.bucket.refill(now, self.rate(), self.burst());
        self.reached = zones.clamp(1, self.zones);
    }

    /// Queues a load, or changes the value of one that waits.
    pub fn ask(&mut self, req: &TurnRequest, now: Now) {
        self.asks += 1;
        let until = now + req.patience;
        let new = Ask {
            value: req.value,
            serial: self.asks,
            until,
        };
        let ask = self.waiting.entry(req.into()).or_insert(new);
        ask.value = req.value;
        ask.until = until;
    }

    /// Takes a load out of the queue.
    pub fn withdraw(&mut self, key: &LoadKey) {
        self.waiting.remove(key);
    }

    /// Notes that a load has ended.
    pub fn ended(&mut self, key: &LoadKey) {
        self.running.remove(key);
    }

    /// Starts the loads whose turn it is.
    pub fn start(&mut self, now: Now) -> Vec<LoadKey> {
        self.running
            .retain(|_, since| *since + LOAD_FORGOTTEN > now);
        self.bucket.refill(now, self.rate(), self.burst());
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

    /// Takes out the loads whose turn, by their place in the queue, would come
    /// too late to be of use.
    pub fn take_too_late(&mut self, now: Now) -> Vec<TooLate> {
        let mut queue: Vec<(&LoadKey, &Ask)> = self.waiting.iter().collect();
        queue.sort_by(|a, b| by_value(b.1, a.1));
        let mut late: Vec<TooLate> = Vec::new();
        for (place, (key, ask)) in queue.into_iter().enumerate() {
            let outlook = self.wait_behind(place - late.len(), now);
            if now + outlook > ask.until {
                late.push(TooLate {
                    key: key.clone(),
                    outlook,
                });
            }
        }
        for TooLate { key, .. } in &late {
            self.waiting.remove(key);
        }
        late
    }

    /// Number of loads that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Time that a load asked for now would wait.
    #[must_use]
    pub fn outlook(&self, now: Now) -> LoadOutlook {
        let wait = |class| {
            let ahead = self
                .waiting
                .values()
                .filter(|a| a.value >= class_weight(class) || a.is_first_come())
                .count();
            self.wait_behind(ahead, now)
        };
        LoadOutlook {
            lookup: wait(Class::Lookup),
            standard: wait(Class::Standard),
            writing: wait(Class::Writing),
        }
    }

    /// Loads a second that this broker may start.
    #[must_use]
    pub fn rate(&self) -> f64 {
        let whole = f64::from(self.rule.per_1000_s) / 1_000.0;
        whole * self.reached as f64 / self.zones as f64
    }

    fn wait_behind(&self, ahead: usize, now: Now) -> Duration {
        let rate = self.rate();
        if rate <= 0.0 {
            return Duration::MAX;
        }
        let mut bucket = self.bucket;
        bucket.refill(now, rate, self.burst());
        bucket.wait(rate) + Duration::from_secs_f64(ahead as f64 / rate)
    }

    fn burst(&self) -> f64 {
        if self.waiting.is_empty() {
            BURST_LOADS
        } else {
            BURST_LOADS + CARRIED_LOADS
        }
    }

    fn in_flight(&self) -> usize {
        (self.rule.in_flight as usize * self.reached / self.zones).max(1)
    }

    fn best(&self) -> Option<LoadKey> {
        let best = self.waiting.iter().max_by(|a, b| by_value(a.1, b.1));
        best.map(|(key, _)| key.clone())
    }
}

/// The more valuable is greater; of equals, the one asked for first.
fn by_value(a: &Ask, b: &Ask) -> Ordering {
    a.value.total_cmp(&b.value).then(b.serial.cmp(&a.serial))
}
