//! What a node asks others: whether the store answers them, who coordinates the
//! zone, and whether a larger node could.

use super::Membership;
use crate::coordinator::Command;
use futures::future::join_all;
use reedford_fleet::ownership::StoreReport;
use reedford_store::KeyValue;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Other nodes asked about a store that does not answer.
const ASKED: usize = 3;
/// Time for another node to answer; it asks the store itself meanwhile.
const ASK_TIMEOUT: Duration = Duration::from_millis(600);
/// Times the cores from which another node is much larger; a coordinator
/// decides for its whole zone.
const MUCH_LARGER: f64 = 2.0;

/// Another node of the zone.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Colleague {
    pub(super) addr: SocketAddr,
    pub(super) cores: f64,
}

impl<K> Membership<K>
where
    K: KeyValue,
{
    pub(super) async fn ask_colleagues(&self) {
        if self.shared.lock().role.held_fence().is_none() {
            return;
        }
        let words = self.ask_some().await;
        let now = self.shared.now();
        let mut state = self.shared.lock();
        state.role.on_store_reports(&words, now);
        let leads = state.role.leads(now);
        drop(state);
        tracing::info!(event = "role_in_doubt", zone = %self.cfg.zone, words = ?words, leads);
    }

    /// Asks a few nodes of the zone whether the store answers them.
    async fn ask_some(&self) -> Vec<StoreReport> {
        let Some(colleagues) = &self.colleagues else {
            // There may be some, and they may reach the store.
            return vec![StoreReport::Unreachable];
        };
        let count = colleagues.len();
        let first = rand::random_range(0..count.max(1));
        let asked = colleagues.iter().cycle().skip(first);
        let asked = asked.take(count.min(ASKED)).map(|c| self.ask(c.addr));
        join_all(asked).await
    }

    /// Asks another node whether the store answers it.
    async fn ask(&self, addr: SocketAddr) -> StoreReport {
        let answers = self
            .peers
            .call(addr, ASK_TIMEOUT, |peer, cx| async move {
                peer.store_answers(cx).await
            })
            .await;
        match answers {
            Ok(true) => StoreReport::Answers,
            Ok(false) => StoreReport::Silent,
            Err(error) => {
                tracing::debug!(event = "colleague_silent", %addr, %error);
                StoreReport::Unreachable
            }
        }
    }

    /// Asks other nodes who coordinates this zone: those that this node knows
    /// without the store.
    pub(super) async fn learn_coordinator(&self) {
        let addrs = self.others();
        let asked = addrs.iter().map(|addr| {
            let zone = self.cfg.zone.clone();
            self.peers.call(*addr, ASK_TIMEOUT, |peer, cx| async move {
                peer.coordinator(cx, zone).await
            })
        });
        let answers = join_all(asked).await;
        let mut state = self.shared.lock();
        let before = state.role.holder().map(|h| h.fence);
        for holder in answers.into_iter().flatten().flatten() {
            state.role.on_peer_holder(holder);
        }
        let holder = state.role.holder().cloned();
        drop(state);
        if holder.as_ref().map(|h| h.fence) != before
            && let Some(holder) = holder
        {
            tracing::info!(event = "coordinator_learned", zone = %self.cfg.zone,
                node = %holder.node, fence = holder.fence);
            self.commands.send(Command::Refresh);
        }
    }

    /// A few other nodes: the coordinators known and some of the own zone.
    fn others(&self) -> BTreeSet<SocketAddr> {
        let state = self.shared.lock();
        let coordinators = state.neighbours.values().chain(state.role.holder());
        let mut addrs: BTreeSet<SocketAddr> = coordinators.map(|h| h.addr).collect();
        let colleagues = self.colleagues.iter().flatten();
        addrs.extend(colleagues.take(ASKED).map(|c| c.addr));
        addrs.remove(&self.cfg.peers);
        addrs
    }

    /// Whether a much larger node of the zone could coordinate it.
    pub(super) async fn larger_is_ready(&self) -> bool {
        let larger = |c: &&Colleague| c.cores >= self.cfg.cores * MUCH_LARGER;
        let colleagues = self.colleagues.iter().flatten();
        let Some(largest) = colleagues.filter(larger).max_by(|a, b| {
            let by_cores = a.cores.total_cmp(&b.cores);
            by_cores.then(a.addr.cmp(&b.addr))
        }) else {
            return false;
        };
        self.ask(largest.addr).await == StoreReport::Answers
    }
}
