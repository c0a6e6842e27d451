//! Retention of claims. Claims are bound to a lease of the key-value service,
//! which deletes them when the lease ends.

use crate::clients::Clients;
use reedford_store::{KeyValue as _, LeaseId};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Shortest time that a claim is kept.
const CLAIM_RETENTION: Duration = Duration::from_secs(24 * 3_600);
/// Interval at which new claims are switched to a new lease.
const LEASE_INTERVAL: Duration = Duration::from_secs(3_600);
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Grants a new lease at each [`LEASE_INTERVAL`] and sets `lease` to it, so
/// that new claims are kept for at least [`CLAIM_RETENTION`].
pub(crate) async fn rotate_claim_lease(
    clients: Arc<Clients>,
    lease: watch::Sender<Option<LeaseId>>,
    stop: CancellationToken,
) {
    loop {
        let delay = match clients
            .kv
            .lease_grant(CLAIM_RETENTION + LEASE_INTERVAL)
            .await
        {
            Ok(granted) => {
                lease.send_replace(Some(granted.id));
                LEASE_INTERVAL
            }
            Err(error) => {
                tracing::debug!(event = "claim_lease_failed", %error);
                RETRY_DELAY
            }
        };
        tokio::select! {
            () = tokio::time::sleep(delay) => (),
            () = stop.cancelled() => return,
        }
    }
}
