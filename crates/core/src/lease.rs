//! Whether this instance may still act as an owner, and what it promised to
//! others.
//!
//! A lease is proved in one of two ways. A read of the table that still shows
//! the ownership proves it for the lease time, counted from when the read was
//! *sent*: a claimant's swap is ordered after that read, and the claimant then
//! waits the lease time and a margin. When the platform can't be reached, a
//! promise of every other member of the table last read does the same, because
//! nobody outside that table may take the zone's workers over at once.

use crate::ids::{Incarnation, InstanceId, Now};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time limits of ownership; the same at all instances of a zone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseTimes {
    /// How long a read or a promise proves ownership.
    pub lease: Duration,
    /// Allowance for clock rates.
    pub margin: Duration,
    /// How long a lapsed owner still grants on resident adapters.
    pub grace: Duration,
    /// Time within which a granted request is sent to its target.
    pub dispatch: Duration,
    /// How long promises may stand in for reads. A joiner for whom no older
    /// member vouches waits as long before it uses what it claims.
    pub joiner: Duration,
}

impl LeaseTimes {
    /// Time from a swap until the claimant may grant and load.
    #[must_use]
    pub fn claim_wait(&self) -> Duration {
        self.lease + self.margin
    }

    /// Time from a swap until a joiner that nobody vouches for may do anything.
    #[must_use]
    pub fn joiner_wait(&self) -> Duration {
        self.joiner + self.evict_wait()
    }

    /// Time from a swap until the claimant may evict what it inherited.
    #[must_use]
    pub fn evict_wait(&self) -> Duration {
        self.lease + self.margin + self.grace + self.dispatch
    }
}

/// What an owner may do.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum LeaseState {
    /// Nothing.
    Lapsed,
    /// Grant on adapters that are resident; no loads, no evictions.
    ResidentOnly,
    /// Everything.
    Held,
}

/// Proofs of ownership of one instance.
#[derive(Clone, Debug)]
pub struct Lease {
    times: LeaseTimes,
    read_sent: Option<Now>,
    others: BTreeMap<InstanceId, Incarnation>,
    promises: BTreeMap<InstanceId, Promise>,
}

#[derive(Clone, Debug)]
struct Promise {
    incarnation: Incarnation,
    sent: Now,
}

impl Lease {
    /// A lease that nothing proves yet.
    #[must_use]
    pub fn new(times: LeaseTimes) -> Self {
        Self {
            times,
            read_sent: None,
            others: BTreeMap::new(),
            promises: BTreeMap::new(),
        }
    }

    /// Notes a read sent at `sent` that showed this instance as a member, with
    /// the `others` that the table names.
    pub fn on_read(&mut self, sent: Now, others: BTreeMap<InstanceId, Incarnation>) {
        if self.read_sent.is_some_and(|known| known > sent) {
            return;
        }
        self.read_sent = Some(sent);
        self.others = others;
        let members = &self.others;
        self.promises
            .retain(|id, p| members.get(id) == Some(&p.incarnation));
    }

    /// Notes a promise of `from` in answer to a message sent at `sent`.
    pub fn on_promise(&mut self, from: &InstanceId, incarnation: Incarnation, sent: Now) {
        if self.others.get(from) != Some(&incarnation) {
            return;
        }
        let newer = self.promises.get(from).is_none_or(|p| p.sent < sent);
        if newer {
            self.promises
                .insert(from.clone(), Promise { incarnation, sent });
        }
    }

    /// Forgets all proofs, after a read that no longer shows this instance.
    pub fn on_lost(&mut self) {
        self.read_sent = None;
        self.promises.clear();
        self.others.clear();
    }

    /// What the owner may do at `now`.
    #[must_use]
    pub fn state(&self, now: Now) -> LeaseState {
        let Some(end) = self.proved_until() else {
            return LeaseState::Lapsed;
        };
        if now < end {
            LeaseState::Held
        } else if now < end + self.times.grace {
            LeaseState::ResidentOnly
        } else {
            LeaseState::Lapsed
        }
    }

    /// End of the newest proof.
    #[must_use]
    pub fn proved_until(&self) -> Option<Now> {
        let read = self.read_sent?;
        let promised = self.promised_until().unwrap_or(Duration::ZERO);
        Some((read + self.times.lease).max(promised))
    }

    /// End of the unanimous promise; `None` while one member has not promised.
    ///
    /// A table that names no other member has nobody who could promise. Its
    /// only member stays proved by reads alone.
    fn promised_until(&self) -> Option<Now> {
        let mut earliest: Option<Now> = None;
        for id in self.others.keys() {
            let sent = self.promises.get(id)?.sent;
            earliest = Some(earliest.map_or(sent, |e| e.min(sent)));
        }
        let most = self.read_sent? + self.times.joiner;
        earliest.map(|sent| (sent + self.times.lease).min(most))
    }
}

/// Promises that this instance gave to others.
#[derive(Clone, Debug, Default)]
pub struct Promises {
    until: BTreeMap<InstanceId, Now>,
    refused: BTreeSet<InstanceId>,
}

impl Promises {
    /// Promises to `to` not to take its workers over, unless this instance is
    /// about to. Answers whether the promise is given.
    pub fn give(&mut self, to: &InstanceId, now: Now, times: &LeaseTimes) -> bool {
        if self.refused.contains(to) {
            return false;
        }
        let until = now + times.lease + times.margin;
        self.until.insert(to.clone(), until);
        true
    }

    /// Stops promising to `to`; a takeover follows once [`Self::free`] says so.
    pub fn refuse(&mut self, to: &InstanceId) {
        self.refused.insert(to.clone());
    }

    /// Promises to `to` again.
    pub fn allow(&mut self, to: &InstanceId) {
        self.refused.remove(to);
    }

    /// Whether no promise to `to` is in force at `now`, and none will be given.
    #[must_use]
    pub fn free(&self, to: &InstanceId, now: Now) -> bool {
        self.refused.contains(to) && self.until.get(to).is_none_or(|until| *until <= now)
    }
}
