//! Whether this node is its availability zone's coordinator, which alone
//! orders loads and evictions on the zone's engines.
//!
//! The role is a key in the platform's store, created if absent and bound to
//! the lease of the node that holds the role, its holder. The key's store
//! revision is the fencing token of the holder's orders: it increases with each
//! claim, and engines refuse a lower token than they have seen.
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

use crate::{InstanceId, Now};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Fencing token of a coordinator's term.
pub type Fence = u64;

/// Pause between two attempts to claim, so that a lost race costs few store
/// requests.
const CLAIM_PAUSE: Duration = Duration::from_millis(250);

/// Share of a lease's time to live that is not used, because clocks run at
/// different rates and orders take time in transit.
const LEASE_MARGIN_SHARE: f64 = 0.1;
/// How long the peers' reports on the store are valid; covers the time until the
/// next query.
const STORE_REPORTS_TTL: Duration = Duration::from_millis(1_500);

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
            superseded: 0,
        }
    }

    /// Returns the last known holder; `None` while the role is vacant, unless
    /// this node held it last.
    #[must_use]
    pub fn holder(&self) -> Option<&Holder> {
        let vacant = self.vacant_since.is_some() && self.held_fence().is_none();
        self.holder.as_ref().filter(|_| !vacant)
    }

    /// Returns the fencing token if this incarnation of this node holds the role.
    #[must_use]
    pub fn held_fence(&self) -> Option<Fence> {
        let holder = self.holder.as_ref()?;
        (holder.node == self.node && holder.incarnation == self.incarnation).then_some(holder.fence)
    }

    /// Whether this incarnation of this node holds the role and no other node
    /// can have claimed it.
    #[must_use]
    pub fn leads(&self, now: Now) -> bool {
        self.held_fence().is_some() && now < self.leads_until
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
    /// than the known holder's is ignored.
    pub fn on_holder(&mut self, holder: Holder) {
        let newer = holder.fence > self.superseded
            && self
                .holder
                .as_ref()
                .is_none_or(|known| holder.fence >= known.fence);
        if newer {
            self.holder = Some(holder);
            self.vacant_since = None;
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
    /// claims first, without delay.
    pub fn try_start_claim(&mut self, now: Now) -> bool {
        let Some(since) = self.vacant_since else {
            return false;
        };
        let wait = if self.held_fence().is_some() {
            Duration::ZERO
        } else {
            self.claim_delay
        };
        if now < since + wait || now < self.next_claim {
            return false;
        }
        self.next_claim = now + CLAIM_PAUSE;
        true
    }
}
