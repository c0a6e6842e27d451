//! Connections to other entry instances.

use super::PeerClient;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};
use tarpc::client::{Config, RpcError};
use tarpc::context::{self, Context};
use tarpc::serde_transport::tcp;
use tarpc::tokio_serde::formats::Json;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Calls with at most this time limit are answered at once by a live peer.
const PROMPT: Duration = Duration::from_secs(3);

/// Why a call to a peer gave no answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PeerError {
    /// The peer could not be reached; nothing was sent.
    #[error("connect failed")]
    Connect,
    /// The call may have arrived.
    #[error("no answer: {0}")]
    Lost(#[from] RpcError),
}

/// One connection to each peer, opened when first used and dropped when a call
/// on it fails, so that a connection that went silent is not used again.
#[derive(Debug)]
pub(crate) struct PeerClients {
    connect: Duration,
    open: Mutex<BTreeMap<SocketAddr, Connection>>,
    tasks: TaskTracker,
    stop: CancellationToken,
}

#[derive(Clone, Debug)]
struct Connection {
    client: PeerClient,
    stop: CancellationToken,
}

impl PeerClients {
    pub(crate) fn new(connect: Duration) -> Self {
        Self {
            connect,
            open: Mutex::default(),
            tasks: TaskTracker::new(),
            stop: CancellationToken::new(),
        }
    }

    /// Makes a call that has to end within `limit`.
    pub(crate) async fn call<T, F, Fut>(
        &self,
        addr: SocketAddr,
        limit: Duration,
        call: F,
    ) -> Result<T, PeerError>
    where
        F: FnOnce(PeerClient, Context) -> Fut,
        Fut: Future<Output = Result<T, RpcError>>,
    {
        let conn = self.connection(addr).await?;
        let mut cx = context::current();
        cx.deadline = Instant::now() + limit;
        let result = call(conn.client, cx).await;
        if result.as_ref().is_err_and(|error| spoils(error, limit)) {
            conn.stop.cancel();
        }
        Ok(result?)
    }

    /// Closes all connections and joins their tasks.
    pub(crate) async fn close(&self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }

    async fn connection(&self, addr: SocketAddr) -> Result<Connection, PeerError> {
        if let Some(conn) = self.known(addr) {
            return Ok(conn);
        }
        let connecting = tcp::connect(addr, Json::default);
        let transport = match tokio::time::timeout(self.connect, connecting).await {
            Ok(Ok(transport)) => transport,
            Ok(Err(_)) | Err(_) => return Err(PeerError::Connect),
        };
        let new = PeerClient::new(Config::default(), transport);
        let stop = self.stop.child_token();
        let stopped = stop.clone();
        self.tasks.spawn(async move {
            tokio::select! {
                _ = new.dispatch => (),
                () = stopped.cancelled() => (),
            }
            stopped.cancel();
        });
        let conn = Connection {
            client: new.client,
            stop,
        };
        self.lock().insert(addr, conn.clone());
        Ok(conn)
    }

    fn known(&self, addr: SocketAddr) -> Option<Connection> {
        let mut open = self.lock();
        open.retain(|_, conn| !conn.stop.is_cancelled());
        open.get(&addr).cloned()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<SocketAddr, Connection>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether a call that failed speaks against its connection. A call that may
/// rightly wait for long says nothing by its timeout; summaries are sent on the
/// same connection and find out whether it is silent.
fn spoils(error: &RpcError, limit: Duration) -> bool {
    !matches!(error, RpcError::DeadlineExceeded) || limit <= PROMPT
}
