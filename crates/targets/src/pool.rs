//! Connections to the targets and the tasks that drive them.
//!
//! A [`Connection`] is used by one request at a time. It is returned to the pool
//! by [`Pool::put`] or [`Pool::put_with_idle_timeout`], and only after its
//! response has been read to the end; otherwise an unread, truncated or late
//! response could be taken for the response to the next request. A connection that
//! is dropped is closed.

use crate::error::{LostReason, NotSentReason};
use crate::failed_calls::{CallKey, FailedCalls};
use bytes::Bytes;
use futures::future::BoxFuture;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use reedford_bodies::BodyMemory;
use reedford_transport::{BoundedStream, MAX_HEAD_BYTES, Progress};
use std::collections::BTreeMap;
use std::fmt::Debug;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::sync::{CancellationToken, DropGuard};
use tokio_util::task::TaskTracker;

/// Time after which an idle connection is closed.
pub(crate) const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of idle connections to one target.
const MAX_IDLE: usize = 64;

/// Opens the transport connections of a [`Pool`].
pub trait Dialer: Debug + Send + Sync + 'static {
    /// Opens a connection to a target.
    ///
    /// # Errors
    /// If none can be established.
    fn dial(&self, addr: SocketAddr) -> BoxFuture<'_, Result<Dialed, NotSentReason>>;

    /// Whether an idle connection to a target that is relayed may be used now.
    fn uses_relay(&self, addr: SocketAddr) -> bool;
}

/// A transport connection to a target.
#[derive(Debug)]
pub struct Dialed {
    /// The connection, or the first part of it.
    pub stream: TcpStream,
    /// What has accepted the connection and passes its bytes on, if it isn't the target.
    /// The connection's end may then be that of the relay.
    pub relay: Option<Arc<Relay>>,
}

/// Passes on the bytes of connections, which share this value.
#[derive(Debug)]
pub struct Relay {
    retired: CancellationToken,
    _in_use: DropGuard,
}

impl Relay {
    /// Creates a relay, whose connections serve no further requests once `retired` is
    /// cancelled. Cancels `released` when its last connection has ended.
    #[must_use]
    pub fn new(retired: CancellationToken, released: CancellationToken) -> Self {
        Self {
            retired,
            _in_use: released.drop_guard(),
        }
    }

    /// Whether its connections serve no further requests.
    #[must_use]
    pub fn is_retired(&self) -> bool {
        self.retired.is_cancelled()
    }
}

/// Which idle connections a request may reuse.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reuse {
    /// Any idle connection.
    Allowed,
    /// Only a connection that is not relayed.
    AllowedDirect,
    /// Only a connection on which the call has not failed.
    AllowedFor(CallKey),
    /// None; a connection is always opened.
    Never,
}

impl Reuse {
    fn allows(self, conn: &Connection) -> bool {
        match self {
            Self::Allowed => true,
            Self::AllowedDirect => !conn.is_relayed(),
            Self::AllowedFor(call) => !conn.has_failed(call),
            Self::Never => false,
        }
    }

    /// Whether the connection, if one is opened, may be relayed.
    const fn may_relay(self) -> bool {
        match self {
            Self::Allowed | Self::AllowedFor(_) | Self::Never => true,
            Self::AllowedDirect => false,
        }
    }
}

/// Number of a connection, unique within its pool.
pub type ConnectionId = u64;

/// An open connection, closed when dropped.
#[derive(Debug)]
pub struct Connection {
    /// Number of the connection.
    pub id: ConnectionId,
    /// Requests that were sent on it.
    pub exchanges: u32,
    /// Address of the target.
    pub addr: SocketAddr,
    /// Sends requests on the connection.
    pub sender: SendRequest<Full<Bytes>>,
    /// What came since a response last made progress.
    pub progress: Progress,
    /// What passes its bytes on, if it doesn't end at the target.
    relay: Option<Arc<Relay>>,
    failed: FailedCalls,
    _driver: DropGuard,
}

impl Connection {
    /// Whether something else than the target passes its bytes on.
    #[must_use]
    pub const fn is_relayed(&self) -> bool {
        self.relay.is_some()
    }

    /// Whether a response to the call on this connection was not a success, so that a copy
    /// of it may follow.
    #[must_use]
    pub fn has_failed(&self, call: CallKey) -> bool {
        self.failed.contains(call)
    }

    /// Records that a response to the call on this connection was not a success.
    pub fn record_failure(&mut self, call: CallKey) {
        self.failed.record(call);
    }

    /// Returns why the body of a response was not received to its end.
    #[must_use]
    pub fn body_error(&self) -> LostReason {
        if self.progress.is_exceeded() {
            LostReason::NoProgress
        } else {
            LostReason::Closed
        }
    }

    /// Whether it serves no further requests.
    fn is_retired(&self) -> bool {
        self.failed.is_full() || self.relay.as_ref().is_some_and(|relay| relay.is_retired())
    }
}

#[derive(Debug)]
struct IdleConnection {
    conn: Connection,
    expires: Instant,
}

/// The idle connections to all targets, and the tasks of all connections.
#[derive(Debug)]
pub struct Pool {
    idle: Mutex<BTreeMap<SocketAddr, Vec<IdleConnection>>>,
    closing: CancellationToken,
    connect_timeout: Duration,
    /// Opens connections; they are opened directly if there is none.
    dialer: Option<Arc<dyn Dialer>>,
    opened: AtomicU64,
    tasks: TaskTracker,
    /// Holds the bodies of responses.
    pub(crate) bodies: BodyMemory,
}

impl Pool {
    /// Creates an empty pool, which opens connections directly.
    pub fn new(connect_timeout: Duration) -> Self {
        Self {
            idle: Mutex::default(),
            closing: CancellationToken::new(),
            connect_timeout,
            dialer: None,
            opened: AtomicU64::default(),
            tasks: TaskTracker::new(),
            bodies: BodyMemory::default(),
        }
    }

    /// Holds the bodies of responses in a memory that others may use, too.
    #[must_use]
    pub fn with_body_memory(self, bodies: BodyMemory) -> Self {
        Self { bodies, ..self }
    }

    /// Creates an empty pool, whose connections `dialer` opens.
    pub fn with_dialer(connect_timeout: Duration, dialer: Arc<dyn Dialer>) -> Self {
        Self {
            dialer: Some(dialer),
            ..Self::new(connect_timeout)
        }
    }

    /// Takes an idle connection that is still open and ready for a request.
    pub(crate) async fn take(&self, addr: SocketAddr, reuse: Reuse) -> Option<Connection> {
        while let Some(mut conn) = self.pop(addr, reuse) {
            let dialer = self.dialer.as_ref().filter(|_| conn.is_relayed());
            if dialer.is_some_and(|dialer| !dialer.uses_relay(addr)) {
                continue;
            }
            let ready = timeout(self.connect_timeout, conn.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                return Some(conn);
            }
        }
        None
    }

    /// Takes an idle connection that may be reused, or opens one.
    ///
    /// # Errors
    /// As [`Self::connect`].
    pub async fn acquire(
        &self,
        addr: SocketAddr,
        reuse: Reuse,
    ) -> Result<Connection, NotSentReason> {
        if let Some(conn) = self.take(addr, reuse).await {
            return Ok(conn);
        }
        self.connect_for(addr, reuse).await
    }

    /// Opens a connection.
    ///
    /// # Errors
    /// If the connection can't be established within the timeout, or the pool is
    /// closed.
    pub async fn connect(&self, addr: SocketAddr) -> Result<Connection, NotSentReason> {
        self.connect_for(addr, Reuse::Never).await
    }

    /// Opens a connection for a request that may reuse others.
    pub(crate) async fn connect_for(
        &self,
        addr: SocketAddr,
        reuse: Reuse,
    ) -> Result<Connection, NotSentReason> {
        if self.closing.is_cancelled() {
            return Err(NotSentReason::ClientClosed);
        }
        timeout(self.connect_timeout, self.open(addr, reuse))
            .await
            .unwrap_or(Err(NotSentReason::ConnectTimeout))
    }

    /// Puts back a connection whose response has been read to its end.
    pub fn put(&self, conn: Connection) {
        self.put_with_idle_timeout(conn, IDLE_TIMEOUT);
    }

    /// Like [`Self::put`], but the connection is kept idle for at most `timeout`.
    pub fn put_with_idle_timeout(&self, conn: Connection, timeout: Duration) {
        let is_over = conn.sender.is_closed() || conn.progress.is_exceeded();
        if self.closing.is_cancelled() || is_over || conn.is_retired() {
            return;
        }
        let now = Instant::now();
        let expires = now + timeout.min(IDLE_TIMEOUT);
        let mut idle = self.lock();
        idle.retain(|_, conns| {
            conns.retain(|c| now < c.expires);
            !conns.is_empty()
        });
        let conns = idle.entry(conn.addr).or_default();
        if conns.len() < MAX_IDLE {
            conns.push(IdleConnection { conn, expires });
        }
    }

    /// Closes the idle connections to a target. Called after one connection to it
    /// has timed out.
    pub fn drop_idle(&self, addr: SocketAddr) {
        self.lock().remove(&addr);
    }

    /// Closes the idle connections to all targets that are not relayed.
    pub fn drop_idle_direct(&self) {
        let mut idle = self.lock();
        idle.retain(|_, conns| {
            conns.retain(|c| c.conn.is_relayed());
            !conns.is_empty()
        });
    }

    /// Closes the idle relayed connections that serve no further requests: those that have
    /// expired, or whose relay is retired or not used any more.
    pub fn drop_unused_relayed(&self) {
        let Some(dialer) = &self.dialer else { return };
        for addr in self.idle_relayed() {
            let uses_relay = dialer.uses_relay(addr);
            let now = Instant::now();
            let is_kept = |c: &IdleConnection| {
                !c.conn.is_relayed() || uses_relay && now < c.expires && !c.conn.is_retired()
            };
            let mut idle = self.lock();
            if let Some(conns) = idle.get_mut(&addr) {
                conns.retain(is_kept);
            }
        }
    }

    /// Addresses of the targets to which there are idle relayed connections.
    #[must_use]
    pub fn idle_relayed(&self) -> Vec<SocketAddr> {
        let idle = self.lock();
        let is_relayed = |conns: &Vec<IdleConnection>| conns.iter().any(|c| c.conn.is_relayed());
        let relayed = idle.iter().filter(|(_, conns)| is_relayed(conns));
        relayed.map(|(addr, _)| *addr).collect()
    }

    /// Spawns a task, which [`Self::close`] cancels and joins.
    pub fn spawn<F>(&self, task: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let closing = self.closing.clone();
        self.tasks.spawn(async move {
            closing.run_until_cancelled_owned(task).await;
        });
    }

    /// Closes all connections, and cancels and joins all tasks.
    pub async fn close(&self) {
        self.closing.cancel();
        self.lock().clear();
        self.tasks.close();
        self.tasks.wait().await;
    }

    fn pop(&self, addr: SocketAddr, reuse: Reuse) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.lock();
        let conns = idle.get_mut(&addr)?;
        conns.retain(|c| now < c.expires && !c.conn.sender.is_closed() && !c.conn.is_retired());
        let last = conns.iter().rposition(|c| reuse.allows(&c.conn))?;
        Some(conns.remove(last).conn)
    }

    async fn open(&self, addr: SocketAddr, reuse: Reuse) -> Result<Connection, NotSentReason> {
        let dialer = self.dialer.as_ref().filter(|_| reuse.may_relay());
        let Dialed { stream, relay } = match dialer {
            Some(dialer) => dialer.dial(addr).await?,
            None => Dialed {
                stream: TcpStream::connect(addr)
                    .await
                    .map_err(|e| NotSentReason::Connect(e.kind()))?,
                relay: None,
            },
        };
        stream
            .set_nodelay(true)
            .map_err(|e| NotSentReason::Connect(e.kind()))?;
        let progress = Progress::default();
        let io = BoundedStream::new(TokioIo::new(stream), progress.clone());
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(io)
            .await
            .map_err(|_closed| NotSentReason::Closed)?;
        let stop = self.closing.child_token();
        let stopped = stop.clone();
        self.tasks.spawn(async move {
            // An error of the driver is also returned by the request's future.
            let _result = stopped.run_until_cancelled_owned(driver).await;
        });
        Ok(Connection {
            id: self.opened.fetch_add(1, Ordering::Relaxed),
            exchanges: 0,
            addr,
            sender,
            progress,
            relay,
            failed: FailedCalls::default(),
            _driver: stop.drop_guard(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
