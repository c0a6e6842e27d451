//! Callers that keep calling until they are told to stop.

use reedford_standins::history::{CallKind, CallOutcome, CallRecord, CallRequest, Recorder};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

/// Callers at once.
const CALLERS: usize = 8;
/// Tries of one key, each through the next entry instance.
const TRIES: usize = 3;
/// Models that may be asked again.
const MODELS: [&str; 4] = ["one@1", "one@2", "two@1", "three@1"];

/// A class of calls, as the table of shares names it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Class {
    Repeatable,
    OnceModel,
    OncePlain,
}

pub const CLASSES: [Class; 3] = [Class::Repeatable, Class::OnceModel, Class::OncePlain];

/// Entry instances by name, as callers know them at the time.
pub type Entries = Arc<Mutex<BTreeMap<Box<str>, SocketAddr>>>;

/// A running load.
pub struct Load {
    tasks: JoinSet<()>,
    stop: CancellationToken,
    ended: Arc<AtomicUsize>,
}

struct CallerTask {
    number: usize,
    recorder: Arc<Recorder>,
    entries: Entries,
    ended: Arc<AtomicUsize>,
    first: usize,
}

impl Load {
    pub fn start(recorder: Arc<Recorder>, entries: &Entries) -> Self {
        let stop = CancellationToken::new();
        let ended = Arc::new(AtomicUsize::new(0));
        let first = recorder.recorded().len();
        let mut tasks = JoinSet::new();
        for number in 0..CALLERS {
            let task = CallerTask {
                number,
                recorder: Arc::clone(&recorder),
                entries: Arc::clone(entries),
                ended: Arc::clone(&ended),
                first,
            };
            tasks.spawn(task.run(stop.clone()));
        }
        Self { tasks, stop, ended }
    }

    /// Waits until so many more calls have ended.
    pub async fn pass(&self, calls: usize) {
        let until = self.ended.load(Ordering::SeqCst) + calls;
        crate::scene::until("calls end", async || {
            self.ended.load(Ordering::SeqCst) >= until
        })
        .await;
    }

    /// Lets the calls under way end and makes no more.
    pub async fn stop(mut self) {
        self.stop.cancel();
        while let Some(joined) = self.tasks.join_next().await {
            joined.unwrap();
        }
    }
}

impl CallerTask {
    async fn run(self, stop: CancellationToken) {
        let mut count = 0;
        while !stop.is_cancelled() {
            count += 1;
            self.one(count).await;
            self.ended.fetch_add(1, Ordering::SeqCst);
        }
    }

    /// One call. It is made again through the next entry instance when this
    /// one is gone or going, and under a key until it is done.
    async fn one(&self, count: usize) {
        let number = self.number * 3 + count;
        let marker = format!("c{}-{}-{count}", self.first, self.number);
        for turn in 0..TRIES {
            let (entry, address) = self.entry(self.number + count / 8 + turn);
            let asked = asked(number, &marker, &entry);
            let once = asked.key.is_some();
            let record = self.recorder.call(address, asked).await;
            if record.outcome == CallOutcome::Done || !(once || is_gone(&record)) {
                return;
            }
        }
    }

    /// One of the entry instances in turn.
    fn entry(&self, number: usize) -> (Box<str>, SocketAddr) {
        let entries = self.entries.lock().unwrap();
        let at = number % entries.len();
        let (name, address) = entries.iter().nth(at).unwrap();
        (name.clone(), *address)
    }
}

fn is_gone(record: &CallRecord) -> bool {
    record.outcome == CallOutcome::NotConnected || &*record.code == "stopping"
}

/// The call number `number`: half may be repeated, the rest may run once.
fn asked(number: usize, marker: &str, entry: &str) -> CallRequest {
    let (kind, name) = match number % 8 {
        0 | 2 => (CallKind::Whole, MODELS[number / 2 % MODELS.len()]),
        4 | 6 => (CallKind::Streamed, MODELS[number / 2 % MODELS.len()]),
        1 => (CallKind::Whole, "booking@1"),
        5 => (CallKind::Streamed, "booking@1"),
        _ => (CallKind::Plain, "orders/orders"),
    };
    let once = number % 2 == 1;
    CallRequest {
        kind,
        name: name.into(),
        marker: marker.into(),
        key: once.then(|| format!("key-{marker}").into()),
        entry: entry.into(),
    }
}

/// The class of a call.
pub fn class(call: &CallRecord) -> Class {
    match (&call.request.key, call.request.kind.is_chat()) {
        (None, _) => Class::Repeatable,
        (Some(_), true) => Class::OnceModel,
        (Some(_), false) => Class::OncePlain,
    }
}
