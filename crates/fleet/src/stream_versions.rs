//! The service and software version at which streams began.
//!
//! The events of two software versions don't fit together, and instances don't
//! check this, so a stream may only be resumed at the version that began it. A
//! caller that resumes a stream names its attempt that brought the first event;
//! the versions are recorded under the ids of attempts.

use crate::config::Configuration;
use crate::{AttemptId, Now, ServiceName, SoftwareVersion};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Minimum time for which a stream may be resumed after its first event.
const MIN_LIFETIME: Duration = Duration::from_secs(30);
/// Attempts of a caller at one stream, each of which may last for the timeout of
/// its route.
const CALLER_ATTEMPTS: u32 = 2;
/// Maximum number of recorded attempts, a few megabytes.
const MAX_RECORDS: usize = 16_384;

/// Software versions by service.
pub type VersionSets = BTreeMap<ServiceName, BTreeSet<SoftwareVersion>>;

/// Where a stream began.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct StreamOrigin {
    /// Service whose instance sent the first event.
    pub service: ServiceName,
    /// Version of the instance's software.
    pub software: SoftwareVersion,
}

/// The origins of recent streams.
#[derive(Clone, Debug, Default)]
pub struct StreamVersions {
    records: BTreeMap<AttemptId, (StreamOrigin, Now)>,
    by_age: BTreeSet<(Now, AttemptId)>,
}

/// Returns how long after its first event a stream may be resumed.
#[must_use]
pub fn stream_lifetime(cfg: &Configuration) -> Duration {
    let streams = cfg.routes.iter().filter(|r| r.kind.is_stream());
    let longest = streams.map(|r| r.timeout).max().unwrap_or_default();
    (longest * CALLER_ATTEMPTS).max(MIN_LIFETIME)
}

impl StreamVersions {
    /// Records the origin of the stream that an attempt received events of. An
    /// origin that is known already is kept, and its age starts anew.
    pub fn record(&mut self, attempt: AttemptId, origin: StreamOrigin, now: Now) {
        let at = match self.records.get_mut(&attempt) {
            Some((_, at)) => std::mem::replace(at, now),
            None => {
                self.records.insert(attempt.clone(), (origin, now));
                now
            }
        };
        self.by_age.remove(&(at, attempt.clone()));
        self.by_age.insert((now, attempt));
        while self.records.len() > MAX_RECORDS {
            self.remove_oldest();
        }
    }

    /// Removes the records that are older than `lifetime`.
    pub fn expire(&mut self, lifetime: Duration, now: Now) {
        while let Some((at, _)) = self.by_age.first()
            && now.saturating_sub(*at) > lifetime
        {
            self.remove_oldest();
        }
    }

    /// Returns the origin of the stream of an attempt.
    #[must_use]
    pub fn get(&self, attempt: &str) -> Option<&StreamOrigin> {
        self.records.get(attempt).map(|(origin, _)| origin)
    }

    /// Returns the recorded attempts, the newest first.
    pub fn newest(&self) -> impl Iterator<Item = (&AttemptId, &StreamOrigin)> {
        let attempts = self.by_age.iter().rev().map(|(_, attempt)| attempt);
        attempts.filter_map(|attempt| Some((attempt, self.get(attempt)?)))
    }

    fn remove_oldest(&mut self) {
        if let Some((_, attempt)) = self.by_age.pop_first() {
            self.records.remove(&attempt);
        }
    }
}
