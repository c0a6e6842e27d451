//! The lease under which this instance acts as an owner, and the promises that
//! it gave to its peers.
//!
//! A lease is proved in one of two ways. A read of the ownership table that
//! still lists this instance proves it for the lease time, counted from when
//! the read was *sent*: the compare-and-swap of an instance that claims its
//! workers is ordered after that read, and the claimant then waits for the
//! lease time and a margin. While the platform is unreachable, promises of all
//! other members of the table last read prove it as well, because an instance
//! outside that table must wait before it uses workers that it claims.

use crate::ids::{Incarnation, InstanceId, Now};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time limits of ownership; identical on all instances of a zone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseTimes {
    /// How long a table read or a promise proves ownership.
    pub lease: Duration,
    /// Allowance for differing clock rates.
    pub margin: Duration,
    /// How long an owner whose proof has ended still grants on resident adapters.
    pub grace: Duration,
    /// Time within which a granted request is sent to its target.
    pub dispatch: Duration,
    /// How long after the last table read promises may prove ownership. A
    /// claimant that the previous owner has not yet read in the table waits for
    /// this time plus [`Self::evict_wait`] before it uses the worker.
    pub joiner: Duration,
}

impl LeaseTimes {
    /// Returns the time from the claiming swap until the new owner may grant and
    /// load.
    #[must_use]
    pub fn claim_wait(&self) -> Duration {
        self.lease + self.margin
    }

    /// Returns the time from the claiming swap until a claimant that the
    /// previous owner has not yet read in the table may use the worker at all.
    /// It is the longest wait for a previous owner.
    #[must_use]
    pub fn joiner_wait(&self) -> Duration {
        self.joiner + self.evict_wait()
    }

    /// Returns the time from the claiming swap until the new owner may evict the
    /// adapters that it found on the worker.
    #[must_use]
    pub fn evict_wait(&self) -> Duration {
        self.lease + self.margin + self.grace + self.dispatch
    }
}

/// What an owner may do with its workers.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum LeaseState {
    /// Neither grant, load nor evict.
    Lapsed,
    /// Grant on resident adapters, but neither load nor evict.
    ResidentOnly,
    /// Grant, load and evict.
    Held,
}

/// Proofs that this instance still owns its workers.
#[derive(Clone, Debug)]
pub struct Lease {
    times: LeaseTimes,
    read_sent: Option<Now>,
    other_members: BTreeMap<InstanceId, Incarnation>,
    received_promises: BTreeMap<InstanceId, Promise>,
}

#[derive(Clone, Debug)]
struct Promise {
    incarnation: Incarnation,
    sent: Now,
}

impl Lease {
    /// Creates a lease without any proof.
    #[must_use]
    pub fn new(times: LeaseTimes) -> Self {
        Self {
            times,
            read_sent: None,
            other_members: BTreeMap::new(),
            received_promises: BTreeMap::new(),
        }
    }

    /// Records a table read, sent at `sent`, that lists this instance as a
    /// member besides `other_members`.
    pub fn on_table_read(&mut self, sent: Now, other_members: BTreeMap<InstanceId, Incarnation>) {
        if self.read_sent.is_some_and(|known| known > sent) {
            return;
        }
        self.read_sent = Some(sent);
        self.other_members = other_members;
        let members = &self.other_members;
        self.received_promises
            .retain(|id, p| members.get(id) == Some(&p.incarnation));
    }

    /// Records a promise of `from` in response to a summary sent at `sent`.
    pub fn on_promise(&mut self, from: &InstanceId, incarnation: Incarnation, sent: Now) {
        if self.other_members.get(from) != Some(&incarnation) {
            return;
        }
        let is_newer = self
            .received_promises
            .get(from)
            .is_none_or(|p| p.sent < sent);
        if is_newer {
            self.received_promises
                .insert(from.clone(), Promise { incarnation, sent });
        }
    }

    /// Discards all proofs, after a read that no longer lists this instance.
    pub fn on_membership_lost(&mut self) {
        self.read_sent = None;
        self.received_promises.clear();
        self.other_members.clear();
    }

    /// Returns what the owner may do at `now`.
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

    /// Returns the end of the latest proof.
    #[must_use]
    pub fn proved_until(&self) -> Option<Now> {
        let read = self.read_sent?;
        let promised = self.promised_until().unwrap_or(Duration::ZERO);
        Some((read + self.times.lease).max(promised))
    }

    /// Returns the end of the proof by promises, `None` while a member has not
    /// promised.
    ///
    /// In a table without other members nobody can promise, and only reads prove
    /// the ownership.
    fn promised_until(&self) -> Option<Now> {
        let mut earliest: Option<Now> = None;
        for id in self.other_members.keys() {
            let sent = self.received_promises.get(id)?.sent;
            earliest = Some(earliest.map_or(sent, |e| e.min(sent)));
        }
        let limit = self.read_sent? + self.times.joiner;
        earliest.map(|sent| (sent + self.times.lease).min(limit))
    }
}

/// Promises of this instance not to take over the workers of its peers.
#[derive(Clone, Debug, Default)]
pub struct GivenPromises {
    until: BTreeMap<InstanceId, Now>,
    refused: BTreeSet<InstanceId>,
}

impl GivenPromises {
    /// Promises `to` not to take over its workers, or returns `false` after
    /// [`Self::refuse`].
    pub fn give(&mut self, to: &InstanceId, now: Now, times: &LeaseTimes) -> bool {
        if self.refused.contains(to) {
            return false;
        }
        let until = now + times.lease + times.margin;
        self.until.insert(to.clone(), until);
        true
    }

    /// Refuses further promises to `to`, so that its workers can be claimed once
    /// [`Self::may_claim_from`] returns `true`.
    pub fn refuse(&mut self, to: &InstanceId) {
        self.refused.insert(to.clone());
    }

    /// Allows promises to `to` again.
    pub fn allow(&mut self, to: &InstanceId) {
        self.refused.remove(to);
    }

    /// Returns whether no promise to `to` is in force at `now` and further ones
    /// are refused.
    #[must_use]
    pub fn may_claim_from(&self, to: &InstanceId, now: Now) -> bool {
        self.refused.contains(to) && self.until.get(to).is_none_or(|until| *until <= now)
    }
}
