//! HTTP routes of the platform stand-in.

use crate::platform::config::{Faults, SetInstances};
use crate::platform::connection::Connection;
use crate::platform::state::Shared;
use crate::platform::store::StoreError;
use crate::platform::watch;
use crate::platform::weights::Loaded;
use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use reedford_wire::instances::Instance;
use reedford_wire::kv::{
    LeaseGrantRequest, LeaseKeepAliveResponse, LeaseRequest, RangeRequest, TxnRequest, WatchRequest,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::{Instant, sleep};

type Answer = Response<UnsyncBoxBody<Bytes, Infallible>>;

/// Reason why a call has no successful response.
enum Fault {
    Refused(StatusCode, String),
    /// The connection is closed without a response.
    Lost,
}

impl From<StoreError> for Fault {
    fn from(error: StoreError) -> Self {
        Self::Refused(StatusCode::BAD_REQUEST, format!("{error:?}"))
    }
}

/// Handles one HTTP request.
///
/// # Errors
/// When the connection must be closed without a response.
pub(crate) async fn answer(
    connection: Arc<Connection>,
    req: Request<Incoming>,
) -> io::Result<Answer> {
    let (head, body) = req.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    if connection.silent() {
        std::future::pending::<()>().await;
    }
    let path = head.uri.path();
    let outcome = match path.strip_prefix("/control/") {
        Some(path) => control(&connection.shared, &head.method, path, &body),
        None => platform(&connection, &head.method, path, &body).await,
    };
    match outcome {
        Ok(answer) => Ok(answer),
        Err(Fault::Refused(status, message)) => Ok(with_body(status, message.into())),
        Err(Fault::Lost) => Err(io::Error::other("the answer is lost")),
    }
}

async fn platform(
    connection: &Arc<Connection>,
    method: &Method,
    path: &str,
    body: &[u8],
) -> Result<Answer, Fault> {
    let shared = &connection.shared;
    let faults = shared.faults.borrow().faults.clone();
    sleep(Duration::from_millis(faults.slow_ms)).await;
    if faults.down {
        count(&shared.counters.refused);
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return Err(Fault::Refused(status, "down".to_owned()));
    }
    if *method == Method::GET && path == "/instances" {
        return instances(shared);
    }
    if *method != Method::POST {
        return Err(not_found());
    }
    match path.strip_prefix("/weights/") {
        Some(weights) => load(shared, weights, &faults).await,
        None => key_value(connection, path, body),
    }
}

fn key_value(connection: &Arc<Connection>, path: &str, body: &[u8]) -> Result<Answer, Fault> {
    let shared = &connection.shared;
    let now = Instant::now();
    match path {
        "/v3/kv/range" => {
            count(&shared.counters.reads);
            let req: RangeRequest = read(body)?;
            let res = shared.store().range(&req)?;
            json(&res)
        }
        "/v3/kv/txn" => transaction(shared, read(body)?),
        "/v3/watch" => {
            count(&shared.counters.watches);
            let req: WatchRequest = read(body)?;
            let lines = watch::start(Arc::clone(connection), &req.create_request)?;
            Ok(Response::new(lines))
        }
        "/v3/lease/grant" => {
            count(&shared.counters.leases);
            let req: LeaseGrantRequest = read(body)?;
            json(&shared.change(|store| store.lease_grant(req.ttl, now)))
        }
        "/v3/lease/keepalive" => {
            count(&shared.counters.leases);
            let req: LeaseRequest = read(body)?;
            let result = shared.change(|store| store.lease_keep_alive(req.id, now));
            json(&LeaseKeepAliveResponse { result })
        }
        "/v3/lease/revoke" => {
            count(&shared.counters.leases);
            let req: LeaseRequest = read(body)?;
            shared.change(|store| store.lease_end(req.id));
            json(&serde_json::json!({}))
        }
        _ => Err(not_found()),
    }
}

fn transaction(shared: &Arc<Shared>, req: TxnRequest) -> Result<Answer, Fault> {
    if let Some(delay) = shared.delay_write() {
        shared.tasks.spawn(late(Arc::clone(shared), delay, req));
        return Err(Fault::Lost);
    }
    count(&shared.counters.writes);
    let res = shared.change(|store| store.txn(&req))?;
    if shared.lose_answer() {
        return Err(Fault::Lost);
    }
    json(&res)
}

/// Executes a transaction after a delay. Its connection is already closed.
async fn late(shared: Arc<Shared>, delay: Duration, req: TxnRequest) {
    if shared
        .stop
        .run_until_cancelled(sleep(delay))
        .await
        .is_some()
    {
        // A refused transaction has no effect, and there is no caller to
        // report the refusal to.
        let _ = shared.change(|store| store.txn(&req));
        count(&shared.counters.writes);
    }
}

fn instances(shared: &Shared) -> Result<Answer, Fault> {
    count(&shared.counters.instance_reads);
    let mut directory = shared.directory();
    directory.advance(Instant::now());
    json(directory.shown())
}

async fn load(shared: &Shared, path: &str, faults: &Faults) -> Result<Answer, Fault> {
    let parts: Vec<&str> = path.split('/').collect();
    let [_base, adapter, _version] = parts[..] else {
        return Err(not_found());
    };
    match shared.weights.load(adapter, faults).await {
        Loaded::Done => json(&serde_json::json!({})),
        Loaded::Failed => {
            let message = "the load failed".to_owned();
            Err(Fault::Refused(StatusCode::BAD_GATEWAY, message))
        }
    }
}

fn control(shared: &Shared, method: &Method, path: &str, body: &[u8]) -> Result<Answer, Fault> {
    let now = Instant::now();
    match (method, path.split_once('/')) {
        (&Method::GET, None) if path == "stats" => return json(&shared.stats()),
        (&Method::POST, None) if path == "faults" => shared.set_faults(read(body)?),
        (&Method::POST, None) if path == "instances" => {
            let req: SetInstances = read(body)?;
            let mut directory = shared.directory();
            if let Some(lag) = req.lag_ms {
                directory.set_lag(Duration::from_millis(lag));
            }
            directory.set(req.instances, now);
        }
        (&Method::PUT, Some(("instances", id))) => {
            let instance: Instance = read(body)?;
            if *instance.id != *id {
                let message = "the path names another instance".to_owned();
                return Err(Fault::Refused(StatusCode::BAD_REQUEST, message));
            }
            shared.directory().put(instance, now);
        }
        (&Method::DELETE, Some(("instances", id))) => shared.directory().remove(id, now),
        _ => return Err(not_found()),
    }
    json(&serde_json::json!({}))
}

fn read<T>(body: &[u8]) -> Result<T, Fault>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(body)
        .map_err(|error| Fault::Refused(StatusCode::BAD_REQUEST, error.to_string()))
}

fn json<T>(value: &T) -> Result<Answer, Fault>
where
    T: Serialize,
{
    let body = serde_json::to_vec(value)
        .map_err(|error| Fault::Refused(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()))?;
    Ok(with_body(StatusCode::OK, body.into()))
}

fn with_body(status: StatusCode, body: Bytes) -> Answer {
    let mut res = Response::new(UnsyncBoxBody::new(Full::new(body)));
    *res.status_mut() = status;
    res
}

fn not_found() -> Fault {
    Fault::Refused(StatusCode::NOT_FOUND, "no such path".to_owned())
}

fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}
