//! The platform's list of instances.

use crate::http::Endpoint;
use crate::kv::KvError;
use reedford_wire::instances::InstanceList;
use std::sync::Arc;

/// Client of the platform's list of instances.
#[derive(Clone, Debug)]
pub struct InstanceDirectory {
    endpoint: Arc<Endpoint>,
}

impl InstanceDirectory {
    /// Creates a client that uses `endpoint`.
    #[must_use]
    pub fn new(endpoint: Arc<Endpoint>) -> Self {
        Self { endpoint }
    }

    /// Reads the list. The platform updates it with a delay.
    ///
    /// # Errors
    /// Any [`KvError`].
    pub async fn read(&self) -> Result<InstanceList, KvError> {
        Ok(self.endpoint.get("/instances").await?.body)
    }
}
