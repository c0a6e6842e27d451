//! Processor use of this process and of the machine, to tell whether the
//! machine was the limit of a run.

use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Ticks per second of the times that the system shows to programs.
const TICKS_PER_S: f64 = 100.0;
/// Position of the user time after the program name in the process's line.
const USER_TIME_FIELD: usize = 11;
/// Number of fields of the machine's line that add up to all time.
const MACHINE_FIELDS: usize = 8;
/// Position of the idle time among them; the wait for disks comes next.
const IDLE_FIELD: usize = 3;
/// Share of the machine's processors in use from which they are the limit.
const BUSY_LIMIT: f64 = 0.9;

/// Whether the machine was the limit.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct MachineReport {
    /// How late requests were sent, 99th percentile in milliseconds.
    pub send_lag_p99_ms: f64,
    /// Bound on it above which the machine was the limit.
    pub send_lag_limit_ms: f64,
    /// Processors that this process used on average; absent when unknown.
    pub own_cpus: Option<f64>,
    /// Share of all processors of the machine in use; absent when unknown.
    pub machine_busy: Option<f64>,
    /// Whether the figures say more about the machine than about the system.
    pub was_limit: bool,
}

/// Processor times at one moment.
#[derive(Clone, Copy, Debug)]
pub struct CpuSample {
    at: Instant,
    own_ticks: Option<f64>,
    machine: Option<MachineTicks>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct MachineTicks {
    all: f64,
    idle: f64,
}

impl CpuSample {
    /// Reads the times now.
    #[must_use]
    pub fn take() -> Self {
        let own = std::fs::read_to_string("/proc/self/stat").ok();
        let machine = std::fs::read_to_string("/proc/stat").ok();
        Self {
            at: Instant::now(),
            own_ticks: own.as_deref().and_then(own_ticks),
            machine: machine.as_deref().and_then(machine_ticks),
        }
    }

    /// What was used from this sample to a later one.
    #[must_use]
    pub fn until(&self, later: &Self, send_lag_p99: Duration, limit: Duration) -> MachineReport {
        let seconds = later.at.duration_since(self.at).as_secs_f64();
        let own = self.own_ticks.zip(later.own_ticks);
        let own_cpus = own.map(|(before, after)| (after - before) / TICKS_PER_S / seconds);
        let machine = self.machine.zip(later.machine);
        let machine_busy = machine.map(|(before, after)| after.busy_since(before));
        let is_busy = machine_busy.is_some_and(|busy| busy > BUSY_LIMIT);
        MachineReport {
            send_lag_p99_ms: send_lag_p99.as_secs_f64() * 1e3,
            send_lag_limit_ms: limit.as_secs_f64() * 1e3,
            own_cpus,
            machine_busy,
            was_limit: send_lag_p99 > limit || is_busy,
        }
    }
}

impl MachineTicks {
    fn busy_since(self, before: Self) -> f64 {
        let all = self.all - before.all;
        let idle = self.idle - before.idle;
        if all > 0.0 { 1.0 - idle / all } else { 0.0 }
    }
}

/// User and system time of a process's `stat` line.
fn own_ticks(stat: &str) -> Option<f64> {
    let (_, fields) = stat.rsplit_once(") ")?;
    let mut fields = fields.split_whitespace().skip(USER_TIME_FIELD);
    let user = fields.next()?.parse::<f64>().ok()?;
    let system = fields.next()?.parse::<f64>().ok()?;
    Some(user + system)
}

/// The first line of the machine's `stat`.
fn machine_ticks(stat: &str) -> Option<MachineTicks> {
    let fields = stat.lines().next()?.split_whitespace().skip(1);
    let ticks: Vec<f64> = fields.map_while(|field| field.parse().ok()).collect();
    let ticks = ticks.get(..MACHINE_FIELDS)?;
    Some(MachineTicks {
        all: ticks.iter().sum(),
        idle: ticks[IDLE_FIELD] + ticks[IDLE_FIELD + 1],
    })
}
