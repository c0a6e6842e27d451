//! Outcomes of requests to engines.

mod support;

use reedford_targets::{DispatchError, DispatchResponse, LostReason, NotSentReason, TargetClient};
use reedford_wire::engine::RefusalCode;
use std::time::Duration;
use support::fake::{FakeTarget, Step};
use support::{
    ATTEMPT, MODEL, chat, chat_response, client_with_long_timeout, client_with_timeout, options,
    refusal, response,
};
use test_case::test_case;

/// Outcome of a request, without the parts that a case can't predict.
#[derive(Debug, Eq, PartialEq)]
enum Outcome {
    Lost(LostReason),
    Mismatch { got: Box<str> },
    NotSent,
    Refused(RefusalCode),
    Stream,
    Complete,
}

fn outcome(result: Result<DispatchResponse, DispatchError>) -> Outcome {
    match result {
        Ok(DispatchResponse::Complete(..)) => Outcome::Complete,
        Ok(DispatchResponse::Stream(_)) => Outcome::Stream,
        Err(DispatchError::Lost(reason)) => Outcome::Lost(reason),
        Err(DispatchError::Mismatch(m)) => Outcome::Mismatch { got: m.got },
        Err(DispatchError::NotSent(_)) => Outcome::NotSent,
        Err(DispatchError::Refused(r)) => Outcome::Refused(r.code),
    }
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

fn refuses(status: &str, code: &str, expected: RefusalCode) -> Case {
    responds(refusal(status, code, ATTEMPT), Outcome::Refused(expected))
}

fn lost(step: Step, reason: LostReason) -> Case {
    Case {
        step,
        expected: Outcome::Lost(reason),
    }
}

fn mismatch(text: String, got: &str) -> Case {
    responds(text, Outcome::Mismatch { got: got.into() })
}

#[test_case(responds(chat_response(ATTEMPT, MODEL), Outcome::Complete); "complete response")]
#[test_case(refuses("409 x", "adapter_not_loaded", RefusalCode::AdapterNotLoaded); "not loaded")]
#[test_case(refuses("503 x", "full", RefusalCode::Full); "full")]
#[test_case(refuses("503 x", "leaving", RefusalCode::Leaving); "leaving")]
#[test_case(refuses("400 x", "bad_request", RefusalCode::BadRequest); "bad request")]
#[test_case(responds(refusal("409 x", "full", ATTEMPT), Outcome::Lost(LostReason::Status(409)));
    "code does not fit the status")]
#[test_case(responds(refusal("503 x", "odd", ATTEMPT), Outcome::Lost(LostReason::Status(503)));
    "unknown code")]
#[test_case(responds(refusal("500 x", "full", ATTEMPT), Outcome::Lost(LostReason::Status(500)));
    "unknown status")]
#[test_case(responds(response("503 x", "", "{\"code\":\"full\",\"message\":\"\"}"),
    Outcome::Lost(LostReason::NoAttemptId)); "refusal without attempt id")]
#[test_case(mismatch(refusal("503 x", "full", "a-2"), "a-2"); "refusal of another request")]
#[test_case(mismatch(refusal("503 x", "full", "a-1\r\nx-attempt-id: a-2"), "a-2");
    "refusal with two attempt ids")]
#[test_case(mismatch(refusal("503 x", "full", "\u{fd}"), "\u{fd}"); "refusal with an attempt id that is not ASCII")]
#[test_case(mismatch(chat_response("a-2", MODEL), "a-2"); "response to another attempt")]
#[test_case(mismatch(chat_response(ATTEMPT, "price@v2"), "price@v2"); "response from another version")]
#[test_case(mismatch(response("200 x", "x-model: price@v0\r\n", "{}"), "price@v0");
    "another model in the head")]
#[test_case(lost(Step::Close, LostReason::Closed); "closed without a response")]
#[test_case(lost(Step::SendClose("HTTP/1.1 200 OK\r\ncontent-length: 90\r\n\r\n{".into()),
    LostReason::Closed); "closed inside the response")]
#[test_case(lost(Step::SendClose("garbage\r\n\r\n".into()), LostReason::Closed); "not HTTP")]
#[test_case(responds(response("200 OK", "", "{}"), Outcome::Lost(LostReason::Unreadable));
    "unreadable body")]
#[tokio::test]
async fn request_outcome(case: Case) {
    let fake = FakeTarget::start(vec![case.step]).await;
    let client = client_with_long_timeout();
    let result = client.dispatch(fake.addr, &chat(false), options()).await;
    assert_eq!(outcome(result), case.expected);
    assert_eq!(fake.requests().len(), 1);
    client.close().await;
}

#[test_case(Step::Hang, LostReason::FirstByteTimeout; "no response head")]
#[test_case(Step::SendHang("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{".into()),
    LostReason::ProgressTimeout; "incomplete body")]
#[tokio::test]
async fn silent_target_is_reported_as_lost(step: Step, reason: LostReason) {
    let fake = FakeTarget::start(vec![step]).await;
    let client = client_with_timeout(Duration::from_millis(50));
    let result = client.dispatch(fake.addr, &chat(false), options()).await;
    assert_eq!(outcome(result), Outcome::Lost(reason));
    client.close().await;
}

#[tokio::test]
async fn deadline_limits_a_response_that_is_not_streamed() {
    let fake = FakeTarget::start(vec![Step::Hang]).await;
    let client = client_with_long_timeout();
    let mut options = options();
    options.deadline = Some(Duration::from_millis(50));
    let result = client.dispatch(fake.addr, &chat(false), options).await;
    assert_eq!(outcome(result), Outcome::Lost(LostReason::Deadline));
    client.close().await;
}

async fn not_sent(client: &TargetClient, addr: std::net::SocketAddr) -> NotSentReason {
    match client.dispatch(addr, &chat(false), options()).await {
        Err(DispatchError::NotSent(reason)) => reason,
        other => panic!("expected not sent, got {other:?}"),
    }
}

#[tokio::test]
async fn connect_refused_is_not_sent() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let client = client_with_long_timeout();
    let reason = not_sent(&client, addr).await;
    assert_eq!(
        reason,
        NotSentReason::Connect(std::io::ErrorKind::ConnectionRefused)
    );
    client.close().await;
}

#[tokio::test]
async fn closed_client_sends_nothing() {
    let fake = FakeTarget::start(Vec::new()).await;
    let client = client_with_long_timeout();
    client.close().await;
    let reason = not_sent(&client, fake.addr).await;
    assert_eq!(reason, NotSentReason::ClientClosed);
    assert!(fake.requests().is_empty());
}

#[tokio::test]
async fn invalid_header_value_is_not_sent() {
    let fake = FakeTarget::start(Vec::new()).await;
    let client = client_with_long_timeout();
    let mut options = options();
    options.attempt = "a\r\nb".into();
    let result = client.dispatch(fake.addr, &chat(false), options).await;
    assert_eq!(outcome(result), Outcome::NotSent);
    assert!(fake.requests().is_empty());
    client.close().await;
}
