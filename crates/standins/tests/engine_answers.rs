//! Responses of the engine stand-in, as the client reads them.

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
    ENDLESS_TOKENS, EngineHarness, MODEL, chat, client, event_text, expected, options, quick,
    read_to_end, read_until_error,
};
use test_case::test_case;

#[test_case(1; "one token")]
#[test_case(7; "seven tokens")]
#[tokio::test]
async fn complete_and_streamed_text_are_the_same(tokens: u32) {
    let harness = EngineHarness::loaded(quick()).await;
    let whole = harness.complete("a", tokens).await.unwrap();
    let streamed = read_to_end(&mut harness.stream("b", tokens).await).await;
    assert_eq!(whole, expected("a", 0, tokens));
    assert_eq!(streamed, expected("b", 0, tokens));
    let record = harness.engine.record();
    assert_eq!(record.runs.len(), 2);
    assert!(record.runs.iter().all(|r| r.finished));
    assert_eq!(record.violations, []);
    assert_eq!(harness.engine.stats().tokens, u64::from(2 * tokens));
    harness.stop().await;
}

#[test_case(0; "from the start")]
#[test_case(3; "from the middle")]
#[tokio::test]
async fn closed_stream_continues_and_is_resumed(read: u32) {
    let harness = EngineHarness::loaded(quick()).await;
    let mut stream = harness.stream("a", 20).await;
    let mut received = String::new();
    for _ in 0..read {
        received += &event_text(&stream.next().await.unwrap().unwrap().raw);
    }
    let from = stream.next_index();
    drop(stream);
    let addr = harness.engine.addr();
    let mut resumed = harness.client.resume(addr, "a", MODEL, from).await.unwrap();
    received += &read_to_end(&mut resumed).await;
    assert_eq!(received, expected("a", 0, 20));
    assert_eq!(harness.engine.record().runs.len(), 1);
    harness.stop().await;
}

#[tokio::test]
async fn silent_stream_is_detected_and_resumed() {
    let harness = EngineHarness::loaded(quick()).await;
    let short_client = client(Duration::from_secs(1));
    let addr = harness.engine.addr();
    let reply = short_client
        .dispatch(addr, &chat(true, ENDLESS_TOKENS), options("a"))
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
    harness.engine.set_faults(&silent).await;
    let StreamError::Silent { received } = read_until_error(&mut stream).await else {
        panic!("expected a silent stream");
    };
    let mut resumed = short_client
        .resume(addr, "a", MODEL, received)
        .await
        .unwrap();
    let next = resumed.next().await.unwrap().unwrap();
    assert_eq!(next.index, received);
    short_client.close().await;
    harness.stop().await;
}

/// Returns the attempt id that a crossed response carried.
async fn crossed_attempt(result: Result<DispatchResponse, DispatchError>) -> Box<str> {
    let mut stream = match result {
        Ok(DispatchResponse::Stream(stream)) => stream,
        Ok(DispatchResponse::Complete(..)) => panic!("a crossed response was accepted"),
        Err(DispatchError::Mismatch(mismatch)) => return mismatch.got,
        Err(other) => panic!("expected a mismatch, got {other}"),
    };
    match read_until_error(&mut stream).await {
        StreamError::Mismatch { mismatch, .. } => mismatch.got,
        other => panic!("expected a mismatch, got {other}"),
    }
}

#[test_case(false; "whole")]
#[test_case(true; "streamed")]
#[tokio::test]
async fn crossed_responses_are_mismatches(stream: bool) {
    let mut cfg = quick();
    cfg.batch_limit = 2;
    let harness = EngineHarness::loaded(cfg).await;
    let _blocking = (
        harness.stream("x", ENDLESS_TOKENS).await,
        harness.stream("y", ENDLESS_TOKENS).await,
    );
    harness.wait_for_listing(|l| l.running == 2).await;
    let crossed = EngineFaults {
        cross_answers: Some(true),
        ..EngineFaults::default()
    };
    harness.engine.set_faults(&crossed).await;
    let chat = chat(stream, 5);
    let unblock = async {
        harness.wait_for_listing(|l| l.queued == 2).await;
        harness
            .client
            .cancel(harness.engine.addr(), "x")
            .await
            .unwrap();
    };
    let (a, b, ()) = tokio::join!(
        async { crossed_attempt(harness.dispatch(&chat, options("a")).await).await },
        async { crossed_attempt(harness.dispatch(&chat, options("b")).await).await },
        unblock,
    );
    assert_eq!((&*a, &*b), ("b", "a"));
    harness.stop().await;
}

#[tokio::test]
async fn stream_crossed_midway_is_a_mismatch() {
    let harness = EngineHarness::loaded(quick()).await;
    let mut stream = harness.stream("a", ENDLESS_TOKENS).await;
    let _other = harness.stream("b", ENDLESS_TOKENS).await;
    stream.next().await.unwrap().unwrap();
    let crossed = EngineFaults {
        cross_answers: Some(true),
        ..EngineFaults::default()
    };
    harness.engine.set_faults(&crossed).await;
    let error = read_until_error(&mut stream).await;
    assert!(matches!(error, StreamError::Mismatch { .. }), "{error}");
    harness.stop().await;
}

#[tokio::test]
async fn wrong_model_is_a_mismatch() {
    let harness = EngineHarness::loaded(quick()).await;
    let wrong = EngineFaults {
        wrong_model: Some(true),
        ..EngineFaults::default()
    };
    harness.engine.set_faults(&wrong).await;
    let error = harness.complete("a", 2).await.unwrap_err();
    assert!(matches!(error, DispatchError::Mismatch(_)), "{error}");
    harness.stop().await;
}

struct RefusalCase {
    model: &'static str,
    faults: EngineFaults,
    batch_limit: u32,
    expected: RefusalCode,
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

#[test_case(RefusalCase { model: "price@v2", faults: NO_FAULTS, batch_limit: 1,
    expected: RefusalCode::AdapterNotLoaded }; "another version")]
#[test_case(RefusalCase { model: "price", faults: NO_FAULTS, batch_limit: 1,
    expected: RefusalCode::BadRequest }; "no version")]
#[test_case(RefusalCase { model: MODEL, faults: NO_FAULTS, batch_limit: 0,
    expected: RefusalCode::Full }; "full")]
#[test_case(RefusalCase { model: MODEL, faults: LEAVING, batch_limit: 1,
    expected: RefusalCode::Leaving }; "leaving")]
#[tokio::test]
async fn refusals_run_nothing(case: RefusalCase) {
    let mut cfg = quick();
    cfg.batch_limit = case.batch_limit;
    cfg.queue_limit = 0;
    let harness = EngineHarness::loaded(cfg).await;
    harness.engine.set_faults(&case.faults).await;
    let chat = ChatRequest {
        model: case.model.into(),
        ..chat(false, 2)
    };
    match harness.dispatch(&chat, options("a")).await {
        Err(DispatchError::Refused(refusal)) => assert_eq!(refusal.code, case.expected),
        other => panic!("expected a refusal, got {other:?}"),
    }
    assert_eq!(harness.engine.record().runs, []);
    harness.stop().await;
}

#[tokio::test]
async fn leaving_engine_finishes_its_running_requests() {
    let harness = EngineHarness::loaded(quick()).await;
    let mut stream = harness.stream("a", 30).await;
    harness.engine.drain().await;
    assert_eq!(read_to_end(&mut stream).await, expected("a", 0, 30));
    assert!(harness.listing().await.leaving);
    harness.stop().await;
}

#[tokio::test]
async fn cancelled_run_stops() {
    let harness = EngineHarness::loaded(quick()).await;
    let mut stream = harness.stream("a", ENDLESS_TOKENS).await;
    stream.next().await.unwrap().unwrap();
    let addr = harness.engine.addr();
    let cancelled = harness.client.cancel(addr, "a").await;
    assert_eq!(cancelled, Ok(Cancellation::Cancelled));
    let error = read_until_error(&mut stream).await;
    assert!(matches!(error, StreamError::Cut { .. }), "{error}");
    let again = harness.client.cancel(addr, "a").await;
    assert_eq!(again, Ok(Cancellation::UnknownStream));
    let resumed = harness.client.resume(addr, "a", MODEL, 0).await;
    assert_eq!(resumed.unwrap_err(), ResumeError::UnknownStream);
    assert!(!harness.engine.record().runs[0].finished);
    harness.stop().await;
}

#[tokio::test]
async fn duplicate_attempt_is_recorded_as_a_violation() {
    let harness = EngineHarness::loaded(quick()).await;
    harness.complete("a", 2).await.unwrap();
    let again = harness.complete("a", 2).await;
    assert_eq!(again, Err(DispatchError::Lost(LostReason::Closed)));
    let record = harness.engine.record();
    let attempt = "a".into();
    assert_eq!(record.violations, [Violation::DuplicateAttempt { attempt }]);
    assert_eq!(record.runs.len(), 1);
    harness.stop().await;
}

#[tokio::test]
async fn batch_is_bounded_and_starts_by_priority() {
    let mut cfg = quick();
    cfg.batch_limit = 1;
    cfg.queue_limit = 3;
    let harness = EngineHarness::loaded(cfg).await;
    let _blocking = harness.stream("blocking", ENDLESS_TOKENS).await;
    harness.wait_for_listing(|l| l.running == 1).await;
    let mut streams = Vec::new();
    for (attempt, priority) in [("low", -1), ("high", 5), ("high-later", 5)] {
        let options = DispatchOptions {
            priority,
            ..options(attempt)
        };
        let reply = harness.dispatch(&chat(true, 2), options).await.unwrap();
        streams.push(reply);
    }
    assert_eq!(harness.listing().await.queued, 3);
    let addr = harness.engine.addr();
    harness.client.cancel(addr, "blocking").await.unwrap();
    harness
        .wait_for_listing(|l| l.running + l.queued == 0)
        .await;
    let record = harness.engine.record();
    let started: Vec<&str> = record.runs.iter().map(|r| &*r.attempt).collect();
    assert_eq!(started, ["blocking", "high", "high-later", "low"]);
    assert_eq!(harness.engine.stats().max_running, 1);
    harness.stop().await;
}
