//! Continuous batching: running, waiting and recently ended requests.

use super::accepted_request::{AcceptedRequest, Phase};
use super::config::EngineConfig;
use super::slots::SlotKey;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

/// Time for which the stream of an ended request can be resumed.
const ENDED_RETENTION: Duration = Duration::from_secs(30);

/// Result of one step.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Generated {
    /// Indices in [`EngineRecord::runs`] of the requests that finished.
    ///
    /// [`EngineRecord::runs`]: super::record::EngineRecord::runs
    pub(crate) finished: Vec<usize>,
    /// Number of tokens generated.
    pub(crate) tokens: u64,
}

/// Order in which waiting requests start: highest priority first, then by
/// acceptance.
type QueueKey = (Reverse<i32>, u64);

/// Running, waiting and recently ended requests of an engine.
#[derive(Debug)]
pub(crate) struct Batch {
    batch_limit: u32,
    ended: VecDeque<(Instant, Box<str>)>,
    prefill: Duration,
    queue: BTreeMap<QueueKey, Box<str>>,
    queue_limit: u32,
    running: BTreeSet<Box<str>>,
    requests: BTreeMap<Box<str>, AcceptedRequest>,
}

impl Batch {
    /// Returns a batch without requests.
    pub(crate) fn new(cfg: &EngineConfig) -> Self {
        Self {
            batch_limit: cfg.batch_limit,
            ended: VecDeque::new(),
            prefill: Duration::from_millis(cfg.prefill_ms),
            queue: BTreeMap::new(),
            queue_limit: cfg.queue_limit,
            running: BTreeSet::new(),
            requests: BTreeMap::new(),
        }
    }

    /// Removes all requests.
    pub(crate) fn clear(&mut self) {
        self.ended.clear();
        self.queue.clear();
        self.running.clear();
        self.requests.clear();
    }

    /// Adds a waiting request.
    pub(crate) fn push(&mut self, request: AcceptedRequest) {
        let attempt = request.attempt.clone();
        self.queue.insert(queue_key(&request), attempt.clone());
        self.requests.insert(attempt, request);
    }

    /// Starts waiting requests up to the batch limit and returns those started.
    pub(crate) fn start_waiting(&mut self, now: Instant) -> Vec<AcceptedRequest> {
        let mut started = Vec::new();
        while self.running() < self.batch_limit {
            let Some((_, attempt)) = self.queue.pop_first() else {
                break;
            };
            if let Some(request) = self.requests.get_mut(&attempt) {
                request.phase = Phase::Running(now + self.prefill);
                started.push(request.clone());
            }
            self.running.insert(attempt);
        }
        started
    }

    /// Sets the index of a started request in the engine's record.
    pub(crate) fn set_record_index(&mut self, attempt: &str, record_index: usize) {
        if let Some(request) = self.requests.get_mut(attempt) {
            request.record_index = Some(record_index);
        }
    }

    /// Generates one token for each running request whose prefill is over.
    pub(crate) fn generate(&mut self, now: Instant) -> Generated {
        let mut generated = Generated::default();
        let mut ended = Vec::new();
        for attempt in &self.running {
            let Some(request) = self.requests.get_mut(attempt) else {
                continue;
            };
            generated.tokens += u64::from(request.generate(now));
            if request.phase == Phase::Finished {
                generated.finished.extend(request.record_index);
                ended.push(attempt.clone());
            }
        }
        for attempt in ended {
            self.running.remove(&attempt);
            self.ended.push_back((now, attempt));
        }
        generated
    }

    /// Stops a running or waiting request before all its tokens are generated.
    pub(crate) fn stop(&mut self, attempt: &str, now: Instant) {
        let Some(request) = self.requests.get_mut(attempt).filter(|r| r.is_active()) else {
            return;
        };
        request.phase = Phase::Stopped;
        self.queue.remove(&queue_key(request));
        self.running.remove(attempt);
        self.ended.push_back((now, attempt.into()));
    }

    /// Removes ended requests that can no longer be resumed.
    pub(crate) fn remove_expired(&mut self, now: Instant) {
        while let Some((at, _)) = self.ended.front() {
            if now.duration_since(*at) < ENDED_RETENTION {
                return;
            }
            if let Some((_, attempt)) = self.ended.pop_front() {
                self.requests.remove(&attempt);
            }
        }
    }

    /// Returns the request with the given attempt id.
    pub(crate) fn get(&self, attempt: &str) -> Option<&AcceptedRequest> {
        self.requests.get(attempt)
    }

    /// Returns the request accepted just before or after another one; each of
    /// the two is the neighbour of the other.
    pub(crate) fn neighbour(&self, request: &AcceptedRequest) -> Option<&AcceptedRequest> {
        let mut numbers: Vec<u64> = self.requests.values().map(|r| r.number).collect();
        numbers.sort_unstable();
        let position = numbers.iter().position(|n| *n == request.number)?;
        let neighbour = *numbers.get(position ^ 1)?;
        self.requests.values().find(|r| r.number == neighbour)
    }

    /// Returns the attempt ids of the running and waiting requests that use an
    /// adapter version.
    pub(crate) fn active_of(&self, key: &SlotKey) -> Vec<Box<str>> {
        let active = self.running.iter().chain(self.queue.values());
        active
            .filter(|attempt| self.requests.get(*attempt).is_some_and(|r| r.key == *key))
            .cloned()
            .collect()
    }

    /// Returns whether the batch and its queue are full.
    pub(crate) fn is_full(&self) -> bool {
        self.running() + self.waiting() >= self.batch_limit + self.queue_limit
    }

    /// Returns the number of running requests.
    pub(crate) fn running(&self) -> u32 {
        count(self.running.len())
    }

    /// Returns the number of waiting requests.
    pub(crate) fn waiting(&self) -> u32 {
        count(self.queue.len())
    }
}

fn queue_key(request: &AcceptedRequest) -> QueueKey {
    (Reverse(request.priority), request.number)
}

fn count(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}
