//! Which other node opens connections to instances for this one.

use crate::{Now, ZoneId};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time for which a node that failed or refused is not used.
const AVOIDANCE_TIME: Duration = Duration::from_secs(1);
/// Time for which a node that stops is not used; longer than it takes to stop.
const STOPPING_TIME: Duration = Duration::from_secs(10);
/// Age at which the list of nodes is read again while it is in use.
const MAX_LIST_AGE: Duration = Duration::from_secs(10);
/// Weight of a node of this zone, as a multiple of that of others.
const SAME_ZONE_WEIGHT: f64 = 2.0;

/// Another node.
#[derive(Clone, Debug, PartialEq)]
pub struct RelayNode {
    /// Address for other nodes.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its cores.
    pub cores: f64,
}

/// The other nodes that this one knows of.
#[derive(Clone, Debug, Default)]
pub struct Relays {
    nodes: Vec<RelayNode>,
    listed_at: Option<Now>,
    avoided_until: BTreeMap<SocketAddr, Now>,
}

impl Relays {
    /// Sets the other nodes.
    pub fn set_nodes(&mut self, nodes: Vec<RelayNode>, now: Now) {
        self.nodes = nodes;
        self.listed_at = Some(now);
    }

    /// Whether the nodes have to be listed, because this node uses them and the list is
    /// missing or old.
    #[must_use]
    pub fn wants_list(&self, now: Now) -> bool {
        self.listed_at.is_none_or(|at| now >= at + MAX_LIST_AGE)
    }

    /// Records that a node failed or refused to open a connection.
    pub fn avoid(&mut self, addr: SocketAddr, now: Now) {
        self.avoid_until(addr, now + AVOIDANCE_TIME, now);
    }

    /// Records that a node stops. The nodes have to be listed again, since others may have
    /// started in its place.
    pub fn on_stopping(&mut self, addr: SocketAddr, now: Now) {
        self.avoid_until(addr, now + STOPPING_TIME, now);
        self.listed_at = None;
    }

    fn avoid_until(&mut self, addr: SocketAddr, until: Now, now: Now) {
        self.avoided_until.retain(|_, until| *until > now);
        let avoided = self.avoided_until.entry(addr).or_default();
        *avoided = until.max(*avoided);
    }

    /// Selects a node, with a probability that grows with its cores and is higher in the
    /// own zone. `others` are used while no nodes are listed. `random` is between 0
    /// and 1.
    #[must_use]
    pub fn choose(
        &self,
        zone: &str,
        others: &[RelayNode],
        random: f64,
        now: Now,
    ) -> Option<SocketAddr> {
        let nodes = if self.nodes.is_empty() {
            others
        } else {
            &self.nodes
        };
        let is_avoided = |addr: SocketAddr| {
            self.avoided_until
                .get(&addr)
                .is_some_and(|until| now < *until)
        };
        let weight = |node: &RelayNode| {
            let preference = if *node.zone == *zone {
                SAME_ZONE_WEIGHT
            } else {
                1.0
            };
            node.cores * preference
        };
        let usable: Vec<&RelayNode> = nodes.iter().filter(|n| !is_avoided(n.addr)).collect();
        let mut left = usable.iter().map(|n| weight(n)).sum::<f64>() * random;
        for node in &usable {
            left -= weight(node);
            if left <= 0.0 {
                return Some(node.addr);
            }
        }
        usable.last().map(|node| node.addr)
    }
}
