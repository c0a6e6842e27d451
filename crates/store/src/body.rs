//! Bodies of responses, whose time limits follow their size.

use crate::http::unknown_outcome;
use crate::kv::KvError;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Limited};
use hyper::Response;
use hyper::body::{Frame, Incoming};
use reedford_transport::Progress;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Largest body of a response. Values have up to 1 MiB each, and listings many of them.
const MAX_BODY_BYTES: usize = 32 << 20;
/// What is read of the body of an error.
const MAX_ERROR_BYTES: usize = 64 << 10;
/// Longest time without a byte of a body that has begun to arrive.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Rate above which the body of a response may take any time. Listings are larger than
/// what a narrow link passes on within the timeout of a call.
const MIN_BODY_BYTES_PER_S: f64 = 65_536.0;

/// Deadline of an exchange, which moves on while the body of the response arrives.
#[derive(Debug)]
pub(crate) struct Deadline(Mutex<DeadlineState>);

#[derive(Debug)]
struct DeadlineState {
    at: Instant,
    /// When all bytes that have arrived would have been late at the lowest rate.
    by_rate: Instant,
}

impl Deadline {
    /// Creates the deadline of a response without a body.
    pub(crate) const fn new(at: Instant) -> Self {
        Self(Mutex::new(DeadlineState { at, by_rate: at }))
    }

    /// Records that bytes of the body have arrived.
    fn on_bytes(&self, bytes: usize) {
        let time = Duration::from_secs_f64(bytes as f64 / MIN_BODY_BYTES_PER_S);
        let mut state = self.lock();
        state.by_rate += time;
        state.at = state.by_rate.min(Instant::now() + BODY_IDLE_TIMEOUT);
    }

    /// Returns once the deadline has passed.
    pub(crate) async fn passed(&self) {
        loop {
            let at = self.lock().at;
            if Instant::now() >= at {
                return;
            }
            sleep_until(at).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, DeadlineState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The body of a response, whose frames are its connection's progress.
#[derive(Debug)]
pub(crate) struct Body {
    incoming: Incoming,
    progress: Progress,
}

impl Body {
    pub(crate) fn new(res: Response<Incoming>) -> Self {
        let progress = res.extensions().get::<Progress>().cloned();
        let progress = progress.unwrap_or_default();
        progress.restart();
        Self {
            incoming: res.into_body(),
            progress,
        }
    }

    /// Records that what the last frames make up is complete.
    pub(crate) fn restart(&self) {
        self.progress.restart();
    }

    /// Returns the next frame.
    pub(crate) async fn frame(&mut self) -> Option<hyper::Result<Frame<Bytes>>> {
        let frame = self.incoming.frame().await;
        if let Some(Ok(frame)) = &frame {
            self.progress
                .on_frame(frame.data_ref().map_or(0, Bytes::len));
        }
        frame
    }
}

/// Reads a body to its end, as long as it arrives in time and is not too long.
pub(crate) async fn read_body(mut body: Body, deadline: &Deadline) -> Result<Bytes, KvError> {
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(unknown_outcome)?;
        if let Some(data) = frame.data_ref() {
            if buf.len() + data.len() > MAX_BODY_BYTES {
                return Err(unknown_outcome("the response is too long"));
            }
            deadline.on_bytes(data.len());
            buf.extend_from_slice(data);
        }
    }
    Ok(buf.freeze())
}

/// Reads the message of an error.
pub(crate) async fn read_error(body: Body) -> Box<str> {
    let Body { incoming, progress } = body;
    let read = Limited::new(incoming, MAX_ERROR_BYTES).collect().await;
    progress.restart();
    match read {
        Ok(body) => String::from_utf8_lossy(&body.to_bytes()).into(),
        Err(error) => error.to_string().into(),
    }
}
