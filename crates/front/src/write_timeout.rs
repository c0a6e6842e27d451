//! Connections that end when the other side takes no bytes.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Sleep, sleep};

/// A connection whose writes fail once none of their bytes was taken for a time.
#[derive(Debug)]
pub(crate) struct WriteTimeout<S> {
    stream: S,
    limit: Duration,
    /// Set while a write waits.
    waiting: Option<Pin<Box<Sleep>>>,
}

impl<S> WriteTimeout<S>
where
    S: AsyncWrite + Unpin,
{
    pub(crate) const fn new(stream: S, limit: Duration) -> Self {
        Self {
            stream,
            limit,
            waiting: None,
        }
    }

    fn poll_limited<F>(&mut self, cx: &mut Context<'_>, write: F) -> Poll<io::Result<usize>>
    where
        F: FnOnce(Pin<&mut S>, &mut Context<'_>) -> Poll<io::Result<usize>>,
    {
        let written = write(Pin::new(&mut self.stream), cx);
        if written.is_ready() {
            self.waiting = None;
            return written;
        }
        let limit = self.limit;
        let waiting = self.waiting.get_or_insert_with(|| Box::pin(sleep(limit)));
        ready!(waiting.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl<S> AsyncRead for WriteTimeout<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_read(cx, buf)
    }
}

impl<S> AsyncWrite for WriteTimeout<S>
where
    S: AsyncWrite + Unpin,
{
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.poll_limited(cx, |stream, cx| stream.poll_write(cx, buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.poll_limited(cx, |stream, cx| stream.poll_write_vectored(cx, bufs))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}
