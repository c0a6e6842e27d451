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

use reedford_fleet::departures::LeavingInstances;
use reedford_fleet::directory::{ABSENCE_GRACE, Absence};
use reedford_fleet::quarantine::{Evidence, EvidenceReport};
use reedford_fleet::rate_limits::{LimitsReport, Statements};
use reedford_fleet::{Era, Now};
use reedford_store::{Change, ChangeKind, Changes, Entry, Listing, Position};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
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
/// Length of the log of changes; a poll with an older revision than the log covers
/// gets a listing.
const MAX_LOGGED_CHANGES: usize = 512;

/// A part of the store that the coordinator passes on.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub(crate) enum Feed {
    /// Entries of the instances.
    Instances,
    /// Keys of the zones' coordinators.
    Members,
    /// Keys that operators write.
    Operators,
}

impl Feed {
    /// Name in logs and metrics.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Instances => "instances",
            Self::Members => "members",
            Self::Operators => "operators",
        }
    }
}

/// A key and its value in a feed.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct FeedItem {
    pub(crate) key: Box<str>,
    /// Value as text; `None` if the key was deleted. Values that are not UTF-8
    /// are converted lossily, because the receiver can't parse them either.
    pub(crate) value: Option<Box<str>>,
    pub(crate) revision: i64,
}

/// Data sent with every response, whatever the feed.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(crate) struct FeedMetadata {
    /// Newest revision of the keys that operators write, in the era of the
    /// response; 0 if none is known in it.
    pub(crate) operators: i64,
    /// Number of nodes in the fleet, 0 if not known.
    pub(crate) nodes: usize,
    /// Instances that are leaving although the store does not show it.
    #[serde(default)]
    pub(crate) leaving: LeavingInstances,
    /// What nodes learned from responses, if the requesting node has another revision
    /// of it.
    #[serde(default)]
    pub(crate) notices: Option<NoticesNews>,
}

/// What nodes learned from responses of instances.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct NoticesNews {
    /// Unique among all revisions of the node that sends it.
    pub(crate) revision: u64,
    /// Calls under which instances crash.
    pub(crate) crashes: EvidenceReport,
    /// Limits on calls that instances name.
    pub(crate) limits: LimitsReport,
}

/// What a node that polls a feed knows already of the data beside it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KnownMetadata {
    /// Newest revision of operators' keys in the era of the known position.
    pub(crate) operators: i64,
    /// Revision of this node's notices that the requesting node has, 0 if none;
    /// `None` if it wants none.
    pub(crate) notices: Option<u64>,
}

/// Response to a poll of a feed.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum FeedResponse {
    /// All keys of the feed.
    Listing {
        #[serde(default)]
        era: Era,
        revision: i64,
        items: Vec<FeedItem>,
        /// Whether the store was unreachable shortly before, so that entries
        /// may have expired although their instances run.
        lapsed: bool,
        #[serde(rename = "aside")]
        metadata: FeedMetadata,
    },
    /// Changes since the revision of the request.
    Changes {
        #[serde(default)]
        era: Era,
        revision: i64,
        items: Vec<FeedItem>,
        #[serde(rename = "aside")]
        metadata: FeedMetadata,
    },
    /// This node has no recent state of the feed.
    Unknown,
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
}

#[derive(Debug, Default)]
struct FeedState {
    items: BTreeMap<Box<str>, StoredValue>,
    /// Keys that changed; their values are in `items`.
    log: VecDeque<LoggedChange>,
    /// Era of the store, to which all revisions belong.
    era: Era,
    /// The log is complete after this revision.
    log_after: i64,
    revision: i64,
    last_message: Option<Now>,
    /// When the store became reachable again after an outage.
    recovered_at: Option<Now>,
}

#[derive(Debug)]
struct LoggedChange {
    key: Box<str>,
    revision: i64,
}

#[derive(Debug)]
struct StoredValue {
    value: Box<str>,
    revision: i64,
    /// Hash of the part of the value that other nodes need; `None` if the value
    /// comes from a copy of the store, so that the next write is passed on even if
    /// it changes nothing.
    digest: Option<u64>,
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
        let stored = listing.entries.iter().map(|entry: &Entry| {
            let stored = StoredValue {
                value: String::from_utf8_lossy(&entry.value).into(),
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
        // Without a listing in the same era the feed would be incomplete.
        let feed_state = state.by_feed.get_mut(&feed);
        let Some(feed_state) = feed_state.filter(|f| f.era == changes.era) else {
            return;
        };
        feed_state.last_message = Some(now);
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

    /// Records that the store is unreachable.
    pub(crate) fn on_store_lost(&self, feed: Feed) {
        if let Some(state) = self.lock().by_feed.get_mut(&feed) {
            state.last_message = None;
        }
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
        let first = self.response(feed, after, metadata.notices, clock());
        let limit = match &first {
            FeedResponse::Unknown => UNAVAILABLE_POLL_TIMEOUT,
            known if known.has_nothing_after(metadata.operators) => POLL_TIMEOUT,
            _ => return first,
        };
        if timeout(limit, changed).await.is_err() {
            tracing::trace!(event = "no_news");
        }
        self.response(feed, after, metadata.notices, clock())
    }

    fn response(
        &self,
        feed: Feed,
        after: Position,
        known_notices: Option<u64>,
        now: Now,
    ) -> FeedResponse {
        let state = self.lock();
        let known = state.by_feed.get(&feed);
        let Some(known) = known.filter(|f| f.era >= after.era) else {
            return FeedResponse::Unknown;
        };
        let era = known.era;
        let operators = Some(state.operators).filter(|position| position.era == era);
        let revision = state.notices_revision;
        let has_news = known_notices.is_some_and(|known| known != revision);
        let metadata = FeedMetadata {
            notices: has_news.then(|| NoticesNews {
                revision,
                crashes: state.evidence.report(now),
                limits: LimitsReport::new(&state.rate_limits, now),
            }),
            operators: operators.map_or(0, |position| position.revision),
            nodes: state.nodes,
            leaving: state.leaving.clone(),
        };
        // A message on any feed shows that the store responds.
        let last_message = state.by_feed.values().filter_map(|f| f.last_message).max();
        let is_fresh = last_message.is_some_and(|at| now.saturating_sub(at) < self.max_age);
        if !is_fresh || known.last_message.is_none() {
            return FeedResponse::Unknown;
        }
        let revision = known.revision;
        let is_logged = after.era == era && after.revision >= known.log_after;
        if after.revision == 0 || !is_logged {
            let items = known.items.keys().map(|key| known.item(key, revision));
            let is_recent = |recovered_at| now.saturating_sub(recovered_at) < ABSENCE_GRACE;
            return FeedResponse::Listing {
                era,
                revision,
                items: items.collect(),
                lapsed: known.recovered_at.is_some_and(is_recent),
                metadata,
            };
        }
        let new = known
            .log
            .iter()
            .filter(|change| change.revision > after.revision);
        let keys: BTreeSet<&str> = new.map(|change| &*change.key).collect();
        let items = keys.into_iter().map(|key| known.item(key, revision));
        FeedResponse::Changes {
            era,
            revision,
            items: items.collect(),
            metadata,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.feeds.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl FeedResponse {
    /// Returns the size of all values in bytes.
    pub(crate) fn value_bytes(&self) -> usize {
        let items = match self {
            Self::Changes { items, .. } | Self::Listing { items, .. } => &items[..],
            Self::Unknown => &[],
        };
        items
            .iter()
            .filter_map(|i| i.value.as_ref())
            .map(|v| v.len())
            .sum()
    }

    /// Returns whether the response has nothing new for a node that knows
    /// operators' keys up to this revision.
    fn has_nothing_after(&self, known: i64) -> bool {
        match self {
            Self::Changes {
                items, metadata, ..
            } => items.is_empty() && metadata.operators <= known && metadata.notices.is_none(),
            Self::Listing { .. } | Self::Unknown => false,
        }
    }
}

impl FeedState {
    /// Returns the current state of a key; `revision` is that of a deleted key.
    fn item(&self, key: &str, revision: i64) -> FeedItem {
        let stored = self.items.get(key);
        FeedItem {
            key: key.into(),
            value: stored.map(|s| s.value.clone()),
            revision: stored.map_or(revision, |s| s.revision),
        }
    }

    fn apply<F>(&mut self, change: &Change, digest: &F)
    where
        F: Fn(&[u8]) -> u64,
    {
        match &change.kind {
            ChangeKind::Put(value) => {
                let stored = StoredValue {
                    value: String::from_utf8_lossy(value).into(),
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
