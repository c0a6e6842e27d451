//! Connections to the targets and the tasks that drive them.
//!
//! A [`Connection`] belongs to one exchange at a time. It goes back to the
//! pool only by [`Pool::put`], which callers use after they have read an
//! answer to its end; a connection that is dropped instead is closed. So an
//! unread, cut or late answer can't be taken for the next one.

use crate::error::NotSentReason;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::sync::{CancellationToken, DropGuard};
use tokio_util::task::TaskTracker;

/// Time after which an unused connection is dropped.
pub(crate) const IDLE_LIMIT: Duration = Duration::from_secs(10);
/// Most unused connections kept for one target.
const IDLE_MAX: usize = 64;

/// An open connection, closed when dropped.
#[derive(Debug)]
pub struct Connection {
    /// Where it leads.
    pub addr: SocketAddr,
    /// Takes requests.
    pub sender: SendRequest<Full<Bytes>>,
    _task: DropGuard,
}

#[derive(Debug)]
struct Idle {
    conn: Connection,
    until: Instant,
}

/// The connections that no exchange uses, and all connection tasks.
#[derive(Debug)]
pub struct Pool {
    idle: Mutex<BTreeMap<SocketAddr, Vec<Idle>>>,
    closing: CancellationToken,
    connect_timeout: Duration,
    tasks: TaskTracker,
}

impl Pool {
    /// An empty pool.
    pub fn new(connect_timeout: Duration) -> Self {
        Self {
            idle: Mutex::default(),
            closing: CancellationToken::new(),
            connect_timeout,
            tasks: TaskTracker::new(),
        }
    }

    /// Takes an unused connection that is still open and ready.
    pub async fn take(&self, addr: SocketAddr) -> Option<Connection> {
        while let Some(mut conn) = self.pop(addr) {
            let ready = timeout(self.connect_timeout, conn.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                return Some(conn);
            }
        }
        None
    }

    /// Opens a connection.
    ///
    /// # Errors
    /// When it is not open in time, or the pool is closed.
    pub async fn connect(&self, addr: SocketAddr) -> Result<Connection, NotSentReason> {
        if self.closing.is_cancelled() {
            return Err(NotSentReason::ClientClosed);
        }
        timeout(self.connect_timeout, self.open(addr))
            .await
            .unwrap_or(Err(NotSentReason::ConnectTimeout))
    }

    /// Gives back a connection whose answer has been read to its end.
    pub fn put(&self, conn: Connection) {
        self.put_with_idle_timeout(conn, IDLE_LIMIT);
    }

    /// Gives back a connection that may stay unused for at most `idle`.
    pub fn put_with_idle_timeout(&self, conn: Connection, idle: Duration) {
        if self.closing.is_cancelled() || conn.sender.is_closed() {
            return;
        }
        let now = Instant::now();
        let until = now + idle.min(IDLE_LIMIT);
        let mut unused = self.lock();
        unused.retain(|_, conns| {
            conns.retain(|c| now < c.until);
            !conns.is_empty()
        });
        let conns = unused.entry(conn.addr).or_default();
        if conns.len() < IDLE_MAX {
            conns.push(Idle { conn, until });
        }
    }

    /// Drops the unused connections to a target, after one to it went silent.
    pub fn drop_idle(&self, addr: SocketAddr) {
        self.lock().remove(&addr);
    }

    /// Runs a task that `close` joins; it is dropped when the pool closes.
    pub fn spawn<F>(&self, task: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let closing = self.closing.clone();
        self.tasks.spawn(async move {
            closing.run_until_cancelled_owned(task).await;
        });
    }

    /// Closes all connections and joins all tasks.
    pub async fn close(&self) {
        self.closing.cancel();
        self.lock().clear();
        self.tasks.close();
        self.tasks.wait().await;
    }

    fn pop(&self, addr: SocketAddr) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.lock();
        let conns = idle.get_mut(&addr)?;
        conns.retain(|c| now < c.until && !c.conn.sender.is_closed());
        Some(conns.pop()?.conn)
    }

    async fn open(&self, addr: SocketAddr) -> Result<Connection, NotSentReason> {
        let stream = TcpStream::connect(addr)
            .await
            .map_err(|e| NotSentReason::Connect(e.kind()))?;
        stream
            .set_nodelay(true)
            .map_err(|e| NotSentReason::Connect(e.kind()))?;
        let (sender, driver) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|_closed| NotSentReason::Closed)?;
        let stop = self.closing.child_token();
        let stopped = stop.clone();
        self.tasks.spawn(async move {
            // How the driver ended is told to the exchange that used it.
            let _ended = stopped.run_until_cancelled_owned(driver).await;
        });
        Ok(Connection {
            addr,
            sender,
            _task: stop.drop_guard(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
