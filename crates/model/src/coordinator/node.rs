//! What a node knows of the store, and its part in the role.

use super::{ClaimId, Era, INVARIANTS, Instance, Key, LEASE_TICKS, MARGIN_TICKS, Mutation, State};

/// A lease that the node was granted, with the role if it holds it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) struct Lease {
    pub(super) id: ClaimId,
    /// Ticks for which it counts.
    pub(super) ticks: u8,
    /// Revision of the claim under this lease, once it is known to have taken
    /// effect.
    pub(super) revision: Option<u8>,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) struct Node {
    /// Latest known era; `None` until a process has learned one.
    pub(super) era: Option<Era>,
    /// Latest era that this process has ever known.
    highest_era: Era,
    /// Ticks for which it gives no orders.
    pub(super) wait: u8,
    pub(super) lease: Option<Lease>,
    /// Era and revision of the store's entries that it knows.
    pub(super) place: (Era, u8),
    pub(super) configuration: u8,
    pub(super) instance: Instance,
}

impl Node {
    /// Returns a node that has known the first era for long.
    pub(super) const fn initial() -> Self {
        Self {
            era: Some(0),
            ..Self::started()
        }
    }

    /// Returns a node that has just started.
    pub(super) const fn started() -> Self {
        Self {
            era: None,
            highest_era: 0,
            wait: 0,
            lease: None,
            place: (0, 0),
            configuration: 0,
            instance: Instance {
                incarnation: 0,
                leaving: false,
            },
        }
    }

    pub(super) const fn tick(&mut self) {
        self.wait = self.wait.saturating_sub(1);
        if let Some(lease) = &mut self.lease {
            lease.ticks = lease.ticks.saturating_sub(1);
        }
    }

    /// Applies an era that the store or another node reports.
    pub(super) fn on_era(&mut self, era: Era, mutation: Option<Mutation>) {
        if self.era.is_some_and(|known| era <= known) {
            return;
        }
        let waits = match mutation {
            Some(Mutation::NoWaitInNewEra) => self.era.is_none(),
            Some(Mutation::NoWaitAfterStart | Mutation::WaitCountedFromStart) => self.era.is_some(),
            Some(Mutation::LeaseKept) => self.lease.is_none(),
            _ => true,
        };
        if waits {
            self.wait = wait_ticks(mutation);
        }
        self.era = Some(era);
        self.highest_era = era;
    }

    /// Applies the store's entries as of an era and a revision, which another node
    /// passes on.
    pub(super) fn on_feed(&mut self, place: (Era, u8), mutation: Option<Mutation>) {
        let is_newer = match mutation {
            Some(Mutation::FeedOfOldEraBelieved) => place.1 > self.place.1,
            _ => place > self.place,
        };
        if is_newer {
            self.place = place;
        }
    }

    /// Applies the role's key as the store has it. The claim took effect if the key
    /// names it.
    pub(super) fn on_key(&mut self, key: Option<Key>, node: usize, mutation: Option<Mutation>) {
        let is_own = |key: &Key, lease: &Lease| match mutation {
            Some(Mutation::LateClaimAcrossEras) => key.claim.lease == lease.id.lease,
            Some(Mutation::KeyOfEarlierLease) => key.claim.era == lease.id.era,
            _ => key.claim == lease.id,
        };
        if let (Some(key), Some(lease)) = (key, &mut self.lease)
            && self.era == Some(lease.id.era)
            && key.node == node
            && is_own(&key, lease)
        {
            lease.revision = Some(key.revision);
        }
    }

    /// Returns the fencing token of an order that it may give now.
    pub(super) fn order_token(&self, mutation: Option<Mutation>) -> Option<(Era, u8)> {
        let lease = self.lease.filter(|l| l.ticks > 0 && self.wait == 0)?;
        let is_current = self.era == Some(lease.id.era)
            || matches!(
                mutation,
                Some(Mutation::LeaseKept | Mutation::LeaseRenewedAcrossEras)
            );
        let era = match mutation {
            Some(Mutation::TokenWithoutEra) => 0,
            _ => lease.id.era,
        };
        lease.revision.filter(|_| is_current).map(|r| (era, r))
    }

    /// Whether its lease is of an older era than this process has known.
    pub(super) fn has_outdated_lease(&self) -> bool {
        self.lease.is_some_and(|l| l.id.era < self.highest_era)
    }

    /// Applies a version of the configuration.
    pub(super) fn on_configuration(&mut self, version: u8, mutation: Option<Mutation>) {
        if version > self.configuration || mutation == Some(Mutation::ConfigurationBack) {
            self.configuration = version;
        }
    }

    /// Applies what the store or another node reports of the instance. Within an
    /// incarnation, leaving is final.
    pub(super) fn on_instance(&mut self, instance: Instance) {
        self.instance = self.instance.max(instance);
    }
}

/// Ticks for which a lease of an earlier era may still count on any clock.
pub(super) const fn wait_ticks(mutation: Option<Mutation>) -> u8 {
    match mutation {
        Some(Mutation::WaitWithoutMargin) => LEASE_TICKS,
        _ => LEASE_TICKS + MARGIN_TICKS,
    }
}

/// Records in `next` the invariant on knowledge that `node` breaks by its step from
/// `s`.
pub(super) fn check_knowledge(s: &State, next: &mut State, node: usize) {
    let (before, after) = (&s.nodes[node], &next.nodes[node]);
    if after.configuration < before.configuration {
        next.broken = Some(INVARIANTS[3]);
    } else if after.instance < before.instance {
        next.broken = Some(INVARIANTS[4]);
    } else if after.place < before.place {
        next.broken = Some(INVARIANTS[5]);
    }
}
