//! Outcomes of orders, of requests to plain services, and of resuming and
//! cancelling streams.

mod support;

use bytes::Bytes;
use reedford_targets::{
    CallError, Cancellation, DispatchError, LostReason, OrderError, PlainRequest, ResumeError,
};
use reedford_wire::engine::{AdapterOrder, RefusalCode};
use std::time::Duration;
use support::fake::{FakeTarget, Step};
use support::{ATTEMPT, MODEL, client_with_long_timeout, client_with_timeout, refusal, response};
use test_case::test_case;

#[derive(Debug, Eq, PartialEq)]
enum Outcome {
    Done,
    Lost(LostReason),
    Mismatch,
    NotSent,
    Refused(RefusalCode),
    Status(u16),
}

struct Case {
    step: Step,
    expected: Outcome,
}

fn responds(text: String, expected: Outcome) -> Case {
    Case {
        step: Step::Send(text),
        expected,
    }
}

fn order() -> AdapterOrder {
    AdapterOrder {
        adapter: "price".into(),
        version: "v1".into(),
        fence: 7,
    }
}

const ORDER_DONE: &str = r#"{"boot_id":"b"}"#;

#[test_case(responds(response("200 OK", "", ORDER_DONE), Outcome::Done); "done")]
#[test_case(responds(refusal("409 x", "no_slot", ""), Outcome::Refused(RefusalCode::NoSlot));
    "no slot")]
#[test_case(responds(refusal("412 x", "old_fence", ""), Outcome::Refused(RefusalCode::OldFence));
    "old fence")]
#[test_case(responds(refusal("502 x", "load_failed", ""), Outcome::Refused(RefusalCode::LoadFailed));
    "load failed")]
#[test_case(responds(response("502 x", "", "proxy"), Outcome::Lost(LostReason::Status(502)));
    "502 that is no refusal")]
#[test_case(responds(response("200 OK", "", "?"), Outcome::Lost(LostReason::Unreadable)); "undecodable")]
#[test_case(Case { step: Step::Close, expected: Outcome::Lost(LostReason::Closed) }; "closed")]
#[tokio::test]
async fn order_outcome(case: Case) {
    let fake = FakeTarget::start(vec![case.step.clone(), case.step]).await;
    let client = client_with_long_timeout();
    let limit = Duration::from_secs(20);
    for result in [
        client.load(fake.addr, &order(), limit).await,
        client.unload(fake.addr, &order()).await,
    ] {
        let outcome = match result {
            Ok(done) if &*done.boot_id == "b" => Outcome::Done,
            Ok(done) => panic!("{done:?}"),
            Err(OrderError::NotSent(_)) => Outcome::NotSent,
            Err(OrderError::Refused(r)) => Outcome::Refused(r.code),
            Err(OrderError::Unknown(reason)) => Outcome::Lost(reason),
        };
        assert_eq!(outcome, case.expected);
    }
    client.close().await;
}

fn response_with_attempt(status: &str, attempt: &str, body: &str) -> String {
    response(status, &format!("x-attempt-id: {attempt}\r\n"), body)
}

#[test_case(responds(response_with_attempt("200 OK", ATTEMPT, "ok"), Outcome::Done); "done")]
#[test_case(responds(response_with_attempt("500 x", ATTEMPT, "oops"), Outcome::Status(500)); "error status of the service")]
#[test_case(responds(response_with_attempt("200 OK", "a-2", "ok"), Outcome::Mismatch); "response to another request")]
#[test_case(responds(response("200 OK", "", "ok"), Outcome::Lost(LostReason::NoAttemptId));
    "response without attempt id")]
#[test_case(responds(refusal("503 x", "leaving", ATTEMPT), Outcome::Refused(RefusalCode::Leaving));
    "leaving")]
#[test_case(responds(refusal("503 x", "leaving", "a-2"), Outcome::Mismatch);
    "refusal of another request")]
#[test_case(Case { step: Step::Close, expected: Outcome::Lost(LostReason::Closed) }; "closed")]
#[tokio::test]
async fn plain_request_outcome(case: Case) {
    let fake = FakeTarget::start(vec![case.step]).await;
    let client = client_with_long_timeout();
    let call = PlainRequest {
        path_and_query: "/book?day=1".into(),
        content_type: Some("text/plain".into()),
        body: Bytes::from_static(b"tanker"),
        attempt: ATTEMPT.into(),
        idempotency_key: Some("k".into()),
        traceparent: None,
        deadline: None,
    };
    let outcome = match client.plain(fake.addr, call).await {
        Ok(res) if res.status == 200 => Outcome::Done,
        Ok(res) => Outcome::Status(res.status),
        Err(DispatchError::Lost(reason)) => Outcome::Lost(reason),
        Err(DispatchError::Mismatch(_)) => Outcome::Mismatch,
        Err(DispatchError::NotSent(_)) => Outcome::NotSent,
        Err(DispatchError::Refused(r)) => Outcome::Refused(r.code),
    };
    assert_eq!(outcome, case.expected);
    let head = &fake.requests()[0].head;
    assert!(head.starts_with("POST /book?day=1 HTTP/1.1"), "{head}");
    assert!(head.contains("idempotency-key: k"), "{head}");
    client.close().await;
}

#[test_case("200 OK", Ok(Cancellation::Cancelled); "cancelled")]
#[test_case("404 x", Ok(Cancellation::UnknownStream); "unknown")]
#[test_case("500 x", Err(CallError::Lost(LostReason::Status(500))); "error")]
#[tokio::test]
async fn cancel_outcome(status: &str, expected: Result<Cancellation, CallError>) {
    let fake = FakeTarget::start(vec![Step::Send(response(status, "", "{}"))]).await;
    let client = client_with_long_timeout();
    assert_eq!(client.cancel(fake.addr, ATTEMPT).await, expected);
    client.close().await;
}

#[test_case(Step::Send(response("404 x", "", "{}")), ResumeError::UnknownStream; "unknown")]
#[test_case(Step::Send(response("200 OK", "", "{}")), ResumeError::Lost(LostReason::Unreadable);
    "no event stream")]
#[test_case(Step::Hang, ResumeError::Lost(LostReason::FirstByteTimeout); "silent")]
#[tokio::test]
async fn resume_error(step: Step, expected: ResumeError) {
    let fake = FakeTarget::start(vec![step]).await;
    let client = client_with_timeout(Duration::from_millis(300));
    let result = client.resume(fake.addr, ATTEMPT, MODEL, 4).await;
    assert_eq!(result.unwrap_err(), expected);
    assert!(
        fake.requests()[0]
            .head
            .starts_with("GET /v1/streams/a-1?from=4 ")
    );
    client.close().await;
}
