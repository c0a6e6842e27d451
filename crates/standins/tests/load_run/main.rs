//! Runs of the load tool against a fake entry instance and engine.

mod entry;

use entry::FakeEntry;
use reedford_rules::Class;
use reedford_standins::engine::{EngineConfig, EngineStandin};
use reedford_standins::load::balancer::{Entry, Spread};
use reedford_standins::load::experiment::{Experiment, Names, Overrides};
use reedford_standins::load::floor::LoadLimits;
use reedford_standins::load::report::Report;
use reedford_standins::load::runner::run;
use reedford_standins::load::workload::{ClassMix, PlainCall, Tokens, Workload};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const SEED: u64 = 11;

fn class(name: &str, stream: bool) -> ClassMix {
    ClassMix {
        name: name.into(),
        class: Class::Lookup,
        share: 1.0,
        tokens: Tokens {
            median: 4.0,
            sigma: 0.5,
            min: 2,
            max: 8,
        },
        stream,
        deadline_ms: 20_000,
        repeatable: true,
        plain: None,
    }
}

fn orders() -> ClassMix {
    ClassMix {
        repeatable: false,
        plain: Some(PlainCall {
            service: "einkauf".into(),
            path: "orders".into(),
        }),
        ..class("orders", false)
    }
}

fn experiment(entries: &[SocketAddr], engine: SocketAddr, names: &str) -> Experiment {
    let entry = |address: &SocketAddr| Entry {
        address: *address,
        zone: "oulu-a".into(),
    };
    Experiment {
        name: "test".into(),
        seed: SEED,
        names: Names::Pattern(names.into()),
        entries: entries.iter().map(entry).collect(),
        spread: Spread::Zone,
        engines: vec![engine],
        limits: LoadLimits {
            slots: 10,
            per_s: 3.0,
            load_ms: 250,
            in_flight: 8,
        },
        come_back: true,
        send_lag_limit_ms: 20,
        workload: Workload {
            duration_s: 0.5,
            warmup_s: 0.0,
            rate: 200.0,
            adapters: 20,
            zipf_exponent: 1.1,
            churn_per_hour: 0.27,
            swap: None,
            classes: vec![class("streamed", true), class("whole", false), orders()],
        },
    }
}

fn sent_and_ended(report: &Report) -> (u64, u64) {
    let total = &report.total;
    let errors: u64 = total.errors.values().sum();
    (total.sent, total.done + total.not_run_total() + errors)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_kinds_of_requests_are_served_and_measured() {
    let fake = FakeEntry::start().await;
    let experiment = experiment(&[fake.address], fake.address, "tint-{}@1");
    let report = run(&experiment).await.unwrap();
    let arrivals = experiment.workload.arrivals(SEED).unwrap();
    assert_eq!(report.total.sent, arrivals.len() as u64);
    assert_eq!(report.total.done, report.total.sent, "{:?}", report.total);
    assert!(report.total.violations.is_empty(), "{:?}", report.total);
    assert_eq!(report.classes["whole"].stall.share_stalled, 1.0);
    let streamed = &report.classes["streamed"];
    assert_eq!(streamed.first_token.count, streamed.done);
    assert!(streamed.token_gap.count >= streamed.done);
    assert_eq!(report.classes["orders"].stall.time.count, 0);
    assert_eq!(report.engines.batch_efficiency, 0.5);
    assert_eq!((report.engines.loads, report.engines.evictions), (1, 1));
    assert_eq!(report.engines.violations, 1);
    assert_eq!(report.entries.retries, 2.0);
    assert!(report.entries.unread.is_empty());
    fake.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refused_callers_retry_and_wrong_responses_are_counted() {
    let fake = FakeEntry::start().await;
    // The server refuses the first request of each caller to a `full-` adapter,
    // and responds to a `wrong-` adapter with another version.
    let refused = experiment(&[fake.address], fake.address, "full-{}@1");
    let report = run(&refused).await.unwrap();
    let refusals = report.total.not_run["queue_full"];
    assert_eq!(refusals, report.total.sent - report.classes["orders"].sent);
    assert_eq!(report.total.came_back, refusals);
    assert_eq!(report.total.served_on_return, refusals);
    let wrong = experiment(&[fake.address], fake.address, "wrong-{}@1");
    let report = run(&wrong).await.unwrap();
    let models = report.total.sent - report.classes["orders"].sent;
    assert_eq!(report.total.violations["model"], models);
    assert_eq!(report.total.violations["text"], models);
    fake.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_that_refuses_connections_is_skipped() {
    let fake = FakeEntry::start().await;
    let stopped = FakeEntry::start().await;
    let stopped_address = stopped.address;
    stopped.stop().await;
    let reachable = experiment(
        &[stopped_address, fake.address],
        stopped_address,
        "tint-{}@1",
    );
    let report = run(&reachable).await.unwrap();
    assert_eq!(report.total.done, report.total.sent, "{:?}", report.total);
    assert_eq!(report.entries.unread, [stopped_address]);
    assert_eq!(report.engines.unread, [stopped_address]);
    let unreachable = experiment(&[stopped_address], stopped_address, "tint-{}@1");
    let report = run(&unreachable).await.unwrap();
    assert_eq!(report.total.errors["connect"], report.total.sent);
    let (sent, ended) = sent_and_ended(&report);
    assert_eq!(sent, ended);
    fake.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_counters_of_the_engine_stand_in_are_read() {
    let engine = EngineStandin::start(EngineConfig::default()).await.unwrap();
    let fake = FakeEntry::start().await;
    let experiment = experiment(&[fake.address], engine.addr(), "tint-{}@1");
    let report = run(&experiment).await.unwrap();
    assert!(report.engines.unread.is_empty());
    assert_eq!((report.engines.tokens, report.engines.violations), (0, 0));
    fake.stop().await;
    engine.shutdown().await;
}

fn example(name: &str) -> PathBuf {
    let manifest_dir = Path::new(env!("CARGO_MANIFEST_DIR"));
    manifest_dir
        .join("../../examples")
        .join(name)
        .join("load.yaml")
}

#[test_case::test_case("waschformel")]
#[test_case::test_case("tienvarsi")]
fn the_examples_have_the_sizes_of_the_deployments(name: &str) {
    let experiment = Experiment::read(&example(name), Overrides::default()).unwrap();
    assert_eq!(experiment.workload.adapters, 3_000);
    assert_eq!(experiment.engines.len(), 12);
    assert!((7..=8).contains(&experiment.entries.len()));
    assert_eq!(experiment.workload.churn_per_hour, 0.27);
    assert_eq!(experiment.names.models(3_000).unwrap().len(), 3_000);
}

#[test]
fn unknown_fields_are_refused() {
    let text = std::fs::read_to_string(example("waschformel")).unwrap();
    assert!(Experiment::parse(&text).is_ok());
    let error = Experiment::parse(&format!("{text}\nsurprise: 1\n")).unwrap_err();
    assert!(error.contains("surprise"), "{error}");
}
