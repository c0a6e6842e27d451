//! Figures over time, which show how long the effect of a change or failure
//! lasts.

use super::StallSummary;
use crate::load::response::{Outcome, RefusalOutcome, RequestRecord};
use crate::load::workload::Workload;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Figures of the requests whose intended arrival lies in one time window.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Window {
    /// Start of the window, in seconds after the start of the run.
    pub from_s: f64,
    /// Requests sent.
    pub sent: u64,
    /// Complete responses within the deadline.
    pub in_time: u64,
    /// Refusals stating that the request did not run.
    pub not_run: u64,
    /// Load stalls of the completed requests whose response carries the
    /// load-stall header.
    pub stall: StallSummary,
}

/// Divides a run into windows of the given length and returns their figures.
///
/// # Panics
/// When `length` is zero.
#[must_use]
pub fn timeline(workload: &Workload, records: &[RequestRecord], length: Duration) -> Vec<Window> {
    assert!(!length.is_zero(), "a window has a length");
    let count = (workload.duration_s / length.as_secs_f64()).ceil() as u32;
    let windows = (0..count).map(|number| {
        let from = length * number;
        let span = from..from + length;
        let in_window = records.iter().filter(|record| span.contains(&record.at));
        window(workload, from, in_window)
    });
    windows.collect()
}

fn window<'a, I>(workload: &Workload, from: Duration, records: I) -> Window
where
    I: Iterator<Item = &'a RequestRecord>,
{
    let mut window = Window {
        from_s: from.as_secs_f64(),
        ..Window::default()
    };
    let mut stalls = Vec::new();
    for record in records {
        let is_done = record.outcome == Outcome::Done;
        let deadline = workload.classes[record.class].deadline();
        window.sent += 1;
        window.in_time += u64::from(is_done && record.end <= deadline);
        window.not_run += u64::from(is_not_run(&record.outcome));
        stalls.extend(record.stall.filter(|_stall| is_done));
    }
    window.stall = StallSummary::of(&stalls);
    window
}

fn is_not_run(outcome: &Outcome) -> bool {
    match outcome {
        Outcome::Refused(refused) => refused.outcome == RefusalOutcome::NotRun,
        Outcome::Done | Outcome::Failed(_) => false,
    }
}
