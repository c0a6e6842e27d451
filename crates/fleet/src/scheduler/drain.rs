//! Frees slots for adapters that no engine holds while all slots are in use.
//!
//! An adapter in use is never evicted, and a popular one is always in use. When a call
//! waits for a slot, one copy of an adapter that other engines hold too gets no more
//! calls, so that it can be evicted once its calls have ended. This is done for calls of
//! workspaces, so that the popular adapters of one don't keep out those of another.

use super::adapter_copy::CopyState;
use super::engine_view::EngineView;
use super::{AdapterKey, QueuedCall, Scheduler};
use crate::{InstanceId, Now};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which a copy gets no more calls; most responses end within it.
const DRAIN_TIME: Duration = Duration::from_millis(1_500);
/// Cost of a call on a copy that is to be evicted, in addition to its wait. Above the
/// cost of waiting for another copy, but not infinite, since the others may be gone.
const DRAIN_PENALTY: Duration = Duration::from_millis(1_000);
/// Running calls above which a copy is not drained: they would take too long to end.
const MAX_DRAINED_CALLS: u32 = 4;

impl Scheduler {
    /// Stops calls to a copy of an adapter that has others, for a call that waits for a
    /// slot. At most one copy of an engine and `waiting` copies in all are drained.
    pub(super) fn drain_copy_for(&mut self, queued: &QueuedCall, waiting: usize, now: Now) {
        let engines = || {
            let serving = self.engines.values().filter(|e| e.serves(&queued.request));
            serving.filter(|e| e.is_usable(now))
        };
        if engines().filter(|e| is_draining(e, now)).count() > waiting {
            return;
        }
        let mut copies: BTreeMap<&AdapterKey, u32> = BTreeMap::new();
        for engine in engines() {
            let usable = engine
                .copies
                .iter()
                .filter(|(_, copy)| copy.state == CopyState::Resident && !copy.is_draining(now));
            for (key, _) in usable {
                *copies.entry(key).or_default() += 1;
            }
        }
        let mut best: Option<(u32, &InstanceId, &AdapterKey)> = None;
        for engine in engines().filter(|e| !is_draining(e, now)) {
            for (key, copy) in &engine.copies {
                let has_others = copies.get(key).is_some_and(|count| *count > 1);
                let drains = copy.state == CopyState::Resident
                    && has_others
                    && copy.running_calls <= MAX_DRAINED_CALLS
                    && now >= copy.load_complete_by;
                if drains && best.is_none_or(|(calls, ..)| copy.running_calls < calls) {
                    best = Some((copy.running_calls, &engine.id, key));
                }
            }
        }
        let Some((_, engine, key)) = best.map(|(calls, id, key)| (calls, id.clone(), key.clone()))
        else {
            return;
        };
        let copy = self.engines.get_mut(&engine);
        if let Some(copy) = copy.and_then(|e| e.copies.get_mut(&key)) {
            copy.draining_until = now + DRAIN_TIME;
        }
    }
}

/// Returns the cost of a call on a copy that is to be evicted.
pub(super) fn drain_penalty(engine: &EngineView, key: &AdapterKey, now: Now) -> Duration {
    let copy = engine.copies.get(key);
    if copy.is_some_and(|copy| copy.is_draining(now)) {
        DRAIN_PENALTY
    } else {
        Duration::ZERO
    }
}

fn is_draining(engine: &EngineView, now: Now) -> bool {
    engine.copies.values().any(|copy| copy.is_draining(now))
}
