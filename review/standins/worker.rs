//! A model worker, as PROTOCOL.md describes it. It has an address for each node, which
//! stands for the node's link to it and can be cut.

use crate::http::{Message, listen, read_message, write_json};
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;
use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const ADAPTER_SLOTS: usize = 5;
const HEARTBEAT: Duration = Duration::from_millis(1_200);

struct Link {
    addr: SocketAddr,
    is_cut: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
}

#[derive(Default)]
struct State {
    seq: u64,
    adapters: BTreeMap<String, u64>,
    loading: BTreeMap<String, Instant>,
    /// Answers since the worker began to hand out copies, and the copies.
    answers: usize,
    copies: usize,
    /// Calls that were answered with 421, and how often.
    rejected: BTreeMap<String, u32>,
}

pub struct Worker {
    pub id: String,
    service: &'static str,
    pub load_time: Duration,
    born: u128,
    links: Vec<Link>,
    state: Mutex<State>,
    /// Whether it hands out second copies of some answers, late.
    pub copies: AtomicBool,
    record: Record,
}

/// Share of its answers of which a worker hands out a second copy: the largest that the
/// users' site files have, `garble` with `extra late`.
const COPIED_SHARE: f64 = 0.03;

impl Worker {
    pub fn start(
        id: &str,
        service: &'static str,
        nodes: usize,
        adapters: &[&str],
        load_time: Duration,
        store: &Store,
        record: &Record,
    ) -> Arc<Self> {
        let links = (0..nodes).map(|_| {
            let listener = listen();
            let addr = listener.local_addr().expect("a bound address");
            let link = Link {
                addr,
                is_cut: AtomicBool::new(false),
                open: Mutex::default(),
            };
            (listener, link)
        });
        let (listeners, links): (Vec<_>, Vec<_>) = links.unzip();
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let state = State {
            seq: 1,
            adapters: adapters.iter().map(|a| ((*a).to_owned(), 1)).collect(),
            ..State::default()
        };
        let worker = Arc::new(Self {
            id: id.to_owned(),
            service,
            load_time,
            born: born.as_millis(),
            links,
            state: Mutex::new(state),
            copies: AtomicBool::new(false),
            record: record.clone(),
        });
        for (node, listener) in listeners.into_iter().enumerate() {
            let worker = Arc::clone(&worker);
            thread::spawn(move || worker.accept(node, Some(listener)));
        }
        let (beating, store) = (Arc::clone(&worker), store.clone());
        thread::spawn(move || {
            loop {
                store.put(&format!("servers/{}", beating.id), &beating.entry());
                thread::sleep(HEARTBEAT);
            }
        });
        worker
    }

    pub fn addr(&self, node: usize) -> SocketAddr {
        self.links[node].addr
    }

    /// Cuts a node's link, so that it refuses connections and closes the open ones, or
    /// heals it.
    pub fn set_cut(&self, node: usize, is_cut: bool) {
        let link = &self.links[node];
        link.is_cut.store(is_cut, Ordering::SeqCst);
        if is_cut {
            for stream in link.open.lock().unwrap().drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    fn accept(self: &Arc<Self>, node: usize, mut listener: Option<TcpListener>) {
        let link = &self.links[node];
        loop {
            let is_cut = link.is_cut.load(Ordering::SeqCst);
            if is_cut {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(link.addr).ok();
            }
            let accepted = listener.as_ref().map(|l| {
                let _ = l.set_nonblocking(true);
                l.accept()
            });
            let Some(Ok((stream, _))) = accepted else {
                thread::sleep(Duration::from_millis(2));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            if let Ok(clone) = stream.try_clone() {
                link.open.lock().unwrap().push(clone);
            }
            let worker = Arc::clone(self);
            thread::spawn(move || {
                let _ = worker.serve(node, stream);
            });
        }
    }

    fn models(&self, state: &State) -> String {
        let adapters: Vec<String> = state
            .adapters
            .iter()
            .map(|(name, version)| format!("\"{name}@{version}\""))
            .collect();
        format!("[{{\"name\":\"m\",\"version\":1,\"adapters\":[{}]}}]", adapters.join(","))
    }

    /// Returns the worker's entry in the store; each node sees its own address.
    fn entry(&self) -> String {
        let mut state = self.state.lock().unwrap();
        state.complete_loads();
        let models = match self.service {
            "engines" => format!(",\"models\":{}", self.models(&state)),
            _ => String::new(),
        };
        format!(
            "{{\"service\":\"{}\",\"address\":\"@{}\",\"zone\":\"z1\",\"version\":\"v1\",\
             \"slots\":64,\"state\":\"ready\",\"coldLeftMs\":0,\"born\":{},\"seq\":{}{models}}}",
            self.service, self.id, self.born, state.seq
        )
    }

    fn serve(&self, node: usize, mut stream: TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        // The last answer on the connection and its call, if that did not run.
        let mut last: Option<(String, String)> = None;
        while let Some(req) = read_message(&mut reader)? {
            let attempt = req.header("attempt-id").unwrap_or("");
            let copy = last.take().filter(|(id, _)| id == attempt).map(|(_, answer)| answer);
            match req.path() {
                "/-/report" => {
                    let mut state = self.state.lock().unwrap();
                    state.complete_loads();
                    let pending: Vec<String> =
                        state.loading.keys().map(|name| format!("\"m/{name}@1\"")).collect();
                    let body = format!(
                        "{{\"stage\":\"both\",\"models\":{},\"busy\":false,\"seq\":{},\"queued\":0,\
                         \"running\":0,\"kvUsed\":0,\"kvTotal\":120000,\"handles\":0,\"born\":{},\
                         \"pending\":[{}]}}",
                        self.models(&state),
                        state.seq,
                        self.born,
                        pending.join(",")
                    );
                    drop(state);
                    write_json(&mut stream, "200 OK", &body)?;
                }
                "/-/order" => {
                    let status = self.order(&req);
                    write_json(&mut stream, status, "{}")?;
                }
                _ => last = self.call(node, &req, copy, &mut stream)?,
            }
        }
        Ok(())
    }

    fn order(&self, req: &Message) -> &'static str {
        if req.header("expect-instance").is_some_and(|id| id != self.id) {
            return "421 Misdirected Request";
        }
        let order = Json::parse(&String::from_utf8_lossy(&req.body)).unwrap_or(Json::Null);
        let mut state = self.state.lock().unwrap();
        state.complete_loads();
        if order.get("precondition").number() as u64 != state.seq {
            return "409 Conflict";
        }
        let adapter = order.get("adapter").text().to_owned();
        let status = match order.get("operation").text() {
            "load" if state.adapters.contains_key(&adapter) => return "200 OK",
            "load" => {
                state.loading.insert(adapter.clone(), Instant::now() + self.load_time);
                "202 Accepted"
            }
            "unload" => {
                state.adapters.remove(&adapter);
                "200 OK"
            }
            _ => "400 Bad Request",
        };
        state.seq += 1;
        let held = state.adapters.len() + state.loading.len();
        self.record.line(&format!(
            "worker {} order {} {adapter}: {status}, {held} of {ADAPTER_SLOTS} slots",
            self.id,
            order.get("operation").text()
        ));
        status
    }

    /// Whether the worker hands out one more second copy, which comes late: where the
    /// answer to the next request is expected.
    fn take_copy(&self) -> bool {
        let mut state = self.state.lock().unwrap();
        let limit = state.answers as f64 * COPIED_SHARE;
        let is_copied = self.copies.load(Ordering::SeqCst) && (state.copies + 1) as f64 <= limit;
        state.copies += usize::from(is_copied);
        is_copied
    }

    /// Answers a call. `copy` is an earlier answer to it on the connection, of which a second
    /// copy may come first. Returns the call and the answer if it did not run.
    fn call(
        &self,
        node: usize,
        req: &Message,
        copy: Option<String>,
        stream: &mut TcpStream,
    ) -> io::Result<Option<(String, String)>> {
        let attempt = req.header("attempt-id").unwrap_or("").to_owned();
        let mut state = self.state.lock().unwrap();
        state.complete_loads();
        let held = match req.header("model").and_then(|m| m.split_once('/')) {
            Some((_, adapter)) => state.adapters.contains_key(adapter),
            None => true,
        };
        let is_expected = req.header("expect-instance").is_none_or(|id| id == self.id);
        state.answers += usize::from(self.copies.load(Ordering::SeqCst));
        if !held || !is_expected {
            let answer = format!(
                "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {attempt}\r\nInstance-Id: {}\r\n\
                 Not-Executed: 1\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            *state.rejected.entry(attempt.clone()).or_default() += 1;
            drop(state);
            self.record.line(&format!(
                "worker {} answers {attempt} with 421, adapter resident: {held}",
                self.id
            ));
            stream.write_all(answer.as_bytes())?;
            return Ok(Some((attempt, answer)));
        }
        let is_first_retry = state.rejected.get(&attempt) == Some(&1);
        drop(state);
        self.record.run(&attempt, &self.id, node);
        if let Some(copy) = copy.filter(|_| is_first_retry && self.take_copy()) {
            self.record.line(&format!(
                "worker {} sends the second copy of {:?} where the answer to {attempt} is expected",
                self.id,
                copy.lines().next().unwrap_or("")
            ));
            stream.write_all(copy.as_bytes())?;
        }
        // The last two parts of the path are the number of events and their pause.
        let mut parts = req.path().rsplit('/');
        let pause = parts.next().and_then(|n| n.parse().ok()).unwrap_or(20);
        let events: u32 = parts.next().and_then(|n| n.parse().ok()).unwrap_or(1);
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Stamp: {}.{attempt}\r\n\
             Content-Type: text/event-stream\r\nWeight-Versions: 1\r\nKeep-Alive: timeout=10\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        let streaming = (|| {
            stream.write_all(head.as_bytes())?;
            for n in 1..=events {
                thread::sleep(Duration::from_millis(pause));
                let event = format!("id: {n}\ndata: {attempt}-{n}\n\n");
                stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            }
            stream.write_all(b"0\r\n\r\n")
        })();
        let outcome = match &streaming {
            Ok(()) => "complete".to_owned(),
            Err(error) => format!("cut by the other side: {error}"),
        };
        self.record
            .line(&format!("worker {} ends {attempt}: {outcome}", self.id));
        streaming.map(|()| None)
    }
}

impl State {
    fn complete_loads(&mut self) {
        let now = Instant::now();
        let done: Vec<String> = self
            .loading
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for name in done {
            self.loading.remove(&name);
            self.adapters.insert(name, 1);
        }
    }
}
