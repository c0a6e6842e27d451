//! Clients of the platform, the targets and the peers.

use crate::peer::PeerClients;
use reedford_settings::{Settings, ms};
use reedford_store::{DocumentStore, Endpoint, EndpointConfig, HttpKeyValue, InstanceDirectory};
use reedford_targets::{TargetClient, Timeouts};
use std::sync::Arc;
use std::time::Duration;

/// Prefix of the store keys that hold the rules.
pub const RULES_PREFIX: &str = "reedford/rules";
/// Time without data after which a watch on the key-value service counts as
/// failed.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

/// The clients of an entry instance.
#[derive(Debug)]
pub(crate) struct Clients {
    pub(crate) kv: Arc<HttpKeyValue>,
    pub(crate) directory: InstanceDirectory,
    pub(crate) documents: DocumentStore<HttpKeyValue>,
    pub(crate) targets: Arc<TargetClient>,
    pub(crate) peers: PeerClients,
    endpoint: Arc<Endpoint>,
}

impl Clients {
    pub(crate) fn new(cfg: &Settings) -> Self {
        let endpoint = Arc::new(Endpoint::new(EndpointConfig {
            addresses: cfg.platform.clone(),
            connect_timeout: ms(cfg.timeouts.connect_ms),
            call_timeout: ms(cfg.timeouts.platform_ms),
            watch_timeout: WATCH_TIMEOUT,
        }));
        let kv = Arc::new(HttpKeyValue::new(Arc::clone(&endpoint)));
        let targets = TargetClient::new(Timeouts {
            connect: ms(cfg.timeouts.connect_ms),
            first_byte: ms(cfg.timeouts.first_byte_ms),
            progress: ms(cfg.timeouts.progress_ms),
        });
        Self {
            directory: InstanceDirectory::new(Arc::clone(&endpoint)),
            documents: DocumentStore::new(Arc::clone(&kv), RULES_PREFIX),
            kv,
            targets: Arc::new(targets),
            peers: PeerClients::new(ms(cfg.timeouts.connect_ms)),
            endpoint,
        }
    }

    /// Closes all connections and waits for their tasks.
    pub(crate) async fn close(&self) {
        self.targets.close().await;
        self.peers.close().await;
        self.endpoint.close().await;
    }
}
