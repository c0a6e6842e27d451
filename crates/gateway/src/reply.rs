//! HTTP responses to callers.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt as _, Full};
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Response, StatusCode};
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

/// Returns a plain-text response of this node.
pub(crate) fn plain_text(status: StatusCode, text: &'static str) -> Reply {
    let mut reply = Response::new(full_body(Bytes::from_static(text.as_bytes())));
    *reply.status_mut() = status;
    reply.headers_mut().insert(
        hyper::header::CONTENT_TYPE,
        HeaderValue::from_static("text/plain; charset=utf-8"),
    );
    reply
}

/// Returns a plain-text response of this node with an additional header field.
pub(crate) fn plain_text_with(
    status: StatusCode,
    text: &'static str,
    header: (HeaderName, HeaderValue),
) -> Reply {
    let mut reply = plain_text(status, text);
    reply.headers_mut().insert(header.0, header.1);
    reply
}

/// Returns an instance's response as it is sent to the caller.
pub(crate) fn from_instance(status: StatusCode, mut headers: HeaderMap, body: ReplyBody) -> Reply {
    crate::sender::remove_hop_by_hop_headers(&mut headers);
    let mut reply = Response::new(body);
    *reply.status_mut() = status;
    *reply.headers_mut() = headers;
    reply
}
