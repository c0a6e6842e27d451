//! Who coordinates a zone.

use reedford_fleet::Now;
use reedford_fleet::ownership::{Holder, Role, StoreReport};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;
use test_case::test_case;

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
    assert_eq!(role.held_fence(), Some(5), "it goes on meanwhile");
    assert!(!role.leads(ms(10)), "but orders nothing");
}

const TTL: Duration = Duration::from_millis(1_000);

fn leader() -> Role {
    let mut role = role();
    role.on_holder(holder("me", 1, 5));
    role.on_renewed(ms(100), TTL);
    role
}

#[test]
fn a_holder_orders_while_its_lease_surely_holds() {
    let role = leader();
    assert!(role.leads(ms(900)));
    assert!(!role.leads(ms(1_050)), "somebody else may have claimed");
    assert_eq!(role.held_fence(), Some(5), "the store may still name it");
}

/// A store that does not answer the holder, and what the other nodes say of it.
struct Silence {
    words: &'static [StoreReport],
    leads: bool,
}

#[test_case(Silence { words: &[StoreReport::Silent, StoreReport::Unreachable], leads: true }; "the store is away")]
#[test_case(Silence { words: &[StoreReport::Silent, StoreReport::Answers], leads: false }; "this node is turned away")]
#[test_case(Silence { words: &[StoreReport::Unreachable, StoreReport::Unreachable], leads: false }; "this node is cut off")]
#[test_case(Silence { words: &[], leads: true }; "this node is alone")]
fn a_holder_without_the_store_goes_on_when_nobody_reaches_it(case: Silence) {
    let mut role = leader();
    role.on_store_reports(case.words, ms(900));
    assert_eq!(role.leads(ms(1_400)), case.leads);
}

#[test]
fn a_stopping_holder_orders_nothing_more() {
    let mut role = leader();
    role.resign();
    assert!(!role.leads(ms(200)));
    assert_eq!(role.held_fence(), None);
}

#[test]
fn a_key_that_is_gone_ends_the_orders_at_once() {
    let mut role = leader();
    role.on_vacant(ms(200));
    assert!(!role.leads(ms(201)));
}

#[test]
fn an_earlier_run_of_this_node_is_somebody_else() {
    let mut role = role();
    role.on_holder(holder("me", 0, 5));
    assert_eq!(role.held_fence(), None);
}

#[test]
fn a_holder_with_a_lower_number_is_ignored() {
    let mut role = role();
    role.on_holder(holder("other", 1, 7));
    role.on_holder(holder("me", 1, 5));
    assert_eq!(role.held_fence(), None);
    assert_eq!(role.holder().map(|h| h.fence), Some(7));
}

#[test]
fn a_refusal_by_an_engine_ends_the_role() {
    let mut role = role();
    role.on_holder(holder("me", 1, 5));
    role.on_fenced(5);
    assert_eq!(role.held_fence(), None);
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

#[test]
fn a_later_holder_is_learned_from_another_node() {
    let mut role = leader();
    role.on_peer_holder(holder("third", 1, 6));
    assert!(!role.leads(ms(200)));
    assert_eq!(role.holder().map(|h| &*h.node), Some("third"));
}

#[test]
fn another_node_that_does_not_know_of_a_vacancy_does_not_end_it() {
    let mut role = role();
    role.on_holder(holder("other", 1, 5));
    role.on_vacant(ms(0));
    role.on_peer_holder(holder("other", 1, 5));
    assert!(role.should_claim(ms(100)));
}

#[test]
fn a_holder_that_engines_have_outlived_is_not_taken_again() {
    let mut role = leader();
    role.on_fenced(5);
    role.on_peer_holder(holder("me", 1, 5));
    assert!(role.holder().is_none());
    role.on_peer_holder(holder("third", 1, 6));
    assert!(role.holder().is_some());
}
