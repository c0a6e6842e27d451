//! Body of a refusal that is sent before the request body has been read to its
//! end.

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming};
use std::convert::Infallible;
use std::pin::{Pin, pin};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{Sleep, sleep};

/// Longest time for which the rest of a refused request body is read.
const MAX_LINGER_TIME: Duration = Duration::from_secs(1);
/// Maximum number of bytes of the rest of a refused request body that are read.
const MAX_LINGER_BYTES: usize = 8 << 20;

/// Response body that yields the refusal immediately, but ends only once the rest
/// of the request body has been discarded or a limit is reached. Closing a
/// connection with unread bytes resets it, and a reset may discard the refusal
/// before the caller, who is still sending, has read it.
#[derive(Debug)]
pub struct LingeringRefusal {
    refusal: Option<Bytes>,
    rest: Incoming,
    bytes_left: usize,
    timeout: Pin<Box<Sleep>>,
}

impl LingeringRefusal {
    /// Creates the body of a refusal; `rest` is what was not read of the request.
    #[must_use]
    pub fn new(refusal: Bytes, rest: Incoming) -> Self {
        Self {
            refusal: Some(refusal),
            rest,
            bytes_left: MAX_LINGER_BYTES,
            timeout: Box::pin(sleep(MAX_LINGER_TIME)),
        }
    }

    /// Discards the rest of the request body. Ready at its end or at a limit.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while self.bytes_left > 0 {
            let Poll::Ready(frame) = pin!(&mut self.rest).poll_frame(cx) else {
                return self.timeout.as_mut().poll(cx);
            };
            let Some(Ok(frame)) = frame else {
                return Poll::Ready(());
            };
            let length = frame.data_ref().map_or(0, Bytes::len);
            self.bytes_left = self.bytes_left.saturating_sub(length);
        }
        Poll::Ready(())
    }
}

impl Body for LingeringRefusal {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if let Some(refusal) = self.refusal.take() {
            return Poll::Ready(Some(Ok(Frame::data(refusal))));
        }
        self.poll_discard(cx).map(|()| None)
    }
}
