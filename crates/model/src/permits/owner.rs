//! State of one owner of the worker, and what it may do.

use super::{
    ADAPTER_COUNT, Bounds, DELIVERY_TICKS, DISPATCH_TICKS, Intent, LEASE_TICKS, MARGIN_TICKS,
    Mutation, OLD_OWNER,
};

/// Mask of all adapters.
const ALL_ADAPTERS: u8 = (1 << ADAPTER_COUNT) - 1;

/// State of one of the two owners. `lease`, `grace` and `handed_over` are used
/// only for the old owner, `claimed`, `wait` and `listing_wait` only for the new
/// one.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub(super) struct Owner {
    /// Ticks until the old owner's lease ends.
    pub(super) lease: u8,
    /// Ticks for which the old owner may still grant after its lease.
    pub(super) grace: u8,
    /// Whether the new owner has claimed the worker.
    pub(super) claimed: bool,
    /// Ticks until the new owner may grant and send orders.
    pub(super) wait: u8,
    /// Ticks until a listing includes every request with a permit of the old owner.
    pub(super) listing_wait: u8,
    /// Ticks until the pin of each adapter expires.
    pub(super) pins: [u8; ADAPTER_COUNT],
    /// Adapters that requests may use without a pin, as a mask.
    pub(super) uncertain: u8,
    /// Adapters with a pending eviction, whose outcome isn't known, as a mask.
    pub(super) evicting: u8,
    /// For each pending eviction, the boot of the worker when it was ordered.
    pub(super) evicting_boot: [u8; ADAPTER_COUNT],
    /// Adapters with two pending evictions, an inherited one and the owner's own,
    /// whose effects can't be distinguished, as a mask.
    pub(super) indistinct: u8,
    /// Whether the worker is known to have seen this owner's fencing token.
    pub(super) fence_raised: bool,
    /// Whether the old owner has handed over.
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

    /// Returns whether the owner may load and evict.
    pub(super) fn may_order(&self, own_index: usize) -> bool {
        match own_index {
            OLD_OWNER => self.lease > 0 && !self.handed_over,
            _ => self.claimed && self.wait == 0,
        }
    }

    /// Returns whether the owner may grant a permit for the adapter.
    pub(super) fn may_grant(
        &self,
        own_index: usize,
        adapter: usize,
        mutation: Option<Mutation>,
        bounds: &Bounds,
    ) -> bool {
        let evicting = self.evicting & 1 << adapter != 0;
        let has_fence =
            self.fence_raised || !bounds.fencing || mutation == Some(Mutation::FenceNotRaised);
        if evicting && mutation != Some(Mutation::GrantWhileEvicting) {
            return false;
        }
        let has_stopped = self.handed_over && mutation != Some(Mutation::GrantAfterHandover);
        match own_index {
            OLD_OWNER => (self.lease > 0 || self.grace > 0) && !has_stopped,
            _ => self.claimed && self.wait == 0 && has_fence,
        }
    }

    /// Pins the adapter for as long as a request with a permit granted now may
    /// still arrive.
    pub(super) fn pin(&mut self, adapter: usize, mutation: Option<Mutation>) {
        let margin = if mutation == Some(Mutation::PinWithoutMargin) {
            0
        } else {
            MARGIN_TICKS
        };
        self.pins[adapter] = DISPATCH_TICKS + DELIVERY_TICKS + margin;
    }

    /// Returns whether no request can use the adapter.
    pub(super) fn is_unused(&self, adapter: usize, mutation: Option<Mutation>) -> bool {
        let is_free = self.pins[adapter] == 0 && self.uncertain & 1 << adapter == 0;
        is_free || mutation == Some(Mutation::NoPins)
    }

    /// Claims the worker. `intent` is the eviction that the table records.
    pub(super) fn claim(
        &mut self,
        intent: Option<Intent>,
        mutation: Option<Mutation>,
        bounds: &Bounds,
    ) {
        let full_wait = LEASE_TICKS + bounds.grace + DISPATCH_TICKS + DELIVERY_TICKS + MARGIN_TICKS;
        self.claimed = true;
        self.wait = if mutation == Some(Mutation::NoClaimWait) {
            0
        } else {
            LEASE_TICKS + MARGIN_TICKS
        };
        self.listing_wait = match mutation {
            Some(Mutation::ListingWithoutWait) => 0,
            Some(Mutation::ListingWaitWithoutGrace) => full_wait - bounds.grace,
            Some(Mutation::ListingWaitWithoutWindow) => full_wait - DISPATCH_TICKS - DELIVERY_TICKS,
            _ => full_wait,
        };
        if mutation != Some(Mutation::NoPinAtTakeover) {
            self.uncertain = ALL_ADAPTERS;
        }
        if let Some(intent) = intent {
            self.start_eviction(intent, mutation);
        }
    }

    /// Records a pending eviction.
    pub(super) fn start_eviction(&mut self, intent: Intent, mutation: Option<Mutation>) {
        self.evicting |= 1 << intent.adapter;
        if mutation == Some(Mutation::OneBootForAllEvictions) {
            self.evicting_boot.fill(intent.boot);
        } else {
            self.evicting_boot[intent.adapter] = intent.boot;
        }
    }

    /// Removes a pending eviction whose outcome is known.
    pub(super) fn end_eviction(&mut self, adapter: usize) {
        self.evicting &= !(1 << adapter);
        self.evicting_boot[adapter] = 0;
    }

    /// Returns whether the old owner's lease and grace period have ended.
    pub(super) fn has_ended(&self) -> bool {
        self.lease == 0 && self.grace == 0
    }
}
