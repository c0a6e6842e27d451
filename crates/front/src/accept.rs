//! Accepts connections, serves them with an [`HttpService`], and shuts them down.

use crate::write_timeout::WriteTimeout;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use reedford_transport::{BoundedStream, MAX_HEAD_BYTES};
use std::convert::Infallible;
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::{JoinError, JoinSet};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Time for which a connection that is idle at the graceful shutdown stays open,
/// so that a request which was already sent can still be read.
pub const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(200);
/// Time for which a caller may take no byte of a response, which is held for it.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a connection could not be accepted, for example because the
/// process has no file descriptors left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Limits on connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionLimits {
    /// Maximum number of open connections. Further ones wait in the listener's
    /// backlog.
    pub connections: usize,
    /// Time to receive the head of a request, including the time that a connection
    /// is idle before it.
    pub head_timeout: Duration,
}

/// Responds to HTTP requests.
pub trait HttpService: Send + Sync + 'static {
    /// Body of the responses.
    type Body: Body<Data: Send, Error: Into<Box<dyn Error + Send + Sync>>> + Send + 'static;

    /// Handles one request. The future is dropped if the caller disconnects.
    fn handle(&self, req: Request<Incoming>) -> impl Future<Output = Response<Self::Body>> + Send;
}

/// Signals that stop [`serve_connections`].
#[derive(Clone, Debug, Default)]
pub struct ShutdownSignals {
    /// Stops accepting connections. Each open connection is closed after its
    /// current request.
    pub graceful: CancellationToken,
    /// Closes all connections immediately.
    pub abort: CancellationToken,
}

/// Serves connections until a shutdown is signalled, and returns once all of them
/// have ended. Requests received before a graceful shutdown are completed without
/// a time limit; to set one, signal `shutdown.abort`.
///
/// # Panics
/// If `service` panics.
pub async fn serve_connections<S>(
    listener: TcpListener,
    service: S,
    limits: ConnectionLimits,
    shutdown: ShutdownSignals,
) where
    S: HttpService,
{
    let permits = Arc::new(Semaphore::new(limits.connections));
    let server = Arc::new(Server {
        service,
        limits,
        shutdown,
    });
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            biased;
            () = server.shutdown.abort.cancelled() => break,
            () = server.shutdown.graceful.cancelled() => break,
            Some(result) = connections.join_next() => propagate_panic(result),
            accepted = accept(&listener, &permits) => {
                server.on_accepted(&mut connections, accepted).await;
            }
        }
    }
    server.accept_pending(&mut connections, listener, &permits);
    while let Some(result) = connections.join_next().await {
        propagate_panic(result);
    }
}

struct Server<S> {
    service: S,
    limits: ConnectionLimits,
    shutdown: ShutdownSignals,
}

/// The result of accepting a connection, with its permit. The number of permits
/// limits the number of open connections.
type Accepted = (io::Result<(TcpStream, SocketAddr)>, OwnedSemaphorePermit);

async fn accept(listener: &TcpListener, permits: &Arc<Semaphore>) -> Accepted {
    let permit = Arc::clone(permits).acquire_owned().await;
    let permit = permit.expect("the semaphore is never closed");
    (listener.accept().await, permit)
}

impl<S> Server<S>
where
    S: HttpService,
{
    async fn on_accepted(self: &Arc<Self>, connections: &mut JoinSet<()>, accepted: Accepted) {
        match accepted {
            (Ok((stream, _)), permit) => {
                self.spawn(connections, stream, permit);
            }
            (Err(error), _) => {
                tracing::warn!(event = "accept_failed", %error);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }

    /// Accepts the connections in the listener's backlog, which may already have
    /// sent a request, up to the connection limit. The others are closed with the
    /// listener. Calls the operating system directly, because the runtime
    /// may not know of these connections yet.
    fn accept_pending(
        self: &Arc<Self>,
        connections: &mut JoinSet<()>,
        listener: TcpListener,
        permits: &Arc<Semaphore>,
    ) {
        let Ok(listener) = listener.into_std() else {
            return;
        };
        while let Ok(permit) = Arc::clone(permits).try_acquire_owned() {
            let Ok((stream, _)) = listener.accept() else {
                return;
            };
            let stream = stream
                .set_nonblocking(true)
                .and_then(|()| TcpStream::from_std(stream));
            if let Ok(stream) = stream {
                self.spawn(connections, stream, permit);
            }
        }
    }

    fn spawn(
        self: &Arc<Self>,
        connections: &mut JoinSet<()>,
        stream: TcpStream,
        permit: OwnedSemaphorePermit,
    ) {
        let server = Arc::clone(self);
        connections.spawn(async move {
            server.serve_connection(stream).await;
            drop(permit);
        });
    }

    async fn serve_connection(&self, stream: TcpStream) {
        let busy = AtomicBool::new(false);
        let service = service_fn(async |req| {
            busy.store(true, Ordering::Relaxed);
            let res = self.service.handle(req).await;
            busy.store(false, Ordering::Relaxed);
            Ok::<_, Infallible>(res)
        });
        // An error is ignored, since the option only reduces the latency of small
        // writes.
        let _ = stream.set_nodelay(true);
        let stream = WriteTimeout::new(stream, WRITE_TIMEOUT);
        let serving = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.limits.head_timeout)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(BoundedStream::sharing(TokioIo::new(stream)), service);
        let mut serving = pin!(serving);
        tokio::select! {
            biased;
            () = self.shutdown.abort.cancelled() => return,
            // The connection is polled before the shutdown signal: hyper's
            // graceful shutdown would close it if hyper has not read anything
            // from it yet, even if a request has arrived.
            //
            // Errors are ignored: the caller disconnected or did not send HTTP.
            _ = serving.as_mut() => return,
            () = self.shutdown.graceful.cancelled() => {}
        }
        // hyper's graceful shutdown closes a connection without a request in
        // progress even if a request is in transit or in the receive buffer.
        if !busy.load(Ordering::Relaxed) {
            tokio::select! {
                biased;
                () = self.shutdown.abort.cancelled() => return,
                _ = serving.as_mut() => return,
                () = sleep(IDLE_CLOSE_DELAY) => {}
            }
        }
        serving.as_mut().graceful_shutdown();
        tokio::select! {
            biased;
            () = self.shutdown.abort.cancelled() => {}
            _ = serving => {}
        }
    }
}

/// Panics if the task of a connection panicked.
fn propagate_panic(result: Result<(), JoinError>) {
    if let Err(error) = result
        && let Ok(panic) = error.try_into_panic()
    {
        std::panic::resume_unwind(panic);
    }
}
