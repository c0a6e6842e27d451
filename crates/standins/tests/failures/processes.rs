//! Real programs under load: killed, frozen and woken, stopped, replaced.

use crate::fleet::{ENGINES, Fleet, SHOP};
use crate::scene::until;
use reedford_standins::caller::{Call, Caller};
use reedford_standins::history::{CallKind, CallOutcome, CallRequest};
use reedford_standins::plain::PlainRun;
use reedford_standins::platform::Faults;
use std::time::Instant;
use test_case::test_case;

/// Calls before a failure, during it, and after its end.
const CALLS: usize = 120;
const NO_FAULTS: PlatformFaults = PlatformFaults {
    name: "alone",
    slow_ms: 0,
    lose_next_answers: 0,
};
const SLOW: PlatformFaults = PlatformFaults {
    name: "slow",
    slow_ms: 100,
    lose_next_answers: 0,
};
const ANSWERS_LOST: PlatformFaults = PlatformFaults {
    name: "answers-lost",
    slow_ms: 0,
    lose_next_answers: 30,
};
const ENTRIES: [&str; 3] = ["e-1", "e-2", "e-3"];

/// Faults of the platform that come together with the failure.
#[derive(Clone, Copy, Debug)]
struct PlatformFaults {
    name: &'static str,
    slow_ms: u64,
    lose_next_answers: u32,
}

impl PlatformFaults {
    fn faults(self) -> Faults {
        Faults {
            slow_ms: self.slow_ms,
            lose_next_answers: self.lose_next_answers,
            ..Faults::default()
        }
    }
}

/// An owner, and another instance that goes on.
async fn owner_and_other(fleet: &Fleet, worker: &str) -> (Box<str>, &'static str) {
    let owner = fleet.owner(worker, ENTRIES[0]).await.unwrap();
    let other = ENTRIES.into_iter().find(|e| **e != *owner).unwrap();
    (owner, other)
}

async fn claimed(fleet: &Fleet, from: &str, as_seen_by: &str) {
    until("the workers are claimed", async || {
        let mut owners = Vec::new();
        for worker in ENGINES {
            owners.push(fleet.owner(worker, as_seen_by).await);
        }
        owners.iter().flatten().count() == ENGINES.len()
            && owners.iter().flatten().all(|owner| **owner != *from)
    })
    .await;
}

fn check(broken: &impl std::fmt::Debug, is_empty: bool) {
    assert!(is_empty, "{broken:#?}");
}

#[test_case(0, NO_FAULTS; "engine that checks fencing numbers")]
#[test_case(1, NO_FAULTS; "engine that ignores them")]
#[test_case(0, SLOW; "key value service slow, engine that checks fencing numbers")]
#[test_case(1, ANSWERS_LOST; "key value answers lost, engine that ignores them")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_owner_is_killed(engine: usize, faults: PlatformFaults) {
    let name = format!("killed-{engine}-{}", faults.name);
    let mut fleet = Fleet::start(&name, &ENTRIES).await;
    let load = fleet.load();
    load.pass(CALLS).await;
    let (owner, other) = owner_and_other(&fleet, ENGINES[engine]).await;
    fleet.platform_faults(&faults.faults()).await;
    let killed = Instant::now();
    fleet.program(&owner).signal("KILL");
    fleet.program(&owner).ended().await;
    load.pass(CALLS).await;
    claimed(&fleet, &owner, other).await;
    let claimed = killed.elapsed();
    all_served(&fleet, other).await;
    println!(
        "| {name} | claimed after {claimed:?}, all served after {:?} |",
        killed.elapsed()
    );
    load.pass(CALLS).await;
    load.stop().await;
    all_served(&fleet, other).await;
    let (_, broken) = fleet.finish().await;
    check(&broken, broken.is_empty());
}

#[test_case(0, NO_FAULTS; "engine that checks fencing numbers")]
#[test_case(1, NO_FAULTS; "engine that ignores them")]
#[test_case(0, SLOW; "key value service slow, engine that checks fencing numbers")]
#[test_case(1, ANSWERS_LOST; "key value answers lost, engine that ignores them")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_owner_is_frozen_past_its_lease_and_woken(engine: usize, faults: PlatformFaults) {
    let name = format!("frozen-{engine}-{}", faults.name);
    let mut fleet = Fleet::start(&name, &ENTRIES).await;
    let load = fleet.load();
    load.pass(CALLS).await;
    let (owner, other) = owner_and_other(&fleet, ENGINES[engine]).await;
    fleet.platform_faults(&faults.faults()).await;
    let address = fleet.entries.lock().unwrap().remove(&owner).unwrap();
    fleet.program(&owner).signal("STOP");
    claimed(&fleet, &owner, other).await;
    all_served(&fleet, other).await;
    load.pass(CALLS).await;
    fleet.program(&owner).signal("CONT");
    fleet.entries.lock().unwrap().insert(owner.clone(), address);
    load.pass(CALLS).await;
    load.stop().await;
    all_served(&fleet, &owner).await;
    let (_, broken) = fleet.finish().await;
    check(&broken, broken.is_empty());
}

/// Adapter versions of the rules.
const MODELS: [&str; 5] = ["one@1", "one@2", "two@1", "three@1", "booking@1"];

/// Waits until each adapter version is served through `entry`: a claimant waits
/// out the time for which the old owner and its requests may act.
async fn all_served(fleet: &Fleet, entry: &str) {
    for name in MODELS {
        let address = fleet.entries.lock().unwrap()[entry];
        let mut tries = 0;
        until("calls are served again", async || {
            tries += 1;
            let marker = format!("again-{}-{tries}", fleet.recorder.position());
            let asked = CallRequest {
                kind: CallKind::Streamed,
                name: name.into(),
                key: (name == "booking@1").then(|| marker.clone().into()),
                marker: marker.into(),
                entry: entry.into(),
            };
            fleet.recorder.call(address, asked).await.outcome == CallOutcome::Done
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_signal_drains_and_ends_well() {
    let mut fleet = Fleet::start("drained", &ENTRIES).await;
    let load = fleet.load();
    load.pass(CALLS).await;
    fleet.program("e-1").signal("TERM");
    let status = fleet.program("e-1").ended().await;
    assert_eq!(status.code(), Some(0));
    load.pass(CALLS).await;
    load.stop().await;
    fleet.history.stopped.push("e-1".into());
    let (_, broken) = fleet.finish().await;
    check(&broken, broken.is_empty());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_second_signal_ends_at_once() {
    let mut fleet = Fleet::start("second-signal", &["e-1"]).await;
    let address = fleet.entries.lock().unwrap()["e-1"];
    let faults = Call {
        path: "/control/faults".to_owned(),
        body: "{\"delay_ms\": 60000}".to_owned(),
        ..Call::default()
    };
    let shop = fleet.address(SHOP).await;
    let caller = Caller::default();
    assert!(
        caller
            .send(shop, &faults)
            .await
            .unwrap()
            .status
            .is_success()
    );
    let slow = tokio::spawn(async move {
        let call = Call::plain("orders", "/orders", "slow").at_most_once("slow");
        Caller::default().send(address, &call).await
    });
    until("the call runs", async || {
        let runs: Vec<PlainRun> = fleet.get(SHOP, "/control/runs").await;
        !runs.is_empty()
    })
    .await;
    fleet.program("e-1").signal("TERM");
    fleet.program("e-1").line("stopping").await;
    fleet.program("e-1").signal("TERM");
    let status = fleet.program("e-1").ended().await;
    assert_eq!(status.code(), Some(1));
    fleet.program("e-1").line("stopped_at_once").await;
    // Cut, and not told that it did not run.
    assert!(slow.await.unwrap().is_err());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_whole_fleet_is_replaced_one_by_one() {
    let mut fleet = Fleet::start("replaced", &ENTRIES).await;
    let load = fleet.load();
    for old in ENTRIES {
        let new = format!("{old}-new");
        load.pass(CALLS / 2).await;
        fleet.start_entry(&new).await;
        fleet.entries.lock().unwrap().remove(old);
        fleet.program(old).signal("TERM");
        let status = fleet.program(old).ended().await;
        assert_eq!(status.code(), Some(0), "{old}");
        fleet.history.stopped.push(old.into());
    }
    load.pass(CALLS).await;
    load.stop().await;
    let (history, broken) = fleet.finish().await;
    check(&broken, broken.is_empty());
    let served = history
        .calls
        .iter()
        .filter(|c| c.outcome == CallOutcome::Done);
    println!(
        "| replaced one by one | {}/{} |",
        served.count(),
        history.calls.len()
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn programs_answer_and_refuse() {
    let fleet = Fleet::start("answers", &ENTRIES).await;
    all_served(&fleet, "e-2").await;
    let cases = [
        (
            CallKind::Plain,
            "orders/orders",
            Some("k"),
            CallOutcome::Done,
        ),
        (CallKind::Plain, "orders/prices", None, CallOutcome::Done),
        (
            CallKind::Plain,
            "orders/orders",
            None,
            CallOutcome::BadRequest,
        ),
        (CallKind::Whole, "booking@1", None, CallOutcome::BadRequest),
        (CallKind::Whole, "one@9", None, CallOutcome::BadRequest),
        (CallKind::Streamed, "one", None, CallOutcome::BadRequest),
        (CallKind::Streamed, "none@1", None, CallOutcome::BadRequest),
        (
            CallKind::Plain,
            "none/orders",
            Some("l"),
            CallOutcome::BadRequest,
        ),
    ];
    for (number, (kind, name, key, expected)) in cases.into_iter().enumerate() {
        let entry = ENTRIES[number % ENTRIES.len()];
        let address = fleet.entries.lock().unwrap()[entry];
        let asked = CallRequest {
            kind,
            name: name.into(),
            marker: format!("case {number}").into(),
            key: key.map(Into::into),
            entry: entry.into(),
        };
        let call = fleet.recorder.call(address, asked).await;
        assert_eq!(call.outcome, expected, "{call:?}");
    }
    let (_, broken) = fleet.finish().await;
    check(&broken, broken.is_empty());
}
