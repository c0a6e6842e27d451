//! The ownership table of one availability zone.
//!
//! The table is stored in the platform's key-value service and changes only by
//! compare-and-swap against the revision that was read. The functions here
//! compute the next table; after a failed swap the caller reads the table again.

use crate::ids::{Epoch, Incarnation, InstanceId, WorkerId};
use crate::rendezvous;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Members and worker ownership of one zone.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZoneTable {
    /// Increases by one with each change.
    pub sequence: u64,
    /// Entry instances of the zone.
    pub members: BTreeMap<InstanceId, Member>,
    /// Owners of the zone's workers.
    pub workers: BTreeMap<WorkerId, Ownership>,
}

/// An entry instance of the zone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Run of the instance.
    pub incarnation: Incarnation,
    /// Address at which peers reach the instance.
    pub peers: SocketAddr,
    /// Sequence of the table that added it.
    pub joined: u64,
}

/// The owner of a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ownership {
    /// The owning instance.
    pub owner: InstanceId,
    /// Run of the owner.
    pub incarnation: Incarnation,
    /// Increases with each change of owner.
    pub epoch: Epoch,
    /// Previous owners whose lease this owner may still have to wait out.
    pub previous: BTreeSet<PreviousOwner>,
}

/// A previous owner of a worker.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PreviousOwner {
    /// The instance.
    pub owner: InstanceId,
    /// Run of the instance.
    pub incarnation: Incarnation,
}

impl Ownership {
    /// Returns this owner and the previous owners whose lease it has possibly
    /// not waited out yet.
    fn owner_and_previous(&self) -> BTreeSet<PreviousOwner> {
        let mut previous = self.previous.clone();
        previous.insert(PreviousOwner {
            owner: self.owner.clone(),
            incarnation: self.incarnation,
        });
        previous
    }
}

impl ZoneTable {
    /// Returns the table with `id` as a member with this incarnation.
    ///
    /// Workers owned by an earlier run of `id` stay with that run: the new run
    /// does not know their permits and has to claim them like those of any
    /// other instance.
    #[must_use]
    pub fn with_member(
        &self,
        id: &InstanceId,
        incarnation: Incarnation,
        peers: SocketAddr,
    ) -> Self {
        let mut next = self.next();
        let joined = next.sequence;
        next.members.insert(
            id.clone(),
            Member {
                incarnation,
                peers,
                joined,
            },
        );
        next
    }

    /// Returns the table without the member `id`.
    #[must_use]
    pub fn without_member(&self, id: &InstanceId) -> Self {
        let mut next = self.next();
        next.members.remove(id);
        next
    }

    /// Returns the table in which `id` owns `workers`. The owners that it
    /// replaces become previous owners; those for which a replaced owner was
    /// still waiting stay listed.
    #[must_use]
    pub fn with_owner(
        &self,
        id: &InstanceId,
        incarnation: Incarnation,
        workers: &BTreeSet<WorkerId>,
    ) -> Self {
        let mut next = self.next();
        for worker in workers {
            let current = next.workers.get(worker);
            let epoch = current.map_or(1, |o| o.epoch + 1);
            let previous = current
                .map(Ownership::owner_and_previous)
                .unwrap_or_default();
            let ownership = Ownership {
                owner: id.clone(),
                incarnation,
                epoch,
                previous,
            };
            next.workers.insert(worker.clone(), ownership);
        }
        next
    }

    /// Returns the table without the previous owners of `workers`.
    #[must_use]
    pub fn without_previous_owners(&self, workers: &BTreeSet<WorkerId>) -> Self {
        let mut next = self.next();
        for (_, ownership) in next
            .workers
            .iter_mut()
            .filter(|(id, _)| workers.contains(*id))
        {
            ownership.previous.clear();
        }
        next
    }

    /// Returns whether `id` is a member with this incarnation.
    #[must_use]
    pub fn has_member(&self, id: &InstanceId, incarnation: Incarnation) -> bool {
        self.members
            .get(id)
            .is_some_and(|m| m.incarnation == incarnation)
    }

    /// Returns the workers that `id` owns with this incarnation, with their
    /// epochs.
    #[must_use]
    pub fn owned_by(&self, id: &InstanceId, incarnation: Incarnation) -> BTreeMap<WorkerId, Epoch> {
        self.workers
            .iter()
            .filter(|(_, o)| o.owner == *id && o.incarnation == incarnation)
            .map(|(worker, o)| (worker.clone(), o.epoch))
            .collect()
    }

    /// Returns whether the owner of `worker` is a member with the incarnation
    /// that owns the worker.
    #[must_use]
    pub fn owner_is_member(&self, worker: &WorkerId) -> bool {
        self.workers
            .get(worker)
            .is_some_and(|o| self.has_member(&o.owner, o.incarnation))
    }

    /// Returns the member that should own `worker`, chosen among `candidates`.
    #[must_use]
    pub fn preferred_owner(
        &self,
        worker: &WorkerId,
        candidates: &BTreeSet<InstanceId>,
    ) -> Option<InstanceId> {
        let members = self.members.keys().filter(|id| candidates.contains(*id));
        rendezvous::first(worker, members.map(|id| &**id)).map(Into::into)
    }

    fn next(&self) -> Self {
        let mut next = self.clone();
        next.sequence += 1;
        next
    }
}
