//! HTTP routes of the platform stand-in.

use crate::platform::config::{Faults, SetInstances};
use crate::platform::connection::Connection;
use crate::platform::state::PlatformState;
use crate::platform::store::StoreError;
use crate::platform::watch;
use crate::platform::weights::LoadResult;
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

type RouteResponse = Response<UnsyncBoxBody<Bytes, Infallible>>;

/// Reason why a call has no successful response.
enum CallFailure {
    Refused(StatusCode, String),
    /// The connection is closed without a response.
    ConnectionClosed,
}

impl From<StoreError> for CallFailure {
    fn from(error: StoreError) -> Self {
        Self::Refused(StatusCode::BAD_REQUEST, format!("{error:?}"))
    }
}

/// Handles one HTTP request.
///
/// # Errors
/// When the connection must be closed without a response.
pub(crate) async fn respond(
    connection: Arc<Connection>,
    req: Request<Incoming>,
) -> io::Result<RouteResponse> {
    let (head, body) = req.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    if connection.must_stay_silent() {
        std::future::pending::<()>().await;
    }
    let path = head.uri.path();
    let outcome = match path.strip_prefix("/control/") {
        Some(path) => control(&connection.shared, &head.method, path, &body),
        None => platform(&connection, &head.method, path, &body).await,
    };
    match outcome {
        Ok(response) => Ok(response),
        Err(CallFailure::Refused(status, message)) => Ok(with_body(status, message.into())),
        Err(CallFailure::ConnectionClosed) => {
            Err(io::Error::other("connection closed by an injected fault"))
        }
    }
}

async fn platform(
    connection: &Arc<Connection>,
    method: &Method,
    path: &str,
    body: &[u8],
) -> Result<RouteResponse, CallFailure> {
    let shared = &connection.shared;
    let faults = shared.faults.borrow().faults.clone();
    sleep(Duration::from_millis(faults.slow_ms)).await;
    if faults.down {
        increment(&shared.counters.refused);
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return Err(CallFailure::Refused(status, "down".to_owned()));
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

fn key_value(
    connection: &Arc<Connection>,
    path: &str,
    body: &[u8],
) -> Result<RouteResponse, CallFailure> {
    let shared = &connection.shared;
    let now = Instant::now();
    match path {
        "/v3/kv/range" => {
            increment(&shared.counters.reads);
            let req: RangeRequest = parse(body)?;
            let res = shared.store().range(&req)?;
            json(&res)
        }
        "/v3/kv/txn" => transaction(shared, parse(body)?),
        "/v3/watch" => {
            increment(&shared.counters.watches);
            let req: WatchRequest = parse(body)?;
            let lines = watch::start(Arc::clone(connection), &req.create_request)?;
            Ok(Response::new(lines))
        }
        "/v3/lease/grant" => {
            increment(&shared.counters.leases);
            let req: LeaseGrantRequest = parse(body)?;
            json(&shared.update(|store| store.lease_grant(req.ttl, now)))
        }
        "/v3/lease/keepalive" => {
            increment(&shared.counters.leases);
            let req: LeaseRequest = parse(body)?;
            let result = shared.update(|store| store.lease_keep_alive(req.id, now));
            json(&LeaseKeepAliveResponse { result })
        }
        "/v3/lease/revoke" => {
            increment(&shared.counters.leases);
            let req: LeaseRequest = parse(body)?;
            shared.update(|store| store.lease_revoke(req.id));
            json(&serde_json::json!({}))
        }
        _ => Err(not_found()),
    }
}

fn transaction(shared: &Arc<PlatformState>, req: TxnRequest) -> Result<RouteResponse, CallFailure> {
    if let Some(delay) = shared.take_late_write() {
        shared
            .tasks
            .spawn(execute_late(Arc::clone(shared), delay, req));
        return Err(CallFailure::ConnectionClosed);
    }
    increment(&shared.counters.writes);
    let res = shared.update(|store| store.txn(&req))?;
    if shared.take_lost_response() {
        return Err(CallFailure::ConnectionClosed);
    }
    json(&res)
}

/// Executes a transaction after a delay. Its connection is already closed.
async fn execute_late(shared: Arc<PlatformState>, delay: Duration, req: TxnRequest) {
    if shared
        .stop
        .run_until_cancelled(sleep(delay))
        .await
        .is_some()
    {
        // A refused transaction has no effect, and there is no caller to
        // report the refusal to.
        let _ = shared.update(|store| store.txn(&req));
        increment(&shared.counters.writes);
    }
}

fn instances(shared: &PlatformState) -> Result<RouteResponse, CallFailure> {
    increment(&shared.counters.instance_reads);
    let mut directory = shared.directory();
    directory.advance(Instant::now());
    json(directory.visible())
}

async fn load(
    shared: &PlatformState,
    path: &str,
    faults: &Faults,
) -> Result<RouteResponse, CallFailure> {
    let parts: Vec<&str> = path.split('/').collect();
    let [_base, adapter, _version] = parts[..] else {
        return Err(not_found());
    };
    match shared.weights.load(adapter, faults).await {
        LoadResult::Done => json(&serde_json::json!({})),
        LoadResult::Failed => {
            let message = "the load failed".to_owned();
            Err(CallFailure::Refused(StatusCode::BAD_GATEWAY, message))
        }
    }
}

fn control(
    shared: &PlatformState,
    method: &Method,
    path: &str,
    body: &[u8],
) -> Result<RouteResponse, CallFailure> {
    let now = Instant::now();
    match (method, path.split_once('/')) {
        (&Method::GET, None) if path == "stats" => return json(&shared.stats()),
        (&Method::POST, None) if path == "faults" => shared.set_faults(parse(body)?),
        (&Method::POST, None) if path == "instances" => {
            let req: SetInstances = parse(body)?;
            let mut directory = shared.directory();
            if let Some(lag) = req.lag_ms {
                directory.set_lag(Duration::from_millis(lag));
            }
            directory.set(req.instances, now);
        }
        (&Method::PUT, Some(("instances", id))) => {
            let instance: Instance = parse(body)?;
            if *instance.id != *id {
                let message = "the path names another instance".to_owned();
                return Err(CallFailure::Refused(StatusCode::BAD_REQUEST, message));
            }
            shared.directory().put(instance, now);
        }
        (&Method::DELETE, Some(("instances", id))) => shared.directory().remove(id, now),
        _ => return Err(not_found()),
    }
    json(&serde_json::json!({}))
}

fn parse<T>(body: &[u8]) -> Result<T, CallFailure>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(body)
        .map_err(|error| CallFailure::Refused(StatusCode::BAD_REQUEST, error.to_string()))
}

fn json<T>(value: &T) -> Result<RouteResponse, CallFailure>
where
    T: Serialize,
{
    let body = serde_json::to_vec(value).map_err(|error| {
        CallFailure::Refused(StatusCode::INTERNAL_SERVER_ERROR, error.to_string())
    })?;
    Ok(with_body(StatusCode::OK, body.into()))
}

fn with_body(status: StatusCode, body: Bytes) -> RouteResponse {
    let mut res = Response::new(UnsyncBoxBody::new(Full::new(body)));
    *res.status_mut() = status;
    res
}

fn not_found() -> CallFailure {
    CallFailure::Refused(StatusCode::NOT_FOUND, "no such path".to_owned())
}

fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}
