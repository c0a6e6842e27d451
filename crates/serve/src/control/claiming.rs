//! Changes to the zone's ownership table: joining it, claiming workers, handing
//! workers over, and removing failed members. To claim a worker is to become
//! its owner in the table; claims of idempotency keys are unrelated.
//!
//! Each worker has a preferred owner, the first choice of rendezvous hashing among
//! a set of members. It decides which member claims a worker and to which one a
//! worker is handed over for balance.

use super::state::Control;
use reedford_core::table::{Ownership, ZoneTable};
use reedford_core::{InstanceId, Now, WorkerId};
use reedford_settings::ms;
use reedford_wire::instances::InstanceKind;
use std::collections::{BTreeMap, BTreeSet};

impl Control {
    /// Writes the next change that the table needs: this instance joins,
    /// claims the workers that it should own, removes failed members, or hands
    /// a worker over to the member that should own it.
    pub(super) fn change_table(&mut self) {
        if self.is_stopping() {
            return;
        }
        let me = self.me.clone();
        if !self
            .membership
            .table
            .has_member(&me.instance, me.incarnation)
        {
            let joined =
                self.membership
                    .table
                    .with_member(&me.instance, me.incarnation, me.peer_address);
            self.swap_table(&joined, Vec::new());
            return;
        }
        let now = self.clock.now();
        let claims = self.workers_to_claim(now);
        if !claims.is_empty() {
            let claimed = self
                .membership
                .table
                .with_owner(&me.instance, me.incarnation, &claims);
            self.record_claimed_owners(&claims, claimed.sequence);
            let claimed = self.without_failed_members(claimed, now);
            self.swap_table(&claimed, Vec::new());
            return;
        }
        let pruned = self
            .membership
            .table
            .without_previous_owners(&self.takeover_complete_workers(now));
        let reduced = self.without_failed_members(pruned, now);
        if reduced.members != self.membership.table.members {
            self.swap_table(&reduced, Vec::new());
            return;
        }
        self.rebalance(now);
    }

    /// Returns the workers that this instance can claim now.
    fn workers_to_claim(&self, now: Now) -> BTreeSet<WorkerId> {
        let settle = self.settle_time();
        let has_settled = self
            .membership
            .settling_since
            .is_some_and(|at| now >= at + settle);
        let alive = self.alive_members(now);
        if !has_settled && self.membership.table.members.len() > alive.len() {
            return BTreeSet::new();
        }
        let listed = self.instances.values().filter(|i| {
            i.kind == InstanceKind::Engine && i.zone == self.me.zone && self.policy_of(i).is_some()
        });
        // Workers that the platform no longer lists are claimed too: a failed
        // member stays in the table for as long as it owns a worker.
        let in_table = self.membership.table.workers.keys();
        let workers: BTreeSet<&WorkerId> = listed.map(|i| &i.id).chain(in_table).collect();
        let claimable = workers
            .into_iter()
            .filter(|id| self.is_claimant(id, &alive));
        claimable
            .filter(|id| self.may_claim(id, &alive, now))
            .cloned()
            .collect()
    }

    /// Whether this instance is the member that should claim `worker`.
    ///
    /// Candidates are the live members that the previous owner has read in the
    /// table, because they have the shortest wait before they can use the
    /// worker. Without any, the members that joined first are the candidates;
    /// `workers_to_claim` makes sure that this instance has by then been a
    /// member for long enough to have received a summary from the previous
    /// owner. If the previous owner is no longer a member, all live members are
    /// candidates. The claimant is the worker's preferred owner among the
    /// candidates.
    fn is_claimant(&self, worker: &WorkerId, alive: &BTreeSet<InstanceId>) -> bool {
        let table = &self.membership.table;
        let owner = table.workers.get(worker).map(|o| &o.owner);
        let owner = owner.filter(|_| table.owner_is_member(worker));
        let read_by_owner =
            owner.map(|owner| alive.iter().filter(|id| self.has_read_member(owner, id)));
        let read_by_owner: BTreeSet<InstanceId> =
            read_by_owner.into_iter().flatten().cloned().collect();
        let candidates = if read_by_owner.is_empty() {
            self.oldest_members(alive)
        } else {
            read_by_owner
        };
        let candidates = if owner.is_none() { alive } else { &candidates };
        table.preferred_owner(worker, candidates).as_ref() == Some(&self.me.instance)
    }

    /// Returns the live members that joined first. Of the members that the
    /// previous owner has not read in the table, they are the most likely to
    /// have received summaries from it.
    fn oldest_members(&self, alive: &BTreeSet<InstanceId>) -> BTreeSet<InstanceId> {
        let members = &self.membership.table.members;
        let joined = |id: &InstanceId| members.get(id).map(|m| m.joined);
        let first = alive.iter().filter_map(joined).min();
        alive
            .iter()
            .filter(|id| joined(id) == first)
            .cloned()
            .collect()
    }

    /// Records the owners of the workers in `claims`. They get no promise until
    /// their summaries show that they have read the table `sequence`.
    fn record_claimed_owners(&mut self, claims: &BTreeSet<WorkerId>, sequence: u64) {
        let workers = &self.membership.table.workers;
        for ownership in claims.iter().filter_map(|id| workers.get(id)) {
            self.membership
                .claimed_from
                .insert(ownership.owner.clone(), sequence);
        }
    }

    /// Returns the owned workers for which no permit, load or eviction of a
    /// previous owner can still be in effect.
    fn takeover_complete_workers(&self, now: Now) -> BTreeSet<WorkerId> {
        let complete = self
            .workers
            .iter()
            .filter(|(_, owned)| owned.scheduler.is_takeover_complete(now));
        complete.map(|(id, _)| id.clone()).collect()
    }

    /// Whether `worker` has no owner, its owner is no longer a member with the
    /// same incarnation, or its owner is not alive and no promise of this
    /// instance to it is in force.
    fn may_claim(&self, worker: &WorkerId, alive: &BTreeSet<InstanceId>, now: Now) -> bool {
        let Some(Ownership {
            owner, incarnation, ..
        }) = self.membership.table.workers.get(worker)
        else {
            return true;
        };
        if *owner == self.me.instance && *incarnation == self.me.incarnation {
            return false;
        }
        if !self.membership.table.owner_is_member(worker) {
            return true;
        }
        !alive.contains(owner) && self.membership.given_promises.may_claim_from(owner, now)
    }

    /// Returns `table` without the failed members that own no workers and are no
    /// worker's previous owner. A member counts as failed once this instance
    /// refuses it promises and the last promise to it has expired. A failed
    /// member does not promise, so while it is in the table the other members
    /// could not extend their leases by promises when the platform is
    /// unreachable.
    fn without_failed_members(&self, mut table: ZoneTable, now: Now) -> ZoneTable {
        let failed: Vec<InstanceId> = table
            .members
            .keys()
            .filter(|id| self.membership.given_promises.may_claim_from(id, now))
            .filter(|id| !table.workers.values().any(|o| o.owner == **id))
            .filter(|id| !self.is_previous_owner(&table, id))
            .cloned()
            .collect();
        for id in failed {
            table = table.without_member(&id);
        }
        table
    }

    /// Whether any worker names `id` as a previous owner. Such a member stays
    /// in the table, because a claimant concludes from its absence that its
    /// process has ended.
    fn is_previous_owner(&self, table: &ZoneTable, id: &InstanceId) -> bool {
        let mut previous = table.workers.values().flat_map(|o| &o.previous);
        previous.any(|p| p.owner == *id)
    }

    /// Hands over one worker whose preferred owner is another live member.
    fn rebalance(&mut self, now: Now) {
        let mut alive = self.alive_members(now);
        alive.retain(|id| self.is_stable(id, now));
        let complete = self.takeover_complete_workers(now);
        let moved = complete.iter().find_map(|worker| {
            let preferred = self.membership.table.preferred_owner(worker, &alive)?;
            (preferred != self.me.instance).then(|| (worker.clone(), preferred))
        });
        if let Some(moved) = moved {
            self.hand_over(BTreeMap::from([moved]));
        }
    }

    /// Whether summaries of a member have arrived without a gap for
    /// `peer_failed_ms`. A single summary isn't enough: a member that is paused
    /// may have sent it before the pause.
    fn is_stable(&self, id: &InstanceId, now: Now) -> bool {
        let stable_time = ms(self.cfg.timeouts.peer_failed_ms);
        let peer = self.membership.peer_states.get(id);
        *id == self.me.instance || peer.is_some_and(|p| p.reachable_since + stable_time <= now)
    }

    /// Hands workers over to the given members. Workers with a load or
    /// eviction in progress, and those whose own takeover isn't complete, are
    /// skipped.
    ///
    /// The scheduler is dropped before the table swap is sent. Nothing is
    /// granted or ordered after that, so the handover stays accurate.
    pub(super) fn hand_over(&mut self, moves: BTreeMap<WorkerId, InstanceId>) {
        let now = self.clock.now();
        let mut table = self.membership.table.clone();
        let mut handovers = Vec::new();
        for (worker, to) in moves {
            let Some(member) = table.members.get(&to) else {
                continue;
            };
            let handover = self
                .workers
                .get(&worker)
                .and_then(|o| o.scheduler.handover_state(&worker, now));
            let Some(handover) = handover else {
                continue;
            };
            let incarnation = member.incarnation;
            self.drop_worker(&worker);
            self.handovers.insert(worker.clone(), handover.clone());
            table = table.with_owner(&to, incarnation, &BTreeSet::from([worker]));
            handovers.push((to, handover));
        }
        if !handovers.is_empty() {
            self.swap_table(&table, handovers);
        }
    }
}
