//! Lists the other nodes when this one needs their connections to instances.

use crate::membership::{NODE_PREFIX, NodeRecord};
use crate::settings::GatewaySettings;
use crate::state::Shared;
use reedford_fleet::relays::RelayNode;
use reedford_store::KeyValue;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Pause after each listing.
const PAUSE: Duration = Duration::from_secs(1);

/// Lists nodes from the store.
#[derive(Debug)]
pub(crate) struct RelayNodes<K> {
    pub(crate) cfg: Arc<GatewaySettings>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) store: Arc<K>,
}

impl<K> RelayNodes<K>
where
    K: KeyValue,
{
    /// Runs until the node stops.
    pub(crate) async fn run(self, stop: CancellationToken) {
        let listing = async {
            loop {
                self.shared.relays_wanted.notified().await;
                self.list().await;
                sleep(PAUSE).await;
            }
        };
        stop.run_until_cancelled(listing).await;
    }

    async fn list(&self) {
        let entries = match self.store.list_stale(NODE_PREFIX).await {
            Ok(listing) => listing.entries,
            Err(error) => {
                tracing::info!(event = "nodes_unlisted", %error);
                return;
            }
        };
        let records = entries.iter().filter_map(|entry| {
            serde_json::from_slice::<NodeRecord>(&entry.value)
                .inspect_err(|error| {
                    tracing::warn!(event = "node_unreadable", key = %entry.key, %error);
                })
                .ok()
        });
        let others = records.filter(|record| record.node != self.cfg.node);
        let nodes: Vec<RelayNode> = others
            .map(|record| RelayNode {
                addr: record.addr,
                zone: record.zone,
                cores: record.cores,
            })
            .collect();
        let now = self.shared.now();
        tracing::info!(event = "nodes_listed", nodes = nodes.len());
        self.shared.lock().relays.set_nodes(nodes, now);
    }
}
