//! Workers hand out second copies of some answers, late.

use crate::fleet::Fleet;
use crate::record::Record;
use crate::worker::Worker;
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

const NODES: usize = 2;
const WORKERS: usize = 5;
/// Workers that hand out copies: a share of 0.6.
const GARBLING: usize = 3;
/// Times that the disruption comes, with a pause of its length after each.
const TIMES: usize = 4;
const GARBLE: Duration = Duration::from_secs(5);
/// Time to load an adapter that a worker has not held.
const LOAD_TIME: Duration = Duration::from_millis(288);
const PAUSE: Duration = Duration::from_millis(15);

/// Returns whether the rules held; `None` if the case could not run.
pub fn run(record: &Record, trouble: bool) -> Option<bool> {
    let fleet = Fleet::start(NODES, record, |store| {
        let start = |n: usize| {
            let id = format!("i-{n}");
            Worker::start(&id, "engines", NODES, &[], LOAD_TIME, store, record)
        };
        (0..WORKERS).map(start).collect()
    });
    let held = if fleet.wait_until_ready() {
        play(&fleet, trouble)
    } else {
        None
    };
    fleet.stop();
    held
}

/// Plays the disruption up to [`TIMES`] times.
fn play(fleet: &Fleet, trouble: bool) -> Option<bool> {
    for time in 0..TIMES {
        let held = play_once(fleet, trouble, time);
        if held != Some(true) {
            return held;
        }
        thread::sleep(GARBLE);
    }
    Some(true)
}

fn play_once(fleet: &Fleet, trouble: bool, time: usize) -> Option<bool> {
    let record = &fleet.record;
    if trouble {
        record.line("3 of 5 workers hand out late second copies of up to 3 in 100 answers");
        for worker in &fleet.workers[..GARBLING] {
            worker.copies.store(true, Ordering::SeqCst);
        }
    }
    let end = Instant::now() + GARBLE;
    let mut answers = BTreeMap::new();
    thread::scope(|scope| {
        let mut calls = Vec::new();
        let mut n = 0;
        while Instant::now() < end {
            // Most calls use a few adapters; each second one is for a rare adapter.
            let adapter = if n % 2 == 0 {
                format!("b{time}-{n}")
            } else {
                format!("a{}", n % 10)
            };
            let id = format!("call-{time}-{n}");
            let node = n % NODES;
            calls.push(scope.spawn(move || {
                let answer = fleet.stream(node, &id, &adapter, 2, 20);
                (id, answer)
            }));
            n += 1;
            thread::sleep(PAUSE);
        }
        for call in calls {
            let (id, answer) = call.join().expect("the call's thread");
            answers.insert(id, answer);
        }
    });
    for worker in &fleet.workers {
        worker.copies.store(false, Ordering::SeqCst);
    }
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for run in record.runs() {
        *runs.entry(run.attempt).or_default() += 1;
    }
    if !answers.values().any(|a| a.status == 200) {
        return None;
    }
    let twice: Vec<_> = runs.iter().filter(|(_, count)| **count > 1).collect();
    let refused = answers.iter().filter(|(id, answer)| {
        matches!(answer.status, 408 | 421 | 429 | 503) && runs.contains_key(*id)
    });
    let refused: Vec<_> = refused.map(|(id, _)| id).collect();
    record.line(&format!("TWICE: ran more than once: {twice:?}"));
    record.line(&format!("REFUSED: refused though they ran: {refused:?}"));
    Some(twice.is_empty() && refused.is_empty())
}
