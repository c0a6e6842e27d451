//! RPC clients with one connection for each peer.

use futures::future::BoxFuture;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};
use tarpc::client::RpcError;
use tarpc::context::{self, Context};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// A live peer is expected to respond at once to a call whose time limit is at most
/// this long.
const PROMPT_CALL_LIMIT_MAX: Duration = Duration::from_secs(3);

/// Why a call to a peer has no result.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The connection could not be opened; nothing was sent.
    #[error("connect failed")]
    Connect,
    /// The call failed on an open connection, also when the peer responded with an
    /// error. The peer may have handled the call.
    #[error("no answer: {0}")]
    NoResponse(#[from] RpcError),
}

/// A client of one RPC service, as generated from the service definition.
pub trait Client: Clone + Send + 'static {
    /// Connects to `addr`. Returns the client and the future that drives its calls,
    /// which completes when the connection ends.
    fn connect(addr: SocketAddr) -> BoxFuture<'static, io::Result<(Self, BoxFuture<'static, ()>)>>;
}

/// Clients with one connection for each peer. A connection is opened at the first
/// call and closed when a call on it fails, so that an unresponsive connection is
/// not used again.
#[derive(Debug)]
pub struct PeerClients<C> {
    connect_timeout: Duration,
    connections: Mutex<BTreeMap<SocketAddr, Connection<C>>>,
    tasks: TaskTracker,
    shutdown: CancellationToken,
}

#[derive(Clone, Debug)]
struct Connection<C> {
    client: C,
    /// Cancelled when the connection has ended or is to be closed.
    closed: CancellationToken,
}

impl<C> PeerClients<C>
where
    C: Client,
{
    /// Creates clients without connections. Opening a connection fails after
    /// `connect_timeout`.
    #[must_use]
    pub fn new(connect_timeout: Duration) -> Self {
        Self {
            connect_timeout,
            connections: Mutex::new(BTreeMap::new()),
            tasks: TaskTracker::new(),
            shutdown: CancellationToken::new(),
        }
    }

    /// Makes a call that fails after `limit`. If the limit is at most
    /// `PROMPT_CALL_LIMIT_MAX`, a live peer responds at once, so that reaching the
    /// limit closes the connection. A call to which the peer may delay its response
    /// needs a longer limit or [`Self::long_call`], which both keep the connection.
    ///
    /// # Errors
    /// When the peer can't be reached or sends no response in time.
    pub async fn call<T, F, Fut>(
        &self,
        addr: SocketAddr,
        limit: Duration,
        call: F,
    ) -> Result<T, PeerError>
    where
        F: FnOnce(C, Context) -> Fut,
        Fut: Future<Output = Result<T, RpcError>>,
    {
        let on_timeout = if limit <= PROMPT_CALL_LIMIT_MAX {
            OnTimeout::Close
        } else {
            OnTimeout::Keep
        };
        self.call_with_timeout_policy(addr, limit, on_timeout, call)
            .await
    }

    /// Like [`Self::call`], but the peer may use the whole `limit` to respond:
    /// reaching it never closes the connection, even if `limit` is short.
    ///
    /// # Errors
    /// When the peer can't be reached or sends no response in time.
    pub async fn long_call<T, F, Fut>(
        &self,
        addr: SocketAddr,
        limit: Duration,
        call: F,
    ) -> Result<T, PeerError>
    where
        F: FnOnce(C, Context) -> Fut,
        Fut: Future<Output = Result<T, RpcError>>,
    {
        self.call_with_timeout_policy(addr, limit, OnTimeout::Keep, call)
            .await
    }

    async fn call_with_timeout_policy<T, F, Fut>(
        &self,
        addr: SocketAddr,
        limit: Duration,
        on_timeout: OnTimeout,
        call: F,
    ) -> Result<T, PeerError>
    where
        F: FnOnce(C, Context) -> Fut,
        Fut: Future<Output = Result<T, RpcError>>,
    {
        let conn = self.connection(addr).await?;
        let mut cx = context::current();
        cx.deadline = Instant::now() + limit;
        let result = call(conn.client, cx).await;
        if result
            .as_ref()
            .is_err_and(|error| closes_connection(error, on_timeout))
        {
            conn.closed.cancel();
        }
        Ok(result?)
    }

    /// Closes all connections and waits for their tasks.
    pub async fn close(&self) {
        self.shutdown.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }

    async fn connection(&self, addr: SocketAddr) -> Result<Connection<C>, PeerError> {
        if let Some(conn) = self.open_connection(addr) {
            return Ok(conn);
        }
        let connecting = C::connect(addr);
        let (client, dispatch) = match tokio::time::timeout(self.connect_timeout, connecting).await
        {
            Ok(Ok(connected)) => connected,
            Ok(Err(_)) | Err(_) => return Err(PeerError::Connect),
        };
        let closed = self.shutdown.child_token();
        let task_closed = closed.clone();
        self.tasks.spawn(async move {
            tokio::select! {
                () = dispatch => (),
                () = task_closed.cancelled() => (),
            }
            task_closed.cancel();
        });
        let conn = Connection { client, closed };
        self.lock().insert(addr, conn.clone());
        Ok(conn)
    }

    /// Returns the open connection to `addr`, and forgets all closed connections.
    fn open_connection(&self, addr: SocketAddr) -> Option<Connection<C>> {
        let mut connections = self.lock();
        connections.retain(|_, conn| !conn.closed.is_cancelled());
        connections.get(&addr).cloned()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<SocketAddr, Connection<C>>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether to close the connection of a call that reached its time limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum OnTimeout {
    /// Keeps the connection. Other calls on it detect whether it is unresponsive.
    Keep,
    /// Closes the connection as unresponsive.
    Close,
}

/// Returns whether the error of a call means that its connection must be closed.
fn closes_connection(error: &RpcError, on_timeout: OnTimeout) -> bool {
    !matches!(error, RpcError::DeadlineExceeded) || on_timeout == OnTimeout::Close
}
