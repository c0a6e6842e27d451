//! Accepts connections and ends them, whoever answers their requests.

use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
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

/// Largest head of a request in bytes.
const HEAD_BYTES: usize = 64 << 10;
/// Time that a request has to be read, on a connection that is idle at the
/// graceful stop.
const UNREAD_REQUEST: Duration = Duration::from_millis(200);
/// Pause after a connection could not be accepted, for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Limits on connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionLimits {
    /// Most connections at once; more wait to be accepted.
    pub connections: usize,
    /// Time for the head of a request, and for the next one on a connection.
    pub head_timeout: Duration,
}

/// Answers requests.
pub trait HttpService: Send + Sync + 'static {
    /// Body of the answers.
    type Body: Body<Data: Send, Error: Into<Box<dyn Error + Send + Sync>>> + Send + 'static;

    /// Answers one request. Dropped when its caller goes away.
    fn handle(&self, req: Request<Incoming>) -> impl Future<Output = Response<Self::Body>> + Send;
}

/// Tells [`serve_connections`] to stop.
#[derive(Clone, Debug, Default)]
pub struct ShutdownSignals {
    /// No more connections are accepted, and those open end after the request
    /// that they are on.
    pub graceful: CancellationToken,
    /// All connections are closed at once.
    pub abort: CancellationToken,
}

/// Serves callers until `stop` says otherwise, and returns once all
/// connections have ended. A request that came before the graceful stop is
/// answered, whatever time that takes; the caller of this function sets the limit by
/// aborting.
///
/// # Panics
/// When the answerer panics.
pub async fn serve_connections<A>(
    listener: TcpListener,
    answerer: A,
    limits: ConnectionLimits,
    stop: ShutdownSignals,
) where
    A: HttpService,
{
    let permits = Arc::new(Semaphore::new(limits.connections));
    let server = Arc::new(Server {
        answerer,
        limits,
        stop,
    });
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            biased;
            () = server.stop.abort.cancelled() => break,
            () = server.stop.graceful.cancelled() => break,
            Some(ended) = connections.join_next() => check(ended),
            accepted = accept(&listener, &permits) => server.start(&mut connections, accepted).await,
        }
    }
    server.start_waiting(&mut connections, listener, &permits);
    while let Some(ended) = connections.join_next().await {
        check(ended);
    }
}

struct Server<A> {
    answerer: A,
    limits: ConnectionLimits,
    stop: ShutdownSignals,
}

/// A connection that was accepted, with its permit.
type Accepted = (io::Result<(TcpStream, SocketAddr)>, OwnedSemaphorePermit);

async fn accept(listener: &TcpListener, permits: &Arc<Semaphore>) -> Accepted {
    let permit = Arc::clone(permits).acquire_owned().await;
    let permit = permit.expect("the semaphore is never closed");
    (listener.accept().await, permit)
}

impl<A> Server<A>
where
    A: HttpService,
{
    async fn start(self: &Arc<Self>, connections: &mut JoinSet<()>, accepted: Accepted) {
        match accepted {
            (Ok((stream, _)), permit) => {
                self.spawn(connections, stream, permit);
            }
            (Err(error), _) => {
                tracing::warn!(event = "accept_failed", %error);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }

    /// Starts the connections that wait to be accepted: they may have sent their
    /// request. The kernel is asked itself, because the runtime may not have
    /// heard of them yet.
    fn start_waiting(
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
            server.connection(stream).await;
            drop(permit);
        });
    }

    async fn connection(&self, stream: TcpStream) {
        let busy = AtomicBool::new(false);
        let service = service_fn(async |req| {
            busy.store(true, Ordering::Relaxed);
            let answer = self.answerer.handle(req).await;
            busy.store(false, Ordering::Relaxed);
            Ok::<_, Infallible>(answer)
        });
        // Only saves time: small writes go out at once.
        let _ = stream.set_nodelay(true);
        let serving = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.limits.head_timeout)
            .max_buf_size(HEAD_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        let mut serving = pin!(serving);
        tokio::select! {
            biased;
            () = self.stop.abort.cancelled() => return,
            // Its errors are the caller's: it went away or sent garbage. Goes
            // before the graceful stop, which closes a connection that has
            // read nothing yet, though its request may have come.
            _ = serving.as_mut() => return,
            () = self.stop.graceful.cancelled() => {}
        }
        // A connection without a request in progress is closed by the graceful
        // shutdown, also when its request is on the way or waits unread.
        if !busy.load(Ordering::Relaxed) {
            tokio::select! {
                biased;
                () = self.stop.abort.cancelled() => return,
                _ = serving.as_mut() => return,
                () = sleep(UNREAD_REQUEST) => {}
            }
        }
        serving.as_mut().graceful_shutdown();
        tokio::select! {
            biased;
            () = self.stop.abort.cancelled() => {}
            _ = serving => {}
        }
    }
}

fn check(ended: Result<(), JoinError>) {
    if let Err(error) = ended
        && let Ok(panic) = error.try_into_panic()
    {
        std::panic::resume_unwind(panic);
    }
}
