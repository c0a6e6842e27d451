//! Reads request bodies up to a limit and computes request digests.

use crate::handler::RequestDigest;
use crate::options;
use crate::refusal::{CallRefusal, RefusalCode};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::http::request::Parts;
use sha2::{Digest, Sha256};
use std::time::Duration;
use tokio::time::timeout;

/// Reads a body of at most `limit` bytes within `time`. If the body is refused,
/// its unread rest stays in `body`.
pub(crate) async fn read_body(
    headers: &HeaderMap,
    body: &mut Incoming,
    limit: usize,
    time: Duration,
) -> Result<Bytes, CallRefusal> {
    let length = options::single_value(headers, CONTENT_LENGTH.as_str())?;
    if let Some(length) = length.and_then(|length| length.parse::<usize>().ok())
        && length > limit
    {
        return Err(too_large(limit));
    }
    match timeout(time, read_frames(body, limit)).await {
        Ok(result) => result,
        Err(_) => Err(bad_body("the body did not come in time")),
    }
}

async fn read_frames(body: &mut Incoming, limit: usize) -> Result<Bytes, CallRefusal> {
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Err(bad_body("the body can't be read to its end"));
        };
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if buf.len() + data.len() > limit {
            return Err(too_large(limit));
        }
        buf.extend_from_slice(data);
    }
    Ok(buf.freeze())
}

/// Returns the [`RequestDigest`] of a request.
pub(crate) fn request_digest(head: &Parts, body: &[u8]) -> RequestDigest {
    let path = head.uri.path_and_query().map_or("", |path| path.as_str());
    let mut hasher = Sha256::new();
    // Methods and paths contain no line feed, so it is an unambiguous separator.
    hasher.update(head.method.as_str());
    hasher.update(b"\n");
    hasher.update(path);
    hasher.update(b"\n");
    hasher.update(body);
    hasher.finalize().into()
}

fn too_large(limit: usize) -> CallRefusal {
    let message = format!("the body is over {limit} bytes");
    CallRefusal::bad_request(RefusalCode::BodyTooLarge, &message)
}

fn bad_body(message: &str) -> CallRefusal {
    CallRefusal::bad_request(RefusalCode::BadBody, message)
}
