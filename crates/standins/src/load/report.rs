//! Figures of a run, in the form of the JSON report.

mod tally;
mod timeline;

pub use tally::summarize;
pub use timeline::{Window, timeline};

use crate::load::floor::Floor;
use crate::load::machine::MachineReport;
use crate::load::probe::{EngineReport, EntryReport};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

const MICROS_PER_MS: f64 = 1_000.0;
const HISTOGRAM_DIGITS: u8 = 3;

/// All figures of one run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// Name of the experiment.
    pub experiment: Box<str>,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Mean arrivals per second.
    pub rate: f64,
    /// Duration in seconds of the counted part of the run, after the warm-up.
    pub counted_s: f64,
    /// Duration of the warm-up in seconds.
    pub warmup_s: f64,
    /// Exponent of the popularity of adapters.
    pub zipf_exponent: f64,
    /// Figures of each class.
    pub classes: BTreeMap<Box<str>, ClassReport>,
    /// Figures of all classes together.
    pub total: ClassReport,
    /// Figures over time, warm-up included.
    pub timeline: Vec<Window>,
    /// Increases of the engines' counters, warm-up not included.
    pub engines: EngineReport,
    /// Increases of the entry instances' counters, warm-up not included.
    pub entries: EntryReport,
    /// Processor use, and whether the machine limited the run.
    pub machine: MachineReport,
    /// Floor of the same arrivals with eviction by furthest next use.
    pub floor: Floor,
    /// The model of the floor with LRU eviction, for comparison; not a lower
    /// bound.
    pub lru_floor: Floor,
}

/// Figures of one class of requests.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ClassReport {
    /// Requests sent.
    pub sent: u64,
    /// Complete responses.
    pub done: u64,
    /// Complete responses that ended after the deadline.
    pub done_late: u64,
    /// Refusals stating that the request did not run, by code.
    pub not_run: BTreeMap<Box<str>, u64>,
    /// Refusals stating that the request may have run, by code.
    pub unknown: BTreeMap<Box<str>, u64>,
    /// Refusals of requests as invalid, by code.
    pub bad_request: BTreeMap<Box<str>, u64>,
    /// Requests without a valid final response, by kind of failure.
    pub errors: BTreeMap<Box<str>, u64>,
    /// Violations found in responses, by kind; any violation is a defect of the
    /// system under test.
    pub violations: BTreeMap<Box<str>, u64>,
    /// Load stalls of the completed requests whose response carries the
    /// load-stall header.
    pub stall: StallSummary,
    /// Time from the intended arrival to the first token, of streamed
    /// responses only.
    pub first_token: Quantiles,
    /// Time from one token to the next.
    pub token_gap: Quantiles,
    /// Time from the intended arrival to the end of completed requests.
    pub latency: Quantiles,
    /// Time from the intended arrival to a refusal.
    pub refusal_after: Quantiles,
    /// Time left until the deadline at a refusal, 0 if the refusal came later;
    /// the maximum belongs to the refusal that came earliest before its
    /// deadline.
    pub refusal_left: Quantiles,
    /// Refused requests that were retried after the refusal's retry time.
    pub came_back: u64,
    /// Retries that were served.
    pub served_on_return: u64,
    /// Requests completed within their deadline, per second.
    pub goodput_per_s: f64,
}

/// Quantiles of a duration, in milliseconds; all 0 without values.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Quantiles {
    /// Number of values.
    pub count: u64,
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Largest value.
    pub max_ms: f64,
}

/// Load stalls of a set of requests; a stall of zero counts as not stalled.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StallSummary {
    /// Quantiles of the stall.
    pub time: Quantiles,
    /// Share of the requests that stalled, from 0 to 1.
    pub share_stalled: f64,
}

impl Quantiles {
    /// Returns the quantiles of `values`, to three significant digits.
    #[must_use]
    pub fn of(values: &[Duration]) -> Self {
        let mut histogram = empty_histogram();
        for value in values {
            let micros = u64::try_from(value.as_micros()).unwrap_or(u64::MAX);
            histogram
                .record(micros)
                .expect("the histogram grows by itself");
        }
        Self::of_histogram(&histogram)
    }

    fn of_histogram(histogram: &Histogram<u64>) -> Self {
        let ms = |quantile| histogram.value_at_quantile(quantile) as f64 / MICROS_PER_MS;
        Self {
            count: histogram.len(),
            p50_ms: ms(0.50),
            p95_ms: ms(0.95),
            p99_ms: ms(0.99),
            max_ms: histogram.max() as f64 / MICROS_PER_MS,
        }
    }
}

impl StallSummary {
    /// Summarizes the stalls of the given requests; a request that did not
    /// stall has a stall of zero.
    #[must_use]
    pub fn of(stalls: &[Duration]) -> Self {
        let stalled = stalls.iter().filter(|stall| !stall.is_zero()).count();
        Self {
            time: Quantiles::of(stalls),
            share_stalled: share(stalled as u64, stalls.len() as u64),
        }
    }
}

impl ClassReport {
    /// Returns the number of refusals of all codes stating that the request
    /// did not run.
    #[must_use]
    pub fn not_run_total(&self) -> u64 {
        self.not_run.values().sum()
    }
}

/// Returns `part` divided by `whole`, or 0 if `whole` is 0.
#[must_use]
pub fn share(part: u64, whole: u64) -> f64 {
    match whole {
        0 => 0.0,
        _ => part as f64 / whole as f64,
    }
}

fn empty_histogram() -> Histogram<u64> {
    Histogram::new(HISTOGRAM_DIGITS).expect("three digits are allowed")
}
