//! Changes of the ownership table.

use reedford_core::table::{Member, Ownership, PreviousOwner, ZoneTable};
use reedford_core::{InstanceId, WorkerId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};

const PEER_ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 7_000);
const WORKERS: usize = 200;

fn set(names: &[&str]) -> BTreeSet<Box<str>> {
    names.iter().map(|name| (*name).into()).collect()
}

fn members(names: &[&str]) -> ZoneTable {
    names.iter().fold(ZoneTable::default(), |table, name| {
        table.with_member(&(*name).into(), 1, PEER_ADDRESS)
    })
}

fn ownership(owner: &str, incarnation: u64, epoch: u64, previous: &[(&str, u64)]) -> Ownership {
    Ownership {
        owner: owner.into(),
        incarnation,
        epoch,
        previous: previous
            .iter()
            .map(|(owner, incarnation)| PreviousOwner {
                owner: (*owner).into(),
                incarnation: *incarnation,
            })
            .collect(),
    }
}

#[test]
fn each_change_raises_the_sequence_by_one() {
    let joined = ZoneTable::default().with_member(&"a".into(), 1, PEER_ADDRESS);
    let claimed = joined.with_owner(&"a".into(), 1, &set(&["w"]));
    let left = claimed.without_member(&"a".into());
    assert_eq!(
        [joined.sequence, claimed.sequence, left.sequence],
        [1, 2, 3]
    );
    assert_eq!(joined.members["a"].joined, 1);
}

#[test]
fn a_claim_raises_the_epoch_and_lists_the_previous_owner() {
    let first = members(&["a", "b"]).with_owner(&"a".into(), 1, &set(&["w"]));
    assert_eq!(first.workers["w"], ownership("a", 1, 1, &[]));
    let second = first.with_owner(&"b".into(), 1, &set(&["w"]));
    assert_eq!(second.workers["w"], ownership("b", 1, 2, &[("a", 1)]));
    let third = second.with_owner(&"a".into(), 2, &set(&["w", "v"]));
    assert_eq!(
        third.workers["w"],
        ownership("a", 2, 3, &[("a", 1), ("b", 1)])
    );
    assert_eq!(third.workers["v"], ownership("a", 2, 1, &[]));
}

#[test]
fn previous_owners_stay_listed_until_they_are_cleared() {
    let claimed_twice = members(&["a", "b", "c"])
        .with_owner(&"a".into(), 1, &set(&["v", "w"]))
        .with_owner(&"b".into(), 1, &set(&["v", "w"]));
    let cleared = claimed_twice.without_previous_owners(&set(&["w"]));
    let next = cleared.with_owner(&"c".into(), 1, &set(&["v", "w"]));
    assert_eq!(next.workers["w"], ownership("c", 1, 3, &[("b", 1)]));
    assert_eq!(
        next.workers["v"],
        ownership("c", 1, 3, &[("a", 1), ("b", 1)])
    );
}

#[test]
fn a_new_run_owns_no_workers_of_the_old_one() {
    let old = members(&["a"]).with_owner(&"a".into(), 1, &set(&["w"]));
    let new = old.with_member(&"a".into(), 2, PEER_ADDRESS);
    let joined = Member {
        incarnation: 2,
        peers: PEER_ADDRESS,
        joined: new.sequence,
    };
    assert_eq!(new.members, BTreeMap::from([("a".into(), joined)]));
    assert!(new.has_member(&"a".into(), 2) && !new.has_member(&"a".into(), 1));
    assert!(!new.owner_is_member(&"w".into()));
    assert_eq!(new.owned_by(&"a".into(), 2), BTreeMap::new());
    assert_eq!(
        new.owned_by(&"a".into(), 1),
        BTreeMap::from([("w".into(), 1)])
    );
}

#[test]
fn workers_of_a_removed_member_stay_listed_under_its_name() {
    let owned = members(&["a", "b"]).with_owner(&"a".into(), 1, &set(&["w"]));
    assert!(owned.owner_is_member(&"w".into()));
    let left = owned.without_member(&"a".into());
    assert!(!left.owner_is_member(&"w".into()));
    assert_eq!(left.workers, owned.workers);
    assert!(!left.owner_is_member(&"unknown".into()));
}

#[test]
fn only_candidates_that_are_members_are_preferred_owners() {
    let table = members(&["a", "b", "c"]);
    let preferred = |candidates: &[&str]| table.preferred_owner(&"w".into(), &set(candidates));
    assert_eq!(preferred(&["b"]), Some("b".into()));
    assert_eq!(preferred(&["d"]), None);
    assert_eq!(preferred(&[]), None);
}

#[test]
fn workers_spread_over_members_and_only_those_of_a_removed_member_move() {
    let table = members(&["a", "b", "c"]);
    let workers: Vec<WorkerId> = (0..WORKERS).map(|n| format!("w-{n}").into()).collect();
    let owners = |alive: &[&str]| -> Vec<InstanceId> {
        let owners = workers
            .iter()
            .map(|w| table.preferred_owner(w, &set(alive)));
        owners
            .map(|owner| owner.expect("a candidate is a member"))
            .collect()
    };
    let before = owners(&["a", "b", "c"]);
    let after = owners(&["a", "c"]);
    for (before, after) in before.iter().zip(&after) {
        assert!(&**before == "b" || before == after);
    }
    for member in ["a", "b", "c"] {
        let share = before.iter().filter(|owner| &***owner == member).count();
        assert!(share > WORKERS / 5, "{member} has {share}");
    }
}
