//! Whether this node is its availability zone's coordinator, which alone
//! orders loads and evictions on the zone's engines.
//!
//! The role is a key in the platform's store, created if absent and bound to
//! the lease of its holder. Its store revision is the fencing number of the
//! holder's orders: it rises with each claim, and engines refuse a lower one
//! than they have seen.
//!
//! A holder that can't renew its lease goes on: while the whole store is away
//! nobody can claim, and a zone cut off from the store has to be served. It
//! stops as soon as it learns of a higher number, from the store, from another
//! node or from an engine's refusal. Until then the engines' check makes its
//! orders harmless.

use crate::{InstanceId, Now};
use std::net::SocketAddr;
use std::time::Duration;

/// Fencing number of an ownership.
pub type Fence = u64;

/// Pause between two tries to claim, so that a lost race costs few calls.
const CLAIM_PAUSE: Duration = Duration::from_millis(250);

/// A coordinator as the store names it.
#[derive(Clone, Debug, Eq, PartialEq)]
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

    /// Takes word of a holder; an older one than known is ignored.
    pub fn on_holder(&mut self, holder: Holder) {
        let newer = self
            .holder
            .as_ref()
            .is_none_or(|known| holder.fence >= known.fence);
        if newer {
            self.holder = Some(holder);
            self.vacant_since = None;
        }
    }

    /// Takes word that the store names nobody.
    pub fn on_vacant(&mut self, now: Now) {
        self.vacant_since.get_or_insert(now);
    }

    /// Takes word that a higher number than this node's exists.
    pub fn on_fenced(&mut self, fence: Fence) {
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
