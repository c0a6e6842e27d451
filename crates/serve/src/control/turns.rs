//! Turns to load: asked of the zone's broker, which is one of its instances.

use super::command::{Event, Peer};
use super::state::Control;
use crate::peer::PeerClient;
use reedford_core::broker::LoadKey;
use reedford_core::messages::TurnRequest;
use reedford_core::{AdapterVersion, Now, WorkerId, rendezvous};
use reedford_settings::ms;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// What the zone's broker is chosen by.
const BROKER_KEY: &str = "broker";

/// Who orders the loads of the zone.
enum BrokerPlace {
    Here,
    At(Peer),
}

impl Control {
    pub(super) fn ask_turn(&mut self, worker: &WorkerId, target: &AdapterVersion, value: f64) {
        let req = TurnRequest {
            worker: worker.clone(),
            target: target.clone(),
            value,
        };
        match self.broker_place() {
            BrokerPlace::Here => self.broker.ask(&req),
            BrokerPlace::At(peer) => self.ask_turn_at(&peer, req),
        }
    }

    pub(super) fn end_turn(&mut self, worker: &WorkerId, target: &AdapterVersion) {
        let key = LoadKey {
            worker: worker.clone(),
            target: target.clone(),
        };
        self.timers.turns.remove(&key);
        match self.broker_place() {
            BrokerPlace::Here => self.on_turn_ended(&key),
            BrokerPlace::At(peer) => self.end_turn_at(&peer, key),
        }
    }

    pub(super) fn on_turn_asked(&mut self, req: &TurnRequest, reply: oneshot::Sender<bool>) {
        self.turn_replies.insert(req.into(), reply);
        self.broker.ask(req);
    }

    pub(super) fn on_turn_ended(&mut self, key: &LoadKey) {
        self.turn_replies.remove(key);
        self.broker.withdraw(key);
        self.broker.ended(key);
    }

    /// The broker's answer for a load of ours.
    pub(super) fn on_turn(&mut self, key: &LoadKey, granted: bool) {
        self.timers.turns.remove(key);
        let decision = self.decision();
        let Some(owned) = self.workers.get_mut(&key.worker) else {
            return self.end_turn(&key.worker, &key.target);
        };
        if granted {
            owned
                .scheduler
                .on_turn(&key.target, &decision.cx(&self.frequency));
        } else {
            owned.scheduler.on_turn_lost(&key.target);
        }
    }

    /// As the broker: starts the loads whose turn it is.
    pub(super) fn start_turns(&mut self) {
        let now = self.clock.now();
        for key in self.broker.start(now) {
            match self.turn_replies.remove(&key) {
                None => self.on_turn(&key, true),
                Some(reply) => {
                    if reply.send(true).is_err() {
                        self.broker.ended(&key);
                    }
                }
            }
        }
    }

    /// Time that a load asked for now would wait for its turn.
    pub(super) fn load_outlook(&self, now: Now) -> Duration {
        match self.broker_place() {
            BrokerPlace::Here => self.broker.outlook(now),
            BrokerPlace::At(peer) => {
                let heard = self.membership.heard.get(&peer.instance);
                let ahead = heard.and_then(|h| h.summary.loads_waiting).unwrap_or(0);
                let rate = self.broker.rate(now).max(f64::MIN_POSITIVE);
                Duration::from_secs_f64(f64::from(ahead + 1) / rate)
            }
        }
    }

    /// Loads that wait here, if this instance is the broker.
    pub(super) fn loads_waiting(&self) -> Option<u32> {
        match self.broker_place() {
            BrokerPlace::Here => Some(self.broker.waiting() as u32),
            BrokerPlace::At(_) => None,
        }
    }

    fn broker_place(&self) -> BrokerPlace {
        let alive = self.alive_members(self.clock.now());
        let broker = rendezvous::first(BROKER_KEY, alive.iter().map(|id| &**id));
        let elsewhere = broker.filter(|id| **id != *self.me.instance);
        let member = elsewhere.and_then(|id| self.membership.table.members.get_key_value(id));
        match member {
            None => BrokerPlace::Here,
            Some((id, m)) => BrokerPlace::At(Peer {
                instance: id.clone(),
                address: m.peers,
            }),
        }
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
            let granted = clients
                .peers
                .call(address, limit, asking)
                .await
                .unwrap_or(false);
            Event::Turn { key, granted }
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
