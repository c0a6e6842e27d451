//! When a node's own links to the instances count as broken.

use reedford_fleet::links::{LinkChange, Links, Route};
use reedford_fleet::{InstanceId, Now};
use std::time::Duration;
use test_case::test_case;

const INSTANCES: usize = 6;

/// An event on the link to an instance, and when it occurs, in milliseconds.
#[derive(Clone, Copy)]
enum Event {
    /// A direct connection is established.
    Connected(u64, &'static str),
    /// One is not established in time.
    Hung(u64, &'static str),
    /// One is refused.
    Refused(u64, &'static str),
    /// Another node reaches the instance.
    Relayed(u64, &'static str),
    /// Another node doesn't reach it either.
    Unreachable(u64, &'static str),
}
use Event::{Connected, Hung, Refused, Relayed, Unreachable};

struct Case {
    events: &'static [Event],
    /// Change that the last event makes.
    change: Option<LinkChange>,
    /// Route to `a` half a second after `at_ms`.
    route: Route,
    at_ms: u64,
}

fn ms(at: u64) -> Now {
    Duration::from_secs(100) + Duration::from_millis(at)
}

fn apply(links: &mut Links, event: Event) -> Option<LinkChange> {
    match event {
        Connected(at, id) => return links.on_connected(id, ms(at)),
        Hung(at, id) => links.on_failed(id, true, ms(at)),
        Refused(at, id) => links.on_failed(id, false, ms(at)),
        Relayed(at, id) => return links.on_relayed(id, INSTANCES, ms(at)),
        Unreachable(at, id) => links.on_unreachable(id, ms(at)),
    }
    None
}

const HUNG_CUT: &[Event] = &[
    Hung(0, "a"),
    Relayed(10, "a"),
    Hung(20, "b"),
    Relayed(30, "b"),
    Hung(40, "c"),
    Relayed(50, "c"),
];

/// Guards against nodes that take the crash of a service for a cut of their links, and
/// against nodes that don't notice a cut.
#[test_case(Case { events: &[Refused(0, "a"), Refused(5, "b"), Refused(9, "c"), Refused(12, "d")],
    change: None, route: Route::Direct, at_ms: 12 }; "failures alone")]
#[test_case(Case { events: &[Refused(0, "a"), Unreachable(5, "a"), Refused(6, "b"), Unreachable(9, "b"),
    Refused(10, "c"), Unreachable(12, "c")], change: None, route: Route::DirectOnly, at_ms: 0 };
    "a service that has crashed")]
#[test_case(Case { events: &[Hung(0, "a"), Relayed(10, "a")], change: Some(LinkChange::Broken),
    route: Route::Relayed { test: true }, at_ms: 10 }; "one link")]
#[test_case(Case { events: HUNG_CUT, change: Some(LinkChange::Cut { hung: true }),
    route: Route::Relayed { test: true }, at_ms: 50 }; "links that hang")]
#[test_case(Case { events: &[Refused(0, "b"), Relayed(10, "b"), Refused(20, "c"), Relayed(30, "c"),
    Refused(40, "d"), Relayed(50, "d")], change: Some(LinkChange::Cut { hung: false }),
    route: Route::Relayed { test: true }, at_ms: 50 }; "links that refuse, to other instances")]
#[test_case(Case { events: &[Hung(0, "a"), Relayed(10, "a"), Hung(2_000, "b"), Relayed(2_010, "b"),
    Hung(4_000, "c"), Relayed(4_010, "c")], change: None, route: Route::Relayed { test: true }, at_ms: 4_010 };
    "links that break one after the other")]
#[test_case(Case { events: &[Hung(0, "a"), Relayed(10, "a"), Hung(20, "b"), Relayed(30, "b"), Connected(35, "d"),
    Hung(40, "c"), Relayed(50, "c")], change: Some(LinkChange::Broken), route: Route::Relayed { test: true }, at_ms: 50 };
    "while another link works")]
#[test_case(Case { events: &[Hung(0, "a"), Relayed(4_000, "a")], change: None, route: Route::Direct, at_ms: 4_000 };
    "reached by another node long after")]
#[test_case(Case { events: &[Hung(0, "a"), Relayed(10, "a"), Connected(10, "a")], change: None,
    route: Route::Direct, at_ms: 10 }; "a link that works again")]
fn links_are_judged(case: Case) {
    let mut links = Links::default();
    let mut change = None;
    for event in case.events {
        change = apply(&mut links, *event);
    }
    assert_eq!(change, case.change);
    assert_eq!(links.route("a", ms(case.at_ms + 490)), case.route);
    assert_eq!(
        links.is_cut(),
        matches!(case.change, Some(LinkChange::Cut { .. }))
    );
}

/// Guards against a cut that ends with one lucky connection, and against one that doesn't
/// end.
#[test]
fn a_cut_ends_when_two_links_work() {
    let mut links = Links::default();
    for event in HUNG_CUT {
        apply(&mut links, *event);
    }
    assert_eq!(links.on_connected("a", ms(60)), None);
    links.on_failed("a", true, ms(100));
    assert_eq!(
        links.on_connected("b", ms(110)),
        None,
        "the first one failed again"
    );
    assert!(links.is_cut());
    assert_eq!(links.on_connected("e", ms(120)), Some(LinkChange::Restored));
    // The other links are proved one by one.
    assert_eq!(links.route("e", ms(200)), Route::Direct);
    assert_eq!(links.route("c", ms(200)), Route::Relayed { test: true });
}

/// Guards against a cut node that tests its links with every call.
#[test]
fn broken_links_are_tested_now_and_then() {
    let mut links = Links::default();
    for event in HUNG_CUT {
        apply(&mut links, *event);
    }
    let tests = (0..100).filter(|n| {
        let route = links.route("a", ms(1_000 + n * 10));
        route == Route::Relayed { test: true }
    });
    assert_eq!(tests.count(), 2);
    assert!(links.start_test("f", ms(0)));
    assert!(!links.start_test("f", ms(400)));
    assert!(links.start_test("f", ms(500)));
}

/// Guards against a cut that a service with a single instance never ends, or never begins.
#[test]
fn a_fleet_with_one_instance_knows_a_cut() {
    let mut links = Links::default();
    links.on_failed("a", true, ms(0));
    let cut = links.on_relayed("a", 1, ms(10));
    assert_eq!(cut, Some(LinkChange::Cut { hung: true }));
    assert_eq!(links.on_connected("a", ms(20)), Some(LinkChange::Restored));
}

/// Load pattern: no calls. Guards against a link that is not tested because no call comes,
/// and against a cut node that tests all of its links at once.
#[test]
fn broken_links_are_tested_without_calls() {
    const MAX_TESTS: usize = 8;
    let mut links = Links::default();
    assert!(links.start_due_tests(ms(0)).is_empty());
    links.on_failed("a", true, ms(0));
    assert!(links.start_due_tests(ms(5)).is_empty(), "not known broken");
    links.on_relayed("a", INSTANCES, ms(10));
    assert_eq!(links.start_due_tests(ms(20)), ["a".into()]);
    assert!(links.start_due_tests(ms(400)).is_empty(), "not due");
    assert_eq!(links.start_due_tests(ms(520)), ["a".into()]);
    assert!(
        links.start_due_tests(ms(6_000)).is_empty(),
        "connections are direct again"
    );
    for n in 0..20 {
        let id = format!("i{n}");
        links.on_failed(&id, true, ms(7_000));
        links.on_relayed(&id, INSTANCES, ms(7_010));
    }
    assert!(links.is_cut());
    let mut tested: Vec<_> = links.start_due_tests(ms(8_000)).into_iter().collect();
    assert_eq!(tested.len(), MAX_TESTS);
    tested.extend(links.start_due_tests(ms(8_250)));
    tested.sort_unstable();
    tested.dedup();
    assert_eq!(tested.len(), 2 * MAX_TESTS, "others come next");
}

/// Load pattern: a link that stays broken, with few instances. Guards against its tests
/// starting tests of other links, and these more of them, without end.
#[test]
fn a_link_that_stays_broken_starts_no_further_tests() {
    const FEW: usize = 3;
    let mut links = Links::default();
    let known = || ["a", "b", "c"].map(InstanceId::from);
    links.on_failed("a", false, ms(0));
    assert_eq!(links.on_relayed("a", FEW, ms(1)), Some(LinkChange::Broken));
    assert_eq!(
        links.start_tests_of_others(known(), ms(1)),
        ["b".into(), "c".into()]
    );
    let mut tests = 0;
    for at in (2..10_000).step_by(10) {
        links.on_failed("a", false, ms(at));
        assert_eq!(links.on_relayed("a", FEW, ms(at)), None, "at {at} ms");
        tests += links.start_due_tests(ms(at)).len();
        tests += usize::from(links.start_test("a", ms(at)));
    }
    assert_eq!(tests, 20, "one in half a second");
}

/// Load pattern: links that break and work again by turns. Guards against tests that are
/// bounded for each link only.
#[test]
fn links_that_break_by_turns_start_few_tests() {
    const LINKS: u64 = 40;
    let mut links = Links::default();
    let mut tests = 0;
    for n in 0..1_000_u64 {
        let at = ms(n * 5);
        let id = format!("i{}", n % LINKS);
        links.on_failed(&id, false, at);
        if links.on_relayed(&id, LINKS as usize, at) == Some(LinkChange::Broken) {
            let known = (0..LINKS).map(|n| InstanceId::from(format!("i{n}")));
            tests += links.start_tests_of_others(known, at).len();
        }
        links.on_connected(&id, at);
    }
    assert_eq!(tests, 40, "four in half a second");
}

/// Guards against a broken link that is tested as another one, and one that was tested
/// already.
#[test]
fn other_links_are_tested_once_in_an_interval() {
    let mut links = Links::default();
    let known = || (0..9).map(|n| InstanceId::from(format!("i{n}")));
    links.on_failed("i0", true, ms(0));
    links.on_relayed("i0", INSTANCES, ms(10));
    assert!(links.start_test("i1", ms(10)));
    let tested = links.start_tests_of_others(known(), ms(10));
    assert_eq!(tested, ["i2", "i3", "i4", "i5"].map(InstanceId::from));
    assert!(links.start_tests_of_others(known(), ms(509)).is_empty());
    let again = links.start_tests_of_others(known(), ms(510));
    assert_eq!(again, ["i1", "i2", "i3", "i4"].map(InstanceId::from));
}
