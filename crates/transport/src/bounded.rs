//! A connection that shares the thread with others.

use crate::progress::Progress;
use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};
use hyper_util::client::legacy::connect::{Connected, Connection};
use std::io::{self, ErrorKind, IoSlice};
use std::mem::MaybeUninit;
use std::pin::{Pin, pin};
use std::task::{Context, Poll, ready};
use tokio::task::yield_now;

/// Bytes of one read.
const MAX_READ_BYTES: usize = 16 << 10;
/// Bytes that are read before other connections get their turn.
const TURN_BYTES: usize = 64 << 10;

/// A connection that shares the thread with others. Reading it fails once its [`Progress`]
/// is exceeded.
#[derive(Debug)]
pub struct BoundedStream<T> {
    inner: T,
    /// `None` if the bytes without progress are not bounded here.
    progress: Option<Progress>,
    /// Bytes that were read in this turn.
    turn: usize,
}

impl<T> BoundedStream<T> {
    /// Creates the connection of a client, which records the progress of responses.
    pub const fn new(inner: T, progress: Progress) -> Self {
        Self {
            inner,
            progress: Some(progress),
            turn: 0,
        }
    }

    /// Creates a connection whose bytes without progress are not bounded.
    pub const fn sharing(inner: T) -> Self {
        Self {
            inner,
            progress: None,
            turn: 0,
        }
    }
}

impl<T> Read for BoundedStream<T>
where
    T: Read + Unpin,
{
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let stream = self.get_mut();
        if stream.progress.as_ref().is_some_and(Progress::is_exceeded) {
            let error = io::Error::new(ErrorKind::InvalidData, "no progress");
            return Poll::Ready(Err(error));
        }
        if stream.turn >= TURN_BYTES {
            stream.turn = 0;
            // Wakes this task after the others.
            if pin!(yield_now()).poll(cx).is_pending() {
                return Poll::Pending;
            }
        }
        let mut space = [MaybeUninit::uninit(); MAX_READ_BYTES];
        let len = buf.remaining().min(MAX_READ_BYTES);
        let mut part = ReadBuf::uninit(&mut space[..len]);
        let read = Pin::new(&mut stream.inner).poll_read(cx, part.unfilled());
        if read.is_pending() {
            stream.turn = 0;
        }
        ready!(read)?;
        let bytes = part.filled();
        stream.turn += bytes.len();
        if let Some(progress) = &stream.progress {
            progress.on_bytes(bytes.len());
        }
        buf.put_slice(bytes);
        Poll::Ready(Ok(()))
    }
}

impl<T> Write for BoundedStream<T>
where
    T: Unpin + Write,
{
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().inner).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().inner).poll_write_vectored(cx, bufs)
    }
}

/// Responses have the [`Progress`] of their connection among their extensions.
impl<T> Connection for BoundedStream<T>
where
    T: Connection,
{
    fn connected(&self) -> Connected {
        let connected = self.inner.connected();
        match &self.progress {
            Some(progress) => connected.extra(progress.clone()),
            None => connected,
        }
    }
}
