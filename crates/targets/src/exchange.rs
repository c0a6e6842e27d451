//! One request and the answer to it.
//!
//! The connection library hands a request back when it never took it from its
//! queue. Only then is the request tried on a new connection, or reported as
//! not sent: it never reached the encoder, so none of its bytes left.

use crate::error::{CallError, LostReason, NotSentReason};
use crate::pool::{Connection, IDLE_LIMIT, Pool};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Request, StatusCode, header};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, timeout, timeout_at};

/// Longest whole answer in bytes.
const ANSWER_MAX_BYTES: usize = 8 << 20;

/// Which connections may carry a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reuse {
    /// An unused one if there is one.
    Allowed,
    /// A new one.
    Never,
}

/// When an answer must begin.
#[derive(Clone, Copy, Debug)]
pub struct HeadDeadline {
    /// The limit.
    pub at: Instant,
    /// What is reported when it passes.
    pub reason: LostReason,
}

impl HeadDeadline {
    /// A limit by the first-byte timeout or the deadline, whichever is sooner.
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

    /// A limit by the deadline, or by the first-byte timeout when there is none.
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

/// The head of an answer, with the connection that its body comes on.
#[derive(Debug)]
pub struct IncomingResponse {
    /// The body, not yet read.
    pub body: Incoming,
    /// The connection that it comes on.
    pub conn: Connection,
    /// Header fields.
    pub headers: HeaderMap,
    /// Status.
    pub status: StatusCode,
}

/// A whole answer. The connection goes back to the pool only through
/// [`BufferedResponse::into_body`]; dropped with the answer, it is closed.
#[derive(Debug)]
pub struct BufferedResponse {
    /// The whole body.
    pub body: Bytes,
    /// Header fields.
    pub headers: HeaderMap,
    /// Status.
    pub status: StatusCode,
    conn: Connection,
}

impl BufferedResponse {
    /// Gives the connection back and yields the body.
    pub fn into_body(self, pool: &Pool) -> Bytes {
        self.into_body_with_idle_timeout(pool, IDLE_LIMIT)
    }

    /// Gives the connection back, to be kept unused for at most `idle`, and
    /// yields the body.
    pub fn into_body_with_idle_timeout(self, pool: &Pool, idle: Duration) -> Bytes {
        pool.put_with_idle_timeout(self.conn, idle);
        self.body
    }
}

/// Sends a request and waits for the head of its answer.
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
    if reuse == Reuse::Allowed {
        while let Some(conn) = pool.take(addr).await {
            match send(pool, conn, req, limit).await {
                Ok(exchange) => return Ok(exchange),
                Err(SendError::Unsent(returned)) => req = *returned,
                Err(SendError::Lost(reason)) => return Err(reason.into()),
            }
        }
    }
    let conn = timeout_at(limit.at, pool.connect(addr))
        .await
        .unwrap_or(Err(NotSentReason::Deadline))?;
    send(pool, conn, req, limit).await.map_err(|e| match e {
        SendError::Unsent(_) => NotSentReason::Closed.into(),
        SendError::Lost(reason) => reason.into(),
    })
}

/// Reads the body of an answer to its end.
///
/// # Errors
/// When it stalls, is cut, or is too long.
pub async fn read_body(
    pool: &Pool,
    exchange: IncomingResponse,
    progress: Duration,
    deadline: Option<Instant>,
) -> Result<BufferedResponse, LostReason> {
    let addr = exchange.conn.addr;
    let reading = read_frames(exchange, progress);
    let result = match deadline {
        Some(at) => timeout_at(at, reading)
            .await
            .unwrap_or(Err(LostReason::Deadline)),
        None => reading.await,
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
    Unsent(Box<Request<Full<Bytes>>>),
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
    let sent = timeout_at(limit.at, conn.sender.try_send_request(req)).await;
    match sent {
        Ok(Ok(res)) => {
            let (head, body) = res.into_parts();
            Ok(IncomingResponse {
                body,
                conn,
                headers: head.headers,
                status: head.status,
            })
        }
        Ok(Err(mut e)) => Err(e.take_message().map_or_else(
            || SendError::Lost(LostReason::Closed),
            |req| SendError::Unsent(Box::new(req)),
        )),
        Err(_elapsed) => {
            pool.drop_idle(conn.addr);
            Err(SendError::Lost(limit.reason))
        }
    }
}

async fn read_frames(
    mut exchange: IncomingResponse,
    progress: Duration,
) -> Result<BufferedResponse, LostReason> {
    let mut buf = BytesMut::new();
    loop {
        let frame = timeout(progress, exchange.body.frame())
            .await
            .map_err(|_elapsed| LostReason::ProgressTimeout)?;
        let Some(frame) = frame else { break };
        let frame = frame.map_err(|_cut| LostReason::Closed)?;
        if let Ok(data) = frame.into_data() {
            if buf.len() + data.len() > ANSWER_MAX_BYTES {
                return Err(LostReason::TooLong);
            }
            buf.extend_from_slice(&data);
        }
    }
    Ok(BufferedResponse {
        body: buf.freeze(),
        headers: exchange.headers,
        status: exchange.status,
        conn: exchange.conn,
    })
}
