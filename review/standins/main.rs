//! Stand-ins of the users' platform and workers, and the cases of the review that are
//! scripts. Usage: `standins CASE RECORD`; with TROUBLE=0 without the disruption.

mod fleet;
mod http;
mod json;
mod lost;
mod record;
mod store;
mod twice;
mod worker;

use record::Record;
use std::path::Path;
use std::process::exit;
use std::thread;
use std::time::Duration;

/// Time after which a case is given up.
const LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (args.get(1).cloned(), args.get(2).cloned()) else {
        eprintln!("usage: standins lost|twice RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let record = Record::create(Path::new(&path));
    record.line(&format!("case {case}, with the disruption: {trouble}"));
    let (done_tx, done_rx) = std::sync::mpsc::channel();
    let playing = record.clone();
    thread::spawn(move || {
        let held = match &*case {
            "lost" => lost::run(&playing, trouble),
            "twice" => twice::run(&playing, trouble),
            _ => None,
        };
        let _ = done_tx.send(held);
    });
    let code = match done_rx.recv_timeout(LIMIT) {
        Ok(Some(true)) => 0,
        Ok(Some(false)) => 1,
        Ok(None) | Err(_) => 2,
    };
    fleet::end_processes();
    record.line(&format!("exit {code}"));
    exit(code);
}
