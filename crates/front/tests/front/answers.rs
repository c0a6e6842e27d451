//! What callers get, and what handlers are handed.

use crate::support::{CHAT, Part, Reply, Script, Server, chat, chat_body, get, post};
use bytes::Bytes;
use reedford_front::{
    CallOptions, CallRefusal, ErrorBody, ErrorDetail, Outcome, Readiness, RefusalCode, StreamError,
};
use reedford_rules::Class;
use std::time::Duration;
use tokio::sync::mpsc;

#[tokio::test]
async fn a_whole_answer_tells_its_way() {
    let server = Server::start(Script::Whole).await;
    let reply = server.exchange(&chat("")).await;
    assert_eq!(reply.status, Some(200));
    assert_eq!(reply.body, "{\"whole\":true}");
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
        assert_eq!(reply.header(name), Some(value), "{name}");
    }
    server.end().await;
}

#[tokio::test]
async fn the_options_are_read() {
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
            name: "a bad trace context is no fault",
            headers: format!("Traceparent: {}\r\n", TRACE.replace('4', "x")),
            options: CallOptions::default(),
        },
    ];
    let server = Server::start(Script::Whole).await;
    for case in cases {
        assert_eq!(
            server.exchange(&chat(&case.headers)).await.status,
            Some(200)
        );
        let call = server.fake.calls.lock().expect("lock").pop().expect("came");
        assert_eq!(call.options, case.options, "{}", case.name);
        assert_eq!((&*call.adapter, &*call.version), ("clause-check", "v3"));
        assert_eq!(&*call.request.messages[0].content, "ä");
    }
    server.end().await;
}

#[tokio::test]
async fn a_plain_call_is_handed_over_as_it_came() {
    let server = Server::start(Script::Whole).await;
    let path = "/services/asemapalvelu/fuel/%C3%A4?n=1&m=..";
    let request = post(path, "Content-Type: text/plain\r\n", "book");
    let reply = server.exchange(&request).await;
    assert_eq!((reply.status, reply.header("x-model")), (Some(200), None));
    let call = server
        .fake
        .plain_calls
        .lock()
        .expect("lock")
        .pop()
        .expect("came");
    assert_eq!(
        (&*call.service, &*call.path),
        ("asemapalvelu", "/fuel/%C3%A4")
    );
    assert_eq!(call.query.as_deref(), Some("n=1&m=.."));
    assert_eq!(call.content_type.as_deref(), Some("text/plain"));
    assert_eq!(&*call.body, b"book");
    server.end().await;
}

#[tokio::test]
async fn the_digest_is_that_of_path_and_body() {
    let requests = [
        post("/services/s/a", "", "x"),
        post("/services/s/a", "X-Class: lookup\r\n", "x"),
        post("/services/s/a", "", "y"),
        post("/services/s/b", "", "x"),
        post("/services/s/a?q", "", "x"),
        post("/services/s/a", "", ""),
    ];
    let server = Server::start(Script::Whole).await;
    for request in &requests {
        server.exchange(request).await;
    }
    let calls = std::mem::take(&mut *server.fake.plain_calls.lock().expect("lock"));
    let digests: Vec<_> = calls.iter().map(|call| call.request_digest).collect();
    assert_eq!(digests[0], digests[1]);
    let mut distinct = digests[1..].to_vec();
    distinct.sort_unstable();
    distinct.dedup();
    assert_eq!(distinct.len(), 5);
    server.end().await;
}

#[tokio::test]
async fn a_refusal_is_typed() {
    struct Case {
        refused: CallRefusal,
        status: u16,
        retry_after: Option<&'static str>,
        retry_after_ms: Option<u64>,
    }
    let case = |refused, status, retry_after, retry_after_ms| Case {
        refused,
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
        let server = Server::start(Script::Refuse(case.refused.clone())).await;
        let reply = server.exchange(&chat("")).await;
        let code = case.refused.code;
        assert_eq!(reply.status, Some(case.status), "{code:?}");
        assert_eq!(reply.header("retry-after"), case.retry_after, "{code:?}");
        let expected = ErrorBody {
            error: ErrorDetail {
                outcome: case.refused.outcome,
                code,
                message: "m".into(),
                retry_after_ms: case.retry_after_ms,
            },
        };
        assert_eq!(reply.error(), expected);
        server.end().await;
    }
}

#[tokio::test]
async fn a_refusal_reads_as_documented() {
    let refused = CallRefusal::not_run(RefusalCode::NoWorker, "m", Duration::from_millis(1_500));
    let server = Server::start(Script::Refuse(refused)).await;
    let reply = server.exchange(&chat("")).await;
    let body =
        r#"{"error":{"outcome":"not_run","code":"no_worker","message":"m","retry_after_ms":1500}}"#;
    assert_eq!(reply.body, body);
    server.end().await;
}

async fn streamed(parts: Vec<Part>) -> Reply {
    let (tx, rx) = mpsc::channel(parts.len().max(1));
    for part in parts {
        tx.send(part).await.expect("has room");
    }
    drop(tx);
    let server = Server::start(Script::Stream(rx)).await;
    let reply = server.exchange(&chat("")).await;
    server.end().await;
    reply
}

fn part(text: &'static str) -> Part {
    Ok(Bytes::from_static(text.as_bytes()))
}

const FINAL_CHUNK: &str = "\r\n0\r\n\r\n";

#[tokio::test]
async fn a_stream_ends_well_only_after_its_end_mark() {
    struct Case {
        name: &'static str,
        parts: Vec<Part>,
        fault: Option<RefusalCode>,
    }
    let lost = || {
        Err(StreamError {
            code: RefusalCode::TargetLost,
            message: "m".into(),
        })
    };
    let event = || part("id: 0\ndata: {}\n\n");
    let cases = [
        Case {
            name: "whole",
            parts: vec![event(), part("data: [DONE]\n\n")],
            fault: None,
        },
        Case {
            name: "end mark in parts",
            parts: vec![event(), part("data: [DO"), part("NE]"), part("\n\n")],
            fault: None,
        },
        Case {
            name: "fault",
            parts: vec![event(), lost()],
            fault: Some(RefusalCode::TargetLost),
        },
        Case {
            name: "fault at once",
            parts: vec![lost()],
            fault: Some(RefusalCode::TargetLost),
        },
        Case {
            name: "fault inside of an event",
            parts: vec![event(), part("data: {\"id\""), lost()],
            fault: Some(RefusalCode::TargetLost),
        },
        Case {
            name: "sender gone",
            parts: vec![event()],
            fault: Some(RefusalCode::Internal),
        },
        Case {
            name: "sender gone at once",
            parts: vec![],
            fault: Some(RefusalCode::Internal),
        },
        Case {
            name: "text that looks like the end mark",
            parts: vec![part("data: {\"content\":\"\\ndata: [DONE]\"}\n\n")],
            fault: Some(RefusalCode::Internal),
        },
        Case {
            name: "line that ends like the end mark",
            parts: vec![part("data: \"data: [DONE]\n\n")],
            fault: Some(RefusalCode::Internal),
        },
    ];
    for case in cases {
        let reply = streamed(case.parts).await;
        assert_eq!(reply.status, Some(200), "{}", case.name);
        assert_eq!(reply.header("content-type"), Some("text/event-stream"));
        assert_eq!(reply.header("x-model"), Some("clause-check@v3"));
        let ended = reply.body.ends_with(FINAL_CHUNK);
        assert_eq!(ended, case.fault.is_none(), "{}: {}", case.name, reply.body);
        let Some(code) = case.fault else {
            continue;
        };
        let error = reply
            .body
            .find("\n\nevent: error\ndata: ")
            .expect("tells the error");
        let data = &reply.body[error..];
        let start = data.find('{').expect("has JSON");
        let end = data.rfind('}').expect("has JSON");
        let error: ErrorBody = serde_json::from_str(&data[start..=end]).expect("is typed");
        assert_eq!(error.error.code, code, "{}", case.name);
        assert_eq!(error.error.outcome, Outcome::Unknown, "{}", case.name);
    }
}

#[tokio::test]
async fn a_streamed_answer_needs_chunks() {
    let server = Server::start(Script::Whole).await;
    let body = chat_body("a@v").replacen('{', r#"{"stream":true,"#, 1);
    let request = String::from_utf8(post(CHAT, "", &body)).expect("is text");
    let reply = server
        .exchange(request.replace("HTTP/1.1", "HTTP/1.0").as_bytes())
        .await;
    assert_eq!(
        (reply.status, server.fake.count()),
        (Some(400), 0),
        "{reply:?}"
    );
    let reply = server.exchange(request.as_bytes()).await;
    assert_eq!(
        (reply.status, server.fake.count()),
        (Some(200), 1),
        "{reply:?}"
    );
    server.end().await;
}

#[tokio::test]
async fn the_process_tells_how_it_is() {
    let server = Server::start(Script::Whole).await;
    let read = async |path| {
        let reply = server.exchange(&get(path)).await;
        (reply.status.expect("answers"), reply.body)
    };
    assert_eq!(read("/healthz").await, (200, "ok\n".to_owned()));
    assert_eq!(read("/readyz").await, (200, "ready\n".to_owned()));
    let metrics = "load_stall_seconds_count 3\n".to_owned();
    assert_eq!(read("/metrics").await, (200, metrics));
    server.fake.readiness.send_replace(Readiness::NotReady {
        reason: "no rules".into(),
    });
    assert_eq!(
        read("/readyz").await,
        (503, "not ready: no rules\n".to_owned())
    );
    assert_eq!(read("/healthz").await.0, 200);
    server.end().await;
}
