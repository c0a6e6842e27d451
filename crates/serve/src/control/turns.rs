//! Turns to load: asked of the broker, which is one of the instances in reach.

use super::command::{Event, Peer};
use super::state::{Control, answer};
use crate::peer::PeerClient;
use reedford_core::broker::LoadKey;
use reedford_core::messages::{LoadWaitEstimate, TurnRequest, TurnResponse};
use reedford_core::{AdapterVersion, Now, WorkerId, ZoneId, rendezvous};
use reedford_settings::ms;
use std::collections::BTreeSet;
use std::sync::Arc;
use tokio::sync::oneshot;

/// What the broker is chosen by.
const BROKER_KEY: &str = "broker";

/// Who orders the loads.
#[derive(Clone, Debug)]
pub(super) enum BrokerPlace {
    Here,
    At(Peer),
}

impl Control {
    pub(super) fn ask_turn(&mut self, req: TurnRequest) {
        match &self.broker_place {
            BrokerPlace::Here => self.broker.enqueue(&req, self.clock.now()),
            BrokerPlace::At(peer) => self.ask_turn_at(&peer.clone(), req),
        }
    }

    pub(super) fn end_turn(&mut self, worker: &WorkerId, target: &AdapterVersion) {
        let key = LoadKey {
            worker: worker.clone(),
            target: target.clone(),
        };
        self.timers.turns.remove(&key);
        match &self.broker_place {
            BrokerPlace::Here => self.on_turn_ended(&key),
            BrokerPlace::At(peer) => self.end_turn_at(&peer.clone(), key),
        }
    }

    pub(super) fn on_turn_asked(
        &mut self,
        req: &TurnRequest,
        reply: oneshot::Sender<TurnResponse>,
    ) {
        self.turn_replies.insert(req.into(), reply);
        self.broker.enqueue(req, self.clock.now());
    }

    pub(super) fn on_revalued(&mut self, req: &TurnRequest) {
        if self.turn_replies.contains_key(&req.into()) {
            self.broker.enqueue(req, self.clock.now());
        }
    }

    pub(super) fn on_turn_ended(&mut self, key: &LoadKey) {
        self.turn_replies.remove(key);
        self.broker.withdraw(key);
        self.broker.on_load_ended(key);
    }

    /// The broker's answer for a load of ours.
    pub(super) fn on_turn(&mut self, key: &LoadKey, said: TurnResponse) {
        self.timers.turns.remove(key);
        let decision = self.decision();
        let Some(owned) = self.workers.get_mut(&key.worker) else {
            return self.end_turn(&key.worker, &key.target);
        };
        let cx = decision.cx(&self.frequency);
        match said {
            TurnResponse::Granted => owned.scheduler.on_turn(&key.target, &cx),
            TurnResponse::TooLate { outlook } => {
                owned.scheduler.on_too_late(&key.target, outlook, &cx);
            }
            TurnResponse::Lost => owned.scheduler.on_turn_lost(&key.target),
        }
    }

    /// As the broker: starts the loads whose turn it is, and gives up those
    /// whose turn would come too late.
    pub(super) fn start_turns(&mut self) {
        let now = self.clock.now();
        for late in self.broker.remove_late_loads(now) {
            let outlook = late.outlook;
            self.tell_turn(&late.key, TurnResponse::TooLate { outlook });
        }
        for key in self.broker.start_loads(now) {
            self.tell_turn(&key, TurnResponse::Granted);
        }
    }

    /// Time that a load asked for now would wait for its turn.
    pub(super) fn load_outlook(&self, now: Now) -> LoadWaitEstimate {
        match &self.broker_place {
            BrokerPlace::Here => self.broker.wait_estimate(now),
            BrokerPlace::At(peer) => {
                let heard = self.membership.heard.get(&peer.instance);
                heard
                    .and_then(|h| h.summary.load_outlook)
                    .unwrap_or_default()
            }
        }
    }

    /// How long loads wait, if this instance is the broker.
    pub(super) fn own_load_outlook(&self) -> Option<LoadWaitEstimate> {
        match &self.broker_place {
            BrokerPlace::Here => Some(self.broker.wait_estimate(self.clock.now())),
            BrokerPlace::At(_) => None,
        }
    }

    /// Answers an ask, of this instance or of another. A turn whose asker is
    /// gone is over.
    fn tell_turn(&mut self, key: &LoadKey, said: TurnResponse) {
        let Some(reply) = self.turn_replies.remove(key) else {
            self.on_turn(key, said);
            return;
        };
        if !answer(reply, said) {
            self.broker.on_load_ended(key);
        }
    }

    /// Finds out who orders the loads, and for how many zones.
    pub(super) fn choose_broker(&mut self) {
        let now = self.clock.now();
        let reachable = self.reachable(now);
        let zones: BTreeSet<&ZoneId> = reachable.values().collect();
        self.broker.set_reachable_zones(zones.len(), now);
        let broker = rendezvous::first(BROKER_KEY, reachable.keys().map(|id| &**id));
        let elsewhere = broker.filter(|id| **id != *self.me.instance);
        let heard = elsewhere.and_then(|id| self.membership.heard.get_key_value(id));
        self.broker_place = match heard {
            None => BrokerPlace::Here,
            Some((id, heard)) => BrokerPlace::At(Peer {
                instance: id.clone(),
                address: heard.summary.peers,
            }),
        };
    }

    fn ask_turn_at(&mut self, peer: &Peer, req: TurnRequest) {
        let key = LoadKey::from(&req);
        let asked = !self.timers.turns.insert(key.clone());
        let clients = Arc::clone(&self.clients);
        let address = peer.address;
        let limit = ms(self.cfg.timeouts.request_max_ms);
        self.metrics.peer_call("turn");
        self.tasks.spawn(async move {
            if asked {
                let telling = |c: PeerClient, cx| async move { c.revalue(cx, req).await };
                log_lost(clients.peers.call(address, limit, telling).await);
                return Event::Done;
            }
            let asking = |c: PeerClient, cx| async move { c.turn(cx, req).await };
            let said = clients.peers.call(address, limit, asking).await;
            Event::Turn {
                key,
                said: said.unwrap_or(TurnResponse::Lost),
            }
        });
    }

    fn end_turn_at(&mut self, peer: &Peer, key: LoadKey) {
        let clients = Arc::clone(&self.clients);
        let address = peer.address;
        let limit = ms(self.cfg.timeouts.platform_ms);
        self.metrics.peer_call("turn_ended");
        self.tasks.spawn(async move {
            let telling =
                |c: PeerClient, cx| async move { c.turn_ended(cx, key.worker, key.target).await };
            log_lost(clients.peers.call(address, limit, telling).await);
            Event::Done
        });
    }
}

/// The broker forgets turns by itself; a lost word only costs time.
fn log_lost<E>(result: Result<(), E>)
where
    E: std::fmt::Display,
{
    if let Err(error) = result {
        tracing::debug!(event = "turn_word_lost", %error);
    }
}
