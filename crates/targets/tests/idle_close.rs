//! Targets that close connections, or send bytes on them, while a request is being sent.

mod support;

use bytes::Bytes;
use reedford_targets::{DispatchError, PlainRequest};
use std::collections::BTreeMap;
use std::io::{BufRead as _, BufReader, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;
use support::{client_with_timeout, response};
use test_case::test_case;

/// What a target does on a connection, a while after its first response there.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// Closes it.
    Close,
    /// Sends the first response once more.
    Copy,
}

/// How often the target has received each attempt.
type Received = Arc<Mutex<BTreeMap<String, usize>>>;

/// Reads a request without a body; returns its attempt id.
fn read_attempt(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut attempt = None;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_ascii_lowercase();
        if line.is_empty() {
            return attempt;
        }
        if let Some((name, id)) = line.split_once(": ")
            && name.ends_with("attempt-id")
        {
            attempt = Some(id.to_owned());
        }
    }
}

fn serve(mut stream: TcpStream, delay: Duration, fault: Fault, received: &Received) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut first = None;
    while let Some(attempt) = read_attempt(&mut reader) {
        *received.lock().ok()?.entry(attempt.clone()).or_default() += 1;
        let header = format!("{}: {attempt}\r\n", reedford_wire::headers::ATTEMPT_ID);
        let text = response("200 OK", &header, "done");
        stream.write_all(text.as_bytes()).ok()?;
        if first.is_none() {
            first = Some(text.clone());
            thread::sleep(delay);
            match fault {
                Fault::Close => return None,
                Fault::Copy => stream.write_all(text.as_bytes()).ok()?,
            }
        }
    }
    Some(())
}

/// Delay of a round in steps that don't repeat with those of the client.
fn delay(round: usize, period: usize) -> Duration {
    Duration::from_micros((round % period) as u64 * 20)
}

fn start(fault: Fault, received: &Received) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port can be bound");
    let addr = listener.local_addr().expect("the listener has an address");
    let received = Arc::clone(received);
    thread::spawn(move || {
        for (n, stream) in listener.incoming().enumerate() {
            let Ok(stream) = stream else { return };
            let received = Arc::clone(&received);
            thread::spawn(move || serve(stream, delay(n, 17), fault, &received));
        }
    });
    addr
}

/// Guards against a request that is reported as not sent, or sent once more, although the
/// target received it.
#[test_case(Fault::Close; "closed while idle")]
#[test_case(Fault::Copy; "a second copy of a response while idle")]
#[tokio::test]
async fn a_request_that_the_target_received_is_not_sent_again(fault: Fault) {
    const ROUNDS: usize = 600;
    let received = Received::default();
    let addr = start(fault, &received);
    let client = client_with_timeout(Duration::from_secs(5));
    let mut served = 0;
    for round in 0..ROUNDS {
        let attempt = format!("a-{round}");
        let req = PlainRequest {
            path_and_query: "/".into(),
            content_type: None,
            body: Bytes::new(),
            attempt: attempt.as_str().into(),
            idempotency_key: None,
            traceparent: None,
            deadline: None,
        };
        let outcome = client.plain(addr, req).await;
        let times = received.lock().expect("no panic").get(&attempt).copied();
        let times = times.unwrap_or(0);
        assert!(times <= 1, "{attempt} was received {times} times");
        match outcome {
            Ok(res) => {
                assert_eq!((res.status, times), (200, 1));
                served += 1;
            }
            Err(DispatchError::NotSent(reason)) => assert_eq!(times, 0, "{reason}"),
            // It may have run.
            Err(_) => {}
        }
        thread::sleep(delay(round, 19));
    }
    assert!(served > 0, "no request was served");
    client.close().await;
}
