//! HTTP server and client of the target stand-ins.
//!
//! [`Silence`] can make all open connections silent permanently while new ones
//! work, as happens when a middlebox loses its connection state.

use bytes::Bytes;
use eyre::WrapErr as _;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, header};
use hyper_util::rt::TokioIo;
use reedford_targets::refusal_status;
use reedford_wire::engine::{Refusal, RefusalCode};
use reedford_wire::headers;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::SystemTime;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

/// Maximum size of a request body in bytes.
const BODY_MAX_BYTES: usize = 8 << 20;

/// Response body; an error closes the connection.
pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Error by which a handler closes the connection without a response.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("connection cut")]
pub(crate) struct CloseConnection;

/// Serves connections until `stop` is cancelled, then closes and joins them.
pub(crate) async fn serve<H, F>(
    listener: TcpListener,
    stop: CancellationToken,
    silence: Arc<Silence>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Result<Response<Body>, CloseConnection>> + Send + 'static,
{
    let mut connections = JoinSet::new();
    while let Some(accepted) = stop.run_until_cancelled(listener.accept()).await {
        while connections.try_join_next().is_some() {}
        let Ok((stream, _)) = accepted else { continue };
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let stream = Silence::wrap(&silence, stream);
        let number = stream.number;
        let handler = handler.clone();
        let service = service_fn(move |mut req: Request<Incoming>| {
            req.extensions_mut().insert(number);
            handler(req)
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        connections.spawn(async move {
            // Errors are expected: clients disconnect, and handlers close
            // connections by returning `CloseConnection`.
            let _ended = connection.await;
        });
    }
    connections.shutdown().await;
}

/// Number of a connection in the order of opening, attached to each request as
/// an extension.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct ConnectionNumber(u64);

impl ConnectionNumber {
    /// Returns the number of the connection of a request.
    pub(crate) fn of<B>(req: &Request<B>) -> Option<Self> {
        req.extensions().get().copied()
    }
}

/// Fault that makes connections silent.
#[derive(Debug, Default)]
pub(crate) struct Silence {
    opened: AtomicU64,
    silent_below: AtomicU64,
    /// Number of the exempt connection plus one; 0 for none.
    exempt: AtomicU64,
}

impl Silence {
    /// Makes all currently open connections silent permanently, except the one
    /// on which the fault was requested.
    pub(crate) fn silence_open(&self, except: Option<ConnectionNumber>) {
        let exempt = except.map_or(0, |n| n.0 + 1);
        self.exempt.store(exempt, Ordering::SeqCst);
        let opened = self.opened.load(Ordering::SeqCst);
        self.silent_below.store(opened, Ordering::SeqCst);
    }

    fn is_silent(&self, number: ConnectionNumber) -> bool {
        let exempt = number.0 + 1 == self.exempt.load(Ordering::SeqCst);
        !exempt && number.0 < self.silent_below.load(Ordering::SeqCst)
    }

    fn wrap(this: &Arc<Self>, stream: TcpStream) -> SilentStream {
        SilentStream {
            number: ConnectionNumber(this.opened.fetch_add(1, Ordering::SeqCst)),
            silence: Arc::clone(this),
            stream,
        }
    }
}

/// A connection that can become silent: no bytes pass in either direction.
///
/// Reads and writes of a silent connection never complete: they intentionally
/// return `Pending` without registering a waker. The connection's task ends
/// with the server.
#[derive(Debug)]
struct SilentStream {
    number: ConnectionNumber,
    silence: Arc<Silence>,
    stream: TcpStream,
}

impl SilentStream {
    fn is_silent(&self) -> bool {
        self.silence.is_silent(self.number)
    }
}

impl AsyncRead for SilentStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for SilentStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Returns a body of the given bytes.
pub(crate) fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Builds a JSON response.
pub(crate) fn json_response<T>(
    status: StatusCode,
    value: &T,
) -> Result<Response<Body>, CloseConnection>
where
    T: Serialize,
{
    let body = serde_json::to_vec(value).map_err(|_invalid| CloseConnection)?;
    Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, "application/json")
        .body(full_body(body.into()))
        .map_err(|_invalid| CloseConnection)
}

/// Builds the response of a refusal, with the request's attempt id if it has
/// one.
pub(crate) fn refusal_response(
    refusal: &Refusal,
    attempt: Option<&str>,
) -> Result<Response<Body>, CloseConnection> {
    let mut res = json_response(refusal_status(refusal.code), refusal)?;
    if let Some(attempt) = attempt {
        let value = attempt.parse().map_err(|_invalid| CloseConnection)?;
        res.headers_mut().insert(headers::ATTEMPT_ID, value);
    }
    Ok(res)
}

/// Builds a refusal.
pub(crate) fn refusal(code: RefusalCode, message: &str) -> Refusal {
    Refusal {
        code,
        message: message.into(),
    }
}

/// Returns the value of a request header, if it is present and text.
pub(crate) fn header_value<'a, B>(req: &'a Request<B>, name: &str) -> Option<&'a str> {
    req.headers().get(name)?.to_str().ok()
}

/// Reads the body of a request.
pub(crate) async fn read_body(body: Incoming) -> Result<Bytes, CloseConnection> {
    let limited = http_body_util::Limited::new(body, BODY_MAX_BYTES);
    let collected = limited.collect().await.map_err(|_broken| CloseConnection)?;
    Ok(collected.to_bytes())
}

/// Reads and parses a JSON request body.
pub(crate) async fn read_json<T>(body: Incoming) -> Result<Result<T, Refusal>, CloseConnection>
where
    T: DeserializeOwned,
{
    let bytes = read_body(body).await?;
    let value = serde_json::from_slice(&bytes);
    Ok(value.map_err(|e| refusal(RefusalCode::BadRequest, &e.to_string())))
}

/// Sends one request on a new connection and returns the response's status.
///
/// # Errors
/// When no complete response is received.
pub(crate) async fn send_request(
    addr: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> eyre::Result<StatusCode> {
    let stream = TcpStream::connect(addr)
        .await
        .wrap_err_with(|| format!("connecting to {addr}"))?;
    let io = TokioIo::new(stream);
    let (mut sender, driver) = hyper::client::conn::http1::handshake(io).await?;
    let req = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, addr.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(body))?;
    let exchange = async move {
        let res = sender.send_request(req).await?;
        let status = res.status();
        res.into_body().collect().await?;
        Ok::<_, hyper::Error>(status)
    };
    let (status, _ended) = tokio::join!(exchange, driver);
    Ok(status?)
}

/// Returns the Unix time in milliseconds, for records that are compared across
/// processes.
pub(crate) fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    now.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
