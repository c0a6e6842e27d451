//! The broker: decides which adapter load starts next.
//!
//! The weight store allows only a few loads per second for all zones together,
//! so a worker's owner requests a *load turn* from a broker and loads once the
//! broker grants it. One instance is the broker of all zones that it can
//! reach; zones that are cut off from it have their own broker. Each broker
//! starts loads at the share of the rate that belongs to the zones it reaches,
//! so that the shares of all brokers never exceed the whole rate.

use crate::ids::{AdapterVersion, Now, WorkerId};
use crate::limits::TokenBucket;
use crate::messages::{TurnRequest, TurnWaitEstimate};
use crate::scheduler::class_weight;
use reedford_rules::{Class, LoadsRule};
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after which a load whose end was not reported no longer counts as
/// running.
const RUNNING_LOAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Loads that may start without waiting after an idle period.
const BURST_LOADS: f64 = 1.0;
/// Additional bucket capacity while loads wait, as a fraction of a load. Without
/// it, the tokens gained between two calls of [`Broker::start_loads`] would
/// overflow and the broker would stay below its share.
const CARRY_OVER_LOADS: f64 = 0.25;

/// Identifies a load by its worker and adapter version.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct LoadKey {
    /// The worker.
    pub worker: WorkerId,
    /// The adapter version to load.
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

/// A load removed from the queue because its turn would come too late.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LateLoad {
    /// The load.
    pub key: LoadKey,
    /// Expected wait for the turn.
    pub turn_wait: Duration,
}

/// The queue of loads of all reachable zones.
#[derive(Clone, Debug)]
pub struct Broker {
    zones: usize,
    reachable_zones: usize,
    rule: LoadsRule,
    bucket: TokenBucket,
    queue: BTreeMap<LoadKey, QueuedLoad>,
    running: BTreeMap<LoadKey, Now>,
    last_serial: u64,
}

#[derive(Clone, Copy, Debug)]
struct QueuedLoad {
    value: f64,
    serial: u64,
    /// Time until which the load's turn is still useful to a waiting request.
    useful_until: Now,
}

impl QueuedLoad {
    /// Returns whether the load's group orders its loads first come, first
    /// served. All loads of such a group have value 0, so a later load of the
    /// group waits behind this one, whatever its class.
    /// [`Broker::turn_wait`] estimates by class only and counts this load as
    /// ahead for every class.
    fn is_fifo(&self) -> bool {
        self.value == 0.0
    }
}

impl Broker {
    /// Creates a broker in a region of `zones` zones that reaches only its own
    /// zone.
    ///
    /// # Panics
    /// Panics if `zones` is 0.
    #[must_use]
    pub fn new(zones: usize, rule: LoadsRule, now: Now) -> Self {
        assert!(zones > 0, "a region has at least one zone");
        Self {
            zones,
            reachable_zones: 1,
            rule,
            bucket: TokenBucket::new(0.0, now),
            queue: BTreeMap::new(),
            running: BTreeMap::new(),
            last_serial: 0,
        }
    }

    /// Replaces the rule.
    pub fn set_rule(&mut self, rule: LoadsRule) {
        self.rule = rule;
    }

    /// Sets the number of reachable zones, including the broker's own.
    pub fn set_reachable_zones(&mut self, zones: usize, now: Now) {
        self.bucket.refill(now, self.rate(), self.burst());
        self.reachable_zones = zones.clamp(1, self.zones);
    }

    /// Queues a load, or updates the value and patience of a queued one.
    pub fn enqueue(&mut self, req: &TurnRequest, now: Now) {
        self.last_serial += 1;
        let useful_until = now + req.patience;
        let new = QueuedLoad {
            value: req.value,
            serial: self.last_serial,
            useful_until,
        };
        let load = self.queue.entry(req.into()).or_insert(new);
        load.value = req.value;
        load.useful_until = useful_until;
    }

    /// Removes a load from the queue.
    pub fn withdraw(&mut self, key: &LoadKey) {
        self.queue.remove(key);
    }

    /// Records that a load has ended.
    pub fn on_load_ended(&mut self, key: &LoadKey) {
        self.running.remove(key);
    }

    /// Starts the queued loads that the rule allows now, and returns them.
    pub fn start_loads(&mut self, now: Now) -> Vec<LoadKey> {
        self.running
            .retain(|_, since| *since + RUNNING_LOAD_TIMEOUT > now);
        self.bucket.refill(now, self.rate(), self.burst());
        let mut started = Vec::new();
        while self.running.len() < self.max_in_flight() {
            let Some(key) = self.next_load() else {
                break;
            };
            if !self.bucket.try_take() {
                break;
            }
            self.queue.remove(&key);
            self.running.insert(key.clone(), now);
            started.push(key);
        }
        started
    }

    /// Removes and returns the loads whose turn, by their position in the queue,
    /// would come too late to be useful.
    pub fn remove_late_loads(&mut self, now: Now) -> Vec<LateLoad> {
        let mut queue: Vec<(&LoadKey, &QueuedLoad)> = self.queue.iter().collect();
        queue.sort_by(|a, b| cmp_priority(b.1, a.1));
        let mut late: Vec<LateLoad> = Vec::new();
        for (position, (key, load)) in queue.into_iter().enumerate() {
            let turn_wait = self.queue_wait(position - late.len(), now);
            if now + turn_wait > load.useful_until {
                late.push(LateLoad {
                    key: key.clone(),
                    turn_wait,
                });
            }
        }
        for LateLoad { key, .. } in &late {
            self.queue.remove(key);
        }
        late
    }

    /// Returns the number of queued loads.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns how long a load queued now is expected to wait, by class.
    #[must_use]
    pub fn turn_wait(&self, now: Now) -> TurnWaitEstimate {
        let wait = |class| {
            let ahead = self
                .queue
                .values()
                .filter(|load| load.value >= class_weight(class) || load.is_fifo())
                .count();
            self.queue_wait(ahead, now)
        };
        TurnWaitEstimate {
            lookup: wait(Class::Lookup),
            standard: wait(Class::Standard),
            writing: wait(Class::Writing),
        }
    }

    /// Returns the number of loads per second that this broker may start.
    #[must_use]
    pub fn rate(&self) -> f64 {
        let total = f64::from(self.rule.per_1000_s) / 1_000.0;
        total * self.reachable_zones as f64 / self.zones as f64
    }

    /// Returns the expected wait of a load with `ahead` loads before it.
    fn queue_wait(&self, ahead: usize, now: Now) -> Duration {
        let rate = self.rate();
        if rate <= 0.0 {
            return Duration::MAX;
        }
        let mut bucket = self.bucket;
        bucket.refill(now, rate, self.burst());
        bucket.time_to_token(rate) + Duration::from_secs_f64(ahead as f64 / rate)
    }

    fn burst(&self) -> f64 {
        if self.queue.is_empty() {
            BURST_LOADS
        } else {
            BURST_LOADS + CARRY_OVER_LOADS
        }
    }

    fn max_in_flight(&self) -> usize {
        (self.rule.in_flight as usize * self.reachable_zones / self.zones).max(1)
    }

    fn next_load(&self) -> Option<LoadKey> {
        let next = self.queue.iter().max_by(|a, b| cmp_priority(a.1, b.1));
        next.map(|(key, _)| key.clone())
    }
}

/// Orders by value; of equal values, the load queued first is greater.
fn cmp_priority(a: &QueuedLoad, b: &QueuedLoad) -> Ordering {
    a.value.total_cmp(&b.value).then(b.serial.cmp(&a.serial))
}
