//! Identifiers of instances, workers, adapter versions and permits.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// A point in time, as the time since a monotonic clock was created. Values of
/// different clocks can't be compared.
pub type Now = Duration;
/// Name of an entry instance.
pub type InstanceId = Box<str>;
/// Distinguishes the runs of an entry instance.
pub type Incarnation = u64;
/// Name of an availability zone.
pub type ZoneId = Box<str>;
/// Name of a worker.
pub type WorkerId = Box<str>;
/// Name of a group of targets.
pub type GroupName = Box<str>;
/// Number of a worker's ownership, which rises with each change of owner; sent
/// to targets as the fencing token.
pub type Epoch = u64;

/// Number of a store's history. It rises when the store is restored from a copy and
/// so loses its latest changes; revisions of different eras are not comparable.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Era(u64);

impl Era {
    /// The era of a store that was never restored.
    pub const FIRST: Self = Self(0);

    /// Creates the era with this number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// An adapter and its version, as named by callers.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AdapterVersion {
    /// The adapter.
    pub adapter: Box<str>,
    /// Its version.
    pub version: Box<str>,
}

impl AdapterVersion {
    /// Creates the identifier of `version` of `adapter`.
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

/// Identifies a permit. The requesting entry instance chooses the identifier,
/// so that it can release a permit whose grant it never received.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PermitId {
    /// The requesting instance.
    pub instance: InstanceId,
    /// Run of the requesting instance.
    pub incarnation: Incarnation,
    /// Increases with each permit requested in the run.
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
