//! A stand-in of a model engine, as PROTOCOL.md describes it: a batch that is never full,
//! a few slots for adapters, orders and reports. It goes on with a request whose connection
//! was closed, as some workers do.

use crate::http::{self, Message};
use crate::json::Json;
use crate::record::{Record, unix_ms};
use crate::store::Store;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const HEARTBEAT: Duration = Duration::from_millis(1_200);
pub const ADAPTER_SLOTS: usize = 5;
/// Time to load an adapter.
const LOAD_TIME: Duration = Duration::from_millis(250);
const EVENT_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Debug, Default)]
struct State {
    resident: BTreeSet<String>,
    pending: BTreeSet<String>,
    /// Resident adapters that are unloaded once their runs have ended.
    leaving: BTreeSet<String>,
    /// Runs of each adapter.
    runs: BTreeMap<String, u32>,
    seq: i64,
    fence: i64,
    /// Whether the next report is sent a second time.
    copies_next_report: bool,
    /// Second copies that are yet to be sent, by connection.
    copies: BTreeMap<SocketAddr, String>,
    /// Whether it was ordered to load more than its slots hold, and so crashed.
    crashed: bool,
    answers: u64,
    reports: u64,
}

/// A running engine.
#[derive(Clone, Debug)]
pub struct Engine {
    id: String,
    zone: String,
    addr: SocketAddr,
    born: u64,
    state: Arc<Mutex<State>>,
}

impl Engine {
    /// Starts an engine that holds these adapters of the model `m0`, and registers it.
    pub fn start(store: &Store, record: &Record, id: &str, zone: &str, adapters: &[&str]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("a bound listener");
        let engine = Self {
            id: id.to_owned(),
            zone: zone.to_owned(),
            addr,
            born: unix_ms(),
            state: Arc::default(),
        };
        let resident = adapters.iter().map(|a| (*a).to_owned());
        engine
            .state
            .lock()
            .expect("no panic")
            .resident
            .extend(resident);
        let (serving, record) = (engine.clone(), record.clone());
        http::serve(listener, move |request, stream| {
            serving.respond(request, stream, &record)
        });
        let (beating, store) = (engine.clone(), store.clone());
        beating.register(&store);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(HEARTBEAT);
                if beating.crashed() {
                    return;
                }
                beating.register(&store);
            }
        });
        engine
    }

    /// Sends the next report a second time, where the response to the next request on its
    /// connection is expected.
    pub fn copy_next_report(&self) {
        self.state.lock().expect("no panic").copies_next_report = true;
    }

    pub fn crashed(&self) -> bool {
        self.state.lock().expect("no panic").crashed
    }

    /// Numbers of answers, and of those that are reports.
    pub fn answers(&self) -> (u64, u64) {
        let state = self.state.lock().expect("no panic");
        (state.answers, state.reports)
    }

    fn register(&self, store: &Store) {
        let models = self.state.lock().expect("no panic").models();
        let Self {
            id,
            zone,
            addr,
            born,
            ..
        } = self;
        let entry = format!(
            "{{\"service\":\"lm\",\"address\":\"{addr}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":0,\"born\":{born},\"stage\":\"both\",\"models\":{models}}}"
        );
        store.put(&format!("servers/{id}"), &entry);
    }

    fn respond(
        &self,
        request: &Message,
        stream: &mut TcpStream,
        record: &Record,
    ) -> io::Result<()> {
        let peer = stream.peer_addr()?;
        {
            let mut state = self.state.lock().expect("no panic");
            if state.crashed {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            state.answers += 1;
            if let Some(copy) = state.copies.remove(&peer) {
                drop(state);
                record.line(&format!(
                    "engine {}: second copy of an earlier answer, where the answer to {} is expected",
                    self.id, request.first
                ));
                stream.write_all(copy.as_bytes())?;
                // Late answers come one after the other.
                std::thread::sleep(Duration::from_millis(20));
            }
        }
        let expected = request.header("expect-instance");
        let attempt = request.header("attempt-id").unwrap_or_default();
        if expected.is_some_and(|expected| expected != self.id) {
            let head = [("Attempt-Id", attempt), ("Not-Executed", "1")];
            return stream.write_all(http::response(421, &head, "").as_bytes());
        }
        match request.target() {
            "/healthz" => {
                let head = [("Instance-Id", self.id.as_str())];
                stream.write_all(http::response(200, &head, "ok").as_bytes())
            }
            "/-/report" => {
                let report = self.report(peer);
                stream.write_all(report.as_bytes())
            }
            "/-/order" => {
                let (status, text) = self.order(request, record);
                if self.crashed() {
                    return Err(io::ErrorKind::ConnectionReset.into());
                }
                let head = [("Content-Type", "application/json")];
                stream.write_all(http::response(status, &head, text).as_bytes())
            }
            _ => self.run(request, attempt, stream, record),
        }
    }

    fn report(&self, peer: SocketAddr) -> String {
        let mut state = self.state.lock().expect("no panic");
        state.reports += 1;
        let pending: Vec<String> = state
            .pending
            .iter()
            .map(|a| format!("\"m0/{a}@1\""))
            .collect();
        let running: u32 = state.runs.values().sum();
        let text = format!(
            "{{\"stage\":\"both\",\"models\":{},\"busy\":false,\"seq\":{},\"queued\":0,\"running\":{running},\"kvUsed\":0,\"kvTotal\":121675,\"handles\":0,\"born\":{},\"pending\":[{}]}}",
            state.models(),
            state.seq,
            self.born,
            pending.join(",")
        );
        let response = http::response(200, &[("Content-Type", "application/json")], &text);
        if std::mem::take(&mut state.copies_next_report) {
            state.copies.insert(peer, response.clone());
        }
        response
    }

    fn order(&self, request: &Message, record: &Record) -> (u16, &'static str) {
        let order = Json::parse(&request.text()).unwrap_or(Json::Null);
        let text = |name: &str| {
            order
                .get(name)
                .and_then(Json::text)
                .unwrap_or_default()
                .to_owned()
        };
        let number = |name: &str| order.get(name).and_then(Json::number);
        let mut state = self.state.lock().expect("no panic");
        let (operation, adapter, holder) = (text("operation"), text("adapter"), text("holder"));
        let fence = number("fencingToken").unwrap_or(0);
        let status = if holder.is_empty() || fence == 0 || adapter.is_empty() {
            400
        } else if fence < state.fence {
            412
        } else if number("precondition").is_some_and(|wanted| wanted != state.seq) {
            409
        } else {
            state.fence = fence;
            match operation.as_str() {
                "load" => self.load(&mut state, &adapter),
                "unload" => state.unload(&adapter),
                _ => 400,
            }
        };
        record.line(&format!(
            "engine {}: order {operation} {adapter} of {holder}, precondition {:?}: {status}; resident {:?}, leaving {:?}, pending {:?}{}",
            self.id,
            number("precondition"),
            state.resident,
            state.leaving,
            state.pending,
            if state.crashed { "; MORE THAN ITS SLOTS HOLD, it crashes" } else { "" }
        ));
        (status, "{}")
    }

    fn load(&self, state: &mut State, adapter: &str) -> u16 {
        if state.resident.contains(adapter) || state.pending.contains(adapter) {
            return 200;
        }
        if state.resident.len() + state.pending.len() >= ADAPTER_SLOTS {
            state.crashed = true;
            return 0;
        }
        state.seq += 1;
        state.pending.insert(adapter.to_owned());
        let (shared, adapter) = (Arc::clone(&self.state), adapter.to_owned());
        std::thread::spawn(move || {
            std::thread::sleep(LOAD_TIME);
            let mut state = shared.lock().expect("no panic");
            state.pending.remove(&adapter);
            state.resident.insert(adapter);
        });
        202
    }

    /// Runs a request whose adapter is resident to its end, whether its caller is there or not.
    fn run(
        &self,
        request: &Message,
        attempt: &str,
        stream: &mut TcpStream,
        record: &Record,
    ) -> io::Result<()> {
        let model = request.header("model").unwrap_or_default();
        let adapter = model
            .split_once('/')
            .map_or("", |(_, adapter)| adapter)
            .to_owned();
        {
            let mut state = self.state.lock().expect("no panic");
            if !state.resident.contains(&adapter) || state.leaving.contains(&adapter) {
                drop(state);
                let head = [("Attempt-Id", attempt), ("Not-Executed", "1")];
                return stream.write_all(http::response(421, &head, "").as_bytes());
            }
            *state.runs.entry(adapter.clone()).or_default() += 1;
        }
        let events: u32 = request
            .header("x-events")
            .and_then(|e| e.parse().ok())
            .unwrap_or(3);
        record.line(&format!(
            "engine {}: runs id={attempt} adapter={adapter}",
            self.id
        ));
        let mut written = stream.write_all(
            format!("HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Stamp: {}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", self.id).as_bytes(),
        );
        for event in 1..=events {
            let text = format!("id: {event}\ndata: piece {event} of {adapter}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            written = written.and_then(|()| stream.write_all(chunk.as_bytes()));
            std::thread::sleep(EVENT_INTERVAL);
        }
        written = written.and_then(|()| stream.write_all(b"0\r\n\r\n"));
        let mut state = self.state.lock().expect("no panic");
        let runs = state.runs.entry(adapter.clone()).or_default();
        *runs = runs.saturating_sub(1);
        if *runs == 0 && state.leaving.remove(&adapter) {
            state.resident.remove(&adapter);
        }
        record.line(&format!("engine {}: run of id={attempt} ends", self.id));
        written
    }
}

impl State {
    fn models(&self) -> String {
        let adapters: Vec<String> = self.resident.iter().map(|a| format!("\"{a}@1\"")).collect();
        let adapters = adapters.join(",");
        format!("[{{\"name\":\"m0\",\"version\":1,\"adapters\":[{adapters}]}}]")
    }

    fn unload(&mut self, adapter: &str) -> u16 {
        if !self.resident.contains(adapter) {
            return 200;
        }
        self.seq += 1;
        if self.runs.get(adapter).copied().unwrap_or(0) > 0 {
            self.leaving.insert(adapter.to_owned());
            return 202;
        }
        self.resident.remove(adapter);
        200
    }
}
