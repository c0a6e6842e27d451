//! A fake server with the responses of an entry instance and the counters of an
//! engine.

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use reedford_wire::chat::ChatRequest;
use std::collections::BTreeSet;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

/// A running server.
pub struct FakeEntry {
    pub address: SocketAddr,
    stop: CancellationToken,
    tasks: JoinSet<()>,
}

#[derive(Default)]
struct State {
    attempts: AtomicU64,
    stats_reads: AtomicU64,
    metrics_reads: AtomicU64,
    /// Contents of the requests that were refused; each is refused only once.
    refused: Mutex<BTreeSet<Box<str>>>,
}

impl FakeEntry {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let stop = CancellationToken::new();
        let mut tasks = JoinSet::new();
        tasks.spawn(serve(listener, stop.clone()));
        Self {
            address,
            stop,
            tasks,
        }
    }

    pub async fn stop(mut self) {
        self.stop.cancel();
        while let Some(ended) = self.tasks.join_next().await {
            ended.unwrap();
        }
    }
}

async fn serve(listener: TcpListener, stop: CancellationToken) {
    let state = Arc::new(State::default());
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
        };
        let io = TokioIo::new(accepted.unwrap().0);
        let state = Arc::clone(&state);
        connections.spawn(async move {
            let service = service_fn(move |req| respond(Arc::clone(&state), req));
            http1::Builder::new().serve_connection(io, service).await
        });
    }
}

async fn respond(
    state: Arc<State>,
    req: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let path = req.uri().path().to_owned();
    let is_post = req.method() == Method::POST;
    let header = |name| {
        req.headers()
            .get(name)
            .map(|value| value.to_str().unwrap().to_owned())
    };
    let key = header("idempotency-key");
    assert!(!is_post || header("x-deadline-ms").as_deref() == Some("20000"));
    assert_eq!(
        key.is_some(),
        header("x-repeatable").as_deref() == Some("false")
    );
    let body = req.into_body().collect().await.unwrap().to_bytes();
    Ok(match path.as_str() {
        "/v1/chat/completions" => chat(&state, &serde_json::from_slice(&body).unwrap()),
        "/services/einkauf/orders" => receipt(&state, &key.unwrap(), &body),
        "/control/stats" => stats(&state),
        "/control/record" => record(),
        "/metrics" => ok_response(metrics(&state)),
        _ => panic!("unexpected path {path}"),
    })
}

fn chat(state: &State, req: &ChatRequest) -> Response<Full<Bytes>> {
    let is_refused_once = req.model.starts_with("full-");
    if is_refused_once
        && state
            .refused
            .lock()
            .unwrap()
            .insert(req.messages[0].content.clone())
    {
        return refusal();
    }
    let model = match req.model.starts_with("wrong-") {
        true => req.model.replace("@1", "@2"),
        false => req.model.to_string(),
    };
    let attempt = format!("a-{}", state.attempts.fetch_add(1, Ordering::Relaxed));
    let tokens = req.max_tokens.unwrap();
    let body = match req.stream {
        true => streamed(&model, &attempt, tokens),
        false => whole(&model, &attempt, tokens),
    };
    let response = Response::builder()
        .header("x-model", &model)
        .header("x-attempt-id", &attempt)
        .header("x-load-stall-ms", "4");
    response.body(Full::from(body)).unwrap()
}

fn streamed(model: &str, attempt: &str, tokens: u32) -> String {
    let chunk = |seq: u32| {
        let finish = if seq + 1 == tokens {
            "\"stop\""
        } else {
            "null"
        };
        format!(
            "id: {seq}\ndata: {{\"id\":\"{attempt}\",\"object\":\"chat.completion.chunk\",\
             \"model\":\"{model}\",\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\
             \"{model}/{attempt}#{seq} \"}},\"finish_reason\":{finish}}}]}}\n\n"
        )
    };
    (0..tokens).map(chunk).collect::<String>() + "data: [DONE]\n\n"
}

fn whole(model: &str, attempt: &str, tokens: u32) -> String {
    let text: String = (0..tokens)
        .map(|seq| format!("{model}/{attempt}#{seq} "))
        .collect();
    format!(
        r#"{{"id":"{attempt}","object":"chat.completion","model":"{model}",
        "choices":[{{"index":0,"message":{{"role":"assistant","content":"{text}"}},
        "finish_reason":"stop"}}],
        "usage":{{"prompt_tokens":1,"completion_tokens":{tokens},"total_tokens":1}}}}"#
    )
}

fn refusal() -> Response<Full<Bytes>> {
    let body = r#"{"error":{"outcome":"not_run","code":"queue_full","message":"full",
        "retry_after_ms":20}}"#;
    let response = Response::builder().status(503).header("retry-after", "1");
    response.body(Full::from(body)).unwrap()
}

fn receipt(state: &State, key: &str, body: &[u8]) -> Response<Full<Bytes>> {
    let attempt = format!("a-{}", state.attempts.fetch_add(1, Ordering::Relaxed));
    let receipt = reedford_wire::plain::Receipt {
        attempt: attempt.as_str().into(),
        path: "orders".into(),
        key: Some(key.into()),
        body: std::str::from_utf8(body).unwrap().into(),
    };
    let response = Response::builder().header("x-attempt-id", attempt);
    response
        .body(Full::from(serde_json::to_string(&receipt).unwrap()))
        .unwrap()
}

/// Returns counters that grow with each read, so that a run, which reads them at
/// its start and end, sees one increase.
fn stats(state: &State) -> Response<Full<Bytes>> {
    let reads = state.stats_reads.fetch_add(1, Ordering::Relaxed);
    let (steps, tokens) = (reads * 10, reads * 40);
    ok_response(format!(
        r#"{{"steps":{steps},"busy_steps":{steps},"tokens":{tokens},"batch_limit":8,
        "loads":{reads},"failed_loads":0,"unloads":{reads},"max_running":5}}"#
    ))
}

fn record() -> Response<Full<Bytes>> {
    let violation = r#"{"kind":"duplicate_attempt","attempt":"a-1"}"#;
    ok_response(format!(
        r#"{{"runs":[],"orders":[],"violations":[{violation}]}}"#
    ))
}

fn metrics(state: &State) -> String {
    let retries = 2 * state.metrics_reads.fetch_add(1, Ordering::Relaxed);
    format!("# TYPE x_retries_total counter\nx_retries_total {retries}\n# TYPE g gauge\ng 5\n")
}

fn ok_response(text: String) -> Response<Full<Bytes>> {
    Response::new(Full::from(text))
}
