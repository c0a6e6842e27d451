//! A server with a fake handler, and a client that sends raw bytes.

use bytes::Bytes;
use hyper::StatusCode;
use reedford_front::{
    CallRefusal, CallResponse, ChatCall, ErrorBody, Handler, PlainCall, Readiness, ResponseMeta,
    ServerLimits, ShutdownSignals, StreamError, serve,
};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

pub const BODY_BYTES: usize = 4_096;

pub type StreamItem = Result<Bytes, StreamError>;

/// Response of the fake handler to its next call. Later calls get `Buffered`.
pub enum NextResponse {
    Refuse(CallRefusal),
    /// Responds once the test sets `FakeHandler::resume`.
    Wait,
    Buffered,
    Stream(mpsc::Receiver<StreamItem>),
}

/// Number of calls that were started, and number of those that were dropped
/// before they completed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    pub started: usize,
    pub dropped: usize,
}

#[derive(Clone)]
pub struct FakeHandler {
    next_response: Arc<Mutex<NextResponse>>,
    pub calls: Arc<Mutex<Vec<ChatCall>>>,
    pub plain_calls: Arc<Mutex<Vec<PlainCall>>>,
    pub progress: watch::Sender<Progress>,
    pub resume: watch::Sender<bool>,
    pub readiness: watch::Sender<Readiness>,
}

/// Counts its call as dropped when it is dropped. A call that completes passes it
/// to `mem::forget`.
struct DropCounter<'a>(&'a watch::Sender<Progress>);

impl Drop for DropCounter<'_> {
    fn drop(&mut self) {
        self.0.send_modify(|progress| progress.dropped += 1);
    }
}

impl FakeHandler {
    fn new(next_response: NextResponse) -> Self {
        Self {
            next_response: Arc::new(Mutex::new(next_response)),
            calls: Arc::default(),
            plain_calls: Arc::default(),
            progress: watch::Sender::default(),
            resume: watch::Sender::new(false),
            readiness: watch::Sender::new(Readiness::Ready),
        }
    }

    pub fn started_calls(&self) -> usize {
        self.progress.borrow().started
    }

    async fn respond(&self, model: Option<Box<str>>) -> CallResponse {
        self.progress.send_modify(|progress| progress.started += 1);
        let next_response = std::mem::replace(
            &mut *self.next_response.lock().expect("lock"),
            NextResponse::Buffered,
        );
        let meta = ResponseMeta {
            model,
            target: "kielimalli-3".into(),
            load_stall: Some(Duration::from_millis(250)),
            revision: 7,
            attempt: "attempt-1".into(),
        };
        match next_response {
            NextResponse::Refuse(refusal) => return CallResponse::Refused(refusal),
            NextResponse::Stream(body) => return CallResponse::Stream { body, meta },
            NextResponse::Buffered => (),
            NextResponse::Wait => {
                let drop_counter = DropCounter(&self.progress);
                let mut rx = self.resume.subscribe();
                rx.wait_for(|resume| *resume)
                    .await
                    .expect("the test holds a sender");
                std::mem::forget(drop_counter);
            }
        }
        CallResponse::Buffered {
            status: StatusCode::OK,
            content_type: "application/json".into(),
            body: Bytes::from_static(b"{\"whole\":true}"),
            meta,
        }
    }
}

impl Handler for FakeHandler {
    async fn chat(&self, call: ChatCall) -> CallResponse {
        let model = format!("{}@{}", call.adapter, call.version);
        self.calls.lock().expect("lock").push(call);
        self.respond(Some(model.into())).await
    }

    async fn plain(&self, call: PlainCall) -> CallResponse {
        self.plain_calls.lock().expect("lock").push(call);
        self.respond(None).await
    }

    fn readiness(&self) -> Readiness {
        self.readiness.borrow().clone()
    }

    fn metrics(&self) -> String {
        "load_stall_seconds_count 3\n".to_owned()
    }
}

pub struct Server {
    pub address: SocketAddr,
    pub handler: FakeHandler,
    pub shutdown: ShutdownSignals,
    pub task: JoinHandle<()>,
}

impl Server {
    pub async fn start(next_response: NextResponse) -> Self {
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let listener = TcpListener::bind(addr).await.expect("the listener binds");
        Self::start_on(
            listener,
            next_response,
            ShutdownSignals::default(),
            Duration::from_secs(20),
        )
    }

    pub fn start_on(
        listener: TcpListener,
        next_response: NextResponse,
        shutdown: ShutdownSignals,
        timeout: Duration,
    ) -> Self {
        let address = listener.local_addr().expect("the listener has an address");
        let handler = FakeHandler::new(next_response);
        let limits = ServerLimits {
            body_bytes: BODY_BYTES,
            connections: 64,
            max_deadline: Duration::from_secs(120),
            head_timeout: timeout,
            body_timeout: timeout,
        };
        let task = tokio::spawn(serve(listener, handler.clone(), limits, shutdown.clone()));
        Self {
            address,
            handler,
            shutdown,
            task,
        }
    }

    pub async fn connect(&self, bytes: &[u8]) -> TcpStream {
        let mut stream = TcpStream::connect(self.address)
            .await
            .expect("the client connects");
        // An error is ignored: if the server has closed the connection, reading the
        // response shows it.
        let _ = stream.write_all(bytes).await;
        stream
    }

    /// Sends bytes and reads the response until the connection is closed.
    pub async fn exchange(&self, bytes: &[u8]) -> RawResponse {
        read_response(&mut self.connect(bytes).await).await
    }

    /// Stops the server without waiting for requests in progress.
    pub async fn abort(self) {
        self.shutdown.abort.cancel();
        self.task.await.expect("the server does not panic");
    }
}

/// A response as received, not decoded.
#[derive(Debug)]
pub struct RawResponse {
    pub status: Option<u16>,
    pub head: String,
    pub body: String,
}

impl RawResponse {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|line| line.split_once(": "));
        let mut found = lines.filter(|(n, _)| n.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value)
    }

    /// Returns the error in the body, which may be in a chunk.
    pub fn error(&self) -> ErrorBody {
        let start = self.body.find('{').expect("has JSON");
        let end = self.body.rfind('}').expect("has JSON");
        serde_json::from_str(&self.body[start..=end]).expect("the body is an ErrorBody")
    }
}

pub async fn read_response(stream: &mut TcpStream) -> RawResponse {
    let mut buf = Vec::new();
    // An error is ignored: the server may reset the connection after the response.
    let _ = stream.read_to_end(&mut buf).await;
    let text = String::from_utf8(buf).expect("is text");
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    RawResponse {
        status: head
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok()),
        head: head.to_owned(),
        body: body.to_owned(),
    }
}

/// Returns a request with a body. Each line of `headers` ends with CRLF.
pub fn post(path: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: reedford\r\nConnection: close\r\n{headers}Content-Length: {length}\r\n\r\n"
    );
    [head.as_bytes(), body.as_bytes()].concat()
}

pub fn get(path: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: reedford\r\nConnection: close\r\n\r\n").into_bytes()
}

pub const CHAT: &str = "/v1/chat/completions";

/// Returns a valid chat request.
pub fn chat(headers: &str) -> Vec<u8> {
    post(CHAT, headers, &chat_body("clause-check@v3"))
}

pub fn chat_body(model: &str) -> String {
    format!(r#"{{"model":"{model}","messages":[{{"role":"user","content":"ä"}}]}}"#)
}
