//! Whether this node is its availability zone's coordinator, which alone
//! orders loads and evictions on the zone's engines.
//!
//! The role is a key in the platform's store, created if absent and bound to
//! the lease of the node that holds the role, its holder. The fencing token of
//! the holder's orders is composed of the store's era and the key's revision
//! ([`fence`]): it increases with each claim, and engines refuse a lower token
//! than they have seen.
//!
//! A holder leads, that is, gives orders, only while its lease is certain to be
//! valid: until the time to live has passed since it sent the last successful
//! renewal. After that another node may have claimed the role, and both would
//! give orders to the same engines. The one exception is a store that the other
//! nodes can't reach either: then no node can claim the role, and a zone that
//! is cut off from the store still has to be served. A holder that gets no
//! response from the store therefore asks peers of its zone whether they get
//! one ([`may_lead_without_store`]). An order that is delayed in transit until
//! a later claim is harmless, because engines refuse its lower fencing token.
//!
//! A store that was restored from a copy has ended all leases ([`Role::on_era`]).
//! A holder stops at once when it learns of the new era, and claims anew. Another
//! node that claims first gives no orders until the previous holder, which may
//! not know of the new era, has stopped too. A key that was written under an
//! earlier era's lease names no holder: it came back with the copy or from a
//! claim that was delayed. It is replaced on its revision.

use crate::{Era, InstanceId, Now};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Fencing token of a coordinator's term.
pub type Fence = u64;

/// Bits of a fencing token that hold the revision, the era being above them. A
/// store reaches this many changes after 34 years of a thousand a second.
const REVISION_BITS: u32 = 40;
/// Bits of a fencing token. Engines may decode it as a double, which is exact up
/// to this size.
const FENCE_BITS: u32 = 53;

/// Pause between two attempts to claim, so that a lost race costs few store
/// requests.
const CLAIM_PAUSE: Duration = Duration::from_millis(250);

/// Share of a lease's time to live that is not used, because clocks run at
/// different rates and orders take time in transit.
const LEASE_MARGIN_SHARE: f64 = 0.1;
/// How long the peers' reports on the store are valid; covers the time until the
/// next query.
const STORE_REPORTS_TTL: Duration = Duration::from_millis(1_500);

/// Time after the start of an era in which a holder of an earlier era that the
/// store does not respond to may still lead: peers may have confirmed the outage
/// while the store came back, and their reports took up to 600 ms.
const REPORTED_OUTAGE_TAIL: Duration = STORE_REPORTS_TTL.saturating_add(Duration::from_millis(600));

/// Returns the fencing token of a claim at `revision` in `era`; `None` if it
/// can't be represented. Within an era the store gives each change a higher
/// revision. A later era outweighs every revision of the earlier ones, so tokens
/// also increase if no node remembers the highest.
#[must_use]
pub fn fence(era: Era, revision: i64) -> Option<Fence> {
    let revision = Fence::try_from(revision).ok()?;
    let representable =
        revision >> REVISION_BITS == 0 && era.get() >> (FENCE_BITS - REVISION_BITS) == 0;
    representable.then_some(era.get() << REVISION_BITS | revision)
}

/// Returns the revision of the claim that a fencing token was composed of.
#[must_use]
pub const fn claim_revision(fence: Fence) -> i64 {
    (fence & ((1 << REVISION_BITS) - 1)) as i64
}

/// A peer's report on the platform's store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreReport {
    /// The store responds to the peer.
    Answers,
    /// The store does not respond to the peer.
    Silent,
    /// The peer itself did not respond.
    Unreachable,
}

/// Whether a holder that gets no response from the store may keep giving orders,
/// given the reports of the peers that it queried. It may if at least one peer
/// confirms the outage and none contradicts it, but not if only this node is cut
/// off. A node without any peer to query is alone in its zone and may continue.
#[must_use]
pub fn may_lead_without_store(reports: &[StoreReport]) -> bool {
    let confirmed = reports.contains(&StoreReport::Silent);
    let contradicted = reports.contains(&StoreReport::Answers);
    reports.is_empty() || (confirmed && !contradicted)
}

/// The holder of the coordinator role, as stored under its key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Holder {
    /// Id of the node.
    pub node: InstanceId,
    /// Incarnation of the node.
    pub incarnation: u64,
    /// Address at which it accepts its peers' requests.
    pub addr: SocketAddr,
    /// Its fencing token.
    pub fence: Fence,
}

impl Holder {
    /// Returns the era of the store in which the role was claimed.
    #[must_use]
    pub const fn era(&self) -> Era {
        Era::new(self.fence >> REVISION_BITS)
    }
}

/// What this node knows of the coordinator role of its zone.
#[derive(Clone, Debug)]
pub struct Role {
    node: InstanceId,
    incarnation: u64,
    holder: Option<Holder>,
    vacant_since: Option<Now>,
    next_claim: Now,
    claim_delay: Duration,
    /// Time until which this node may give orders, if it is the holder.
    leads_until: Now,
    /// Time from which it may, because a holder of an earlier era gives none.
    leads_from: Now,
    /// Era of the store; `None` until the store has responded.
    era: Option<Era>,
    /// Whether this node led when it learned of the era, and the role was not
    /// claimed since. Then no other node led.
    led_into_era: bool,
    /// Revision of a key that names no holder, which a claim replaces; 0 if there
    /// is no key.
    replaced_revision: i64,
    /// Highest fencing token that is known to be superseded.
    superseded: Fence,
}

impl Role {
    /// Creates a role whose holder is not known. A node claims a vacant role
    /// after `claim_delay`, which is shorter on nodes that suit the role better.
    #[must_use]
    pub fn new(node: InstanceId, incarnation: u64, claim_delay: Duration) -> Self {
        Self {
            node,
            incarnation,
            holder: None,
            vacant_since: None,
            next_claim: Now::ZERO,
            claim_delay,
            leads_until: Now::ZERO,
            leads_from: Now::ZERO,
            era: None,
            led_into_era: false,
            replaced_revision: 0,
            superseded: 0,
        }
    }

    /// Returns the last known holder; `None` while the role is vacant, unless
    /// this node held it last. The holder of an earlier era is returned until
    /// there is another: most likely it claims again, and other nodes need not
    /// turn to the store meanwhile.
    #[must_use]
    pub fn holder(&self) -> Option<&Holder> {
        let vacant = self.vacant_since.is_some() && self.held_fence().is_none();
        self.holder
            .as_ref()
            .filter(|holder| !vacant || self.is_past(holder))
    }

    /// Returns the fencing token if this incarnation of this node holds the role.
    #[must_use]
    pub fn held_fence(&self) -> Option<Fence> {
        let holder = self.holder.as_ref()?;
        (self.is_self(holder) && !self.is_past(holder)).then_some(holder.fence)
    }

    fn is_self(&self, holder: &Holder) -> bool {
        holder.node == self.node && holder.incarnation == self.incarnation
    }

    /// Whether a holder's lease ended with its era.
    fn is_past(&self, holder: &Holder) -> bool {
        self.era.is_some_and(|era| holder.era() < era)
    }

    /// Whether this incarnation of this node holds the role and no other node
    /// can have claimed it.
    #[must_use]
    pub fn leads(&self, now: Now) -> bool {
        self.held_fence().is_some() && (self.leads_from..self.leads_until).contains(&now)
    }

    /// Records the store's era. If it has risen, this node no longer holds the
    /// role, and claims it again at once if it held it, otherwise after `jitter`.
    /// `ttl` is the time to live of the holder's lease. Returns whether the era
    /// has risen.
    pub fn on_era(&mut self, era: Era, ttl: Duration, jitter: Duration, now: Now) -> bool {
        let Some(known) = self.era else {
            self.era = Some(era);
            return false;
        };
        if era <= known {
            return false;
        }
        let led = self.leads(now);
        self.era = Some(era);
        // A holder that was learned from a peer may be of the new era already.
        if self
            .holder
            .as_ref()
            .is_none_or(|holder| self.is_past(holder))
        {
            self.vacant_since = None;
            self.replaced_revision = 0;
            self.leads_until = now;
            self.led_into_era = led;
        }
        if !led {
            self.leads_from = now + ttl.max(REPORTED_OUTAGE_TAIL);
        }
        if !self
            .holder
            .as_ref()
            .is_some_and(|holder| self.is_self(holder))
        {
            self.next_claim = now + jitter;
        }
        true
    }

    /// Records that a renewal sent at `sent` reached the store while the lease,
    /// which has the time to live `ttl`, was valid.
    pub fn on_renewed(&mut self, sent: Now, ttl: Duration) {
        let until = sent + ttl.mul_f64(1.0 - LEASE_MARGIN_SHARE);
        self.leads_until = self.leads_until.max(until);
    }

    /// Applies the peers' reports on a store that does not respond to this node.
    pub fn on_store_reports(&mut self, reports: &[StoreReport], now: Now) {
        if may_lead_without_store(reports) {
            self.leads_until = self.leads_until.max(now + STORE_REPORTS_TTL);
        }
    }

    /// Returns the time from a vacancy to this node's claim.
    #[must_use]
    pub const fn claim_delay(&self) -> Duration {
        self.claim_delay
    }

    /// Gives the role up.
    pub fn resign(&mut self) {
        if self.held_fence().is_some() {
            self.holder = None;
        }
    }

    /// Records the holder that the store names; one with a lower fencing token
    /// than the known holder's or of an earlier era is ignored.
    pub fn on_holder(&mut self, holder: Holder) {
        let newer = holder.fence > self.superseded
            && !self.is_past(&holder)
            && self
                .holder
                .as_ref()
                .is_none_or(|known| holder.fence >= known.fence);
        if newer {
            self.holder = Some(holder);
            self.vacant_since = None;
            self.led_into_era = false;
        }
    }

    /// Records a holder that a peer reported. It counts only if its fencing token
    /// is higher than that of the known holder: the peer may not know yet that
    /// the known holder has lost the role.
    pub fn on_peer_holder(&mut self, holder: Holder) {
        let later = self
            .holder
            .as_ref()
            .is_none_or(|known| holder.fence > known.fence);
        if later {
            self.on_holder(holder);
        }
    }

    /// Records that the role is vacant in the store.
    pub fn on_vacant(&mut self, now: Now) {
        self.replaced_revision = 0;
        self.vacate(now);
    }

    /// Records that the role's key at `revision` was written under a lease of an
    /// earlier era. If it was written over the key of a holder of this era, that
    /// holder stops before a node that replaces the key gives orders. `ttl` is the
    /// time to live of the holder's lease.
    pub fn on_past_holder(&mut self, revision: i64, ttl: Duration, now: Now) {
        if self.replaced_revision == revision && self.vacant_since.is_some() {
            return;
        }
        self.replaced_revision = revision;
        if !self.led_into_era {
            self.leads_from = self.leads_from.max(now + ttl.max(REPORTED_OUTAGE_TAIL));
        }
        self.vacate(now);
    }

    /// Returns the revision that the role's key must have for a claim; 0 if it
    /// must be absent.
    #[must_use]
    pub const fn replaced_revision(&self) -> i64 {
        self.replaced_revision
    }

    fn vacate(&mut self, now: Now) {
        if self.vacant_since.is_none() {
            self.vacant_since = Some(now);
            self.leads_until = now;
        }
    }

    /// Records that a higher fencing token than `fence` exists.
    pub fn on_fenced(&mut self, fence: Fence) {
        self.superseded = self.superseded.max(fence);
        if self.held_fence().is_some_and(|own| own <= fence) {
            self.holder = None;
        }
    }

    /// Returns whether to try to claim the role now, and if so, defers the next
    /// attempt. The last holder, whose key was deleted when its lease expired,
    /// claims first, without delay. A node that suits the role badly waits for
    /// `handicap` longer.
    pub fn try_start_claim(&mut self, handicap: Duration, now: Now) -> bool {
        let Some(since) = self.vacant_since else {
            return false;
        };
        let was_held = self.holder.as_ref().is_some_and(|h| self.is_self(h));
        let wait = if was_held {
            Duration::ZERO
        } else {
            self.claim_delay
        };
        if now < since + wait + handicap || now < self.next_claim {
            return false;
        }
        self.next_claim = now + CLAIM_PAUSE;
        true
    }
}
