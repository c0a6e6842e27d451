//! The nodes' own keys in the platform's store: who is there, and who is the
//! coordinator of each availability zone.

use crate::coordinator::{Command, CommandTx};
use crate::metrics::Metrics;
use crate::settings::GatewaySettings;
use crate::state::{Neighbour, Shared};
use crate::sync::Follower;
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

/// Keys of the nodes.
pub(crate) const PREFIX: &str = "reedford/";
/// Keys of the coordinators, by zone.
const ZONES: &str = "reedford/zones/";
/// Keys of all nodes, by name.
const NODES: &str = "reedford/nodes/";
/// Time to live of a node's lease; a lost coordinator is replaced after it.
const LEASE: Duration = Duration::from_millis(1_500);
/// Pause between two renewals; three of them fail before the lease ends.
const RENEWAL: Duration = Duration::from_millis(400);

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
}

impl<K> Membership<K>
where
    K: KeyValue,
{
    /// Runs until `stop`, and then ends the lease, so that another node can
    /// take the role over at once.
    pub(crate) async fn run(self, stop: CancellationToken) {
        let mut lease: Option<Lease> = None;
        while !stop.is_cancelled() {
            match self.renew(&mut lease).await {
                Ok(()) => self.claim_if_due(lease).await,
                Err(error) => {
                    self.metrics.store_failure("lease");
                    tracing::info!(event = "lease_unrenewed", %error);
                }
            }
            stop.run_until_cancelled(sleep(RENEWAL)).await;
        }
        if let Some(lease) = lease
            && let Err(error) = self.kv.lease_revoke(lease.id).await
        {
            tracing::info!(event = "lease_unended", %error);
        }
    }

    async fn renew(&self, lease: &mut Option<Lease>) -> Result<(), KvError> {
        if let Some(held) = lease
            && self.kv.lease_keep_alive(held.id).await?.is_some()
        {
            return Ok(());
        }
        *lease = None;
        let ttl = LEASE.max(self.cfg.shortest_lease);
        let new = self.kv.lease_grant(ttl).await?;
        self.kv
            .txn(Transaction {
                expect: Vec::new(),
                puts: vec![self.put(format!("{NODES}{}", self.cfg.node), new)],
                deletes: Vec::new(),
            })
            .await?;
        tracing::info!(event = "registered", node = %self.cfg.node, lease = new.id);
        *lease = Some(new);
        Ok(())
    }

    async fn claim_if_due(&self, lease: Option<Lease>) {
        let now = self.shared.now();
        let Some(lease) = lease else { return };
        if !self.shared.lock().role.should_claim(now) {
            return;
        }
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
                if let Some(entry) = current {
                    self.on_holder(&entry.value, entry.revision);
                }
            }
            Err(error) => {
                // The watch tells whether the claim took effect.
                tracing::info!(event = "claim_unknown", zone = %self.cfg.zone, %error);
            }
        }
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
        if key.starts_with(NODES) {
            state.nodes.insert(key.into());
            return;
        }
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
        state.nodes.remove(key);
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
            let zones = state.neighbours.keys().map(|zone| format!("{ZONES}{zone}"));
            let nodes = state.nodes.iter().map(|key| key.to_string());
            zones.chain(nodes).collect()
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
        let mut state = self.shared.lock();
        let nodes = state.nodes.len();
        state.budget.set_nodes(nodes);
        drop(state);
        self.commands.send(Command::Refresh);
    }
}
