//! Bodies of responses, whose time limits follow their size.

use crate::http::unknown_outcome;
use crate::kv::KvError;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

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

/// Reads a body to its end, as long as it arrives in time.
pub(crate) async fn read_body(mut body: Incoming, deadline: &Deadline) -> Result<Bytes, KvError> {
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(unknown_outcome)?;
        if let Some(data) = frame.data_ref() {
            deadline.on_bytes(data.len());
            buf.extend_from_slice(data);
        }
    }
    Ok(buf.freeze())
}
