//! Lower bound ("floor") of the load stalls that the limits on loads impose on
//! given arrivals.
//!
//! The model is a single cache with the slots of all workers. Loads start in
//! the order of the requests that need them, at the rate that the weight store
//! allows. All simplifications but the last two lower the floor:
//!
//! - A slot on any worker serves every request; workers and zones are ignored.
//! - Requests take no time to run, so no adapter is ever pinned, and batches
//!   are never full.
//! - No load fails.
//! - Loads happen on demand only. A system that prefetches the right adapter
//!   before its first request could be below the floor.
//! - Loads are first come, first served. A system that first loads the adapter
//!   with the most waiting requests could be below the floor.
//!
//! A request whose load would end after its deadline is refused and causes no
//! load. The floor is a reference for comparisons, not a simulation of a
//! deployment.

use crate::load::report::StallSummary;
use crate::load::workload::{AdapterIndex, Arrival, Workload};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Limits on loads.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoadLimits {
    /// Total number of adapter slots of all workers.
    pub slots: usize,
    /// Maximum rate at which loads start, per second.
    pub per_s: f64,
    /// Duration of a load in milliseconds.
    pub load_ms: u64,
    /// Maximum number of loads in flight.
    pub in_flight: usize,
}

/// How the cache chooses the adapter to evict.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FloorEviction {
    /// The adapter whose next request is furthest in the future.
    FurthestNextUse,
    /// The adapter whose last request is furthest in the past.
    Lru,
}

/// Figures of the lower bound.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Floor {
    /// Model requests that were served in time.
    pub served: u64,
    /// Model requests whose load would have ended too late.
    pub refused: u64,
    /// Loads.
    pub loads: u64,
    /// Evictions.
    pub evictions: u64,
    /// Load stalls of the requests served.
    pub stall: StallSummary,
}

/// Replays the model requests of `arrivals` against the limits. Arrivals
/// during the warm-up take part but are not counted.
///
/// # Panics
/// When a value of `limits.slots`, `limits.in_flight` or `limits.per_s` is not
/// above 0.
#[must_use]
pub fn floor(
    workload: &Workload,
    arrivals: &[Arrival],
    limits: LoadLimits,
    eviction: FloorEviction,
) -> Floor {
    let is_model = |arrival: &&Arrival| workload.classes[arrival.class].plain.is_none();
    let uses: Vec<_> = arrivals.iter().filter(is_model).copied().collect();
    let mut replay = Replay::new(&uses, limits, eviction, workload.warmup());
    let mut stalls = Vec::with_capacity(uses.len());
    for (position, arrival) in uses.iter().enumerate() {
        let deadline = workload.classes[arrival.class].deadline();
        let stall = replay.request(position, *arrival, deadline);
        if arrival.at >= workload.warmup() {
            stalls.push(stall);
        }
    }
    replay.start_loads(Duration::MAX);
    let counted = stalls.len() as u64;
    let stalls: Vec<_> = stalls.into_iter().flatten().collect();
    let served = stalls.len() as u64;
    Floor {
        served,
        refused: counted - served,
        loads: replay.loads,
        evictions: replay.evictions,
        stall: StallSummary::of(&stalls),
    }
}

/// Position in the list of model requests.
type Position = usize;

struct Replay {
    limits: LoadLimits,
    eviction: FloorEviction,
    /// Positions of the future requests of each adapter.
    future_uses: BTreeMap<AdapterIndex, VecDeque<Position>>,
    last_use: BTreeMap<AdapterIndex, Position>,
    /// Time at which the load of each adapter that holds a slot ends.
    ready: BTreeMap<AdapterIndex, Duration>,
    /// The adapters that hold a slot; the last one is evicted first.
    eviction_order: BTreeSet<(Position, AdapterIndex)>,
    /// Start time and adapter of the loads that have not started.
    queue: VecDeque<(Duration, AdapterIndex)>,
    /// Start times of the last loads, at most [`Replay::in_flight`] of them.
    starts: VecDeque<Duration>,
    /// Loads and evictions from this time on are counted.
    counted_from: Duration,
    loads: u64,
    evictions: u64,
}

impl Replay {
    fn new(
        uses: &[Arrival],
        limits: LoadLimits,
        eviction: FloorEviction,
        counted_from: Duration,
    ) -> Self {
        assert!(limits.slots > 0, "limits.slots must be above 0");
        assert!(limits.in_flight > 0, "limits.in_flight must be above 0");
        assert!(limits.per_s > 0.0, "limits.per_s must be above 0");
        let mut future_uses: BTreeMap<_, VecDeque<_>> = BTreeMap::new();
        for (position, arrival) in uses.iter().enumerate() {
            future_uses
                .entry(arrival.adapter)
                .or_default()
                .push_back(position);
        }
        Self {
            limits,
            eviction,
            future_uses,
            last_use: BTreeMap::new(),
            ready: BTreeMap::new(),
            eviction_order: BTreeSet::new(),
            queue: VecDeque::new(),
            starts: VecDeque::new(),
            counted_from,
            loads: 0,
            evictions: 0,
        }
    }

    /// Returns the load stall of a request, or `None` if it is refused.
    fn request(
        &mut self,
        position: Position,
        arrival: Arrival,
        deadline: Duration,
    ) -> Option<Duration> {
        self.start_loads(arrival.at);
        self.record_use(position, arrival.adapter);
        if let Some(ready) = self.ready.get(&arrival.adapter) {
            return Some(ready.saturating_sub(arrival.at));
        }
        let queued = self.queue.iter().find(|load| load.1 == arrival.adapter);
        let start = queued.map_or_else(|| self.next_start(arrival.at), |load| load.0);
        let stall = (start + self.load_time()).saturating_sub(arrival.at);
        if stall > deadline {
            return None;
        }
        if queued.is_none() {
            self.enqueue(start, arrival.adapter);
            self.start_loads(arrival.at);
        }
        Some(stall)
    }

    /// Records a use of an adapter and updates its rank in the eviction order.
    fn record_use(&mut self, position: Position, adapter: AdapterIndex) {
        let old_rank = self.rank(adapter);
        self.last_use.insert(adapter, position);
        if let Some(future_uses) = self.future_uses.get_mut(&adapter) {
            future_uses.pop_front();
        }
        if self.eviction_order.remove(&(old_rank, adapter)) {
            self.eviction_order.insert((self.rank(adapter), adapter));
        }
    }

    fn rank(&self, adapter: AdapterIndex) -> Position {
        match self.eviction {
            FloorEviction::FurthestNextUse => {
                let next = self.future_uses.get(&adapter).and_then(VecDeque::front);
                next.copied().unwrap_or(Position::MAX)
            }
            FloorEviction::Lru => {
                let last = self.last_use.get(&adapter).copied();
                Position::MAX - last.unwrap_or(0)
            }
        }
    }

    fn load_time(&self) -> Duration {
        Duration::from_millis(self.limits.load_ms)
    }

    /// Returns the maximum number of loads in flight. A load holds a slot from
    /// its start, so there can't be more loads in flight than slots.
    fn in_flight(&self) -> usize {
        self.limits.in_flight.min(self.limits.slots)
    }

    fn next_start(&self, now: Duration) -> Duration {
        let gap = Duration::from_secs_f64(1.0 / self.limits.per_s);
        let earliest_by_rate = self.starts.back().map_or(now, |last| *last + gap);
        let full = self.starts.len() == self.in_flight();
        let first = self.starts.front().filter(|_start| full);
        let earliest_by_count = first.map_or(now, |first| *first + self.load_time());
        now.max(earliest_by_rate).max(earliest_by_count)
    }

    fn enqueue(&mut self, start: Duration, adapter: AdapterIndex) {
        if self.starts.len() == self.in_flight() {
            self.starts.pop_front();
        }
        self.starts.push_back(start);
        self.queue.push_back((start, adapter));
    }

    fn start_loads(&mut self, now: Duration) {
        while let Some((start, adapter)) = self.queue.pop_front_if(|load| load.0 <= now) {
            self.evict_if_full(start);
            self.ready.insert(adapter, start + self.load_time());
            self.eviction_order.insert((self.rank(adapter), adapter));
            self.loads += u64::from(start >= self.counted_from);
        }
    }

    fn evict_if_full(&mut self, now: Duration) {
        if self.ready.len() < self.limits.slots {
            return;
        }
        let is_loaded = |entry: &&(Position, AdapterIndex)| self.ready[&entry.1] <= now;
        let victim = self.eviction_order.iter().rev().find(is_loaded).copied();
        let victim = victim.expect("fewer loads are in flight than there are slots");
        self.eviction_order.remove(&victim);
        self.ready.remove(&victim.1);
        self.evictions += u64::from(now >= self.counted_from);
    }
}
