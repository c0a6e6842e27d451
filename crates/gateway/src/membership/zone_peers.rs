//! Queries to other nodes: whether the store responds to them, who coordinates
//! the zone, and whether a larger node is able to.

use super::Membership;
use crate::coordinator::Command;
use futures::future::join_all;
use reedford_fleet::ownership::StoreReport;
use reedford_store::KeyValue;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of zone peers that are queried at once.
const MAX_QUERIED_PEERS: usize = 3;
/// Timeout for another node's response; it sends a request to the store
/// meanwhile.
const PEER_TIMEOUT: Duration = Duration::from_millis(600);
/// Ratio of cores at or above which another node should be coordinator instead,
/// because a coordinator schedules for its whole zone and sends each configuration to
/// its nodes.
const YIELD_CORES_RATIO: f64 = 1.5;

/// Another node of the zone.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ZonePeer {
    pub(super) addr: SocketAddr,
    pub(super) cores: f64,
}

impl<K> Membership<K>
where
    K: KeyValue,
{
    /// Queries a few nodes of the zone, if this node holds the role, and applies
    /// their reports on the store.
    pub(super) async fn update_from_store_reports(&self) {
        if self.shared.lock().role.held_fence().is_none() {
            return;
        }
        let reports = self.query_store_reports().await;
        let now = self.shared.now();
        let mut state = self.shared.lock();
        state.role.on_store_reports(&reports, now);
        let leads = state.role.leads(now);
        drop(state);
        tracing::info!(event = "role_in_doubt", zone = %self.cfg.zone, words = ?reports, leads);
    }

    /// Queries a few nodes of the zone whether the store responds to them.
    async fn query_store_reports(&self) -> Vec<StoreReport> {
        let Some(zone_peers) = &self.zone_peers else {
            // This node has counted no peers yet; there may be some that reach
            // the store.
            return vec![StoreReport::Unreachable];
        };
        let count = zone_peers.len();
        let first = rand::random_range(0..count.max(1));
        let rotated = zone_peers.iter().cycle().skip(first);
        let queries = rotated
            .take(count.min(MAX_QUERIED_PEERS))
            .map(|peer| self.query_store_report(peer.addr));
        join_all(queries).await
    }

    /// Queries another node whether the store responds to it.
    async fn query_store_report(&self, addr: SocketAddr) -> StoreReport {
        let responds = self
            .peers
            .call(addr, PEER_TIMEOUT, |peer, cx| async move {
                peer.store_answers(cx).await
            })
            .await;
        match responds {
            Ok(true) => StoreReport::Answers,
            Ok(false) => StoreReport::Silent,
            Err(error) => {
                tracing::debug!(event = "colleague_silent", %addr, %error);
                StoreReport::Unreachable
            }
        }
    }

    /// Queries another node whether it reaches the instances.
    async fn reaches_instances(&self, addr: SocketAddr) -> bool {
        let reaches = self
            .peers
            .call(addr, PEER_TIMEOUT, |peer, cx| async move {
                peer.reaches_instances(cx).await
            })
            .await;
        reaches.unwrap_or_else(|error| {
            tracing::debug!(event = "colleague_silent", %addr, %error);
            false
        })
    }

    /// Queries other nodes for the coordinator of this zone. Only nodes whose
    /// addresses are known without the store are queried.
    pub(super) async fn discover_coordinator(&self) {
        let addrs = self.known_addrs();
        let queries = addrs.iter().map(|addr| {
            let zone = self.cfg.zone.clone();
            self.peers.call(*addr, PEER_TIMEOUT, |peer, cx| async move {
                peer.coordinator(cx, zone).await
            })
        });
        let holders = join_all(queries).await;
        let mut state = self.shared.lock();
        let before = state.role.holder().map(|h| h.fence);
        for holder in holders.into_iter().flatten().flatten() {
            state.role.on_peer_holder(holder);
        }
        let holder = state.role.holder().cloned();
        drop(state);
        self.shared.holder_changed.notify_waiters();
        if holder.as_ref().map(|h| h.fence) != before
            && let Some(holder) = holder
        {
            tracing::info!(event = "coordinator_learned", zone = %self.cfg.zone,
                node = %holder.node, fence = holder.fence);
            self.commands.send(Command::Refresh);
        }
    }

    /// Returns addresses of known coordinators and of a few nodes of this zone.
    fn known_addrs(&self) -> BTreeSet<SocketAddr> {
        let state = self.shared.lock();
        let coordinators = state.other_coordinators.values().chain(state.role.holder());
        let mut addrs: BTreeSet<SocketAddr> = coordinators.map(|h| h.addr).collect();
        let zone_peers = self.zone_peers.iter().flatten();
        addrs.extend(zone_peers.take(MAX_QUERIED_PEERS).map(|peer| peer.addr));
        addrs.remove(&self.cfg.peers);
        addrs
    }

    /// Whether this node has counted other nodes of the zone.
    pub(super) fn has_zone_peers(&self) -> bool {
        self.zone_peers.as_ref().is_some_and(|p| !p.is_empty())
    }

    /// Returns whether a much larger node of the zone reaches the store and the
    /// instances, and so could coordinate the zone.
    pub(super) async fn larger_peer_is_ready(&self) -> bool {
        let larger = |peer: &&ZonePeer| peer.cores >= self.cfg.cores * YIELD_CORES_RATIO;
        let zone_peers = self.zone_peers.iter().flatten();
        let Some(largest) = zone_peers.filter(larger).max_by(|a, b| {
            let by_cores = a.cores.total_cmp(&b.cores);
            by_cores.then(a.addr.cmp(&b.addr))
        }) else {
            return false;
        };
        self.query_store_report(largest.addr).await == StoreReport::Answers
            && self.reaches_instances(largest.addr).await
    }
}
