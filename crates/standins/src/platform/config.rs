//! Settings and control messages of the platform stand-in.

use reedford_wire::instances::Instance;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};

/// Settings of the platform stand-in.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformConfig {
    /// Control address to listen on, exempt from zone faults.
    pub control: SocketAddr,
    /// Address to listen on for each availability zone.
    pub zones: BTreeMap<Box<str>, SocketAddr>,
    /// Time until a change of the list of instances is visible, in
    /// milliseconds.
    pub lag_ms: u64,
    /// List of instances at the start.
    pub instances: Vec<Instance>,
    /// Duration of a load in milliseconds, while at most `load_in_flight` loads
    /// are pending (waiting to start or started).
    pub load_ms: u64,
    /// Number of pending loads above which loads take longer.
    pub load_in_flight: u32,
    /// Maximum number of loads started in 1,000 seconds.
    pub loads_per_1000_s: u32,
    /// Interval of progress messages on a watch without changes, in
    /// milliseconds.
    pub watch_progress_ms: u64,
    /// Seed of the random load failures.
    pub seed: u64,
    /// Faults at the start.
    pub faults: Faults,
}

impl Default for PlatformConfig {
    fn default() -> Self {
        Self {
            control: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            zones: BTreeMap::new(),
            lag_ms: 0,
            instances: Vec::new(),
            load_ms: 250,
            load_in_flight: 8,
            loads_per_1000_s: 3_000,
            watch_progress_ms: 500,
            seed: 1,
            faults: Faults::default(),
        }
    }
}

/// Injected faults. Setting them replaces all previous ones; an absent field
/// means no fault.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether every call is refused with 503 and has no effect.
    pub down: bool,
    /// Delay of each call before it takes effect, in milliseconds.
    pub slow_ms: u64,
    /// Number of upcoming transactions that take effect but whose connection
    /// is closed without a response; counts down.
    pub lose_next_answers: u32,
    /// Number of upcoming transactions whose connection is closed at once and
    /// that take effect only after `late_ms`; counts down.
    pub late_next_writes: u32,
    /// Delay of the transactions of `late_next_writes` in milliseconds.
    pub late_ms: u64,
    /// Zones whose existing and new connections are closed.
    pub cut_zones: BTreeSet<Box<str>>,
    /// Zones whose calls are read, have no effect and get no response. A
    /// connection that had such a call stays silent after the fault ends.
    pub hang_zones: BTreeSet<Box<str>>,
    /// Zones whose currently open connections become silent permanently;
    /// connections opened later work.
    pub silence_zones: BTreeSet<Box<str>>,
    /// Share of loads that fail, in percent.
    pub fail_percent: u8,
    /// An adapter whose loads all fail.
    pub fail_adapter: Option<Box<str>>,
}

/// Request that sets the list of instances.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SetInstances {
    /// The complete list.
    pub instances: Vec<Instance>,
    /// Time until this and later changes are visible, in milliseconds;
    /// unchanged if absent.
    #[serde(default)]
    pub lag_ms: Option<u64>,
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stats {
    /// Range calls of the key-value service.
    pub kv_reads: u64,
    /// Transactions, including those whose comparison failed.
    pub kv_writes: u64,
    /// Watch calls of the key-value service.
    pub kv_watches: u64,
    /// Lease calls of the key-value service.
    pub kv_leases: u64,
    /// Calls refused by the `down` fault.
    pub refused: u64,
    /// Reads of the list of instances.
    pub instance_reads: u64,
    /// Loads started.
    pub loads_started: u64,
    /// Loads that succeeded.
    pub loads_done: u64,
    /// Loads that failed.
    pub loads_failed: u64,
    /// Highest number of pending loads (waiting to start or started).
    pub loads_most_at_once: u32,
}
