//! What passes from one owner of a worker to the next.

use super::state::{Permit, Scheduler};
use crate::ids::{AdapterVersion, Now, WorkerId};
use crate::messages::{HandedBar, HandedPermit, Handover, PermitReason, PermitRefusal};
use std::collections::BTreeSet;
use std::time::Duration;

impl Scheduler {
    /// What the next owner has to know. The caller must have stopped granting
    /// and ordering under this ownership: nothing may change afterwards.
    ///
    /// `None` while an order is under way, and until this owner's own takeover
    /// is over: the next owner would not wait for the one before this.
    #[must_use]
    pub fn hand_over(&self, worker: &WorkerId, now: Now) -> Option<Handover> {
        let engine = self.engine.as_ref()?;
        if !self.is_settled(now) || !self.orders.is_empty() {
            return None;
        }
        let uncertain = self.residents.iter().filter(|(_, r)| r.uncertain.is_some());
        let permits = self.permits.iter().map(|(id, permit)| HandedPermit {
            id: id.clone(),
            target: permit.target.clone(),
            class: permit.class,
            remaining: permit.until.saturating_sub(now),
        });
        let barred = self.barred.iter().map(|(target, until)| HandedBar {
            target: target.clone(),
            remaining: until.saturating_sub(now),
        });
        Some(Handover {
            worker: worker.clone(),
            epoch: self.epoch,
            boot_id: engine.boot_id.clone(),
            uncertain: uncertain.map(|(target, _)| target.clone()).collect(),
            barred: barred.collect(),
            permits: permits.collect(),
        })
    }

    /// Takes over what the old owner handed over: there is nothing to wait for.
    ///
    /// The handed pins stand for all requests of the old owner, so adapters
    /// outside `uncertain` need no listing of their own; those inside do.
    pub fn take_over(&mut self, handover: Handover, now: Now) {
        self.open_from = self.open_from.min(now);
        self.evict_from = self.evict_from.min(now);
        for handed in handover.permits {
            let permit = Permit {
                target: handed.target,
                class: handed.class,
                granted: now,
                until: now + handed.remaining,
            };
            self.permits.insert(handed.id, permit);
        }
        for bar in handover.barred {
            self.bar(BTreeSet::from([bar.target]), now + bar.remaining);
        }
        for resident in self.residents.values_mut() {
            resident.uncertain = resident.uncertain.map(|_| now);
        }
    }

    /// Neither grants on `targets` nor loads them before `until`: an eviction
    /// whose end is unknown could hit them at any time before.
    pub fn bar(&mut self, targets: BTreeSet<AdapterVersion>, until: Now) {
        for target in targets {
            self.refuse_waiting(
                &target,
                PermitRefusal::new(PermitReason::NotOwner, Duration::ZERO),
            );
            let bar = self.barred.entry(target).or_insert(until);
            *bar = until.max(*bar);
        }
        self.withdraw_unwanted();
    }

    /// Whether nothing that an old owner may have done has to be waited for.
    #[must_use]
    pub fn is_settled(&self, now: Now) -> bool {
        now >= self.open_from && now >= self.evict_from
    }

    /// Time from which the worker grants.
    #[must_use]
    pub fn opens_at(&self) -> Now {
        self.open_from
    }
}
