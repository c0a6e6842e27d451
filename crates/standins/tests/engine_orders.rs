//! Orders to the engine stand-in, restarts and reports.

mod target_support;

use reedford_standins::engine::{EngineFaults, OrderOutcome, UnloadRunning, Violation};
use reedford_targets::{OrderError, ResumeError, StreamError};
use reedford_wire::engine::RefusalCode;
use target_support::{Bench, ENDLESS, MODEL, failure, quick, refused_order};
use test_case::test_case;

#[test_case(true, Some(RefusalCode::OldFence); "honoured")]
#[test_case(false, None; "ignored")]
#[tokio::test]
async fn old_fence_is(checks_fence: bool, expect: Option<RefusalCode>) {
    let mut cfg = quick();
    cfg.checks_fence = checks_fence;
    let bench = Bench::start(cfg).await;
    bench.load("a@1", 5).await.unwrap();
    bench.load("b@1", 5).await.unwrap();
    for result in [bench.load("c@1", 4).await, bench.unload("a@1", 4).await] {
        match expect {
            Some(code) => assert_eq!(refused_order(result), code),
            None => drop(result.unwrap()),
        }
    }
    let record = bench.engine.record();
    let fences: Vec<u64> = record.orders.iter().map(|o| o.fence).collect();
    assert_eq!(fences, [5, 5, 4, 4]);
    let last = expect.map_or(OrderOutcome::Done, OrderOutcome::Refused);
    assert_eq!(record.orders[3].outcome, last);
    bench.stop().await;
}

#[tokio::test]
async fn full_slots_refuse() {
    let mut cfg = quick();
    cfg.slots = 1;
    let bench = Bench::loaded(cfg).await;
    assert_eq!(
        refused_order(bench.load("b@1", 1).await),
        RefusalCode::NoSlot
    );
    bench.load(MODEL, 1).await.unwrap();
    bench.unload(MODEL, 1).await.unwrap();
    bench.load("b@1", 1).await.unwrap();
    assert_eq!(bench.engine.stats().loads, 2);
    bench.stop().await;
}

#[tokio::test]
async fn unload_of_an_absent_adapter_is_refused() {
    let bench = Bench::start(quick()).await;
    let result = bench.unload(MODEL, 1).await;
    assert_eq!(refused_order(result), RefusalCode::AdapterNotLoaded);
    bench.stop().await;
}

#[test_case(EngineFaults { fail_loads: Some(1), ..EngineFaults::default() }, true; "one")]
#[test_case(EngineFaults { fail_load_percent: Some(100), ..EngineFaults::default() }, false; "all")]
#[tokio::test]
async fn loads_fail(faults: EngineFaults, then_loads: bool) {
    let bench = Bench::start(quick()).await;
    bench.engine.set_faults(&faults).await;
    let first = bench.load(MODEL, 1).await;
    assert_eq!(refused_order(first), RefusalCode::LoadFailed);
    assert_eq!(bench.listing().await.adapters, []);
    assert_eq!(bench.load(MODEL, 1).await.is_ok(), then_loads);
    bench.stop().await;
}

#[tokio::test]
async fn concurrent_loads_of_one_adapter_share() {
    let mut cfg = quick();
    cfg.load_ms = 100;
    let bench = Bench::start(cfg).await;
    let (a, b) = tokio::join!(bench.load(MODEL, 1), bench.load(MODEL, 1));
    assert_eq!(a.unwrap(), b.unwrap());
    assert_eq!(bench.engine.stats().loads, 1);
    bench.stop().await;
}

#[tokio::test]
async fn unload_cuts_running_requests_and_is_noted() {
    let bench = Bench::loaded(quick()).await;
    let mut stream = bench.stream("a", ENDLESS).await;
    bench.unload(MODEL, 3).await.unwrap();
    let error = failure(&mut stream).await;
    assert!(matches!(error, StreamError::Cut { .. }), "{error}");
    let violation = Violation::EvictedInUse {
        adapter: "price".into(),
        version: "v1".into(),
        fence: 3,
        attempts: vec!["a".into()],
    };
    assert_eq!(bench.engine.record().violations, [violation]);
    bench.stop().await;
}

#[tokio::test]
async fn unload_may_refuse_while_requests_run() {
    let mut cfg = quick();
    cfg.unload_running = UnloadRunning::Refuse;
    let bench = Bench::loaded(cfg).await;
    let _stream = bench.stream("a", ENDLESS).await;
    let result = bench.unload(MODEL, 3).await;
    assert_eq!(refused_order(result), RefusalCode::Full);
    bench.client.cancel(bench.engine.addr(), "a").await.unwrap();
    bench.unload(MODEL, 3).await.unwrap();
    assert_eq!(bench.engine.record().violations, []);
    bench.stop().await;
}

#[tokio::test]
async fn restart_empties() {
    let bench = Bench::loaded(quick()).await;
    let before = bench.listing().await;
    let mut stream = bench.stream("a", ENDLESS).await;
    stream.next().await.unwrap().unwrap();
    bench.engine.restart();
    let error = failure(&mut stream).await;
    assert!(matches!(error, StreamError::Cut { .. }), "{error}");
    let after = bench.listing().await;
    assert_ne!(after.boot_id, before.boot_id);
    assert_eq!((after.running, after.adapters.len()), (0, 0));
    let addr = bench.engine.addr();
    let resumed = bench.client.resume(addr, "a", MODEL, 1).await;
    assert_eq!(resumed.unwrap_err(), ResumeError::UnknownStream);
    assert!(!bench.engine.record().runs[0].finished);
    bench.stop().await;
}

#[tokio::test]
async fn restart_cuts_a_load_under_way() {
    let mut cfg = quick();
    cfg.load_ms = 600_000;
    let bench = Bench::start(cfg).await;
    let restart = async {
        bench.until(|l| l.adapters.iter().any(|a| a.loading)).await;
        bench.engine.restart();
    };
    let (load, ()) = tokio::join!(bench.load(MODEL, 1), restart);
    assert!(matches!(load, Err(OrderError::Unknown(_))), "{load:?}");
    assert_eq!(bench.engine.record().orders[0].outcome, OrderOutcome::Cut);
    bench.stop().await;
}

#[test_case(600_000, false; "old report")]
#[test_case(20, true; "report catches up")]
#[test_case(0, true; "no lag")]
#[tokio::test]
async fn report_lags(report_lag_ms: u64, shows: bool) {
    let mut cfg = quick();
    cfg.report_lag_ms = report_lag_ms;
    let bench = Bench::loaded(cfg).await;
    let addr = bench.engine.addr();
    if shows {
        while bench.client.report(addr).await.unwrap().adapters.is_empty() {
            tokio::task::yield_now().await;
        }
    }
    let report = bench.client.report(addr).await.unwrap();
    assert_eq!(report.adapters.len(), usize::from(shows));
    assert_eq!(bench.listing().await.adapters.len(), 1);
    bench.stop().await;
}
