//! Settings and control messages of the platform stand-in.

use reedford_wire::instances::Instance;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};

/// Settings of the stand-in.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformConfig {
    /// Where the platform listens for everyone, whatever zone is cut off.
    pub control: SocketAddr,
    /// Where it listens for each availability zone.
    pub zones: BTreeMap<Box<str>, SocketAddr>,
    /// Time until a change of the list of instances shows, in milliseconds.
    pub lag_ms: u64,
    /// The instances at the start.
    pub instances: Vec<Instance>,
    /// Time to load an adapter while few loads are under way, in milliseconds.
    pub load_ms: u64,
    /// Loads under way up to which each is at full speed.
    pub load_in_flight: u32,
    /// Loads started in 1,000 seconds.
    pub loads_per_1000_s: u32,
    /// Interval of the empty messages on a quiet watch, in milliseconds.
    pub watch_progress_ms: u64,
    /// Seed of the random faults.
    pub seed: u64,
    /// The faults at the start.
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

/// Faults, all of them replaced at once; a field left out is no fault.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call is refused with 503 and has no effect.
    pub down: bool,
    /// Delay of each call before it takes effect, in milliseconds.
    pub slow_ms: u64,
    /// Transactions that take effect while their connection is closed without
    /// an answer; counts down.
    pub lose_next_answers: u32,
    /// Transactions whose connection is closed at once and that take effect
    /// only after `late_ms`; counts down.
    pub late_next_writes: u32,
    /// Delay of the transactions that come late, in milliseconds.
    pub late_ms: u64,
    /// Zones whose connections are closed, old and new.
    pub cut_zones: BTreeSet<Box<str>>,
    /// Zones whose calls are read and never answered nor take effect. A
    /// connection that had such a call stays silent after the fault ends.
    pub hang_zones: BTreeSet<Box<str>>,
    /// Zones whose connections of this moment go silent for good, while those
    /// opened later work.
    pub silence_zones: BTreeSet<Box<str>>,
    /// Share of loads that fail, in percent.
    pub fail_percent: u8,
    /// An adapter whose loads all fail.
    pub fail_adapter: Option<Box<str>>,
}

/// The true list of instances.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SetInstances {
    /// The instances.
    pub instances: Vec<Instance>,
    /// Time until this and later changes show, in milliseconds; as before
    /// when absent.
    #[serde(default)]
    pub lag_ms: Option<u64>,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stats {
    /// Range calls of the key-value service.
    pub kv_reads: u64,
    /// Transactions, those that lost included.
    pub kv_writes: u64,
    /// Watches started.
    pub kv_watches: u64,
    /// Calls about leases.
    pub kv_leases: u64,
    /// Calls refused while down.
    pub refused: u64,
    /// Reads of the list of instances.
    pub instance_reads: u64,
    /// Loads begun.
    pub loads_started: u64,
    /// Loads that ended well.
    pub loads_done: u64,
    /// Loads that failed.
    pub loads_failed: u64,
    /// Most loads that were under way at once, waiting ones included.
    pub loads_most_at_once: u32,
}
