//! Statistics and tables of the load tool, computed from handwritten records.

use reedford_rules::Class;
use reedford_standins::load::floor::Floor;
use reedford_standins::load::machine::MachineReport;
use reedford_standins::load::probe::{EngineReport, EntryReport};
use reedford_standins::load::report::{ClassReport, Quantiles, Report, summarize, timeline};
use reedford_standins::load::response::{
    Failure, Outcome, Refusal, RefusalOutcome, RequestRecord, ResponseViolation,
};
use reedford_standins::load::table::Table;
use reedford_standins::load::workload::{ClassMix, Tokens, Workload};
use std::collections::BTreeMap;
use std::time::Duration;

const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn workload() -> Workload {
    let class = |name: &str, deadline_ms| ClassMix {
        name: name.into(),
        class: Class::Standard,
        share: 1.0,
        tokens: Tokens::default(),
        stream: true,
        deadline_ms,
        repeatable: true,
        plain: None,
    };
    Workload {
        duration_s: 12.0,
        warmup_s: 2.0,
        rate: 1.0,
        adapters: 1,
        zipf_exponent: 1.0,
        churn_per_hour: 0.0,
        swap: None,
        classes: vec![class("quick", 100), class("slow", 1_000)],
    }
}

fn done(class: usize, end_ms: u64, stall_ms: u64) -> RequestRecord {
    RequestRecord {
        at: ms(2_000),
        class,
        send_lag: Duration::ZERO,
        outcome: Outcome::Done,
        stall: Some(ms(stall_ms)),
        first_token: Some(ms(end_ms / 2)),
        token_gaps: vec![ms(5), ms(7)],
        end: ms(end_ms),
        violations: Vec::new(),
        retry_outcome: None,
    }
}

fn not_run(end_ms: u64, retry_outcome: Option<Outcome>) -> RequestRecord {
    let refused = Refusal {
        outcome: RefusalOutcome::NotRun,
        code: "queue_full".into(),
        retry_after: Some(ms(10)),
    };
    RequestRecord {
        outcome: Outcome::Refused(refused),
        stall: None,
        first_token: None,
        token_gaps: Vec::new(),
        retry_outcome,
        ..done(0, end_ms, 0)
    }
}

fn records() -> Vec<RequestRecord> {
    let early = RequestRecord {
        at: ms(1_999),
        ..done(0, 50, 500)
    };
    let wrong = RequestRecord {
        violations: vec![ResponseViolation::Model, ResponseViolation::Text],
        ..done(1, 900, 40)
    };
    let cut = RequestRecord {
        outcome: Outcome::Failed(Failure::Cut),
        ..done(1, 300, 999)
    };
    vec![
        early,
        done(0, 50, 0),
        done(0, 101, 0),
        not_run(10, Some(Outcome::Done)),
        not_run(30, Some(Outcome::Failed(Failure::NoResponse))),
        not_run(20, None),
        wrong,
        cut,
    ]
}

fn counts(of: &[(&str, u64)]) -> BTreeMap<Box<str>, u64> {
    of.iter()
        .map(|(name, count)| ((*name).into(), *count))
        .collect()
}

#[test]
fn records_are_counted_by_class() {
    let (classes, total) = summarize(&workload(), &records());
    let quick = &classes["quick"];
    assert_eq!((quick.sent, quick.done, quick.done_late), (5, 2, 1));
    assert_eq!(quick.not_run, counts(&[("queue_full", 3)]));
    assert_eq!((quick.came_back, quick.served_on_return), (2, 1));
    assert_eq!(quick.goodput_per_s, 0.1);
    assert_eq!(quick.stall.share_stalled, 0.0);
    assert_near(quick.refusal_left.max_ms, 90.0);
    assert_near(quick.refusal_after.max_ms, 30.0);
    let slow = &classes["slow"];
    assert_eq!(slow.errors, counts(&[("cut", 1)]));
    assert_eq!(slow.violations, counts(&[("model", 1), ("text", 1)]));
    assert_eq!(slow.stall.time.count, 1);
    assert_eq!(slow.stall.share_stalled, 1.0);
    assert_eq!((total.sent, total.done), (7, 3));
    assert_near(total.stall.share_stalled, 1.0 / 3.0);
    assert_near(total.token_gap.max_ms, 7.0);
}

#[test]
fn quantiles_have_three_significant_digits() {
    let values: Vec<_> = (1..=1_000).map(ms).collect();
    let quantiles = Quantiles::of(&values);
    assert_eq!(quantiles.count, 1_000);
    assert_near(quantiles.p50_ms, 500.0);
    assert_near(quantiles.p95_ms, 950.0);
    assert_near(quantiles.p99_ms, 990.0);
    assert_near(quantiles.max_ms, 1_000.0);
    assert_eq!(Quantiles::of(&[]), Quantiles::default());
}

fn report() -> Report {
    let (classes, total) = summarize(&workload(), &records());
    Report {
        experiment: "try".into(),
        seed: 1,
        rate: 1.0,
        counted_s: 10.0,
        warmup_s: 2.0,
        zipf_exponent: 1.0,
        classes,
        total,
        timeline: timeline(&workload(), &records(), ms(5_000)),
        engines: EngineReport {
            batch_efficiency: 0.25,
            tokens: 2,
            token_room: 8,
            ..EngineReport::default()
        },
        entries: EntryReport::default(),
        machine: MachineReport::default(),
        floor: Floor {
            served: 6,
            ..Floor::default()
        },
        lru_floor: Floor::default(),
    }
}

/// Returns the cells of the row of this name, or none if there is no such row.
fn row(table: &str, name: &str) -> Vec<String> {
    let line = table
        .lines()
        .find(|line| line.starts_with(&format!("{name}  ")));
    let cells = line.map(|line| line[name.len()..].split_whitespace());
    cells.into_iter().flatten().map(str::to_owned).collect()
}

#[test]
fn a_run_has_columns_for_classes_total_and_floors() {
    let table = Table::of_run(&report()).to_string();
    assert_eq!(
        row(&table, ""),
        ["quick", "slow", "total", "floor", "lru-floor"]
    );
    assert_eq!(row(&table, "done"), ["2", "1", "3", "6", "0"]);
    assert_eq!(
        row(&table, "  not run: queue_full"),
        ["3", "-", "3", "-", "-"]
    );
    assert_eq!(row(&table, "  errors: cut"), ["-", "1", "1", "-", "-"]);
    assert_eq!(
        row(&table, "served on return %"),
        ["50.00", "-", "50.00", "-", "-"]
    );
}

#[test]
fn the_timeline_has_each_window() {
    let mut records = records();
    records.push(RequestRecord {
        at: ms(10_000),
        ..done(1, 1_000, 80)
    });
    let windows = timeline(&workload(), &records, ms(5_000));
    let starts: Vec<_> = windows.iter().map(|window| window.from_s).collect();
    assert_eq!(starts, [0.0, 5.0, 10.0]);
    let sent: Vec<_> = windows.iter().map(|window| window.sent).collect();
    assert_eq!(sent, [8, 0, 1]);
    assert_eq!((windows[0].in_time, windows[0].not_run), (3, 3));
    assert_eq!(windows[0].stall.share_stalled, 0.5);
    assert_near(windows[2].stall.time.p95_ms, 80.0);
    let table = Table::of_timeline(&report()).to_string();
    // Quantiles are the upper ends of the histogram's three-digit steps.
    let cells = ["8", "3", "3", "0.0", "500.2", "50.0"];
    assert_eq!(row(&table, "from 0 s"), cells);
    let empty = ["0", "0", "0", "-", "-", "-"];
    assert_eq!(row(&table, "from 5 s"), empty);
}

#[test]
fn runs_are_columns_of_one_table() {
    let empty = Report {
        total: ClassReport::default(),
        ..report()
    };
    let runs = [("a".into(), report()), ("b".into(), empty)];
    let table = Table::of_runs(&runs).to_string();
    assert_eq!(row(&table, ""), ["a", "b"]);
    assert_eq!(row(&table, "sent"), ["7", "0"]);
    assert_eq!(row(&table, "  not run: queue_full"), ["3", "-"]);
    assert_eq!(row(&table, "batch efficiency %"), ["25.00", "25.00"]);
    assert_eq!(row(&table, "floor done"), ["6", "6"]);
}

#[test]
fn json_round_trip_keeps_every_value() {
    let text = serde_json::to_string(&report()).unwrap();
    assert_eq!(serde_json::from_str::<Report>(&text).unwrap(), report());
}

fn assert_near(measured: f64, expected: f64) {
    let error = (measured - expected).abs();
    assert!(error <= expected / 500.0, "{measured} {expected}");
}
