//! Names and numbers that identify things.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// Time since the process started, on its monotonic clock.
pub type Now = Duration;
/// Name of an entry instance.
pub type InstanceId = Box<str>;
/// Tells one run of an entry instance from the next.
pub type Incarnation = u64;
/// Name of an availability zone.
pub type ZoneId = Box<str>;
/// Name of a worker.
pub type WorkerId = Box<str>;
/// Name of a group of targets.
pub type GroupName = Box<str>;
/// Number of an ownership of a worker; sent to targets as the fencing number.
pub type Epoch = u64;

/// A version of an adapter, as callers name it.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AdapterVersion {
    /// The adapter.
    pub adapter: Box<str>,
    /// Its version.
    pub version: Box<str>,
}

impl AdapterVersion {
    /// Names a version of an adapter.
    #[must_use]
    pub fn new(adapter: &str, version: &str) -> Self {
        Self {
            adapter: adapter.into(),
            version: version.into(),
        }
    }
}

impl fmt::Display for AdapterVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.adapter, self.version)
    }
}

/// Identifies a permit. The entry instance that asks chooses it, so that it
/// can release a permit whose grant it never saw.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PermitId {
    /// The asking instance.
    pub instance: InstanceId,
    /// Its run.
    pub incarnation: Incarnation,
    /// Counts up within the run.
    pub serial: u64,
}

impl fmt::Display for PermitId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}-{:x}-{}",
            self.instance, self.incarnation, self.serial
        )
    }
}
