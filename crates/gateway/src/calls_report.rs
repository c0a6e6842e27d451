//! Reports this node's calls to new coordinators, which know nothing of the calls
//! that their predecessors granted.

use crate::coordinator::{Command, CommandTx};
use crate::peer::{CallsReport, PeerClients, ReportedCall, StreamRecord};
use crate::state::{Shared, State};
use reedford_fleet::ownership::{Fence, Holder};
use reedford_fleet::{Now, ZoneId};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Timeout for one report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Attempts to report to a node that does not know that it is the coordinator.
const MAX_ATTEMPTS: u32 = 3;
/// Pause between these attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// Age at which a recent adapter is no longer reported.
const MAX_RECENT_AGE: Duration = Duration::from_secs(20);
/// Maximum number of recent adapters in a report.
const MAX_RECENT: usize = 64;

/// Maximum number of streams in a report.
const MAX_STREAMS: usize = 512;

/// Sends a report to each new coordinator.
#[derive(Debug)]
pub(crate) struct CallsReporter {
    pub(crate) shared: Arc<Shared>,
    pub(crate) peers: Arc<PeerClients>,
    pub(crate) commands: CommandTx,
    pub(crate) own_addr: SocketAddr,
}

impl CallsReporter {
    /// Runs until the node stops.
    pub(crate) async fn run(self, stop: CancellationToken) {
        let mut reported = BTreeMap::new();
        let reporting = async {
            loop {
                let changed = self.shared.holder_changed.notified();
                let mut changed = std::pin::pin!(changed);
                changed.as_mut().enable();
                let due = self.new_coordinators(&mut reported);
                let reports = due
                    .into_iter()
                    .map(|(zone, holder)| self.report(zone, holder));
                futures::future::join_all(reports).await;
                changed.await;
            }
        };
        stop.run_until_cancelled(reporting).await;
    }

    /// Returns the coordinators that have not been reported to.
    fn new_coordinators(&self, reported: &mut BTreeMap<ZoneId, Fence>) -> Vec<(ZoneId, Holder)> {
        let state = self.shared.lock();
        let own = state.role.holder().map(|h| (&state.zone, h));
        let holders = state.other_coordinators.iter().chain(own);
        holders
            .filter(|(zone, holder)| {
                let before = reported.insert((*zone).clone(), holder.fence);
                before.is_none_or(|fence| fence < holder.fence)
            })
            .map(|(zone, holder)| (zone.clone(), holder.clone()))
            .collect()
    }

    async fn report(&self, zone: ZoneId, holder: Holder) {
        let now = self.shared.now();
        let report = calls_report(&self.shared.lock(), &zone, now);
        if report.running.is_empty() && report.recent.is_empty() && report.streams.is_empty() {
            return;
        }
        if holder.addr == self.own_addr {
            self.commands.send(Command::Calls(report));
            return;
        }
        for attempt in 0..MAX_ATTEMPTS {
            if attempt > 0 {
                sleep(RETRY_PAUSE).await;
            }
            let report = report.clone();
            let adopted = self
                .peers
                .call(holder.addr, REPORT_TIMEOUT, |peer, cx| async move {
                    peer.calls(cx, report).await
                })
                .await;
            match adopted {
                Ok(true) => return,
                // The new coordinator may not know of its role yet.
                Ok(false) => {}
                Err(error) => {
                    tracing::info!(event = "calls_unreported", %zone, addr = %holder.addr, %error);
                    return;
                }
            }
        }
    }
}

/// Returns the origins of recent streams that the coordinator of a zone records.
fn stream_records(state: &State, zone: &str) -> Vec<StreamRecord> {
    let recorded =
        |attempt: &str| zone == &*state.zone || state.second_recording_zone(attempt) == Some(zone);
    let newest = state.stream_versions.newest();
    let newest = newest
        .filter(|(attempt, _)| recorded(attempt))
        .take(MAX_STREAMS);
    let mut records: Vec<_> = newest
        .map(|(attempt, origin)| StreamRecord {
            attempt: attempt.clone(),
            origin: origin.clone(),
        })
        .collect();
    records.reverse();
    records
}

/// Returns what concerns the engines of a zone, and the recent streams.
fn calls_report(state: &State, zone: &str, now: Now) -> CallsReport {
    let in_zone = |instance: &str| {
        state
            .directory
            .get(instance)
            .is_some_and(|i| &*i.zone == zone)
    };
    let running = state
        .running
        .iter()
        .filter(|(_, call)| in_zone(&call.instance));
    let running = running.map(|(id, call)| ReportedCall {
        call: id.clone(),
        instance: call.instance.clone(),
        key: call.key.clone(),
        tokens: call.prompt_tokens,
        output: call.max_output_tokens,
        started: call.started,
        patience: call.deadline.saturating_sub(now),
    });
    let mut recent: Vec<_> = state
        .last_instances
        .iter()
        .filter(|(_, last)| now.saturating_sub(last.recorded_at) < MAX_RECENT_AGE)
        .filter(|(_, last)| in_zone(&last.instance))
        .collect();
    recent.sort_by_key(|(_, last)| last.recorded_at);
    let older = recent.len().saturating_sub(MAX_RECENT);
    CallsReport {
        running: running.collect(),
        recent: recent
            .into_iter()
            .skip(older)
            .map(|(key, last)| (key.clone(), last.instance.clone()))
            .collect(),
        streams: stream_records(state, zone),
    }
}
