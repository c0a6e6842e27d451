//! A rolling restart, some seconds after a link was cut.

use crate::fleet::Fleet;
use crate::record::Record;
use crate::worker::Worker;
use std::thread;
use std::time::Duration;

const NODES: usize = 4;
const WORKERS: usize = 5;
/// The node that the clients use, and whose link is cut.
const NODE: usize = 0;
const CUT: Duration = Duration::from_secs(5);
/// `stableWindowMs`, with an allowance.
const STABLE: Duration = Duration::from_millis(3_600);
/// Streams at once, so that all workers have some.
const STREAMS: usize = 10;
/// Pause between two SIGTERMs.
const GAP: Duration = Duration::from_secs(1);

/// Returns whether the rule held; `None` if the case could not run.
pub fn run(record: &Record, trouble: bool) -> Option<bool> {
    let fleet = Fleet::start(NODES, record, |store| {
        let start = |n: usize| {
            let load_time = Duration::from_millis(250);
            let id = format!("i-{n}");
            Worker::start(&id, "engines", NODES, &[], load_time, store, record)
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

fn play(fleet: &Fleet, trouble: bool) -> Option<bool> {
    let record = &fleet.record;
    thread::scope(|scope| {
        for n in 0..STREAMS {
            scope.spawn(move || fleet.stream(NODE, &format!("first-{n}"), "", 5, 40));
        }
    });
    if trouble {
        record.line("the link of node-0 to worker i-0 is cut");
        fleet.workers[0].set_cut(NODE, true);
    }
    let short_streams = |name: &str, time: Duration| {
        for n in 0..time.as_millis() / 300 {
            thread::scope(|scope| {
                for m in 0..STREAMS {
                    let id = format!("{name}-{n}-{m}");
                    scope.spawn(move || fleet.stream(NODE, &id, "", 3, 40));
                }
                thread::sleep(Duration::from_millis(300));
            });
        }
    };
    short_streams("during", CUT);
    if trouble {
        fleet.workers[0].set_cut(NODE, false);
        record.line("the link is healed");
    }
    short_streams("after", STABLE);
    let from = record.ms();
    let answers = thread::scope(|scope| {
        let long = |n: usize| {
            scope.spawn(move || fleet.stream(NODE, &format!("long-{n}"), "", 25, 180))
        };
        let streams: Vec<_> = (0..STREAMS).map(long).collect();
        thread::sleep(Duration::from_millis(250));
        // The restart begins with a node that passes streams on, if one does.
        let runs = record.runs();
        let long: Vec<_> = runs.iter().filter(|r| r.at_ms >= from).collect();
        let other = long.iter().map(|r| r.via).find(|via| *via != NODE);
        let first = other.unwrap_or(1);
        record.line(&format!(
            "of {} long streams, {} run over a link of another node",
            long.len(),
            long.iter().filter(|r| r.via != NODE).count()
        ));
        scope.spawn(move || fleet.nodes[first].restart(record));
        thread::sleep(GAP);
        scope.spawn(move || fleet.nodes[NODE].restart(record));
        streams
            .into_iter()
            .map(|s| s.join().expect("the stream's thread"))
            .collect::<Vec<_>>()
    });
    let begun = answers.iter().filter(|a| a.status == 200).count();
    if begun == 0 {
        record.line("no long stream began");
        return None;
    }
    let cut = answers.iter().filter(|a| !a.complete).count();
    record.line(&format!(
        "{cut} of {} streams ended without a complete answer",
        answers.len()
    ));
    Some(cut == 0)
}

