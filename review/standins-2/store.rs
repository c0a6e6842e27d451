//! A stand-in of the platform's store: items, listings, watches, transactions and leases,
//! as PROTOCOL.md describes them. It loses nothing and answers at once.

use crate::http::{self, Message};
use crate::json::{Json, quote};
use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone, Debug)]
struct Item {
    /// Base64 text.
    value: String,
    revision: i64,
    created: i64,
    lease: i64,
}

#[derive(Clone, Debug)]
struct Event {
    key: String,
    /// `None` if the key was deleted.
    item: Option<Item>,
    revision: i64,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expires: Instant,
    keys: BTreeSet<String>,
}

#[derive(Debug, Default)]
struct State {
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    revision: i64,
    last_lease: i64,
    leases: BTreeMap<i64, Lease>,
}

/// The store. Clones share its state.
#[derive(Clone, Debug, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts to serve on a free port.
    pub fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("a bound listener");
        let store = self.clone();
        http::serve(listener, move |request, stream| {
            stream.write_all(store.respond(request).as_bytes())
        });
        let store = self.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                store.expire_leases();
            }
        });
        addr
    }

    /// Writes a key as the operator or a worker does. Returns once it is acknowledged.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.shared.0.lock().expect("no panic");
        state.revision += 1;
        let revision = state.revision;
        state.set(key, base64(value.as_bytes()), 0, revision);
        self.shared.1.notify_all();
    }

    fn expire_leases(&self) {
        let now = Instant::now();
        let mut state = self.shared.0.lock().expect("no panic");
        let ended: Vec<i64> = {
            let leases = state.leases.iter();
            leases
                .filter(|(_, l)| l.expires <= now)
                .map(|(id, _)| *id)
                .collect()
        };
        for id in ended {
            self.end_lease(&mut state, id);
        }
    }

    fn end_lease(&self, state: &mut State, id: i64) -> bool {
        let Some(lease) = state.leases.remove(&id) else {
            return false;
        };
        for key in lease.keys {
            if state.items.get(&key).is_some_and(|i| i.lease == id) {
                state.revision += 1;
                let revision = state.revision;
                state.delete(&key, revision);
            }
        }
        self.shared.1.notify_all();
        true
    }

    fn respond(&self, request: &Message) -> String {
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let query = parse_query(query);
        let arg = |name: &str| query.get(name).map(String::as_str).unwrap_or_default();
        let body = Json::parse(&request.text()).unwrap_or(Json::Null);
        let (status, text) = match (request.method(), path) {
            ("GET", "/-/kv-key") => self.key(arg("key")),
            ("GET", "/-/kv-range") => self.range(arg("prefix"), arg("after")),
            ("GET", "/-/kv-watch") => {
                let after = arg("after").parse().unwrap_or(0);
                let wait = arg("waitMs").parse().unwrap_or(0);
                self.watch(arg("prefix"), after, Duration::from_millis(wait))
            }
            ("POST", "/-/kv-txn") => self.txn(&body),
            ("POST", "/-/kv-lease") => self.lease(&body),
            ("POST", path) => match path
                .strip_prefix("/-/kv-keep/")
                .and_then(|i| i.parse().ok())
            {
                Some(id) => self.keep(id),
                None => (400, "{}".to_owned()),
            },
            ("DELETE", path) => {
                let id = path
                    .strip_prefix("/-/kv-lease-end/")
                    .and_then(|i| i.parse().ok());
                let mut state = self.shared.0.lock().expect("no panic");
                match id.is_some_and(|id| self.end_lease(&mut state, id)) {
                    true => (200, "{}".to_owned()),
                    false => (404, "{}".to_owned()),
                }
            }
            _ => (400, "{}".to_owned()),
        };
        http::response(status, &[("Content-Type", "application/json")], &text)
    }

    fn key(&self, key: &str) -> (u16, String) {
        let state = self.shared.0.lock().expect("no panic");
        match state.items.get(key) {
            Some(item) => (200, item.json(key)),
            None => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        const PAGE: usize = 500;
        let state = self.shared.0.lock().expect("no panic");
        let found = state.items.iter();
        let found = found.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let mut items: Vec<String> = found.map(|(key, item)| item.json(key)).collect();
        let truncated = items.len() > PAGE;
        items.truncate(PAGE);
        let items = items.join(",");
        let revision = state.revision;
        let text = format!(
            "{{\"items\":[{items}],\"truncated\":{truncated},\"storeRevision\":{revision}}}"
        );
        (200, text)
    }

    fn watch(&self, prefix: &str, after: i64, wait: Duration) -> (u16, String) {
        let end = Instant::now() + wait;
        let mut state = self.shared.0.lock().expect("no panic");
        loop {
            let new = state.events.iter();
            let new = new.filter(|e| e.revision > after && e.key.starts_with(prefix));
            let events: Vec<String> = new.map(Event::json).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = state.revision.max(after);
                let events = events.join(",");
                return (
                    200,
                    format!("{{\"events\":[{events}],\"storeRevision\":{revision}}}"),
                );
            }
            state = self.shared.1.wait_timeout(state, left).expect("no panic").0;
        }
    }

    fn txn(&self, body: &Json) -> (u16, String) {
        let list = |name: &str| body.get(name).map(Json::list).unwrap_or_default().to_vec();
        let mut state = self.shared.0.lock().expect("no panic");
        let conditions = list("precondition");
        let key_of = |j: &Json| {
            j.get("key")
                .and_then(Json::text)
                .unwrap_or_default()
                .to_owned()
        };
        let holds = |c: &Json| {
            let wanted = c.get("revision").and_then(Json::number).unwrap_or(0);
            state.items.get(&key_of(c)).map_or(0, |i| i.revision) == wanted
        };
        if !conditions.iter().all(holds) {
            let keys = conditions.iter().map(key_of);
            let items = keys.filter_map(|key| Some(state.items.get(&key)?.json(&key)));
            let items: Vec<String> = items.collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let puts = list("setKeys");
        let lease_of = |p: &Json| p.get("lease").and_then(Json::number).unwrap_or(0);
        if puts
            .iter()
            .map(lease_of)
            .any(|l| l != 0 && !state.leases.contains_key(&l))
        {
            return (404, "{}".to_owned());
        }
        state.revision += 1;
        let revision = state.revision;
        for put in &puts {
            let value = put
                .get("value")
                .and_then(Json::text)
                .unwrap_or_default()
                .to_owned();
            state.set(&key_of(put), value, lease_of(put), revision);
        }
        for key in list("deleteKeys") {
            state.delete(key.text().unwrap_or_default(), revision);
        }
        self.shared.1.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }

    fn lease(&self, body: &Json) -> (u16, String) {
        let ttl_ms = body
            .get("ttlMs")
            .and_then(Json::number)
            .unwrap_or(1_000)
            .max(1_000);
        let ttl = Duration::from_millis(ttl_ms as u64);
        let mut state = self.shared.0.lock().expect("no panic");
        state.last_lease += 1;
        let id = state.last_lease;
        let lease = Lease {
            ttl,
            expires: Instant::now() + ttl,
            keys: BTreeSet::new(),
        };
        state.leases.insert(id, lease);
        (200, format!("{{\"lease\":{id},\"ttlMs\":{ttl_ms}}}"))
    }

    fn keep(&self, id: i64) -> (u16, String) {
        let mut state = self.shared.0.lock().expect("no panic");
        match state.leases.get_mut(&id) {
            Some(lease) => {
                lease.expires = Instant::now() + lease.ttl;
                (200, format!("{{\"ttlMs\":{}}}", lease.ttl.as_millis()))
            }
            None => (404, "{}".to_owned()),
        }
    }
}

impl State {
    fn set(&mut self, key: &str, value: String, lease: i64, revision: i64) {
        let created = self.items.get(key).map_or(revision, |i| i.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        if let Some(lease) = self.leases.get_mut(&lease) {
            lease.keys.insert(key.to_owned());
        }
        self.items.insert(key.to_owned(), item.clone());
        self.events.push(Event {
            key: key.to_owned(),
            item: Some(item),
            revision,
        });
    }

    fn delete(&mut self, key: &str, revision: i64) {
        if self.items.remove(key).is_some() {
            self.events.push(Event {
                key: key.to_owned(),
                item: None,
                revision,
            });
        }
    }
}

impl Item {
    fn json(&self, key: &str) -> String {
        let Item {
            value,
            revision,
            created,
            lease,
        } = self;
        let key = quote(key);
        format!(
            "{{\"key\":{key},\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\"lease\":{lease}}}"
        )
    }
}

impl Event {
    fn json(&self) -> String {
        match &self.item {
            Some(item) => item.json(&self.key),
            None => {
                let (key, revision) = (quote(&self.key), self.revision);
                format!("{{\"key\":{key},\"revision\":{revision},\"removed\":true}}")
            }
        }
    }
}

fn parse_query(query: &str) -> BTreeMap<String, String> {
    let pairs = query.split('&').filter_map(|p| p.split_once('='));
    pairs
        .map(|(name, value)| (name.to_owned(), percent_decode(value)))
        .collect()
}

fn percent_decode(text: &str) -> String {
    let mut out = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte == b'%' {
            let hex: Vec<u8> = bytes.by_ref().take(2).collect();
            let code = std::str::from_utf8(&hex).ok();
            let code = code.and_then(|hex| u8::from_str_radix(hex, 16).ok());
            out.extend(code);
        } else {
            out.push(byte);
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Encodes bytes as standard base64 text with padding.
fn base64(bytes: &[u8]) -> String {
    const TABLE: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for n in 0..4 {
            if n <= chunk.len() {
                out.push(char::from(TABLE[(bits >> (18 - 6 * n)) as usize & 63]));
            } else {
                out.push('=');
            }
        }
    }
    out
}
