//! Order in which a request tries the entry instances, like that of the
//! platform's load balancer.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// How requests are spread over the entry instances.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Spread {
    /// Round robin over all instances.
    #[default]
    RoundRobin,
    /// Round robin over the zones, and within a zone over its instances. The
    /// other zones are tried if no instance of the zone can be reached.
    Zone,
}

/// An entry instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Address for callers.
    pub address: SocketAddr,
    /// Availability zone.
    #[serde(default)]
    pub zone: Box<str>,
}

/// Spreads requests over entry instances.
#[derive(Clone, Debug)]
pub struct Balancer {
    /// Instances by zone; a single list for [`Spread::RoundRobin`].
    zones: Vec<Vec<SocketAddr>>,
}

impl Balancer {
    /// Returns a balancer over `entries`.
    #[must_use]
    pub fn new(entries: &[Entry], spread: Spread) -> Self {
        let mut zones: BTreeMap<&str, Vec<SocketAddr>> = BTreeMap::new();
        for entry in entries {
            let zone = match spread {
                Spread::RoundRobin => "",
                Spread::Zone => &entry.zone,
            };
            zones.entry(zone).or_default().push(entry.address);
        }
        Self {
            zones: zones.into_values().collect(),
        }
    }

    /// Returns all instances in the order in which request number `seq` tries
    /// them.
    #[must_use]
    pub fn order(&self, seq: usize) -> Vec<SocketAddr> {
        let zones = self.zones.len();
        let in_turn = (0..zones).map(|step| &self.zones[(seq + step) % zones]);
        in_turn
            .flat_map(|zone| rotated(zone, seq / zones))
            .collect()
    }
}

fn rotated(zone: &[SocketAddr], by: usize) -> impl Iterator<Item = SocketAddr> {
    let len = zone.len();
    (0..len).map(move |step| zone[(by + step) % len])
}
