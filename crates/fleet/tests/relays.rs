//! Which other node opens connections to instances.

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use reedford_fleet::Now;
use reedford_fleet::relays::{RelayNode, Relays};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use test_case::test_case;

fn node(number: u16, zone: &str, cores: f64) -> RelayNode {
    RelayNode {
        addr: addr(number),
        zone: zone.into(),
        cores,
    }
}

fn addr(number: u16) -> SocketAddr {
    ([10, 0, 0, 1], number).into()
}

fn seconds(s: u64) -> Now {
    Duration::from_secs(s)
}

struct Case {
    /// Numbers, zones and cores of the other nodes.
    nodes: &'static [(u16, &'static str, f64)],
    /// Numbers of nodes that refused.
    refused: &'static [u16],
    /// Least and largest share of the connections that node 1 opens.
    first_share: (f64, f64),
}

/// Load pattern: a cut node opens connection after connection. Guards against relays that
/// get more than their room allows.
#[test_case(Case { nodes: &[(1, "z1", 0.5), (2, "z1", 0.5)], refused: &[], first_share: (0.45, 0.55) };
    "equal nodes")]
#[test_case(Case { nodes: &[(1, "z1", 0.25), (2, "z1", 0.75)], refused: &[], first_share: (0.2, 0.3) };
    "by cores")]
#[test_case(Case { nodes: &[(1, "z1", 0.5), (2, "z2", 0.5)], refused: &[], first_share: (0.6, 0.72) };
    "own zone preferred, others used")]
#[test_case(Case { nodes: &[(1, "z1", 0.5), (2, "z1", 0.5), (3, "z2", 0.5)], refused: &[2],
    first_share: (0.6, 0.72) }; "without a node that refused")]
fn connections_are_spread(case: Case) {
    const CONNECTIONS: u32 = 4_000;
    let mut relays = Relays::default();
    let nodes = case
        .nodes
        .iter()
        .map(|(n, zone, cores)| node(*n, zone, *cores));
    relays.set_nodes(nodes.collect(), seconds(1));
    for number in case.refused {
        relays.avoid(addr(*number), seconds(10));
    }
    let mut rng = StdRng::seed_from_u64(7);
    let mut counts = BTreeMap::<SocketAddr, u32>::new();
    for _ in 0..CONNECTIONS {
        let chosen = relays.choose("z1", &[], rng.random(), seconds(10));
        *counts.entry(chosen.expect("a node is usable")).or_default() += 1;
    }
    let share = f64::from(counts[&addr(1)]) / f64::from(CONNECTIONS);
    let (least, largest) = case.first_share;
    assert!((least..largest).contains(&share), "{share}");
    for number in case.refused {
        assert!(!counts.contains_key(&addr(*number)));
    }
}

/// Guards against a node that has no relay until the store has responded, or none again
/// after all of them refused for a moment.
#[test]
fn known_coordinators_serve_until_nodes_are_listed() {
    let mut relays = Relays::default();
    let coordinators = [node(5, "z2", 0.25)];
    assert!(relays.wants_list(seconds(1)));
    let chosen = relays.choose("z1", &coordinators, 0.5, seconds(1));
    assert_eq!(chosen, Some(addr(5)));
    relays.set_nodes(vec![node(1, "z1", 0.5)], seconds(1));
    assert!(!relays.wants_list(seconds(2)));
    let chosen = relays.choose("z1", &coordinators, 0.5, seconds(2));
    assert_eq!(chosen, Some(addr(1)));
    relays.avoid(addr(1), seconds(2));
    assert_eq!(relays.choose("z1", &coordinators, 0.5, seconds(2)), None);
    let chosen = relays.choose("z1", &coordinators, 0.5, seconds(4));
    assert_eq!(chosen, Some(addr(1)));
    assert!(relays.wants_list(seconds(12)));
}

/// Guards against connections through a node that stops, and against a node that finds no
/// other one because it doesn't know those that have started since.
#[test]
fn a_node_that_stops_is_not_used() {
    let mut relays = Relays::default();
    relays.set_nodes(vec![node(1, "z1", 0.5), node(2, "z1", 0.5)], seconds(1));
    relays.on_stopping(addr(1), seconds(2));
    relays.avoid(addr(1), seconds(3));
    assert!(relays.wants_list(seconds(3)));
    for random in [0.0, 0.4, 0.9] {
        let chosen = relays.choose("z1", &[], random, seconds(9));
        assert_eq!(chosen, Some(addr(2)));
    }
    assert_eq!(relays.choose("z1", &[], 0.0, seconds(13)), Some(addr(1)));
}
