//! Reads from the store which software versions serve.
//!
//! The list of instances that a node knows may be old: it may be cut off, may have stood
//! still, or may follow a coordinator that is. What is read here is at least as new as the
//! query.

use crate::dialect::{Dialect, StoredItem};
use crate::stream_record::{StoredStreams, VERSIONS_PREFIX};
use reedford_fleet::stream_versions::VersionSets;
use reedford_store::{KeyValue, KvError};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until, timeout};
use tokio_util::sync::CancellationToken;

/// Timeout for a read.
const READ_TIMEOUT: Duration = Duration::from_millis(600);
/// Shortest time between the beginnings of two reads; queries wait for the next one.
const READ_INTERVAL: Duration = Duration::from_millis(100);

/// The response is `None` if the store can't be read.
type Query = oneshot::Sender<Option<Arc<VersionSets>>>;

/// Queries the versions that serve.
#[derive(Clone, Debug)]
pub(crate) struct ServingVersionsTx(mpsc::UnboundedSender<Query>);

/// Responds to the queries.
#[derive(Debug)]
pub(crate) struct ServingVersionsTask<D, K> {
    dialect: Arc<D>,
    store: Arc<K>,
    queries: mpsc::UnboundedReceiver<Query>,
}

/// Creates the task and its queue of queries.
pub(crate) fn serving_versions<D, K>(
    dialect: Arc<D>,
    store: Arc<K>,
) -> (ServingVersionsTx, ServingVersionsTask<D, K>) {
    let (tx, queries) = mpsc::unbounded_channel();
    let task = ServingVersionsTask {
        dialect,
        store,
        queries,
    };
    (ServingVersionsTx(tx), task)
}

impl ServingVersionsTx {
    /// Returns the versions by service that served within the lifetime of a stream, as far
    /// as the store has them; `None` if it can't be read in time.
    pub(crate) async fn read(&self) -> Option<Arc<VersionSets>> {
        let (tx, rx) = oneshot::channel();
        self.0.send(tx).ok()?;
        rx.await.ok().flatten()
    }
}

impl<D, K> ServingVersionsTask<D, K>
where
    D: Dialect,
    K: KeyValue,
{
    /// Runs until the node stops.
    pub(crate) async fn run(mut self, stop: CancellationToken) {
        let running = async {
            let mut next_read = Instant::now();
            while let Some(first) = self.queries.recv().await {
                sleep_until(next_read).await;
                next_read = Instant::now() + READ_INTERVAL;
                let mut queries = vec![first];
                while let Ok(query) = self.queries.try_recv() {
                    queries.push(query);
                }
                let versions = self.try_read().await.map(Arc::new);
                for query in queries {
                    // A caller that has left does not wait for the response.
                    let _ = query.send(versions.clone());
                }
            }
        };
        stop.run_until_cancelled(running).await;
    }

    async fn try_read(&self) -> Option<VersionSets> {
        let read = timeout(READ_TIMEOUT, self.read()).await;
        match read {
            Ok(Ok(versions)) => Some(versions),
            Ok(Err(error)) => {
                tracing::info!(event = "versions_unread", %error);
                None
            }
            Err(_elapsed) => {
                tracing::info!(event = "versions_unread", error = "timeout");
                None
            }
        }
    }

    /// Reads the entries of the instances, and the records of those that served lately.
    async fn read(&self) -> Result<VersionSets, KvError> {
        let prefix = self.dialect.instance_prefix();
        let (entries, records) =
            tokio::try_join!(self.store.list(prefix), self.store.list(VERSIONS_PREFIX))?;
        let mut stored = StoredStreams::default();
        for record in records.entries {
            // Which versions served is not known then.
            let added = stored.add(&record.key, &record.value);
            added.map_err(|error| KvError::Unknown {
                message: format!("{}: {error}", record.key).into(),
            })?;
        }
        let mut versions = stored.versions;
        for entry in entries.entries {
            // Any other entry names no instance.
            if let Ok(StoredItem::Instance(instance)) =
                self.dialect.parse_stored(&entry.key, &entry.value)
            {
                let serving = versions.entry(instance.service).or_default();
                serving.insert(instance.software);
            }
        }
        tracing::info!(event = "versions_read", services = versions.len());
        Ok(versions)
    }
}
