//! Aggregates the request records of a run.

use super::{ClassReport, Quantiles, StallSummary};
use crate::load::response::{Outcome, Refusal, RefusalOutcome, RequestRecord};
use crate::load::workload::Workload;
use std::collections::BTreeMap;
use std::time::Duration;

/// Returns the figures of each class and of all classes together. Arrivals
/// during the warm-up are left out.
#[must_use]
pub fn summarize(
    workload: &Workload,
    records: &[RequestRecord],
) -> (BTreeMap<Box<str>, ClassReport>, ClassReport) {
    let counted: Vec<_> = records
        .iter()
        .filter(|record| record.at >= workload.warmup())
        .collect();
    let seconds = workload.counted().as_secs_f64();
    let total = report(workload, &counted, seconds);
    let by_class = workload.classes.iter().enumerate().map(|(class, mix)| {
        let of_class = counted.iter().filter(|record| record.class == class);
        let of_class: Vec<_> = of_class.copied().collect();
        (mix.name.clone(), report(workload, &of_class, seconds))
    });
    (by_class.collect(), total)
}

#[derive(Default)]
struct Times {
    stalls: Vec<Duration>,
    first_tokens: Vec<Duration>,
    token_gaps: Vec<Duration>,
    latencies: Vec<Duration>,
    refusals_after: Vec<Duration>,
    refusals_left: Vec<Duration>,
}

fn report(workload: &Workload, records: &[&RequestRecord], seconds: f64) -> ClassReport {
    let mut class = ClassReport::default();
    let mut times = Times::default();
    for record in records {
        let deadline = workload.classes[record.class].deadline();
        count(&mut class, &mut times, record, deadline);
    }
    class.stall = StallSummary::of(&times.stalls);
    class.first_token = Quantiles::of(&times.first_tokens);
    class.token_gap = Quantiles::of(&times.token_gaps);
    class.latency = Quantiles::of(&times.latencies);
    class.refusal_after = Quantiles::of(&times.refusals_after);
    class.refusal_left = Quantiles::of(&times.refusals_left);
    class.goodput_per_s = (class.done - class.done_late) as f64 / seconds;
    class
}

fn count(class: &mut ClassReport, times: &mut Times, record: &RequestRecord, deadline: Duration) {
    class.sent += 1;
    for violation in &record.violations {
        increment(&mut class.violations, violation.name());
    }
    times.first_tokens.extend(record.first_token);
    times.token_gaps.extend(&record.token_gaps);
    match &record.outcome {
        Outcome::Done => count_done(class, times, record, deadline),
        Outcome::Refused(refused) => count_refusal(class, times, record, refused, deadline),
        Outcome::Failed(failure) => increment(&mut class.errors, failure.name()),
    }
    if let Some(outcome) = &record.retry_outcome {
        class.came_back += 1;
        class.served_on_return += u64::from(*outcome == Outcome::Done);
    }
}

fn count_done(
    class: &mut ClassReport,
    times: &mut Times,
    record: &RequestRecord,
    deadline: Duration,
) {
    class.done += 1;
    class.done_late += u64::from(record.end > deadline);
    times.latencies.push(record.end);
    times.stalls.extend(record.stall);
}

fn count_refusal(
    class: &mut ClassReport,
    times: &mut Times,
    record: &RequestRecord,
    refused: &Refusal,
    deadline: Duration,
) {
    let codes = match refused.outcome {
        RefusalOutcome::NotRun => &mut class.not_run,
        RefusalOutcome::Unknown => &mut class.unknown,
        RefusalOutcome::BadRequest => &mut class.bad_request,
    };
    increment(codes, &refused.code);
    times.refusals_after.push(record.end);
    times
        .refusals_left
        .push(deadline.saturating_sub(record.end));
}

fn increment(counts: &mut BTreeMap<Box<str>, u64>, name: &str) {
    *counts.entry(name.into()).or_default() += 1;
}
