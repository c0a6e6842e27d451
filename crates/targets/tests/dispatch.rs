//! How requests to engines end, and what is proved about them.

mod support;

use reedford_targets::{DispatchError, DispatchResponse, LostReason, NotSentReason, TargetClient};
use reedford_wire::engine::RefusalCode;
use std::time::Duration;
use support::fake::{Fake, Step};
use support::{ATTEMPT, MODEL, answer, chat, client, options, patient, refusal, whole};
use test_case::test_case;

/// How a request ended, without the parts that a case can't know.
#[derive(Debug, Eq, PartialEq)]
enum Outcome {
    Lost(LostReason),
    Mismatch { got: Box<str> },
    NotSent,
    Refused(RefusalCode),
    Stream,
    Whole,
}

fn outcome(result: Result<DispatchResponse, DispatchError>) -> Outcome {
    match result {
        Ok(DispatchResponse::Complete(..)) => Outcome::Whole,
        Ok(DispatchResponse::Stream(_)) => Outcome::Stream,
        Err(DispatchError::Lost(reason)) => Outcome::Lost(reason),
        Err(DispatchError::Mismatch(m)) => Outcome::Mismatch { got: m.got },
        Err(DispatchError::NotSent(_)) => Outcome::NotSent,
        Err(DispatchError::Refused(r)) => Outcome::Refused(r.code),
    }
}

struct Case {
    step: Step,
    expect: Outcome,
}

fn sends(text: String, expect: Outcome) -> Case {
    Case {
        step: Step::Send(text),
        expect,
    }
}

fn refuses(status: &str, code: &str, expect: RefusalCode) -> Case {
    sends(refusal(status, code, ATTEMPT), Outcome::Refused(expect))
}

fn lost(step: Step, reason: LostReason) -> Case {
    Case {
        step,
        expect: Outcome::Lost(reason),
    }
}

fn mismatch(text: String, got: &str) -> Case {
    sends(text, Outcome::Mismatch { got: got.into() })
}

#[test_case(sends(whole(ATTEMPT, MODEL), Outcome::Whole); "whole answer")]
#[test_case(refuses("409 x", "adapter_not_loaded", RefusalCode::AdapterNotLoaded); "not loaded")]
#[test_case(refuses("503 x", "full", RefusalCode::Full); "full")]
#[test_case(refuses("503 x", "leaving", RefusalCode::Leaving); "leaving")]
#[test_case(refuses("400 x", "bad_request", RefusalCode::BadRequest); "bad request")]
#[test_case(sends(refusal("409 x", "full", ATTEMPT), Outcome::Lost(LostReason::Status(409)));
    "code does not fit the status")]
#[test_case(sends(refusal("503 x", "odd", ATTEMPT), Outcome::Lost(LostReason::Status(503)));
    "unknown code")]
#[test_case(sends(refusal("500 x", "full", ATTEMPT), Outcome::Lost(LostReason::Status(500)));
    "unknown status")]
#[test_case(sends(answer("503 x", "", "{\"code\":\"full\",\"message\":\"\"}"),
    Outcome::Lost(LostReason::NoAttemptId)); "refusal of nobody's request")]
#[test_case(mismatch(refusal("503 x", "full", "a-2"), "a-2"); "refusal of another request")]
#[test_case(mismatch(refusal("503 x", "full", "a-1\r\nx-attempt-id: a-2"), "a-2");
    "refusal of two requests")]
#[test_case(mismatch(refusal("503 x", "full", "\u{fd}"), "\u{fd}"); "refusal under garbage")]
#[test_case(mismatch(whole("a-2", MODEL), "a-2"); "another attempt's answer")]
#[test_case(mismatch(whole(ATTEMPT, "price@v2"), "price@v2"); "another version's answer")]
#[test_case(mismatch(answer("200 x", "x-model: price@v0\r\n", "{}"), "price@v0");
    "another model in the head")]
#[test_case(lost(Step::Close, LostReason::Closed); "closed without an answer")]
#[test_case(lost(Step::SendClose("HTTP/1.1 200 OK\r\ncontent-length: 90\r\n\r\n{".into()),
    LostReason::Closed); "closed inside the answer")]
#[test_case(lost(Step::SendClose("garbage\r\n\r\n".into()), LostReason::Closed); "garbage")]
#[test_case(sends(answer("200 OK", "", "{}"), Outcome::Lost(LostReason::Unreadable));
    "unreadable body")]
#[tokio::test]
async fn ends_as(case: Case) {
    let fake = Fake::start(vec![case.step]).await;
    let client = patient();
    let result = client.dispatch(fake.addr, &chat(false), options()).await;
    assert_eq!(outcome(result), case.expect);
    assert_eq!(fake.seen().len(), 1);
    client.close().await;
}

#[test_case(Step::Hang, LostReason::FirstByteTimeout; "no head")]
#[test_case(Step::SendHang("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{".into()),
    LostReason::ProgressTimeout; "half a body")]
#[tokio::test]
async fn silence_is_lost(step: Step, reason: LostReason) {
    let fake = Fake::start(vec![step]).await;
    let client = client(Duration::from_millis(50));
    let result = client.dispatch(fake.addr, &chat(false), options()).await;
    assert_eq!(outcome(result), Outcome::Lost(reason));
    client.close().await;
}

#[tokio::test]
async fn deadline_bounds_a_whole_answer() {
    let fake = Fake::start(vec![Step::Hang]).await;
    let client = patient();
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
    let client = patient();
    let reason = not_sent(&client, addr).await;
    assert_eq!(
        reason,
        NotSentReason::Connect(std::io::ErrorKind::ConnectionRefused)
    );
    client.close().await;
}

#[tokio::test]
async fn closed_client_sends_nothing() {
    let fake = Fake::start(Vec::new()).await;
    let client = patient();
    client.close().await;
    let reason = not_sent(&client, fake.addr).await;
    assert_eq!(reason, NotSentReason::ClientClosed);
    assert!(fake.seen().is_empty());
}

#[tokio::test]
async fn bad_header_value_is_not_sent() {
    let fake = Fake::start(Vec::new()).await;
    let client = patient();
    let mut options = options();
    options.attempt = "a\r\nb".into();
    let result = client.dispatch(fake.addr, &chat(false), options).await;
    assert_eq!(outcome(result), Outcome::NotSent);
    assert!(fake.seen().is_empty());
    client.close().await;
}
