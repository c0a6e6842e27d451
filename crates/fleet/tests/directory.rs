//! Which instances may be used while the store comes and goes.

use reedford_fleet::Now;
use reedford_fleet::directory::{
    ABSENCE_GRACE, Absence, Directory, DirectoryChange, Instance, InstanceState,
};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;
use test_case::test_case;

fn instance(id: &str, born: u64, port: u16, state: InstanceState) -> Instance {
    Instance {
        id: id.into(),
        service: "s".into(),
        addr: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port),
        zone: "z1".into(),
        slots: 6,
        state,
        born,
        models: Vec::new(),
    }
}

fn ready(id: &str, born: u64) -> Instance {
    instance(id, born, 7_000, InstanceState::Ready)
}

struct EntryCase {
    /// The entry that follows that of a ready instance born at 5.
    next: Instance,
    change: Option<DirectoryChange>,
    usable: bool,
}

#[test_case(EntryCase { next: ready("a", 5), change: None, usable: true }; "heartbeat")]
#[test_case(EntryCase {
    next: instance("a", 5, 7_000, InstanceState::Leaving),
    change: Some(DirectoryChange::Leaving("a".into())),
    usable: false,
}; "leaving")]
#[test_case(EntryCase {
    next: ready("a", 6),
    change: Some(DirectoryChange::Started("a".into())),
    usable: true,
}; "started again under its id")]
#[test_case(EntryCase {
    next: instance("a", 4, 7_000, InstanceState::Leaving),
    change: None,
    usable: true,
}; "late word of an earlier run")]
#[test_case(EntryCase {
    next: instance("a", 5, 7_001, InstanceState::Ready),
    change: Some(DirectoryChange::Started("a".into())),
    usable: true,
}; "at another address")]
fn an_entry_follows_another(case: EntryCase) {
    let mut directory = Directory::default();
    directory.on_entry(ready("a", 5));
    assert_eq!(directory.on_entry(case.next), case.change);
    assert_eq!(directory.ready("s").count() == 1, case.usable);
}

#[test]
fn a_removal_counts_at_once() {
    let mut directory = Directory::default();
    directory.on_entry(ready("a", 5));
    let gone = directory.on_removed("a", Now::ZERO);
    assert_eq!(gone, Some(DirectoryChange::Removed("a".into())));
    assert_eq!(directory.ready("s").count(), 0);
}

struct AbsenceCase {
    /// Time after the listing that misses the instance.
    after: Duration,
    /// Whether its entry comes back before.
    back: bool,
    known: bool,
}

#[test_case(AbsenceCase { after: ABSENCE_GRACE / 2, back: false, known: true }; "kept for a while")]
#[test_case(AbsenceCase { after: ABSENCE_GRACE, back: false, known: false }; "then gone")]
#[test_case(AbsenceCase { after: ABSENCE_GRACE * 2, back: true, known: true }; "back in time")]
fn an_entry_lapses_while_the_store_is_away(case: AbsenceCase) {
    let mut directory = Directory::default();
    let start = Duration::from_secs(10);
    directory.on_listing(
        vec![ready("a", 5), ready("b", 5)],
        Absence::Removed,
        Now::ZERO,
    );
    directory.on_listing(vec![ready("b", 5)], Absence::Lapsed, start);
    if case.back {
        directory.on_entry(ready("a", 5));
    }
    directory.expire(start + case.after);
    assert_eq!(directory.get("a").is_some(), case.known);
    assert!(directory.get("b").is_some());
}

#[test]
fn an_instance_missing_from_a_listing_is_gone_unless_the_store_was_away() {
    let mut directory = Directory::default();
    directory.on_listing(
        vec![ready("a", 5), ready("b", 5)],
        Absence::Removed,
        Now::ZERO,
    );
    let changes = directory.on_listing(vec![ready("b", 5)], Absence::Removed, Now::ZERO);
    assert_eq!(changes, [DirectoryChange::Removed("a".into())]);
    assert!(directory.has_left("a"));
}

#[test]
fn a_lapsed_entry_keeps_its_time_in_later_listings() {
    let mut directory = Directory::default();
    directory.on_listing(vec![ready("a", 5)], Absence::Removed, Now::ZERO);
    directory.on_listing(Vec::new(), Absence::Lapsed, Now::ZERO);
    directory.on_listing(Vec::new(), Absence::Removed, ABSENCE_GRACE / 4);
    assert!(directory.get("a").is_some());
    directory.expire(ABSENCE_GRACE);
    assert!(directory.get("a").is_none());
}

#[test]
fn an_instance_that_left_is_told_from_an_unknown_one() {
    let mut directory = Directory::default();
    directory.on_entry(instance("a", 5, 7_000, InstanceState::Leaving));
    directory.on_entry(ready("b", 5));
    directory.on_removed("b", Now::ZERO);
    assert!(directory.has_left("a") && directory.has_left("b"));
    assert!(!directory.has_left("new"));
    directory.on_entry(ready("b", 6));
    assert!(!directory.has_left("b"), "it started again");
}
