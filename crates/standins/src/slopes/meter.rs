//! Measurement of processor time, and the figures that are printed.

use std::fmt;
use std::hint::black_box;
use std::time::Duration;

/// Minimum processor time spent on one figure.
const MIN_MEASURED_TIME: Duration = Duration::from_millis(200);
/// Number of steps between two reads of the processor time.
const STEPS_PER_READ: u32 = 16;

/// A measured figure.
#[derive(Clone, Debug, PartialEq)]
pub struct Measurement {
    /// Name of the measured operation or data.
    pub name: &'static str,
    /// Size at which it was measured.
    pub size: Box<str>,
    /// The measured value.
    pub value: f64,
    /// Unit of the value.
    pub unit: &'static str,
}

impl Measurement {
    /// Returns a figure of processor time, in microseconds.
    #[must_use]
    pub fn time(name: &'static str, size: impl Into<Box<str>>, time: Duration) -> Self {
        Self {
            name,
            size: size.into(),
            value: time.as_secs_f64() * 1e6,
            unit: "us",
        }
    }

    /// Returns a figure of a size in bytes.
    #[must_use]
    pub fn bytes(name: &'static str, size: impl Into<Box<str>>, bytes: u64) -> Self {
        Self {
            name,
            size: size.into(),
            value: bytes as f64,
            unit: "bytes",
        }
    }
}

impl fmt::Display for Measurement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:34} {:38} {:>14.2} {}",
            self.name, self.size, self.value, self.unit
        )
    }
}

/// Returns the processor time of one step, averaged over as many steps as take
/// `MIN_MEASURED_TIME` or longer.
pub fn time_per_step<T, F>(mut step: F) -> Duration
where
    F: FnMut() -> T,
{
    black_box(step());
    let before = thread_cpu_time();
    let mut steps = 0;
    loop {
        for _ in 0..STEPS_PER_READ {
            black_box(step());
        }
        steps += STEPS_PER_READ;
        let spent = thread_cpu_time() - before;
        if spent >= MIN_MEASURED_TIME {
            return spent / steps;
        }
    }
}

/// Returns the time that this thread has spent on a processor.
fn thread_cpu_time() -> Duration {
    let schedstat = read("/proc/thread-self/schedstat");
    let nanos = schedstat.split_whitespace().next();
    let nanos = nanos
        .and_then(|nanos| nanos.parse().ok())
        .expect("schedstat starts with the CPU time in nanoseconds");
    Duration::from_nanos(nanos)
}

fn read(path: &str) -> String {
    std::fs::read_to_string(path).unwrap_or_else(|error| panic!("{path}: {error}"))
}
