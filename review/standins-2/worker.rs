//! A stand-in of a worker of a plain service, as PROTOCOL.md describes it.

use crate::http::{self, Message};
use crate::record::Record;
use crate::store::Store;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A running worker.
#[derive(Clone, Debug)]
pub struct Worker {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub addr: SocketAddr,
    born: u64,
    seq: Arc<AtomicU64>,
    draining: Arc<AtomicBool>,
}

impl Worker {
    /// Starts a worker on a free port and registers it.
    pub fn start(store: &Store, record: &Record, id: &str, service: &str, zone: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("a bound listener");
        let worker = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            addr,
            born: crate::record::unix_ms(),
            seq: Arc::default(),
            draining: Arc::default(),
        };
        let (serving, record) = (worker.clone(), record.clone());
        http::serve(listener, move |request, stream| {
            stream.write_all(serving.respond(request, &record).as_bytes())
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
            addr,
            born,
            ..
        } = self;
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":16,\"state\":\"{state}\",\"coldLeftMs\":0,\"seq\":{seq},\"born\":{born}}}"
        );
        store.put(&format!("servers/{id}"), &entry);
    }

    fn respond(&self, request: &Message, record: &Record) -> String {
        let id = self.id.as_str();
        if request.target() == "/healthz" {
            return http::response(200, &[("Instance-Id", id)], "ok");
        }
        let attempt = request.header("attempt-id").unwrap_or_default();
        if request.header("expect-instance").is_some_and(|expected| expected != id) {
            return http::response(421, &[("Attempt-Id", attempt), ("Not-Executed", "1")], "");
        }
        if attempt.is_empty() {
            return http::response(400, &[("Not-Executed", "1")], "");
        }
        record.line(&format!("ran id={attempt} service={} worker={id}", self.service));
        let headers = [("Attempt-Id", attempt), ("Server-Stamp", id)];
        http::response(200, &headers, &self.service)
    }
}
