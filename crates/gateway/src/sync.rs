//! Follows the platform's store: the configuration, instances, adapter
//! versions, and the nodes' keys.
//!
//! Each prefix is listed and then watched. When a watch fails, the prefix is
//! listed again, so that no change is missed even if the store compacted its
//! history. Nodes other than the coordinator of their zone use its change feeds
//! instead ([`crate::feeds`]) while it serves them.
//!
//! When the store's era rises, what a watch knows is void: it ends, and the prefix
//! is listed again, or requested from the coordinator. A position is only ever
//! used in its own era.

mod body_client;
mod feed_client;
mod instances;
mod operators;
mod publish;
mod source;

use crate::coordinator::CommandTx;
use crate::dialect::Dialect;
use crate::feeds::Feed;
use crate::metrics::Metrics;
use crate::peer::PeerClients;
use crate::state::Shared;
use futures::StreamExt as _;
use instances::InstanceEntries;
use operators::OperatorKeys;
use reedford_fleet::directory::Absence;
use reedford_fleet::transfer::Reception;
use reedford_fleet::{Era, Now};
use reedford_store::{Change, EraTracker, KeyValue, KvError, Listing, Position};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Pause between two reads of the watch on instances, whose entries change all
/// the time, as a share of the limit on staleness; it limits the rate of store
/// requests.
const INSTANCES_PAUSE_SHARE: f64 = 0.2;
/// Time for which the store is used directly after the coordinator failed to
/// serve a feed, as a share of the limit on staleness.
const DIRECT_PERIOD_SHARE: f64 = 0.4;
/// Keeps a node's state in step with the store.
#[derive(Debug)]
pub(crate) struct StoreSync<D, K> {
    pub(crate) dialect: Arc<D>,
    pub(crate) stores: StoreClients<K>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) commands: CommandTx,
    pub(crate) peers: Arc<PeerClients>,
    /// Connections that carry nothing but parts of bodies.
    pub(crate) body_peers: Arc<PeerClients>,
    /// Bodies of which some parts have been received.
    pub(crate) receptions: Mutex<BTreeMap<Feed, Reception>>,
    pub(crate) own_addr: SocketAddr,
    pub(crate) staleness_limit: Duration,
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
    /// Where the clients record the store's eras.
    pub eras: EraTracker,
}

/// A prefix of the store that is watched.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WatchedPrefix<'a> {
    pub(crate) prefix: &'a str,
    /// The coordinator's feed of this prefix.
    pub(crate) feed: Feed,
    /// Pause after each message that has changes.
    pub(crate) pause: Duration,
}

/// What a watch knows of its prefix.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    /// Position up to which the handler has all changes; revision 0 if it has
    /// none.
    position: Position,
    /// Whether the store has not responded since the last listing.
    store_lost: bool,
    /// Whether the store has discarded the changes after the last known revision.
    history_gone: bool,
    /// Whether the store was restored from a copy since the last listing.
    restored: bool,
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
    fn on_listing(&mut self, listing: Listing, absence: Absence);
    /// Handles one change, whose revision is of `era`.
    fn on_change(&mut self, change: Change, era: Era);
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
        let mut known = Known::default();
        let mut direct_until = Now::ZERO;
        let watching = async {
            loop {
                self.void_if_restored(watched, &mut known);
                let end = match self.wait_for_source(watched, direct_until).await {
                    Some(addr) if watched.feed == Feed::Operators => {
                        self.fetch_changes(addr, &mut known, &mut handler).await
                    }
                    Some(addr) => {
                        self.poll_coordinator(addr, watched, &mut known, &mut handler)
                            .await
                    }
                    None if self.take_or_await_turn().await => {
                        let until = direct_until;
                        self.watch_store(watched, &mut handler, &mut known, until)
                            .await
                    }
                    None => WatchEnd::SourceChanged,
                };
                match end {
                    WatchEnd::SourceChanged => {}
                    WatchEnd::CoordinatorFailed => {
                        let direct = self.staleness_limit.mul_f64(DIRECT_PERIOD_SHARE);
                        direct_until = self.shared.now() + direct;
                    }
                    WatchEnd::StoreFailed(error) if error.is_history_compacted() => {
                        tracing::info!(event = "history_gone", prefix = watched.prefix);
                        known.position = Position::default();
                        known.history_gone = true;
                    }
                    WatchEnd::StoreFailed(error) => {
                        self.on_store_lost(watched, &error, &mut known);
                    }
                }
            }
        };
        stop.run_until_cancelled(watching).await;
    }

    /// Drops what a watch knows of an earlier era of the store.
    fn void_if_restored(&self, watched: WatchedPrefix<'_>, known: &mut Known) {
        let era = self.shared.eras.newest();
        if known.position.revision == 0 || known.position.era == era {
            return;
        }
        tracing::warn!(event = "store_restored", prefix = watched.prefix, %era,
            known_era = %known.position.era, known_revision = known.position.revision);
        *known = Known {
            restored: true,
            ..Known::default()
        };
    }

    /// Records that the store responded.
    fn on_store_response(&self) {
        let now = self.shared.now();
        self.shared.lock().on_source_response(now);
        self.shared.store_retries.on_response();
    }

    /// Records that this node has all changes of operators' keys up to a position.
    fn on_operators_read(&self, position: Position) {
        let now = self.shared.now();
        let ended = self.shared.lock().operators_lag.on_read(position, now);
        if let Some(behind) = ended {
            tracing::info!(event = "operators_current", era = %position.era,
                revision = position.revision, behind_ms = behind.as_millis() as u64);
        }
    }

    fn on_store_lost(&self, watched: WatchedPrefix<'_>, error: &KvError, known: &mut Known) {
        let now = self.shared.now();
        self.shared.lock().connectivity.on_failure(now);
        self.shared.store_retries.on_failure(now);
        self.metrics.store_failure("watch");
        self.shared.feeds.withhold(watched.feed);
        if !known.store_lost {
            tracing::warn!(event = "store_lost", prefix = watched.prefix, %error);
            known.store_lost = true;
        }
    }

    /// Watches the store until a request fails or another source should be
    /// used.
    async fn watch_store<F>(
        &self,
        watched: WatchedPrefix<'_>,
        handler: &mut F,
        known: &mut Known,
        direct_until: Now,
    ) -> WatchEnd
    where
        F: KeyHandler,
    {
        let store = self.client(watched);
        // Such a node needs the response that is on its way, which may be large. It uses
        // short polls, so that a connection that is silent is noticed all the same.
        let is_behind = self.is_behind(watched);
        // A node that followed a coordinator knows all changes up to a revision. If it is
        // behind, a watch would deliver each version since, of which it needs the last one.
        let may_resume = known.position.revision > 0 && !is_behind && !known.store_lost;
        // The feeds of the coordinator begin with a listing, but for the operators' keys,
        // which a node keeps as it follows them.
        let feeds = &self.shared.feeds;
        let can_serve = may_resume
            && watched.feed == Feed::Operators
            && feeds.is_complete(watched.feed, known.position);
        let resumed = may_resume && (can_serve || !self.is_coordinator());
        let mut awaits_role = resumed;
        if !resumed && let Err(error) = self.list(watched, store, handler, known).await {
            return WatchEnd::StoreFailed(error);
        }
        let mut watch = match store
            .watch(watched.prefix, known.position.revision + 1)
            .await
        {
            Ok(watch) => watch,
            Err(error) => return WatchEnd::StoreFailed(error),
        };
        loop {
            let next = tokio::select! {
                next = watch.next() => next,
                () = self.wait_until_restored(known.position.era) => return WatchEnd::SourceChanged,
                () = self.wait_until_outdated(watched, known.position), if !is_behind => {
                    return WatchEnd::SourceChanged;
                }
                () = self.wait_until_coordinator(), if awaits_role => {
                    if !can_serve {
                        return WatchEnd::SourceChanged;
                    }
                    feeds.release(watched.feed);
                    awaits_role = false;
                    continue;
                }
            };
            match next {
                Some(Ok(changes)) if changes.era != known.position.era => {
                    return WatchEnd::SourceChanged;
                }
                Some(Ok(changes)) => {
                    known.position = known.position.max(changes.position());
                    known.history_gone = false;
                    self.on_store_response();
                    self.publish_changes(watched.feed, &changes);
                    let has_changes = !changes.changes.is_empty();
                    let era = changes.era;
                    for change in changes.changes {
                        handler.on_change(change, era);
                    }
                    handler.on_batch_end();
                    if watched.feed == Feed::Operators {
                        self.on_operators_read(known.position);
                    }
                    let client_changed = !Arc::ptr_eq(store, self.client(watched));
                    if client_changed || self.source(watched, direct_until).is_some() {
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

    /// Lists a prefix in the store. A listing of the coordinators' keys may be old,
    /// since the watch from its revision brings it up to date, unless the store no
    /// longer has that history.
    async fn list<F>(
        &self,
        watched: WatchedPrefix<'_>,
        store: &K,
        handler: &mut F,
        known: &mut Known,
    ) -> Result<(), KvError>
    where
        F: KeyHandler,
    {
        let sent_at = self.shared.now();
        let listing = match watched.feed {
            Feed::Members if !known.history_gone && !self.is_coordinator() => {
                store.list_stale(watched.prefix).await?
            }
            Feed::Members | Feed::Instances | Feed::Operators => store.list(watched.prefix).await?,
        };
        let position = listing.position();
        let store_lost = std::mem::take(&mut known.store_lost);
        if store_lost {
            tracing::info!(event = "store_regained", prefix = watched.prefix,
                era = %position.era, revision = position.revision);
        }
        let absence = if std::mem::take(&mut known.restored) {
            Absence::Restored
        } else if store_lost {
            Absence::Lapsed
        } else {
            Absence::Removed
        };
        self.on_store_response();
        if watched.feed == Feed::Operators {
            let bytes: usize = listing.entries.iter().map(|entry| entry.value.len()).sum();
            let took = self.shared.now().saturating_sub(sent_at);
            tracing::info!(event = "operators_listed", era = %position.era,
                revision = position.revision, bytes, ms = took.as_millis() as u64);
        }
        self.publish_listing(watched.feed, &listing, absence);
        handler.on_listing(listing, absence);
        handler.on_batch_end();
        known.position = position;
        if watched.feed == Feed::Operators {
            self.on_operators_read(position);
        }
        Ok(())
    }

    async fn take_or_await_turn(&self) -> bool {
        let retries = &self.shared.store_retries;
        retries.take_or_await_turn(&self.shared.clock).await
    }

    /// Watches the keys that operators write.
    pub(crate) async fn watch_operators(self: Arc<Self>, stop: CancellationToken) {
        let handler = OperatorKeys { sync: &self };
        let watched = WatchedPrefix {
            prefix: self.dialect.operator_prefix(),
            feed: Feed::Operators,
            pause: Duration::ZERO,
        };
        self.watch_prefix(watched, handler, stop).await;
    }

    /// Watches the instances' entries.
    pub(crate) async fn watch_instances(self: Arc<Self>, stop: CancellationToken) {
        let handler = InstanceEntries { sync: &self };
        let watched = WatchedPrefix {
            prefix: self.dialect.instance_prefix(),
            feed: Feed::Instances,
            pause: self.staleness_limit.mul_f64(INSTANCES_PAUSE_SHARE),
        };
        self.watch_prefix(watched, handler, stop).await;
    }
}
