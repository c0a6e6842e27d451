//! The ownership table of one availability zone.
//!
//! The table lives in the platform's key-value service and changes only by
//! compare-and-swap against the revision that was read. The functions here
//! work out the next table; a lost swap is answered by reading again.

use crate::ids::{Epoch, Incarnation, InstanceId, WorkerId};
use crate::rendezvous;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The table.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZoneTable {
    /// Rises by one with each change.
    pub sequence: u64,
    /// Entry instances of the zone.
    pub members: BTreeMap<InstanceId, Member>,
    /// Owners of the zone's workers.
    pub workers: BTreeMap<WorkerId, Ownership>,
}

/// An entry instance of the zone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Its run.
    pub incarnation: Incarnation,
    /// Where peers reach it.
    pub peers: SocketAddr,
    /// Sequence of the table with which it joined.
    pub joined: u64,
}

/// Who owns a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ownership {
    /// The owner.
    pub owner: InstanceId,
    /// The owner's run.
    pub incarnation: Incarnation,
    /// Rises with each change of owner.
    pub epoch: Epoch,
    /// Owners before this one that it may still have to wait for.
    pub previous: BTreeSet<Previous>,
}

/// An owner before the present one.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Previous {
    /// The instance.
    pub owner: InstanceId,
    /// Its run.
    pub incarnation: Incarnation,
}

impl Ownership {
    /// This owner and those before it that it may not have waited for.
    fn with_previous(&self) -> BTreeSet<Previous> {
        let mut previous = self.previous.clone();
        previous.insert(Previous {
            owner: self.owner.clone(),
            incarnation: self.incarnation,
        });
        previous
    }
}

impl ZoneTable {
    /// The table after `id` joined, or took its place with a new run.
    ///
    /// Workers of an earlier run stay with that run: the new run knows nothing
    /// of its permits and has to claim them like anybody else's.
    #[must_use]
    pub fn joined(&self, id: &InstanceId, incarnation: Incarnation, peers: SocketAddr) -> Self {
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

    /// The table without the member `id`.
    #[must_use]
    pub fn without(&self, id: &InstanceId) -> Self {
        let mut next = self.next();
        next.members.remove(id);
        next
    }

    /// The table in which `id` owns `workers`. An owner that did not finish its
    /// own wait leaves its previous owners to the next one.
    #[must_use]
    pub fn claimed(
        &self,
        id: &InstanceId,
        incarnation: Incarnation,
        workers: &BTreeSet<WorkerId>,
    ) -> Self {
        let mut next = self.next();
        for worker in workers {
            let before = next.workers.get(worker);
            let epoch = before.map_or(1, |o| o.epoch + 1);
            let previous = before.map(Ownership::with_previous).unwrap_or_default();
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

    /// The table that no longer names the previous owners of `workers`.
    #[must_use]
    pub fn settled(&self, workers: &BTreeSet<WorkerId>) -> Self {
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

    /// Whether `id` in this run is a member.
    #[must_use]
    pub fn has_member(&self, id: &InstanceId, incarnation: Incarnation) -> bool {
        self.members
            .get(id)
            .is_some_and(|m| m.incarnation == incarnation)
    }

    /// Epochs of the workers that `id` owns in this run.
    #[must_use]
    pub fn owned_by(&self, id: &InstanceId, incarnation: Incarnation) -> BTreeMap<WorkerId, Epoch> {
        self.workers
            .iter()
            .filter(|(_, o)| o.owner == *id && o.incarnation == incarnation)
            .map(|(worker, o)| (worker.clone(), o.epoch))
            .collect()
    }

    /// Whether the owner of `worker` is a member in the run that owns it.
    #[must_use]
    pub fn owner_is_member(&self, worker: &WorkerId) -> bool {
        self.workers
            .get(worker)
            .is_some_and(|o| self.has_member(&o.owner, o.incarnation))
    }

    /// The member that should own `worker` when only `candidates` count.
    #[must_use]
    pub fn home(&self, worker: &WorkerId, candidates: &BTreeSet<InstanceId>) -> Option<InstanceId> {
        let members = self.members.keys().filter(|id| candidates.contains(*id));
        rendezvous::first(worker, members.map(|id| &**id)).map(Into::into)
    }

    fn next(&self) -> Self {
        let mut next = self.clone();
        next.sequence += 1;
        next
    }
}
