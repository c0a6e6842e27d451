//! `reedford serve --check`: exit codes and output.

use std::path::Path;
use std::process::{Command, Output};

const GOOD: &str = "\
instance: oulu-a-1
zone: oulu-a
zones: [oulu-a]
callers: 127.0.0.1:7001
peers: 127.0.0.1:7002
operators: 127.0.0.1:7003
operator_token: an-example-token
platform: [127.0.0.1:7100]
";

fn check(name: &str, text: &str) -> (Output, String) {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("a writable directory");
    let output = Command::new(env!("CARGO_BIN_EXE_reedford"))
        .args(["serve", "--check", "--config"])
        .arg(&path)
        .output()
        .expect("the program runs");
    (output, path.display().to_string())
}

#[test]
fn valid_settings_are_reported_and_start_nothing() {
    let (output, path) = check("good.yaml", GOOD);
    assert_eq!(output.status.code(), Some(0));
    let stdout = String::from_utf8_lossy(&output.stdout);
    assert_eq!(stdout, format!("{path}: instance oulu-a-1 is good\n"));
    assert!(output.stderr.is_empty());
}

#[test]
fn all_faults_are_printed_with_their_paths() {
    let text = GOOD.replace("zone: oulu-a\n", "zone: kajaani\ncolour: red\n");
    let text = format!("{text}timeouts:\n  lease_ms: 1\n  drain_ms: 0\n");
    let (output, path) = check("faulty.yaml", &text);
    assert_eq!(output.status.code(), Some(1));
    let stderr = String::from_utf8_lossy(&output.stderr);
    let paths: Vec<&str> = stderr
        .lines()
        .filter_map(|line| line.strip_prefix(&format!("{path}: "))?.split(':').next())
        .collect();
    let expected = [
        "colour",
        "timeouts.drain_ms",
        "timeouts.drain_ms",
        "timeouts.lease_ms",
        "timeouts.lease_ms",
        "zone",
    ];
    assert_eq!(paths, expected, "{stderr}");
    assert!(!stderr.contains("an-example-token"));
}

#[test]
fn the_error_names_a_missing_file_once() {
    let output = Command::new(env!("CARGO_BIN_EXE_reedford"))
        .args(["serve", "--check", "--config", "/nonexistent/entry.yaml"])
        .output()
        .expect("the program runs");
    assert_eq!(output.status.code(), Some(1));
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(
        stderr.matches("/nonexistent/entry.yaml").count(),
        1,
        "{stderr}"
    );
}
