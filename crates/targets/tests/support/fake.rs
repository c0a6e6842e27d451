//! A fake target that sends scripted bytes.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

/// What the fake does with one request.
#[derive(Clone, Debug)]
pub enum Step {
    /// Closes the connection without a response.
    Close,
    /// Keeps the connection open and sends nothing.
    Hang,
    /// Sends bytes and waits for the next request on the connection.
    Send(String),
    /// Sends bytes and closes the connection.
    SendClose(String),
    /// Sends bytes and keeps the connection open, but sends nothing more.
    SendHang(String),
}

/// A request that the fake received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Number of the connection, from 0.
    pub connection: usize,
    /// The head as text.
    pub head: String,
}

/// The fake target, which stops when it is dropped.
#[derive(Debug)]
pub struct FakeTarget {
    pub addr: SocketAddr,
    requests: Arc<Mutex<Vec<ReceivedRequest>>>,
    _tasks: JoinSet<()>,
}

impl FakeTarget {
    /// Starts a fake that runs one step for each request, in order, and
    /// [`Step::Hang`] after the last one.
    pub async fn start(steps: Vec<Step>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let addr = listener.local_addr().expect("bound");
        let requests = Arc::new(Mutex::new(Vec::new()));
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(listener, Arc::new(steps), Arc::clone(&requests)));
        Self {
            addr,
            requests,
            _tasks: tasks,
        }
    }

    /// Returns the requests received so far, on all connections.
    pub fn requests(&self) -> Vec<ReceivedRequest> {
        self.requests.lock().expect("lock").clone()
    }
}

async fn accept(
    listener: TcpListener,
    steps: Arc<Vec<Step>>,
    requests: Arc<Mutex<Vec<ReceivedRequest>>>,
) {
    let mut connections = JoinSet::new();
    for connection in 0.. {
        let Ok((stream, _)) = listener.accept().await else {
            return;
        };
        connections.spawn(serve(
            stream,
            connection,
            Arc::clone(&steps),
            Arc::clone(&requests),
        ));
    }
}

async fn serve(
    mut stream: TcpStream,
    connection: usize,
    steps: Arc<Vec<Step>>,
    requests: Arc<Mutex<Vec<ReceivedRequest>>>,
) {
    while let Some(head) = read_request(&mut stream).await {
        let number = {
            let mut requests = requests.lock().expect("lock");
            requests.push(ReceivedRequest { connection, head });
            requests.len() - 1
        };
        let step = steps.get(number).cloned().unwrap_or(Step::Hang);
        let (bytes, then_hang) = match step {
            Step::Close => return,
            Step::Hang => (String::new(), true),
            Step::Send(bytes) => {
                stream.write_all(bytes.as_bytes()).await.expect("write");
                continue;
            }
            Step::SendClose(bytes) => (bytes, false),
            Step::SendHang(bytes) => (bytes, true),
        };
        stream.write_all(bytes.as_bytes()).await.expect("write");
        if then_hang {
            std::future::pending::<()>().await;
        }
        return;
    }
}

/// Reads one request. Returns `None` if the connection is closed.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut buf = Vec::new();
    let mut byte = [0];
    while !buf.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).await.ok()? == 0 {
            return None;
        }
        buf.push(byte[0]);
    }
    let head = String::from_utf8(buf).expect("head is text");
    let length = head
        .lines()
        .find_map(|l| l.strip_prefix("content-length: "))
        .map_or(0, |l| l.parse().expect("length"));
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    Some(head)
}
