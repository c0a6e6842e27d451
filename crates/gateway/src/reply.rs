//! Answers to callers.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt as _, Full};
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Response, StatusCode};
use std::convert::Infallible;

/// Ends a body before its end, so that the caller sees that it is not whole.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the answer was cut: {0}")]
pub(crate) struct Cut(pub(crate) &'static str);

/// Body of an answer.
pub(crate) type ReplyBody = UnsyncBoxBody<Bytes, Cut>;
/// An answer.
pub(crate) type Reply = Response<ReplyBody>;

/// A whole body.
pub(crate) fn whole(body: Bytes) -> ReplyBody {
    Full::new(body)
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// An answer of this node's own.
pub(crate) fn own(status: StatusCode, text: &'static str) -> Reply {
    let mut reply = Response::new(whole(Bytes::from_static(text.as_bytes())));
    *reply.status_mut() = status;
    reply.headers_mut().insert(
        hyper::header::CONTENT_TYPE,
        HeaderValue::from_static("text/plain; charset=utf-8"),
    );
    reply
}

/// An answer of this node's own with one more field.
pub(crate) fn own_with(
    status: StatusCode,
    text: &'static str,
    field: (HeaderName, HeaderValue),
) -> Reply {
    let mut reply = own(status, text);
    reply.headers_mut().insert(field.0, field.1);
    reply
}

/// An instance's answer, passed on.
pub(crate) fn passed_on(status: StatusCode, mut headers: HeaderMap, body: ReplyBody) -> Reply {
    crate::sending::remove_connection_fields(&mut headers);
    let mut reply = Response::new(body);
    *reply.status_mut() = status;
    *reply.headers_mut() = headers;
    reply
}
