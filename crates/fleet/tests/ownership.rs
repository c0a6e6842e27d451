//! Who coordinates a zone.

use reedford_fleet::Now;
use reedford_fleet::ownership::{Holder, Role};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

const PATIENCE: Duration = Duration::from_millis(100);

fn holder(node: &str, incarnation: u64, fence: u64) -> Holder {
    Holder {
        node: node.into(),
        incarnation,
        addr: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 7_000),
        fence,
    }
}

fn ms(ms: u64) -> Now {
    Duration::from_millis(ms)
}

fn role() -> Role {
    Role::new("me".into(), 1, PATIENCE)
}

#[test]
fn a_vacant_role_is_claimed_after_the_patience() {
    let mut role = role();
    assert!(!role.should_claim(ms(0)), "nothing is known yet");
    role.on_vacant(ms(10));
    assert!(!role.should_claim(ms(50)));
    assert!(role.should_claim(ms(110)));
    assert!(!role.should_claim(ms(120)), "not twice at once");
}

#[test]
fn the_last_holder_claims_first() {
    let mut role = role();
    role.on_holder(holder("me", 1, 5));
    role.on_vacant(ms(10));
    assert!(role.should_claim(ms(10)));
    assert_eq!(role.held(), Some(5), "it goes on meanwhile");
}

#[test]
fn an_earlier_run_of_this_node_is_somebody_else() {
    let mut role = role();
    role.on_holder(holder("me", 0, 5));
    assert_eq!(role.held(), None);
}

#[test]
fn a_holder_with_a_lower_number_is_ignored() {
    let mut role = role();
    role.on_holder(holder("other", 1, 7));
    role.on_holder(holder("me", 1, 5));
    assert_eq!(role.held(), None);
    assert_eq!(role.holder().map(|h| h.fence), Some(7));
}

#[test]
fn a_refusal_by_an_engine_ends_the_role() {
    let mut role = role();
    role.on_holder(holder("me", 1, 5));
    role.on_fenced(5);
    assert_eq!(role.held(), None);
}

#[test]
fn a_vacant_role_has_no_holder_to_ask() {
    let mut role = role();
    role.on_holder(holder("other", 1, 5));
    role.on_vacant(ms(1));
    assert!(role.holder().is_none());
    role.on_holder(holder("third", 1, 6));
    assert_eq!(role.holder().map(|h| &*h.node), Some("third"));
}
