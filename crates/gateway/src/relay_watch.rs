//! Tells nodes whose connections another node passes on when that node stops.
//!
//! Only the node that opened a connection knows whether it carries a call. It therefore
//! keeps a watch on each node that passes connections on for it: a connection on which the
//! other node sends its [`State`] at once, at intervals, and when it begins to stop. The
//! node then closes the connections that are idle, and the others after their calls.
//!
//! A node of a version without watches closes the connection, since it takes [`MAGIC`] for
//! the length of a message that is too long.

use crate::state::Shared;
use reedford_targets::Relay;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::Duration;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// First bytes of a watch; see [`crate::tunnel::MAGIC`].
pub(crate) const MAGIC: [u8; 4] = *b"RFW1";
/// Interval at which a node sends its state.
const STATE_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a state after which the node, or the connection to it, counts as lost.
const MAX_SILENCE: Duration = Duration::from_secs(3);
/// Timeout for establishing a watch.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before a watch that could not be established is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Whether a node that passes connections on goes on doing so.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Running,
    Stopping,
}

impl State {
    const fn to_byte(self) -> u8 {
        match self {
            Self::Running => 0,
            Self::Stopping => 1,
        }
    }

    const fn from_byte(byte: u8) -> Option<Self> {
        match byte {
            0 => Some(Self::Running),
            1 => Some(Self::Stopping),
            _ => None,
        }
    }
}

/// How a watch ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum WatchEnd {
    /// The node stops.
    Stopping,
    /// The node sent its state, and then nothing more.
    Lost,
    /// The node doesn't support watches.
    Unsupported,
}

/// The nodes that pass connections on for this one.
#[derive(Debug)]
pub(crate) struct RelayWatches {
    shared: Arc<Shared>,
    tasks: TaskTracker,
    stop: CancellationToken,
    relays: Mutex<BTreeMap<SocketAddr, Weak<Relay>>>,
}

impl RelayWatches {
    pub(crate) fn new(shared: Arc<Shared>, tasks: TaskTracker, stop: CancellationToken) -> Self {
        Self {
            shared,
            tasks,
            stop,
            relays: Mutex::default(),
        }
    }

    /// Returns the relay at `node`, which is watched as long as it is in use.
    pub(crate) fn get(&self, node: SocketAddr) -> Arc<Relay> {
        let mut relays = self.relays.lock().unwrap_or_else(PoisonError::into_inner);
        let known = relays.get(&node).and_then(Weak::upgrade);
        if let Some(relay) = known.filter(|relay| !relay.is_retired()) {
            return relay;
        }
        relays.retain(|_, relay| relay.strong_count() > 0);
        let retired = CancellationToken::new();
        let released = CancellationToken::new();
        let relay = Arc::new(Relay::new(retired.clone(), released.clone()));
        relays.insert(node, Arc::downgrade(&relay));
        drop(relays);
        let watching = watch(node, Arc::clone(&self.shared), retired);
        let stop = self.stop.clone();
        self.tasks.spawn(async move {
            let watching = released.run_until_cancelled(watching);
            stop.run_until_cancelled(watching).await;
        });
        relay
    }
}

/// Cancels `retired` when the node stops or is lost.
async fn watch(node: SocketAddr, shared: Arc<Shared>, retired: CancellationToken) {
    let end = loop {
        match follow(node).await {
            Ok(end) => break end,
            Err(error) => tracing::info!(event = "relay_unwatched", %node, %error),
        }
        sleep(RETRY_PAUSE).await;
    };
    tracing::info!(event = "relay_watch_ended", %node, ?end);
    match end {
        WatchEnd::Stopping => {
            let now = shared.now();
            shared.lock().relays.on_stopping(node, now);
            shared.relays_wanted.notify_one();
            retired.cancel();
        }
        WatchEnd::Lost => retired.cancel(),
        WatchEnd::Unsupported => {}
    }
}

/// Follows the state of a node.
///
/// # Errors
/// If the node can't be reached.
async fn follow(node: SocketAddr) -> io::Result<WatchEnd> {
    let connecting = async {
        let mut stream = TcpStream::connect(node).await?;
        stream.write_all(&MAGIC).await?;
        Ok::<_, io::Error>(stream)
    };
    let mut stream = timeout(CONNECT_TIMEOUT, connecting).await??;
    let mut end = WatchEnd::Unsupported;
    loop {
        let received = match timeout(MAX_SILENCE, stream.read_u8()).await {
            Ok(Ok(byte)) => State::from_byte(byte),
            Ok(Err(_closed)) => None,
            Err(_silent) => return Ok(WatchEnd::Lost),
        };
        match received {
            Some(State::Running) => end = WatchEnd::Lost,
            Some(State::Stopping) => return Ok(WatchEnd::Stopping),
            None => return Ok(end),
        }
    }
}

/// Serves a watch, of which [`MAGIC`] has been read, until the other node closes it.
pub(crate) async fn serve(mut node: TcpStream, shared: Arc<Shared>) -> io::Result<()> {
    let mut stop_times = shared.stop_times.subscribe();
    loop {
        let state = match *stop_times.borrow_and_update() {
            Some(_) => State::Stopping,
            None => State::Running,
        };
        node.write_u8(state.to_byte()).await?;
        tokio::select! {
            // The other node sends nothing, so that this is the end of the connection.
            _ = node.read_u8() => return Ok(()),
            _ = stop_times.changed() => {}
            () = sleep(STATE_INTERVAL) => {}
        }
    }
}
