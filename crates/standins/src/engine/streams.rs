//! Responses to accepted requests: complete, or as server-sent events.

use super::Engine;
use super::state::StreamPart;
use crate::target_http::{Body, CloseConnection, full_body};
use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::Frame;
use hyper::{Response, StatusCode, header};
use reedford_wire::chat::STREAM_END;
use reedford_wire::headers;
use std::io;
use std::sync::Arc;

/// Waits for the complete response to an accepted request.
///
/// # Errors
/// [`CloseConnection`] when the request was cancelled or cut off.
pub(super) async fn complete_response(
    engine: &Arc<Engine>,
    attempt: &str,
) -> Result<Response<Body>, CloseConnection> {
    let response = engine
        .wait_for(|state| state.complete_response(attempt))
        .await
        .ok_or(CloseConnection)?;
    let body = serde_json::to_vec(&response).map_err(|_invalid| CloseConnection)?;
    build_response(engine, attempt, "application/json", full_body(body.into()))
}

/// Streams the tokens of an accepted request as they are generated, starting
/// with token number `from`.
///
/// # Errors
/// [`CloseConnection`] when the request has been removed.
pub(super) fn stream_response(
    engine: &Arc<Engine>,
    attempt: &str,
    from: u32,
) -> Result<Response<Body>, CloseConnection> {
    let reader = Reader {
        attempt: attempt.into(),
        engine: Arc::clone(engine),
        next: Some(from),
    };
    let frames = stream::unfold(reader, |mut reader| async move {
        let frame = reader.next_frame().await?;
        Some((frame, reader))
    });
    let body = StreamBody::new(frames).boxed_unsync();
    build_response(engine, attempt, "text/event-stream", body)
}

/// One reader of a stream.
#[derive(Debug)]
struct Reader {
    attempt: Box<str>,
    engine: Arc<Engine>,
    /// Number of the next token; `None` after the end of the stream.
    next: Option<u32>,
}

impl Reader {
    async fn next_frame(&mut self) -> Option<io::Result<Frame<Bytes>>> {
        let index = self.next?;
        let part = self
            .engine
            .wait_for(|state| state.stream_part(&self.attempt, index))
            .await;
        let text = match part {
            StreamPart::Chunk(chunk) => {
                self.next = Some(index + 1);
                let data = serde_json::to_string(&chunk).ok()?;
                format!("id: {index}\ndata: {data}\n\n")
            }
            StreamPart::End => {
                self.next = None;
                format!("data: {STREAM_END}\n\n")
            }
            StreamPart::Cut => {
                self.next = None;
                return Some(Err(io::ErrorKind::ConnectionAborted.into()));
            }
        };
        Some(Ok(Frame::data(text.into())))
    }
}

fn build_response(
    engine: &Engine,
    attempt: &str,
    content_type: &str,
    body: Body,
) -> Result<Response<Body>, CloseConnection> {
    let (attempt, model) = engine
        .state()
        .response_identity(attempt)
        .ok_or(CloseConnection)?;
    Response::builder()
        .status(StatusCode::OK)
        .header(header::CONTENT_TYPE, content_type)
        .header(headers::ATTEMPT_ID, &*attempt)
        .header(headers::MODEL, &*model)
        .header(headers::TARGET, &*engine.cfg.id)
        .body(body)
        .map_err(|_invalid| CloseConnection)
}
