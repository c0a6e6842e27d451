//! Background traffic: concurrent callers that make calls until stopped.

use reedford_standins::history::{CallKind, CallOutcome, CallRecord, CallRequest, Recorder};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

/// Number of concurrent callers.
const CALLERS: usize = 8;
/// Maximum tries of one call, each through the next entry instance.
const MAX_TRIES: usize = 3;
/// Models whose requests are repeatable.
const REPEATABLE_MODELS: [&str; 4] = ["one@1", "one@2", "two@1", "three@1"];

/// A class of calls, a column of the table of served shares.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Class {
    Repeatable,
    AtMostOnceModel,
    AtMostOncePlain,
}

pub const CLASSES: [Class; 3] = [
    Class::Repeatable,
    Class::AtMostOnceModel,
    Class::AtMostOncePlain,
];

/// Addresses of the entry instances that callers use now, by name.
pub type Entries = Arc<Mutex<BTreeMap<Box<str>, SocketAddr>>>;

/// Running traffic.
pub struct Traffic {
    tasks: JoinSet<()>,
    stop: CancellationToken,
    ended: Arc<AtomicUsize>,
}

struct CallerTask {
    number: usize,
    recorder: Arc<Recorder>,
    entries: Entries,
    ended: Arc<AtomicUsize>,
    /// Number of calls recorded before this traffic; keeps its markers distinct
    /// from those of earlier traffic.
    recorded_before: usize,
}

impl Traffic {
    pub fn start(recorder: Arc<Recorder>, entries: &Entries) -> Self {
        let stop = CancellationToken::new();
        let ended = Arc::new(AtomicUsize::new(0));
        let recorded_before = recorder.recorded().len();
        let mut tasks = JoinSet::new();
        for number in 0..CALLERS {
            let task = CallerTask {
                number,
                recorder: Arc::clone(&recorder),
                entries: Arc::clone(entries),
                ended: Arc::clone(&ended),
                recorded_before,
            };
            tasks.spawn(task.run(stop.clone()));
        }
        Self { tasks, stop, ended }
    }

    /// Waits until `calls` more calls have ended.
    pub async fn wait_for_calls(&self, calls: usize) {
        let target = self.ended.load(Ordering::SeqCst) + calls;
        crate::test_site::wait_until("calls end", async || {
            self.ended.load(Ordering::SeqCst) >= target
        })
        .await;
    }

    /// Stops the callers, and waits until their calls in flight have ended.
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
            self.make_call(count).await;
            self.ended.fetch_add(1, Ordering::SeqCst);
        }
    }

    /// Makes one call, with up to [`MAX_TRIES`] tries through successive entry
    /// instances. A call without a key is retried only if the instance is
    /// unreachable or stopping; a call with a key until it is done.
    async fn make_call(&self, count: usize) {
        let number = self.number * 3 + count;
        let marker = format!("c{}-{}-{count}", self.recorded_before, self.number);
        for retry in 0..MAX_TRIES {
            let (entry, address) = self.entry(self.number + count / 8 + retry);
            let request = request(number, &marker, &entry);
            let has_key = request.key.is_some();
            let record = self.recorder.call(address, request).await;
            if record.outcome == CallOutcome::Done
                || !(has_key || is_unreachable_or_stopping(&record))
            {
                return;
            }
        }
    }

    /// Selects an entry instance round-robin by `number`.
    fn entry(&self, number: usize) -> (Box<str>, SocketAddr) {
        let entries = self.entries.lock().unwrap();
        let index = number % entries.len();
        let (name, address) = entries.iter().nth(index).unwrap();
        (name.clone(), *address)
    }
}

fn is_unreachable_or_stopping(record: &CallRecord) -> bool {
    record.outcome == CallOutcome::NotConnected || &*record.code == "stopping"
}

/// Builds the request number `number`: even numbers are repeatable, odd ones may
/// run at most once and carry a key.
fn request(number: usize, marker: &str, entry: &str) -> CallRequest {
    let (kind, name) = match number % 8 {
        0 | 2 => (
            CallKind::Whole,
            REPEATABLE_MODELS[number / 2 % REPEATABLE_MODELS.len()],
        ),
        4 | 6 => (
            CallKind::Streamed,
            REPEATABLE_MODELS[number / 2 % REPEATABLE_MODELS.len()],
        ),
        1 => (CallKind::Whole, "booking@1"),
        5 => (CallKind::Streamed, "booking@1"),
        _ => (CallKind::Plain, "orders/orders"),
    };
    let at_most_once = number % 2 == 1;
    CallRequest {
        kind,
        name: name.into(),
        marker: marker.into(),
        key: at_most_once.then(|| format!("key-{marker}").into()),
        entry: entry.into(),
    }
}

/// Returns the class of a call.
pub fn class(call: &CallRecord) -> Class {
    match (&call.request.key, call.request.kind.is_chat()) {
        (None, _) => Class::Repeatable,
        (Some(_), true) => Class::AtMostOnceModel,
        (Some(_), false) => Class::AtMostOncePlain,
    }
}
