//! Passes on what a node reads to those that follow its feeds.

use super::StoreSync;
use crate::dialect::{Dialect, StoredItem};
use crate::feeds::Feed;
use reedford_fleet::Era;
use reedford_fleet::directory::Absence;
use reedford_store::{Changes, KeyValue, Listing, Position};
use xxhash_rust::xxh3::xxh3_64;

impl<D, K> StoreSync<D, K>
where
    D: Dialect,
    K: KeyValue,
{
    pub(super) fn publish_listing(&self, feed: Feed, listing: &Listing, absence: Absence) {
        let now = self.shared.now();
        let digest = |value: &[u8]| self.digest(feed, value);
        self.shared
            .feeds
            .on_listing(feed, listing, digest, absence, now);
        if feed == Feed::Operators {
            let newest = listing.entries.iter().map(|e| e.revision).max();
            self.publish_operators_revision(listing.era, newest);
        }
    }

    pub(super) fn publish_changes(&self, feed: Feed, changes: &Changes) {
        let now = self.shared.now();
        let digest = |value: &[u8]| self.digest(feed, value);
        self.shared.feeds.on_changes(feed, changes, digest, now);
        if feed == Feed::Operators {
            let newest = changes.changes.iter().map(|c| c.revision).max();
            self.publish_operators_revision(changes.era, newest);
        }
    }

    /// Reports a revision of operators' keys to the nodes that poll this one, once
    /// the feed of these keys has it.
    fn publish_operators_revision(&self, era: Era, newest: Option<i64>) {
        if let Some(revision) = newest {
            let position = Position { era, revision };
            self.shared.feeds.on_operators_position(position);
        }
    }

    /// Hashes the part of a value that other nodes need, so that feeds omit
    /// heartbeats and the like.
    fn digest(&self, feed: Feed, value: &[u8]) -> u64 {
        match feed {
            Feed::Members | Feed::Operators => xxh3_64(value),
            Feed::Instances => match self.dialect.parse_stored(&self.dummy_instance_key(), value) {
                Ok(StoredItem::Instance(mut instance)) => {
                    instance.models.clear();
                    xxh3_64(format!("{instance:?}").as_bytes())
                }
                Ok(_) | Err(_) => 0,
            },
        }
    }

    /// Returns a key without an instance: `parse_stored` selects the format of a
    /// value by the prefix of its key.
    fn dummy_instance_key(&self) -> String {
        format!("{}any", self.dialect.instance_prefix())
    }
}
