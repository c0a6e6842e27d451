//! Body of a streamed response.

use crate::refusal::RefusalCode;
use crate::response::{ResponseStream, StreamError};
use bytes::Bytes;
use hyper::body::{Body, Frame};
use reedford_wire::chat::STREAM_END;
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// Number of bytes at the end of the stream that are searched for the end marker.
const TAIL_BYTES: usize = 32;

/// Body of a streamed response. The body ends normally only after the end marker.
/// Otherwise an error event is sent and the connection is closed without the
/// final chunk, so a caller can't mistake the stream for a complete response.
pub(crate) struct EventStream {
    rx: ResponseStream,
    tail: Vec<u8>,
    state: State,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// Events are forwarded.
    Open,
    /// The error event was passed to hyper, which has not written it yet.
    Flushing,
    /// The connection must be closed.
    Aborted,
}

/// Body error that makes hyper close the connection.
#[derive(Debug)]
pub(crate) struct StreamAborted;

impl fmt::Display for StreamAborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the stream was cut")
    }
}

impl std::error::Error for StreamAborted {}

impl EventStream {
    pub(crate) fn new(rx: ResponseStream) -> Self {
        Self {
            rx,
            tail: Vec::new(),
            state: State::Open,
        }
    }

    fn keep_tail(&mut self, data: &[u8]) {
        self.tail.extend_from_slice(data);
        let excess = self.tail.len().saturating_sub(TAIL_BYTES);
        self.tail.drain(..excess);
    }

    /// Returns whether the last line is the end marker. Line feeds inside an event
    /// are escaped, so generated text can't contain the marker as a line.
    fn has_end_marker(&self) -> bool {
        let tail = self.tail.trim_ascii_end();
        let last = tail.rsplit(|b| *b == b'\n').next();
        last.and_then(|line| line.strip_prefix(b"data:"))
            .is_some_and(|data| data.trim_ascii() == STREAM_END.as_bytes())
    }

    /// Returns the error event and makes the next polls flush it and abort.
    fn abort_with(&mut self, error: &StreamError) -> Frame<Bytes> {
        self.state = State::Flushing;
        let body = error.to_refusal().to_body();
        let json = serde_json::to_string(&body).expect("plain fields are always JSON");
        // The first line feed ends an event that was truncated.
        Frame::data(format!("\n\nevent: error\ndata: {json}\n\n").into())
    }
}

impl Body for EventStream {
    type Data = Bytes;
    type Error = StreamAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamAborted>>> {
        match self.state {
            State::Open => (),
            State::Flushing => {
                // hyper flushes its buffer when a body is pending, but not when a
                // body fails.
                self.state = State::Aborted;
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
            State::Aborted => return Poll::Ready(Some(Err(StreamAborted))),
        }
        let frame = match ready!(self.rx.poll_recv(cx)) {
            Some(Ok(data)) => {
                self.keep_tail(&data);
                Frame::data(data)
            }
            Some(Err(error)) => self.abort_with(&error),
            None if self.has_end_marker() => return Poll::Ready(None),
            None => self.abort_with(&StreamError {
                code: RefusalCode::Internal,
                message: "the stream ended without its end mark".into(),
            }),
        };
        Poll::Ready(Some(Ok(frame)))
    }
}
