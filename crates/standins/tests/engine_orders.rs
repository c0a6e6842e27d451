//! Load and unload orders to the engine stand-in, its restarts and reports.

mod target_support;

use reedford_standins::engine::{EngineFaults, OrderOutcome, UnloadRunning, Violation};
use reedford_targets::{OrderError, ResumeError, StreamError};
use reedford_wire::engine::RefusalCode;
use target_support::{ENDLESS_TOKENS, EngineHarness, MODEL, quick, read_until_error, refusal_code};
use test_case::test_case;

#[test_case(true, Some(RefusalCode::OldFence); "refused by an engine that checks it")]
#[test_case(false, None; "accepted by an engine that ignores it")]
#[tokio::test]
async fn old_fence_is(checks_fence: bool, expected: Option<RefusalCode>) {
    let mut cfg = quick();
    cfg.checks_fence = checks_fence;
    let harness = EngineHarness::start(cfg).await;
    harness.load("a@1", 5).await.unwrap();
    harness.load("b@1", 5).await.unwrap();
    for result in [harness.load("c@1", 4).await, harness.unload("a@1", 4).await] {
        match expected {
            Some(code) => assert_eq!(refusal_code(result), code),
            None => drop(result.unwrap()),
        }
    }
    let record = harness.engine.record();
    let fences: Vec<u64> = record.orders.iter().map(|o| o.fence).collect();
    assert_eq!(fences, [5, 5, 4, 4]);
    let last = expected.map_or(OrderOutcome::Done, OrderOutcome::Refused);
    assert_eq!(record.orders[3].outcome, last);
    harness.stop().await;
}

#[tokio::test]
async fn load_without_a_free_slot_is_refused() {
    let mut cfg = quick();
    cfg.slots = 1;
    let harness = EngineHarness::loaded(cfg).await;
    assert_eq!(
        refusal_code(harness.load("b@1", 1).await),
        RefusalCode::NoSlot
    );
    harness.load(MODEL, 1).await.unwrap();
    harness.unload(MODEL, 1).await.unwrap();
    harness.load("b@1", 1).await.unwrap();
    assert_eq!(harness.engine.stats().loads, 2);
    harness.stop().await;
}

#[tokio::test]
async fn unload_of_an_absent_adapter_is_refused() {
    let harness = EngineHarness::start(quick()).await;
    let result = harness.unload(MODEL, 1).await;
    assert_eq!(refusal_code(result), RefusalCode::AdapterNotLoaded);
    harness.stop().await;
}

#[test_case(EngineFaults { fail_loads: Some(1), ..EngineFaults::default() }, true; "one")]
#[test_case(EngineFaults { fail_load_percent: Some(100), ..EngineFaults::default() }, false; "all")]
#[tokio::test]
async fn loads_fail(faults: EngineFaults, next_load_succeeds: bool) {
    let harness = EngineHarness::start(quick()).await;
    harness.engine.set_faults(&faults).await;
    let first = harness.load(MODEL, 1).await;
    assert_eq!(refusal_code(first), RefusalCode::LoadFailed);
    assert_eq!(harness.listing().await.adapters, []);
    assert_eq!(harness.load(MODEL, 1).await.is_ok(), next_load_succeeds);
    harness.stop().await;
}

#[tokio::test]
async fn concurrent_loads_of_one_adapter_are_shared() {
    let mut cfg = quick();
    cfg.load_ms = 100;
    let harness = EngineHarness::start(cfg).await;
    let (a, b) = tokio::join!(harness.load(MODEL, 1), harness.load(MODEL, 1));
    assert_eq!(a.unwrap(), b.unwrap());
    assert_eq!(harness.engine.stats().loads, 1);
    harness.stop().await;
}

#[tokio::test]
async fn unload_cuts_running_requests_and_is_recorded_as_a_violation() {
    let harness = EngineHarness::loaded(quick()).await;
    let mut stream = harness.stream("a", ENDLESS_TOKENS).await;
    harness.unload(MODEL, 3).await.unwrap();
    let error = read_until_error(&mut stream).await;
    assert!(matches!(error, StreamError::Cut { .. }), "{error}");
    let violation = Violation::EvictedInUse {
        adapter: "price".into(),
        version: "v1".into(),
        fence: 3,
        attempts: vec!["a".into()],
    };
    assert_eq!(harness.engine.record().violations, [violation]);
    harness.stop().await;
}

#[tokio::test]
async fn unload_may_refuse_while_requests_run() {
    let mut cfg = quick();
    cfg.unload_running = UnloadRunning::Refuse;
    let harness = EngineHarness::loaded(cfg).await;
    let _stream = harness.stream("a", ENDLESS_TOKENS).await;
    let result = harness.unload(MODEL, 3).await;
    assert_eq!(refusal_code(result), RefusalCode::Full);
    harness
        .client
        .cancel(harness.engine.addr(), "a")
        .await
        .unwrap();
    harness.unload(MODEL, 3).await.unwrap();
    assert_eq!(harness.engine.record().violations, []);
    harness.stop().await;
}

#[tokio::test]
async fn restart_loses_adapters_and_requests() {
    let harness = EngineHarness::loaded(quick()).await;
    let before = harness.listing().await;
    let mut stream = harness.stream("a", ENDLESS_TOKENS).await;
    stream.next().await.unwrap().unwrap();
    harness.engine.restart();
    let error = read_until_error(&mut stream).await;
    assert!(matches!(error, StreamError::Cut { .. }), "{error}");
    let after = harness.listing().await;
    assert_ne!(after.boot_id, before.boot_id);
    assert_eq!((after.running, after.adapters.len()), (0, 0));
    let addr = harness.engine.addr();
    let resumed = harness.client.resume(addr, "a", MODEL, 1).await;
    assert_eq!(resumed.unwrap_err(), ResumeError::UnknownStream);
    assert!(!harness.engine.record().runs[0].finished);
    harness.stop().await;
}

#[tokio::test]
async fn restart_cuts_a_running_load() {
    let mut cfg = quick();
    cfg.load_ms = 600_000;
    let harness = EngineHarness::start(cfg).await;
    let restart = async {
        harness
            .wait_for_listing(|l| l.adapters.iter().any(|a| a.loading))
            .await;
        harness.engine.restart();
    };
    let (load, ()) = tokio::join!(harness.load(MODEL, 1), restart);
    assert!(matches!(load, Err(OrderError::Unknown(_))), "{load:?}");
    assert_eq!(harness.engine.record().orders[0].outcome, OrderOutcome::Cut);
    harness.stop().await;
}

#[test_case(600_000, false; "old report")]
#[test_case(20, true; "report catches up")]
#[test_case(0, true; "no lag")]
#[tokio::test]
async fn report_lags_behind_listing(report_lag_ms: u64, is_current: bool) {
    let mut cfg = quick();
    cfg.report_lag_ms = report_lag_ms;
    let harness = EngineHarness::loaded(cfg).await;
    let addr = harness.engine.addr();
    if is_current {
        while harness
            .client
            .report(addr)
            .await
            .unwrap()
            .adapters
            .is_empty()
        {
            tokio::task::yield_now().await;
        }
    }
    let report = harness.client.report(addr).await.unwrap();
    assert_eq!(report.adapters.len(), usize::from(is_current));
    assert_eq!(harness.listing().await.adapters.len(), 1);
    harness.stop().await;
}
