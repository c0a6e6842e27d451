//! The nodes' keys in the platform's store: registrations of all nodes, and the
//! coordinator of each availability zone.

mod coordinator_keys;
mod zone_peers;

pub(crate) use coordinator_keys::CoordinatorKeys;
pub(crate) use zone_peers::ZonePeer;

use crate::coordinator::{Command, CommandTx};
use crate::metrics::Metrics;
use crate::peer::PeerClients;
use crate::settings::GatewaySettings;
use crate::state::Shared;
use reedford_fleet::ownership::{Holder, fence};
use reedford_fleet::{Era, Now, ZoneId};
use reedford_store::{
    KeyValue, KvError, Lease, Position, Precondition, Put, Transaction, TransactionOutcome,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tokio_util::sync::CancellationToken;

/// Prefix of the coordinators' keys, which end in the zone.
pub(crate) const ZONE_PREFIX: &str = "reedford/zones/";
/// Prefix of the nodes' keys, which end in the node's name.
pub(crate) const NODE_PREFIX: &str = "reedford/nodes/";
/// TTL of a node's registration, which is only used to count the nodes.
const NODE_LEASE_TTL: Duration = Duration::from_secs(40);
/// Interval between renewals of a node's registration.
const NODE_RENEWAL_INTERVAL: Duration = Duration::from_secs(12);
/// Time over which the nodes of a fleet register again in a new era of the store.
const REGISTRATION_SPREAD: Duration = Duration::from_secs(8);
/// Time in a new era in which not all nodes may have registered again.
const REGISTRATION_TIME: Duration = Duration::from_secs(15);
/// Interval at which a coordinator counts the nodes.
const NODE_COUNT_INTERVAL: Duration = Duration::from_secs(5);
/// TTL of a coordinator's lease; a failed coordinator is replaced after it.
pub(crate) const ROLE_LEASE_TTL: Duration = Duration::from_millis(1_500);
/// Interval between checks of the role and renewals of its lease. Three renewals
/// are attempted before the lease ends, fewer if they time out.
const ROLE_INTERVAL: Duration = Duration::from_millis(400);

/// Timeout for a renewal of the role's lease; two fit into its TTL.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause after a failed store request of a node without the role, whose
/// registration only serves to count it.
const IDLE_RETRY_PAUSE: Duration = Duration::from_millis(1_200);

/// Time for orders in flight to reach their engines before another node may
/// claim the role; they take a few milliseconds.
const ORDER_DELIVERY_TIME: Duration = Duration::from_millis(100);
/// Minimum interval between two discoveries of the coordinator.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(300);
/// Time by which a node that is cut from the instances claims a vacant role later than
/// the others.
const CUT_CLAIM_DELAY: Duration = Duration::from_secs(1);
/// Time for which such a node keeps the role that no other one has claimed, or that it has
/// given up in vain.
const CUT_TERM: Duration = Duration::from_secs(10);
/// Timeout for a claim of the role. The store responds within milliseconds, and
/// within a few hundred when it is slow. If the response is lost, the watch
/// shows the claim.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(600);

/// Value of a node's registration, and of the coordinator key that it holds.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct NodeRecord {
    pub(crate) node: Box<str>,
    pub(crate) zone: ZoneId,
    pub(crate) cores: f64,
    incarnation: u64,
    pub(crate) addr: SocketAddr,
    /// Era of the store in which the lease of the key was granted. A key that
    /// names another era than the store's is from a copy of the store or was
    /// written by a delayed request.
    #[serde(default)]
    era: Era,
}

/// Maintains this node's registration, and its claim to the coordinator role of
/// its zone.
#[derive(Debug)]
pub(crate) struct Membership<K> {
    pub(crate) cfg: Arc<GatewaySettings>,
    pub(crate) store: Arc<K>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) commands: CommandTx,
    pub(crate) incarnation: u64,
    pub(crate) peers: Arc<PeerClients>,
    /// Other nodes of the zone; `None` until this node, as coordinator, has
    /// counted them.
    pub(crate) zone_peers: Option<Vec<ZonePeer>>,
    /// Time of the next count of the nodes.
    pub(crate) next_count: Now,
    /// Time of this node's registration in a new era, if it has none in it.
    pub(crate) next_registration: Now,
    /// Time from which this node gives up the role again if it is cut from the instances.
    pub(crate) next_cut_yield: Now,
    /// Time until which a lower number of nodes than the known one is ignored.
    pub(crate) count_holds_until: Now,
}

impl<K> Membership<K>
where
    K: KeyValue,
{
    /// Runs until `stop`, and then revokes the leases, so that another node can
    /// claim the role at once.
    pub(crate) async fn run(mut self, stop: CancellationToken) {
        let mut node_lease = HeldLease::default();
        let mut role_lease = HeldLease::default();
        let mut failing = false;
        let mut pause = ROLE_INTERVAL;
        while !stop.is_cancelled() {
            match self.maintain(&mut node_lease, &mut role_lease).await {
                Ok(()) if failing => {
                    tracing::info!(event = "leases_regained");
                    failing = false;
                    pause = ROLE_INTERVAL;
                }
                Ok(()) => {}
                Err(error) => {
                    self.metrics.store_failure("lease");
                    let holds = self.shared.lock().role.held_fence().is_some();
                    pause = if holds {
                        ROLE_INTERVAL
                    } else {
                        IDLE_RETRY_PAUSE
                    };
                    if !failing {
                        tracing::warn!(event = "leases_lost", %error);
                        failing = true;
                    }
                }
            }
            stop.run_until_cancelled(self.wait(pause)).await;
        }
        if role_lease.lease.is_some() {
            sleep(ORDER_DELIVERY_TIME).await;
        }
        for lease in [role_lease.lease, node_lease.lease].into_iter().flatten() {
            if let Err(error) = self.store.lease_revoke(lease.id).await {
                tracing::info!(event = "lease_unended", %error);
            }
        }
    }

    /// Waits for the next check; a vacant role ends the wait early. When a call
    /// finds no coordinator meanwhile, other nodes are queried for it.
    async fn wait(&self, longest: Duration) {
        let end = Instant::now() + longest;
        loop {
            tokio::select! {
                () = self.shared.role_vacant.notified() => {
                    let claim_delay = self.shared.lock().role.claim_delay();
                    return sleep(claim_delay).await;
                }
                () = self.discover_when_wanted() => {}
                () = sleep_until(end) => return,
            }
        }
    }

    async fn discover_when_wanted(&self) {
        self.shared.coordinator_wanted.notified().await;
        self.discover_coordinator().await;
        sleep(DISCOVERY_INTERVAL).await;
    }

    /// Renews leases that are due, registers the node, claims the role if it is
    /// vacant, and, as coordinator, counts the nodes and gives up the role to a
    /// larger node.
    async fn maintain(
        &mut self,
        node_lease: &mut HeldLease,
        role_lease: &mut HeldLease,
    ) -> Result<(), KvError> {
        self.end_past_leases(node_lease, role_lease);
        self.renew_role(role_lease).await?;
        self.end_past_leases(node_lease, role_lease);
        let now = self.shared.now();
        let is_cut = self.shared.lock().links.is_cut();
        let handicap = if is_cut {
            CUT_CLAIM_DELAY
        } else {
            Duration::ZERO
        };
        if self.shared.lock().role.try_start_claim(handicap, now) {
            if is_cut {
                self.next_cut_yield = now + CUT_TERM;
            }
            self.claim_role(role_lease).await?;
        }
        let holds = self.shared.lock().role.held_fence().is_some();
        if is_cut && holds && now >= self.next_cut_yield && self.has_zone_peers() {
            self.next_cut_yield = now + CUT_TERM;
            self.yield_role(role_lease).await?;
        }
        if self.count_nodes(now).await? && self.larger_peer_is_ready().await {
            self.yield_role(role_lease).await?;
        }
        let is_due = match node_lease.lease {
            Some(_) => now >= node_lease.renewed + NODE_RENEWAL_INTERVAL,
            None => now >= self.next_registration,
        };
        if is_due {
            if let Some(lease) = node_lease.lease
                && (self.renew(node_lease).await? || lease.era < self.shared.eras.newest())
            {
                return Ok(());
            }
            self.register(node_lease).await?;
        }
        Ok(())
    }

    /// Drops the leases that ended with an earlier era of the store. The
    /// registration follows after a random time, so that the fleet's nodes do not
    /// register together.
    fn end_past_leases(&mut self, node_lease: &mut HeldLease, role_lease: &mut HeldLease) {
        let era = self.shared.eras.newest();
        for (name, held) in [("node", &mut *node_lease), ("role", role_lease)] {
            let now = self.shared.now();
            if let Some(lease) = held.lease.take_if(|lease| lease.era < era) {
                tracing::warn!(event = "lease_past", name, lease = lease.id,
                    lease_era = %lease.era, %era,
                    age_ms = now.saturating_sub(held.renewed).as_millis() as u64);
            }
        }
        if node_lease.lease.is_none() && node_lease.renewed > Now::ZERO {
            node_lease.renewed = Now::ZERO;
            let pause = rand::random_range(Duration::ZERO..REGISTRATION_SPREAD);
            self.next_registration = self.shared.now() + pause;
            self.count_holds_until = self.shared.now() + REGISTRATION_TIME;
        }
    }

    /// Renews the role's lease. If the store does not respond, other nodes are
    /// queried whether it responds to them.
    async fn renew_role(&mut self, role_lease: &mut HeldLease) -> Result<(), KvError> {
        let Some(lease) = role_lease.lease else {
            return Ok(());
        };
        let sent = self.shared.now();
        let renewed = timeout(RENEWAL_TIMEOUT, self.store.lease_keep_alive(lease.id)).await;
        match renewed {
            // The id may have been given out again in a later era.
            Ok(Ok(Some(renewed))) if renewed.era != lease.era => {
                role_lease.lease = None;
                Ok(())
            }
            Ok(Ok(Some(_))) => {
                role_lease.renewed = sent;
                self.shared.lock().role.on_renewed(sent, lease.ttl);
                Ok(())
            }
            Ok(Ok(None)) => {
                tracing::warn!(event = "role_lease_ended", zone = %self.cfg.zone);
                role_lease.lease = None;
                Ok(())
            }
            Ok(Err(error)) => {
                self.update_from_store_reports().await;
                Err(error)
            }
            Err(_elapsed) => {
                self.update_from_store_reports().await;
                Err(KvError::Unknown {
                    message: "the lease renewal timed out".into(),
                })
            }
        }
    }

    /// Gives up the role in favour of a node that claims it earlier: a larger one, or one
    /// that reaches the instances.
    async fn yield_role(&mut self, role_lease: &mut HeldLease) -> Result<(), KvError> {
        tracing::info!(event = "role_yielded", zone = %self.cfg.zone, cores = self.cfg.cores);
        self.shared.lock().role.resign();
        self.commands.send(Command::Refresh);
        sleep(ORDER_DELIVERY_TIME).await;
        match role_lease.lease.take() {
            Some(lease) => self.store.lease_revoke(lease.id).await,
            None => Ok(()),
        }
    }

    /// Counts the nodes, between which the retry budget is divided; the feeds
    /// carry the count to the zone. Returns whether the nodes were counted.
    async fn count_nodes(&mut self, now: Now) -> Result<bool, KvError> {
        let holds = self.shared.lock().role.held_fence().is_some();
        if !holds || now < self.next_count {
            return Ok(false);
        }
        self.next_count = now + NODE_COUNT_INTERVAL;
        let entries = self.store.list_stale(NODE_PREFIX).await?.entries;
        let records = entries.iter().filter_map(|e| {
            serde_json::from_slice::<NodeRecord>(&e.value)
                .inspect_err(|error| {
                    tracing::warn!(event = "node_unreadable", key = %e.key, %error);
                })
                .ok()
        });
        let zone_peers = records
            .filter(|r| r.zone == self.cfg.zone && r.node != self.cfg.node)
            .map(|r| ZonePeer {
                addr: r.addr,
                cores: r.cores,
            })
            .collect();
        let known = self.shared.lock().budget.node_count();
        if now < self.count_holds_until && entries.len() < known {
            return Ok(false);
        }
        self.zone_peers = Some(zone_peers);
        let nodes = entries.len();
        self.shared.feeds.set_node_count(nodes);
        self.shared.lock().set_node_count(nodes, now);
        Ok(true)
    }

    /// Renews a lease; returns whether it still exists.
    async fn renew(&self, held: &mut HeldLease) -> Result<bool, KvError> {
        let Some(lease) = held.lease else {
            return Ok(false);
        };
        let renewed = self.store.lease_keep_alive(lease.id).await?;
        let holds = renewed.is_some_and(|renewed| renewed.era == lease.era);
        if holds {
            held.renewed = self.shared.now();
        } else {
            held.lease = None;
        }
        Ok(holds)
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<Lease, KvError> {
        self.store
            .lease_grant(ttl.max(self.cfg.min_lease_ttl))
            .await
    }

    async fn register(&self, node_lease: &mut HeldLease) -> Result<(), KvError> {
        let lease = self.grant_lease(NODE_LEASE_TTL).await?;
        let put = self.put(format!("{NODE_PREFIX}{}", self.cfg.node), lease);
        self.store
            .txn(Transaction {
                preconditions: Vec::new(),
                puts: vec![put],
                deletes: Vec::new(),
            })
            .await?;
        tracing::info!(event = "registered", node = %self.cfg.node, lease = lease.id);
        node_lease.lease = Some(lease);
        node_lease.renewed = self.shared.now();
        Ok(())
    }

    async fn claim_role(&mut self, role_lease: &mut HeldLease) -> Result<(), KvError> {
        let lease = match role_lease.lease {
            Some(lease) => lease,
            None => {
                role_lease.renewed = self.shared.now();
                self.grant_lease(ROLE_LEASE_TTL).await?
            }
        };
        role_lease.lease = Some(lease);
        let key = format!("{ZONE_PREFIX}{}", self.cfg.zone);
        let revision = self.shared.lock().role.replaced_revision();
        let claim = Transaction {
            preconditions: vec![Precondition {
                key: key.as_str().into(),
                revision,
            }],
            puts: vec![self.put(key, lease)],
            deletes: Vec::new(),
        };
        // The TTL counts from the lease's grant or renewal, not from this
        // claim.
        let renewed = role_lease.renewed;
        let claimed = timeout(CLAIM_TIMEOUT, self.store.txn(claim)).await;
        let claimed = claimed.unwrap_or_else(|_elapsed| {
            Err(KvError::Unknown {
                message: "the claim timed out".into(),
            })
        });
        match claimed {
            Ok(TransactionOutcome::Committed { era, revision }) => {
                self.on_claimed(lease, Position { era, revision }, renewed)
            }
            Ok(TransactionOutcome::Conflict { era, current }) => {
                tracing::info!(event = "claim_lost", zone = %self.cfg.zone);
                // The lease is left to expire; renewing it has no use.
                role_lease.lease = None;
                if let Some(entry) = current {
                    self.on_holder(&entry.value, era, entry.revision);
                }
            }
            Err(error) => {
                // The watch shows whether the claim took effect.
                tracing::info!(event = "claim_unknown", zone = %self.cfg.zone, %error);
            }
        }
        Ok(())
    }

    fn on_claimed(&mut self, lease: Lease, claimed: Position, renewed: Now) {
        let Position { era, revision } = claimed;
        // Before the claim's era is known to the role, it could end the new term.
        self.shared.apply_era(&self.cfg);
        let Some(holder) = self.record(lease.era).holder(era, revision) else {
            tracing::warn!(event = "claim_past", zone = %self.cfg.zone, %era, revision,
                lease_era = %lease.era);
            return;
        };
        tracing::info!(event = "claimed", zone = %self.cfg.zone, fence = holder.fence, %era);
        self.next_count = self.shared.now();
        let mut state = self.shared.lock();
        state.role.on_holder(holder);
        state.role.on_renewed(renewed, lease.ttl);
        drop(state);
        self.shared.holder_changed.notify_waiters();
        self.commands.send(Command::Refresh);
    }

    fn on_holder(&self, value: &[u8], era: Era, revision: i64) {
        match serde_json::from_slice::<NodeRecord>(value) {
            Ok(record) => {
                if let Some(holder) = record.holder(era, revision) {
                    self.shared.lock().role.on_holder(holder);
                }
            }
            Err(error) => tracing::warn!(event = "coordinator_unreadable", %error),
        }
        self.commands.send(Command::Refresh);
    }

    fn put(&self, key: String, lease: Lease) -> Put {
        Put {
            key: key.into(),
            value: serde_json::to_vec(&self.record(lease.era))
                .expect("a NodeRecord always serializes"),
            lease: Some(lease.id),
        }
    }

    fn record(&self, era: Era) -> NodeRecord {
        NodeRecord {
            node: self.cfg.node.clone(),
            zone: self.cfg.zone.clone(),
            cores: self.cfg.cores,
            incarnation: self.incarnation,
            addr: self.cfg.peers,
            era,
        }
    }
}

impl NodeRecord {
    /// Returns the holder that a coordinator's key names, given the key's revision
    /// in `era`; `None` if the key was written under a lease of another era or its
    /// revision makes no fencing token.
    pub(crate) fn holder(self, era: Era, revision: i64) -> Option<Holder> {
        let fence = fence(era, revision).filter(|_| self.era == era)?;
        Some(Holder {
            node: self.node,
            incarnation: self.incarnation,
            addr: self.addr,
            fence,
        })
    }
}

/// A lease, if this node has one.
#[derive(Clone, Copy, Debug, Default)]
struct HeldLease {
    lease: Option<Lease>,
    renewed: Now,
}
