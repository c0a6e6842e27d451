//! Sends one request and reads its response.
//!
//! hyper returns a request that it has not taken from the connection's queue.
//! Such a request never reached the encoder, so none of its bytes were sent.
//! Only a request returned like this is tried on another connection or reported
//! as not sent.

use crate::error::{CallError, LostReason, NotSentReason};
use crate::pool::{Connection, IDLE_TIMEOUT, Pool, Reuse};
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::body::{Body as _, Incoming};
use hyper::header::HeaderMap;
use hyper::{Request, StatusCode, header};
use reedford_bodies::{BodyBuf, BodyKind};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, timeout, timeout_at};

/// Longest response body that is read as a whole.
const BODY_MAX_BYTES: usize = 8 << 20;

/// Limit on the wait for the head of a response.
#[derive(Clone, Copy, Debug)]
pub struct HeadDeadline {
    /// Time by which the head must have been received.
    pub at: Instant,
    /// Reason to report after `at`.
    pub reason: LostReason,
}

impl HeadDeadline {
    /// Limits the wait to the first-byte timeout or the request's deadline,
    /// whichever is earlier.
    pub fn earliest(first_byte: Duration, deadline: Option<Instant>) -> Self {
        let at = Instant::now() + first_byte;
        match deadline {
            Some(deadline) if deadline < at => Self::deadline(deadline),
            _ => Self {
                at,
                reason: LostReason::FirstByteTimeout,
            },
        }
    }

    /// Limits the wait to the request's deadline, or to the first-byte timeout if
    /// it has no deadline.
    pub fn deadline_or_timeout(first_byte: Duration, deadline: Option<Instant>) -> Self {
        deadline.map_or_else(|| Self::earliest(first_byte, None), Self::deadline)
    }

    const fn deadline(at: Instant) -> Self {
        Self {
            at,
            reason: LostReason::Deadline,
        }
    }
}

/// A response whose head has been received.
#[derive(Debug)]
pub struct IncomingResponse {
    /// The body, not yet read.
    pub body: Incoming,
    /// The connection that delivers the body.
    pub conn: Connection,
    /// Header fields.
    pub headers: HeaderMap,
    /// Status.
    pub status: StatusCode,
}

impl IncomingResponse {
    /// Whether the end of the connection is the end of the body. On a relayed connection
    /// the end of the relay looks the same.
    #[must_use]
    pub fn ends_with_conn(&self) -> bool {
        let is_framed = |name| self.headers.contains_key(name);
        !is_framed(header::CONTENT_LENGTH) && !is_framed(header::TRANSFER_ENCODING)
    }
}

/// A response whose body has been read to its end. Dropping it closes its
/// connection; [`BufferedResponse::into_body`] returns the connection to the
/// pool.
#[derive(Debug)]
pub struct BufferedResponse {
    /// The complete body, which holds its share of the pool's memory.
    pub body: Bytes,
    /// Header fields.
    pub headers: HeaderMap,
    /// Status.
    pub status: StatusCode,
    conn: Connection,
}

impl BufferedResponse {
    /// Returns the connection to the pool, and the body to the caller.
    pub fn into_body(self, pool: &Pool) -> Bytes {
        self.into_body_with_idle_timeout(pool, IDLE_TIMEOUT)
    }

    /// Like [`Self::into_body`], but the pool keeps the connection idle for at
    /// most `timeout`.
    pub fn into_body_with_idle_timeout(self, pool: &Pool, timeout: Duration) -> Bytes {
        pool.put_with_idle_timeout(self.conn, timeout);
        self.body
    }
}

/// Sends a request and waits for the head of its response.
///
/// # Errors
/// [`CallError::NotSent`] only if the request never reached the encoder.
pub async fn send_request(
    pool: &Pool,
    addr: SocketAddr,
    req: Request<Full<Bytes>>,
    reuse: Reuse,
    limit: HeadDeadline,
) -> Result<IncomingResponse, CallError> {
    let mut req = req;
    while let Some(conn) = pool.take(addr, reuse).await {
        match send(pool, conn, req, limit).await {
            Ok(res) => return Ok(res),
            Err(SendError::NotSent(returned)) => req = *returned,
            Err(SendError::Lost(reason)) => return Err(reason.into()),
        }
    }
    let conn = timeout_at(limit.at, pool.connect_for(addr, reuse))
        .await
        .unwrap_or(Err(NotSentReason::Deadline))?;
    send(pool, conn, req, limit).await.map_err(|e| match e {
        SendError::NotSent(_) => NotSentReason::Closed.into(),
        SendError::Lost(reason) => reason.into(),
    })
}

/// Like [`send_request`], but prefers `conn`, which [`Pool::acquire`] returned. Another
/// connection is used if `conn` was closed before the request was sent.
///
/// # Errors
/// [`CallError::NotSent`] only if the request never reached the encoder.
pub async fn send_request_on(
    pool: &Pool,
    conn: Connection,
    req: Request<Full<Bytes>>,
    reuse: Reuse,
    limit: HeadDeadline,
) -> Result<IncomingResponse, CallError> {
    let addr = conn.addr;
    match send(pool, conn, req, limit).await {
        Ok(res) => Ok(res),
        Err(SendError::NotSent(req)) => send_request(pool, addr, *req, reuse, limit).await,
        Err(SendError::Lost(reason)) => Err(reason.into()),
    }
}

/// Reads the body of a response to its end. Each wait for more data is limited
/// to `progress`.
///
/// # Errors
/// If the body stalls, is cut, is too long, finds no memory, or is not complete at
/// `deadline`.
pub async fn read_body(
    pool: &Pool,
    res: IncomingResponse,
    progress: Duration,
    deadline: Option<Instant>,
) -> Result<BufferedResponse, LostReason> {
    let addr = res.conn.addr;
    let buf = pool.bodies.body(BodyKind::Response);
    let read = read_frames(res, buf, progress);
    let result = match deadline {
        Some(at) => timeout_at(at, read)
            .await
            .unwrap_or(Err(LostReason::Deadline)),
        None => read.await,
    };
    if result
        .as_ref()
        .is_err_and(|e| *e == LostReason::ProgressTimeout)
    {
        pool.drop_idle(addr);
    }
    result
}

enum SendError {
    /// The connection failed before the request reached the encoder.
    NotSent(Box<Request<Full<Bytes>>>),
    Lost(LostReason),
}

async fn send(
    pool: &Pool,
    mut conn: Connection,
    mut req: Request<Full<Bytes>>,
    limit: HeadDeadline,
) -> Result<IncomingResponse, SendError> {
    if !req.headers().contains_key(header::HOST)
        && let Ok(host) = conn.addr.to_string().parse()
    {
        req.headers_mut().insert(header::HOST, host);
    }
    conn.exchanges = conn.exchanges.saturating_add(1);
    conn.progress.restart();
    let sent = timeout_at(limit.at, conn.sender.try_send_request(req)).await;
    match sent {
        Ok(Ok(res)) => {
            conn.progress.restart();
            let (head, body) = res.into_parts();
            Ok(IncomingResponse {
                body,
                conn,
                headers: head.headers,
                status: head.status,
            })
        }
        Ok(Err(mut e)) => Err(match e.take_message() {
            Some(req) => SendError::NotSent(Box::new(req)),
            None if e.error().is_parse_too_large() || conn.progress.is_exceeded() => {
                SendError::Lost(LostReason::HeadTooLong)
            }
            None => SendError::Lost(LostReason::Closed),
        }),
        Err(_elapsed) => {
            pool.drop_idle(conn.addr);
            Err(SendError::Lost(limit.reason))
        }
    }
}

async fn read_frames(
    mut res: IncomingResponse,
    mut buf: BodyBuf,
    progress: Duration,
) -> Result<BufferedResponse, LostReason> {
    let until_close = res.ends_with_conn() && !res.body.is_end_stream();
    if until_close && res.conn.is_relayed() {
        return Err(LostReason::Closed);
    }
    loop {
        let frame = timeout(progress, res.body.frame())
            .await
            .map_err(|_elapsed| LostReason::ProgressTimeout)?;
        let Some(frame) = frame else { break };
        let frame = frame.map_err(|_cut| res.conn.body_error())?;
        if let Ok(data) = frame.into_data() {
            res.conn.progress.on_frame(data.len());
            if buf.len() + data.len() > BODY_MAX_BYTES {
                return Err(LostReason::TooLong);
            }
            buf.push(&data).map_err(|_full| LostReason::NoMemory)?;
        }
    }
    // A target that has no body to send says so; this one ended after its head.
    if until_close && buf.is_empty() {
        return Err(LostReason::Closed);
    }
    Ok(BufferedResponse {
        body: buf.freeze(),
        headers: res.headers,
        status: res.status,
        conn: res.conn,
    })
}
