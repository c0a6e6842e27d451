//! Starts a stand-in with clients.

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
/// Timeout of calls that are meant to run into it.
pub const SHORT: Duration = Duration::from_secs(1);
/// Timeout of calls that are meant to be answered.
pub const LONG: Duration = Duration::from_secs(20);

/// A stand-in with two zones, and a client in the first of them.
pub struct Bench {
    pub standin: PlatformStandin,
    pub endpoint: Arc<Endpoint>,
    pub kv: HttpKeyValue,
}

impl Bench {
    pub async fn start() -> Self {
        Self::start_with(PlatformConfig::default()).await
    }

    /// A client that waits only [`SHORT`] for an answer.
    pub async fn start_impatient() -> Self {
        let mut bench = Self::start().await;
        bench.endpoint = endpoint(vec![bench.standin.zones()[ZONE]], SHORT);
        bench.kv = HttpKeyValue::new(Arc::clone(&bench.endpoint));
        bench
    }

    pub async fn start_with(mut cfg: PlatformConfig) -> Self {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        cfg.zones = [(ZONE.into(), any), (OTHER_ZONE.into(), any)].into();
        let standin = PlatformStandin::start(cfg).await.expect("starts");
        let endpoint = endpoint(vec![standin.zones()[ZONE]], LONG);
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
        let res = client.request(req).await.expect("answers");
        let status = res.status();
        let body = res.into_body().collect().await.expect("has a body");
        (status, body.to_bytes())
    }

    /// Joins what the client and the stand-in run.
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
        .expect("answers")
    {
        TransactionOutcome::Committed { revision } => revision,
        TransactionOutcome::Conflict { current } => panic!("{key} is {current:?}"),
    }
}

pub async fn read(kv: &HttpKeyValue, key: &str) -> Option<String> {
    let entry = kv.get(key).await.expect("answers")?;
    Some(String::from_utf8(entry.value).expect("is text"))
}
