//! Load turns: the broker's permissions to start a load.
//!
//! The broker is one of the reachable entry instances. It queues the loads of
//! all of them and grants each a turn, in order of value and within the rules'
//! limits on the rate and number of loads. This module requests turns for the workers that this
//! instance owns, and runs the broker while this instance holds that role.

use super::command::{Event, PeerEndpoint};
use super::state::{Control, send_reply};
use crate::peer::PeerClient;
use reedford_core::broker::LoadKey;
use reedford_core::messages::{TurnRequest, TurnResponse, TurnWaitEstimate};
use reedford_core::{AdapterVersion, Now, WorkerId, ZoneId, rendezvous};
use reedford_settings::ms;
use std::collections::BTreeSet;
use std::sync::Arc;
use tokio::sync::oneshot;

/// Rendezvous hashing key by which the broker is chosen.
const BROKER_KEY: &str = "broker";

/// Which instance is the broker.
#[derive(Clone, Debug)]
pub(super) enum BrokerLocation {
    /// This instance.
    Local,
    /// A peer.
    Remote(PeerEndpoint),
}

impl Control {
    /// Requests a turn from the broker, or changes the value of a load that is
    /// already queued there.
    pub(super) fn request_turn(&mut self, req: TurnRequest) {
        match &self.broker_location {
            BrokerLocation::Local => self.broker.enqueue(&req, self.clock.now()),
            BrokerLocation::Remote(peer) => self.request_remote_turn(&peer.clone(), req),
        }
    }

    /// Ends a turn, or withdraws the request for it.
    pub(super) fn end_turn(&mut self, worker: &WorkerId, target: &AdapterVersion) {
        let key = LoadKey {
            worker: worker.clone(),
            target: target.clone(),
        };
        self.periodic.remote_turns.remove(&key);
        match &self.broker_location {
            BrokerLocation::Local => self.on_turn_ended(&key),
            BrokerLocation::Remote(peer) => self.end_remote_turn(&peer.clone(), key),
        }
    }

    pub(super) fn on_turn_request(
        &mut self,
        req: &TurnRequest,
        reply: oneshot::Sender<TurnResponse>,
    ) {
        self.turn_replies.insert(req.into(), reply);
        self.broker.enqueue(req, self.clock.now());
    }

    pub(super) fn on_revalue(&mut self, req: &TurnRequest) {
        if self.turn_replies.contains_key(&req.into()) {
            self.broker.enqueue(req, self.clock.now());
        }
    }

    pub(super) fn on_turn_ended(&mut self, key: &LoadKey) {
        self.turn_replies.remove(key);
        self.broker.withdraw(key);
        self.broker.on_load_ended(key);
    }

    /// Applies the broker's response for a load of a worker that this instance owns.
    pub(super) fn on_turn_response(&mut self, key: &LoadKey, response: TurnResponse) {
        self.periodic.remote_turns.remove(key);
        let inputs = self.decision_inputs();
        let Some(owned) = self.workers.get_mut(&key.worker) else {
            return self.end_turn(&key.worker, &key.target);
        };
        let cx = inputs.cx(&self.frequency);
        match response {
            TurnResponse::Granted => owned.scheduler.on_turn(&key.target, &cx),
            TurnResponse::TooLate { outlook } => {
                owned.scheduler.on_too_late(&key.target, outlook, &cx);
            }
            TurnResponse::Lost => owned.scheduler.on_turn_lost(&key.target),
        }
    }

    /// As the broker, grants the turns that are due and rejects those that would
    /// come too late.
    pub(super) fn grant_turns(&mut self) {
        let now = self.clock.now();
        for late in self.broker.remove_late_loads(now) {
            let outlook = late.turn_wait;
            self.respond_to_turn(&late.key, TurnResponse::TooLate { outlook });
        }
        for key in self.broker.start_loads(now) {
            self.respond_to_turn(&key, TurnResponse::Granted);
        }
    }

    /// Returns how long a load requested now would wait for its turn, by class of
    /// the request that needs it.
    pub(super) fn turn_wait(&self, now: Now) -> TurnWaitEstimate {
        match &self.broker_location {
            BrokerLocation::Local => self.broker.turn_wait(now),
            BrokerLocation::Remote(peer) => {
                let state = self.membership.peer_states.get(&peer.instance);
                state
                    .and_then(|p| p.summary.load_outlook)
                    .unwrap_or_default()
            }
        }
    }

    /// Returns how long loads wait for their turn if this instance is the broker.
    pub(super) fn local_turn_wait(&self) -> Option<TurnWaitEstimate> {
        match &self.broker_location {
            BrokerLocation::Local => Some(self.broker.turn_wait(self.clock.now())),
            BrokerLocation::Remote(_) => None,
        }
    }

    /// As the broker, sends the response to a turn request of this instance or
    /// a peer. If the peer no longer waits for the response, the turn ends.
    fn respond_to_turn(&mut self, key: &LoadKey, response: TurnResponse) {
        let Some(reply) = self.turn_replies.remove(key) else {
            self.on_turn_response(key, response);
            return;
        };
        if !send_reply(reply, response) {
            self.broker.on_load_ended(key);
        }
    }

    /// Determines the broker, and sets the number of reachable zones of the
    /// local one.
    pub(super) fn choose_broker(&mut self) {
        let now = self.clock.now();
        let reachable = self.reachable_instances(now);
        let zones: BTreeSet<&ZoneId> = reachable.values().collect();
        self.broker.set_reachable_zones(zones.len(), now);
        let broker = rendezvous::first(BROKER_KEY, reachable.keys().map(|id| &**id));
        let remote = broker.filter(|id| **id != *self.me.instance);
        let peer = remote.and_then(|id| self.membership.peer_states.get_key_value(id));
        self.broker_location = match peer {
            None => BrokerLocation::Local,
            Some((id, peer)) => BrokerLocation::Remote(PeerEndpoint {
                instance: id.clone(),
                address: peer.summary.peers,
            }),
        };
    }

    fn request_remote_turn(&mut self, peer: &PeerEndpoint, req: TurnRequest) {
        let key = LoadKey::from(&req);
        let already_requested = !self.periodic.remote_turns.insert(key.clone());
        let clients = Arc::clone(&self.clients);
        let address = peer.address;
        let timeout = ms(self.cfg.timeouts.request_max_ms);
        self.metrics.record_peer_call("turn");
        self.tasks.spawn(async move {
            if already_requested {
                let call = |c: PeerClient, cx| async move { c.revalue(cx, req).await };
                log_failure(clients.peers.call(address, timeout, call).await);
                return Event::Done;
            }
            let call = |c: PeerClient, cx| async move { c.turn(cx, req).await };
            let response = clients.peers.call(address, timeout, call).await;
            Event::TurnResponse {
                key,
                response: response.unwrap_or(TurnResponse::Lost),
            }
        });
    }

    fn end_remote_turn(&mut self, peer: &PeerEndpoint, key: LoadKey) {
        let clients = Arc::clone(&self.clients);
        let address = peer.address;
        let timeout = ms(self.cfg.timeouts.platform_ms);
        self.metrics.record_peer_call("turn_ended");
        self.tasks.spawn(async move {
            let call =
                |c: PeerClient, cx| async move { c.turn_ended(cx, key.worker, key.target).await };
            log_failure(clients.peers.call(address, timeout, call).await);
            Event::Done
        });
    }
}

/// Logs a failed call to the broker. The broker drops turns after a time, so a
/// lost message only delays other loads.
fn log_failure<E>(result: Result<(), E>)
where
    E: std::fmt::Display,
{
    if let Err(error) = result {
        tracing::debug!(event = "turn_word_lost", %error);
    }
}
