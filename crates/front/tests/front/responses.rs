//! Responses that callers receive, and calls that the handler receives.

use crate::support::{
    CHAT, NextResponse, RawResponse, Server, StreamItem, chat, chat_body, get, post,
};
use bytes::Bytes;
use reedford_front::{
    CallOptions, CallRefusal, ErrorBody, ErrorDetail, Outcome, Readiness, RefusalCode, StreamError,
};
use reedford_rules::Class;
use std::time::Duration;
use tokio::sync::mpsc;

#[tokio::test]
async fn a_buffered_response_has_the_metadata_headers() {
    let server = Server::start(NextResponse::Buffered).await;
    let response = server.exchange(&chat("")).await;
    assert_eq!(response.status, Some(200));
    assert_eq!(response.body, "{\"whole\":true}");
    let headers = [
        ("content-type", "application/json"),
        ("content-length", "14"),
        ("x-model", "clause-check@v3"),
        ("x-target", "kielimalli-3"),
        ("x-load-stall-ms", "250"),
        ("x-rules-revision", "7"),
        ("x-attempt-id", "attempt-1"),
    ];
    for (name, value) in headers {
        assert_eq!(response.header(name), Some(value), "{name}");
    }
    server.abort().await;
}

#[tokio::test]
async fn call_options_are_read_from_the_headers() {
    const TRACE: &str = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
    struct Case {
        name: &'static str,
        headers: String,
        options: CallOptions,
    }
    let cases = [
        Case {
            name: "none",
            headers: String::new(),
            options: CallOptions::default(),
        },
        Case {
            name: "all",
            headers: format!(
                "Idempotency-Key: k-1\r\nX-Deadline-Ms: 120000\r\nX-Class: lookup\r\n\
                 X-Repeatable: false\r\nTraceparent: {TRACE}\r\nX-Tenant: kempele\r\n"
            ),
            options: CallOptions {
                idempotency_key: Some("k-1".into()),
                deadline: Some(Duration::from_secs(120)),
                class: Class::Lookup,
                repeatable: Some(false),
                traceparent: Some(TRACE.into()),
                tenant: Some("kempele".into()),
            },
        },
        Case {
            name: "an invalid trace context is ignored",
            headers: format!("Traceparent: {}\r\n", TRACE.replace('4', "x")),
            options: CallOptions::default(),
        },
    ];
    let server = Server::start(NextResponse::Buffered).await;
    for case in cases {
        assert_eq!(
            server.exchange(&chat(&case.headers)).await.status,
            Some(200)
        );
        let call = server
            .handler
            .calls
            .lock()
            .expect("lock")
            .pop()
            .expect("a call was received");
        assert_eq!(call.options, case.options, "{}", case.name);
        assert_eq!((&*call.adapter, &*call.version), ("clause-check", "v3"));
        assert_eq!(&*call.request.messages[0].content, "ä");
    }
    server.abort().await;
}

#[tokio::test]
async fn a_plain_call_reaches_the_handler_unchanged() {
    let server = Server::start(NextResponse::Buffered).await;
    let path = "/services/asemapalvelu/fuel/%C3%A4?n=1&m=..";
    let request = post(path, "Content-Type: text/plain\r\n", "book");
    let response = server.exchange(&request).await;
    assert_eq!(
        (response.status, response.header("x-model")),
        (Some(200), None)
    );
    let call = server
        .handler
        .plain_calls
        .lock()
        .expect("lock")
        .pop()
        .expect("a call was received");
    assert_eq!(
        (&*call.service, &*call.path),
        ("asemapalvelu", "/fuel/%C3%A4")
    );
    assert_eq!(call.query.as_deref(), Some("n=1&m=.."));
    assert_eq!(call.content_type.as_deref(), Some("text/plain"));
    assert_eq!(&*call.body, b"book");
    server.abort().await;
}

#[tokio::test]
async fn the_request_digest_covers_path_query_and_body() {
    let requests = [
        post("/services/s/a", "", "x"),
        post("/services/s/a", "X-Class: lookup\r\n", "x"),
        post("/services/s/a", "", "y"),
        post("/services/s/b", "", "x"),
        post("/services/s/a?q", "", "x"),
        post("/services/s/a", "", ""),
    ];
    let server = Server::start(NextResponse::Buffered).await;
    for request in &requests {
        server.exchange(request).await;
    }
    let calls = std::mem::take(&mut *server.handler.plain_calls.lock().expect("lock"));
    let digests: Vec<_> = calls.iter().map(|call| call.request_digest).collect();
    assert_eq!(digests[0], digests[1]);
    let mut distinct = digests[1..].to_vec();
    distinct.sort_unstable();
    distinct.dedup();
    assert_eq!(distinct.len(), 5);
    server.abort().await;
}

#[tokio::test]
async fn refusals_have_a_status_and_a_typed_body() {
    struct Case {
        refusal: CallRefusal,
        status: u16,
        retry_after: Option<&'static str>,
        retry_after_ms: Option<u64>,
    }
    let case = |refusal, status, retry_after, retry_after_ms| Case {
        refusal,
        status,
        retry_after,
        retry_after_ms,
    };
    let ms = Duration::from_millis;
    let bad = |code| CallRefusal::bad_request(code, "m");
    let not_run = |code, after| CallRefusal::not_run(code, "m", after);
    let unknown = |code| CallRefusal::unknown(code, "m");
    let cases = [
        case(bad(RefusalCode::UnknownAdapter), 404, None, None),
        case(bad(RefusalCode::UnknownVersion), 404, None, None),
        case(bad(RefusalCode::UnknownService), 404, None, None),
        case(bad(RefusalCode::KeyRequired), 400, None, None),
        case(bad(RefusalCode::KeyReused), 422, None, None),
        case(unknown(RefusalCode::InProgressElsewhere), 409, None, None),
        case(unknown(RefusalCode::TargetLost), 502, None, None),
        case(unknown(RefusalCode::DeadlineUnreachable), 504, None, None),
        case(unknown(RefusalCode::Internal), 500, None, None),
        case(
            not_run(RefusalCode::DeadlineUnreachable, ms(1)),
            503,
            Some("1"),
            Some(1),
        ),
        case(
            not_run(RefusalCode::LimitExceeded, ms(2_000)),
            429,
            Some("2"),
            Some(2_000),
        ),
        case(
            not_run(RefusalCode::Overloaded, ms(2_001)),
            503,
            Some("3"),
            Some(2_001),
        ),
        case(
            not_run(RefusalCode::LoadFailed, ms(0)),
            502,
            Some("0"),
            Some(0),
        ),
        case(
            not_run(RefusalCode::NoWorker, ms(900)),
            503,
            Some("1"),
            Some(900),
        ),
        case(
            not_run(RefusalCode::NotReady, ms(900)),
            503,
            Some("1"),
            Some(900),
        ),
        case(
            not_run(RefusalCode::PlatformUnavailable, ms(900)),
            503,
            Some("1"),
            Some(900),
        ),
        case(
            not_run(RefusalCode::Stopping, ms(900)),
            503,
            Some("1"),
            Some(900),
        ),
    ];
    for case in cases {
        let server = Server::start(NextResponse::Refuse(case.refusal.clone())).await;
        let response = server.exchange(&chat("")).await;
        let code = case.refusal.code;
        assert_eq!(response.status, Some(case.status), "{code:?}");
        assert_eq!(response.header("retry-after"), case.retry_after, "{code:?}");
        let expected = ErrorBody {
            error: ErrorDetail {
                outcome: case.refusal.outcome,
                code,
                message: "m".into(),
                retry_after_ms: case.retry_after_ms,
            },
        };
        assert_eq!(response.error(), expected);
        server.abort().await;
    }
}

#[tokio::test]
async fn a_refusal_has_the_documented_json() {
    let refusal = CallRefusal::not_run(RefusalCode::NoWorker, "m", Duration::from_millis(1_500));
    let server = Server::start(NextResponse::Refuse(refusal)).await;
    let response = server.exchange(&chat("")).await;
    let body =
        r#"{"error":{"outcome":"not_run","code":"no_worker","message":"m","retry_after_ms":1500}}"#;
    assert_eq!(response.body, body);
    server.abort().await;
}

/// Streams the items and returns the response.
async fn stream_items(items: Vec<StreamItem>) -> RawResponse {
    let (tx, rx) = mpsc::channel(items.len().max(1));
    for item in items {
        tx.send(item).await.expect("the channel has room");
    }
    drop(tx);
    let server = Server::start(NextResponse::Stream(rx)).await;
    let response = server.exchange(&chat("")).await;
    server.abort().await;
    response
}

fn item(text: &'static str) -> StreamItem {
    Ok(Bytes::from_static(text.as_bytes()))
}

const FINAL_CHUNK: &str = "\r\n0\r\n\r\n";

#[tokio::test]
async fn a_stream_ends_normally_only_after_the_end_marker() {
    struct Case {
        name: &'static str,
        items: Vec<StreamItem>,
        error: Option<RefusalCode>,
    }
    let lost = || {
        Err(StreamError {
            code: RefusalCode::TargetLost,
            message: "m".into(),
        })
    };
    let event = || item("id: 0\ndata: {}\n\n");
    let cases = [
        Case {
            name: "complete",
            items: vec![event(), item("data: [DONE]\n\n")],
            error: None,
        },
        Case {
            name: "end marker in parts",
            items: vec![event(), item("data: [DO"), item("NE]"), item("\n\n")],
            error: None,
        },
        Case {
            name: "error",
            items: vec![event(), lost()],
            error: Some(RefusalCode::TargetLost),
        },
        Case {
            name: "error as the first item",
            items: vec![lost()],
            error: Some(RefusalCode::TargetLost),
        },
        Case {
            name: "error within an event",
            items: vec![event(), item("data: {\"id\""), lost()],
            error: Some(RefusalCode::TargetLost),
        },
        Case {
            name: "sender dropped",
            items: vec![event()],
            error: Some(RefusalCode::Internal),
        },
        Case {
            name: "sender dropped without an item",
            items: vec![],
            error: Some(RefusalCode::Internal),
        },
        Case {
            name: "text that looks like the end marker",
            items: vec![item("data: {\"content\":\"\\ndata: [DONE]\"}\n\n")],
            error: Some(RefusalCode::Internal),
        },
        Case {
            name: "line that ends like the end marker",
            items: vec![item("data: \"data: [DONE]\n\n")],
            error: Some(RefusalCode::Internal),
        },
    ];
    for case in cases {
        let response = stream_items(case.items).await;
        assert_eq!(response.status, Some(200), "{}", case.name);
        assert_eq!(response.header("content-type"), Some("text/event-stream"));
        assert_eq!(response.header("x-model"), Some("clause-check@v3"));
        let complete = response.body.ends_with(FINAL_CHUNK);
        assert_eq!(
            complete,
            case.error.is_none(),
            "{}: {}",
            case.name,
            response.body
        );
        let Some(code) = case.error else {
            continue;
        };
        let offset = response
            .body
            .find("\n\nevent: error\ndata: ")
            .expect("has an error event");
        let data = &response.body[offset..];
        let start = data.find('{').expect("has JSON");
        let end = data.rfind('}').expect("has JSON");
        let error: ErrorBody =
            serde_json::from_str(&data[start..=end]).expect("the error is typed");
        assert_eq!(error.error.code, code, "{}", case.name);
        assert_eq!(error.error.outcome, Outcome::Unknown, "{}", case.name);
    }
}

#[tokio::test]
async fn a_streamed_response_requires_http_1_1() {
    let server = Server::start(NextResponse::Buffered).await;
    let body = chat_body("a@v").replacen('{', r#"{"stream":true,"#, 1);
    let request = String::from_utf8(post(CHAT, "", &body)).expect("is text");
    let response = server
        .exchange(request.replace("HTTP/1.1", "HTTP/1.0").as_bytes())
        .await;
    assert_eq!(
        (response.status, server.handler.started_calls()),
        (Some(400), 0),
        "{response:?}"
    );
    let response = server.exchange(request.as_bytes()).await;
    assert_eq!(
        (response.status, server.handler.started_calls()),
        (Some(200), 1),
        "{response:?}"
    );
    server.abort().await;
}

#[tokio::test]
async fn health_readiness_and_metrics_are_served() {
    let server = Server::start(NextResponse::Buffered).await;
    let read = async |path| {
        let response = server.exchange(&get(path)).await;
        (response.status.expect("responds"), response.body)
    };
    assert_eq!(read("/healthz").await, (200, "ok\n".to_owned()));
    assert_eq!(read("/readyz").await, (200, "ready\n".to_owned()));
    let metrics = "load_stall_seconds_count 3\n".to_owned();
    assert_eq!(read("/metrics").await, (200, metrics));
    server.handler.readiness.send_replace(Readiness::NotReady {
        reason: "no rules".into(),
    });
    assert_eq!(
        read("/readyz").await,
        (503, "not ready: no rules\n".to_owned())
    );
    assert_eq!(read("/healthz").await.0, 200);
    server.abort().await;
}
