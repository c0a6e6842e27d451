//! Which zone places a call.

use reedford_fleet::Now;
use reedford_fleet::scheduler::AdapterKey;
use reedford_fleet::zones::{ArrivingCall, ZoneReport, forward_zone};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use test_case::test_case;

const NOW: Now = Duration::from_secs(10);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn key(adapter: &str) -> AdapterKey {
    AdapterKey {
        model: "base".into(),
        adapter: adapter.into(),
    }
}

/// An adapter whose home among `own` and `other` is `other`, or `own`.
fn adapter_at(home: &str) -> AdapterKey {
    (0..)
        .map(|n| key(&format!("a{n}")))
        .find(|key| {
            reedford_core::rendezvous::first(&key.to_string(), ["other", "own"]) == Some(home)
        })
        .expect("one of them")
}

/// A call at `own`, and what `other` told.
struct Case {
    home: &'static str,
    held_here: bool,
    held_there: bool,
    expected_ms: u64,
    wait_ms: u64,
    free_places: usize,
    age_ms: u64,
    passed_on: bool,
}

const CALM: Case = Case {
    home: "own",
    held_here: true,
    held_there: false,
    expected_ms: 100,
    wait_ms: 0,
    free_places: 10,
    age_ms: 100,
    passed_on: false,
};

#[test_case(CALM; "held here")]
#[test_case(Case { held_there: true, ..CALM }; "held on both sides and not busy")]
#[test_case(Case { held_here: false, held_there: true, expected_ms: 400, passed_on: true, ..CALM }; "held there only")]
#[test_case(Case { held_here: false, held_there: true, expected_ms: 400, free_places: 0, passed_on: true, ..CALM }; "held there only and no place free there")]
#[test_case(Case { held_here: false, held_there: true, expected_ms: 400, wait_ms: 380, ..CALM }; "held there only and as busy as a load takes")]
#[test_case(Case { held_here: false, held_there: true, expected_ms: 400, age_ms: 2_000, ..CALM }; "held there as was heard long ago")]
#[test_case(Case { home: "other", held_here: false, expected_ms: 300, passed_on: true, ..CALM }; "held nowhere and at home there")]
#[test_case(Case { home: "other", held_here: false, expected_ms: 300, free_places: 0, ..CALM }; "held nowhere and no place free at home")]
#[test_case(Case { expected_ms: 500, wait_ms: 100, passed_on: true, ..CALM }; "busy here and much less there")]
#[test_case(Case { expected_ms: 500, wait_ms: 300, ..CALM }; "busy here and a load would take the gain")]
#[test_case(Case { expected_ms: 500, wait_ms: 300, held_there: true, free_places: 0, passed_on: true, ..CALM }; "busy here and held there")]
fn a_call_goes_where_its_adapter_is_unless_that_is_busier(case: Case) {
    let key = adapter_at(case.home);
    let word = ZoneReport {
        wait: ms(case.wait_ms),
        engines: 4,
        free_slots: case.free_places,
        held: case
            .held_there
            .then(|| key.short_hash())
            .into_iter()
            .collect::<BTreeSet<_>>(),
        at: NOW - ms(case.age_ms),
    };
    let words = BTreeMap::from([("other".into(), word)]);
    let call = ArrivingCall {
        key: Some(&key),
        held: case.held_here,
        expected: ms(case.expected_ms),
    };
    assert_eq!(
        forward_zone("own", &words, call, NOW).is_some(),
        case.passed_on
    );
}
