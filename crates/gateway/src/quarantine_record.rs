//! Keeps the evidence against quarantined calls in the store, so that a fleet whose nodes
//! all start anew knows them.
//!
//! The coordinator of each zone writes a key of its own, and reads those of all zones
//! when it gets the role.

use crate::settings::GatewaySettings;
use crate::state::Shared;
use reedford_fleet::Era;
use reedford_fleet::ownership::Fence;
use reedford_fleet::quarantine::{Evidence, EvidenceReport, SETTLE_TIME};
use reedford_store::{KeyValue, KvError, Put, Transaction, TransactionOutcome};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Prefix of the keys, which end in the zone.
const QUARANTINE_PREFIX: &str = "reedford/quarantine/";
/// Pause after a failed store request.
const RETRY_PAUSE: Duration = Duration::from_secs(1);
/// Time after a change by which it counts.
const SETTLE_MARGIN: Duration = Duration::from_millis(50);

/// Maintains the record of this node's zone while the node is coordinator.
#[derive(Debug)]
pub(crate) struct QuarantineRecord<K> {
    pub(crate) cfg: Arc<GatewaySettings>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) store: Arc<K>,
}

/// Value of a key.
#[derive(Debug, Deserialize, Serialize)]
struct StoredEvidence {
    /// Unix time in milliseconds, to which the ages in the report refer.
    written_at_ms: u64,
    evidence: EvidenceReport,
}

/// What this node has done as coordinator.
#[derive(Debug, Default)]
struct Progress {
    /// Term in which the records of all zones were read.
    read_in: Option<Fence>,
    /// Evidence that was written, and the store's era then.
    written: Option<(Era, Evidence)>,
}

impl<K> QuarantineRecord<K>
where
    K: KeyValue,
{
    /// Runs until the node stops.
    pub(crate) async fn run(self, stop: CancellationToken) {
        stop.run_until_cancelled(self.follow()).await;
    }

    async fn follow(&self) {
        let mut progress = Progress::default();
        let mut evidence_changed = self.shared.evidence_changed.subscribe();
        loop {
            let holder_changed = self.shared.holder_changed.notified();
            let mut holder_changed = std::pin::pin!(holder_changed);
            holder_changed.as_mut().enable();
            evidence_changed.mark_unchanged();
            if let Err(error) = self.update(&mut progress).await {
                tracing::info!(event = "quarantine_unrecorded", zone = %self.cfg.zone, %error);
                sleep(RETRY_PAUSE).await;
                continue;
            }
            tokio::select! {
                Ok(()) = evidence_changed.changed() => sleep(SETTLE_TIME + SETTLE_MARGIN).await,
                () = holder_changed => {}
            }
        }
    }

    /// Reads the records once in each term, and writes that of the zone if it is out
    /// of date.
    async fn update(&self, progress: &mut Progress) -> Result<(), KvError> {
        let Some(fence) = self.shared.lock().role.held_fence() else {
            return Ok(());
        };
        if progress.read_in != Some(fence) {
            self.read().await?;
            progress.read_in = Some(fence);
        }
        let now = self.shared.now();
        let quarantined = self.shared.lock().quarantine.quarantined(now);
        let era = self.shared.eras.newest();
        let known = progress
            .written
            .get_or_insert_with(|| (era, Evidence::default()));
        if *known != (era, quarantined.clone()) {
            self.write(quarantined.report(now)).await?;
            progress.written = Some((era, quarantined));
        }
        Ok(())
    }

    async fn read(&self) -> Result<(), KvError> {
        let now_ms = unix_ms();
        for entry in self.store.list(QUARANTINE_PREFIX).await?.entries {
            match serde_json::from_slice::<StoredEvidence>(&entry.value) {
                Ok(stored) => {
                    let age_ms = now_ms.saturating_sub(stored.written_at_ms);
                    let report = stored.evidence.aged(Duration::from_millis(age_ms));
                    self.shared.merge_evidence(&report, "store");
                }
                Err(error) => {
                    tracing::warn!(event = "quarantine_unreadable", key = %entry.key, %error);
                }
            }
        }
        Ok(())
    }

    async fn write(&self, evidence: EvidenceReport) -> Result<(), KvError> {
        let stored = StoredEvidence {
            written_at_ms: unix_ms(),
            evidence,
        };
        let put = Put {
            key: format!("{QUARANTINE_PREFIX}{}", self.cfg.zone).into(),
            value: serde_json::to_vec(&stored).expect("a StoredEvidence always serializes"),
            lease: None,
        };
        let outcome = self
            .store
            .txn(Transaction {
                preconditions: Vec::new(),
                puts: vec![put],
                deletes: Vec::new(),
            })
            .await?;
        if let TransactionOutcome::Committed { revision, .. } = outcome {
            tracing::info!(event = "quarantine_recorded", zone = %self.cfg.zone, revision);
        }
        Ok(())
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
