//! The body of a streamed answer.

use crate::answer::{ResponseStream, StreamError};
use crate::refused::RefusalCode;
use bytes::Bytes;
use hyper::body::{Body, Frame};
use reedford_wire::chat::STREAM_END;
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// Bytes at the end of the stream that are looked at for its end mark.
const TAIL_BYTES: usize = 32;

/// A streamed answer. It ends well only after the end mark; in any other case
/// an event tells the error and the connection is closed without the final
/// chunk, so that no caller can take the stream for a whole answer.
pub(crate) struct EventStream {
    rx: ResponseStream,
    tail: Vec<u8>,
    state: State,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// Passes events on.
    Open,
    /// The error event was handed over and has yet to be written out.
    Flushing,
    /// The connection must be closed.
    Cut,
}

/// Makes hyper close the connection.
#[derive(Debug)]
pub(crate) struct StreamCut;

impl fmt::Display for StreamCut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the stream was cut")
    }
}

impl std::error::Error for StreamCut {}

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

    /// Whether the last line is the end mark. Inside of an event a line feed
    /// is escaped, so that the text of an answer can't imitate it.
    fn ended(&self) -> bool {
        let tail = self.tail.trim_ascii_end();
        let last = tail.rsplit(|b| *b == b'\n').next();
        last.and_then(|line| line.strip_prefix(b"data:"))
            .is_some_and(|data| data.trim_ascii() == STREAM_END.as_bytes())
    }

    fn cut(&mut self, fault: &StreamError) -> Frame<Bytes> {
        self.state = State::Flushing;
        let body = fault.to_refused().to_body();
        let json = serde_json::to_string(&body).expect("plain fields are always JSON");
        // The first line feed ends an event that was cut in its middle.
        Frame::data(format!("\n\nevent: error\ndata: {json}\n\n").into())
    }
}

impl Body for EventStream {
    type Data = Bytes;
    type Error = StreamCut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamCut>>> {
        match self.state {
            State::Open => (),
            State::Flushing => {
                // hyper writes out what it has whenever a body is pending, but
                // not when a body fails.
                self.state = State::Cut;
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
            State::Cut => return Poll::Ready(Some(Err(StreamCut))),
        }
        let frame = match ready!(self.rx.poll_recv(cx)) {
            Some(Ok(data)) => {
                self.keep_tail(&data);
                Frame::data(data)
            }
            Some(Err(fault)) => self.cut(&fault),
            None if self.ended() => return Poll::Ready(None),
            None => self.cut(&StreamError {
                code: RefusalCode::Internal,
                message: "the stream ended without its end mark".into(),
            }),
        };
        Poll::Ready(Some(Ok(frame)))
    }
}
