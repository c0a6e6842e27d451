//! A server with a fake handler, and a caller that sends raw bytes.

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

pub type Part = Result<Bytes, StreamError>;

/// What the fake handler answers.
pub enum Script {
    Refuse(CallRefusal),
    /// Waits until the test lets it go on.
    Wait,
    Whole,
    Stream(mpsc::Receiver<Part>),
}

/// How far the calls are.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    pub begun: usize,
    pub dropped: usize,
}

#[derive(Clone)]
pub struct Fake {
    script: Arc<Mutex<Script>>,
    pub calls: Arc<Mutex<Vec<ChatCall>>>,
    pub plain_calls: Arc<Mutex<Vec<PlainCall>>>,
    pub progress: watch::Sender<Progress>,
    pub go_on: watch::Sender<bool>,
    pub readiness: watch::Sender<Readiness>,
}

/// Counts a call's future as dropped unless it came to its end.
struct Unfinished<'a>(&'a watch::Sender<Progress>);

impl Drop for Unfinished<'_> {
    fn drop(&mut self) {
        self.0.send_modify(|progress| progress.dropped += 1);
    }
}

impl Fake {
    fn new(script: Script) -> Self {
        Self {
            script: Arc::new(Mutex::new(script)),
            calls: Arc::default(),
            plain_calls: Arc::default(),
            progress: watch::Sender::default(),
            go_on: watch::Sender::new(false),
            readiness: watch::Sender::new(Readiness::Ready),
        }
    }

    pub fn count(&self) -> usize {
        self.progress.borrow().begun
    }

    async fn answer(&self, model: Option<Box<str>>) -> CallResponse {
        self.progress.send_modify(|progress| progress.begun += 1);
        let script = std::mem::replace(&mut *self.script.lock().expect("lock"), Script::Whole);
        let meta = ResponseMeta {
            model,
            target: "kielimalli-3".into(),
            load_stall: Some(Duration::from_millis(250)),
            revision: 7,
            attempt: "attempt-1".into(),
        };
        match script {
            Script::Refuse(refused) => return CallResponse::Refused(refused),
            Script::Stream(body) => return CallResponse::Stream { body, meta },
            Script::Whole => (),
            Script::Wait => {
                let unfinished = Unfinished(&self.progress);
                let mut rx = self.go_on.subscribe();
                rx.wait_for(|go_on| *go_on)
                    .await
                    .expect("the test is there");
                std::mem::forget(unfinished);
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

impl Handler for Fake {
    async fn chat(&self, call: ChatCall) -> CallResponse {
        let model = format!("{}@{}", call.adapter, call.version);
        self.calls.lock().expect("lock").push(call);
        self.answer(Some(model.into())).await
    }

    async fn plain(&self, call: PlainCall) -> CallResponse {
        self.plain_calls.lock().expect("lock").push(call);
        self.answer(None).await
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
    pub fake: Fake,
    pub stop: ShutdownSignals,
    pub task: JoinHandle<()>,
}

impl Server {
    pub async fn start(script: Script) -> Self {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let listener = TcpListener::bind(any).await.expect("binds");
        Self::start_on(
            listener,
            script,
            ShutdownSignals::default(),
            Duration::from_secs(20),
        )
    }

    pub fn start_on(
        listener: TcpListener,
        script: Script,
        stop: ShutdownSignals,
        timeout: Duration,
    ) -> Self {
        let address = listener.local_addr().expect("has an address");
        let fake = Fake::new(script);
        let bounds = ServerLimits {
            body_bytes: BODY_BYTES,
            connections: 64,
            max_deadline: Duration::from_secs(120),
            head_timeout: timeout,
            body_timeout: timeout,
        };
        let task = tokio::spawn(serve(listener, fake.clone(), bounds, stop.clone()));
        Self {
            address,
            fake,
            stop,
            task,
        }
    }

    pub async fn connect(&self, bytes: &[u8]) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).await.expect("connects");
        // A server that has closed already shows when its answer is read.
        let _ = stream.write_all(bytes).await;
        stream
    }

    /// Sends bytes and reads until the connection is closed.
    pub async fn exchange(&self, bytes: &[u8]) -> Reply {
        read_reply(&mut self.connect(bytes).await).await
    }

    /// Stops without leave for requests in progress.
    pub async fn end(self) {
        self.stop.abort.cancel();
        self.task.await.expect("ends well");
    }
}

/// An answer as it came over the wire.
#[derive(Debug)]
pub struct Reply {
    pub status: Option<u16>,
    pub head: String,
    pub body: String,
}

impl Reply {
    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|line| line.split_once(": "));
        let mut found = lines.filter(|(n, _)| n.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value)
    }

    /// The typed error of the body, which may be a chunk.
    pub fn error(&self) -> ErrorBody {
        let start = self.body.find('{').expect("has JSON");
        let end = self.body.rfind('}').expect("has JSON");
        serde_json::from_str(&self.body[start..=end]).expect("is a typed error")
    }
}

pub async fn read_reply(stream: &mut TcpStream) -> Reply {
    let mut buf = Vec::new();
    // A reset after the answer is as good an end as any.
    let _ = stream.read_to_end(&mut buf).await;
    let text = String::from_utf8(buf).expect("is text");
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    Reply {
        status: head
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok()),
        head: head.to_owned(),
        body: body.to_owned(),
    }
}

/// A request with a body; `headers` are whole lines.
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

/// A good chat request.
pub fn chat(headers: &str) -> Vec<u8> {
    post(CHAT, headers, &chat_body("clause-check@v3"))
}

pub fn chat_body(model: &str) -> String {
    format!(r#"{{"model":"{model}","messages":[{{"role":"user","content":"ä"}}]}}"#)
}
