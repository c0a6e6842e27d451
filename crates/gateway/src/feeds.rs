//! Change feeds: parts of the store that a coordinator passes on to the nodes
//! of its zone.
//!
//! Every store request has a cost, and each instance writes its entry about
//! once a second. Therefore only a zone's coordinator watches the store, and the
//! other nodes poll it. The coordinator serves a feed only if the store responded
//! to it lately ([`MAX_FEED_AGE_SHARE`]); otherwise the nodes use the store
//! themselves.
//!
//! Each response names the era of the store that it describes. A node that knows a
//! later era than the coordinator gets no feed until the coordinator has listed the
//! store in that era; revisions are those of the response's era.
//!
//! Operators' keys change rarely. The responses of the other feeds carry their
//! newest revision, and nodes request their feed only when that increases.
//!
//! A response is small, whatever the values: items that are larger than
//! [`MAX_RESPONSE_VALUE_BYTES`] become a body, which is compressed and requested in
//! parts ([`reedford_fleet::transfer`]), on connections that carry nothing else.

mod block;
mod contents;
mod protocol;
mod responses;

pub(crate) use protocol::{
    BodyRequest, Feed, FeedItem, FeedMetadata, FeedResponse, KnownMetadata, NoticesNews,
};

use contents::{FeedState, StoredValue};
use reedford_fleet::Now;
use reedford_fleet::departures::LeavingInstances;
use reedford_fleet::directory::{ABSENCE_GRACE, Absence};
use reedford_fleet::quarantine::Evidence;
use reedford_fleet::rate_limits::Statements;
use reedford_fleet::transfer::{
    Bodies, Body, DecodeError, Digest, PART_BYTES, RecentValues, Reception,
};
use reedford_store::{ChangeKind, Changes, Entry, Listing, Position};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Maximum age of the store's last message for which feeds are served, as a share
/// of the limit on staleness. This age, [`POLL_TIMEOUT`] and the pause of the watch
/// on instances add up to less than the limit, of which two seconds is the
/// shortest in use.
const MAX_FEED_AGE_SHARE: f64 = 0.5;
/// Time for which a poll waits for a change.
const POLL_TIMEOUT: Duration = Duration::from_millis(350);
/// Time for which a poll waits while the store does not respond. Within this time
/// a watch that failed on a compacted history or a broken connection has been
/// restarted.
const UNAVAILABLE_POLL_TIMEOUT: Duration = Duration::from_millis(250);
/// Size of the values that a response may hold.
const MAX_RESPONSE_VALUE_BYTES: usize = PART_BYTES;

/// A key and its value in a feed.
#[derive(Clone, Debug)]
pub(crate) struct FeedEntry {
    pub(crate) key: Box<str>,
    /// `None` if the key was deleted.
    pub(crate) value: Option<Arc<[u8]>>,
    pub(crate) revision: i64,
}

/// All feeds of a node.
#[derive(Debug)]
pub(crate) struct Feeds {
    feeds: Mutex<State>,
    changed: Notify,
    max_age: Duration,
}

#[derive(Debug, Default)]
struct State {
    by_feed: BTreeMap<Feed, FeedState>,
    /// Position of the newest of the keys that operators write.
    operators: Position,
    /// Number of nodes in the fleet, 0 if not known.
    nodes: usize,
    /// Instances that are leaving although the store does not show it.
    leaving: LeavingInstances,
    evidence: Evidence,
    rate_limits: Statements,
    /// Revision of the evidence and the limits.
    notices_revision: u64,
    /// Values of each feed that bodies are compressed against.
    recent_values: BTreeMap<Feed, RecentValues>,
    bodies: Bodies,
}

impl Feeds {
    /// Creates feeds for nodes that have to follow changes within a limit.
    pub(crate) fn new(staleness_limit: Duration) -> Self {
        Self {
            feeds: Mutex::new(State {
                // An earlier process may have had this address.
                notices_revision: u64::from(rand::random::<u32>()) << u32::BITS,
                ..State::default()
            }),
            changed: Notify::new(),
            max_age: staleness_limit.mul_f64(MAX_FEED_AGE_SHARE),
        }
    }

    /// Replaces a feed's contents with a listing of the store.
    pub(crate) fn on_listing<F>(
        &self,
        feed: Feed,
        listing: &Listing,
        digest: F,
        absence: Absence,
        now: Now,
    ) where
        F: Fn(&[u8]) -> u64,
    {
        let mut state = self.lock();
        let recovered_at = match absence {
            Absence::Lapsed | Absence::Restored => Some(now),
            Absence::Removed => state.by_feed.get(&feed).and_then(|f| f.recovered_at),
        };
        let is_current = absence != Absence::Restored;
        let recent = state.recent_values.entry(feed).or_default();
        listing.entries.iter().for_each(|e| recent.record(&e.value));
        let stored = listing.entries.iter().map(|entry: &Entry| {
            let stored = StoredValue {
                value: entry.value.as_slice().into(),
                revision: entry.revision,
                digest: is_current.then(|| digest(&entry.value)),
            };
            (entry.key.clone(), stored)
        });
        let new = FeedState {
            items: stored.collect(),
            log: VecDeque::new(),
            era: listing.era,
            log_after: listing.revision,
            revision: listing.revision,
            last_message: Some(now),
            withheld: false,
            recovered_at,
        };
        state.by_feed.insert(feed, new);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Applies a message from the store's watch, which may have no changes.
    pub(crate) fn on_changes<F>(&self, feed: Feed, changes: &Changes, digest: F, now: Now)
    where
        F: Fn(&[u8]) -> u64,
    {
        let mut state = self.lock();
        let recent = state.recent_values.entry(feed).or_default();
        for change in &changes.changes {
            if let ChangeKind::Put(value) = &change.kind {
                recent.record(value);
            }
        }
        // Without a listing in the same era the feed would be incomplete.
        let feed_state = state.by_feed.get_mut(&feed);
        let Some(feed_state) = feed_state.filter(|f| f.era == changes.era) else {
            return;
        };
        feed_state.last_message = Some(now);
        feed_state.withheld = false;
        feed_state.revision = feed_state.revision.max(changes.revision);
        for change in &changes.changes {
            feed_state.apply(change, &digest);
        }
        drop(state);
        if !changes.changes.is_empty() {
            self.changed.notify_waiters();
        }
    }

    /// Drops a feed that this node no longer keeps up to date.
    pub(crate) fn clear(&self, feed: Feed) {
        self.lock().by_feed.remove(&feed);
    }

    /// Stops serving a feed until it is released or the store's next message on it, since the
    /// store is unreachable, or another node keeps this one up to date.
    pub(crate) fn withhold(&self, feed: Feed) {
        if let Some(state) = self.lock().by_feed.get_mut(&feed) {
            state.last_message = None;
            state.withheld = true;
        }
    }

    /// Serves a feed that was withheld while another node kept this one up to date.
    pub(crate) fn release(&self, feed: Feed) {
        if let Some(state) = self.lock().by_feed.get_mut(&feed) {
            state.withheld = false;
        }
    }

    /// Whether this node has all keys of a feed up to a position, so that it can serve the
    /// feed without a listing of the store.
    pub(crate) fn is_complete(&self, feed: Feed, position: Position) -> bool {
        let state = self.lock();
        let known = state.by_feed.get(&feed);
        known.is_some_and(|f| f.era == position.era && f.revision >= position.revision)
    }

    /// Records the position of the newest of the keys that operators write.
    pub(crate) fn on_operators_position(&self, position: Position) {
        let mut state = self.lock();
        state.operators = state.operators.max(position);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Sets the number of nodes in the fleet.
    pub(crate) fn set_node_count(&self, nodes: usize) {
        self.lock().nodes = nodes;
    }

    /// Sets the instances that are leaving although the store does not show it.
    /// Returns whether they changed.
    pub(crate) fn set_leaving(&self, leaving: LeavingInstances) -> bool {
        let mut state = self.lock();
        if state.leaving == leaving {
            return false;
        }
        state.leaving = leaving;
        drop(state);
        self.changed.notify_waiters();
        true
    }

    /// Sets the evidence on calls under which instances crash, as far as it concerns other
    /// nodes.
    pub(crate) fn set_evidence(&self, evidence: Evidence) {
        let mut state = self.lock();
        if state.evidence == evidence {
            return;
        }
        state.evidence = evidence;
        state.notices_revision += 1;
        drop(state);
        self.changed.notify_waiters();
    }

    /// Sets the limits on calls that instances name.
    pub(crate) fn set_rate_limits(&self, statements: Statements) {
        let mut state = self.lock();
        state.rate_limits = statements;
        state.notices_revision += 1;
        drop(state);
        self.changed.notify_waiters();
    }

    /// Returns the changes after a position, or all keys if its revision is 0 or
    /// too old or its era has passed; waits for a change if there is none.
    /// `clock` returns the current time.
    pub(crate) async fn poll<C>(
        &self,
        feed: Feed,
        after: Position,
        metadata: KnownMetadata,
        clock: C,
    ) -> FeedResponse
    where
        C: Fn() -> Now,
    {
        let changed = self.changed.notified();
        let mut changed = std::pin::pin!(changed);
        changed.as_mut().enable();
        let first = self.response(feed, after, metadata, clock());
        let limit = match &first {
            FeedResponse::Unknown => UNAVAILABLE_POLL_TIMEOUT,
            known if known.has_nothing_after(metadata.operators) => POLL_TIMEOUT,
            _ => return first,
        };
        if timeout(limit, changed).await.is_err() {
            tracing::trace!(event = "no_news");
        }
        self.response(feed, after, metadata, clock())
    }

    fn response(
        &self,
        feed: Feed,
        after: Position,
        receiver: KnownMetadata,
        now: Now,
    ) -> FeedResponse {
        let mut state = self.lock();
        let Some(known) = state.current(feed, after, self.max_age, now) else {
            return FeedResponse::Unknown;
        };
        let (era, revision) = (known.era, known.revision);
        let is_logged = after.era == era && after.revision >= known.log_after;
        let is_listing = after.revision == 0 || !is_logged;
        let entries: Vec<FeedEntry> = if is_listing {
            let keys = known.items.keys();
            keys.map(|key| known.entry(key, revision)).collect()
        } else {
            let log = known.log.iter();
            let new = log.filter(|change| change.revision > after.revision);
            let keys: BTreeSet<&str> = new.map(|change| &*change.key).collect();
            let keys = keys.into_iter();
            keys.map(|key| known.entry(key, revision)).collect()
        };
        let is_recent = |recovered_at| now.saturating_sub(recovered_at) < ABSENCE_GRACE;
        let lapsed = known.recovered_at.is_some_and(is_recent);
        let metadata = state.metadata(era, receiver.notices, now);
        let body = state.body(feed, &entries, receiver.body);
        let items = match body {
            Some(_) => Vec::new(),
            None => block::to_items(&entries),
        };
        if is_listing {
            FeedResponse::Listing {
                era,
                revision,
                items,
                body,
                lapsed,
                metadata,
            }
        } else {
            FeedResponse::Changes {
                era,
                revision,
                items,
                body,
                metadata,
            }
        }
    }

    /// Returns the hash of the newest large value of a feed that this node has.
    pub(crate) fn newest_value(&self, feed: Feed) -> Option<Digest> {
        self.lock().recent_values.get(&feed)?.newest()
    }

    /// Returns a body that was offered to a node lately.
    pub(crate) fn offered_body(&self, id: Digest) -> Option<Arc<Body>> {
        self.lock().bodies.get(id)
    }

    /// Returns the items of a body that was received, and keeps large values to compress
    /// later ones against.
    pub(crate) fn decode_body(
        &self,
        feed: Feed,
        reception: &Reception,
    ) -> Result<Vec<FeedEntry>, DecodeError> {
        let mut state = self.lock();
        let recent = state.recent_values.entry(feed).or_default();
        let block = reception.decode(recent)?;
        let entries = block::decode(&block).ok_or(DecodeError::Corrupt)?;
        for value in entries.iter().filter_map(|entry| entry.value.as_ref()) {
            recent.record(value);
        }
        Ok(entries)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.feeds.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
