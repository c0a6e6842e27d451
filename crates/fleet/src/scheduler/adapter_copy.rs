//! An adapter in a slot of an engine.

use crate::{Now, WeightVersion};

/// An adapter in a slot of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct AdapterCopy {
    pub(super) state: CopyState,
    /// `None` if unknown or loaded as the newest version.
    pub(super) version: Option<WeightVersion>,
    pub(super) last_used: Now,
    pub(super) running_calls: u32,
    /// Time by which the adapter's load is certain to be complete. The adapter is
    /// not evicted before that time, because an engine reports the eviction of an
    /// adapter that is being loaded as done and completes the load nevertheless.
    pub(super) load_complete_by: Now,
    /// Time until which calls go to other copies of the adapter, so that this one can be
    /// evicted.
    pub(super) draining_until: Now,
}

/// State of an adapter on an engine. In each state it occupies a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CopyState {
    /// An order to load it is queued or was sent.
    Ordered,
    /// The load is expected to complete at this time.
    Loading(Now),
    /// Loaded.
    Resident,
    /// An order to evict it is queued, was sent, or is being carried out.
    Evicting,
    /// An order to load it has no response, and the engine may still load it.
    Unresolved,
}

impl AdapterCopy {
    pub(super) const fn resident(version: Option<WeightVersion>, now: Now) -> Self {
        Self {
            state: CopyState::Resident,
            version,
            last_used: now,
            running_calls: 0,
            load_complete_by: Now::ZERO,
            draining_until: Now::ZERO,
        }
    }

    pub(super) fn is_draining(&self, now: Now) -> bool {
        now < self.draining_until
    }

    pub(super) fn with_usage_of(mut self, before: Option<&Self>) -> Self {
        if let Some(before) = before {
            self.last_used = before.last_used;
        }
        self
    }

    /// Whether it can be evicted at once.
    pub(super) fn is_evictable(&self, now: Now) -> bool {
        self.state == CopyState::Resident && self.running_calls == 0 && now >= self.load_complete_by
    }

    /// Whether calls for version `wanted` can run on it, now or once it is loaded.
    pub(super) fn serves(&self, wanted: Option<WeightVersion>) -> bool {
        let leaves_or_may_come = matches!(self.state, CopyState::Evicting | CopyState::Unresolved);
        !leaves_or_may_come && !self.is_stale(wanted)
    }

    /// Whether its version is older than the one wanted.
    pub(super) fn is_stale(&self, wanted: Option<WeightVersion>) -> bool {
        matches!((self.version, wanted), (Some(held), Some(wanted)) if held < wanted)
    }
}
