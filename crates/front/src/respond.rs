//! Turns answers into HTTP responses.

use crate::answer::{CallResponse, ResponseMeta};
use crate::handler::Readiness;
use crate::linger::Linger;
use crate::refused::{CallRefusal, RefusalCode};
use crate::stream::{EventStream, StreamCut};
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

/// Body of a response of the entry instance.
pub(crate) type ReplyBody = UnsyncBoxBody<Bytes, StreamCut>;
/// A response of the entry instance.
pub(crate) type Reply = Response<ReplyBody>;

const JSON: HeaderValue = HeaderValue::from_static("application/json");
const EVENTS: HeaderValue = HeaderValue::from_static("text/event-stream");
const TEXT: HeaderValue = HeaderValue::from_static("text/plain; charset=utf-8");
const METRICS: HeaderValue = HeaderValue::from_static("text/plain; version=0.0.4");
const NO_CACHE: HeaderValue = HeaderValue::from_static("no-cache");
const CLOSE: HeaderValue = HeaderValue::from_static("close");

/// The response to a call.
pub(crate) fn answer(answer: CallResponse) -> Reply {
    let reply = match answer {
        CallResponse::Refused(refused) => return refusal(&refused),
        CallResponse::Stream { body, meta } => stream(EventStream::new(body), &meta),
        CallResponse::Buffered {
            status,
            content_type,
            body,
            meta,
        } => whole(status, &content_type, body, &meta),
    };
    reply.unwrap_or_else(|_invalid| {
        refusal(&CallRefusal::unknown(
            RefusalCode::Internal,
            "the answer's headers can't be written",
        ))
    })
}

/// The response to a request that is refused.
pub(crate) fn refusal(refused: &CallRefusal) -> Reply {
    let mut reply = plain(refused.status(), JSON, refusal_json(refused));
    add_retry_after(reply.headers_mut(), refused.retry_after);
    reply
}

/// The response to a request whose body may not be read to its end.
pub(crate) fn early_refusal(refused: &CallRefusal, rest: Incoming) -> Reply {
    if rest.is_end_stream() {
        return refusal(refused);
    }
    let body = Linger::new(refusal_json(refused), rest);
    let body = body.map_err(|never| match never {});
    let mut reply = Response::new(UnsyncBoxBody::new(body));
    *reply.status_mut() = refused.status();
    reply.headers_mut().insert(CONTENT_TYPE, JSON);
    reply.headers_mut().insert(CONNECTION, CLOSE);
    add_retry_after(reply.headers_mut(), refused.retry_after);
    reply
}

/// The response to a method that the path does not take.
pub(crate) fn method_not_allowed(allowed: &Method, rest: Incoming) -> Reply {
    let message = format!("this path takes {allowed} only");
    let refused = CallRefusal::bad_request(RefusalCode::MethodNotAllowed, &message);
    let mut reply = early_refusal(&refused, rest);
    if let Ok(value) = HeaderValue::from_str(allowed.as_str()) {
        reply.headers_mut().insert(ALLOW, value);
    }
    reply
}

/// The response of a process that runs.
pub(crate) fn health() -> Reply {
    plain(StatusCode::OK, TEXT, Bytes::from_static(b"ok\n"))
}

/// The response that tells whether calls are taken.
pub(crate) fn readiness(readiness: &Readiness) -> Reply {
    match readiness {
        Readiness::Ready => plain(StatusCode::OK, TEXT, Bytes::from_static(b"ready\n")),
        Readiness::NotReady { reason } => {
            let body = format!("not ready: {reason}\n");
            plain(StatusCode::SERVICE_UNAVAILABLE, TEXT, body.into())
        }
    }
}

/// The response with all metrics.
pub(crate) fn metrics(text: String) -> Reply {
    plain(StatusCode::OK, METRICS, text.into())
}

fn whole(
    status: StatusCode,
    content_type: &str,
    body: Bytes,
    meta: &ResponseMeta,
) -> Result<Reply, InvalidHeaderValue> {
    let mut reply = plain(status, HeaderValue::from_str(content_type)?, body);
    add_meta(reply.headers_mut(), meta)?;
    Ok(reply)
}

fn stream(body: EventStream, meta: &ResponseMeta) -> Result<Reply, InvalidHeaderValue> {
    let mut reply = Response::new(UnsyncBoxBody::new(body));
    reply.headers_mut().insert(CONTENT_TYPE, EVENTS);
    reply.headers_mut().insert(CACHE_CONTROL, NO_CACHE);
    add_meta(reply.headers_mut(), meta)?;
    Ok(reply)
}

fn plain(status: StatusCode, content_type: HeaderValue, body: Bytes) -> Reply {
    let body = Full::new(body).map_err(|never| match never {});
    let mut reply = Response::new(UnsyncBoxBody::new(body));
    *reply.status_mut() = status;
    reply.headers_mut().insert(CONTENT_TYPE, content_type);
    reply
}

fn add_meta(map: &mut HeaderMap, meta: &ResponseMeta) -> Result<(), InvalidHeaderValue> {
    if let Some(model) = &meta.model {
        add(map, headers::MODEL, model)?;
    }
    if let Some(stall) = meta.load_stall {
        add(map, headers::LOAD_STALL_MS, &stall.as_millis().to_string())?;
    }
    add(map, headers::TARGET, &meta.target)?;
    add(map, headers::REVISION, &meta.revision.to_string())?;
    add(map, headers::ATTEMPT_ID, &meta.attempt)
}

fn add(map: &mut HeaderMap, name: &'static str, value: &str) -> Result<(), InvalidHeaderValue> {
    map.insert(HeaderName::from_static(name), HeaderValue::from_str(value)?);
    Ok(())
}

/// Adds the time to come back in whole seconds, rounded up.
fn add_retry_after(map: &mut HeaderMap, retry_after: Option<Duration>) {
    if let Some(time) = retry_after {
        let seconds = time.as_secs() + u64::from(time.subsec_nanos() > 0);
        map.insert(RETRY_AFTER, seconds.into());
    }
}

fn refusal_json(refused: &CallRefusal) -> Bytes {
    serde_json::to_vec(&refused.to_body())
        .expect("plain fields are always JSON")
        .into()
}
