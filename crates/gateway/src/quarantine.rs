//! Records crashes of instances by the calls that they were about to answer, and
//! refuses calls that crash them.

use crate::call::Call;
use crate::state::Shared;
use reedford_fleet::Now;
use reedford_fleet::directory::DirectoryChange;
use reedford_fleet::quarantine::{Changed, EvidenceReport, Suspect};
use reedford_fleet::scheduler::{Grant, Refusal, RefusalReason};
use std::time::Duration;

/// Longest retry delay sent to callers of quarantined calls; a caller that is told
/// more gives up anyway.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

impl Shared {
    /// Records that an instance crashed when it was about to answer a call.
    pub(crate) fn on_crash(&self, call: &Call, grant: &Grant) {
        let now = self.now();
        let suspect = suspect(call);
        let mut state = self.lock();
        let changed = state
            .quarantine
            .on_crash(&grant.instance, grant.born, &suspect, now);
        drop(state);
        tracing::warn!(event = "instance_crashed", id = %call.id, instance = %grant.instance,
            born = grant.born, request = %call.digest(), is_new = changed.own);
        self.on_evidence(changed);
    }

    /// Records that a call broke off that an instance was about to answer, whose crash
    /// can't be seen at its address.
    pub(crate) fn on_unconfirmed_crash(&self, call: &Call, grant: &Grant) {
        let now = self.now();
        let suspect = suspect(call);
        let mut state = self.lock();
        if !state.directory.is_leaving_or_removed(&grant.instance) {
            let quarantine = &mut state.quarantine;
            quarantine.on_broken(&grant.instance, grant.born, &suspect, now);
        }
    }

    /// Records the crashes that a change of the instances' entries shows.
    pub(crate) fn on_directory_change(&self, change: &DirectoryChange) {
        let now = self.now();
        let mut state = self.lock();
        let (instance, born) = match change {
            DirectoryChange::Started(instance) => {
                let started = state.directory.get(instance);
                (instance, started.map(|i| i.born))
            }
            DirectoryChange::Removed(instance) => (instance, None),
            DirectoryChange::Leaving(instance) => {
                state.quarantine.on_leaving(instance, now);
                return;
            }
        };
        let changed = state.quarantine.on_ended(instance, born, now);
        drop(state);
        if changed.all {
            tracing::warn!(event = "instance_crashed", %instance, by = "entry",
                is_new = changed.own);
        }
        self.on_evidence(changed);
    }

    /// Records that an instance answers a call.
    pub(crate) fn on_answered(&self, call: &Call) {
        let now = self.now();
        let suspect = suspect(call);
        let changed = self.lock().quarantine.on_answered(&suspect, now);
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
            let suspects = self.lock().quarantine.all().of_suspects();
            self.feeds.set_evidence(suspects);
        }
        if changed.all || changed.own {
            self.evidence_changed.send_replace(());
        }
    }

    /// Returns the refusal of a call that crashes instances.
    pub(crate) fn quarantine_refusal(&self, call: &Call, now: Now) -> Option<Refusal> {
        // Spares most calls the digest.
        let compares_requests = self.lock().quarantine.suspects_requests();
        let suspect = Suspect {
            prompt: &call.head.prompt_parts,
            request: compares_requests.then(|| call.digest()),
        };
        let verdict = self.lock().quarantine.verdict(&suspect, now)?;
        let left = verdict.until.saturating_sub(now);
        tracing::info!(event = "quarantined", id = %call.id, cause = %verdict.cause,
            crashes = verdict.crashes, left_ms = left.as_millis() as u64);
        Some(Refusal {
            call: call.id.clone(),
            reason: RefusalReason::Quarantined,
            retry_after: left.min(MAX_RETRY_AFTER),
        })
    }
}

fn suspect(call: &Call) -> Suspect<'_> {
    Suspect {
        prompt: &call.head.prompt_parts,
        request: Some(call.digest()),
    }
}
