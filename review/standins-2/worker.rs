//! A stand-in of a worker of a plain service, as PROTOCOL.md describes it. Paths under
//! `/answer/` are answered with a stream of events, which may be resumed.

use crate::http::{self, Message};
use crate::record::Record;
use crate::store::Store;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Events of a stream.
pub const EVENTS: u32 = 60;
/// Pause between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(200);

/// A running worker.
#[derive(Clone, Debug)]
pub struct Worker {
    pub id: String,
    pub service: String,
    pub zone: String,
    /// Version of its software.
    pub version: String,
    pub addr: SocketAddr,
    born: u64,
    seq: Arc<AtomicU64>,
    draining: Arc<AtomicBool>,
}

impl Worker {
    /// Starts a worker of version `v1` on a free port and registers it.
    pub fn start(store: &Store, record: &Record, id: &str, service: &str, zone: &str) -> Self {
        Self::start_version(store, record, id, service, zone, "v1")
    }

    /// Like [`Self::start`], for another version of the software.
    pub fn start_version(
        store: &Store,
        record: &Record,
        id: &str,
        service: &str,
        zone: &str,
        version: &str,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("a bound listener");
        let worker = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            version: version.to_owned(),
            addr,
            born: crate::record::unix_ms(),
            seq: Arc::default(),
            draining: Arc::default(),
        };
        let (serving, record) = (worker.clone(), record.clone());
        http::serve(listener, move |request, stream| {
            serving.respond(request, stream, &record)
        });
        let (beating, store) = (worker.clone(), store.clone());
        beating.register(&store);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(HEARTBEAT);
                beating.register(&store);
            }
        });
        worker
    }

    fn register(&self, store: &Store) {
        let seq = self.seq.fetch_add(1, Ordering::Relaxed);
        let state = match self.draining.load(Ordering::Relaxed) {
            true => "draining",
            false => "ready",
        };
        let Self {
            id,
            service,
            zone,
            version,
            addr,
            born,
            ..
        } = self;
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"{zone}\",\"version\":\"{version}\",\"slots\":16,\"state\":\"{state}\",\"coldLeftMs\":0,\"seq\":{seq},\"born\":{born}}}"
        );
        store.put(&format!("servers/{id}"), &entry);
    }

    fn respond(
        &self,
        request: &Message,
        stream: &mut TcpStream,
        record: &Record,
    ) -> io::Result<()> {
        let id = self.id.as_str();
        let mut send = |text: String| stream.write_all(text.as_bytes());
        if request.target() == "/healthz" {
            return send(http::response(200, &[("Instance-Id", id)], "ok"));
        }
        let attempt = request.header("attempt-id").unwrap_or_default();
        if request
            .header("expect-instance")
            .is_some_and(|expected| expected != id)
        {
            return send(http::response(
                421,
                &[("Attempt-Id", attempt), ("Not-Executed", "1")],
                "",
            ));
        }
        if attempt.is_empty() {
            return send(http::response(400, &[("Not-Executed", "1")], ""));
        }
        let (service, version) = (&self.service, &self.version);
        let last = request
            .header("last-event-id")
            .and_then(|id| id.parse().ok())
            .unwrap_or(0);
        record.line(&format!(
            "ran id={attempt} service={service} version={version} worker={id} after_event={last}"
        ));
        if !request.target().starts_with("/answer/") {
            let headers = [("Attempt-Id", attempt), ("Server-Stamp", id)];
            return send(http::response(200, &headers, service));
        }
        send(format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Stamp: {id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        ))?;
        for event in last + 1..=EVENTS {
            let text = format!("id: {event}\ndata: piece {event} of {service} {version}\n\n");
            send(format!("{:x}\r\n{text}\r\n", text.len()))?;
            std::thread::sleep(EVENT_INTERVAL);
        }
        send("0\r\n\r\n".to_owned())
    }
}
