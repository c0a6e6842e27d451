//! Which instances may be used, also during outages of the store.

use reedford_fleet::Now;
use reedford_fleet::departures::{DepartureSource, LeavingInstances};
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
        software: "v1".into(),
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
    /// The entry that replaces that of a ready instance with start time 5.
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
}; "restarted under its id")]
#[test_case(EntryCase {
    next: instance("a", 4, 7_000, InstanceState::Leaving),
    change: None,
    usable: true,
}; "late entry of an earlier incarnation")]
#[test_case(EntryCase {
    next: instance("a", 5, 7_001, InstanceState::Ready),
    change: Some(DirectoryChange::Started("a".into())),
    usable: true,
}; "at another address")]
fn an_entry_replaces_an_earlier_one(case: EntryCase) {
    let mut directory = Directory::default();
    directory.on_entry(ready("a", 5), Now::ZERO);
    assert_eq!(directory.on_entry(case.next, Now::ZERO), case.change);
    assert_eq!(directory.ready("s").count() == 1, case.usable);
}

#[test]
fn a_removal_takes_effect_at_once() {
    let mut directory = Directory::default();
    directory.on_entry(ready("a", 5), Now::ZERO);
    let change = directory.on_removed("a", Now::ZERO);
    assert_eq!(change, Some(DirectoryChange::Removed("a".into())));
    assert_eq!(directory.ready("s").count(), 0);
}

struct AbsenceCase {
    /// Time after the listing without the instance.
    after: Duration,
    /// Whether its entry reappears before that.
    reappears: bool,
    known: bool,
}

#[test_case(AbsenceCase { after: ABSENCE_GRACE / 2, reappears: false, known: true }; "kept during the grace time")]
#[test_case(AbsenceCase { after: ABSENCE_GRACE, reappears: false, known: false }; "removed after the grace time")]
#[test_case(AbsenceCase { after: ABSENCE_GRACE * 2, reappears: true, known: true }; "reappears in time")]
fn an_entry_that_lapsed_during_an_outage_is_kept_for_a_grace_time(case: AbsenceCase) {
    let mut directory = Directory::default();
    let start = Duration::from_secs(10);
    directory.on_listing(
        vec![ready("a", 5), ready("b", 5)],
        Absence::Removed,
        Now::ZERO,
    );
    directory.on_listing(vec![ready("b", 5)], Absence::Lapsed, start);
    if case.reappears {
        directory.on_entry(ready("a", 5), Now::ZERO);
    }
    directory.expire(start + case.after);
    assert_eq!(directory.get("a").is_some(), case.known);
    assert!(directory.get("b").is_some());
}

#[test]
fn an_instance_missing_from_a_listing_without_an_outage_is_removed_at_once() {
    let mut directory = Directory::default();
    directory.on_listing(
        vec![ready("a", 5), ready("b", 5)],
        Absence::Removed,
        Now::ZERO,
    );
    let changes = directory.on_listing(vec![ready("b", 5)], Absence::Removed, Now::ZERO);
    assert_eq!(changes, [DirectoryChange::Removed("a".into())]);
    assert!(directory.is_leaving_or_removed("a"));
}

#[test]
fn a_later_listing_does_not_change_the_grace_time_of_a_lapsed_entry() {
    let mut directory = Directory::default();
    directory.on_listing(vec![ready("a", 5)], Absence::Removed, Now::ZERO);
    directory.on_listing(Vec::new(), Absence::Lapsed, Now::ZERO);
    directory.on_listing(Vec::new(), Absence::Removed, ABSENCE_GRACE / 4);
    assert!(directory.get("a").is_some());
    directory.expire(ABSENCE_GRACE);
    assert!(directory.get("a").is_none());
}

#[test]
fn an_instance_that_left_is_distinguished_from_an_unknown_one() {
    let mut directory = Directory::default();
    directory.on_entry(instance("a", 5, 7_000, InstanceState::Leaving), Now::ZERO);
    directory.on_entry(ready("b", 5), Now::ZERO);
    directory.on_removed("b", Now::ZERO);
    assert!(directory.is_leaving_or_removed("a") && directory.is_leaving_or_removed("b"));
    assert!(!directory.is_leaving_or_removed("new"));
    directory.on_entry(ready("b", 6), Now::ZERO);
    assert!(!directory.is_leaving_or_removed("b"), "it was restarted");
}

/// What happens to instance `a` with version v1, beside `b` with version v2, from
/// 10 s on.
#[derive(Clone, Copy)]
enum VersionChange {
    None,
    Removed,
    RestartedWithV2,
    Heartbeat,
}

struct VersionCase {
    change: VersionChange,
    since: Duration,
    only: Option<&'static str>,
}

/// Guards against a stream of a version that has just left and that goes on at the
/// remaining one, because its origin is unknown.
#[test_case(VersionCase { change: VersionChange::None, since: Duration::ZERO, only: None }; "two versions")]
#[test_case(VersionCase { change: VersionChange::Heartbeat, since: Duration::from_secs(11), only: None }; "two versions that stay")]
#[test_case(VersionCase { change: VersionChange::Removed, since: Duration::from_secs(9), only: None }; "one has left since")]
#[test_case(VersionCase { change: VersionChange::Removed, since: Duration::from_secs(11), only: Some("v2") }; "one left before")]
#[test_case(VersionCase { change: VersionChange::RestartedWithV2, since: Duration::from_secs(9), only: None }; "one was restarted with the other version since")]
#[test_case(VersionCase { change: VersionChange::RestartedWithV2, since: Duration::from_secs(11), only: Some("v2") }; "one was restarted with the other version before")]
fn a_version_counts_until_streams_of_its_instances_have_ended(case: VersionCase) {
    const AT: Now = Duration::from_secs(10);
    let v2 = |id: &str, born| Instance {
        software: "v2".into(),
        ..ready(id, born)
    };
    let mut directory = Directory::default();
    directory.on_entry(ready("a", 5), Now::ZERO);
    directory.on_entry(v2("b", 5), Now::ZERO);
    match case.change {
        VersionChange::None => None,
        VersionChange::Removed => directory.on_removed("a", AT),
        VersionChange::RestartedWithV2 => directory.on_entry(v2("a", 6), AT),
        VersionChange::Heartbeat => directory.on_entry(ready("a", 5), AT),
    };
    directory.expire(AT);
    let only = directory.only_version("s", case.since);
    assert_eq!(only.map(|version| &**version), case.only);
    assert_eq!(directory.only_version("other", case.since), None);
}

struct DepartureCase {
    /// Entries that arrive before and after the incarnation with the start time 5
    /// announces that it is leaving.
    before: Option<Instance>,
    after: Option<Instance>,
    usable: bool,
    /// Whether other nodes have to learn of it.
    passed_on: bool,
}

#[test_case(DepartureCase { before: Some(ready("a", 5)), after: None, usable: false, passed_on: true }; "ready according to the store")]
#[test_case(DepartureCase { before: Some(ready("a", 5)), after: Some(ready("a", 5)), usable: false, passed_on: true }; "heartbeat")]
#[test_case(DepartureCase {
    before: Some(ready("a", 5)),
    after: Some(instance("a", 5, 7_001, InstanceState::Ready)),
    usable: false,
    passed_on: true,
}; "at another address")]
#[test_case(DepartureCase {
    before: Some(ready("a", 5)),
    after: Some(instance("a", 5, 7_000, InstanceState::Leaving)),
    usable: false,
    passed_on: false,
}; "the store shows it")]
#[test_case(DepartureCase { before: Some(ready("a", 5)), after: Some(ready("a", 6)), usable: true, passed_on: false }; "restarted")]
#[test_case(DepartureCase { before: Some(ready("a", 6)), after: None, usable: true, passed_on: false }; "announced by an earlier incarnation")]
#[test_case(DepartureCase { before: Some(ready("a", 4)), after: None, usable: false, passed_on: true }; "announced by a later incarnation")]
#[test_case(DepartureCase { before: None, after: Some(ready("a", 5)), usable: false, passed_on: true }; "announced before its entry is known")]
fn an_announcement_that_an_instance_is_leaving_overrides_its_entry(case: DepartureCase) {
    let mut directory = Directory::default();
    case.before
        .map(|entry| directory.on_entry(entry, Now::ZERO));
    directory.on_departure("a", 5, DepartureSource::Node, Now::ZERO);
    case.after.map(|entry| directory.on_entry(entry, Now::ZERO));
    assert_eq!(directory.ready("s").count() == 1, case.usable);
    assert_eq!(directory.is_leaving_or_removed("a"), !case.usable);
    let passed_on = !directory.unlisted_departures().is_empty();
    assert_eq!(passed_on, case.passed_on);
}

/// An entry may expire and reappear, e.g. after an outage of the store.
#[test]
fn an_announcement_outlives_the_entry_of_its_instance() {
    let mut directory = Directory::default();
    directory.on_entry(ready("a", 5), Now::ZERO);
    assert!(directory.on_departure("a", 5, DepartureSource::Response, Now::ZERO));
    assert!(!directory.on_departure("a", 5, DepartureSource::Node, Now::ZERO));
    directory.on_removed("a", Now::ZERO);
    assert!(directory.unlisted_departures().is_empty());
    directory.on_entry(ready("a", 5), Now::ZERO);
    assert!(directory.is_leaving_or_removed("a"));
    let received = LeavingInstances::from([("a".into(), 5)]);
    assert_eq!(directory.received_departures(), received);
}

#[test]
fn the_announcements_passed_on_are_bounded_to_the_latest() {
    let mut directory = Directory::default();
    for n in 0..2_000 {
        let id = format!("i{n}");
        directory.on_entry(ready(&id, 5), Now::ZERO);
        directory.on_departure(&id, 5, DepartureSource::Node, Duration::from_millis(n));
    }
    let passed_on = directory.unlisted_departures();
    assert!((1..=128).contains(&passed_on.len()));
    assert!(passed_on.contains_key("i1999") && !passed_on.contains_key("i0"));
}

/// Entries of instances that this node knows to be gone or leaving, as listed by a
/// store that was restored from a copy.
struct RestoredEntryCase {
    /// What the copy lists.
    listed: Instance,
    usable: bool,
}

/// Guards against calls to an instance that only the copy names ready.
#[test_case(RestoredEntryCase { listed: ready("gone", 5), usable: false }; "removed")]
#[test_case(RestoredEntryCase { listed: ready("leaving", 5), usable: false }; "leaving")]
#[test_case(RestoredEntryCase { listed: ready("gone", 6), usable: true }; "removed, but started again")]
#[test_case(RestoredEntryCase { listed: ready("leaving", 6), usable: true }; "leaving, but started again")]
fn a_restored_store_does_not_bring_instances_back(case: RestoredEntryCase) {
    let mut directory = Directory::default();
    directory.on_entry(ready("gone", 5), Now::ZERO);
    directory.on_removed("gone", Now::ZERO);
    directory.on_entry(ready("leaving", 5), Now::ZERO);
    directory.on_entry(
        instance("leaving", 5, 7_000, InstanceState::Leaving),
        Now::ZERO,
    );
    let listed = vec![case.listed.clone()];
    let now = Duration::from_secs(5);
    directory.on_listing(listed.clone(), Absence::Restored, now);
    assert_eq!(directory.ready("s").count() == 1, case.usable);
    directory.on_listing(listed, Absence::Removed, now * 2);
    assert_eq!(
        directory.ready("s").count() == 1,
        case.usable,
        "listed again"
    );
    directory.on_entry(ready("gone", 5), Now::ZERO);
    assert!(directory.get("gone").is_some(), "it wrote its entry anew");
}

#[test]
fn an_instance_that_a_restored_store_has_forgotten_is_kept_for_a_grace_time() {
    let mut directory = Directory::default();
    directory.on_entry(ready("a", 5), Now::ZERO);
    directory.on_listing(Vec::new(), Absence::Restored, Now::ZERO);
    directory.expire(ABSENCE_GRACE / 2);
    assert!(directory.get("a").is_some());
    directory.expire(ABSENCE_GRACE);
    assert!(directory.get("a").is_none());
}
