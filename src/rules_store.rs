//! The store of the rules, which is part of the platform's service.

use crate::flags::Addresses;
use reedford_serve::RULES_PREFIX;
use reedford_store::{
    ApplyOutcome, Document, DocumentError, DocumentStore, Endpoint, EndpointConfig, HttpKeyValue,
};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time limit of connecting to an address of the platform.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time limit of one call to the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two attempts to learn the outcome of a write.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// The rules in the store of the platform's service.
pub(crate) struct RulesStore {
    endpoint: Arc<Endpoint>,
    documents: DocumentStore<HttpKeyValue>,
}

impl RulesStore {
    /// Creates a client; connections are opened when they are needed.
    pub(crate) fn new(addresses: Addresses) -> Self {
        let endpoint = Arc::new(Endpoint::new(EndpointConfig {
            addresses: addresses.0,
            connect_timeout: CONNECT_TIMEOUT,
            call_timeout: CALL_TIMEOUT,
            watch_timeout: CALL_TIMEOUT,
        }));
        let kv = Arc::new(HttpKeyValue::new(Arc::clone(&endpoint)));
        Self {
            endpoint,
            documents: DocumentStore::new(kv, RULES_PREFIX),
        }
    }

    /// Returns the latest stored rules; `None` until rules are applied.
    ///
    /// # Errors
    /// Returns the errors of the store.
    pub(crate) async fn load(&self) -> Result<Option<Document>, DocumentError> {
        self.documents.load().await
    }

    /// Stores `text` as the next revision if `from` is the latest. While the outcome
    /// is unknown, repeats the same write until `deadline`; the token of the write
    /// makes the repetition safe.
    ///
    /// # Errors
    /// Returns the errors of the store; the text was then not accepted.
    pub(crate) async fn apply(
        &self,
        from: u64,
        text: &str,
        deadline: Instant,
    ) -> Result<ApplyOutcome, DocumentError> {
        let token = format!("{:032x}", rand::random::<u128>());
        let mut outcome = self.documents.apply(from, text, &token).await?;
        while outcome == ApplyOutcome::StillUnknown && Instant::now() < deadline {
            sleep(RETRY_INTERVAL).await;
            // An error of a later attempt says nothing about the earlier attempts.
            if let Ok(later) = self.documents.apply(from, text, &token).await {
                outcome = later;
            }
        }
        Ok(outcome)
    }

    /// Closes all connections.
    pub(crate) async fn close(self) {
        self.endpoint.close().await;
    }
}
