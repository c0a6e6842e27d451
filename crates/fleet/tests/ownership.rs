//! Which node coordinates a zone.

use reedford_fleet::Now;
use reedford_fleet::ownership::{Holder, Role, StoreReport};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;
use test_case::test_case;

const CLAIM_DELAY: Duration = Duration::from_millis(100);

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
    Role::new("me".into(), 1, CLAIM_DELAY)
}

#[test]
fn a_vacant_role_is_claimed_after_the_claim_delay() {
    let mut role = role();
    assert!(!role.try_start_claim(ms(0)), "nothing is known yet");
    role.on_vacant(ms(10));
    assert!(!role.try_start_claim(ms(50)));
    assert!(role.try_start_claim(ms(110)));
    assert!(!role.try_start_claim(ms(120)), "not again at once");
}

#[test]
fn the_last_holder_claims_first() {
    let mut role = role();
    role.on_holder(holder("me", 1, 5));
    role.on_vacant(ms(10));
    assert!(role.try_start_claim(ms(10)));
    assert_eq!(role.held_fence(), Some(5), "it keeps the role meanwhile");
    assert!(!role.leads(ms(10)), "but gives no orders");
}

const TTL: Duration = Duration::from_millis(1_000);

fn role_with_valid_lease() -> Role {
    let mut role = role();
    role.on_holder(holder("me", 1, 5));
    role.on_renewed(ms(100), TTL);
    role
}

#[test]
fn a_holder_leads_while_its_lease_is_certain_to_be_valid() {
    let role = role_with_valid_lease();
    assert!(role.leads(ms(900)));
    assert!(
        !role.leads(ms(1_050)),
        "another node may have claimed the role"
    );
    assert_eq!(role.held_fence(), Some(5), "the store may still name it");
}

/// Reports of the peers while the store does not respond to the holder.
struct StoreOutageCase {
    reports: &'static [StoreReport],
    leads: bool,
}

#[test_case(StoreOutageCase { reports: &[StoreReport::Silent, StoreReport::Unreachable], leads: true }; "store outage")]
#[test_case(StoreOutageCase { reports: &[StoreReport::Silent, StoreReport::Answers], leads: false }; "only this node gets no response")]
#[test_case(StoreOutageCase { reports: &[StoreReport::Unreachable, StoreReport::Unreachable], leads: false }; "this node is cut off")]
#[test_case(StoreOutageCase { reports: &[], leads: true }; "no peers")]
fn a_holder_without_the_store_keeps_leading_if_peers_confirm_the_outage(case: StoreOutageCase) {
    let mut role = role_with_valid_lease();
    role.on_store_reports(case.reports, ms(900));
    assert_eq!(role.leads(ms(1_400)), case.leads);
}

#[test]
fn a_holder_that_shuts_down_gives_no_more_orders() {
    let mut role = role_with_valid_lease();
    role.resign();
    assert!(!role.leads(ms(200)));
    assert_eq!(role.held_fence(), None);
}

#[test]
fn a_deleted_key_ends_the_orders_at_once() {
    let mut role = role_with_valid_lease();
    role.on_vacant(ms(200));
    assert!(!role.leads(ms(201)));
}

#[test]
fn an_earlier_incarnation_of_this_node_is_another_holder() {
    let mut role = role();
    role.on_holder(holder("me", 0, 5));
    assert_eq!(role.held_fence(), None);
}

#[test]
fn a_holder_with_a_lower_fencing_token_is_ignored() {
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
fn a_vacant_role_has_no_holder() {
    let mut role = role();
    role.on_holder(holder("other", 1, 5));
    role.on_vacant(ms(1));
    assert!(role.holder().is_none());
    role.on_holder(holder("third", 1, 6));
    assert_eq!(role.holder().map(|h| &*h.node), Some("third"));
}

#[test]
fn a_later_holder_is_learned_from_a_peer() {
    let mut role = role_with_valid_lease();
    role.on_peer_holder(holder("third", 1, 6));
    assert!(!role.leads(ms(200)));
    assert_eq!(role.holder().map(|h| &*h.node), Some("third"));
}

#[test]
fn a_peer_that_does_not_know_of_a_vacancy_does_not_end_it() {
    let mut role = role();
    role.on_holder(holder("other", 1, 5));
    role.on_vacant(ms(0));
    role.on_peer_holder(holder("other", 1, 5));
    assert!(role.try_start_claim(ms(100)));
}

#[test]
fn a_holder_with_a_superseded_fencing_token_is_not_recorded_again() {
    let mut role = role_with_valid_lease();
    role.on_fenced(5);
    role.on_peer_holder(holder("me", 1, 5));
    assert!(role.holder().is_none());
    role.on_peer_holder(holder("third", 1, 6));
    assert!(role.holder().is_some());
}
