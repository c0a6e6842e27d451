//! Which availability zone places a call.

use reedford_fleet::Now;
use reedford_fleet::scheduler::AdapterKey;
use reedford_fleet::zones::{ArrivingCall, ZoneReport, forward_zone, forward_zone_among};
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

/// Returns an adapter whose home zone among `own` and `other` is `home`.
fn adapter_at(home: &str) -> AdapterKey {
    (0..)
        .map(|n| key(&format!("a{n}")))
        .find(|key| {
            reedford_core::rendezvous::first(&key.to_string(), ["other", "own"]) == Some(home)
        })
        .expect("some adapter has its home there")
}

/// A call that arrives at `own`, and the last report of `other`.
struct ZoneCase {
    home: &'static str,
    held_here: bool,
    held_there: bool,
    expected_ms: u64,
    wait_ms: u64,
    free_slots: usize,
    age_ms: u64,
    forwarded: bool,
}

const IDLE: ZoneCase = ZoneCase {
    home: "own",
    held_here: true,
    held_there: false,
    expected_ms: 100,
    wait_ms: 0,
    free_slots: 10,
    age_ms: 100,
    forwarded: false,
};

#[test_case(IDLE; "held here")]
#[test_case(ZoneCase { held_there: true, ..IDLE }; "held in both zones and not busy")]
#[test_case(ZoneCase { held_here: false, held_there: true, expected_ms: 400, forwarded: true, ..IDLE }; "held there only")]
#[test_case(ZoneCase { held_here: false, held_there: true, expected_ms: 400, free_slots: 0, forwarded: true, ..IDLE }; "held there only and no slot free there")]
#[test_case(ZoneCase { held_here: false, held_there: true, expected_ms: 400, wait_ms: 380, ..IDLE }; "held there only and as busy as a load takes")]
#[test_case(ZoneCase { held_here: false, held_there: true, expected_ms: 400, age_ms: 2_000, ..IDLE }; "held there by an outdated report")]
#[test_case(ZoneCase { home: "other", held_here: false, expected_ms: 300, forwarded: true, ..IDLE }; "held nowhere and at home there")]
#[test_case(ZoneCase { home: "other", held_here: false, expected_ms: 300, free_slots: 0, ..IDLE }; "held nowhere and no slot free at home")]
#[test_case(ZoneCase { expected_ms: 500, wait_ms: 100, forwarded: true, ..IDLE }; "busy here and much less busy there")]
#[test_case(ZoneCase { expected_ms: 500, wait_ms: 300, ..IDLE }; "busy here and the gain is less than a load")]
#[test_case(ZoneCase { expected_ms: 500, wait_ms: 300, held_there: true, free_slots: 0, forwarded: true, ..IDLE }; "busy here and held there")]
fn a_call_goes_to_the_zone_that_holds_its_adapter_unless_that_zone_is_busier(case: ZoneCase) {
    let key = adapter_at(case.home);
    let report = ZoneReport {
        wait: ms(case.wait_ms),
        engines: 4,
        free_slots: case.free_slots,
        held: case
            .held_there
            .then(|| key.short_hash())
            .into_iter()
            .collect::<BTreeSet<_>>(),
        at: NOW - ms(case.age_ms),
    };
    let reports = BTreeMap::from([("other".into(), report)]);
    let call = ArrivingCall {
        key: Some(&key),
        held: case.held_here,
        expected: ms(case.expected_ms),
    };
    assert_eq!(
        forward_zone("own", &reports, call, NOW).is_some(),
        case.forwarded
    );
}

/// Guards against a resumed stream that waits in a zone without an instance of its
/// version.
#[test_case(&["own", "near"], None; "own zone")]
#[test_case(&["near", "far"], Some("near"); "least loaded zone")]
#[test_case(&["far", "silent"], Some("far"); "zone with a recent report")]
#[test_case(&["silent"], Some("silent"); "zone without a report")]
#[test_case(&[], None; "no zone")]
fn a_call_that_only_some_zones_can_run_is_forwarded_to_one(
    serving: &[&'static str],
    forwarded: Option<&str>,
) {
    let report = |wait_ms| ZoneReport {
        wait: ms(wait_ms),
        engines: 1,
        free_slots: 0,
        held: BTreeSet::new(),
        at: NOW,
    };
    let reports = BTreeMap::from([("far".into(), report(90)), ("near".into(), report(20))]);
    let serving = serving.iter().copied().collect();
    assert_eq!(
        forward_zone_among("own", &reports, &serving, NOW),
        forwarded
    );
}
