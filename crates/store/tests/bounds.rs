//! Bounds on what the platform sends.

use reedford_store::{Endpoint, EndpointConfig, KvError};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use test_case::test_case;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::sleep;

const KIB: usize = 1 << 10;
const CONTINUE: &str = "HTTP/1.1 100 Continue\r\n\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// What a platform sends for each request.
#[derive(Clone, Copy, Debug)]
struct Script {
    first: &'static str,
    /// What is sent again and again after it.
    endless: Option<&'static str>,
}

/// A platform, which stops when it is dropped.
#[derive(Debug)]
struct Platform {
    addr: SocketAddr,
    connections: Arc<AtomicUsize>,
    _tasks: JoinSet<()>,
}

impl Platform {
    async fn start(script: Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let addr = listener.local_addr().expect("bound");
        let connections = Arc::<AtomicUsize>::default();
        let accepted = Arc::clone(&connections);
        let mut tasks = JoinSet::new();
        tasks.spawn(async move {
            let mut serving = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                accepted.fetch_add(1, Ordering::Relaxed);
                serving.spawn(serve(stream, script));
            }
        });
        Self {
            addr,
            connections,
            _tasks: tasks,
        }
    }

    fn endpoint(&self) -> Endpoint {
        Endpoint::new(EndpointConfig {
            addresses: vec![self.addr],
            connect_timeout: CALL_TIMEOUT,
            call_timeout: CALL_TIMEOUT,
            watch_timeout: CALL_TIMEOUT,
        })
    }
}

async fn serve(mut stream: TcpStream, script: Script) {
    let mut buf = Vec::new();
    while stream.read_buf(&mut buf).await.is_ok_and(|len| len > 0) {
        if !buf.ends_with(b"\r\n\r\n") {
            continue;
        }
        buf.clear();
        let mut open = stream.write_all(script.first.as_bytes()).await.is_ok();
        if let Some(piece) = script.endless {
            let pieces = piece.repeat(64 * KIB / piece.len());
            while open {
                open = stream.write_all(pieces.as_bytes()).await.is_ok();
            }
            return;
        }
    }
}

/// Returns the longest time that a task which sleeps shortly waits for its turn.
async fn longest_wait() -> Duration {
    const PAUSE: Duration = Duration::from_millis(5);
    let mut longest = Duration::ZERO;
    for _ in 0..100 {
        let began = Instant::now();
        sleep(PAUSE).await;
        longest = longest.max(began.elapsed());
    }
    longest
}

/// Guards against a response without end of which the call, and everything beside it, waits
/// for the end.
#[test_case("", CONTINUE; "informational responses")]
#[test_case("HTTP/1.1 200 OK\r\nx-long: ", "x"; "a line of the head")]
#[test_case(CHUNKED, "0"; "zeros before the size of a chunk")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5", " "; "spaces after the size of a chunk")]
#[test_case(CHUNKED, "1\r\nx\r\n"; "chunks of one byte")]
#[test_case("HTTP/1.1 404 X\r\n\r\n", "x"; "the body of an error")]
#[tokio::test]
async fn response_without_end(first: &'static str, endless: &'static str) {
    const TARGET: Duration = Duration::from_secs(3);
    const TURN_TARGET: Duration = Duration::from_millis(500);
    let platform = Platform::start(Script {
        first,
        endless: Some(endless),
    })
    .await;
    let endpoint = platform.endpoint();
    let began = Instant::now();
    let call = async {
        let result = endpoint.get::<serde_json::Value>("/x").await;
        (result, began.elapsed())
    };
    let ((result, took), longest) = tokio::join!(call, longest_wait());
    let error = result.expect_err("a response without end is none");
    assert!(!matches!(error, KvError::NotSent { .. }), "{error}");
    assert!(took < TARGET, "{took:?}");
    assert!(longest < TURN_TARGET, "{longest:?}");
    endpoint.close().await;
}

/// Guards against bounds that sound responses pass, and against bytes that are counted from
/// one request of a connection to the next.
#[test_case(&format!("{}HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\n\"whole\"", CONTINUE.repeat(2_000)), 200;
    "informational responses")]
#[test_case(&format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n\"{}\"", (7 << 20) + 2, "x".repeat(7 << 20)), 200;
    "a large body")]
#[test_case(&format!("{CHUNKED}1\r\n\"\r\n{}1\r\n\"\r\n0\r\n\r\n", "1\r\nx\r\n".repeat(20_000)), 200; "small chunks")]
#[test_case(&format!("HTTP/1.1 404 X\r\ncontent-length: {}\r\n\r\n{}", 60 * KIB, "x".repeat(60 * KIB)), 404;
    "errors")]
#[tokio::test]
async fn sound_responses_on_one_connection(response: &str, status: u16) {
    let script = Script {
        first: response.to_owned().leak(),
        endless: None,
    };
    let platform = Platform::start(script).await;
    let endpoint = platform.endpoint();
    for _ in 0..20 {
        let result = endpoint.get::<serde_json::Value>("/x").await;
        let got = match &result {
            Ok(_) => 200,
            Err(KvError::Rejected { status, .. }) => *status,
            Err(error) => panic!("{error}"),
        };
        assert_eq!(got, status);
    }
    assert_eq!(platform.connections.load(Ordering::Relaxed), 1);
    endpoint.close().await;
}
