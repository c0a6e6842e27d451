//! Whether this node is its availability zone's coordinator, which alone
//! orders loads and evictions on the zone's engines.
//!
//! The role is a key in the platform's store, created if absent and bound to
//! the lease of its holder. Its store revision is the fencing number of the
//! holder's orders: it rises with each claim, and engines refuse a lower one
//! than they have seen.
//!
//! A holder gives orders while its lease surely holds: until the time to live
//! after it sent the last renewal that succeeded. Past that, somebody else may
//! have claimed, and two nodes would order the same engines by turns. The one
//! exception is a store that is out of reach for the other nodes too: then
//! nobody can claim, and a zone cut off from the store has to be served. So a
//! holder without an answer asks other nodes of its zone whether the store
//! answers them ([`vouch`]). Engines refuse a lower fencing number than they
//! have seen, so that an order that was under way all the while is harmless.

use crate::{InstanceId, Now};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Fencing number of an ownership.
pub type Fence = u64;

/// Pause between two tries to claim, so that a lost race costs few calls.
const CLAIM_PAUSE: Duration = Duration::from_millis(250);

/// Part of a lease's time to live that is not used, for clocks that run at
/// different rates and for an order on its way.
const LEASE_MARGIN: f64 = 0.1;
/// How long the other nodes' word on the store counts; covers the time to the
/// next question.
const VOUCHED_FOR: Duration = Duration::from_millis(1_500);

/// What another node says of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreWord {
    /// The store answers it.
    Answers,
    /// The store does not answer it.
    Silent,
    /// The node itself gave no answer.
    Unreachable,
}

/// Whether a holder that the store does not answer may go on: when the store
/// answers nobody who could be asked, and not when only this node is cut off.
/// A node that has nobody to ask is alone in its zone.
#[must_use]
pub fn vouch(words: &[StoreWord]) -> bool {
    let heard = words.contains(&StoreWord::Silent);
    let refuted = words.contains(&StoreWord::Answers);
    words.is_empty() || (heard && !refuted)
}

/// A coordinator as the store names it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Holder {
    /// The node.
    pub node: InstanceId,
    /// Run of the node.
    pub incarnation: u64,
    /// Where it takes the other nodes' calls.
    pub addr: SocketAddr,
    /// Its fencing number.
    pub fence: Fence,
}

/// What this node knows of the role.
#[derive(Clone, Debug)]
pub struct Role {
    node: InstanceId,
    incarnation: u64,
    holder: Option<Holder>,
    vacant_since: Option<Now>,
    next_claim: Now,
    patience: Duration,
    /// Until when this node may give orders, if it is the holder.
    leads_until: Now,
    /// Number that a later one is known to exist of.
    outdated: Fence,
}

impl Role {
    /// A role of which nothing is known. A node claims a vacant role after
    /// `patience`, which is shorter the better the node suits.
    #[must_use]
    pub fn new(node: InstanceId, incarnation: u64, patience: Duration) -> Self {
        Self {
            node,
            incarnation,
            holder: None,
            vacant_since: None,
            next_claim: Now::ZERO,
            patience,
            leads_until: Now::ZERO,
            outdated: 0,
        }
    }

    /// The holder, as last heard; `None` while the store names nobody, unless
    /// this node was the last one.
    #[must_use]
    pub fn holder(&self) -> Option<&Holder> {
        let gone = self.vacant_since.is_some() && self.held().is_none();
        self.holder.as_ref().filter(|_| !gone)
    }

    /// The fencing number if this run of this node holds the role.
    #[must_use]
    pub fn held(&self) -> Option<Fence> {
        let holder = self.holder.as_ref()?;
        (holder.node == self.node && holder.incarnation == self.incarnation).then_some(holder.fence)
    }

    /// Whether this run of this node holds the role and surely nobody else does.
    #[must_use]
    pub fn leads(&self, now: Now) -> bool {
        self.held().is_some() && now < self.leads_until
    }

    /// Takes word that the lease, with this time to live, held when a call sent
    /// at `sent` reached the store.
    pub fn on_renewed(&mut self, sent: Now, ttl: Duration) {
        let until = sent + ttl.mul_f64(1.0 - LEASE_MARGIN);
        self.leads_until = self.leads_until.max(until);
    }

    /// Takes what other nodes said of a store that does not answer this one.
    pub fn on_words(&mut self, words: &[StoreWord], now: Now) {
        if vouch(words) {
            self.leads_until = self.leads_until.max(now + VOUCHED_FOR);
        }
    }

    /// Time from a vacancy to this node's claim.
    #[must_use]
    pub const fn patience(&self) -> Duration {
        self.patience
    }

    /// Gives the role up, because this node stops.
    pub fn give_up(&mut self) {
        if self.held().is_some() {
            self.holder = None;
        }
    }

    /// Takes word of a holder; an older one than known is ignored.
    pub fn on_holder(&mut self, holder: Holder) {
        let newer = holder.fence > self.outdated
            && self
                .holder
                .as_ref()
                .is_none_or(|known| holder.fence >= known.fence);
        if newer {
            self.holder = Some(holder);
            self.vacant_since = None;
        }
    }

    /// Takes another node's word on the holder. Only a later one than known
    /// counts: the other node may not know yet that this one is gone.
    pub fn on_told(&mut self, holder: Holder) {
        let later = self
            .holder
            .as_ref()
            .is_none_or(|known| holder.fence > known.fence);
        if later {
            self.on_holder(holder);
        }
    }

    /// Takes word that the store names nobody.
    pub fn on_vacant(&mut self, now: Now) {
        if self.vacant_since.is_none() {
            self.vacant_since = Some(now);
            self.leads_until = now;
        }
    }

    /// Takes word that a higher number than this one exists.
    pub fn on_fenced(&mut self, fence: Fence) {
        self.outdated = self.outdated.max(fence);
        if self.held().is_some_and(|own| own <= fence) {
            self.holder = None;
        }
    }

    /// Whether to try to claim the role now. The last holder, whose key went
    /// with a lapsed lease, goes first.
    pub fn should_claim(&mut self, now: Now) -> bool {
        let Some(since) = self.vacant_since else {
            return false;
        };
        let wait = if self.held().is_some() {
            Duration::ZERO
        } else {
            self.patience
        };
        if now < since + wait || now < self.next_claim {
            return false;
        }
        self.next_claim = now + CLAIM_PAUSE;
        true
    }
}
