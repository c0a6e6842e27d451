//! Changes of the zone's table: joining it, claiming workers, handing them
//! over, and taking failed members out.

use super::state::Control;
use reedford_core::table::{Ownership, ZoneTable};
use reedford_core::{InstanceId, Now, WorkerId};
use reedford_settings::ms;
use reedford_wire::instances::InstanceKind;
use std::collections::{BTreeMap, BTreeSet};

impl Control {
    /// Joins the table, or claims what this instance should own, or hands over
    /// what another should.
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
            let joined = self
                .membership
                .table
                .with_member(&me.instance, me.incarnation, me.peers);
            self.swap_table(&joined, Vec::new());
            return;
        }
        let now = self.clock.now();
        let claims = self.claims(now);
        if !claims.is_empty() {
            let claimed = self
                .membership
                .table
                .with_owner(&me.instance, me.incarnation, &claims);
            self.note_claims(&claims, claimed.sequence);
            let claimed = self.without_failed(claimed, now);
            self.swap_table(&claimed, Vec::new());
            return;
        }
        let settled = self
            .membership
            .table
            .without_previous_owners(&self.settled_workers(now));
        let tidy = self.without_failed(settled, now);
        if tidy.members != self.membership.table.members {
            self.swap_table(&tidy, Vec::new());
            return;
        }
        self.rebalance(now);
    }

    /// Workers that this instance claims now.
    fn claims(&self, now: Now) -> BTreeSet<WorkerId> {
        let settle = self.settle_time();
        let settled = self
            .membership
            .joined_at
            .is_some_and(|at| now >= at + settle);
        let alive = self.alive_members(now);
        if !settled && self.membership.table.members.len() > alive.len() {
            return BTreeSet::new();
        }
        let listed = self.instances.values().filter(|i| {
            i.kind == InstanceKind::Engine && i.zone == self.me.zone && self.policy_of(i).is_some()
        });
        // A worker that is no longer listed gets an owner too: it would
        // otherwise keep a failed member in the table for ever.
        let known = self.membership.table.workers.keys();
        let workers: BTreeSet<&WorkerId> = listed.map(|i| &i.id).chain(known).collect();
        let own = workers
            .into_iter()
            .filter(|id| self.is_claimant(id, &alive));
        own.filter(|id| self.may_claim(id, &alive, now))
            .cloned()
            .collect()
    }

    /// Whether this instance is the one that claims a worker: its home among
    /// the members that the old owner knew, because they need not wait long.
    /// When none of those is left it is the home among the others, but only
    /// once this instance would itself have heard of the old owner.
    fn is_claimant(&self, worker: &WorkerId, alive: &BTreeSet<InstanceId>) -> bool {
        let table = &self.membership.table;
        let owner = table.workers.get(worker).map(|o| &o.owner);
        let owner = owner.filter(|_| table.owner_is_member(worker));
        let known = owner.map(|owner| alive.iter().filter(|id| self.knew(owner, id)));
        let known: BTreeSet<InstanceId> = known.into_iter().flatten().cloned().collect();
        let candidates = if known.is_empty() {
            self.oldest(alive)
        } else {
            known
        };
        let candidates = if owner.is_none() { alive } else { &candidates };
        table.preferred_owner(worker, candidates).as_ref() == Some(&self.me.instance)
    }

    /// The members that joined first: of all that did not know an old owner,
    /// they are the likeliest to have heard of it.
    fn oldest(&self, alive: &BTreeSet<InstanceId>) -> BTreeSet<InstanceId> {
        let members = &self.membership.table.members;
        let joined = |id: &InstanceId| members.get(id).map(|m| m.joined);
        let first = alive.iter().filter_map(joined).min();
        alive
            .iter()
            .filter(|id| joined(id) == first)
            .cloned()
            .collect()
    }

    /// Notes from whom workers are claimed: they get no promise until they
    /// have read the claim.
    fn note_claims(&mut self, claims: &BTreeSet<WorkerId>, sequence: u64) {
        let workers = &self.membership.table.workers;
        for ownership in claims.iter().filter_map(|id| workers.get(id)) {
            self.membership
                .claimed_from
                .insert(ownership.owner.clone(), sequence);
        }
    }

    /// Own workers whose old owner no longer matters: everything that it may
    /// still have done has been waited for.
    fn settled_workers(&self, now: Now) -> BTreeSet<WorkerId> {
        let settled = self
            .workers
            .iter()
            .filter(|(_, owned)| owned.scheduler.is_takeover_complete(now));
        settled.map(|(id, _)| id.clone()).collect()
    }

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
        !alive.contains(owner) && self.membership.promises.may_claim_from(owner, now)
    }

    /// Takes members out that are silent, own nothing, and whose promises this
    /// instance has stopped. A failed member that stayed would never promise
    /// again, and the others could not go on when the platform is cut off.
    fn without_failed(&self, mut table: ZoneTable, now: Now) -> ZoneTable {
        let failed: Vec<InstanceId> = table
            .members
            .keys()
            .filter(|id| self.membership.promises.may_claim_from(id, now))
            .filter(|id| !table.workers.values().any(|o| o.owner == **id))
            .filter(|id| !self.is_previous_owner(&table, id))
            .cloned()
            .collect();
        for id in failed {
            table = table.without_member(&id);
        }
        table
    }

    /// A claimant tells from the member list whether the old owner's process
    /// has ended, so an old owner stays listed while it is named as one.
    fn is_previous_owner(&self, table: &ZoneTable, id: &InstanceId) -> bool {
        let mut previous = table.workers.values().flat_map(|o| &o.previous);
        previous.any(|p| p.owner == *id)
    }

    /// Hands one worker over whose home is another live member.
    fn rebalance(&mut self, now: Now) {
        let mut alive = self.alive_members(now);
        alive.retain(|id| self.is_steady(id, now));
        let settled = self.settled_workers(now);
        let moved = settled.iter().find_map(|worker| {
            let home = self.membership.table.preferred_owner(worker, &alive)?;
            (home != self.me.instance).then(|| (worker.clone(), home))
        });
        if let Some(moved) = moved {
            self.hand_over(BTreeMap::from([moved]));
        }
    }

    /// Whether a member has been heard of for a while. The first that is heard
    /// of one that was paused may have been sent before its pause.
    fn is_steady(&self, id: &InstanceId, now: Now) -> bool {
        let while_ms = ms(self.cfg.timeouts.peer_failed_ms);
        let heard = self.membership.heard.get(id);
        *id == self.me.instance || heard.is_some_and(|h| h.since + while_ms <= now)
    }

    /// Hands workers over, those with an order under way left out.
    ///
    /// The scheduler is dropped before the swap is sent: from then on nothing
    /// is granted or ordered, so what is handed over stays true.
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
                .and_then(|o| o.scheduler.hand_over(&worker, now));
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
