//! What the tests of the stand-in targets share.
#![expect(dead_code, reason = "each test file uses a part")]

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
/// Tokens of a request that outlasts its test unless cancelled.
pub const ENDLESS: u32 = 4_096;
const LIMIT: Duration = Duration::from_secs(20);

/// An engine with steps of a millisecond, and a client.
pub struct Bench {
    pub client: TargetClient,
    pub engine: EngineStandin,
}

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
        connect: LIMIT,
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

/// The tokens that an attempt's answer has from a number on.
pub fn expected(attempt: &str, from: u32, to: u32) -> String {
    (from..to)
        .map(|i| format!("{MODEL}/{attempt}#{i} "))
        .collect()
}

impl Bench {
    pub async fn start(cfg: EngineConfig) -> Self {
        Self {
            client: client(LIMIT),
            engine: EngineStandin::start(cfg).await.unwrap(),
        }
    }

    /// With the model loaded.
    pub async fn loaded(cfg: EngineConfig) -> Self {
        let bench = Self::start(cfg).await;
        bench.load(MODEL, 1).await.unwrap();
        bench
    }

    pub async fn load(&self, model: &str, fence: u64) -> Result<OrderResponse, OrderError> {
        let addr = self.engine.addr();
        self.client.load(addr, &order(model, fence), LIMIT).await
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

    pub async fn whole(&self, attempt: &str, tokens: u32) -> Result<String, DispatchError> {
        match self
            .dispatch(&chat(false, tokens), options(attempt))
            .await?
        {
            DispatchResponse::Complete(response, _) => {
                Ok(response.choices[0].message.content.to_string())
            }
            DispatchResponse::Stream(_) => panic!("expected a whole answer"),
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

    /// Waits until the engine's listing fits.
    pub async fn until<F>(&self, mut fits: F)
    where
        F: FnMut(&EngineState) -> bool,
    {
        while !fits(&self.listing().await) {
            tokio::task::yield_now().await;
        }
    }

    pub async fn stop(self) {
        self.client.close().await;
        self.engine.shutdown().await;
    }
}

/// Reads a stream to its end, as the text that it carries.
pub async fn text(stream: &mut TokenStream) -> String {
    let mut text = String::new();
    while let Some(token) = stream.next().await.unwrap() {
        text += &content(&token.raw);
    }
    text
}

/// Reads a stream until it fails.
pub async fn failure(stream: &mut TokenStream) -> StreamError {
    loop {
        match stream.next().await {
            Ok(Some(_)) => {}
            Ok(None) => panic!("the stream ended well"),
            Err(e) => return e,
        }
    }
}

/// The text of one event.
pub fn content(raw: &[u8]) -> String {
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

pub fn refused_order<T>(result: Result<T, OrderError>) -> RefusalCode {
    match result {
        Err(OrderError::Refused(refusal)) => refusal.code,
        Err(other) => panic!("expected a refusal, got {other}"),
        Ok(_) => panic!("expected a refusal"),
    }
}

/// Makes one call without a body; the status and the body of the answer.
pub async fn bare(addr: SocketAddr, method: Method, path: &str) -> (StatusCode, Bytes) {
    call(addr, method, path, Bytes::new()).await
}

/// Makes one call; the status and the body of the answer.
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
    let (answer, _ended) = tokio::join!(exchange, driver);
    answer
}
