//! Invalid requests are refused and don't reach the handler.

use crate::support::{
    BODY_BYTES, CHAT, NextResponse, Server, chat, chat_body, get, post, read_response,
};
use reedford_front::{Outcome, RefusalCode, ShutdownSignals};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

struct Case {
    name: &'static str,
    request: Vec<u8>,
    status: u16,
    /// `None` if hyper refuses the request, with an empty body.
    code: Option<RefusalCode>,
}

fn case(name: &'static str, request: Vec<u8>, status: u16, code: RefusalCode) -> Case {
    Case {
        name,
        request,
        status,
        code: Some(code),
    }
}

fn case_refused_by_hyper(name: &'static str, request: &str) -> Case {
    Case {
        name,
        request: request.replace('\n', "\r\n").into_bytes(),
        status: 400,
        code: None,
    }
}

async fn check_refused(cases: Vec<Case>) {
    let server = Server::start(NextResponse::Buffered).await;
    for case in cases {
        let response = server.exchange(&case.request).await;
        assert_eq!(
            response.status,
            Some(case.status),
            "{}: {response:?}",
            case.name
        );
        match case.code {
            Some(code) => {
                let error = response.error().error;
                assert_eq!(error.code, code, "{}", case.name);
                assert_eq!(error.outcome, Outcome::BadRequest, "{}", case.name);
            }
            None => assert_eq!(response.body, "", "{}", case.name),
        }
        assert_eq!(server.handler.started_calls(), 0, "{}", case.name);
    }
    server.abort().await;
}

#[tokio::test]
async fn bad_bodies() {
    use RefusalCode::{BadBody, BadJson, BodyTooLarge, MissingVersion};
    let model = |name| post(CHAT, "", &chat_body(name));
    let body = |text| post(CHAT, "", text);
    let mut not_utf8 = post(CHAT, "", &chat_body("a@v").replace('ä', "xx"));
    let last_x = not_utf8
        .iter()
        .rposition(|b| *b == b'x')
        .expect("contains an x");
    not_utf8[last_x] = 0xff;
    let chunked = |chunks: &str| {
        let head = "Host: r\r\nConnection: close\r\nTransfer-Encoding: chunked";
        format!("POST {CHAT} HTTP/1.1\r\n{head}\r\n\r\n{chunks}").into_bytes()
    };
    let large = "x".repeat(BODY_BYTES + 1);
    let far_too_large = "x".repeat(100 * BODY_BYTES);
    check_refused(vec![
        case("no version", model("clause-check"), 400, MissingVersion),
        case("empty version", model("clause-check@"), 400, MissingVersion),
        case("empty adapter", model("@v3"), 400, MissingVersion),
        case("empty model", model(""), 400, MissingVersion),
        case("two versions", model("a@v1@v2"), 400, MissingVersion),
        case("empty body", body(""), 400, BadJson),
        case("no JSON", body("model=a@v"), 400, BadJson),
        case("truncated JSON", body(r#"{"model":"a@v""#), 400, BadJson),
        case("not an object", body("[]"), 400, BadJson),
        case(
            "no model",
            body(r#"{"messages":[{"role":"user","content":""}]}"#),
            400,
            BadJson,
        ),
        case("no messages", body(r#"{"model":"a@v"}"#), 400, BadJson),
        case(
            "empty messages",
            body(r#"{"model":"a@v","messages":[]}"#),
            400,
            BadJson,
        ),
        case(
            "two models",
            body(r#"{"model":"a@v","model":"b@v","messages":[]}"#),
            400,
            BadJson,
        ),
        case("invalid UTF-8", not_utf8, 400, BadJson),
        case("too large", post(CHAT, "", &large), 413, BodyTooLarge),
        case(
            "far too large",
            post(CHAT, "", &far_too_large),
            413,
            BodyTooLarge,
        ),
        case(
            "large plain",
            post("/services/asemapalvelu/x", "", &large),
            413,
            BodyTooLarge,
        ),
        case(
            "large chunks",
            chunked(&format!("{:x}\r\n{large}\r\n0\r\n\r\n", large.len())),
            413,
            BodyTooLarge,
        ),
        case("bad chunks", chunked("zz\r\n"), 400, BadBody),
    ])
    .await;
}

#[tokio::test]
async fn a_body_over_the_limit_is_refused_before_it_is_sent() {
    let server = Server::start(NextResponse::Buffered).await;
    let head = format!("POST {CHAT} HTTP/1.1\r\nHost: r\r\nContent-Length: 99999999999\r\n\r\n");
    let response = server.exchange(head.as_bytes()).await;
    assert_eq!(response.status, Some(413), "{response:?}");
    assert_eq!(response.error().error.code, RefusalCode::BodyTooLarge);
    server.abort().await;
}

#[tokio::test]
async fn a_caller_can_send_all_of_a_body_over_the_limit() {
    // More than the buffers of a connection can hold.
    let body = "x".repeat(7 << 20);
    let server = Server::start(NextResponse::Buffered).await;
    let mut stream = server.connect(&[]).await;
    let sent = stream.write_all(&post(CHAT, "", &body)).await;
    sent.expect("the connection is not reset");
    let response = read_response(&mut stream).await;
    assert_eq!(response.status, Some(413), "{response:?}");
    server.abort().await;
}

#[tokio::test]
async fn bad_headers() {
    let long_key = format!("Idempotency-Key: {}\r\n", "k".repeat(256));
    let headers = [
        ("deadline 0", "X-Deadline-Ms: 0\r\n"),
        (
            "deadline over u64",
            "X-Deadline-Ms: 99999999999999999999999\r\n",
        ),
        ("deadline over the limit", "X-Deadline-Ms: 120001\r\n"),
        ("deadline with sign", "X-Deadline-Ms: +5\r\n"),
        ("negative deadline", "X-Deadline-Ms: -5\r\n"),
        ("empty deadline", "X-Deadline-Ms: \r\n"),
        ("deadline with unit", "X-Deadline-Ms: 5s\r\n"),
        ("two deadlines", "X-Deadline-Ms: 5\r\nX-Deadline-Ms: 5\r\n"),
        ("unknown class", "X-Class: urgent\r\n"),
        ("class in capitals", "X-Class: Lookup\r\n"),
        ("two classes", "X-Class: lookup\r\nX-Class: lookup\r\n"),
        ("invalid repeatable", "X-Repeatable: yes\r\n"),
        (
            "two repeatables",
            "X-Repeatable: true\r\nX-Repeatable: false\r\n",
        ),
        ("empty key", "Idempotency-Key: \r\n"),
        ("long key", &*long_key),
        ("key with space", "Idempotency-Key: a b\r\n"),
        ("key not ASCII", "Idempotency-Key: ä\r\n"),
        ("two keys", "Idempotency-Key: a\r\nidempotency-key: a\r\n"),
        (
            "long tenant",
            &long_key.replace("Idempotency-Key", "X-Tenant"),
        ),
    ];
    let cases = headers.map(|(name, lines)| case(name, chat(lines), 400, RefusalCode::BadHeader));
    check_refused(cases.into()).await;
}

#[tokio::test]
async fn bad_paths_and_methods() {
    use RefusalCode::{MethodNotAllowed, NotFound};
    check_refused(vec![
        case("no path", post("/", "", "x"), 404, NotFound),
        case(
            "other version",
            post("/v2/chat/completions", "", ""),
            404,
            NotFound,
        ),
        case("no service", post("/services//book", "", ""), 404, NotFound),
        case(
            "no path of the service",
            post("/services/asemapalvelu", "", ""),
            404,
            NotFound,
        ),
        case(
            "parent",
            post("/services/asemapalvelu/prices/../book", "", ""),
            404,
            NotFound,
        ),
        case(
            "encoded parent",
            post("/services/a/prices/%2E%2e/book", "", ""),
            404,
            NotFound,
        ),
        case("chat by GET", get(CHAT), 405, MethodNotAllowed),
        case(
            "service by GET",
            get("/services/asemapalvelu/book"),
            405,
            MethodNotAllowed,
        ),
        case(
            "health by POST",
            post("/healthz", "", "x"),
            405,
            MethodNotAllowed,
        ),
        case(
            "metrics by POST",
            post("/metrics", "", ""),
            405,
            MethodNotAllowed,
        ),
    ])
    .await;
}

#[tokio::test]
async fn invalid_http() {
    let post = "POST /v1/chat/completions HTTP/1.1\nHost: r\n";
    check_refused(vec![
        case_refused_by_hyper("garbage", "\u{1}\u{2}\u{3} garbage\n\n"),
        case_refused_by_hyper("no colon", &format!("{post}No colon\n\n")),
        case_refused_by_hyper(
            "two lengths",
            &format!("{post}Content-Length: 2\nContent-Length: 3\n\n{{}}"),
        ),
        case_refused_by_hyper(
            "two lengths in one",
            &format!("{post}Content-Length: 2, 3\n\n{{}}"),
        ),
        case_refused_by_hyper(
            "negative length",
            &format!("{post}Content-Length: -2\n\n{{}}"),
        ),
        case_refused_by_hyper(
            "no chunks",
            &format!("{post}Transfer-Encoding: identity\n\n{{}}"),
        ),
    ])
    .await;
}

/// hyper accepts these requests. Each has only one possible reading, so no request
/// can be smuggled in them.
#[tokio::test]
async fn requests_with_two_lengths_are_read_unambiguously() {
    let head = "POST /services/s/p HTTP/1.1\r\nHost: r\r\n";
    let requests = [
        // The lengths are equal, and the second header is ignored.
        "Connection: close\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nab",
        // The chunked encoding takes precedence, and the connection is closed after
        // the last chunk, so bytes within the length can't become a second request.
        "Content-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\nPOST ",
    ];
    for request in requests {
        let server = Server::start(NextResponse::Buffered).await;
        let response = server.exchange(format!("{head}{request}").as_bytes()).await;
        assert_eq!(response.status, Some(200), "{request}");
        let calls = std::mem::take(&mut *server.handler.plain_calls.lock().expect("lock"));
        let bodies: Vec<_> = calls.iter().map(|call| &*call.body).collect();
        assert_eq!(bodies, [b"ab"], "{request}");
        server.abort().await;
    }
}

#[tokio::test]
async fn an_incomplete_request_times_out() {
    struct Case {
        name: &'static str,
        bytes: String,
        code: Option<RefusalCode>,
    }
    let cases = [
        Case {
            name: "nothing",
            bytes: String::new(),
            code: None,
        },
        Case {
            name: "part of the head",
            bytes: format!("POST {CHAT} HTTP/1.1\r\nHost: "),
            code: None,
        },
        Case {
            name: "part of the body",
            bytes: format!("POST {CHAT} HTTP/1.1\r\nHost: r\r\nContent-Length: 9\r\n\r\n{{"),
            code: Some(RefusalCode::BadBody),
        },
    ];
    for case in cases {
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let listener = TcpListener::bind(addr).await.expect("the listener binds");
        let timeout = Duration::from_millis(50);
        let server = Server::start_on(
            listener,
            NextResponse::Buffered,
            ShutdownSignals::default(),
            timeout,
        );
        let mut stream = server.connect(case.bytes.as_bytes()).await;
        let response = read_response(&mut stream).await;
        assert_eq!(
            response.status.is_some(),
            case.code.is_some(),
            "{}",
            case.name
        );
        if let Some(code) = case.code {
            assert_eq!(response.error().error.code, code, "{}", case.name);
        }
        assert_eq!(server.handler.started_calls(), 0, "{}", case.name);
        server.abort().await;
    }
}

#[tokio::test]
async fn a_caller_that_disconnects_within_its_request_starts_no_call() {
    let server = Server::start(NextResponse::Buffered).await;
    let mut request = chat("");
    request.pop();
    let mut stream = server.connect(&request).await;
    stream.shutdown().await.expect("shuts down");
    let response = read_response(&mut stream).await;
    assert_ne!(response.status, Some(200));
    assert_eq!(server.handler.started_calls(), 0);
    server.abort().await;
}
