//! What an owner of the worker knows, and what it may do.

use super::{ADAPTERS, Bounds, DELIVERY, Intent, MARGIN, Mutation, OLD, TTL, WINDOW};

/// Mask of all adapters.
const ALL_ADAPTERS: u8 = (1 << ADAPTERS) - 1;

#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub(super) struct Owner {
    /// Ticks that the old owner's proof of ownership lasts.
    pub(super) lease: u8,
    /// Ticks that the old owner may still grant after its lease.
    pub(super) grace: u8,
    /// Whether it may act as claimant at all.
    pub(super) claimed: bool,
    /// Ticks until a claimant may grant and send orders.
    pub(super) wait: u8,
    /// Ticks until a claimant's listing shows all that still runs.
    pub(super) listing_wait: u8,
    /// Ticks left of the pin of each adapter.
    pub(super) pins: [u8; ADAPTERS],
    /// Adapters that may be in use without a pin, as a mask.
    pub(super) uncertain: u8,
    /// Adapters whose eviction was ordered and not seen, as a mask.
    pub(super) evicting: u8,
    /// For each of them, the boot of the worker when it was ordered.
    pub(super) evicting_boot: [u8; ADAPTERS],
    /// Evictions whose effect can't be told from another's, as a mask.
    pub(super) indistinct: u8,
    /// Whether the worker is known to have seen its fencing number.
    pub(super) fence_raised: bool,
    pub(super) handed_over: bool,
}

impl Owner {
    pub(super) fn tick(&mut self, mutation: Option<Mutation>) {
        if self.lease == 0 && mutation != Some(Mutation::GraceWithoutEnd) {
            self.grace = self.grace.saturating_sub(1);
        }
        self.lease = self.lease.saturating_sub(1);
        self.wait = self.wait.saturating_sub(1);
        self.listing_wait = self.listing_wait.saturating_sub(1);
        for (adapter, pin) in self.pins.iter_mut().enumerate() {
            let expires = *pin == 1;
            *pin = pin.saturating_sub(1);
            if expires && mutation != Some(Mutation::ExpiredPinCountsAsReleased) {
                self.uncertain |= 1 << adapter;
            }
        }
    }

    /// Whether it may load and evict.
    pub(super) fn may_order(&self, me: usize) -> bool {
        match me {
            OLD => self.lease > 0 && !self.handed_over,
            _ => self.claimed && self.wait == 0,
        }
    }

    /// Whether it may grant a permit for the adapter.
    pub(super) fn may_grant(
        &self,
        me: usize,
        adapter: usize,
        mutation: Option<Mutation>,
        bounds: &Bounds,
    ) -> bool {
        let evicting = self.evicting & 1 << adapter != 0;
        let fenced =
            self.fence_raised || !bounds.fencing || mutation == Some(Mutation::FenceNotRaised);
        if evicting && mutation != Some(Mutation::GrantWhileEvicting) {
            return false;
        }
        let stopped = self.handed_over && mutation != Some(Mutation::GrantAfterHandover);
        match me {
            OLD => (self.lease > 0 || self.grace > 0) && !stopped,
            _ => self.claimed && self.wait == 0 && fenced,
        }
    }

    /// Pins the adapter for as long as the permit may lead to a request.
    pub(super) fn pin(&mut self, adapter: usize, mutation: Option<Mutation>) {
        let margin = if mutation == Some(Mutation::PinWithoutMargin) {
            0
        } else {
            MARGIN
        };
        self.pins[adapter] = WINDOW + DELIVERY + margin;
    }

    /// Whether nothing can use the adapter.
    pub(super) fn is_unused(&self, adapter: usize, mutation: Option<Mutation>) -> bool {
        let free = self.pins[adapter] == 0 && self.uncertain & 1 << adapter == 0;
        free || mutation == Some(Mutation::NoPins)
    }

    /// Takes the worker over with the intent that the table showed.
    pub(super) fn claim(
        &mut self,
        intent: Option<Intent>,
        mutation: Option<Mutation>,
        bounds: &Bounds,
    ) {
        let whole = TTL + bounds.grace + WINDOW + DELIVERY + MARGIN;
        self.claimed = true;
        self.wait = if mutation == Some(Mutation::NoClaimWait) {
            0
        } else {
            TTL + MARGIN
        };
        self.listing_wait = match mutation {
            Some(Mutation::ListingWithoutWait) => 0,
            Some(Mutation::ListingWaitWithoutGrace) => whole - bounds.grace,
            Some(Mutation::ListingWaitWithoutWindow) => whole - WINDOW - DELIVERY,
            _ => whole,
        };
        if mutation != Some(Mutation::NoPinAtTakeover) {
            self.uncertain = ALL_ADAPTERS;
        }
        if let Some(intent) = intent {
            self.start_eviction(intent, mutation);
        }
    }

    /// Remembers an eviction until its effect is seen.
    pub(super) fn start_eviction(&mut self, intent: Intent, mutation: Option<Mutation>) {
        self.evicting |= 1 << intent.adapter;
        if mutation == Some(Mutation::OneBootForAllEvictions) {
            self.evicting_boot.fill(intent.boot);
        } else {
            self.evicting_boot[intent.adapter] = intent.boot;
        }
    }

    /// Forgets an eviction whose effect was seen.
    pub(super) fn end_eviction(&mut self, adapter: usize) {
        self.evicting &= !(1 << adapter);
        self.evicting_boot[adapter] = 0;
    }

    /// Whether the old owner can do nothing any more.
    pub(super) fn has_ended(&self) -> bool {
        self.lease == 0 && self.grace == 0
    }
}
