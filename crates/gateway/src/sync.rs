//! Follows the platform's store: configuration, instances, adapter versions,
//! and the nodes' own keys.
//!
//! Each prefix is listed and then watched. When a watch fails, the prefix is
//! listed again, so that nothing is missed however the history was cut.

mod instances;
mod operators;

use crate::coordinator::CommandTx;
use crate::feeds::{Aside, Feed, FeedAnswer, FeedItem};
use crate::metrics::Metrics;
use crate::peer::PeerClients;
use crate::ports::{Dialect, StoredItem};
use crate::state::Shared;
use futures::StreamExt as _;
use instances::Instances;
use operators::Operators;
use reedford_fleet::Now;
use reedford_fleet::directory::Absence;
use reedford_store::{Change, ChangeKind, Changes, Entry, KeyValue, KvError, Listing};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

/// Pause before a prefix is listed again after a failure; doubles with each
/// further one, because every call to the store costs, refused ones too.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Longest such pause; with it a change is still known in less than the two
/// seconds that platforms allow after the store is back.
const LONGEST_RETRY_PAUSE: Duration = Duration::from_millis(900);
/// Pause between two answers of the watch on instances, whose entries change
/// all the time; it bounds the calls to the store.
const INSTANCES_PAUSE: Duration = Duration::from_millis(400);

/// Time for the coordinator to answer a question for news, which it holds for
/// less than half a second.
const NEWS_TIMEOUT: Duration = Duration::from_millis(900);
/// Time for which the store is asked after a coordinator gave no answer.
const DIRECT_TIME: Duration = Duration::from_millis(1_000);
/// Time for which a watch may lag behind what another node told of operators'
/// keys before it is given up.
const OPERATORS_LAG: Duration = Duration::from_millis(200);

/// Follows the store.
#[derive(Debug)]
pub(crate) struct Sync<D, K> {
    pub(crate) dialect: Arc<D>,
    pub(crate) stores: Stores<K>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) commands: CommandTx,
    pub(crate) peers: Arc<PeerClients>,
    pub(crate) own: SocketAddr,
}

/// Clients of the store that differ in how long their watches wait.
#[derive(Debug)]
pub struct Stores<K> {
    /// Its watches return within half a second, so that silence shows soon.
    pub quick: Arc<K>,
    /// Its watches wait some seconds, for keys that change seldom.
    pub steady: Arc<K>,
    /// Its watches wait long, for keys of whose changes another node tells.
    pub patient: Arc<K>,
}

/// A part of the store that is followed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Part<'a> {
    pub(crate) prefix: &'a str,
    /// Whether the coordinator passes it on.
    pub(crate) feed: Option<Feed>,
    /// Pause after each word that has changes.
    pub(crate) pause: Duration,
}

/// Why following a part ended.
enum Ended {
    /// A call to the store failed.
    Store(KvError),
    /// The coordinator did not tell.
    Coordinator,
    /// There is a better source now.
    Switch,
}

/// Takes what a prefix holds.
pub(crate) trait Follower {
    /// Takes all keys of the prefix.
    fn on_listing(&mut self, entries: Vec<Entry>, absence: Absence);
    /// Takes one change.
    fn on_change(&mut self, change: Change);
    /// Called after each listing and each group of changes.
    fn on_settled(&mut self);
}

impl<D, K> Sync<D, K>
where
    D: Dialect,
    K: KeyValue,
{
    /// Follows a part until `stop`.
    pub(crate) async fn follow<F>(&self, part: Part<'_>, mut follower: F, stop: CancellationToken)
    where
        F: Follower,
    {
        let mut lost = false;
        let mut failures = 0;
        let mut direct_until = Now::ZERO;
        let following = async {
            loop {
                let ended = match self.source(part, direct_until) {
                    Some((addr, feed)) => self.follow_node(addr, feed, part, &mut follower).await,
                    None => {
                        let until = direct_until;
                        let ended = self
                            .follow_store(part, &mut follower, &mut lost, until)
                            .await;
                        if !lost {
                            failures = 0;
                        }
                        ended
                    }
                };
                match ended {
                    Ended::Switch => {}
                    Ended::Coordinator => direct_until = self.shared.now() + DIRECT_TIME,
                    Ended::Store(error) if error.is_history_compacted() => {
                        tracing::info!(event = "history_gone", prefix = part.prefix);
                    }
                    Ended::Store(error) => {
                        self.on_store_lost(part, &error, &mut lost);
                        sleep(retry_pause(failures)).await;
                        failures += 1;
                    }
                }
            }
        };
        stop.run_until_cancelled(following).await;
    }

    /// The coordinator that tells a part; `None` to ask the store.
    fn source(&self, part: Part<'_>, direct_until: Now) -> Option<(SocketAddr, Feed)> {
        let feed = part.feed?;
        if self.shared.now() < direct_until {
            return None;
        }
        let state = self.shared.lock();
        let addr = state.role.holder()?.addr;
        (addr != self.own).then_some((addr, feed))
    }

    fn on_store_lost(&self, part: Part<'_>, error: &KvError, lost: &mut bool) {
        let now = self.shared.now();
        self.shared.lock().contact.on_failure(now);
        self.metrics.store_failure("watch");
        if let Some(feed) = part.feed {
            self.shared.feeds.on_lost(feed);
        }
        if !*lost {
            tracing::warn!(event = "store_lost", prefix = part.prefix, %error);
            *lost = true;
        }
    }

    /// Follows the store itself until a call fails or a coordinator can tell.
    async fn follow_store<F>(
        &self,
        part: Part<'_>,
        follower: &mut F,
        lost: &mut bool,
        direct_until: Now,
    ) -> Ended
    where
        F: Follower,
    {
        let kv = self.store(part);
        let Listing { revision, entries } = match kv.list(part.prefix).await {
            Ok(listing) => listing,
            Err(error) => return Ended::Store(error),
        };
        let absence = if std::mem::take(lost) {
            tracing::info!(event = "store_regained", prefix = part.prefix, revision);
            Absence::Lapsed
        } else {
            Absence::Removed
        };
        self.shared.lock().contact.on_success();
        self.publish_listing(part, revision, &entries, absence);
        follower.on_listing(entries, absence);
        follower.on_settled();
        let mut watch = match kv.watch(part.prefix, revision + 1).await {
            Ok(watch) => watch,
            Err(error) => return Ended::Store(error),
        };
        let mut seen = revision;
        loop {
            let next = tokio::select! {
                next = watch.next() => next,
                () = self.outdated(part, seen) => return Ended::Switch,
            };
            match next {
                Some(Ok(changes)) => {
                    seen = seen.max(changes.revision);
                    self.shared.lock().contact.on_success();
                    self.publish_changes(part, &changes);
                    let any = !changes.changes.is_empty();
                    for change in changes.changes {
                        follower.on_change(change);
                    }
                    follower.on_settled();
                    let other = !Arc::ptr_eq(kv, self.store(part));
                    if other || self.source(part, direct_until).is_some() {
                        return Ended::Switch;
                    }
                    if any {
                        sleep(part.pause).await;
                    }
                }
                Some(Err(error)) => return Ended::Store(error),
                None => {
                    return Ended::Store(KvError::Unknown {
                        message: "the watch ended".into(),
                    });
                }
            }
        }
    }

    /// The client for a part: the quick one for instances, whose watch shows
    /// that the store answers, and the patient one for operators' keys while a
    /// coordinator tells of their changes.
    fn store(&self, part: Part<'_>) -> &Arc<K> {
        let instances = Part {
            feed: Some(Feed::Instances),
            ..part
        };
        let told = self.source(instances, Now::ZERO).is_some();
        match part.feed {
            Some(Feed::Instances) => &self.stores.quick,
            None if told => &self.stores.patient,
            Some(Feed::Members) | None => &self.stores.steady,
        }
    }

    /// Ends when a watch on operators' keys lags behind what another node told.
    async fn outdated(&self, part: Part<'_>, seen: i64) {
        if part.feed.is_some() {
            return std::future::pending().await;
        }
        let mut told = self.shared.operators_told.subscribe();
        loop {
            if *told.borrow_and_update() > seen {
                sleep(OPERATORS_LAG).await;
                return;
            }
            if told.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    fn publish_listing(&self, part: Part<'_>, revision: i64, entries: &[Entry], absence: Absence) {
        let now = self.shared.now();
        match part.feed {
            Some(feed) => {
                let essence = |value: &[u8]| self.essence(feed, value);
                self.shared
                    .feeds
                    .on_listing(feed, revision, entries, essence, absence, now);
            }
            None => self.shared.feeds.on_operators(newest(entries)),
        }
    }

    fn publish_changes(&self, part: Part<'_>, changes: &Changes) {
        let now = self.shared.now();
        match part.feed {
            Some(feed) => {
                let essence = |value: &[u8]| self.essence(feed, value);
                let revision = changes.revision;
                self.shared
                    .feeds
                    .on_changes(feed, revision, &changes.changes, essence, now);
            }
            None => {
                let newest = changes.changes.iter().map(|c| c.revision).max();
                if let Some(newest) = newest {
                    self.shared.feeds.on_operators(newest);
                }
            }
        }
    }

    /// Tells changes that other nodes need from heartbeats and the like.
    fn essence(&self, feed: Feed, value: &[u8]) -> u64 {
        match feed {
            Feed::Members => xxh3_64(value),
            Feed::Instances => match self.dialect.stored(&self.any_instance(), value) {
                Ok(StoredItem::Instance(mut instance)) => {
                    instance.models.clear();
                    xxh3_64(format!("{instance:?}").as_bytes())
                }
                Ok(_) | Err(_) => 0,
            },
        }
    }

    fn any_instance(&self) -> String {
        format!("{}any", self.dialect.instance_prefix())
    }

    /// Follows what the coordinator tells.
    async fn follow_node<F>(
        &self,
        addr: SocketAddr,
        feed: Feed,
        part: Part<'_>,
        follower: &mut F,
    ) -> Ended
    where
        F: Follower,
    {
        let mut after = 0;
        loop {
            let operators = *self.shared.operators_told.borrow();
            let answer = self
                .peers
                .call(addr, NEWS_TIMEOUT, |peer, cx| async move {
                    peer.news(cx, feed, after, operators).await
                })
                .await;
            {
                let now = self.shared.now();
                let mut state = self.shared.lock();
                match &answer {
                    Ok(_) => state.contact.on_success(),
                    Err(_) => state.contact.on_failure(now),
                }
            }
            let any = match answer {
                Ok(FeedAnswer::Listing {
                    revision,
                    items,
                    lapsed,
                    aside,
                }) => {
                    after = revision;
                    self.on_aside(aside);
                    let absence = if lapsed {
                        Absence::Lapsed
                    } else {
                        Absence::Removed
                    };
                    let entries = items.into_iter().filter_map(entry).collect();
                    follower.on_listing(entries, absence);
                    true
                }
                Ok(FeedAnswer::Changes {
                    revision,
                    items,
                    aside,
                }) => {
                    after = revision;
                    self.on_aside(aside);
                    let any = !items.is_empty();
                    items
                        .into_iter()
                        .map(change)
                        .for_each(|c| follower.on_change(c));
                    any
                }
                Ok(FeedAnswer::Unknown) => {
                    tracing::info!(event = "feed_unknown", prefix = part.prefix, %addr);
                    return Ended::Coordinator;
                }
                Err(error) => {
                    tracing::info!(event = "feed_lost", prefix = part.prefix, %addr, %error);
                    return Ended::Coordinator;
                }
            };
            follower.on_settled();
            if self
                .source(part, Now::ZERO)
                .is_none_or(|(now, _)| now != addr)
            {
                return Ended::Switch;
            }
            if any {
                sleep(part.pause).await;
            }
        }
    }

    fn on_aside(&self, aside: Aside) {
        if aside.nodes > 0 {
            self.shared.lock().budget.set_node_count(aside.nodes);
        }
        let revision = aside.operators;
        self.shared.operators_told.send_if_modified(|known| {
            let newer = *known < revision;
            *known = (*known).max(revision);
            newer
        });
    }

    /// Follows what operators write.
    pub(crate) async fn operators(self: Arc<Self>, stop: CancellationToken) {
        let follower = Operators { sync: &self };
        let part = Part {
            prefix: self.dialect.operator_prefix(),
            feed: None,
            pause: Duration::ZERO,
        };
        self.follow(part, follower, stop).await;
    }

    /// Follows the instances.
    pub(crate) async fn instances(self: Arc<Self>, stop: CancellationToken) {
        let follower = Instances { sync: &self };
        let part = Part {
            prefix: self.dialect.instance_prefix(),
            feed: Some(Feed::Instances),
            pause: INSTANCES_PAUSE,
        };
        self.follow(part, follower, stop).await;
    }
}

/// Pause after so many failures before; spread, so that nodes don't come back
/// to the store together.
fn retry_pause(failures: u32) -> Duration {
    const SPREAD: std::ops::Range<f64> = 0.75..1.25;
    let doubled = RETRY_PAUSE * (1 << failures.min(4));
    doubled
        .min(LONGEST_RETRY_PAUSE)
        .mul_f64(rand::random_range(SPREAD))
}

fn newest(entries: &[Entry]) -> i64 {
    entries.iter().map(|e| e.revision).max().unwrap_or(0)
}

fn entry(item: FeedItem) -> Option<Entry> {
    Some(Entry {
        key: item.key,
        value: item.value?.into_string().into_bytes(),
        revision: item.revision,
    })
}

fn change(item: FeedItem) -> Change {
    Change {
        key: item.key,
        revision: item.revision,
        kind: match item.value {
            Some(value) => ChangeKind::Put(value.into_string().into_bytes()),
            None => ChangeKind::Delete,
        },
    }
}
