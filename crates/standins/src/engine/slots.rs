//! Adapter slots and the check of fencing tokens.

use crate::target_http::refusal;
use reedford_wire::engine::{AdapterOrder, Refusal, RefusalCode};
use std::collections::BTreeMap;

/// The adapter version that a slot holds.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct SlotKey {
    pub(crate) adapter: Box<str>,
    pub(crate) version: Box<str>,
}

impl SlotKey {
    /// Parses `adapter@version`.
    pub(crate) fn parse(model: &str) -> Option<Self> {
        let (adapter, version) = model.split_once('@')?;
        (!adapter.is_empty() && !version.is_empty()).then(|| Self {
            adapter: adapter.into(),
            version: version.into(),
        })
    }

    /// Returns the adapter version of an order.
    pub(crate) fn of(order: &AdapterOrder) -> Self {
        Self {
            adapter: order.adapter.clone(),
            version: order.version.clone(),
        }
    }
}

/// Number of a load, unique within the life of an engine's process.
pub(crate) type LoadNumber = u64;

/// An occupied slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Slot {
    pub(crate) load: LoadNumber,
    pub(crate) loading: bool,
}

/// First step of a load order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum LoadStart {
    /// The adapter is resident already.
    Resident,
    /// The same adapter is being loaded; the order waits for that load.
    Join(LoadNumber),
    /// The weights have to be fetched.
    Fetch(LoadNumber),
}

/// The slots of an engine.
#[derive(Debug)]
pub(crate) struct Slots {
    checks_fence: bool,
    fence: u64,
    limit: usize,
    loads: LoadNumber,
    occupied: BTreeMap<SlotKey, Slot>,
}

impl Slots {
    /// Returns empty slots.
    pub(crate) fn new(limit: u32, checks_fence: bool) -> Self {
        Self {
            checks_fence,
            fence: 0,
            limit: limit as usize,
            loads: 0,
            occupied: BTreeMap::new(),
        }
    }

    /// Empties all slots and resets the fencing token, as a restart does.
    pub(crate) fn clear(&mut self) {
        self.fence = 0;
        self.occupied.clear();
    }

    /// Refuses an order with an outdated fencing token if the engine checks
    /// them, and otherwise keeps the highest token seen.
    pub(crate) fn check_fence(&mut self, fence: u64) -> Result<(), Refusal> {
        if self.checks_fence && fence < self.fence {
            let message = format!("fence {fence} is below {}", self.fence);
            return Err(refusal(RefusalCode::OldFence, &message));
        }
        self.fence = self.fence.max(fence);
        Ok(())
    }

    /// Begins a load and reserves a slot for it.
    pub(crate) fn begin_load(&mut self, key: SlotKey) -> Result<LoadStart, Refusal> {
        if let Some(slot) = self.occupied.get(&key) {
            return Ok(if slot.loading {
                LoadStart::Join(slot.load)
            } else {
                LoadStart::Resident
            });
        }
        if self.occupied.len() >= self.limit {
            return Err(refusal(RefusalCode::NoSlot, "all adapter slots are taken"));
        }
        self.loads += 1;
        let load = self.loads;
        let loading = true;
        self.occupied.insert(key, Slot { load, loading });
        Ok(LoadStart::Fetch(load))
    }

    /// Ends a load; returns whether its slot was still reserved for it.
    pub(crate) fn end_load(&mut self, key: &SlotKey, load: LoadNumber, loaded: bool) -> bool {
        let Some(slot) = self.occupied.get_mut(key).filter(|s| s.load == load) else {
            return false;
        };
        slot.loading = false;
        if !loaded {
            self.occupied.remove(key);
        }
        true
    }

    /// Frees a slot; returns whether it was occupied.
    pub(crate) fn free(&mut self, key: &SlotKey) -> bool {
        self.occupied.remove(key).is_some()
    }

    /// Returns the slot of an adapter version.
    pub(crate) fn get(&self, key: &SlotKey) -> Option<Slot> {
        self.occupied.get(key).copied()
    }

    /// Iterates over the occupied slots.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&SlotKey, Slot)> {
        self.occupied.iter().map(|(key, slot)| (key, *slot))
    }
}
