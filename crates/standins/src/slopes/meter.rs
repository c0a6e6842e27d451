//! Processor time of this program, and the rows that are printed.

use std::fmt;
use std::hint::black_box;
use std::time::Duration;

/// Least processor time spent on one figure.
const LEAST_TIME: Duration = Duration::from_millis(200);
/// Steps between two looks at the processor time.
const STEPS: u32 = 16;

/// One figure.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// What was measured.
    pub slope: &'static str,
    /// At which size.
    pub size: Box<str>,
    /// The figure.
    pub value: f64,
    /// Its unit.
    pub unit: &'static str,
}

impl Row {
    /// Processor time of one step, in microseconds.
    #[must_use]
    pub fn time(slope: &'static str, size: impl Into<Box<str>>, time: Duration) -> Self {
        Self {
            slope,
            size: size.into(),
            value: time.as_secs_f64() * 1e6,
            unit: "us",
        }
    }

    /// A number of bytes.
    #[must_use]
    pub fn bytes(slope: &'static str, size: impl Into<Box<str>>, bytes: u64) -> Self {
        Self {
            slope,
            size: size.into(),
            value: bytes as f64,
            unit: "bytes",
        }
    }
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:34} {:38} {:>14.2} {}",
            self.slope, self.size, self.value, self.unit
        )
    }
}

/// Processor time of one step, averaged over as many as take long enough.
pub fn time_of<T, F>(mut step: F) -> Duration
where
    F: FnMut() -> T,
{
    black_box(step());
    let before = thread_time();
    let mut steps = 0;
    loop {
        for _ in 0..STEPS {
            black_box(step());
        }
        steps += STEPS;
        let spent = thread_time() - before;
        if spent >= LEAST_TIME {
            return spent / steps;
        }
    }
}

/// Time that this thread has spent on a processor.
fn thread_time() -> Duration {
    let schedstat = read("/proc/thread-self/schedstat");
    let nanos = schedstat.split_whitespace().next();
    let nanos = nanos
        .and_then(|nanos| nanos.parse().ok())
        .expect("the first number of schedstat");
    Duration::from_nanos(nanos)
}

fn read(path: &str) -> String {
    std::fs::read_to_string(path).unwrap_or_else(|error| panic!("{path}: {error}"))
}
