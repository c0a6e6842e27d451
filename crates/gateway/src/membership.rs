//! The nodes' own keys in the platform's store: who is there, and who is the
//! coordinator of each availability zone.

mod colleagues;
mod members;

pub(crate) use colleagues::Colleague;
pub(crate) use members::Members;

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

/// Keys of the coordinators, by zone.
pub(crate) const ZONES: &str = "reedford/zones/";
/// Keys of all nodes, by name.
pub(crate) const NODES: &str = "reedford/nodes/";
/// Time to live of a node's registration, which only counts the nodes.
const NODE_LEASE: Duration = Duration::from_secs(9);
/// Pause between two renewals of it.
const NODE_RENEWAL: Duration = Duration::from_millis(2_500);
/// Pause between two counts of the nodes by a coordinator.
const COUNT_PAUSE: Duration = Duration::from_secs(5);
/// Time to live of a coordinator's role; a lost coordinator is replaced after it.
const ROLE_LEASE: Duration = Duration::from_millis(1_500);
/// Pause between two looks at the role and renewals of its lease, of which
/// three fail before it ends.
const LOOK: Duration = Duration::from_millis(400);

/// Time for a renewal of the role's lease, of which two fit into its life.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause after a failure of a node without the role, whose registration only
/// counts it.
const IDLE_RETRY: Duration = Duration::from_millis(1_200);

/// Time for orders on their way to reach their engines before another node may
/// claim the role; they take some milliseconds.
const ORDERS_LAND: Duration = Duration::from_millis(100);
/// Pause between two questions for the coordinator.
const LEARN_PAUSE: Duration = Duration::from_millis(300);
/// Time for the store to take a claim; it answers in milliseconds, and in some
/// hundred when it is slow. The watch tells of a claim whose answer was lost.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(600);

/// What a node writes about itself.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct NodeRecord {
    pub(crate) node: Box<str>,
    pub(crate) zone: ZoneId,
    /// Cores that the node may use.
    cores: f64,
    incarnation: u64,
    addr: SocketAddr,
}

/// Keeps this node's lease, its registration, and the role of its zone.
#[derive(Debug)]
pub(crate) struct Membership<K> {
    pub(crate) cfg: Arc<GatewaySettings>,
    pub(crate) kv: Arc<K>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) commands: CommandTx,
    pub(crate) incarnation: u64,
    pub(crate) peers: Arc<PeerClients>,
    /// Other nodes of the zone; `None` until a coordinator has counted them.
    pub(crate) colleagues: Option<Vec<Colleague>>,
    /// When the nodes are counted next.
    pub(crate) next_count: Now,
}

impl<K> Membership<K>
where
    K: KeyValue,
{
    /// Runs until `stop`, and then ends the leases, so that another node can
    /// take the role over at once.
    pub(crate) async fn run(mut self, stop: CancellationToken) {
        let mut node = Held::default();
        let mut role = Held::default();
        let mut lost = false;
        let mut pause = LOOK;
        while !stop.is_cancelled() {
            match self.keep(&mut node, &mut role).await {
                Ok(()) if lost => {
                    tracing::info!(event = "leases_regained");
                    lost = false;
                    pause = LOOK;
                }
                Ok(()) => {}
                Err(error) => {
                    self.metrics.store_failure("lease");
                    let holds = self.shared.lock().role.held_fence().is_some();
                    pause = if holds { LOOK } else { IDLE_RETRY };
                    if !lost {
                        tracing::warn!(event = "leases_lost", %error);
                        lost = true;
                    }
                }
            }
            stop.run_until_cancelled(self.pause(pause)).await;
        }
        if role.lease.is_some() {
            sleep(ORDERS_LAND).await;
        }
        for lease in [role.lease, node.lease].into_iter().flatten() {
            if let Err(error) = self.kv.lease_revoke(lease.id).await {
                tracing::info!(event = "lease_unended", %error);
            }
        }
    }

    /// Waits for the next look, which a vacancy brings forward. Meanwhile other
    /// nodes are asked for the coordinator when calls find none.
    async fn pause(&self, longest: Duration) {
        let end = Instant::now() + longest;
        loop {
            tokio::select! {
                () = self.shared.role_vacant.notified() => {
                    let patience = self.shared.lock().role.claim_delay();
                    return sleep(patience).await;
                }
                () = self.learn_when_asked() => {}
                () = sleep_until(end) => return,
            }
        }
    }

    async fn learn_when_asked(&self) {
        self.shared.no_coordinator.notified().await;
        self.learn_coordinator().await;
        sleep(LEARN_PAUSE).await;
    }

    /// Renews what is due, and claims the role when it is vacant.
    async fn keep(&mut self, node: &mut Held, role: &mut Held) -> Result<(), KvError> {
        self.keep_role(role).await?;
        let now = self.shared.now();
        if self.shared.lock().role.should_claim(now) {
            self.claim(role).await?;
        }
        if self.count_nodes(now).await? && self.larger_is_ready().await {
            self.yield_role(role).await?;
        }
        if node.lease.is_none() || now >= node.renewed + NODE_RENEWAL {
            if node.lease.is_some() && self.renew(node).await? {
                return Ok(());
            }
            self.register(node).await?;
        }
        Ok(())
    }

    /// Renews the role's lease. When the store does not answer, other nodes
    /// tell whether it answers them.
    async fn keep_role(&mut self, role: &mut Held) -> Result<(), KvError> {
        let Some(lease) = role.lease else {
            return Ok(());
        };
        let sent = self.shared.now();
        let renewed = timeout(RENEWAL_TIMEOUT, self.kv.lease_keep_alive(lease.id)).await;
        match renewed {
            Ok(Ok(Some(_))) => {
                role.renewed = sent;
                self.shared.lock().role.on_renewed(sent, lease.ttl);
                Ok(())
            }
            Ok(Ok(None)) => {
                tracing::warn!(event = "role_lease_ended", zone = %self.cfg.zone);
                role.lease = None;
                Ok(())
            }
            Ok(Err(error)) => {
                self.ask_colleagues().await;
                Err(error)
            }
            Err(_elapsed) => {
                self.ask_colleagues().await;
                Err(KvError::Unknown {
                    message: "the renewal took too long".into(),
                })
            }
        }
    }

    /// Leaves the role to a larger node, which claims sooner than others.
    async fn yield_role(&mut self, role: &mut Held) -> Result<(), KvError> {
        tracing::info!(event = "role_yielded", zone = %self.cfg.zone, cores = self.cfg.cores);
        self.shared.lock().role.resign();
        self.commands.send(Command::Refresh);
        sleep(ORDERS_LAND).await;
        match role.lease.take() {
            Some(lease) => self.kv.lease_revoke(lease.id).await,
            None => Ok(()),
        }
    }

    /// Counts the nodes, for the retry budget of this node and those it tells.
    /// Answers whether it did.
    async fn count_nodes(&mut self, now: Now) -> Result<bool, KvError> {
        let holds = self.shared.lock().role.held_fence().is_some();
        if !holds || now < self.next_count {
            return Ok(false);
        }
        self.next_count = now + COUNT_PAUSE;
        let entries = self.kv.list(NODES).await?.entries;
        let records = entries.iter().filter_map(|e| {
            serde_json::from_slice::<NodeRecord>(&e.value)
                .inspect_err(|error| {
                    tracing::warn!(event = "node_unreadable", key = %e.key, %error);
                })
                .ok()
        });
        let colleagues = records
            .filter(|r| r.zone == self.cfg.zone && r.node != self.cfg.node)
            .map(|r| Colleague {
                addr: r.addr,
                cores: r.cores,
            })
            .collect();
        self.colleagues = Some(colleagues);
        let nodes = entries.len();
        self.shared.feeds.on_nodes(nodes);
        self.shared.lock().budget.set_node_count(nodes);
        Ok(true)
    }

    /// Renews a lease; answers whether it still holds.
    async fn renew(&self, held: &mut Held) -> Result<bool, KvError> {
        let Some(lease) = held.lease else {
            return Ok(false);
        };
        let holds = self.kv.lease_keep_alive(lease.id).await?.is_some();
        if holds {
            held.renewed = self.shared.now();
        } else {
            held.lease = None;
        }
        Ok(holds)
    }

    async fn grant(&self, ttl: Duration) -> Result<Lease, KvError> {
        self.kv.lease_grant(ttl.max(self.cfg.shortest_lease)).await
    }

    async fn register(&self, node: &mut Held) -> Result<(), KvError> {
        let lease = self.grant(NODE_LEASE).await?;
        let put = self.put(format!("{NODES}{}", self.cfg.node), lease);
        self.kv
            .txn(Transaction {
                preconditions: Vec::new(),
                puts: vec![put],
                deletes: Vec::new(),
            })
            .await?;
        tracing::info!(event = "registered", node = %self.cfg.node, lease = lease.id);
        node.lease = Some(lease);
        node.renewed = self.shared.now();
        Ok(())
    }

    async fn claim(&mut self, role: &mut Held) -> Result<(), KvError> {
        let lease = match role.lease {
            Some(lease) => lease,
            None => {
                role.renewed = self.shared.now();
                self.grant(ROLE_LEASE).await?
            }
        };
        role.lease = Some(lease);
        let key = format!("{ZONES}{}", self.cfg.zone);
        let claim = Transaction {
            preconditions: vec![Precondition {
                key: key.as_str().into(),
                revision: 0,
            }],
            puts: vec![self.put(key, lease)],
            deletes: Vec::new(),
        };
        // The lease was granted or renewed before.
        let sent = role.renewed;
        let claimed = timeout(CLAIM_TIMEOUT, self.kv.txn(claim)).await;
        let claimed = claimed.unwrap_or_else(|_elapsed| {
            Err(KvError::Unknown {
                message: "the claim took too long".into(),
            })
        });
        match claimed {
            Ok(TransactionOutcome::Committed { revision }) => {
                self.on_claimed(revision, sent, lease.ttl)
            }
            Ok(TransactionOutcome::Conflict { current }) => {
                tracing::info!(event = "claim_lost", zone = %self.cfg.zone);
                // The lease is left to end; renewing it would serve nothing.
                role.lease = None;
                if let Some(entry) = current {
                    self.on_holder(&entry.value, entry.revision);
                }
            }
            Err(error) => {
                // The watch tells whether the claim took effect.
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
            value: serde_json::to_vec(&self.record()).expect("a record is plain data"),
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

/// A lease, if one is held.
#[derive(Clone, Copy, Debug, Default)]
struct Held {
    lease: Option<Lease>,
    renewed: Now,
}
