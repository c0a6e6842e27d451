//! Handover of a worker's state from one owner to the next.

use super::state::{Permit, Scheduler};
use crate::ids::{AdapterVersion, Now, WorkerId};
use crate::messages::{BlockedAdapter, Handover, HandoverPermit, PermitReason, PermitRefusal};
use std::collections::BTreeSet;
use std::time::Duration;

impl Scheduler {
    /// Returns the state that the next owner needs. The caller must have stopped
    /// granting and ordering under this ownership, so that the state does not
    /// change afterwards.
    ///
    /// Returns `None` while an order is under way, while the engine is unknown,
    /// and until this owner's own takeover is complete: the next owner would
    /// not wait for the owner before this one.
    #[must_use]
    pub fn handover_state(&self, worker: &WorkerId, now: Now) -> Option<Handover> {
        let engine = self.engine.as_ref()?;
        if !self.is_takeover_complete(now) || !self.orders.is_empty() {
            return None;
        }
        let uncertain = self.residents.iter().filter(|(_, r)| r.uncertain.is_some());
        let permits = self.permits.iter().map(|(id, permit)| HandoverPermit {
            id: id.clone(),
            target: permit.target.clone(),
            class: permit.class,
            remaining: permit.until.saturating_sub(now),
        });
        let blocked = self.blocked.iter().map(|(target, until)| BlockedAdapter {
            target: target.clone(),
            remaining: until.saturating_sub(now),
        });
        Some(Handover {
            worker: worker.clone(),
            epoch: self.epoch,
            boot_id: engine.boot_id.clone(),
            uncertain: uncertain.map(|(target, _)| target.clone()).collect(),
            barred: blocked.collect(),
            permits: permits.collect(),
        })
    }

    /// Applies the state that the previous owner handed over, after which the
    /// worker opens at once.
    ///
    /// The permits in `handover` cover all requests of the previous owner
    /// except those on its uncertain adapters. An adapter on the worker
    /// therefore becomes certain with the next listing that shows it idle,
    /// without waiting out the previous owner's lease.
    pub fn apply_handover(&mut self, handover: Handover, now: Now) {
        self.open_from = self.open_from.min(now);
        self.evict_from = self.evict_from.min(now);
        for inherited in handover.permits {
            let permit = Permit {
                target: inherited.target,
                class: inherited.class,
                granted: now,
                until: now + inherited.remaining,
            };
            self.permits.insert(inherited.id, permit);
        }
        for blocked in handover.barred {
            self.block_targets(BTreeSet::from([blocked.target]), now + blocked.remaining);
        }
        for resident in self.residents.values_mut() {
            resident.uncertain = resident.uncertain.map(|_| now);
        }
    }

    /// Refuses grants on `targets` and loads of them until `until`, because a
    /// pending eviction with unknown outcome could remove them before then.
    pub fn block_targets(&mut self, targets: BTreeSet<AdapterVersion>, until: Now) {
        for target in targets {
            self.refuse_waiting(
                &target,
                PermitRefusal::new(PermitReason::NotOwner, Duration::ZERO),
            );
            let blocked_until = self.blocked.entry(target).or_insert(until);
            *blocked_until = until.max(*blocked_until);
        }
        self.withdraw_unwanted();
    }

    /// Returns whether the waits for previous owners are over.
    #[must_use]
    pub fn is_takeover_complete(&self, now: Now) -> bool {
        now >= self.open_from && now >= self.evict_from
    }

    /// Returns the time from which the worker grants permits.
    #[must_use]
    pub fn opens_at(&self) -> Now {
        self.open_from
    }
}
