//! The platform's metadata store, as PROTOCOL.md describes it.

use crate::http::{Message, listen, read_message, serve_connections, write_json};
use crate::json::{Json, from_base64, to_base64};
use std::collections::BTreeMap;
use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const PAGE: usize = 500;

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Data {
    revision: u64,
    items: BTreeMap<String, Item>,
    log: Vec<(u64, String)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

/// Changes a value as a node sees it, e.g. the address of a worker behind a link.
pub type View = Arc<dyn Fn(&str, &[u8]) -> Vec<u8> + Send + Sync>;

#[derive(Clone)]
pub struct Store(Arc<(Mutex<Data>, Condvar)>);

impl Store {
    pub fn start() -> Self {
        let data = Data {
            revision: 100,
            next_lease: 7_000,
            ..Data::default()
        };
        let store = Self(Arc::new((Mutex::new(data), Condvar::new())));
        let reaper = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                reaper.expire();
            }
        });
        store
    }

    /// Opens an address of the store for one node.
    pub fn listen(&self, view: View) -> SocketAddr {
        let listener = listen();
        let addr = listener.local_addr().expect("a bound address");
        let store = self.clone();
        serve_connections(listener, move |stream| store.serve(stream, &view));
        addr
    }

    /// Writes a key for the operator or for a worker.
    pub fn put(&self, key: &str, value: &str) {
        let mut data = self.0.0.lock().unwrap();
        data.put(key, value.as_bytes().to_vec(), 0);
        self.0.1.notify_all();
    }

    fn expire(&self) {
        let mut data = self.0.0.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> = data
            .leases
            .iter()
            .filter(|(_, (_, until))| *until <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            data.end_lease(id);
            self.0.1.notify_all();
        }
    }

    fn serve(&self, mut stream: TcpStream, view: &View) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(req) = read_message(&mut reader)? {
            let (status, body) = self.respond(&req, view);
            write_json(&mut stream, status, &body)?;
        }
        Ok(())
    }

    fn respond(&self, req: &Message, view: &View) -> (&'static str, String) {
        let prefix = req.query("prefix").unwrap_or_default();
        let number = |name: &str| req.query(name).and_then(|n| n.parse::<u64>().ok());
        let last = |path: &str| path.rsplit('/').next().and_then(|n| n.parse::<u64>().ok());
        let body = Json::parse(&String::from_utf8_lossy(&req.body)).unwrap_or(Json::Null);
        let path = req.path();
        let mut data = self.0.0.lock().unwrap();
        match (req.word(0), path) {
            ("GET", "/-/kv-range") => {
                let after = req.query("after").unwrap_or_default();
                let matching = data.items.iter();
                let mut matching =
                    matching.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let page: Vec<String> = matching
                    .by_ref()
                    .take(PAGE)
                    .map(|(key, item)| render(key, item, view))
                    .collect();
                let truncated = matching.next().is_some();
                let body = format!(
                    "{{\"items\":[{}],\"truncated\":{truncated},\"storeRevision\":{}}}",
                    page.join(","),
                    data.revision
                );
                ("200 OK", body)
            }
            ("GET", "/-/kv-key") => {
                let key = req.query("key").unwrap_or_default();
                match data.items.get(&key) {
                    Some(item) => ("200 OK", render(&key, item, view)),
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            ("GET", "/-/kv-watch") => {
                let after = number("after").unwrap_or(0);
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0).min(30_000));
                let until = Instant::now() + wait;
                loop {
                    let events = data.events(&prefix, after, view);
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let body = format!(
                            "{{\"events\":[{}],\"storeRevision\":{}}}",
                            events.join(","),
                            data.revision
                        );
                        return ("200 OK", body);
                    }
                    data = self.0.1.wait_timeout(data, left).unwrap().0;
                }
            }
            ("POST", "/-/kv-txn") => {
                let result = data.commit(&body, view);
                self.0.1.notify_all();
                result
            }
            ("POST", "/-/kv-lease") => {
                let ttl = body.get("ttlMs").number().max(1_000.0) as u64;
                data.next_lease += 1;
                let id = data.next_lease;
                let ttl_time = Duration::from_millis(ttl);
                data.leases.insert(id, (ttl_time, Instant::now() + ttl_time));
                ("200 OK", format!("{{\"lease\":{id},\"ttlMs\":{ttl}}}"))
            }
            ("POST", path) if path.starts_with("/-/kv-keep/") => {
                let lease = last(path).and_then(|id| data.leases.get_mut(&id));
                match lease {
                    Some((ttl, until)) => {
                        *until = Instant::now() + *ttl;
                        ("200 OK", format!("{{\"ttlMs\":{}}}", ttl.as_millis()))
                    }
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            ("DELETE", path) if path.starts_with("/-/kv-lease-end/") => {
                if let Some(id) = last(path) {
                    data.end_lease(id);
                    self.0.1.notify_all();
                }
                ("200 OK", "{}".to_owned())
            }
            _ => ("400 Bad Request", "{}".to_owned()),
        }
    }
}

impl Data {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |i| i.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item);
        self.log.push((revision, key.to_owned()));
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.log.push((self.revision, key.to_owned()));
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.delete(&key);
        }
    }

    /// Returns the keys that changed after a revision, as they are now.
    fn events(&self, prefix: &str, after: u64, view: &View) -> Vec<String> {
        let mut changed: BTreeMap<&str, u64> = BTreeMap::new();
        let from = self.log.partition_point(|(revision, _)| *revision <= after);
        for (revision, key) in &self.log[from..] {
            if key.starts_with(prefix) {
                changed.insert(key, *revision);
            }
        }
        let mut ordered: Vec<_> = changed.into_iter().collect();
        ordered.sort_by_key(|(_, revision)| *revision);
        let events = ordered.into_iter();
        events
            .map(|(key, revision)| match self.items.get(key) {
                Some(item) => render(key, item, view),
                None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"removed\":true}}"),
            })
            .collect()
    }

    fn commit(&mut self, body: &Json, view: &View) -> (&'static str, String) {
        let conditions = body.get("precondition").list();
        let holds = |row: &Json| {
            let current = self.items.get(row.get("key").text());
            current.map_or(0, |i| i.revision) == row.get("revision").number() as u64
        };
        if !conditions.iter().all(holds) {
            let current: Vec<String> = conditions
                .iter()
                .filter_map(|row| self.items.get_key_value(row.get("key").text()))
                .map(|(key, item)| render(key, item, view))
                .collect();
            let body = format!("{{\"items\":[{}]}}", current.join(","));
            return ("412 Precondition Failed", body);
        }
        let puts = body.get("setKeys").list();
        let lease = |row: &Json| row.get("lease").number() as u64;
        if puts
            .iter()
            .any(|row| lease(row) != 0 && !self.leases.contains_key(&lease(row)))
        {
            return ("404 Not Found", "{}".to_owned());
        }
        for row in puts {
            let value = from_base64(row.get("value").text());
            self.put(row.get("key").text(), value, lease(row));
        }
        for key in body.get("deleteKeys").list() {
            self.delete(key.text());
        }
        ("200 OK", format!("{{\"revision\":{}}}", self.revision))
    }
}

fn render(key: &str, item: &Item, view: &View) -> String {
    let Item {
        revision,
        created,
        lease,
        ..
    } = item;
    let value = to_base64(&view(key, &item.value));
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\
         \"lease\":{lease}}}"
    )
}
