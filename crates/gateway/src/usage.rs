//! Reports the calls that this node charged itself to a coordinator: that of its own
//! zone, or another one while its own can't be reached.

use crate::coordinator::CommandTx;
use crate::peer::PeerClients;
use crate::state::Shared;
use reedford_fleet::quota::Usage;
use reedford_fleet::workspaces::WorkspaceName;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Time for which charges are collected before they are reported.
const COLLECTION_TIME: Duration = Duration::from_millis(200);
/// Timeout for one report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after a report that reached no coordinator.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Coordinators that are tried for one report.
const MAX_COORDINATORS: usize = 3;

/// Reports charges to coordinators.
#[derive(Debug)]
pub(crate) struct UsageReporter {
    pub(crate) shared: Arc<Shared>,
    pub(crate) peers: Arc<PeerClients>,
    pub(crate) commands: CommandTx,
    pub(crate) own_addr: SocketAddr,
}

/// Workspaces whose calls have to be refused, and for how long.
type Refused = Vec<(WorkspaceName, Duration)>;

impl UsageReporter {
    /// Runs until the node stops.
    pub(crate) async fn run(self, stop: CancellationToken) {
        let reporting = async {
            loop {
                self.shared.usage_recorded.notified().await;
                sleep(COLLECTION_TIME).await;
                while !self.report().await {
                    sleep(RETRY_PAUSE).await;
                }
            }
        };
        stop.run_until_cancelled(reporting).await;
    }

    /// Reports what is not reported yet; returns whether a coordinator has charged it.
    async fn report(&self) -> bool {
        let usage = {
            let mut state = self.shared.lock();
            if !state.quotas.has_unreported() {
                return true;
            }
            state.quotas.take_usage()
        };
        let addrs = self.shared.lock().coordinator_addrs(MAX_COORDINATORS);
        for addr in addrs {
            if let Some(refused) = self.report_to(addr, usage.clone()).await {
                let now = self.shared.now();
                self.shared.lock().quotas.on_reported(refused, now);
                return true;
            }
        }
        tracing::info!(event = "usage_unreported", workspaces = usage.used.len());
        self.shared.lock().quotas.on_unreported(usage);
        false
    }

    /// Reports to a coordinator; `None` if it did not charge the report.
    async fn report_to(&self, addr: SocketAddr, usage: Usage) -> Option<Refused> {
        if addr == self.own_addr {
            return self.commands.usage(usage).await;
        }
        let reported = self
            .peers
            .call(addr, REPORT_TIMEOUT, |peer, cx| async move {
                peer.usage(cx, usage).await
            })
            .await;
        reported
            .inspect_err(|error| tracing::debug!(event = "usage_unanswered", %addr, %error))
            .ok()
            .flatten()
    }
}
