//! Checks that the operators' page of refusals lists every [`RefusalCode`] with its
//! HTTP status.

use reedford_front::{CallRefusal, Outcome, RefusalCode};
use serde::de::DeserializeOwned;
use std::collections::BTreeSet;

const PAGE: &str = include_str!("../../../docs/operators/refusals.md");

/// A row of the page's table of codes.
struct CodeRow {
    code: String,
    status: u16,
    outcome: Outcome,
}

fn parse<T>(name: &str) -> T
where
    T: DeserializeOwned,
{
    serde_json::from_value(name.into()).expect("a known name")
}

fn rows() -> Vec<CodeRow> {
    let (_, table) = PAGE.split_once("## Codes").expect("a table of codes");
    let lines = table.lines().filter(|line| line.starts_with("| `"));
    let split_cells = |line: &str| -> Vec<String> {
        let cells = line.trim_matches('|').split('|');
        cells.map(|cell| cell.trim().replace('`', "")).collect()
    };
    let rows = lines.map(|line| {
        let cells = split_cells(line);
        assert_eq!(cells.len(), 6, "{line}");
        CodeRow {
            code: cells[0].clone(),
            status: cells[1].parse().expect("a status"),
            outcome: parse(&cells[2]),
        }
    });
    rows.collect()
}

/// Returns all codes, from the list in serde's error for an unknown one.
fn codes() -> BTreeSet<String> {
    let error = serde_json::from_str::<RefusalCode>("\"?\"").expect_err("no such code");
    let message = error.to_string();
    let (_, listed) = message.split_once("expected one of ").expect("a list");
    let names = listed.split('`').skip(1).step_by(2);
    names.map(str::to_owned).collect()
}

#[test]
fn the_page_lists_each_code_once() {
    let listed: Vec<String> = rows().into_iter().map(|row| row.code).collect();
    assert_eq!(listed.iter().cloned().collect::<BTreeSet<_>>(), codes());
    assert_eq!(listed.len(), codes().len(), "a code is listed twice");
}

#[test]
fn the_page_gives_the_status_of_each_code() {
    for row in rows() {
        let refusal = CallRefusal {
            outcome: row.outcome,
            code: parse(&row.code),
            message: "".into(),
            retry_after: None,
        };
        assert_eq!(refusal.status().as_u16(), row.status, "{}", row.code);
    }
}
