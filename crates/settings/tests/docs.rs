//! The operators' page of the settings lists every field with its default.

use reedford_settings::{Bounds, Settings, Timeouts};
use serde_json::Value;

const PAGE: &str = include_str!("../../../docs/operators/settings.md");

const REQUIRED: &str = "\
instance: i
zone: z
zones: [z]
callers: 127.0.0.1:1
peers: 127.0.0.1:2
operators: 127.0.0.1:3
operator_token: an-example-token
platform: [127.0.0.1:4]
";

/// Returns the default column of the table row of a field.
fn documented_default(path: &str) -> Option<&'static str> {
    let start = format!("| `{path}` |");
    let row = PAGE.lines().find(|line| line.starts_with(&start))?;
    row.split('|').nth(3).map(str::trim)
}

fn rows_of(section: &str, defaults: Value) -> Vec<(String, String)> {
    let Value::Object(fields) = defaults else {
        panic!("{section} is a struct");
    };
    let row = |(key, value): (String, Value)| (format!("{section}.{key}"), value.to_string());
    fields.into_iter().map(row).collect()
}

#[test]
fn every_field_is_listed_with_its_default() {
    let settings = Settings::from_yaml(REQUIRED).expect("good settings");
    let Ok(Value::Object(fields)) = serde_json::to_value(&settings) else {
        panic!("settings are a struct");
    };
    let mut expected = Vec::new();
    for key in fields.keys() {
        match &**key {
            "timeouts" => expected.extend(rows_of(key, fields[key].clone())),
            "bounds" => expected.extend(rows_of(key, fields[key].clone())),
            "trace_endpoint" => expected.push((key.clone(), "absent".to_owned())),
            _ => expected.push((key.clone(), "none".to_owned())),
        }
    }
    assert_eq!(settings.timeouts, Timeouts::default());
    assert_eq!(settings.bounds, Bounds::default());
    for (path, default) in &expected {
        assert_eq!(documented_default(path), Some(&**default), "{path}");
    }
    let listed = PAGE.lines().filter(|l| l.starts_with("| `")).count();
    assert_eq!(listed, expected.len(), "rows without a field");
}
