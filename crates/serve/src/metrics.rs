//! Metrics in the Prometheus text format.

use prometheus::{
    Encoder as _, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};
use reedford_core::messages::{PermitReason, WorkerSummary};
use reedford_core::scheduler::LoadError;
use reedford_rules::Class;
use std::time::Duration;

/// Upper bounds of the histogram buckets, in seconds.
const BUCKETS_SECONDS: [f64; 14] = [
    0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0, 32.0,
];

/// The metrics of an entry instance.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    load_stall: Histogram,
    permit_wait: Histogram,
    first_token: HistogramVec,
    outcomes: IntCounterVec,
    permits_refused: IntCounterVec,
    retries: IntCounterVec,
    loads: IntCounterVec,
    evictions: IntCounter,
    platform_calls: IntCounterVec,
    peer_calls: IntCounterVec,
    requests: IntGauge,
    workers: IntGauge,
    revision: IntGauge,
    batch_running: IntGaugeVec,
    batch_limit: IntGaugeVec,
    queue: IntGaugeVec,
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    /// If a metric can't be registered, which is a bug in this module.
    pub(crate) fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let metrics = Self {
            load_stall: histogram("reedford_load_stall_seconds", "Wait for an adapter load")?,
            permit_wait: histogram("reedford_permit_wait_seconds", "Wait for a permit")?,
            first_token: HistogramVec::new(
                HistogramOpts::new("reedford_first_token_seconds", "Time to the first token")
                    .buckets(BUCKETS_SECONDS.to_vec()),
                &["class"],
            )?,
            outcomes: counters(
                "reedford_requests_total",
                "Requests by end",
                &["class", "outcome"],
            )?,
            permits_refused: counters("reedford_permits_refused_total", "By reason", &["reason"])?,
            retries: counters(
                "reedford_retries_total",
                "Further attempts by cause",
                &["cause"],
            )?,
            loads: counters("reedford_loads_total", "Adapter loads by end", &["outcome"])?,
            evictions: IntCounter::new("reedford_evictions_total", "Adapters evicted")?,
            platform_calls: counters("reedford_platform_calls_total", "By call", &["call"])?,
            peer_calls: counters("reedford_peer_calls_total", "By call", &["call"])?,
            requests: IntGauge::new("reedford_requests_running", "Requests in this instance")?,
            workers: IntGauge::new("reedford_workers_known", "Workers that can be asked")?,
            revision: IntGauge::new("reedford_rules_revision", "Rules revision in force")?,
            batch_running: worker_gauges(
                "reedford_batch_running",
                "Permits out on an owned worker",
            )?,
            batch_limit: worker_gauges("reedford_batch_limit", "Most requests that run at once")?,
            queue: worker_gauges("reedford_queue", "Requests that wait for a permit")?,
            registry,
        };
        metrics.register()?;
        Ok(metrics)
    }

    fn register(&self) -> Result<(), prometheus::Error> {
        let registry = &self.registry;
        registry.register(Box::new(self.load_stall.clone()))?;
        registry.register(Box::new(self.permit_wait.clone()))?;
        registry.register(Box::new(self.first_token.clone()))?;
        registry.register(Box::new(self.outcomes.clone()))?;
        registry.register(Box::new(self.permits_refused.clone()))?;
        registry.register(Box::new(self.retries.clone()))?;
        registry.register(Box::new(self.loads.clone()))?;
        registry.register(Box::new(self.evictions.clone()))?;
        registry.register(Box::new(self.platform_calls.clone()))?;
        registry.register(Box::new(self.peer_calls.clone()))?;
        registry.register(Box::new(self.requests.clone()))?;
        registry.register(Box::new(self.workers.clone()))?;
        registry.register(Box::new(self.revision.clone()))?;
        registry.register(Box::new(self.batch_running.clone()))?;
        registry.register(Box::new(self.batch_limit.clone()))?;
        registry.register(Box::new(self.queue.clone()))
    }

    /// Returns all metrics in the text format.
    pub(crate) fn text(&self) -> String {
        let mut buf = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut buf) {
            tracing::error!(event = "metrics_unreadable", %error);
        }
        String::from_utf8_lossy(&buf).into_owned()
    }

    pub(crate) fn record_permit_granted(&self, waited: Duration, load_stall: Duration) {
        self.permit_wait.observe(waited.as_secs_f64());
        self.load_stall.observe(load_stall.as_secs_f64());
    }

    pub(crate) fn record_permit_refused(&self, reason: PermitReason) {
        self.permits_refused
            .with_label_values(&[reason.name()])
            .inc();
    }

    pub(crate) fn record_first_token(&self, class: Class, elapsed: Duration) {
        self.first_token
            .with_label_values(&[class_name(class)])
            .observe(elapsed.as_secs_f64());
    }

    pub(crate) fn record_outcome(&self, class: &str, outcome: &str) {
        self.outcomes.with_label_values(&[class, outcome]).inc();
    }

    pub(crate) fn record_retry(&self, cause: &str) {
        self.retries.with_label_values(&[cause]).inc();
    }

    pub(crate) fn record_load(&self, outcome: Result<(), LoadError>) {
        let name = match outcome {
            Ok(()) => "loaded",
            Err(LoadError::Failed) => "failed",
            Err(LoadError::NoSlot) => "no_slot",
            Err(LoadError::OldFence) => "old_fence",
        };
        self.loads.with_label_values(&[name]).inc();
    }

    pub(crate) fn record_eviction(&self) {
        self.evictions.inc();
    }

    pub(crate) fn record_platform_call(&self, call: &str) {
        self.platform_calls.with_label_values(&[call]).inc();
    }

    pub(crate) fn record_peer_call(&self, call: &str) {
        self.peer_calls.with_label_values(&[call]).inc();
    }

    pub(crate) fn set_requests(&self, running: usize) {
        self.requests.set(running as i64);
    }

    pub(crate) fn requests_running(&self) -> u64 {
        self.requests.get().unsigned_abs()
    }

    pub(crate) fn set_workers(&self, known: usize) {
        self.workers.set(known as i64);
    }

    /// Sets the gauges of an owned worker.
    pub(crate) fn set_worker(&self, summary: &WorkerSummary) {
        let labels = [&*summary.worker];
        let running = self.batch_running.with_label_values(&labels);
        running.set(summary.running.into());
        let limit = self.batch_limit.with_label_values(&labels);
        limit.set(summary.batch_limit.into());
        let queue = self.queue.with_label_values(&labels);
        queue.set(summary.waiting.into());
    }

    /// Removes the gauges of a worker that is no longer owned.
    pub(crate) fn remove_worker(&self, worker: &str) {
        for gauges in [&self.batch_running, &self.batch_limit, &self.queue] {
            // Fails if the gauges of the worker were never set.
            drop(gauges.remove_label_values(&[worker]));
        }
    }

    pub(crate) fn set_revision(&self, revision: u64) {
        self.revision.set(revision as i64);
    }
}

/// Returns the name of a class in metrics and spans.
pub(crate) const fn class_name(class: Class) -> &'static str {
    match class {
        Class::Lookup => "lookup",
        Class::Standard => "standard",
        Class::Writing => "writing",
    }
}

fn histogram(name: &str, help: &str) -> Result<Histogram, prometheus::Error> {
    Histogram::with_opts(HistogramOpts::new(name, help).buckets(BUCKETS_SECONDS.to_vec()))
}

fn counters(name: &str, help: &str, labels: &[&str]) -> Result<IntCounterVec, prometheus::Error> {
    IntCounterVec::new(Opts::new(name, help), labels)
}

fn worker_gauges(name: &str, help: &str) -> Result<IntGaugeVec, prometheus::Error> {
    IntGaugeVec::new(Opts::new(name, help), &["worker"])
}
