//! Follows the platform's store: the configuration, instances, adapter
//! versions, and the nodes' keys.
//!
//! Each prefix is listed and then watched. When a watch fails, the prefix is
//! listed again, so that no change is missed even if the store compacted its
//! history.

mod instances;
mod operators;

use crate::coordinator::CommandTx;
use crate::dialect::{Dialect, StoredItem};
use crate::feeds::{Feed, FeedItem, FeedMetadata, FeedResponse};
use crate::metrics::Metrics;
use crate::peer::PeerClients;
use crate::state::Shared;
use futures::StreamExt as _;
use instances::InstanceEntries;
use operators::OperatorKeys;
use reedford_fleet::Now;
use reedford_fleet::directory::Absence;
use reedford_store::{Change, ChangeKind, Changes, Entry, KeyValue, KvError, Listing};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

/// Pause before a prefix is listed again after a failure. It doubles with each
/// further failure, because every store request has a cost, even one that is
/// refused.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Upper bound of the retry pause, so that a node knows of changes within the two
/// seconds after the store's recovery that platforms allow.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(900);
/// Pause between two reads of the watch on instances, whose entries change all
/// the time; it limits the rate of store requests.
const INSTANCES_PAUSE: Duration = Duration::from_millis(400);

/// Timeout for a poll of the coordinator's feed, which waits less than half a
/// second for changes.
const FEED_POLL_TIMEOUT: Duration = Duration::from_millis(900);
/// Time for which the store is used directly after the coordinator failed to
/// serve a feed.
const DIRECT_PERIOD: Duration = Duration::from_millis(1_000);
/// Time for which a watch may lag behind a revision of operators' keys that
/// another node reported, before the prefix is listed again.
const MAX_OPERATORS_LAG: Duration = Duration::from_millis(200);

/// Keeps a node's state in step with the store.
#[derive(Debug)]
pub(crate) struct StoreSync<D, K> {
    pub(crate) dialect: Arc<D>,
    pub(crate) stores: StoreClients<K>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) commands: CommandTx,
    pub(crate) peers: Arc<PeerClients>,
    pub(crate) own_addr: SocketAddr,
}

/// Clients of the store that differ in how long their watches wait.
#[derive(Debug)]
pub struct StoreClients<K> {
    /// Its watches return within half a second, so that a failed store is
    /// noticed soon.
    pub short_poll: Arc<K>,
    /// Its watches wait a few seconds, for keys that change rarely.
    pub medium_poll: Arc<K>,
    /// Its watches wait long, for keys whose changes another node reports.
    pub long_poll: Arc<K>,
}

/// A prefix of the store that is watched.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WatchedPrefix<'a> {
    pub(crate) prefix: &'a str,
    /// The coordinator's feed of this prefix, if there is one.
    pub(crate) feed: Option<Feed>,
    /// Pause after each message that has changes.
    pub(crate) pause: Duration,
}

/// Why a watch ended.
enum WatchEnd {
    /// A store request failed.
    StoreFailed(KvError),
    /// The coordinator did not serve the feed.
    CoordinatorFailed,
    /// Another source should be used now.
    SourceChanged,
}

/// Handles the keys of a prefix.
pub(crate) trait KeyHandler {
    /// Handles a listing of all keys of the prefix.
    fn on_listing(&mut self, entries: Vec<Entry>, absence: Absence);
    /// Handles one change.
    fn on_change(&mut self, change: Change);
    /// Called after each listing and each group of changes.
    fn on_batch_end(&mut self);
}

impl<D, K> StoreSync<D, K>
where
    D: Dialect,
    K: KeyValue,
{
    /// Watches a prefix until `stop`.
    pub(crate) async fn watch_prefix<F>(
        &self,
        watched: WatchedPrefix<'_>,
        mut handler: F,
        stop: CancellationToken,
    ) where
        F: KeyHandler,
    {
        let mut store_lost = false;
        let mut failures = 0;
        let mut direct_until = Now::ZERO;
        let watching = async {
            loop {
                let end = match self.feed_source(watched, direct_until) {
                    Some((addr, feed)) => {
                        self.poll_coordinator(addr, feed, watched, &mut handler)
                            .await
                    }
                    None => {
                        let until = direct_until;
                        let end = self
                            .watch_store(watched, &mut handler, &mut store_lost, until)
                            .await;
                        if !store_lost {
                            failures = 0;
                        }
                        end
                    }
                };
                match end {
                    WatchEnd::SourceChanged => {}
                    WatchEnd::CoordinatorFailed => direct_until = self.shared.now() + DIRECT_PERIOD,
                    WatchEnd::StoreFailed(error) if error.is_history_compacted() => {
                        tracing::info!(event = "history_gone", prefix = watched.prefix);
                    }
                    WatchEnd::StoreFailed(error) => {
                        self.on_store_lost(watched, &error, &mut store_lost);
                        sleep(retry_pause(failures)).await;
                        failures += 1;
                    }
                }
            }
        };
        stop.run_until_cancelled(watching).await;
    }

    /// Returns the coordinator that serves a prefix's feed; `None` to use the
    /// store.
    fn feed_source(
        &self,
        watched: WatchedPrefix<'_>,
        direct_until: Now,
    ) -> Option<(SocketAddr, Feed)> {
        let feed = watched.feed?;
        if self.shared.now() < direct_until {
            return None;
        }
        let state = self.shared.lock();
        let addr = state.role.holder()?.addr;
        (addr != self.own_addr).then_some((addr, feed))
    }

    fn on_store_lost(&self, watched: WatchedPrefix<'_>, error: &KvError, store_lost: &mut bool) {
        let now = self.shared.now();
        self.shared.lock().connectivity.on_failure(now);
        self.metrics.store_failure("watch");
        if let Some(feed) = watched.feed {
            self.shared.feeds.on_store_lost(feed);
        }
        if !*store_lost {
            tracing::warn!(event = "store_lost", prefix = watched.prefix, %error);
            *store_lost = true;
        }
    }

    /// Watches the store until a request fails or another source should be
    /// used.
    async fn watch_store<F>(
        &self,
        watched: WatchedPrefix<'_>,
        handler: &mut F,
        store_lost: &mut bool,
        direct_until: Now,
    ) -> WatchEnd
    where
        F: KeyHandler,
    {
        let store = self.client(watched);
        let Listing { revision, entries } = match store.list(watched.prefix).await {
            Ok(listing) => listing,
            Err(error) => return WatchEnd::StoreFailed(error),
        };
        let absence = if std::mem::take(store_lost) {
            tracing::info!(event = "store_regained", prefix = watched.prefix, revision);
            Absence::Lapsed
        } else {
            Absence::Removed
        };
        self.shared.lock().connectivity.on_success();
        self.publish_listing(watched, revision, &entries, absence);
        handler.on_listing(entries, absence);
        handler.on_batch_end();
        let mut watch = match store.watch(watched.prefix, revision + 1).await {
            Ok(watch) => watch,
            Err(error) => return WatchEnd::StoreFailed(error),
        };
        let mut seen_revision = revision;
        loop {
            let next = tokio::select! {
                next = watch.next() => next,
                () = self.wait_until_outdated(watched, seen_revision) => return WatchEnd::SourceChanged,
            };
            match next {
                Some(Ok(changes)) => {
                    seen_revision = seen_revision.max(changes.revision);
                    self.shared.lock().connectivity.on_success();
                    self.publish_changes(watched, &changes);
                    let has_changes = !changes.changes.is_empty();
                    for change in changes.changes {
                        handler.on_change(change);
                    }
                    handler.on_batch_end();
                    let client_changed = !Arc::ptr_eq(store, self.client(watched));
                    if client_changed || self.feed_source(watched, direct_until).is_some() {
                        return WatchEnd::SourceChanged;
                    }
                    if has_changes {
                        sleep(watched.pause).await;
                    }
                }
                Some(Err(error)) => return WatchEnd::StoreFailed(error),
                None => {
                    return WatchEnd::StoreFailed(KvError::Unknown {
                        message: "the watch ended".into(),
                    });
                }
            }
        }
    }

    /// Returns the client for a prefix: the short-polling one for instances,
    /// whose watch shows that the store responds, and the long-polling one for
    /// operators' keys while a coordinator reports their changes.
    fn client(&self, watched: WatchedPrefix<'_>) -> &Arc<K> {
        let instances = WatchedPrefix {
            feed: Some(Feed::Instances),
            ..watched
        };
        let coordinator_polled = self.feed_source(instances, Now::ZERO).is_some();
        match watched.feed {
            Some(Feed::Instances) => &self.stores.short_poll,
            None if coordinator_polled => &self.stores.long_poll,
            Some(Feed::Members) | None => &self.stores.medium_poll,
        }
    }

    /// Returns when a watch on operators' keys lags behind what another node
    /// reported.
    async fn wait_until_outdated(&self, watched: WatchedPrefix<'_>, seen_revision: i64) {
        if watched.feed.is_some() {
            return std::future::pending().await;
        }
        let mut revision = self.shared.operators_revision.subscribe();
        loop {
            if *revision.borrow_and_update() > seen_revision {
                sleep(MAX_OPERATORS_LAG).await;
                return;
            }
            if revision.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    fn publish_listing(
        &self,
        watched: WatchedPrefix<'_>,
        revision: i64,
        entries: &[Entry],
        absence: Absence,
    ) {
        let now = self.shared.now();
        match watched.feed {
            Some(feed) => {
                let digest = |value: &[u8]| self.digest(feed, value);
                self.shared
                    .feeds
                    .on_listing(feed, revision, entries, digest, absence, now);
            }
            None => self
                .shared
                .feeds
                .on_operators_revision(newest_revision(entries)),
        }
    }

    fn publish_changes(&self, watched: WatchedPrefix<'_>, changes: &Changes) {
        let now = self.shared.now();
        match watched.feed {
            Some(feed) => {
                let digest = |value: &[u8]| self.digest(feed, value);
                let revision = changes.revision;
                self.shared
                    .feeds
                    .on_changes(feed, revision, &changes.changes, digest, now);
            }
            None => {
                let newest = changes.changes.iter().map(|c| c.revision).max();
                if let Some(newest) = newest {
                    self.shared.feeds.on_operators_revision(newest);
                }
            }
        }
    }

    /// Hashes the part of a value that other nodes need, so that feeds omit
    /// heartbeats and the like.
    fn digest(&self, feed: Feed, value: &[u8]) -> u64 {
        match feed {
            Feed::Members => xxh3_64(value),
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

    /// Polls a coordinator's feed until it fails or another source should be
    /// used.
    async fn poll_coordinator<F>(
        &self,
        addr: SocketAddr,
        feed: Feed,
        watched: WatchedPrefix<'_>,
        handler: &mut F,
    ) -> WatchEnd
    where
        F: KeyHandler,
    {
        let mut after = 0;
        loop {
            let operators = *self.shared.operators_revision.borrow();
            let response = self
                .peers
                .call(addr, FEED_POLL_TIMEOUT, |peer, cx| async move {
                    peer.news(cx, feed, after, operators).await
                })
                .await;
            {
                let now = self.shared.now();
                let mut state = self.shared.lock();
                match &response {
                    Ok(_) => state.connectivity.on_success(),
                    Err(_) => state.connectivity.on_failure(now),
                }
            }
            let has_changes = match response {
                Ok(FeedResponse::Listing {
                    revision,
                    items,
                    lapsed,
                    metadata,
                }) => {
                    after = revision;
                    self.on_metadata(metadata);
                    let absence = if lapsed {
                        Absence::Lapsed
                    } else {
                        Absence::Removed
                    };
                    let entries = items.into_iter().filter_map(into_entry).collect();
                    handler.on_listing(entries, absence);
                    true
                }
                Ok(FeedResponse::Changes {
                    revision,
                    items,
                    metadata,
                }) => {
                    after = revision;
                    self.on_metadata(metadata);
                    let has_changes = !items.is_empty();
                    items
                        .into_iter()
                        .map(into_change)
                        .for_each(|c| handler.on_change(c));
                    has_changes
                }
                Ok(FeedResponse::Unknown) => {
                    tracing::info!(event = "feed_unknown", prefix = watched.prefix, %addr);
                    return WatchEnd::CoordinatorFailed;
                }
                Err(error) => {
                    tracing::info!(event = "feed_lost", prefix = watched.prefix, %addr, %error);
                    return WatchEnd::CoordinatorFailed;
                }
            };
            handler.on_batch_end();
            if self
                .feed_source(watched, Now::ZERO)
                .is_none_or(|(source, _)| source != addr)
            {
                return WatchEnd::SourceChanged;
            }
            if has_changes {
                sleep(watched.pause).await;
            }
        }
    }

    fn on_metadata(&self, metadata: FeedMetadata) {
        if metadata.nodes > 0 {
            self.shared.lock().budget.set_node_count(metadata.nodes);
        }
        let revision = metadata.operators;
        self.shared.operators_revision.send_if_modified(|known| {
            let newer = *known < revision;
            *known = (*known).max(revision);
            newer
        });
    }

    /// Watches the keys that operators write.
    pub(crate) async fn watch_operators(self: Arc<Self>, stop: CancellationToken) {
        let handler = OperatorKeys { sync: &self };
        let watched = WatchedPrefix {
            prefix: self.dialect.operator_prefix(),
            feed: None,
            pause: Duration::ZERO,
        };
        self.watch_prefix(watched, handler, stop).await;
    }

    /// Watches the instances' entries.
    pub(crate) async fn watch_instances(self: Arc<Self>, stop: CancellationToken) {
        let handler = InstanceEntries { sync: &self };
        let watched = WatchedPrefix {
            prefix: self.dialect.instance_prefix(),
            feed: Some(Feed::Instances),
            pause: INSTANCES_PAUSE,
        };
        self.watch_prefix(watched, handler, stop).await;
    }
}

/// Returns the pause after `failures` earlier failures, with jitter so that
/// nodes don't return to the store together.
fn retry_pause(failures: u32) -> Duration {
    const JITTER: std::ops::Range<f64> = 0.75..1.25;
    let doubled = RETRY_PAUSE * (1 << failures.min(4));
    doubled
        .min(MAX_RETRY_PAUSE)
        .mul_f64(rand::random_range(JITTER))
}

fn newest_revision(entries: &[Entry]) -> i64 {
    entries.iter().map(|e| e.revision).max().unwrap_or(0)
}

fn into_entry(item: FeedItem) -> Option<Entry> {
    Some(Entry {
        key: item.key,
        value: item.value?.into_string().into_bytes(),
        revision: item.revision,
    })
}

fn into_change(item: FeedItem) -> Change {
    Change {
        key: item.key,
        revision: item.revision,
        kind: match item.value {
            Some(value) => ChangeKind::Put(value.into_string().into_bytes()),
            None => ChangeKind::Delete,
        },
    }
}
