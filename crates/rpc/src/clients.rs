//! Connections to other nodes.

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

/// Calls with at most this time limit are answered at once by a live peer.
const PROMPT: Duration = Duration::from_secs(3);

/// Why a call to a peer gave no answer.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The peer could not be reached; nothing was sent.
    #[error("connect failed")]
    Connect,
    /// The call may have arrived.
    #[error("no answer: {0}")]
    NoResponse(#[from] RpcError),
}

/// A client of one service, as its definition generates it.
pub trait Client: Clone + Send + 'static {
    /// Connects to `addr`. The second part of the answer carries the calls out
    /// and ends with the connection.
    fn connect(addr: SocketAddr) -> BoxFuture<'static, io::Result<(Self, BoxFuture<'static, ()>)>>;
}

/// One connection to each peer, opened when first used and dropped when a call
/// on it fails, so that a connection that went silent is not used again.
#[derive(Debug)]
pub struct PeerClients<C> {
    connect: Duration,
    open: Mutex<BTreeMap<SocketAddr, Connection<C>>>,
    tasks: TaskTracker,
    stop: CancellationToken,
}

#[derive(Clone, Debug)]
struct Connection<C> {
    client: C,
    stop: CancellationToken,
}

impl<C> PeerClients<C>
where
    C: Client,
{
    /// No connections; each takes at most `connect` to open.
    #[must_use]
    pub fn new(connect: Duration) -> Self {
        Self {
            connect,
            open: Mutex::new(BTreeMap::new()),
            tasks: TaskTracker::new(),
            stop: CancellationToken::new(),
        }
    }

    /// Makes a call that has to end within `limit`. A live peer answers at
    /// once, so that a connection on which the limit passes is dropped, unless
    /// the limit is so long that the call may rightly wait.
    ///
    /// # Errors
    /// When the peer can't be reached or gives no answer.
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
        let late = if limit <= PROMPT {
            Late::Spoils
        } else {
            Late::Allowed
        };
        self.call_with(addr, limit, late, call).await
    }

    /// Makes a call that may rightly wait for the whole of `limit`.
    ///
    /// # Errors
    /// When the peer can't be reached or gives no answer.
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
        self.call_with(addr, limit, Late::Allowed, call).await
    }

    async fn call_with<T, F, Fut>(
        &self,
        addr: SocketAddr,
        limit: Duration,
        late: Late,
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
        if result.as_ref().is_err_and(|error| spoils(error, late)) {
            conn.stop.cancel();
        }
        Ok(result?)
    }

    /// Closes all connections and joins their tasks.
    pub async fn close(&self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }

    async fn connection(&self, addr: SocketAddr) -> Result<Connection<C>, PeerError> {
        if let Some(conn) = self.known(addr) {
            return Ok(conn);
        }
        let connecting = C::connect(addr);
        let (client, dispatch) = match tokio::time::timeout(self.connect, connecting).await {
            Ok(Ok(open)) => open,
            Ok(Err(_)) | Err(_) => return Err(PeerError::Connect),
        };
        let stop = self.stop.child_token();
        let stopped = stop.clone();
        self.tasks.spawn(async move {
            tokio::select! {
                () = dispatch => (),
                () = stopped.cancelled() => (),
            }
            stopped.cancel();
        });
        let conn = Connection { client, stop };
        self.lock().insert(addr, conn.clone());
        Ok(conn)
    }

    fn known(&self, addr: SocketAddr) -> Option<Connection<C>> {
        let mut open = self.lock();
        open.retain(|_, conn| !conn.stop.is_cancelled());
        open.get(&addr).cloned()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<SocketAddr, Connection<C>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What a call that ended by its limit says of its connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Late {
    /// Nothing. Other calls on the same connection find out whether it is
    /// silent.
    Allowed,
    /// That it is silent.
    Spoils,
}

/// Whether a call that failed speaks against its connection.
fn spoils(error: &RpcError, late: Late) -> bool {
    !matches!(error, RpcError::DeadlineExceeded) || late == Late::Spoils
}
