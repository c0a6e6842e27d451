//! Exchange of periodic summaries with peers, and the handovers sent to them.

use super::command::{Event, PeerEndpoint};
use super::state::{Control, PeerState, send_reply};
use reedford_core::messages::{Handover, Summary, SummaryResponse};
use reedford_core::{InstanceId, Now};
use reedford_settings::ms;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Shortest time between two summaries when the later one is sent early because
/// of a change.
const MIN_EXCHANGE_INTERVAL: Duration = Duration::from_millis(100);

/// How long the last summary of an instance outside the zone's table is kept.
const PEER_RETENTION: Duration = Duration::from_secs(600);

impl Control {
    /// Sends a summary to every peer, at regular intervals and soon after
    /// resident adapters or pending loads change.
    pub(super) fn exchange_summaries(&mut self) {
        let now = self.clock.now();
        let early = self.periodic.loads_changed
            && now >= self.periodic.last_exchange + MIN_EXCHANGE_INTERVAL;
        if now < self.periodic.next_exchange && !early {
            return;
        }
        self.periodic.loads_changed = false;
        self.periodic.last_exchange = now;
        self.periodic.next_exchange = now + ms(self.cfg.timeouts.exchange_ms);
        let summary = self.next_summary();
        for peer in self.peers().into_values() {
            if self
                .periodic
                .exchanges_pending
                .insert(peer.instance.clone())
            {
                self.send_summary(peer, summary.clone());
            }
        }
    }

    pub(super) fn on_exchanged(
        &mut self,
        peer: &PeerEndpoint,
        sent: Now,
        response: Option<SummaryResponse>,
    ) {
        self.periodic.exchanges_pending.remove(&peer.instance);
        let Some(response) = response else {
            return;
        };
        if response.promise {
            self.membership
                .lease
                .on_promise(&peer.instance, response.incarnation, sent);
        }
    }

    pub(super) fn on_summary(&mut self, summary: Summary, reply: oneshot::Sender<SummaryResponse>) {
        let now = self.clock.now();
        let same_zone = summary.zone == self.me.zone;
        let times = self.membership.times;
        // A peer that has not yet read this instance's claim of its workers
        // could extend its lease by promises, so it gets none from here.
        let claim = self.membership.claimed_from.get(&summary.instance);
        let has_read_claim = claim.is_none_or(|sequence| summary.table >= *sequence);
        let promises = &mut self.membership.given_promises;
        let promise = same_zone && has_read_claim && promises.give(&summary.instance, now, &times);
        let response = SummaryResponse {
            incarnation: self.me.incarnation,
            promise,
        };
        send_reply(reply, response);
        self.apply_summary(summary, now);
    }

    pub(super) fn send_handover(&mut self, to: &InstanceId, handover: Handover) {
        let Some(peer) = self.peers().remove(to) else {
            return;
        };
        self.handovers.remove(&handover.worker);
        let clients = Arc::clone(&self.clients);
        let timeout = ms(self.cfg.timeouts.platform_ms);
        self.tasks.spawn(async move {
            let call = |client: crate::peer::PeerClient, cx| async move {
                client.hand_over(cx, handover).await
            };
            if let Err(error) = clients.peers.call(peer.address, timeout, call).await {
                tracing::warn!(event = "handover_failed", to = %peer.instance, %error);
            }
            Event::Done
        });
    }

    /// Drops the state of peers that are outside the table and have sent
    /// nothing for [`PEER_RETENTION`], and what is kept about members that have
    /// left the table.
    pub(super) fn prune_peers(&mut self, now: Now) {
        let membership = &mut self.membership;
        let members = &membership.table.members;
        membership
            .peer_states
            .retain(|id, peer| members.contains_key(id) || peer.received_at + PEER_RETENTION > now);
        membership
            .claimed_from
            .retain(|id, _| members.contains_key(id));
        let workers = &membership.table.workers;
        let current = |h: &Handover| {
            workers
                .get(&h.worker)
                .is_none_or(|o| o.epoch <= h.epoch + 1)
        };
        self.handovers.retain(|_, handover| current(handover));
    }

    /// Returns the peers of all zones, according to the tables last read.
    pub(super) fn peers(&self) -> BTreeMap<InstanceId, PeerEndpoint> {
        let own = self.membership.table.members.iter();
        let foreign = self
            .membership
            .foreign
            .values()
            .flat_map(|t| t.members.iter());
        let members = own
            .chain(foreign)
            .filter(|(id, _)| **id != self.me.instance);
        let peers = members.map(|(id, m)| {
            (
                id.clone(),
                PeerEndpoint {
                    instance: id.clone(),
                    address: m.peers,
                },
            )
        });
        peers.collect()
    }

    fn send_summary(&mut self, peer: PeerEndpoint, summary: Summary) {
        let clients = Arc::clone(&self.clients);
        let sent = self.clock.now();
        let timeout = ms(self.cfg.timeouts.peer_failed_ms);
        self.metrics.record_peer_call("exchange");
        self.tasks.spawn(async move {
            let call = |client: crate::peer::PeerClient, cx| async move {
                client.exchange(cx, summary).await
            };
            let response = clients.peers.call(peer.address, timeout, call).await.ok();
            Event::Exchanged {
                peer,
                sent,
                response,
            }
        });
    }

    fn apply_summary(&mut self, summary: Summary, now: Now) {
        let is_newest = self
            .membership
            .peer_states
            .get(&summary.instance)
            .is_none_or(|known| {
                let known_serial = (known.summary.incarnation, known.summary.serial);
                known_serial < (summary.incarnation, summary.serial)
            });
        if !is_newest {
            return;
        }
        // Without rules, this instance waits for the store: a peer's revision
        // may be older than the one that an earlier run of this instance had in
        // force.
        if self.rules.is_some() && summary.revision > self.revision() {
            self.fetch_rules(summary.peers);
        }
        // Every owner counts the requests of all owners, because an adapter's
        // requests move to another owner when it is loaded there. Evictions
        // thus follow the total frequency.
        for recent in &summary.recent {
            self.frequency.record(&recent.adapter, recent.requests, now);
        }
        let failure_timeout = ms(self.cfg.timeouts.peer_failed_ms);
        let known = self.membership.peer_states.get(&summary.instance);
        let gapless = known.filter(|known| known.received_at + failure_timeout > now);
        let since = gapless.map_or(now, |known| known.reachable_since);
        let state = PeerState {
            received_at: now,
            reachable_since: since,
            summary,
        };
        self.membership
            .peer_states
            .insert(state.summary.instance.clone(), state);
    }
}
