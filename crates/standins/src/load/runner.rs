//! Sends the arrivals of an experiment at their intended times, independently
//! of the outcomes of earlier ones (open loop), and reports the figures.

use crate::load::experiment::{Experiment, NamesError};
use crate::load::floor::{Floor, FloorEviction, floor};
use crate::load::machine::{CpuSample, MachineReport};
use crate::load::probe::{Probe, Sample};
use crate::load::report::{Report, summarize, timeline};
use crate::load::response::RequestRecord;
use crate::load::sender::Sender;
use crate::load::workload::{Arrival, WorkloadError};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::task::{JoinError, JoinSet};
use tokio::time::Instant;

/// How long before the counted part of a run the counters are read. The first
/// arrivals are sent this long after [`run`] is called, so that there is time
/// for reading the counters without a warm-up too.
const PROBE_LEAD: Duration = Duration::from_millis(500);
/// Length of the windows of the timeline.
const WINDOW: Duration = Duration::from_secs(10);
const SEND_LAG_QUANTILE: f64 = 0.99;

/// Reason why a run has no report.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The workload can't be used.
    #[error(transparent)]
    Workload(#[from] WorkloadError),
    /// There are no usable adapter names.
    #[error(transparent)]
    Names(#[from] NamesError),
}

/// Runs an experiment against its entry instances.
///
/// # Errors
/// When the experiment can't be used. Instances that fail don't end the run.
///
/// # Panics
/// When a request's task panicked.
pub async fn run(experiment: &Experiment) -> Result<Report, RunError> {
    let arrivals = experiment.workload.arrivals(experiment.seed)?;
    let sender = Sender::new(experiment, &run_name(experiment.seed))?;
    let entries = experiment.entries.iter().map(|entry| entry.address);
    let probe = Probe::new(experiment.engines.clone(), entries.collect());
    let start = Instant::now() + PROBE_LEAD;
    let counted_from = start + experiment.workload.warmup();
    let records = send_all(Arc::new(sender), &arrivals, start);
    let before = sample_at(&probe, counted_from - PROBE_LEAD);
    let (records, before) = tokio::join!(records, before);
    let after = sample_at(&probe, Instant::now()).await;
    Ok(report(
        experiment, &arrivals, &records, &probe, &before, &after,
    ))
}

/// Returns the floor of an experiment, and the figures of the same model with
/// LRU eviction, which are for comparison and not a lower bound.
///
/// # Errors
/// When the workload can't be used.
pub fn floors(experiment: &Experiment) -> Result<(Floor, Floor), WorkloadError> {
    let arrivals = experiment.workload.arrivals(experiment.seed)?;
    Ok(floors_of(experiment, &arrivals))
}

fn floors_of(experiment: &Experiment, arrivals: &[Arrival]) -> (Floor, Floor) {
    let by = |eviction| floor(&experiment.workload, arrivals, experiment.limits, eviction);
    (by(FloorEviction::FurthestNextUse), by(FloorEviction::Lru))
}

struct SystemSample {
    counters: Sample,
    cpu: CpuSample,
}

async fn sample_at(probe: &Probe, at: Instant) -> SystemSample {
    tokio::time::sleep_until(at).await;
    SystemSample {
        cpu: CpuSample::now(),
        counters: probe.sample().await,
    }
}

async fn send_all(sender: Arc<Sender>, arrivals: &[Arrival], start: Instant) -> Vec<RequestRecord> {
    let mut tasks = JoinSet::new();
    let mut records = Vec::with_capacity(arrivals.len());
    for (seq, arrival) in arrivals.iter().copied().enumerate() {
        let intended = start + arrival.at;
        tokio::time::sleep_until(intended).await;
        let sender = Arc::clone(&sender);
        tasks.spawn(async move { sender.send(seq, arrival, intended).await });
        while let Some(record) = tasks.try_join_next() {
            records.push(joined(record));
        }
    }
    while let Some(record) = tasks.join_next().await {
        records.push(joined(record));
    }
    records.sort_by_key(|record| record.at);
    records
}

fn joined(record: Result<RequestRecord, JoinError>) -> RequestRecord {
    record.expect("requests' tasks neither panic nor are cancelled")
}

fn report(
    experiment: &Experiment,
    arrivals: &[Arrival],
    records: &[RequestRecord],
    probe: &Probe,
    before: &SystemSample,
    after: &SystemSample,
) -> Report {
    let (classes, total) = summarize(&experiment.workload, records);
    let (engines, entries) = probe.changes(&before.counters, &after.counters);
    let (floor, lru_floor) = floors_of(experiment, arrivals);
    Report {
        experiment: experiment.name.clone(),
        seed: experiment.seed,
        rate: experiment.workload.rate,
        counted_s: experiment.workload.counted().as_secs_f64(),
        warmup_s: experiment.workload.warmup_s,
        zipf_exponent: experiment.workload.zipf_exponent,
        classes,
        total,
        timeline: timeline(&experiment.workload, records, WINDOW),
        engines,
        entries,
        machine: machine(experiment, records, before, after),
        floor,
        lru_floor,
    }
}

fn machine(
    experiment: &Experiment,
    records: &[RequestRecord],
    before: &SystemSample,
    after: &SystemSample,
) -> MachineReport {
    let lag = send_lag_p99(records);
    before
        .cpu
        .usage_until(&after.cpu, lag, experiment.send_lag_limit())
}

fn send_lag_p99(records: &[RequestRecord]) -> Duration {
    let mut lags: Vec<_> = records.iter().map(|record| record.send_lag).collect();
    lags.sort_unstable();
    let rank = (lags.len() as f64 * SEND_LAG_QUANTILE) as usize;
    lags.get(rank).copied().unwrap_or(Duration::ZERO)
}

/// Returns a unique name: the entry instances may still store the idempotency
/// keys of an earlier run.
fn run_name(seed: u64) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let now = now.unwrap_or(Duration::ZERO);
    format!("load-{seed}-{}", now.as_micros())
}
