//! HTTP client of the entry instances, for the demonstration and the tests.

use bytes::Bytes;
use eyre::{Result, WrapErr as _};
use http_body_util::{BodyExt as _, Full};
use hyper::{Request, StatusCode, header};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use reedford_wire::headers;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Number of tokens that [`Call::chat`] requests.
pub(crate) const REQUESTED_TOKENS: u32 = 8;

/// Sends calls to entry instances, each on a new connection.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// A call to an entry instance.
#[derive(Clone, Debug, Default)]
pub struct Call {
    /// Path at the entry instance.
    pub path: String,
    /// Headers besides the content type.
    pub headers: BTreeMap<String, String>,
    /// Request body.
    pub body: String,
}

/// Response to a call.
#[derive(Clone, Debug)]
pub struct CallResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers by name.
    pub headers: BTreeMap<String, String>,
    /// The part of the body that was received.
    pub body: String,
    /// Whether the body was complete by its HTTP framing.
    pub complete: bool,
}

impl Default for Caller {
    fn default() -> Self {
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .build_http();
        Self { client }
    }
}

impl Call {
    /// Builds a chat completion call.
    #[must_use]
    pub fn chat(model: &str, prompt: &str, stream: bool) -> Self {
        let body = serde_json::json!({
            "model": model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": REQUESTED_TOKENS,
            "stream": stream,
        });
        Self {
            path: "/v1/chat/completions".to_owned(),
            body: body.to_string(),
            ..Self::default()
        }
    }

    /// Builds a call of a plain service.
    #[must_use]
    pub fn plain(service: &str, path: &str, body: &str) -> Self {
        Self {
            path: format!("/services/{service}{path}"),
            body: body.to_owned(),
            ..Self::default()
        }
    }

    /// Adds a header.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.insert(name.to_owned(), value.to_owned());
        self
    }

    /// Marks the call as not idempotent and sets its idempotency key, so that
    /// it runs at most once.
    #[must_use]
    pub fn at_most_once(self, key: &str) -> Self {
        self.with_header(headers::IDEMPOTENCY_KEY, key)
            .with_header(headers::REPEATABLE, "false")
    }
}

impl CallResponse {
    /// Returns the value of a header, empty if it is absent.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Returns a field of a refusal's `error` object, empty if it is absent.
    #[must_use]
    pub fn error_field(&self, field: &str) -> String {
        let body: serde_json::Value = serde_json::from_str(&self.body).unwrap_or_default();
        body["error"][field].as_str().unwrap_or_default().to_owned()
    }
}

impl Caller {
    /// Sends a call and reads its response to the end.
    ///
    /// # Errors
    /// When no response head is received.
    pub async fn send(&self, entry: SocketAddr, call: &Call) -> Result<CallResponse> {
        let mut req = Request::post(format!("http://{entry}{}", call.path))
            .header(header::CONTENT_TYPE, "application/json");
        for (name, value) in &call.headers {
            req = req.header(name, value);
        }
        let req = req
            .body(Full::new(Bytes::from(call.body.clone())))
            .wrap_err("building the request")?;
        let response = self.client.request(req).await.wrap_err("no response")?;
        let status = response.status();
        let headers = response.headers().iter().map(|(name, value)| {
            (
                name.to_string(),
                String::from_utf8_lossy(value.as_bytes()).into_owned(),
            )
        });
        let headers = headers.collect();
        let mut body = response.into_body();
        let mut read = Vec::new();
        let complete = loop {
            match body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        read.extend_from_slice(&data);
                    }
                }
                Some(Err(_)) => break false,
                None => break true,
            }
        };
        let body = String::from_utf8_lossy(&read).into_owned();
        Ok(CallResponse {
            status,
            headers,
            body,
            complete,
        })
    }
}
