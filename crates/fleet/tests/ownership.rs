//! Which node coordinates a zone.

use reedford_fleet::ownership::{Holder, Role, StoreReport, fence};
use reedford_fleet::{Era, Now};
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
    assert!(
        !role.try_start_claim(Duration::ZERO, ms(0)),
        "nothing is known yet"
    );
    role.on_vacant(ms(10));
    assert!(!role.try_start_claim(Duration::ZERO, ms(50)));
    assert!(role.try_start_claim(Duration::ZERO, ms(110)));
    assert!(
        !role.try_start_claim(Duration::ZERO, ms(120)),
        "not again at once"
    );
}

#[test]
fn the_last_holder_claims_first() {
    let mut role = role();
    role.on_holder(holder("me", 1, 5));
    role.on_vacant(ms(10));
    assert!(role.try_start_claim(Duration::ZERO, ms(10)));
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
    assert!(role.try_start_claim(Duration::ZERO, ms(100)));
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

/// A claim in an era of the store.
struct FenceCase {
    era: u64,
    revision: i64,
    fence: Option<u64>,
}

#[test_case(FenceCase { era: 0, revision: 7, fence: Some(7) }; "without eras it is the revision")]
#[test_case(FenceCase { era: 1, revision: 7, fence: Some((1 << 40) + 7) }; "a later era outweighs any revision")]
#[test_case(FenceCase { era: 8_191, revision: (1 << 40) - 1, fence: Some((1 << 53) - 1) }; "the highest")]
#[test_case(FenceCase { era: 8_192, revision: 7, fence: None }; "era too high")]
#[test_case(FenceCase { era: 0, revision: 1 << 40, fence: None }; "revision too high")]
#[test_case(FenceCase { era: 0, revision: -1, fence: None }; "negative revision")]
fn a_fencing_token_is_composed_of_era_and_revision(case: FenceCase) {
    let fence = fence(Era::new(case.era), case.revision);
    assert_eq!(fence, case.fence);
    if let Some(fence) = fence {
        assert_eq!(holder("me", 1, fence).era(), Era::new(case.era));
    }
}

const ERA_1: u64 = 1 << 40;
const JITTER: Duration = Duration::from_millis(800);

/// Returns a role that was last held by `node` in the first era, with the lease of
/// this node renewed at 100 ms, and that learns of the next era at `at`.
fn role_in_next_era(node: &str, at: Now) -> Role {
    let mut role = role();
    role.on_era(Era::FIRST, TTL, JITTER, ms(0));
    role.on_holder(holder(node, 1, 500));
    role.on_renewed(ms(100), TTL);
    assert!(role.on_era(Era::new(1), TTL, JITTER, at));
    role
}

/// Guards against a lease that is used after the store was restored from a copy.
#[test]
fn a_lease_ends_with_its_era() {
    let mut role = role_in_next_era("me", ms(200));
    assert_eq!(role.held_fence(), None);
    assert!(!role.leads(ms(201)));
    role.on_holder(holder("me", 1, 500));
    role.on_renewed(ms(210), TTL);
    assert!(!role.leads(ms(211)), "a late response of the earlier era");
    role.on_vacant(ms(220));
    assert!(
        role.try_start_claim(Duration::ZERO, ms(220)),
        "the last holder claims first"
    );
    role.on_holder(holder("me", 1, ERA_1 + 20));
    role.on_renewed(ms(220), TTL);
    assert!(role.leads(ms(230)), "no other node led when the era rose");
}

/// Guards against two nodes that give orders at once after the store was restored:
/// the last holder may not know of the era yet.
#[test]
fn another_node_leads_after_the_last_holder_has_stopped() {
    let mut role = role_in_next_era("other", ms(200));
    assert!(role.holder().is_some(), "it still serves feeds");
    role.on_vacant(ms(210));
    assert!(
        !role.try_start_claim(Duration::ZERO, ms(900)),
        "not all nodes claim at once"
    );
    assert!(role.try_start_claim(Duration::ZERO, ms(1_000)));
    role.on_holder(holder("me", 1, ERA_1 + 20));
    role.on_renewed(ms(1_000), TTL * 3);
    assert!(!role.leads(ms(2_200)));
    assert!(role.leads(ms(2_400)));
}

/// Guards against a node that waits for a holder of an earlier era at its start.
#[test]
fn the_first_known_era_is_not_a_rise() {
    let mut role = role();
    assert!(!role.on_era(Era::new(3), TTL, JITTER, ms(0)));
    role.on_vacant(ms(0));
    assert!(role.try_start_claim(Duration::ZERO, ms(100)));
    role.on_holder(holder("me", 1, 3 * ERA_1 + 1));
    role.on_renewed(ms(100), TTL);
    assert!(role.leads(ms(110)));
}

/// Guards against a claim of an earlier era that takes effect late, over the key of
/// a holder: the holder stops, and the key is replaced on its revision.
#[test]
fn a_key_of_an_earlier_era_is_replaced() {
    let mut role = role_in_next_era("me", ms(200));
    role.on_past_holder(7, TTL, ms(210));
    assert_eq!(role.replaced_revision(), 7);
    assert!(role.try_start_claim(Duration::ZERO, ms(210)));
    role.on_holder(holder("me", 1, ERA_1 + 20));
    role.on_renewed(ms(220), TTL);
    assert!(role.leads(ms(230)));
    role.on_past_holder(30, TTL, ms(300));
    assert!(!role.leads(ms(310)), "another node may replace the key");
    assert_eq!(role.replaced_revision(), 30);
    role.on_vacant(ms(400));
    assert_eq!(role.replaced_revision(), 0);
}

/// Guards against a holder that is forgotten because a peer reports one of an
/// earlier era, or is known before the era.
#[test]
fn holders_are_ordered_by_era_first() {
    let mut role = role_in_next_era("other", ms(200));
    role.on_vacant(ms(210));
    role.on_peer_holder(holder("third", 1, 900));
    assert_eq!(role.holder().map(|h| &*h.node), Some("other"));
    role.on_peer_holder(holder("fourth", 1, 2 * ERA_1 + 1));
    assert!(role.on_era(Era::new(2), TTL, JITTER, ms(300)));
    assert_eq!(role.holder().map(|h| &*h.node), Some("fourth"));
    assert!(
        !role.on_era(Era::new(1), TTL, JITTER, ms(400)),
        "eras only rise"
    );
}
