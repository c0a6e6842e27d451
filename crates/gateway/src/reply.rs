//! HTTP responses to callers.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Response, StatusCode};
use reedford_fleet::not_run::{AnswerStatus, NeverRan};
use reedford_front::LingeringRefusal;
use std::convert::Infallible;

/// Aborts a response body, so that the caller sees that it is incomplete.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the response was truncated: {0}")]
pub(crate) struct Truncated(pub(crate) &'static str);

pub(crate) type ReplyBody = UnsyncBoxBody<Bytes, Truncated>;
pub(crate) type Reply = Response<ReplyBody>;

/// Returns a body with this content.
pub(crate) fn full_body(body: Bytes) -> ReplyBody {
    Full::new(body)
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// A status of this node that tells callers nothing on whether their call ran, or that it is
/// refused for good.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Failure {
    BadGateway,
    BadRequest,
    GatewayTimeout,
    NotFound,
    PayloadTooLarge,
    Unauthorized,
}

impl Failure {
    const fn status(self) -> StatusCode {
        match self {
            Self::BadGateway => StatusCode::BAD_GATEWAY,
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::GatewayTimeout => StatusCode::GATEWAY_TIMEOUT,
            Self::NotFound => StatusCode::NOT_FOUND,
            Self::PayloadTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
        }
    }
}

/// A status of this node that callers take for the promise that their call did not run and
/// never will.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Promise {
    RequestTimeout,
    TooManyRequests,
    Unavailable,
}

impl Promise {
    const fn status(self) -> StatusCode {
        match self {
            Self::RequestTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::TooManyRequests => StatusCode::TOO_MANY_REQUESTS,
            Self::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// Returns a response that promises nothing.
pub(crate) fn failure(failure: Failure, text: &'static str) -> Reply {
    plain_text(failure.status(), text)
}

/// Returns a response that promises that the call never ran, as `proof` shows.
pub(crate) fn refusal(
    _proof: NeverRan<'_>,
    promise: Promise,
    text: &'static str,
    retry_after: Option<(HeaderName, HeaderValue)>,
) -> Reply {
    let mut reply = plain_text(promise.status(), text);
    reply.headers_mut().extend(retry_after);
    reply
}

/// Returns a response to a request that is not a call.
pub(crate) fn to_probe(status: StatusCode, text: &'static str) -> Reply {
    plain_text(status, text)
}

fn plain_text(status: StatusCode, text: &'static str) -> Reply {
    let mut reply = Response::new(full_body(Bytes::from_static(text.as_bytes())));
    *reply.status_mut() = status;
    reply.headers_mut().insert(
        hyper::header::CONTENT_TYPE,
        HeaderValue::from_static("text/plain; charset=utf-8"),
    );
    reply
}

/// Returns a response to a request of which `rest` was not read, which closes the connection
/// once the caller has had time to read it.
pub(crate) fn before_rest(reply: Reply, text: &'static str, rest: Incoming) -> Reply {
    let body = LingeringRefusal::new(Bytes::from_static(text.as_bytes()), rest);
    let mut reply = reply.map(|_text| body.map_err(|never| match never {}).boxed_unsync());
    let close = HeaderValue::from_static("close");
    reply.headers_mut().insert(hyper::header::CONNECTION, close);
    reply
}

/// Returns an instance's response as it is sent to the caller.
pub(crate) fn from_instance(
    status: AnswerStatus,
    mut headers: HeaderMap,
    body: ReplyBody,
) -> Reply {
    crate::connection_headers::remove_hop_by_hop_headers(&mut headers);
    let mut reply = Response::new(body);
    *reply.status_mut() = StatusCode::from_u16(status.get()).unwrap_or(StatusCode::BAD_GATEWAY);
    *reply.headers_mut() = headers;
    reply
}
