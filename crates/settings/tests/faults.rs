//! Settings with faults, and the path of each fault.

use reedford_settings::{Settings, SettingsError};

const GOOD: &str = "\
instance: bern-a-1
zone: bern-a
zones: [bern-a, olten-b]
callers: 127.0.0.1:7001
peers: 127.0.0.1:7002
operators: 127.0.0.1:7003
operator_token: an-example-token
platform: [127.0.0.1:7100]
";

/// A replacement in [`GOOD`] and the faults that it causes.
struct Case {
    old: &'static str,
    new: &'static str,
    faults: &'static [&'static str],
}

/// A case that inserts lines before `platform`.
const fn insert(new: &'static str, faults: &'static [&'static str]) -> Case {
    Case {
        old: "platform",
        new,
        faults,
    }
}

/// The message that the placeholder `NAME` stands for in [`Case::faults`].
const NAME: &str =
    "must be at most 63 of a-z, 0-9, `.`, `_` and `-`, starting with a letter or digit";

const CASES: &[Case] = &[
    Case {
        old: "instance: bern-a-1",
        new: "instance: Bern",
        faults: &["instance: NAME"],
    },
    Case {
        old: "instance: bern-a-1\n",
        new: "",
        faults: &["instance: must be given"],
    },
    Case {
        old: "instance: bern-a-1",
        new: "instance: bern-a-1\nregion: x",
        faults: &[
            "region: unknown field `region`, expected one of `instance`, `zone`, `zones`, `callers`, `peers`, `operators`, `operator_token`, `platform`, `trace_endpoint`, `timeouts`, `bounds`",
        ],
    },
    Case {
        old: "zone: bern-a",
        new: "zone: kajaani",
        faults: &["zone: must be one of zones"],
    },
    Case {
        old: "[bern-a, olten-b]",
        new: "[]",
        faults: &[
            "zone: must be one of zones",
            "zones: must name at least one zone",
        ],
    },
    Case {
        old: "[bern-a, olten-b]",
        new: "[bern-a, olten-b, olten-b]",
        faults: &["zones: must name each zone once"],
    },
    Case {
        old: "[bern-a, olten-b]",
        new: "[bern-a, olten@b]",
        faults: &["zones[1]: NAME"],
    },
    Case {
        old: "127.0.0.1:7001",
        new: "entry.example:7001",
        faults: &["callers: invalid socket address syntax"],
    },
    Case {
        old: "127.0.0.1:7002",
        new: "127.0.0.1:7001",
        faults: &["peers: must differ from callers"],
    },
    Case {
        old: "127.0.0.1:7002",
        new: "0.0.0.0:7002",
        faults: &["peers: must be an address that other instances can connect to"],
    },
    Case {
        old: "an-example-token",
        new: "short",
        faults: &["operator_token: must have at least 16 characters"],
    },
    Case {
        old: "an-example-token",
        new: "an example token of words",
        faults: &["operator_token: must be of visible ASCII characters without spaces"],
    },
    Case {
        old: "an-example-token",
        new: "1234567890123456",
        faults: &["operator_token: must be text; write it in quotes"],
    },
    Case {
        old: "[127.0.0.1:7100]",
        new: "[]",
        faults: &["platform: must name at least one address"],
    },
    Case {
        old: "[127.0.0.1:7100]",
        new: "[127.0.0.1:7100, 127.0.0.1, 127.0.0.1:0]",
        faults: &["platform[1]: invalid socket address syntax"],
    },
    Case {
        old: "[127.0.0.1:7100]",
        new: "[127.0.0.1:0]",
        faults: &["platform[0]: must have a port"],
    },
    insert(
        "trace_endpoint: collector:4318\nplatform",
        &["trace_endpoint: must be a URL that starts with http://"],
    ),
    insert(
        "timeouts: {lease_ms: 1400}\nplatform",
        &["timeouts.lease_ms: must be at least 3 times exchange_ms"],
    ),
    insert(
        "timeouts: {lease_ms: 1500, platform_ms: 1500}\nplatform",
        &["timeouts.lease_ms: must be more than platform_ms, else a slow read proves nothing"],
    ),
    insert(
        "timeouts: {lease_margin_ms: 0}\nplatform",
        &["timeouts.lease_margin_ms: must be 1 to 86400000 (a day)"],
    ),
    insert(
        "timeouts: {request_ms: 120001, connect_ms: 86400001}\nplatform",
        &[
            "timeouts.connect_ms: must be 1 to 86400000 (a day)",
            "timeouts.request_ms: must be at most request_max_ms",
        ],
    ),
    insert(
        "timeouts: {drain_ms: 1000}\nplatform",
        &["timeouts.drain_ms: must be at least request_max_ms, else a stop cuts off requests"],
    ),
    insert(
        "timeouts: {peer_failed_ms: 999}\nplatform",
        &["timeouts.peer_failed_ms: must be at least 2 times exchange_ms"],
    ),
    insert(
        "timeouts: {exchange_ms: fast, lease_ms: 1001}\nplatform",
        &["timeouts.exchange_ms: invalid type: string \"fast\", expected u64"],
    ),
    insert(
        "timeouts: 5\nplatform",
        &["timeouts: invalid type: integer `5`, expected struct Timeouts"],
    ),
    insert(
        "bounds: {body_bytes: 0, requests: 0, attempts: 11, retry_percent: 101, traffic_threads: 0}\nplatform",
        &[
            "bounds.attempts: must be 1 to 10",
            "bounds.body_bytes: must be 1 to 67108864 (64 MiB)",
            "bounds.requests: must be at least 1",
            "bounds.retry_percent: must be at most 100",
            "bounds.traffic_threads: must be 1 to 256",
        ],
    ),
    insert(
        "bounds: {threads: 2, requests: -1}\nplatform",
        &[
            "bounds.requests: invalid value: integer `-1`, expected usize",
            "bounds.threads: unknown field `threads`, expected one of `body_bytes`, `requests`, `attempts`, `retry_percent`, `traffic_threads`",
        ],
    ),
];

#[test]
fn each_fault_is_reported_with_its_path() {
    for case in CASES {
        let text = GOOD.replacen(case.old, case.new, 1);
        let error = Settings::from_yaml(&text).expect_err(case.new);
        let found: Vec<String> = error.faults().iter().map(ToString::to_string).collect();
        let expected: Vec<String> = case
            .faults
            .iter()
            .map(|f| f.replace("NAME", NAME))
            .collect();
        assert_eq!(found, expected, "{}: {error}", case.new);
    }
}

#[test]
fn faults_of_all_kinds_are_reported_at_once() {
    let text = "zone: bern-a\nzones: [olten-b]\ncolour: red\nbounds: {attempts: 0}\n";
    let error = Settings::from_yaml(text).expect_err("faulty");
    let paths: Vec<&str> = error.faults().iter().map(|f| &*f.path).collect();
    let expected = [
        "bounds.attempts",
        "callers",
        "colour",
        "instance",
        "operator_token",
        "operators",
        "peers",
        "platform",
        "zone",
    ];
    assert_eq!(paths, expected);
}

#[test]
fn texts_that_are_not_a_mapping_are_rejected() {
    for text in ["- a", "a: [", "zone: a\nzone: b\n", "a: b\n---\nc: d\n"] {
        let error = Settings::from_yaml(text).expect_err(text);
        assert!(
            matches!(error, SettingsError::Yaml { .. }),
            "{text}: {error}"
        );
    }
}

#[test]
fn an_empty_text_lacks_every_required_field() {
    let error = Settings::from_yaml("").expect_err("empty");
    assert_eq!(error.faults().len(), 8);
    assert!(
        error
            .faults()
            .iter()
            .all(|f| &*f.message == "must be given")
    );
}

#[test]
fn errors_and_debug_output_do_not_contain_the_token() {
    let settings = Settings::from_yaml(GOOD).expect("good settings");
    assert_eq!(settings.operator_token.expose(), "an-example-token");
    assert!(!format!("{settings:?}").contains("an-example"));
    let broken = GOOD.replace("platform: [", "platform: {[");
    let error = Settings::from_yaml(&broken).expect_err("broken");
    assert!(
        !format!("{error}{error:?}").contains("an-example"),
        "{error}"
    );
}

#[test]
fn the_error_names_a_missing_file() {
    let path = std::path::Path::new("/nonexistent/entry.yaml");
    let error = Settings::load(path).expect_err("no such file");
    assert!(error.to_string().starts_with("/nonexistent/entry.yaml: "));
}
