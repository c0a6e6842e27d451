//! Answers of the engine stand-in, as the client reads them.

mod target_support;

use reedford_standins::engine::{EngineFaults, Violation};
use reedford_targets::{
    Cancellation, DispatchError, DispatchOptions, DispatchResponse, LostReason, ResumeError,
    StreamError,
};
use reedford_wire::chat::ChatRequest;
use reedford_wire::engine::RefusalCode;
use std::time::Duration;
use target_support::{
    Bench, ENDLESS, MODEL, chat, client, content, expected, failure, options, quick, text,
};
use test_case::test_case;

#[test_case(1; "one token")]
#[test_case(7; "seven tokens")]
#[tokio::test]
async fn whole_and_streamed_are_the_same(tokens: u32) {
    let bench = Bench::loaded(quick()).await;
    let whole = bench.whole("a", tokens).await.unwrap();
    let streamed = text(&mut bench.stream("b", tokens).await).await;
    assert_eq!(whole, expected("a", 0, tokens));
    assert_eq!(streamed, expected("b", 0, tokens));
    let record = bench.engine.record();
    assert_eq!(record.runs.len(), 2);
    assert!(record.runs.iter().all(|r| r.finished));
    assert_eq!(record.violations, []);
    assert_eq!(bench.engine.stats().tokens, u64::from(2 * tokens));
    bench.stop().await;
}

#[test_case(0; "from the start")]
#[test_case(3; "from the middle")]
#[tokio::test]
async fn closed_stream_goes_on_and_is_resumed(read: u32) {
    let bench = Bench::loaded(quick()).await;
    let mut stream = bench.stream("a", 20).await;
    let mut got = String::new();
    for _ in 0..read {
        got += &content(&stream.next().await.unwrap().unwrap().raw);
    }
    let from = stream.next_index();
    drop(stream);
    let addr = bench.engine.addr();
    let mut resumed = bench.client.resume(addr, "a", MODEL, from).await.unwrap();
    got += &text(&mut resumed).await;
    assert_eq!(got, expected("a", 0, 20));
    assert_eq!(bench.engine.record().runs.len(), 1);
    bench.stop().await;
}

#[tokio::test]
async fn silent_stream_is_detected_and_resumed() {
    let bench = Bench::loaded(quick()).await;
    let hasty = client(Duration::from_secs(1));
    let addr = bench.engine.addr();
    let reply = hasty
        .dispatch(addr, &chat(true, ENDLESS), options("a"))
        .await
        .unwrap();
    let DispatchResponse::Stream(mut stream) = reply else {
        panic!("expected a stream");
    };
    stream.next().await.unwrap().unwrap();
    let silent = EngineFaults {
        silent_connections: Some(true),
        ..EngineFaults::default()
    };
    bench.engine.set_faults(&silent).await;
    let StreamError::Silent { received } = failure(&mut stream).await else {
        panic!("expected silence");
    };
    let mut resumed = hasty.resume(addr, "a", MODEL, received).await.unwrap();
    let next = resumed.next().await.unwrap().unwrap();
    assert_eq!(next.index, received);
    hasty.close().await;
    bench.stop().await;
}

/// The attempt id that a crossed answer carried.
async fn crossed_with(result: Result<DispatchResponse, DispatchError>) -> Box<str> {
    let mut stream = match result {
        Ok(DispatchResponse::Stream(stream)) => stream,
        Ok(DispatchResponse::Complete(..)) => panic!("a crossed answer came through"),
        Err(DispatchError::Mismatch(mismatch)) => return mismatch.got,
        Err(other) => panic!("expected a mismatch, got {other}"),
    };
    match failure(&mut stream).await {
        StreamError::Mismatch { mismatch, .. } => mismatch.got,
        other => panic!("expected a mismatch, got {other}"),
    }
}

#[test_case(false; "whole")]
#[test_case(true; "streamed")]
#[tokio::test]
async fn crossed_answers_are_mismatches(stream: bool) {
    let mut cfg = quick();
    cfg.batch_limit = 2;
    let bench = Bench::loaded(cfg).await;
    let _blocking = (
        bench.stream("x", ENDLESS).await,
        bench.stream("y", ENDLESS).await,
    );
    bench.until(|l| l.running == 2).await;
    let crossed = EngineFaults {
        cross_answers: Some(true),
        ..EngineFaults::default()
    };
    bench.engine.set_faults(&crossed).await;
    let chat = chat(stream, 5);
    let unblock = async {
        bench.until(|l| l.queued == 2).await;
        bench.client.cancel(bench.engine.addr(), "x").await.unwrap();
    };
    let (a, b, ()) = tokio::join!(
        async { crossed_with(bench.dispatch(&chat, options("a")).await).await },
        async { crossed_with(bench.dispatch(&chat, options("b")).await).await },
        unblock,
    );
    assert_eq!((&*a, &*b), ("b", "a"));
    bench.stop().await;
}

#[tokio::test]
async fn stream_crossed_half_way_is_a_mismatch() {
    let bench = Bench::loaded(quick()).await;
    let mut stream = bench.stream("a", ENDLESS).await;
    let _other = bench.stream("b", ENDLESS).await;
    stream.next().await.unwrap().unwrap();
    let crossed = EngineFaults {
        cross_answers: Some(true),
        ..EngineFaults::default()
    };
    bench.engine.set_faults(&crossed).await;
    let error = failure(&mut stream).await;
    assert!(matches!(error, StreamError::Mismatch { .. }), "{error}");
    bench.stop().await;
}

#[tokio::test]
async fn wrong_model_is_a_mismatch() {
    let bench = Bench::loaded(quick()).await;
    let wrong = EngineFaults {
        wrong_model: Some(true),
        ..EngineFaults::default()
    };
    bench.engine.set_faults(&wrong).await;
    let error = bench.whole("a", 2).await.unwrap_err();
    assert!(matches!(error, DispatchError::Mismatch(_)), "{error}");
    bench.stop().await;
}

struct Refused {
    model: &'static str,
    faults: EngineFaults,
    batch_limit: u32,
    expect: RefusalCode,
}

const NO_FAULTS: EngineFaults = EngineFaults {
    fail_loads: None,
    fail_load_percent: None,
    silent_connections: None,
    delay_answers_ms: None,
    cross_answers: None,
    leaving: None,
    wrong_model: None,
};
const LEAVING: EngineFaults = EngineFaults {
    leaving: Some(true),
    ..NO_FAULTS
};

#[test_case(Refused { model: "price@v2", faults: NO_FAULTS, batch_limit: 1,
    expect: RefusalCode::AdapterNotLoaded }; "another version")]
#[test_case(Refused { model: "price", faults: NO_FAULTS, batch_limit: 1,
    expect: RefusalCode::BadRequest }; "no version")]
#[test_case(Refused { model: MODEL, faults: NO_FAULTS, batch_limit: 0,
    expect: RefusalCode::Full }; "full")]
#[test_case(Refused { model: MODEL, faults: LEAVING, batch_limit: 1,
    expect: RefusalCode::Leaving }; "leaving")]
#[tokio::test]
async fn refusals_run_nothing(case: Refused) {
    let mut cfg = quick();
    cfg.batch_limit = case.batch_limit;
    cfg.queue_limit = 0;
    let bench = Bench::loaded(cfg).await;
    bench.engine.set_faults(&case.faults).await;
    let chat = ChatRequest {
        model: case.model.into(),
        ..chat(false, 2)
    };
    match bench.dispatch(&chat, options("a")).await {
        Err(DispatchError::Refused(refusal)) => assert_eq!(refusal.code, case.expect),
        other => panic!("expected a refusal, got {other:?}"),
    }
    assert_eq!(bench.engine.record().runs, []);
    bench.stop().await;
}

#[tokio::test]
async fn leaving_engine_finishes_what_it_has() {
    let bench = Bench::loaded(quick()).await;
    let mut stream = bench.stream("a", 30).await;
    bench.engine.drain().await;
    assert_eq!(text(&mut stream).await, expected("a", 0, 30));
    assert!(bench.listing().await.leaving);
    bench.stop().await;
}

#[tokio::test]
async fn cancelled_run_stops() {
    let bench = Bench::loaded(quick()).await;
    let mut stream = bench.stream("a", ENDLESS).await;
    stream.next().await.unwrap().unwrap();
    let addr = bench.engine.addr();
    let cancelled = bench.client.cancel(addr, "a").await;
    assert_eq!(cancelled, Ok(Cancellation::Cancelled));
    let error = failure(&mut stream).await;
    assert!(matches!(error, StreamError::Cut { .. }), "{error}");
    let again = bench.client.cancel(addr, "a").await;
    assert_eq!(again, Ok(Cancellation::UnknownStream));
    let resumed = bench.client.resume(addr, "a", MODEL, 0).await;
    assert_eq!(resumed.unwrap_err(), ResumeError::UnknownStream);
    assert!(!bench.engine.record().runs[0].finished);
    bench.stop().await;
}

#[tokio::test]
async fn attempt_that_comes_twice_is_noted() {
    let bench = Bench::loaded(quick()).await;
    bench.whole("a", 2).await.unwrap();
    let again = bench.whole("a", 2).await;
    assert_eq!(again, Err(DispatchError::Lost(LostReason::Closed)));
    let record = bench.engine.record();
    let attempt = "a".into();
    assert_eq!(record.violations, [Violation::DuplicateAttempt { attempt }]);
    assert_eq!(record.runs.len(), 1);
    bench.stop().await;
}

#[tokio::test]
async fn batch_is_bounded_and_starts_by_priority() {
    let mut cfg = quick();
    cfg.batch_limit = 1;
    cfg.queue_limit = 3;
    let bench = Bench::loaded(cfg).await;
    let _blocking = bench.stream("blocking", ENDLESS).await;
    bench.until(|l| l.running == 1).await;
    let mut streams = Vec::new();
    for (attempt, priority) in [("low", -1), ("high", 5), ("high-later", 5)] {
        let options = DispatchOptions {
            priority,
            ..options(attempt)
        };
        let reply = bench.dispatch(&chat(true, 2), options).await.unwrap();
        streams.push(reply);
    }
    assert_eq!(bench.listing().await.queued, 3);
    let addr = bench.engine.addr();
    bench.client.cancel(addr, "blocking").await.unwrap();
    bench.until(|l| l.running + l.queued == 0).await;
    let record = bench.engine.record();
    let started: Vec<&str> = record.runs.iter().map(|r| &*r.attempt).collect();
    assert_eq!(started, ["blocking", "high", "high-later", "low"]);
    assert_eq!(bench.engine.stats().max_running, 1);
    bench.stop().await;
}
