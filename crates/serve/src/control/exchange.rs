//! Summaries between peers, and the handovers sent to them.

use super::command::{Event, Peer};
use super::state::{Control, Heard, answer};
use reedford_core::messages::{Handover, Summary, SummaryResponse};
use reedford_core::{InstanceId, Now};
use reedford_settings::ms;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Least time between two summaries, the later of which tells a change.
const EARLY_EXCHANGE: Duration = Duration::from_millis(100);

/// How long an instance is remembered that no table names.
const REMEMBERED: Duration = Duration::from_secs(600);

impl Control {
    /// Sends a summary to every peer, at intervals, and soon after a change of
    /// what is resident.
    pub(super) fn exchange_summaries(&mut self) {
        let now = self.clock.now();
        let early = self.timers.changed && now >= self.timers.exchanged + EARLY_EXCHANGE;
        if now < self.timers.exchange && !early {
            return;
        }
        self.timers.changed = false;
        self.timers.exchanged = now;
        self.timers.exchange = now + ms(self.cfg.timeouts.exchange_ms);
        let summary = self.summary();
        for peer in self.peers().into_values() {
            if self.timers.exchanging.insert(peer.instance.clone()) {
                self.send_summary(peer, summary.clone());
            }
        }
    }

    pub(super) fn on_exchanged(&mut self, peer: &Peer, sent: Now, answer: Option<SummaryResponse>) {
        self.timers.exchanging.remove(&peer.instance);
        let Some(answer) = answer else {
            return;
        };
        if answer.promise {
            self.membership
                .lease
                .on_promise(&peer.instance, answer.incarnation, sent);
        }
    }

    pub(super) fn on_summary(&mut self, summary: Summary, reply: oneshot::Sender<SummaryResponse>) {
        let now = self.clock.now();
        let same_zone = summary.zone == self.me.zone;
        let times = self.membership.times;
        // Whoever has not read our claim of its workers may go on by promises,
        // so it gets none from us.
        let knows = self.membership.claimed_from.get(&summary.instance);
        let knows_all = knows.is_none_or(|claim| summary.table >= *claim);
        let promises = &mut self.membership.promises;
        let promise = same_zone && knows_all && promises.give(&summary.instance, now, &times);
        let said = SummaryResponse {
            incarnation: self.me.incarnation,
            promise,
        };
        answer(reply, said);
        self.take_summary(summary, now);
    }

    pub(super) fn send_handover(&mut self, to: &InstanceId, handover: Handover) {
        let Some(peer) = self.peers().remove(to) else {
            return;
        };
        self.handovers.remove(&handover.worker);
        let clients = Arc::clone(&self.clients);
        let limit = ms(self.cfg.timeouts.platform_ms);
        self.tasks.spawn(async move {
            let sending = |client: crate::peer::PeerClient, cx| async move {
                client.hand_over(cx, handover).await
            };
            if let Err(error) = clients.peers.call(peer.address, limit, sending).await {
                tracing::warn!(event = "handover_failed", to = %peer.instance, %error);
            }
            Event::Done
        });
    }

    /// Forgets instances that were last heard of long ago, and what concerns
    /// members that have left.
    pub(super) fn forget_members(&mut self, now: Now) {
        let membership = &mut self.membership;
        let members = &membership.table.members;
        membership
            .heard
            .retain(|id, h| members.contains_key(id) || h.at + REMEMBERED > now);
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

    /// Peers of all zones, by the tables last read and by what was heard.
    pub(super) fn peers(&self) -> BTreeMap<InstanceId, Peer> {
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
                Peer {
                    instance: id.clone(),
                    address: m.peers,
                },
            )
        });
        peers.collect()
    }

    fn send_summary(&mut self, peer: Peer, summary: Summary) {
        let clients = Arc::clone(&self.clients);
        let sent = self.clock.now();
        let limit = ms(self.cfg.timeouts.peer_failed_ms);
        self.metrics.peer_call("exchange");
        self.tasks.spawn(async move {
            let sending = |client: crate::peer::PeerClient, cx| async move {
                client.exchange(cx, summary).await
            };
            let answer = clients.peers.call(peer.address, limit, sending).await.ok();
            Event::Exchanged { peer, sent, answer }
        });
    }

    fn take_summary(&mut self, summary: Summary, now: Now) {
        let newest = self
            .membership
            .heard
            .get(&summary.instance)
            .is_none_or(|known| {
                let known = (known.summary.incarnation, known.summary.serial);
                known < (summary.incarnation, summary.serial)
            });
        if !newest {
            return;
        }
        // The first revision comes from the store: a peer may not yet have one
        // that an earlier run of this instance had put in force.
        if self.rules.is_some() && summary.revision > self.revision() {
            self.fetch_rules(summary.peers);
        }
        // An adapter's requests move with it from owner to owner: each counts
        // them all, so that it evicts by what all have seen.
        for recent in &summary.recent {
            self.frequency.record(&recent.adapter, recent.requests, now);
        }
        let silence = ms(self.cfg.timeouts.peer_failed_ms);
        let known = self.membership.heard.get(&summary.instance);
        let steady = known.filter(|known| known.at + silence > now);
        let since = steady.map_or(now, |known| known.since);
        let heard = Heard {
            at: now,
            since,
            summary,
        };
        self.membership
            .heard
            .insert(heard.summary.instance.clone(), heard);
    }
}
