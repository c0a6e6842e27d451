//! Follows the platform's store: configuration, instances, adapter versions,
//! and the nodes' own keys.
//!
//! Each prefix is listed and then watched. When a watch fails, the prefix is
//! listed again, so that nothing is missed however the history was cut.

use crate::coordinator::{Command, CommandTx};
use crate::metrics::Metrics;
use crate::ports::{Dialect, StoredItem};
use crate::state::Shared;
use futures::StreamExt as _;
use reedford_fleet::config::{Configuration, RouteTable};
use reedford_fleet::directory::DirectoryChange;
use reedford_fleet::scheduler::AdapterKey;
use reedford_store::{Change, ChangeKind, Entry, KeyValue, KvError, Listing};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Pause before a prefix is listed again after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Pause between two answers of the watch on instances, whose entries change
/// all the time; it bounds the calls to the store.
const INSTANCES_PAUSE: Duration = Duration::from_millis(400);

/// Follows the store.
#[derive(Debug)]
pub(crate) struct Sync<D, K> {
    pub(crate) dialect: Arc<D>,
    pub(crate) kv: Arc<K>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) commands: CommandTx,
}

/// Takes what a prefix holds.
pub(crate) trait Follower {
    /// Takes all keys of the prefix.
    fn on_listing(&mut self, entries: Vec<Entry>);
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
    /// Follows a prefix until `stop`.
    pub(crate) async fn follow<F>(
        &self,
        prefix: &str,
        pause: Duration,
        mut follower: F,
        stop: CancellationToken,
    ) where
        F: Follower,
    {
        let mut lost = false;
        let following = async {
            loop {
                let error = self
                    .follow_once(prefix, pause, &mut follower, &mut lost)
                    .await;
                self.metrics.store_failure("watch");
                if !lost {
                    tracing::warn!(event = "store_lost", prefix, %error);
                    lost = true;
                }
                sleep(RETRY_PAUSE).await;
            }
        };
        stop.run_until_cancelled(following).await;
    }

    /// Follows until a call fails.
    async fn follow_once<F>(
        &self,
        prefix: &str,
        pause: Duration,
        follower: &mut F,
        lost: &mut bool,
    ) -> KvError
    where
        F: Follower,
    {
        let Listing { revision, entries } = match self.kv.list(prefix).await {
            Ok(listing) => listing,
            Err(error) => return error,
        };
        if std::mem::take(lost) {
            tracing::info!(event = "store_regained", prefix, revision);
        }
        follower.on_listing(entries);
        follower.on_settled();
        let mut watch = match self.kv.watch(prefix, revision + 1).await {
            Ok(watch) => watch,
            Err(error) => return error,
        };
        loop {
            match watch.next().await {
                Some(Ok(changes)) => {
                    let any = !changes.changes.is_empty();
                    for change in changes.changes {
                        follower.on_change(change);
                    }
                    follower.on_settled();
                    if any {
                        sleep(pause).await;
                    }
                }
                Some(Err(error)) => return error,
                None => {
                    return KvError::Unknown {
                        message: "the watch ended".into(),
                    };
                }
            }
        }
    }

    /// Follows what operators write.
    pub(crate) async fn operators(self: Arc<Self>, stop: CancellationToken) {
        let follower = Operators { sync: &self };
        let prefix = self.dialect.operator_prefix();
        self.follow(prefix, Duration::ZERO, follower, stop).await;
    }

    /// Follows the instances.
    pub(crate) async fn instances(self: Arc<Self>, stop: CancellationToken) {
        let follower = Instances { sync: &self };
        let prefix = self.dialect.instance_prefix();
        self.follow(prefix, INSTANCES_PAUSE, follower, stop).await;
    }
}

struct Operators<'a, D, K> {
    sync: &'a Sync<D, K>,
}

impl<D, K> Operators<'_, D, K>
where
    D: Dialect,
{
    fn take(&self, key: &str, value: &[u8]) {
        match self.sync.dialect.stored(key, value) {
            Ok(StoredItem::Configuration(config)) => self.configure(*config),
            Ok(StoredItem::AdapterVersion {
                model,
                adapter,
                version,
            }) => {
                tracing::info!(event = "adapter_version", %model, %adapter, version);
                let key = AdapterKey { model, adapter };
                let mut state = self.sync.shared.lock();
                let known = state.versions.entry(key).or_insert(version);
                *known = (*known).max(version);
            }
            Ok(StoredItem::Instance(_)) => {}
            Err(error) => tracing::warn!(event = "operator_key_unreadable", key, %error),
        }
    }

    /// Puts a configuration in force unless a newer one is.
    fn configure(&self, config: Configuration) {
        let version = config.version;
        let routes = config.routes.len();
        let mut state = self.sync.shared.lock();
        let known = state.routes.as_ref().map(|r| r.config().version);
        if known.is_some_and(|known| known >= version) {
            return;
        }
        state.routes = Some(Arc::new(RouteTable::new(config)));
        drop(state);
        tracing::info!(
            event = "configuration",
            version,
            routes,
            before = known.unwrap_or(0)
        );
    }
}

impl<D, K> Follower for Operators<'_, D, K>
where
    D: Dialect,
{
    fn on_listing(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            self.take(&entry.key, &entry.value);
        }
    }

    fn on_change(&mut self, change: Change) {
        if let ChangeKind::Put(value) = change.kind {
            self.take(&change.key, &value);
        }
    }

    fn on_settled(&mut self) {
        self.sync.commands.send(Command::Refresh);
    }
}

struct Instances<'a, D, K> {
    sync: &'a Sync<D, K>,
}

impl<D, K> Instances<'_, D, K>
where
    D: Dialect,
{
    fn read(&self, key: &str, value: &[u8]) -> Option<reedford_fleet::directory::Instance> {
        match self.sync.dialect.stored(key, value) {
            Ok(StoredItem::Instance(instance)) => Some(instance),
            Ok(_) => None,
            Err(error) => {
                tracing::debug!(event = "instance_unreadable", key, %error);
                None
            }
        }
    }

    fn apply(&self, changes: Vec<DirectoryChange>) {
        let mut state = self.sync.shared.lock();
        for change in changes {
            match change {
                DirectoryChange::Started(instance) => {
                    state.health.forget(&instance);
                    state.spread.forget(&instance);
                    tracing::info!(event = "instance_started", %instance);
                }
                DirectoryChange::Leaving(instance) => {
                    tracing::info!(event = "instance_leaving", %instance);
                }
                DirectoryChange::Gone(instance) => {
                    state.health.forget(&instance);
                    state.spread.forget(&instance);
                    tracing::info!(event = "instance_gone", %instance);
                }
            }
        }
    }
}

impl<D, K> Follower for Instances<'_, D, K>
where
    D: Dialect,
{
    fn on_listing(&mut self, entries: Vec<Entry>) {
        let listed = entries
            .iter()
            .filter_map(|entry| self.read(&entry.key, &entry.value))
            .collect();
        let now = self.sync.shared.now();
        let mut state = self.sync.shared.lock();
        let changes = state.directory.on_listing(listed, now);
        state.listed = true;
        drop(state);
        self.apply(changes);
    }

    fn on_change(&mut self, change: Change) {
        let changed = match change.kind {
            ChangeKind::Put(value) => {
                let Some(instance) = self.read(&change.key, &value) else {
                    return;
                };
                self.sync.shared.lock().directory.on_entry(instance)
            }
            ChangeKind::Delete => {
                let Some(id) = self.sync.dialect.instance_of(&change.key) else {
                    return;
                };
                self.sync.shared.lock().directory.on_removed(id)
            }
        };
        self.apply(changed.into_iter().collect());
    }

    fn on_settled(&mut self) {
        let now = self.sync.shared.now();
        let gone = self.sync.shared.lock().directory.expire(now);
        self.apply(gone);
        self.sync.commands.send(Command::Refresh);
    }
}
