//! The nodes' own keys in the platform's store: who is there, and who is the
//! coordinator of each availability zone.

use crate::coordinator::{Command, CommandTx};
use crate::metrics::Metrics;
use crate::settings::GatewaySettings;
use crate::state::{Neighbour, Shared};
use crate::sync::Follower;
use reedford_fleet::Now;
use reedford_fleet::ownership::Holder;
use reedford_store::{
    Change, ChangeKind, Entry, Expect, KeyValue, KvError, Lease, Put, Swapped, Transaction,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Keys of the coordinators, by zone.
pub(crate) const ZONES: &str = "reedford/zones/";
/// Keys of all nodes, by name.
const NODES: &str = "reedford/nodes/";
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

/// What a node writes about itself.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct NodeRecord {
    node: Box<str>,
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
        while !stop.is_cancelled() {
            match self.keep(&mut node, &mut role).await {
                Ok(()) if lost => {
                    tracing::info!(event = "leases_regained");
                    lost = false;
                }
                Ok(()) => {}
                Err(error) => {
                    self.metrics.store_failure("lease");
                    if !lost {
                        tracing::warn!(event = "leases_lost", %error);
                        lost = true;
                    }
                }
            }
            stop.run_until_cancelled(sleep(LOOK)).await;
        }
        for lease in [role.lease, node.lease].into_iter().flatten() {
            if let Err(error) = self.kv.lease_revoke(lease.id).await {
                tracing::info!(event = "lease_unended", %error);
            }
        }
    }

    /// Renews what is due, and claims the role when it is vacant.
    async fn keep(&mut self, node: &mut Held, role: &mut Held) -> Result<(), KvError> {
        if role.lease.is_some() && !self.renew(role).await? {
            tracing::warn!(event = "role_lease_ended", zone = %self.cfg.zone);
        }
        let now = self.shared.now();
        if self.shared.lock().role.should_claim(now) {
            self.claim(role).await?;
        }
        self.count_nodes(now).await?;
        if node.lease.is_none() || now >= node.renewed + NODE_RENEWAL {
            if node.lease.is_some() && self.renew(node).await? {
                return Ok(());
            }
            self.register(node).await?;
        }
        Ok(())
    }

    /// Counts the nodes, for the retry budget of this node and those it tells.
    async fn count_nodes(&mut self, now: Now) -> Result<(), KvError> {
        let holds = self.shared.lock().role.held().is_some();
        if !holds || now < self.next_count {
            return Ok(());
        }
        self.next_count = now + COUNT_PAUSE;
        let nodes = self.kv.list(NODES).await?.entries.len();
        self.shared.feeds.on_nodes(nodes);
        self.shared.lock().budget.set_nodes(nodes);
        Ok(())
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
                expect: Vec::new(),
                puts: vec![put],
                deletes: Vec::new(),
            })
            .await?;
        tracing::info!(event = "registered", node = %self.cfg.node, lease = lease.id);
        node.lease = Some(lease);
        node.renewed = self.shared.now();
        Ok(())
    }

    async fn claim(&self, role: &mut Held) -> Result<(), KvError> {
        let lease = match role.lease {
            Some(lease) => lease,
            None => self.grant(ROLE_LEASE).await?,
        };
        role.lease = Some(lease);
        let key = format!("{ZONES}{}", self.cfg.zone);
        let claim = Transaction {
            expect: vec![Expect {
                key: key.as_str().into(),
                revision: 0,
            }],
            puts: vec![self.put(key, lease)],
            deletes: Vec::new(),
        };
        match self.kv.txn(claim).await {
            Ok(Swapped::Done { revision }) => self.on_claimed(revision),
            Ok(Swapped::Lost { current }) => {
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

    fn on_claimed(&self, revision: i64) {
        tracing::info!(event = "claimed", zone = %self.cfg.zone, fence = revision);
        let record = self.record();
        self.shared.lock().role.on_holder(record.holder(revision));
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

/// Takes the nodes' keys.
#[derive(Debug)]
pub(crate) struct Members {
    pub(crate) cfg: Arc<GatewaySettings>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) commands: CommandTx,
}

impl Members {
    fn on_put(&self, key: &str, value: &[u8], revision: i64) {
        let mut state = self.shared.lock();
        let Some(zone) = key.strip_prefix(ZONES) else {
            return;
        };
        let record: NodeRecord = match serde_json::from_slice(value) {
            Ok(record) => record,
            Err(error) => {
                tracing::warn!(event = "coordinator_unreadable", key, %error);
                return;
            }
        };
        tracing::info!(event = "coordinator", zone, node = %record.node, fence = revision);
        if zone == &*self.cfg.zone {
            state.role.on_holder(record.holder(revision));
        } else {
            let neighbour = Neighbour {
                addr: record.addr,
                outlook: None,
            };
            state.neighbours.insert(zone.into(), neighbour);
        }
    }

    fn on_delete(&self, key: &str) {
        let now = self.shared.now();
        let mut state = self.shared.lock();
        let Some(zone) = key.strip_prefix(ZONES) else {
            return;
        };
        tracing::info!(event = "coordinator_gone", zone);
        if zone == &*self.cfg.zone {
            state.role.on_vacant(now);
        } else {
            state.neighbours.remove(zone);
        }
    }
}

impl Follower for Members {
    fn on_listing(&mut self, entries: Vec<Entry>) {
        let keys: BTreeSet<Box<str>> = entries.iter().map(|e| e.key.clone()).collect();
        for entry in &entries {
            self.on_put(&entry.key, &entry.value, entry.revision);
        }
        let mut gone: Vec<String> = {
            let state = self.shared.lock();
            let zones = state.neighbours.keys();
            zones.map(|zone| format!("{ZONES}{zone}")).collect()
        };
        gone.push(format!("{ZONES}{}", self.cfg.zone));
        for key in gone.iter().filter(|key| !keys.contains(key.as_str())) {
            self.on_delete(key);
        }
    }

    fn on_change(&mut self, change: Change) {
        match change.kind {
            ChangeKind::Put(value) => self.on_put(&change.key, &value, change.revision),
            ChangeKind::Delete => self.on_delete(&change.key),
        }
    }

    fn on_settled(&mut self) {
        self.commands.send(Command::Refresh);
    }
}
