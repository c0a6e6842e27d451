//! What was sent, answered and run, in the order of time.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
    runs: Arc<Mutex<Vec<Run>>>,
}

/// A worker has begun to work on a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: String,
    /// Node whose link the request came on.
    pub via: usize,
    pub at_ms: u128,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path).expect("record.txt"))),
            runs: Arc::default(),
        }
    }

    pub fn ms(&self) -> u128 {
        self.start.elapsed().as_millis()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>6} ms  {text}\n", self.ms());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    pub fn run(&self, attempt: &str, worker: &str, via: usize) {
        self.line(&format!("worker {worker} runs {attempt}, received on the link of node-{via}"));
        self.runs.lock().unwrap().push(Run {
            attempt: attempt.to_owned(),
            via,
            at_ms: self.ms(),
        });
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }
}
