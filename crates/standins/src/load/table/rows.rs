//! Builds the cells of each kind of table column.

use super::Cell;
use crate::load::floor::Floor;
use crate::load::report::{ClassReport, Quantiles, Report, StallSummary, Window, share};
use std::collections::BTreeMap;

const PERCENT: f64 = 100.0;

/// Returns the figures of a class.
pub(super) fn class_rows(class: &ClassReport) -> Vec<Cell> {
    let mut rows = vec![
        count("sent", class.sent),
        count("done", class.done),
        count("done late", class.done_late),
        count("not run", class.not_run_total()),
    ];
    rows.extend(counts("not run", &class.not_run));
    rows.push(count("unknown", class.unknown.values().sum()));
    rows.extend(counts("unknown", &class.unknown));
    rows.extend(counts("bad request", &class.bad_request));
    rows.push(count("errors", class.errors.values().sum()));
    rows.extend(counts("errors", &class.errors));
    rows.push(count("violations", class.violations.values().sum()));
    rows.extend(counts("violations", &class.violations));
    rows.extend(stall_rows(&class.stall));
    rows.extend(quantiles("first token", class.first_token));
    rows.extend(quantiles("token gap", class.token_gap));
    rows.extend(quantiles("latency", class.latency));
    let has_refusals = class.refusal_after.count > 0;
    let refusal = |name, value: f64| cell(name, text_or_dash(has_refusals, format!("{value:.1}")));
    rows.push(refusal("refused after p50 ms", class.refusal_after.p50_ms));
    rows.push(refusal("refused after max ms", class.refusal_after.max_ms));
    rows.push(refusal(
        "refused before deadline max ms",
        class.refusal_left.max_ms,
    ));
    rows.push(count("came back", class.came_back));
    rows.push(share_row(
        "served on return %",
        class.served_on_return,
        class.came_back,
    ));
    rows.push(number("goodput/s", class.goodput_per_s));
    rows
}

/// Returns the figures of a floor, in the rows of a class where they have the
/// same meaning.
pub(super) fn floor_rows(floor: &Floor) -> Vec<Cell> {
    let mut rows = vec![count("done", floor.served), count("not run", floor.refused)];
    rows.extend(stall_rows(&floor.stall));
    rows.push(count("loads", floor.loads));
    rows.push(count("evictions", floor.evictions));
    rows
}

/// Returns the figures of a run that belong to no class.
pub(super) fn run_rows(report: &Report) -> Vec<Cell> {
    let engines = &report.engines;
    let machine = &report.machine;
    let unread = engines.unread.len() + report.entries.unread.len();
    let mut rows = vec![
        count("seed", report.seed),
        number("rate/s", report.rate),
        number("counted s", report.counted_s),
        share_row("batch efficiency %", engines.tokens, engines.token_room),
        count("loads", engines.loads),
        count("failed loads", engines.failed_loads),
        count("evictions", engines.evictions),
        count("most running", engines.max_running.into()),
        count("engine violations", engines.violations),
        number("retries", report.entries.retries),
        count("targets and entries unread", unread as u64),
        number("send lag p99 ms", machine.send_lag_p99_ms),
        number("own processors", machine.own_cpus.unwrap_or(f64::NAN)),
        percent("machine busy %", machine.machine_busy.unwrap_or(f64::NAN)),
        cell("machine was the limit", yes_no(machine.was_limit)),
    ];
    let counters = report.entries.counters.iter();
    rows.extend(counters.map(|(name, value)| number(name, *value)));
    rows
}

/// Returns the named columns of a timeline.
pub(super) fn timeline_columns(windows: &[Window]) -> [(&'static str, Vec<Cell>); 6] {
    let column = |figure: fn(&str, &Window) -> Cell| {
        let cells = windows.iter().map(|window| {
            let row = format!("from {:.0} s", window.from_s);
            figure(&row, window)
        });
        cells.collect()
    };
    [
        ("sent", column(|row, w| count(row, w.sent))),
        ("in time", column(|row, w| count(row, w.in_time))),
        ("not run", column(|row, w| count(row, w.not_run))),
        (
            "stall p50 ms",
            column(|row, w| stall_cell(row, w, w.stall.time.p50_ms)),
        ),
        (
            "stall p95 ms",
            column(|row, w| stall_cell(row, w, w.stall.time.p95_ms)),
        ),
        (
            "stalled %",
            column(|row, w| stall_cell(row, w, w.stall.share_stalled * PERCENT)),
        ),
    ]
}

/// Returns the cell of a figure of a window's load stalls.
fn stall_cell(row: &str, window: &Window, value: f64) -> Cell {
    let text = text_or_dash(window.stall.time.count > 0, format!("{value:.1}"));
    cell(row, text)
}

fn stall_rows(stall: &StallSummary) -> Vec<Cell> {
    let mut rows = vec![count("stalls stated", stall.time.count)];
    rows.extend(quantiles("load stall", stall.time));
    let stalled = format!("{:.2}", stall.share_stalled * PERCENT);
    rows.push(cell(
        "stalled %",
        text_or_dash(stall.time.count > 0, stalled),
    ));
    rows
}

fn quantiles(name: &str, of: Quantiles) -> Vec<Cell> {
    let row = |quantile, value: f64| {
        let text = text_or_dash(of.count > 0, format!("{value:.1}"));
        cell(&format!("{name} {quantile} ms"), text)
    };
    vec![
        row("p50", of.p50_ms),
        row("p95", of.p95_ms),
        row("p99", of.p99_ms),
    ]
}

/// Returns the text of a figure, or a dash if there is no value for it.
fn text_or_dash(has_value: bool, text: String) -> String {
    if has_value { text } else { "-".to_owned() }
}

fn share_row(name: &str, part: u64, whole: u64) -> Cell {
    let text = format!("{:.2}", share(part, whole) * PERCENT);
    cell(name, text_or_dash(whole > 0, text))
}

fn counts(name: &str, by: &BTreeMap<Box<str>, u64>) -> Vec<Cell> {
    let rows = by.iter().map(|(code, value)| {
        let row = format!("  {name}: {code}");
        count(&row, *value)
    });
    rows.collect()
}

fn percent(name: &str, part: f64) -> Cell {
    cell(name, format!("{:.2}", part * PERCENT))
}

fn number(name: &str, value: f64) -> Cell {
    cell(name, format!("{value:.1}"))
}

fn count(name: &str, value: u64) -> Cell {
    cell(name, value.to_string())
}

fn cell(name: &str, text: String) -> Cell {
    Cell {
        row_name: name.into(),
        text: text.into(),
    }
}

fn yes_no(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}
