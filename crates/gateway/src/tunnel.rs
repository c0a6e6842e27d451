//! Connections to instances through another node, on its port for nodes.
//!
//! The node that needs a connection sends [`MAGIC`], the length of the instance's id in
//! one byte, and the id; the other node responds with one byte, [`Status`], and then
//! passes bytes on. It names the instance by its id, because another one may have taken
//! its address, and connects directly or not at all.

use crate::state::Shared;
use reedford_fleet::links::LinkChange;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _, copy};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, timeout};

/// First bytes of a request. Other messages between nodes begin with their length, whose
/// first byte is 0.
pub(crate) const MAGIC: [u8; 4] = *b"RFT1";
/// Timeout for a request after its first bytes.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for connecting to the instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout for the other node's response, which covers its connection to the instance.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(330);
/// Connections that a node passes on at most; each uses two file descriptors.
const MAX_TUNNELS: usize = 256;
/// Interval at which a node that stops looks whether its connections are closed.
const CLOSED_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The connections that a node passes on.
#[derive(Debug)]
pub(crate) struct Tunnels {
    permits: Arc<Semaphore>,
}

impl Tunnels {
    pub(crate) fn new() -> Self {
        Self {
            permits: Arc::new(Semaphore::new(MAX_TUNNELS)),
        }
    }

    /// Waits until the nodes that opened the connections have closed them. They know which
    /// ones carry calls, and learn of the stop through [`crate::relay_watch`].
    pub(crate) async fn wait_until_closed(&self) {
        while self.open_count() > 0 {
            sleep(CLOSED_POLL_INTERVAL).await;
        }
    }

    pub(crate) fn open_count(&self) -> usize {
        MAX_TUNNELS - self.permits.available_permits()
    }

    fn try_open(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.permits).try_acquire_owned().ok()
    }
}

/// Response to a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Status {
    Connected,
    /// The instance refused the connection.
    Refused,
    /// The connection to the instance was not established in time, or reset.
    Unreachable,
    /// The instance is not known.
    Unknown,
    /// The node can't pass connections on now.
    Unavailable,
}

impl Status {
    const ALL: [Self; 5] = [
        Self::Connected,
        Self::Refused,
        Self::Unreachable,
        Self::Unknown,
        Self::Unavailable,
    ];

    const fn to_byte(self) -> u8 {
        match self {
            Self::Connected => 0,
            Self::Refused => 1,
            Self::Unreachable => 2,
            Self::Unknown => 3,
            Self::Unavailable => 4,
        }
    }

    fn from_byte(byte: u8) -> Option<Self> {
        Self::ALL.into_iter().find(|s| s.to_byte() == byte)
    }
}

/// Why there is no connection through another node.
#[derive(Debug, thiserror::Error)]
pub(crate) enum TunnelError {
    #[error("the node does not respond: {0}")]
    Node(#[from] io::Error),
    #[error("the node responds with {0:?}")]
    Status(Status),
}

/// Opens a connection to an instance through the node at `node`.
pub(crate) async fn open(node: SocketAddr, instance: &str) -> Result<TcpStream, TunnelError> {
    let opening = async {
        let mut stream = TcpStream::connect(node).await?;
        // An error is ignored, since the option only reduces the latency of small writes.
        let _ = stream.set_nodelay(true);
        let length = u8::try_from(instance.len()).map_err(io::Error::other)?;
        let mut req = MAGIC.to_vec();
        req.push(length);
        req.extend_from_slice(instance.as_bytes());
        stream.write_all(&req).await?;
        let status = Status::from_byte(stream.read_u8().await?);
        let status = status.ok_or_else(|| io::Error::other("the status is not known"))?;
        match status {
            Status::Connected => Ok(stream),
            _ => Err(TunnelError::Status(status)),
        }
    };
    timeout(RESPONSE_TIMEOUT, opening)
        .await
        .unwrap_or_else(|elapsed| Err(TunnelError::Node(elapsed.into())))
}

/// Serves a request, of which [`MAGIC`] has been read, and passes bytes on until either
/// side closes.
pub(crate) async fn serve(
    mut node: TcpStream,
    shared: Arc<Shared>,
    tunnels: Arc<Tunnels>,
) -> io::Result<()> {
    let mut id = Vec::new();
    let reading = async {
        let length = node.read_u8().await?;
        id.resize(length.into(), 0);
        node.read_exact(&mut id).await
    };
    timeout(REQUEST_TIMEOUT, reading).await??;
    let id = String::from_utf8_lossy(&id).into_owned();
    let permit = tunnels.try_open();
    let connected = if permit.is_some() {
        connect(&id, &shared).await
    } else {
        Err(Status::Unavailable)
    };
    let status = connected.as_ref().err().copied();
    let status = status.unwrap_or(Status::Connected);
    tracing::info!(event = "relay", instance = %id, ?status);
    node.write_u8(status.to_byte()).await?;
    match connected {
        Ok(instance) => pass(node, instance).await,
        Err(_) => Ok(()),
    }
}

async fn connect(id: &str, shared: &Shared) -> Result<TcpStream, Status> {
    let addr = {
        let state = shared.lock();
        if state.stopping || state.links.is_cut() {
            return Err(Status::Unavailable);
        }
        state.directory.get(id).map(|i| i.addr)
    };
    let addr = addr.ok_or(Status::Unknown)?;
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
    let hung = connected.is_err();
    match connected.unwrap_or_else(|elapsed| Err(elapsed.into())) {
        Ok(stream) => {
            // As above.
            let _ = stream.set_nodelay(true);
            let now = shared.now();
            let change = shared.lock().links.on_connected(id, now);
            if change == Some(LinkChange::Restored) {
                tracing::warn!(event = "links_restored");
            }
            Ok(stream)
        }
        Err(error) => {
            let now = shared.now();
            shared.lock().links.on_failed(id, hung, now);
            Err(match error.kind() {
                io::ErrorKind::ConnectionRefused => Status::Refused,
                _ => Status::Unreachable,
            })
        }
    }
}

/// Passes bytes on in both directions. Nodes never close one direction only, so that the
/// end of the node's side ends both. The instance's side may end with a reset, which must
/// not look like a complete response.
async fn pass(node: TcpStream, instance: TcpStream) -> io::Result<()> {
    let (mut from_node, mut to_node) = node.into_split();
    let (mut from_instance, mut to_instance) = instance.into_split();
    let response = tokio::select! {
        biased;
        response = copy(&mut from_instance, &mut to_node) => response,
        _ = copy(&mut from_node, &mut to_instance) => return Ok(()),
    };
    match response {
        Ok(_) => to_node.shutdown().await,
        Err(error) => {
            // If the option can't be set, the node sees an early end on a relayed
            // connection, which it doesn't trust either.
            let _ = to_node.as_ref().set_zero_linger();
            Err(error)
        }
    }
}
