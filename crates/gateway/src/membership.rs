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
use reedford_fleet::ownership::Holder;
use reedford_fleet::{Now, ZoneId};
use reedford_store::{
    KeyValue, KvError, Lease, Precondition, Put, Transaction, TransactionOutcome,
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
/// Interval at which a coordinator counts the nodes.
const NODE_COUNT_INTERVAL: Duration = Duration::from_secs(5);
/// TTL of a coordinator's lease; a failed coordinator is replaced after it.
const ROLE_LEASE_TTL: Duration = Duration::from_millis(1_500);
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
/// Timeout for a claim of the role. The store responds within milliseconds, and
/// within a few hundred when it is slow. If the response is lost, the watch
/// shows the claim.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(600);

/// Value of a node's registration, and of the coordinator key that it holds.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct NodeRecord {
    pub(crate) node: Box<str>,
    pub(crate) zone: ZoneId,
    cores: f64,
    incarnation: u64,
    addr: SocketAddr,
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
        self.renew_role(role_lease).await?;
        let now = self.shared.now();
        if self.shared.lock().role.try_start_claim(now) {
            self.claim_role(role_lease).await?;
        }
        if self.count_nodes(now).await? && self.larger_peer_is_ready().await {
            self.yield_role(role_lease).await?;
        }
        if node_lease.lease.is_none() || now >= node_lease.renewed + NODE_RENEWAL_INTERVAL {
            if node_lease.lease.is_some() && self.renew(node_lease).await? {
                return Ok(());
            }
            self.register(node_lease).await?;
        }
        Ok(())
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

    /// Gives up the role in favour of a larger node, whose claim delay is
    /// shorter.
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
        self.zone_peers = Some(zone_peers);
        let nodes = entries.len();
        self.shared.feeds.set_node_count(nodes);
        self.shared.lock().budget.set_node_count(nodes);
        Ok(true)
    }

    /// Renews a lease; returns whether it still exists.
    async fn renew(&self, held: &mut HeldLease) -> Result<bool, KvError> {
        let Some(lease) = held.lease else {
            return Ok(false);
        };
        let holds = self.store.lease_keep_alive(lease.id).await?.is_some();
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
        let claim = Transaction {
            preconditions: vec![Precondition {
                key: key.as_str().into(),
                revision: 0,
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
            Ok(TransactionOutcome::Committed { revision }) => {
                self.on_claimed(revision, renewed, lease.ttl)
            }
            Ok(TransactionOutcome::Conflict { current }) => {
                tracing::info!(event = "claim_lost", zone = %self.cfg.zone);
                // The lease is left to expire; renewing it has no use.
                role_lease.lease = None;
                if let Some(entry) = current {
                    self.on_holder(&entry.value, entry.revision);
                }
            }
            Err(error) => {
                // The watch shows whether the claim took effect.
                tracing::info!(event = "claim_unknown", zone = %self.cfg.zone, %error);
            }
        }
        Ok(())
    }

    fn on_claimed(&mut self, revision: i64, renewed: Now, ttl: Duration) {
        tracing::info!(event = "claimed", zone = %self.cfg.zone, fence = revision);
        self.next_count = self.shared.now();
        let record = self.record();
        let mut state = self.shared.lock();
        state.role.on_holder(record.holder(revision));
        state.role.on_renewed(renewed, ttl);
        drop(state);
        self.shared.holder_changed.notify_waiters();
        self.commands.send(Command::Refresh);
    }

    fn on_holder(&self, value: &[u8], revision: i64) {
        match serde_json::from_slice::<NodeRecord>(value) {
            Ok(record) => self.shared.lock().role.on_holder(record.holder(revision)),
            Err(error) => tracing::warn!(event = "coordinator_unreadable", %error),
        }
        self.commands.send(Command::Refresh);
    }

    fn put(&self, key: String, lease: Lease) -> Put {
        Put {
            key: key.into(),
            value: serde_json::to_vec(&self.record()).expect("a NodeRecord always serializes"),
            lease: Some(lease.id),
        }
    }

    fn record(&self) -> NodeRecord {
        NodeRecord {
            node: self.cfg.node.clone(),
            zone: self.cfg.zone.clone(),
            cores: self.cfg.cores,
            incarnation: self.incarnation,
            addr: self.cfg.peers,
        }
    }
}

impl NodeRecord {
    fn holder(self, revision: i64) -> Holder {
        Holder {
            node: self.node,
            incarnation: self.incarnation,
            addr: self.addr,
            fence: u64::try_from(revision).unwrap_or(0),
        }
    }
}

/// A lease, if this node has one.
#[derive(Clone, Copy, Debug, Default)]
struct HeldLease {
    lease: Option<Lease>,
    renewed: Now,
}
