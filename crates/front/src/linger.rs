//! The body of an early refusal.

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming};
use std::convert::Infallible;
use std::pin::{Pin, pin};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{Sleep, sleep};

/// Longest time for which a refused body is still read.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Most bytes of a refused body that are still read.
const LINGER_BYTES: usize = 8 << 20;

/// Sends a refusal at once and then reads and forgets some more of the body.
/// To close a connection with unread bytes resets it, and a reset may destroy
/// the refusal before the caller, who is still sending, has read it.
pub(crate) struct Linger {
    refusal: Option<Bytes>,
    rest: Incoming,
    left: usize,
    time: Pin<Box<Sleep>>,
}

impl Linger {
    pub(crate) fn new(refusal: Bytes, rest: Incoming) -> Self {
        Self {
            refusal: Some(refusal),
            rest,
            left: LINGER_BYTES,
            time: Box::pin(sleep(LINGER_TIME)),
        }
    }

    /// Whether reading on is over.
    fn poll_rest(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while self.left > 0 {
            let Poll::Ready(frame) = pin!(&mut self.rest).poll_frame(cx) else {
                return self.time.as_mut().poll(cx);
            };
            let Some(Ok(frame)) = frame else {
                return Poll::Ready(());
            };
            let length = frame.data_ref().map_or(0, Bytes::len);
            self.left = self.left.saturating_sub(length);
        }
        Poll::Ready(())
    }
}

impl Body for Linger {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if let Some(refusal) = self.refusal.take() {
            return Poll::Ready(Some(Ok(Frame::data(refusal))));
        }
        self.poll_rest(cx).map(|()| None)
    }
}
