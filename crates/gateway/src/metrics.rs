//! Metrics of a node in Prometheus' text format.

use prometheus::{
    Encoder as _, Gauge, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};
use reedford_fleet::recent_calls::Progress;
use reedford_fleet::scheduler::OrderOutcome;
use reedford_fleet::workspaces::WorkspaceName;
use std::collections::BTreeSet;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Bucket bounds of the histograms, in seconds.
const BUCKET_BOUNDS_S: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0,
];

/// Workspaces that are counted by name.
const MAX_WORKSPACE_LABELS: usize = 64;
/// Label of all other workspaces.
const OTHER_WORKSPACES: &str = "other";

#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    calls: IntCounterVec,
    statuses: IntCounterVec,
    duration: HistogramVec,
    first_event: HistogramVec,
    longest_gap: HistogramVec,
    placement_wait: HistogramVec,
    placements_refused: IntCounterVec,
    retries: IntCounterVec,
    repeated: IntCounterVec,
    orders: IntCounterVec,
    store_failures: IntCounterVec,
    denied: IntCounterVec,
    limits_reached: IntCounterVec,
    limited_workspaces: Mutex<BTreeSet<WorkspaceName>>,
    feed_bytes: IntCounterVec,
    feed_failures: IntCounterVec,
    feed_read: HistogramVec,
    configuration_version: IntGauge,
    configuration_behind: Gauge,
    log_lines_dropped: IntGauge,
    placements_waiting: IntGauge,
    bodies_held: IntGauge,
}

impl Metrics {
    /// Creates all metrics with the value zero.
    ///
    /// # Errors
    /// When a metric can't be registered, which is a bug in this module.
    pub(crate) fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let metrics = Self {
            calls: counters(
                "reedford_calls_total",
                "Calls by end",
                &["route", "outcome"],
            )?,
            statuses: counters(
                "reedford_call_statuses_total",
                "Calls by status, and whether an instance may have run them",
                &["status", "may_have_run"],
            )?,
            duration: histogram("reedford_call_seconds", "Time of whole calls", "route")?,
            first_event: histogram(
                "reedford_first_event_seconds",
                "Time to the first event",
                "route",
            )?,
            longest_gap: histogram(
                "reedford_longest_gap_seconds",
                "Longest time between two events of a stream",
                "route",
            )?,
            placement_wait: histogram("reedford_place_wait_seconds", "Wait for a place", "route")?,
            placements_refused: counters(
                "reedford_places_refused_total",
                "By reason",
                &["reason"],
            )?,
            retries: counters(
                "reedford_repeats_total",
                "Further sendings by cause",
                &["cause"],
            )?,
            repeated: counters(
                "reedford_calls_repeated_total",
                "Calls that may run once and came before, by how far they came then",
                &["progress"],
            )?,
            orders: counters(
                "reedford_orders_total",
                "Orders to engines by answer",
                &["answer"],
            )?,
            store_failures: counters(
                "reedford_store_failures_total",
                "Failed store calls",
                &["call"],
            )?,
            denied: counters(
                "reedford_denied_total",
                "Calls refused for their key by reason",
                &["reason"],
            )?,
            limits_reached: counters(
                "reedford_limits_reached_total",
                "Calls refused for the limit of their workspace",
                &["workspace"],
            )?,
            limited_workspaces: Mutex::default(),
            feed_bytes: counters(
                "reedford_feed_bytes_total",
                "Size of the values read from coordinators",
                &["feed"],
            )?,
            feed_failures: counters(
                "reedford_feed_failures_total",
                "Polls of coordinators without a response",
                &["feed"],
            )?,
            feed_read: histogram(
                "reedford_feed_read_seconds",
                "Time of polls of coordinators that brought changes",
                "feed",
            )?,
            configuration_version: IntGauge::new(
                "reedford_configuration_version",
                "Version of the configuration in force at this node, 0 if none",
            )?,
            configuration_behind: Gauge::new(
                "reedford_configuration_behind_seconds",
                "Time for which a newer configuration or adapter version is known, but not read",
            )?,
            log_lines_dropped: IntGauge::new(
                "reedford_log_lines_dropped",
                "Log lines dropped because the output was too slow",
            )?,
            placements_waiting: IntGauge::new(
                "reedford_places_waiting",
                "Calls that wait for a place",
            )?,
            bodies_held: IntGauge::new(
                "reedford_bodies_held_bytes",
                "Memory that the bodies of requests and responses hold",
            )?,
            registry,
        };
        metrics.register()?;
        Ok(metrics)
    }

    fn register(&self) -> Result<(), prometheus::Error> {
        let registry = &self.registry;
        for counters in [
            &self.calls,
            &self.statuses,
            &self.placements_refused,
            &self.retries,
            &self.repeated,
            &self.orders,
            &self.store_failures,
            &self.denied,
            &self.limits_reached,
            &self.feed_bytes,
            &self.feed_failures,
        ] {
            registry.register(Box::new(counters.clone()))?;
        }
        for histogram in [
            &self.duration,
            &self.first_event,
            &self.longest_gap,
            &self.placement_wait,
            &self.feed_read,
        ] {
            registry.register(Box::new(histogram.clone()))?;
        }
        registry.register(Box::new(self.log_lines_dropped.clone()))?;
        registry.register(Box::new(self.configuration_version.clone()))?;
        registry.register(Box::new(self.configuration_behind.clone()))?;
        registry.register(Box::new(self.bodies_held.clone()))?;
        registry.register(Box::new(self.placements_waiting.clone()))
    }

    /// Encodes all metrics as text.
    pub(crate) fn text(&self, dropped: u64) -> String {
        self.log_lines_dropped
            .set(i64::try_from(dropped).unwrap_or(i64::MAX));
        let mut buf = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut buf) {
            tracing::warn!(event = "metrics_unreadable", %error);
        }
        String::from_utf8_lossy(&buf).into_owned()
    }

    pub(crate) fn call(&self, route: &str, outcome: &str, took: Duration) {
        self.calls.with_label_values(&[route, outcome]).inc();
        let seconds = took.as_secs_f64();
        self.duration.with_label_values(&[route]).observe(seconds);
    }

    pub(crate) fn call_status(&self, status: u16, may_have_run: bool) {
        let may_have_run = if may_have_run { "yes" } else { "no" };
        self.statuses
            .with_label_values(&[&*status.to_string(), may_have_run])
            .inc();
    }

    pub(crate) fn first_event(&self, route: &str, took: Duration) {
        let seconds = took.as_secs_f64();
        self.first_event
            .with_label_values(&[route])
            .observe(seconds);
    }

    pub(crate) fn longest_gap(&self, route: &str, gap: Duration) {
        let seconds = gap.as_secs_f64();
        self.longest_gap
            .with_label_values(&[route])
            .observe(seconds);
    }

    pub(crate) fn placement_wait(&self, route: &str, took: Duration) {
        let seconds = took.as_secs_f64();
        self.placement_wait
            .with_label_values(&[route])
            .observe(seconds);
    }

    pub(crate) fn placement_refused(&self, reason: &str) {
        self.placements_refused.with_label_values(&[reason]).inc();
    }

    pub(crate) fn retry(&self, cause: &str) {
        self.retries.with_label_values(&[cause]).inc();
    }

    /// Counts a call that came to this node before.
    pub(crate) fn call_repeated(&self, progress: Progress) {
        let progress = match progress {
            Progress::UnderWay => "under_way",
            Progress::MayHaveRun => "may_have_run",
            Progress::NeverRan => "never_ran",
        };
        self.repeated.with_label_values(&[progress]).inc();
    }

    pub(crate) fn order(&self, outcome: OrderOutcome) {
        let name = match outcome {
            OrderOutcome::Accepted | OrderOutcome::Done => "accepted",
            OrderOutcome::Conflict => "conflict",
            OrderOutcome::Fenced => "fenced",
            OrderOutcome::Refused => "refused",
            OrderOutcome::Unknown => "unknown",
            OrderOutcome::NotSent => "not_sent",
        };
        self.orders.with_label_values(&[name]).inc();
    }

    pub(crate) fn store_failure(&self, call: &str) {
        self.store_failures.with_label_values(&[call]).inc();
    }

    pub(crate) fn denied(&self, reason: &str) {
        self.denied.with_label_values(&[reason]).inc();
    }

    /// Counts a call that was refused for the limit of its workspace. Workspaces beyond
    /// the first [`MAX_WORKSPACE_LABELS`] are counted together.
    pub(crate) fn limit_reached(&self, workspace: &WorkspaceName) {
        let mut labelled = self
            .limited_workspaces
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if labelled.len() < MAX_WORKSPACE_LABELS {
            labelled.insert(workspace.clone());
        }
        let label = if labelled.contains(workspace) {
            workspace
        } else {
            OTHER_WORKSPACES
        };
        self.limits_reached.with_label_values(&[label]).inc();
    }

    /// Counts a poll of a coordinator that brought values.
    pub(crate) fn feed_read(&self, feed: &str, bytes: usize, took: Duration) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.feed_bytes.with_label_values(&[feed]).inc_by(bytes);
        let seconds = took.as_secs_f64();
        self.feed_read.with_label_values(&[feed]).observe(seconds);
    }

    pub(crate) fn feed_failure(&self, feed: &str) {
        self.feed_failures.with_label_values(&[feed]).inc();
    }

    /// Sets the version of the configuration in force, and for how long a newer one has
    /// been known.
    pub(crate) fn set_configuration(&self, version: u64, behind: Duration) {
        self.configuration_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
        self.configuration_behind.set(behind.as_secs_f64());
    }

    /// Sets the bytes that the bodies of requests and responses hold.
    pub(crate) fn set_bodies_held(&self, bytes: usize) {
        self.bodies_held
            .set(i64::try_from(bytes).unwrap_or(i64::MAX));
    }

    pub(crate) fn set_placements_waiting(&self, calls: usize) {
        self.placements_waiting
            .set(i64::try_from(calls).unwrap_or(i64::MAX));
    }
}

fn counters(name: &str, help: &str, labels: &[&str]) -> Result<IntCounterVec, prometheus::Error> {
    IntCounterVec::new(Opts::new(name, help), labels)
}

fn histogram(name: &str, help: &str, label: &str) -> Result<HistogramVec, prometheus::Error> {
    let options = HistogramOpts::new(name, help).buckets(BUCKET_BOUNDS_S.to_vec());
    HistogramVec::new(options, &[label])
}
