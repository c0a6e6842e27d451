//! What a node keeps of a feed to serve it.

use super::FeedEntry;
use reedford_fleet::{Era, Now};
use reedford_store::{Change, ChangeKind};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Length of the log of changes; a poll with an older revision than the log covers
/// gets a listing.
const MAX_LOGGED_CHANGES: usize = 512;

/// State of one feed.
#[derive(Debug, Default)]
pub(super) struct FeedState {
    pub(super) items: BTreeMap<Box<str>, StoredValue>,
    /// Keys that changed; their values are in `items`.
    pub(super) log: VecDeque<LoggedChange>,
    /// Era of the store, to which all revisions belong.
    pub(super) era: Era,
    /// The log is complete after this revision.
    pub(super) log_after: i64,
    pub(super) revision: i64,
    /// Time of the store's last message on this feed.
    pub(super) last_message: Option<Now>,
    /// Whether the feed is not served.
    pub(super) withheld: bool,
    /// When the store became reachable again after an outage.
    pub(super) recovered_at: Option<Now>,
}

#[derive(Debug)]
pub(super) struct LoggedChange {
    pub(super) key: Box<str>,
    pub(super) revision: i64,
}

#[derive(Debug)]
pub(super) struct StoredValue {
    pub(super) value: Arc<[u8]>,
    pub(super) revision: i64,
    /// Hash of the part of the value that other nodes need; `None` if the value
    /// comes from a copy of the store, so that the next write is passed on even if
    /// it changes nothing.
    pub(super) digest: Option<u64>,
}

impl FeedState {
    /// Returns the current state of a key; `revision` is that of a deleted key.
    pub(super) fn entry(&self, key: &str, revision: i64) -> FeedEntry {
        let stored = self.items.get(key);
        FeedEntry {
            key: key.into(),
            value: stored.map(|s| Arc::clone(&s.value)),
            revision: stored.map_or(revision, |s| s.revision),
        }
    }

    pub(super) fn apply<F>(&mut self, change: &Change, digest: &F)
    where
        F: Fn(&[u8]) -> u64,
    {
        match &change.kind {
            ChangeKind::Put(value) => {
                let stored = StoredValue {
                    value: value.as_slice().into(),
                    revision: change.revision,
                    digest: Some(digest(value)),
                };
                let digest = stored.digest;
                let before = self.items.insert(change.key.clone(), stored);
                if before.is_some_and(|b| b.digest == digest) {
                    return;
                }
            }
            ChangeKind::Delete => _ = self.items.remove(&change.key),
        }
        self.log.push_back(LoggedChange {
            key: change.key.clone(),
            revision: change.revision,
        });
        if self.log.len() > MAX_LOGGED_CHANGES
            && let Some(dropped) = self.log.pop_front()
        {
            self.log_after = dropped.revision;
        }
    }
}
