//! HTTP routes of the engine stand-in.

use super::Engine;
use super::config::FaultOrder;
use super::core::Rejection;
use super::loads;
use super::record::OrderKind;
use super::streams;
use crate::target_http::{Body, ConnectionNumber, Cut, field, json, read_json, refusal, refuse};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use reedford_wire::chat::ChatRequest;
use reedford_wire::engine::{LoadOrder, RefusalCode};
use reedford_wire::headers;
use serde_json::json as value;
use std::sync::Arc;
use std::time::{Duration, Instant};

const STREAMS: &str = "/v1/streams/";

/// Handles one HTTP request.
///
/// # Errors
/// [`Cut`] when the connection must be closed without a response.
pub(super) async fn route(
    engine: Arc<Engine>,
    req: Request<Incoming>,
) -> Result<Response<Body>, Cut> {
    let path = req.uri().path().to_owned();
    let method = req.method().clone();
    if let Some(attempt) = path.strip_prefix(STREAMS) {
        return match method {
            Method::GET => resume(&engine, attempt, req.uri().query()).await,
            Method::DELETE => cancel(&engine, attempt),
            _ => not_found(),
        };
    }
    match (method, path.as_str()) {
        (Method::POST, "/v1/chat/completions") => chat(engine, req).await,
        (Method::POST, "/v1/load_lora_adapter") => order(&engine, OrderKind::Load, req).await,
        (Method::POST, "/v1/unload_lora_adapter") => order(&engine, OrderKind::Unload, req).await,
        (Method::GET, "/v1/adapters") => json(StatusCode::OK, &engine.core().listing()),
        (Method::GET, "/v1/report") => json(StatusCode::OK, &engine.core().report(Instant::now())),
        (Method::POST, "/control/faults") => faults(&engine, req).await,
        (Method::POST, "/control/restart") => {
            engine.restart();
            json(
                StatusCode::OK,
                &value!({ "boot_id": engine.core().boot_id }),
            )
        }
        (Method::GET, "/control/record") => json(StatusCode::OK, &engine.core().record),
        (Method::GET, "/control/stats") => json(StatusCode::OK, &engine.core().stats()),
        _ => not_found(),
    }
}

async fn chat(engine: Arc<Engine>, req: Request<Incoming>) -> Result<Response<Body>, Cut> {
    let Some(attempt) = field(&req, headers::ATTEMPT_ID).map(Box::<str>::from) else {
        let missing = refusal(RefusalCode::BadRequest, "no attempt id");
        return refuse(&missing, None);
    };
    let traceparent = field(&req, headers::TRACEPARENT).map(Box::<str>::from);
    let priority = field(&req, headers::PRIORITY).and_then(|p| p.parse().ok());
    let chat: ChatRequest = match read_json(req.into_body()).await? {
        Ok(chat) => chat,
        Err(unreadable) => return refuse(&unreadable, Some(&attempt)),
    };
    let accepted = engine.core().accept(&attempt, priority.unwrap_or(0), &chat);
    match accepted {
        Ok(()) => {}
        Err(Rejection::Duplicate) => return Err(Cut),
        Err(Rejection::Refused(refusal)) => {
            hold_back(&engine).await;
            return refuse(&refusal, Some(&attempt));
        }
    }
    if let Some(traceparent) = traceparent {
        engine
            .core()
            .record
            .traceparents
            .insert(attempt.clone(), traceparent);
    }
    hold_back(&engine).await;
    if chat.stream {
        streams::streamed(&engine, &attempt, 0)
    } else {
        streams::whole(&engine, &attempt).await
    }
}

async fn resume(
    engine: &Arc<Engine>,
    attempt: &str,
    query: Option<&str>,
) -> Result<Response<Body>, Cut> {
    let from = query.and_then(|q| q.strip_prefix("from=")).unwrap_or("0");
    let Ok(from) = from.parse() else {
        let unreadable = refusal(RefusalCode::BadRequest, "from is no number");
        return refuse(&unreadable, Some(attempt));
    };
    if !engine.core().is_readable(attempt) {
        return not_found();
    }
    hold_back(engine).await;
    streams::streamed(engine, attempt, from)
}

fn cancel(engine: &Engine, attempt: &str) -> Result<Response<Body>, Cut> {
    let known = engine.core().cancel(attempt, Instant::now());
    engine.notify();
    if !known {
        return not_found();
    }
    json(StatusCode::OK, &value!({}))
}

async fn order(
    engine: &Arc<Engine>,
    kind: OrderKind,
    req: Request<Incoming>,
) -> Result<Response<Body>, Cut> {
    let order: LoadOrder = match read_json(req.into_body()).await? {
        Ok(order) => order,
        Err(unreadable) => return refuse(&unreadable, None),
    };
    match loads::carry_out(engine, kind, order).await? {
        Ok(done) => json(StatusCode::OK, &done),
        Err(refusal) => refuse(&refusal, None),
    }
}

async fn faults(engine: &Engine, req: Request<Incoming>) -> Result<Response<Body>, Cut> {
    let from = ConnectionNumber::of(&req);
    let order: FaultOrder = match read_json(req.into_body()).await? {
        Ok(order) => order,
        Err(unreadable) => return refuse(&unreadable, None),
    };
    engine.set_faults(&order, from).await;
    json(StatusCode::OK, &order)
}

async fn hold_back(engine: &Engine) {
    let delay = Duration::from_millis(engine.core().faults.delay_answers_ms);
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
}

fn not_found() -> Result<Response<Body>, Cut> {
    json(StatusCode::NOT_FOUND, &value!({}))
}
