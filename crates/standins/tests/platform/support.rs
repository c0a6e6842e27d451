//! A platform stand-in with a client.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use reedford_standins::platform::{Faults, PlatformConfig, PlatformStandin, Stats};
use reedford_store::{Endpoint, EndpointConfig, HttpKeyValue, KeyValue, TransactionOutcome};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

pub const ZONE: &str = "oulu-a";
pub const OTHER_ZONE: &str = "oulu-b";
/// Timeout of calls that are expected to time out.
pub const SHORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of calls that are expected to receive a response.
pub const LONG_TIMEOUT: Duration = Duration::from_secs(20);

/// A stand-in with two zones, and a client in the first of them.
pub struct PlatformHarness {
    pub standin: PlatformStandin,
    pub endpoint: Arc<Endpoint>,
    pub kv: HttpKeyValue,
}

impl PlatformHarness {
    pub async fn start() -> Self {
        Self::start_with(PlatformConfig::default()).await
    }

    /// Starts a stand-in with a client that has the timeout [`SHORT_TIMEOUT`].
    pub async fn start_with_short_timeout() -> Self {
        let mut harness = Self::start().await;
        harness.endpoint = endpoint(vec![harness.standin.zones()[ZONE]], SHORT_TIMEOUT);
        harness.kv = HttpKeyValue::new(Arc::clone(&harness.endpoint));
        harness
    }

    pub async fn start_with(mut cfg: PlatformConfig) -> Self {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        cfg.zones = [(ZONE.into(), any), (OTHER_ZONE.into(), any)].into();
        let standin = PlatformStandin::start(cfg).await.expect("starts");
        let endpoint = endpoint(vec![standin.zones()[ZONE]], LONG_TIMEOUT);
        let kv = HttpKeyValue::new(Arc::clone(&endpoint));
        Self {
            standin,
            endpoint,
            kv,
        }
    }

    pub async fn set_faults(&self, faults: &Faults) {
        let body = serde_json::to_vec(faults).expect("is JSON");
        let (status, _) = self.call(Method::POST, "/control/faults", body).await;
        assert_eq!(status, StatusCode::OK);
    }

    pub async fn stats(&self) -> Stats {
        let (_, body) = self.call(Method::GET, "/control/stats", Vec::new()).await;
        serde_json::from_slice(&body).expect("is JSON")
    }

    pub async fn call(&self, method: Method, path: &str, body: Vec<u8>) -> (StatusCode, Bytes) {
        let client = Client::builder(TokioExecutor::new()).build_http();
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.standin.control()))
            .body(Full::new(Bytes::from(body)))
            .expect("is a request");
        let res = client.request(req).await.expect("responds");
        let status = res.status();
        let body = res.into_body().collect().await.expect("has a body");
        (status, body.to_bytes())
    }

    /// Stops the client and the stand-in, and waits for their tasks.
    pub async fn stop(self) {
        self.endpoint.close().await;
        self.standin.shutdown().await;
    }
}

pub fn endpoint(addresses: Vec<SocketAddr>, call_timeout: Duration) -> Arc<Endpoint> {
    Arc::new(Endpoint::new(EndpointConfig {
        addresses,
        connect_timeout: call_timeout,
        call_timeout,
        watch_timeout: Duration::from_secs(2),
    }))
}

/// Writes a key that must be at `expected`; returns its new revision.
pub async fn put(kv: &HttpKeyValue, key: &str, expected: i64, value: &str) -> i64 {
    match kv
        .compare_and_swap(key, expected, value.into())
        .await
        .expect("responds")
    {
        TransactionOutcome::Committed { revision, .. } => revision,
        TransactionOutcome::Conflict { current, .. } => panic!("{key} is {current:?}"),
    }
}

pub async fn read(kv: &HttpKeyValue, key: &str) -> Option<String> {
    let entry = kv.get(key).await.expect("responds")?;
    Some(String::from_utf8(entry.value).expect("is text"))
}
