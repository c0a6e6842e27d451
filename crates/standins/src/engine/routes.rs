//! HTTP routes of the engine stand-in.

use super::Engine;
use super::config::EngineFaults;
use super::loads;
use super::record::OrderKind;
use super::state::Rejection;
use super::streams;
use crate::target_http::{
    Body, CloseConnection, ConnectionNumber, header_value, json_response, read_json, refusal,
    refusal_response,
};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use reedford_wire::chat::ChatRequest;
use reedford_wire::engine::{AdapterOrder, RefusalCode};
use reedford_wire::headers;
use serde_json::json as value;
use std::sync::Arc;
use std::time::{Duration, Instant};

const STREAMS: &str = "/v1/streams/";

/// Handles one HTTP request.
///
/// # Errors
/// [`CloseConnection`] when the connection must be closed without a response.
pub(super) async fn route(
    engine: Arc<Engine>,
    req: Request<Incoming>,
) -> Result<Response<Body>, CloseConnection> {
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
        (Method::POST, "/v1/load_lora_adapter") => {
            execute_order(&engine, OrderKind::Load, req).await
        }
        (Method::POST, "/v1/unload_lora_adapter") => {
            execute_order(&engine, OrderKind::Unload, req).await
        }
        (Method::GET, "/v1/adapters") => {
            json_response(StatusCode::OK, &engine.state().engine_state())
        }
        (Method::GET, "/v1/report") => json_response(
            StatusCode::OK,
            &engine.state().delayed_engine_state(Instant::now()),
        ),
        (Method::POST, "/control/faults") => set_faults(&engine, req).await,
        (Method::POST, "/control/restart") => {
            engine.restart();
            json_response(
                StatusCode::OK,
                &value!({ "boot_id": engine.state().boot_id }),
            )
        }
        (Method::GET, "/control/record") => json_response(StatusCode::OK, &engine.state().record),
        (Method::GET, "/control/stats") => json_response(StatusCode::OK, &engine.state().stats()),
        _ => not_found(),
    }
}

async fn chat(
    engine: Arc<Engine>,
    req: Request<Incoming>,
) -> Result<Response<Body>, CloseConnection> {
    let Some(attempt) = header_value(&req, headers::ATTEMPT_ID).map(Box::<str>::from) else {
        let missing = refusal(RefusalCode::BadRequest, "no attempt id");
        return refusal_response(&missing, None);
    };
    let traceparent = header_value(&req, headers::TRACEPARENT).map(Box::<str>::from);
    let priority = header_value(&req, headers::PRIORITY).and_then(|p| p.parse().ok());
    let chat: ChatRequest = match read_json(req.into_body()).await? {
        Ok(chat) => chat,
        Err(unreadable) => return refusal_response(&unreadable, Some(&attempt)),
    };
    let accepted = engine
        .state()
        .accept(&attempt, priority.unwrap_or(0), &chat);
    match accepted {
        Ok(()) => {}
        Err(Rejection::Duplicate) => return Err(CloseConnection),
        Err(Rejection::Refused(refusal)) => {
            delay_response(&engine).await;
            return refusal_response(&refusal, Some(&attempt));
        }
    }
    if let Some(traceparent) = traceparent {
        engine
            .state()
            .record
            .traceparents
            .insert(attempt.clone(), traceparent);
    }
    delay_response(&engine).await;
    if chat.stream {
        streams::stream_response(&engine, &attempt, 0)
    } else {
        streams::complete_response(&engine, &attempt).await
    }
}

async fn resume(
    engine: &Arc<Engine>,
    attempt: &str,
    query: Option<&str>,
) -> Result<Response<Body>, CloseConnection> {
    let from = query.and_then(|q| q.strip_prefix("from=")).unwrap_or("0");
    let Ok(from) = from.parse() else {
        let unreadable = refusal(RefusalCode::BadRequest, "from is no number");
        return refusal_response(&unreadable, Some(attempt));
    };
    if !engine.state().is_readable(attempt) {
        return not_found();
    }
    delay_response(engine).await;
    streams::stream_response(engine, attempt, from)
}

fn cancel(engine: &Engine, attempt: &str) -> Result<Response<Body>, CloseConnection> {
    let was_readable = engine.state().cancel(attempt, Instant::now());
    engine.notify();
    if !was_readable {
        return not_found();
    }
    json_response(StatusCode::OK, &value!({}))
}

async fn execute_order(
    engine: &Arc<Engine>,
    kind: OrderKind,
    req: Request<Incoming>,
) -> Result<Response<Body>, CloseConnection> {
    let order: AdapterOrder = match read_json(req.into_body()).await? {
        Ok(order) => order,
        Err(unreadable) => return refusal_response(&unreadable, None),
    };
    match loads::execute(engine, kind, order).await? {
        Ok(done) => json_response(StatusCode::OK, &done),
        Err(refusal) => refusal_response(&refusal, None),
    }
}

async fn set_faults(
    engine: &Engine,
    req: Request<Incoming>,
) -> Result<Response<Body>, CloseConnection> {
    let from = ConnectionNumber::of(&req);
    let faults: EngineFaults = match read_json(req.into_body()).await? {
        Ok(faults) => faults,
        Err(unreadable) => return refusal_response(&unreadable, None),
    };
    engine.set_faults(&faults, from).await;
    json_response(StatusCode::OK, &faults)
}

async fn delay_response(engine: &Engine) {
    let delay = Duration::from_millis(engine.state().faults.delay_answers_ms);
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
}

fn not_found() -> Result<Response<Body>, CloseConnection> {
    json_response(StatusCode::NOT_FOUND, &value!({}))
}
