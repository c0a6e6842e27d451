//! Builds HTTP responses.

use crate::handler::Readiness;
use crate::linger::LingeringRefusal;
use crate::refusal::{CallRefusal, RefusalCode};
use crate::response::{CallResponse, ResponseMeta};
use crate::stream::{EventStream, StreamAborted};
use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as _, Incoming};
use hyper::header::{
    ALLOW, CACHE_CONTROL, CONNECTION, CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue,
    InvalidHeaderValue, RETRY_AFTER,
};
use hyper::{Method, Response, StatusCode};
use reedford_wire::headers;
use std::time::Duration;

/// Body of an [`HttpResponse`].
pub(crate) type ResponseBody = UnsyncBoxBody<Bytes, StreamAborted>;
/// HTTP response of the entry instance.
pub(crate) type HttpResponse = Response<ResponseBody>;

const JSON: HeaderValue = HeaderValue::from_static("application/json");
const EVENTS: HeaderValue = HeaderValue::from_static("text/event-stream");
const TEXT: HeaderValue = HeaderValue::from_static("text/plain; charset=utf-8");
const METRICS: HeaderValue = HeaderValue::from_static("text/plain; version=0.0.4");
const NO_CACHE: HeaderValue = HeaderValue::from_static("no-cache");
const CLOSE: HeaderValue = HeaderValue::from_static("close");

/// Returns the response to a call.
pub(crate) fn call_response(response: CallResponse) -> HttpResponse {
    let res = match response {
        CallResponse::Refused(refusal) => return refusal_response(&refusal),
        CallResponse::Stream { body, meta } => stream_response(EventStream::new(body), &meta),
        CallResponse::Buffered {
            status,
            content_type,
            body,
            meta,
        } => buffered_response(status, &content_type, body, &meta),
    };
    res.unwrap_or_else(|_invalid| {
        refusal_response(&CallRefusal::unknown(
            RefusalCode::Internal,
            "the answer's headers can't be written",
        ))
    })
}

/// Returns the response to a refused request.
fn refusal_response(refusal: &CallRefusal) -> HttpResponse {
    let mut res = full_response(refusal.status(), JSON, refusal_json(refusal));
    add_retry_after(res.headers_mut(), refusal.retry_after);
    res
}

/// Returns the response to a request that is refused before its body has been
/// read to its end.
pub(crate) fn early_refusal(refusal: &CallRefusal, rest: Incoming) -> HttpResponse {
    if rest.is_end_stream() {
        return refusal_response(refusal);
    }
    let body = LingeringRefusal::new(refusal_json(refusal), rest);
    let body = body.map_err(|never| match never {});
    let mut res = Response::new(UnsyncBoxBody::new(body));
    *res.status_mut() = refusal.status();
    res.headers_mut().insert(CONTENT_TYPE, JSON);
    res.headers_mut().insert(CONNECTION, CLOSE);
    add_retry_after(res.headers_mut(), refusal.retry_after);
    res
}

/// Returns the response to a method that the path does not support.
pub(crate) fn method_not_allowed(allowed: &Method, rest: Incoming) -> HttpResponse {
    let message = format!("this path takes {allowed} only");
    let refusal = CallRefusal::bad_request(RefusalCode::MethodNotAllowed, &message);
    let mut res = early_refusal(&refusal, rest);
    if let Ok(value) = HeaderValue::from_str(allowed.as_str()) {
        res.headers_mut().insert(ALLOW, value);
    }
    res
}

pub(crate) fn health() -> HttpResponse {
    full_response(StatusCode::OK, TEXT, Bytes::from_static(b"ok\n"))
}

pub(crate) fn readiness(readiness: &Readiness) -> HttpResponse {
    match readiness {
        Readiness::Ready => full_response(StatusCode::OK, TEXT, Bytes::from_static(b"ready\n")),
        Readiness::NotReady { reason } => {
            let body = format!("not ready: {reason}\n");
            full_response(StatusCode::SERVICE_UNAVAILABLE, TEXT, body.into())
        }
    }
}

/// Returns the response with all metrics.
pub(crate) fn metrics(text: String) -> HttpResponse {
    full_response(StatusCode::OK, METRICS, text.into())
}

fn buffered_response(
    status: StatusCode,
    content_type: &str,
    body: Bytes,
    meta: &ResponseMeta,
) -> Result<HttpResponse, InvalidHeaderValue> {
    let mut res = full_response(status, HeaderValue::from_str(content_type)?, body);
    add_meta(res.headers_mut(), meta)?;
    Ok(res)
}

fn stream_response(
    body: EventStream,
    meta: &ResponseMeta,
) -> Result<HttpResponse, InvalidHeaderValue> {
    let mut res = Response::new(UnsyncBoxBody::new(body));
    res.headers_mut().insert(CONTENT_TYPE, EVENTS);
    res.headers_mut().insert(CACHE_CONTROL, NO_CACHE);
    add_meta(res.headers_mut(), meta)?;
    Ok(res)
}

/// Returns a response whose body is complete.
fn full_response(status: StatusCode, content_type: HeaderValue, body: Bytes) -> HttpResponse {
    let body = Full::new(body).map_err(|never| match never {});
    let mut res = Response::new(UnsyncBoxBody::new(body));
    *res.status_mut() = status;
    res.headers_mut().insert(CONTENT_TYPE, content_type);
    res
}

fn add_meta(map: &mut HeaderMap, meta: &ResponseMeta) -> Result<(), InvalidHeaderValue> {
    if let Some(model) = &meta.model {
        add_header(map, headers::MODEL, model)?;
    }
    if let Some(stall) = meta.load_stall {
        add_header(map, headers::LOAD_STALL_MS, &stall.as_millis().to_string())?;
    }
    add_header(map, headers::TARGET, &meta.target)?;
    add_header(map, headers::REVISION, &meta.revision.to_string())?;
    add_header(map, headers::ATTEMPT_ID, &meta.attempt)
}

fn add_header(
    map: &mut HeaderMap,
    name: &'static str,
    value: &str,
) -> Result<(), InvalidHeaderValue> {
    map.insert(HeaderName::from_static(name), HeaderValue::from_str(value)?);
    Ok(())
}

/// Adds the `Retry-After` header in seconds, rounded up.
fn add_retry_after(map: &mut HeaderMap, retry_after: Option<Duration>) {
    if let Some(time) = retry_after {
        let seconds = time.as_secs() + u64::from(time.subsec_nanos() > 0);
        map.insert(RETRY_AFTER, seconds.into());
    }
}

fn refusal_json(refusal: &CallRefusal) -> Bytes {
    serde_json::to_vec(&refusal.to_body())
        .expect("plain fields are always JSON")
        .into()
}
