//! Reads new revisions of the rules, from the store or from a peer, and puts them
//! in force.

use super::command::{Event, RulesError};
use super::state::{Control, send_reply};
use crate::clients::Clients;
use crate::peer::{PeerClient, RulesText};
use reedford_rules::{RevisionOrder, RulesDocument, compare_revision};
use reedford_settings::ms;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

impl Control {
    /// Returns the revision in force, or 0 without rules.
    pub(super) fn revision(&self) -> u64 {
        self.rules.as_ref().map_or(0, |doc| doc.revision)
    }

    pub(super) fn read_rules(&mut self) {
        let clients = Arc::clone(&self.clients);
        let current = self.revision();
        self.metrics.record_platform_call("rules_revision");
        self.tasks
            .spawn(async move { Event::RulesRead(newer_rules(&clients, current).await) });
    }

    /// Starts a read of the rules from a peer with a higher revision.
    pub(super) fn fetch_rules(&mut self, peer: SocketAddr) {
        if self.periodic.rules.pending {
            return;
        }
        self.periodic.rules.pending = true;
        let clients = Arc::clone(&self.clients);
        let timeout = ms(self.cfg.timeouts.platform_ms);
        self.metrics.record_peer_call("rules");
        self.tasks
            .spawn(async move { Event::RulesRead(peer_rules(&clients, peer, timeout).await) });
    }

    pub(super) fn on_rules_request(&self, reply: oneshot::Sender<Option<RulesText>>) {
        let text = self.rules.as_ref().map(|doc| RulesText {
            revision: doc.revision,
            text: doc.text.clone(),
        });
        send_reply(reply, text);
    }

    pub(super) fn on_rules_read(&mut self, result: Result<Option<RulesDocument>, RulesError>) {
        self.periodic.rules.pending = false;
        match result {
            Ok(Some(doc)) => self.adopt_rules(doc),
            Ok(None) => {}
            Err(error) => tracing::debug!(event = "rules_read_failed", %error),
        }
    }

    fn adopt_rules(&mut self, doc: RulesDocument) {
        if compare_revision(self.rules.as_deref(), &doc) != RevisionOrder::Newer {
            return;
        }
        tracing::info!(event = "rules_adopted", revision = doc.revision);
        self.metrics.set_revision(doc.revision);
        self.broker.set_rule(doc.rules.loads);
        let doc = Arc::new(doc);
        self.rules = Some(Arc::clone(&doc));
        self.outputs.rules.send_replace(Some(doc));
        self.apply_policies();
    }

    fn apply_policies(&mut self) {
        let ids: Vec<Box<str>> = self.workers.keys().cloned().collect();
        for id in ids {
            let policy = self.instances.get(&id).and_then(|i| self.policy_of(i));
            if let (Some(policy), Some(owned)) = (policy, self.workers.get_mut(&id)) {
                owned.scheduler.set_policy(policy);
            }
        }
    }
}

async fn newer_rules(clients: &Clients, current: u64) -> Result<Option<RulesDocument>, RulesError> {
    if clients.documents.revision().await? <= current {
        return Ok(None);
    }
    let Some(stored) = clients.documents.load().await? else {
        return Ok(None);
    };
    parse_rules(stored.revision, &stored.text).map(Some)
}

async fn peer_rules(
    clients: &Clients,
    peer: SocketAddr,
    timeout: Duration,
) -> Result<Option<RulesDocument>, RulesError> {
    let call = |client: PeerClient, cx| async move { client.rules(cx).await };
    let Ok(Some(rules)) = clients.peers.call(peer, timeout, call).await else {
        return Err(RulesError::Peer);
    };
    parse_rules(rules.revision, &rules.text).map(Some)
}

/// Parses rules that were validated before they were stored. They can only be
/// invalid if another version of the program validated them; the faults are
/// logged and the current rules stay in force.
fn parse_rules(revision: u64, text: &str) -> Result<RulesDocument, RulesError> {
    RulesDocument::parse(revision, text).map_err(|faults| {
        tracing::error!(event = "rules_faulty", revision, faults = %faults);
        RulesError::Faults
    })
}
