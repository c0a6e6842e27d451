//! Streams of a route that is split between two services, which run different versions of
//! their software. All nodes are killed and come back, and the callers resume their streams.

use crate::node::{Node, Place};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{EVENTS, Worker};
use crate::{Outcome, Setting};
use std::collections::BTreeSet;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const ZONES: [&str; 3] = ["bern-a", "olten-b", "aarau-c"];
const HOST: &str = "ask.example";
const STREAMS: usize = 24;
/// Time for which the killed processes are away; a process is restarted after a short delay.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// What a caller has of a stream.
#[derive(Clone, Debug, Default)]
struct Received {
    first_attempt: String,
    last_event: u32,
    /// What the pieces say they come from.
    origins: BTreeSet<String>,
    ended: bool,
}

pub fn play(setting: &Setting) -> Outcome {
    let record = Record::create(&setting.folder.join("record.txt"));
    let store = Store::default();
    let store_addr = store.start();
    for (n, zone) in ZONES.iter().enumerate() {
        Worker::start_version(&store, &record, &format!("i-a-{n}"), "lm-a", zone, "v1");
        Worker::start_version(&store, &record, &format!("i-b-{n}"), "lm-b", zone, "v2");
    }
    store.put("op/config", &configuration());
    let mut nodes: Vec<Node> = ZONES
        .iter()
        .map(|zone| {
            Node::start(Place {
                name: &format!("edge-{zone}-1"),
                zone,
                store: store_addr,
                folder: &setting.temporary,
                program: &setting.program,
            })
        })
        .collect();
    if !nodes
        .iter()
        .all(|n| n.wait_until_ready(Duration::from_secs(20)))
    {
        return Outcome::NotRun("a node did not become ready".to_owned());
    }
    std::thread::sleep(Duration::from_secs(5));
    let leave = Arc::new(AtomicBool::new(false));
    let streams: Vec<Arc<Mutex<Received>>> = (0..STREAMS).map(|_| Arc::default()).collect();
    let callers: Vec<_> = (streams.iter().enumerate())
        .map(|(n, stream)| {
            let addr = nodes[n % nodes.len()].callers;
            let id = format!("{:016x}", 0x1000 + n);
            stream
                .lock()
                .expect("no panic")
                .first_attempt
                .clone_from(&id);
            let (stream, record) = (Arc::clone(stream), record.clone());
            let leave = Arc::clone(&leave);
            std::thread::spawn(move || follow(addr, &id, None, &stream, &record, &leave))
        })
        .collect();
    std::thread::sleep(Duration::from_secs(4));
    if setting.trouble {
        record.line("all nodes are killed");
        nodes.iter_mut().for_each(Node::kill);
        std::thread::sleep(RESTART_DELAY);
        nodes.iter_mut().for_each(Node::restart);
    } else {
        record.line("all callers close their connections");
    }
    leave.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    if !nodes
        .iter()
        .all(|n| n.wait_until_ready(Duration::from_secs(20)))
    {
        return Outcome::NotRun("a node did not become ready again".to_owned());
    }
    record.line("all nodes are ready");
    let stay = Arc::new(AtomicBool::new(false));
    let begun: Vec<bool> = streams
        .iter()
        .map(|s| begun(&s.lock().expect("no panic")))
        .collect();
    let callers: Vec<_> = (streams.iter().enumerate())
        .filter(|(n, _)| begun[*n])
        .map(|(n, stream)| {
            // Retries reach other nodes.
            let addr = nodes[(n + 1) % nodes.len()].callers;
            let (stream, record) = (Arc::clone(stream), record.clone());
            let (id, stay) = (format!("{:016x}", 0x2000 + n), Arc::clone(&stay));
            let last = stream.lock().expect("no panic").last_event;
            std::thread::spawn(move || follow(addr, &id, Some(last), &stream, &record, &stay))
        })
        .collect();
    let resumed = callers.len();
    for caller in callers {
        let _ = caller.join();
    }
    let mut joined = 0;
    for stream in &streams {
        let stream = stream.lock().expect("no panic");
        let origins: Vec<&str> = stream.origins.iter().map(String::as_str).collect();
        record.line(&format!(
            "stream {}: {} events, ended={}, pieces of: {}",
            stream.first_attempt,
            stream.last_event,
            stream.ended,
            origins.join(" and ")
        ));
        joined += usize::from(origins.len() > 1);
    }
    record.line(&format!(
        "{resumed} streams were resumed, {joined} of them joined from two versions"
    ));
    match (resumed, joined) {
        (0, _) => Outcome::NotRun("no stream began".to_owned()),
        (_, 0) => Outcome::Held,
        _ => Outcome::Broken,
    }
}

fn begun(stream: &Received) -> bool {
    stream.last_event > 0 && !stream.ended
}

/// Sends a call and receives its events until the stream ends, or the caller leaves.
fn follow(
    addr: SocketAddr,
    id: &str,
    last: Option<u32>,
    received: &Mutex<Received>,
    record: &Record,
    leave: &AtomicBool,
) {
    let first = received.lock().expect("no panic").first_attempt.clone();
    let outcome = receive(addr, id, last.map(|last| (last, first)), received, leave);
    let last = received.lock().expect("no panic").last_event;
    record.line(&format!(
        "answered id={id} at {addr}: {outcome:?}, last event {last}"
    ));
}

fn receive(
    addr: SocketAddr,
    id: &str,
    resumed: Option<(u32, String)>,
    received: &Mutex<Received>,
    leave: &AtomicBool,
) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(3)))?;
    let mut request = format!(
        "POST /answer/1 HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: 20000\r\n"
    );
    if let Some((last, first)) = resumed {
        request.push_str(&format!("Last-Event-Id: {last}\r\nResumes: {first}\r\n"));
    }
    request.push_str("Content-Length: 0\r\n\r\n");
    stream.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let mut status = String::new();
    reader.read_line(&mut status)?;
    if !status.contains(" 200 ") {
        return Ok(status.trim_end().to_owned());
    }
    let mut event = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok("200, broken off".to_owned());
        }
        let line = line.trim_end();
        if let Some(id) = line.strip_prefix("id: ") {
            event = id.parse().unwrap_or(0);
        }
        if let Some((_, origin)) = line
            .strip_prefix("data: ")
            .and_then(|d| d.split_once(" of "))
        {
            let mut received = received.lock().expect("no panic");
            received.last_event = event;
            received.origins.insert(origin.to_owned());
        }
        if line == "0" && event == EVENTS {
            received.lock().expect("no panic").ended = true;
            return Ok("200, complete".to_owned());
        }
        if leave.load(Ordering::Relaxed) {
            return Ok("200, the caller leaves".to_owned());
        }
    }
}

fn configuration() -> String {
    format!(
        r#"{{"version":2,"routes":[{{"name":"r-ask","host":"{HOST}","prefix":"/answer/","type":"streaming","resumable":true,"timeoutMs":20000,"sloMs":1000,"gapTargetMs":500,"priority":1,"attempts":2,"split":[{{"service":"lm-a","weight":50}},{{"service":"lm-b","weight":50}}]}}],"services":[{{"name":"lm-a","healthPath":"/healthz","maxConns":110}},{{"name":"lm-b","healthPath":"/healthz","maxConns":110}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":5000,"idleTimeoutMs":30000}}}}"#
    )
}
