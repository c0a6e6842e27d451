//! Helpers that the tests of the stand-in targets share.
#![expect(dead_code, reason = "each test target uses only some helpers")]

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::client::conn::http1;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use reedford_standins::engine::{EngineConfig, EngineStandin};
use reedford_targets::{
    DispatchError, DispatchOptions, DispatchResponse, OrderError, StreamError, TargetClient,
    Timeouts, TokenStream,
};
use reedford_wire::chat::{ChatRequest, Message};
use reedford_wire::engine::{AdapterOrder, EngineState, OrderResponse, RefusalCode};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

pub const MODEL: &str = "price@v1";
/// Number of tokens of a request that outlasts its test unless it is cancelled.
pub const ENDLESS_TOKENS: u32 = 4_096;
/// Timeout that no passing test reaches.
const LONG_TIMEOUT: Duration = Duration::from_secs(20);

/// An engine stand-in and a client of it.
pub struct EngineHarness {
    pub client: TargetClient,
    pub engine: EngineStandin,
}

/// Returns settings of an engine whose steps, prefills and loads take 1 ms.
pub fn quick() -> EngineConfig {
    EngineConfig {
        step_ms: 1,
        prefill_ms: 1,
        load_ms: 1,
        ..EngineConfig::default()
    }
}

pub fn client(silence: Duration) -> TargetClient {
    TargetClient::new(Timeouts {
        connect: LONG_TIMEOUT,
        first_byte: silence,
        progress: silence,
    })
}

pub fn order(model: &str, fence: u64) -> AdapterOrder {
    let (adapter, version) = model.split_once('@').unwrap();
    AdapterOrder {
        adapter: adapter.into(),
        version: version.into(),
        fence,
    }
}

pub fn chat(stream: bool, max_tokens: u32) -> ChatRequest {
    ChatRequest {
        model: MODEL.into(),
        messages: vec![Message {
            role: "user".into(),
            content: "what does it cost".into(),
        }],
        stream,
        max_tokens: Some(max_tokens),
        rest: serde_json::Map::new(),
    }
}

pub fn options(attempt: &str) -> DispatchOptions {
    DispatchOptions {
        attempt: attempt.into(),
        priority: 0,
        traceparent: None,
        deadline: None,
    }
}

/// Returns the text of the tokens `from..to` of an attempt's response.
pub fn expected(attempt: &str, from: u32, to: u32) -> String {
    (from..to)
        .map(|i| format!("{MODEL}/{attempt}#{i} "))
        .collect()
}

impl EngineHarness {
    pub async fn start(cfg: EngineConfig) -> Self {
        Self {
            client: client(LONG_TIMEOUT),
            engine: EngineStandin::start(cfg).await.unwrap(),
        }
    }

    /// Starts an engine that has [`MODEL`] loaded.
    pub async fn loaded(cfg: EngineConfig) -> Self {
        let harness = Self::start(cfg).await;
        harness.load(MODEL, 1).await.unwrap();
        harness
    }

    pub async fn load(&self, model: &str, fence: u64) -> Result<OrderResponse, OrderError> {
        let addr = self.engine.addr();
        self.client
            .load(addr, &order(model, fence), LONG_TIMEOUT)
            .await
    }

    pub async fn unload(&self, model: &str, fence: u64) -> Result<OrderResponse, OrderError> {
        let addr = self.engine.addr();
        self.client.unload(addr, &order(model, fence)).await
    }

    pub async fn dispatch(
        &self,
        chat: &ChatRequest,
        options: DispatchOptions,
    ) -> Result<DispatchResponse, DispatchError> {
        let addr = self.engine.addr();
        self.client.dispatch(addr, chat, options).await
    }

    pub async fn complete(&self, attempt: &str, tokens: u32) -> Result<String, DispatchError> {
        match self
            .dispatch(&chat(false, tokens), options(attempt))
            .await?
        {
            DispatchResponse::Complete(response, _) => {
                Ok(response.choices[0].message.content.to_string())
            }
            DispatchResponse::Stream(_) => panic!("expected a complete response"),
        }
    }

    pub async fn stream(&self, attempt: &str, tokens: u32) -> TokenStream {
        match self.dispatch(&chat(true, tokens), options(attempt)).await {
            Ok(DispatchResponse::Stream(stream)) => stream,
            other => panic!("expected a stream, got {other:?}"),
        }
    }

    pub async fn listing(&self) -> EngineState {
        self.client.listing(self.engine.addr()).await.unwrap()
    }

    /// Polls the engine's listing until the condition holds.
    pub async fn wait_for_listing<F>(&self, mut condition: F)
    where
        F: FnMut(&EngineState) -> bool,
    {
        while !condition(&self.listing().await) {
            tokio::task::yield_now().await;
        }
    }

    pub async fn stop(self) {
        self.client.close().await;
        self.engine.shutdown().await;
    }
}

/// Reads a stream to its end, and returns its text.
pub async fn read_to_end(stream: &mut TokenStream) -> String {
    let mut text = String::new();
    while let Some(token) = stream.next().await.unwrap() {
        text += &event_text(&token.raw);
    }
    text
}

/// Reads a stream until it fails, and returns the error.
pub async fn read_until_error(stream: &mut TokenStream) -> StreamError {
    loop {
        match stream.next().await {
            Ok(Some(_)) => {}
            Ok(None) => panic!("the stream ended without an error"),
            Err(e) => return e,
        }
    }
}

/// Returns the text in one event.
pub fn event_text(raw: &[u8]) -> String {
    let event = std::str::from_utf8(raw).unwrap();
    let data = event
        .lines()
        .find_map(|l| l.strip_prefix("data: "))
        .unwrap();
    let chunk: reedford_wire::chat::ChatChunk = serde_json::from_str(data).unwrap();
    chunk.choices[0]
        .delta
        .content
        .as_deref()
        .unwrap()
        .to_owned()
}

/// Returns the code of a refused order.
pub fn refusal_code<T>(result: Result<T, OrderError>) -> RefusalCode {
    match result {
        Err(OrderError::Refused(refusal)) => refusal.code,
        Err(other) => panic!("expected a refusal, got {other}"),
        Ok(_) => panic!("expected a refusal"),
    }
}

/// Makes a call without a body, and returns the status and body of the response.
pub async fn call_without_body(
    addr: SocketAddr,
    method: Method,
    path: &str,
) -> (StatusCode, Bytes) {
    call(addr, method, path, Bytes::new()).await
}

/// Makes a call, and returns the status and body of the response.
pub async fn call(
    addr: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> (StatusCode, Bytes) {
    let stream = TcpStream::connect(addr).await.unwrap();
    let (mut sender, driver) = http1::handshake(TokioIo::new(stream)).await.unwrap();
    let req = Request::builder()
        .method(method)
        .uri(path)
        .header("host", addr.to_string())
        .body(Full::new(body))
        .unwrap();
    let exchange = async move {
        let res = sender.send_request(req).await.unwrap();
        let status = res.status();
        (status, res.into_body().collect().await.unwrap().to_bytes())
    };
    let (response, _ended) = tokio::join!(exchange, driver);
    response
}
