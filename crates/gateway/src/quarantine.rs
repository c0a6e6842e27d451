//! Records crashes of instances by the prompts that they were about to answer, and
//! refuses calls whose prompts crash them.

use crate::call::Call;
use crate::state::Shared;
use reedford_fleet::Now;
use reedford_fleet::quarantine::{Changed, EvidenceReport};
use reedford_fleet::scheduler::{Grant, Refusal, RefusalReason};
use std::time::Duration;

/// Longest retry delay sent to callers of quarantined calls; a caller that is told
/// more gives up anyway.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

impl Shared {
    /// Records that an instance crashed when it was about to answer a call.
    pub(crate) fn on_crash(&self, call: &Call, grant: &Grant) {
        let now = self.now();
        let prompt = &call.head.prompt_parts;
        let mut state = self.lock();
        let changed = state
            .quarantine
            .on_crash(&grant.instance, grant.born, prompt, now);
        drop(state);
        tracing::warn!(event = "instance_crashed", id = %call.id, instance = %grant.instance,
            born = grant.born, is_new = changed.own);
        self.on_evidence(changed);
    }

    /// Records that an instance answers a call.
    pub(crate) fn on_answered(&self, call: &Call) {
        let now = self.now();
        let prompt = &call.head.prompt_parts;
        let changed = self.lock().quarantine.on_answered(prompt, now);
        self.on_evidence(changed);
    }

    /// Adds what another node, or the store, knows of crashes.
    pub(crate) fn merge_evidence(&self, report: &EvidenceReport, source: &'static str) {
        let now = self.now();
        let changed = self.lock().quarantine.merge(report, now);
        if changed.all {
            tracing::info!(event = "crashes_learned", source);
        }
        self.on_evidence(changed);
    }

    /// Passes changed evidence on.
    fn on_evidence(&self, changed: Changed) {
        if changed.all {
            let all = self.lock().quarantine.all().clone();
            self.feeds.set_evidence(all);
        }
        if changed.all || changed.own {
            self.evidence_changed.send_replace(());
        }
    }

    /// Returns the refusal of a call whose prompt crashes instances.
    pub(crate) fn quarantine_refusal(&self, call: &Call, now: Now) -> Option<Refusal> {
        let verdict = self
            .lock()
            .quarantine
            .verdict(&call.head.prompt_parts, now)?;
        let left = verdict.until.saturating_sub(now);
        tracing::info!(event = "quarantined", id = %call.id, part = format_args!("{:x}", verdict.part),
            crashes = verdict.crashes, left_ms = left.as_millis() as u64);
        Some(Refusal {
            call: call.id.clone(),
            reason: RefusalReason::Quarantined,
            retry_after: left.min(MAX_RETRY_AFTER),
        })
    }
}
