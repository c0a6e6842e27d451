//! Which era of the store this process knows.
//!
//! Responses may overtake each other, so a response of an earlier era can arrive
//! after one of a later era. It describes what is gone, and is dropped.

use hyper::HeaderMap;
use hyper::header::HeaderName;
use reedford_core::Era;
use std::sync::Arc;
use tokio::sync::watch;

/// Newest era of the store that a process knows. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct EraTracker {
    newest: Arc<watch::Sender<Option<Era>>>,
}

/// The header field in which a service reports its era, as a decimal number.
#[derive(Clone, Debug)]
pub struct EraHeader {
    /// Name of the field.
    pub name: HeaderName,
    /// Where the reported eras are recorded.
    pub eras: EraTracker,
}

impl EraTracker {
    /// Returns the newest era; `None` before the first response of the store.
    #[must_use]
    pub fn known(&self) -> Option<Era> {
        *self.newest.borrow()
    }

    /// Returns the newest era, the first one if none is known.
    #[must_use]
    pub fn newest(&self) -> Era {
        self.known().unwrap_or(Era::FIRST)
    }

    /// Records that the store has reached `era`. Returns false if it is known to
    /// have passed it.
    pub fn observe(&self, era: Era) -> bool {
        self.newest.send_if_modified(|newest| {
            let later = Some(era) > *newest;
            *newest = Some(era).max(*newest);
            later
        });
        era >= self.newest()
    }

    /// Returns a receiver of the newest era.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Option<Era>> {
        self.newest.subscribe()
    }
}

impl EraHeader {
    /// Returns the era of a response. A response without a legible one is of the
    /// era known before.
    pub(crate) fn read(&self, headers: &HeaderMap) -> Era {
        let value = headers.get(&self.name).and_then(|v| v.to_str().ok());
        let number = value.and_then(|v| v.trim().parse().ok());
        number.map_or_else(|| self.eras.newest(), Era::new)
    }
}
