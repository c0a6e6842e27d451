//! Bounds on what targets send.

mod support;

use bytes::Bytes;
use reedford_targets::{DispatchError, LostReason, PlainRequest, TargetClient};
use std::net::SocketAddr;
use support::fake::{FakeTarget, Step};
use support::{ATTEMPT, client_with_long_timeout};
use test_case::test_case;

const KIB: usize = 1 << 10;
const CONTINUE: &str = "HTTP/1.1 100 Continue\r\n\r\n";

/// Calls a plain service, and returns the length of the response's body.
async fn call(client: &TargetClient, addr: SocketAddr) -> Result<usize, DispatchError> {
    let req = PlainRequest {
        path_and_query: "/run".into(),
        content_type: None,
        body: Bytes::new(),
        attempt: ATTEMPT.into(),
        idempotency_key: None,
        traceparent: None,
        deadline: None,
    };
    client.plain(addr, req).await.map(|res| res.body.len())
}

/// A response whose head has `head` bytes, and whose body `body`.
fn response(head: usize, body: usize) -> String {
    let fields = format!("x-attempt-id: {ATTEMPT}\r\ncontent-length: {body}\r\n");
    let begin = format!("HTTP/1.1 200 OK\r\n{fields}x-long: ");
    let filler = "x".repeat(head - begin.len() - 4);
    format!("{begin}{filler}\r\n\r\n{}", "x".repeat(body))
}

/// A response with a body in chunks, which begins with `body`.
fn chunked(body: &str) -> String {
    let fields = format!("x-attempt-id: {ATTEMPT}\r\ntransfer-encoding: chunked\r\n");
    format!("HTTP/1.1 200 OK\r\n{fields}\r\n{body}")
}

/// As many informational responses as fit into `len` bytes.
fn informational(len: usize) -> String {
    CONTINUE.repeat(len / CONTINUE.len())
}

struct Case {
    response: String,
    expected: Result<usize, LostReason>,
}

/// Guards against responses without an end of their head or their body, and against bounds
/// that sound responses pass.
#[test_case(Case { response: response(64 * KIB - 1, 5), expected: Ok(5) }; "a long head")]
#[test_case(Case { response: response(64 * KIB - 1, 1 << 20), expected: Ok(1 << 20) };
    "a long head and a body")]
#[test_case(Case { response: response(200, 7 << 20), expected: Ok(7 << 20) }; "a large body")]
#[test_case(Case { response: informational(60 * KIB) + &response(4 * KIB, 1 << 20), expected: Ok(1 << 20) };
    "informational responses")]
#[test_case(Case { response: chunked(&("1\r\nx\r\n".repeat(60_000) + "0\r\n\r\n")), expected: Ok(60_000) };
    "small chunks")]
#[test_case(Case { response: chunked(&(format!("40\r\n{}\r\n", "x".repeat(64)).repeat(100_000) + "0\r\n\r\n")),
    expected: Ok(6_400_000) }; "many chunks")]
#[test_case(Case { response: response(129 * KIB, 5), expected: Err(LostReason::HeadTooLong) };
    "a head that is too long")]
#[test_case(Case { response: informational(144 * KIB) + &response(200, 5), expected: Err(LostReason::HeadTooLong) };
    "too many informational responses")]
#[test_case(Case { response: "\r\n".repeat(72 * KIB) + &response(200, 5), expected: Err(LostReason::HeadTooLong) };
    "blank lines before the head")]
#[test_case(Case { response: chunked(&("5".to_owned() + &" ".repeat(320 * KIB))), expected: Err(LostReason::NoProgress) };
    "spaces after the size of a chunk")]
#[test_case(Case { response: chunked(&"0".repeat(320 * KIB)), expected: Err(LostReason::NoProgress) };
    "zeros before the size of a chunk")]
#[test_case(Case { response: chunked(&"1\r\nx\r\n".repeat(200_000)), expected: Err(LostReason::NoProgress) };
    "too many small chunks")]
#[tokio::test]
async fn outcome(case: Case) {
    let fake = FakeTarget::start(vec![Step::SendHang(case.response)]).await;
    let client = client_with_long_timeout();
    let result = call(&client, fake.addr).await;
    assert_eq!(result, case.expected.map_err(DispatchError::Lost));
    client.close().await;
}

/// Guards against bytes that are counted from one request of a connection to the next.
#[test_case(informational(60 * KIB) + &response(200, 1 << 20), 1 << 20; "informational responses")]
#[test_case(chunked(&("1\r\nx\r\n".repeat(60_000) + "0\r\n\r\n")), 60_000; "small chunks")]
#[tokio::test]
async fn requests_on_one_connection(response: String, length: usize) {
    const REQUESTS: usize = 4;
    let fake = FakeTarget::start(vec![Step::Send(response); REQUESTS]).await;
    let client = client_with_long_timeout();
    for _ in 0..REQUESTS {
        assert_eq!(call(&client, fake.addr).await, Ok(length));
    }
    let used: Vec<_> = fake.requests().iter().map(|r| r.connection).collect();
    assert_eq!(used, [0; REQUESTS]);
    client.close().await;
}
