//! How long claims are kept: they are bound to leases of the key-value
//! service, which deletes them when the lease ends.

use crate::clients::Clients;
use reedford_store::{KeyValue as _, LeaseId};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Least time for which a claim is kept.
const KEPT: Duration = Duration::from_secs(24 * 3_600);
/// Interval at which a new lease is taken for new claims.
const RENEWED: Duration = Duration::from_secs(3_600);
/// Pause after a failed call.
const PAUSE: Duration = Duration::from_secs(1);

/// Keeps `lease` set to one that lasts for [`KEPT`] at least.
pub(crate) async fn keep_lease(
    clients: Arc<Clients>,
    lease: watch::Sender<Option<LeaseId>>,
    stop: CancellationToken,
) {
    loop {
        let pause = match clients.kv.lease_grant(KEPT + RENEWED).await {
            Ok(granted) => {
                lease.send_replace(Some(granted.id));
                RENEWED
            }
            Err(error) => {
                tracing::debug!(event = "claim_lease_failed", %error);
                PAUSE
            }
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => (),
            () = stop.cancelled() => return,
        }
    }
}
