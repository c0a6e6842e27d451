//! The record of what was sent, answered and run, with times.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Writes lines to a file. Clones share it.
#[derive(Clone, Debug)]
pub struct Record {
    began: Instant,
    out: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            began: Instant::now(),
            out: Arc::new(Mutex::new(file)),
        }
    }

    /// Seconds since the beginning.
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let mut out = self.out.lock().expect("no panic");
        let _ = writeln!(out, "{:8.3} {text}", self.now());
    }
}

/// Milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
