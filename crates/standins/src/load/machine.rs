//! Processor use of this process and of the machine, which shows whether the
//! machine limited a run.

use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Unit of the times in `/proc`: `USER_HZ`, ticks per second.
const TICKS_PER_S: f64 = 100.0;
/// Position of the user time in `/proc/self/stat`, counted from the field
/// after the program name.
const USER_TIME_FIELD: usize = 11;
/// Number of fields in the first line of `/proc/stat` whose sum is all time.
const MACHINE_FIELDS: usize = 8;
/// Position of the idle time among them; the next field is the I/O wait.
const IDLE_FIELD: usize = 3;
/// Share of the machine's processor time in use above which the machine counts
/// as the limit.
const BUSY_LIMIT: f64 = 0.9;

/// Processor use during a run, and whether it limited the run.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct MachineReport {
    /// 99th percentile of the send lag in milliseconds.
    pub send_lag_p99_ms: f64,
    /// Send lag in milliseconds above which the machine counts as the limit.
    pub send_lag_limit_ms: f64,
    /// Average number of processors that this process used; absent if unknown.
    pub own_cpus: Option<f64>,
    /// Share of the machine's processor time in use, from 0 to 1; absent if
    /// unknown.
    pub machine_busy: Option<f64>,
    /// Whether the machine, not the system under test, limited the run.
    pub was_limit: bool,
}

/// Processor times at one point in time.
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
    /// Reads the current times.
    #[must_use]
    pub fn now() -> Self {
        let own = std::fs::read_to_string("/proc/self/stat").ok();
        let machine = std::fs::read_to_string("/proc/stat").ok();
        Self {
            at: Instant::now(),
            own_ticks: own.as_deref().and_then(own_ticks),
            machine: machine.as_deref().and_then(machine_ticks),
        }
    }

    /// Returns the processor use from this sample to a later one.
    #[must_use]
    pub fn usage_until(
        &self,
        later: &Self,
        send_lag_p99: Duration,
        limit: Duration,
    ) -> MachineReport {
        let seconds = later.at.duration_since(self.at).as_secs_f64();
        let own = self.own_ticks.zip(later.own_ticks);
        let own_cpus = own.map(|(before, after)| (after - before) / TICKS_PER_S / seconds);
        let machine = self.machine.zip(later.machine);
        let machine_busy = machine.map(|(before, after)| after.busy_since(before));
        let machine_is_busy = machine_busy.is_some_and(|busy| busy > BUSY_LIMIT);
        MachineReport {
            send_lag_p99_ms: send_lag_p99.as_secs_f64() * 1e3,
            send_lag_limit_ms: limit.as_secs_f64() * 1e3,
            own_cpus,
            machine_busy,
            was_limit: send_lag_p99 > limit || machine_is_busy,
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

/// Returns the sum of user and system time of a `/proc/self/stat` line.
fn own_ticks(stat: &str) -> Option<f64> {
    let (_, fields) = stat.rsplit_once(") ")?;
    let mut fields = fields.split_whitespace().skip(USER_TIME_FIELD);
    let user = fields.next()?.parse::<f64>().ok()?;
    let system = fields.next()?.parse::<f64>().ok()?;
    Some(user + system)
}

/// Parses the first line of `/proc/stat`.
fn machine_ticks(stat: &str) -> Option<MachineTicks> {
    let fields = stat.lines().next()?.split_whitespace().skip(1);
    let ticks: Vec<f64> = fields.map_while(|field| field.parse().ok()).collect();
    let ticks = ticks.get(..MACHINE_FIELDS)?;
    Some(MachineTicks {
        all: ticks.iter().sum(),
        idle: ticks[IDLE_FIELD] + ticks[IDLE_FIELD + 1],
    })
}
