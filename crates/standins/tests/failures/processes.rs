//! Entry instances as separate processes under traffic, which are killed,
//! suspended past their lease and resumed, stopped, and replaced one by one.
//! Guards against runs that a former owner starts after a new owner has claimed
//! its worker, and against calls cut by a graceful stop.

use crate::process_site::{ENGINES, ProcessSite, SHOP};
use crate::test_site::wait_until;
use reedford_standins::caller::{Call, Caller};
use reedford_standins::history::{CallKind, CallOutcome, CallRequest};
use reedford_standins::plain::PlainRun;
use reedford_standins::platform::Faults;
use std::time::Instant;
use test_case::test_case;

/// Number of calls before a failure, during it, and after its end.
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
const RESPONSES_LOST: PlatformFaults = PlatformFaults {
    name: "answers-lost",
    slow_ms: 0,
    lose_next_answers: 30,
};
const ENTRIES: [&str; 3] = ["e-1", "e-2", "e-3"];

/// Faults of the platform at the time of the failure.
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

/// Returns the owner of a worker, and an instance that stays up.
async fn owner_and_survivor(site: &ProcessSite, worker: &str) -> (Box<str>, &'static str) {
    let owner = site.owner(worker, ENTRIES[0]).await.unwrap();
    let survivor = ENTRIES.into_iter().find(|e| **e != *owner).unwrap();
    (owner, survivor)
}

/// Waits until every worker has an owner other than `former_owner`, as
/// `observer` reports it.
async fn wait_until_claimed(site: &ProcessSite, former_owner: &str, observer: &str) {
    wait_until("the workers are claimed", async || {
        let mut owners = Vec::new();
        for worker in ENGINES {
            owners.push(site.owner(worker, observer).await);
        }
        owners.iter().flatten().count() == ENGINES.len()
            && owners
                .iter()
                .flatten()
                .all(|owner| **owner != *former_owner)
    })
    .await;
}

fn assert_unbroken(broken: &impl std::fmt::Debug, is_empty: bool) {
    assert!(is_empty, "{broken:#?}");
}

#[test_case(0, NO_FAULTS; "engine that checks fencing tokens")]
#[test_case(1, NO_FAULTS; "engine that ignores them")]
#[test_case(0, SLOW; "key value service slow, engine that checks fencing tokens")]
#[test_case(1, RESPONSES_LOST; "key value responses lost, engine that ignores them")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_owner_is_killed(engine: usize, faults: PlatformFaults) {
    let name = format!("killed-{engine}-{}", faults.name);
    let mut site = ProcessSite::start(&name, &ENTRIES).await;
    let traffic = site.start_traffic();
    traffic.wait_for_calls(CALLS).await;
    let (owner, survivor) = owner_and_survivor(&site, ENGINES[engine]).await;
    site.set_platform_faults(&faults.faults()).await;
    let killed = Instant::now();
    site.program(&owner).signal("KILL");
    site.program(&owner).wait_for_exit().await;
    traffic.wait_for_calls(CALLS).await;
    wait_until_claimed(&site, &owner, survivor).await;
    let claimed_after = killed.elapsed();
    wait_until_all_served(&site, survivor).await;
    println!(
        "| {name} | claimed after {claimed_after:?}, all served after {:?} |",
        killed.elapsed()
    );
    traffic.wait_for_calls(CALLS).await;
    traffic.stop().await;
    wait_until_all_served(&site, survivor).await;
    let (_, broken) = site.finish().await;
    assert_unbroken(&broken, broken.is_empty());
}

#[test_case(0, NO_FAULTS; "engine that checks fencing tokens")]
#[test_case(1, NO_FAULTS; "engine that ignores them")]
#[test_case(0, SLOW; "key value service slow, engine that checks fencing tokens")]
#[test_case(1, RESPONSES_LOST; "key value responses lost, engine that ignores them")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_owner_is_suspended_past_its_lease_and_resumed(engine: usize, faults: PlatformFaults) {
    let name = format!("frozen-{engine}-{}", faults.name);
    let mut site = ProcessSite::start(&name, &ENTRIES).await;
    let traffic = site.start_traffic();
    traffic.wait_for_calls(CALLS).await;
    let (owner, survivor) = owner_and_survivor(&site, ENGINES[engine]).await;
    site.set_platform_faults(&faults.faults()).await;
    let address = site.entries.lock().unwrap().remove(&owner).unwrap();
    site.program(&owner).signal("STOP");
    wait_until_claimed(&site, &owner, survivor).await;
    wait_until_all_served(&site, survivor).await;
    traffic.wait_for_calls(CALLS).await;
    site.program(&owner).signal("CONT");
    site.entries.lock().unwrap().insert(owner.clone(), address);
    traffic.wait_for_calls(CALLS).await;
    traffic.stop().await;
    wait_until_all_served(&site, &owner).await;
    let (_, broken) = site.finish().await;
    assert_unbroken(&broken, broken.is_empty());
}

/// Adapter versions named in the rules.
const MODELS: [&str; 5] = ["one@1", "one@2", "two@1", "three@1", "booking@1"];

/// Waits until each adapter version is served through `entry`. A new owner first
/// waits for the time in which the former owner and its requests may still act.
async fn wait_until_all_served(site: &ProcessSite, entry: &str) {
    for name in MODELS {
        let address = site.entries.lock().unwrap()[entry];
        let mut tries = 0;
        wait_until("calls are served", async || {
            tries += 1;
            let marker = format!("again-{}-{tries}", site.recorder.position());
            let request = CallRequest {
                kind: CallKind::Streamed,
                name: name.into(),
                key: (name == "booking@1").then(|| marker.clone().into()),
                marker: marker.into(),
                entry: entry.into(),
            };
            site.recorder.call(address, request).await.outcome == CallOutcome::Done
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sigterm_drains_and_exits_with_status_zero() {
    let mut site = ProcessSite::start("drained", &ENTRIES).await;
    let traffic = site.start_traffic();
    traffic.wait_for_calls(CALLS).await;
    site.program("e-1").signal("TERM");
    let status = site.program("e-1").wait_for_exit().await;
    assert_eq!(status.code(), Some(0));
    traffic.wait_for_calls(CALLS).await;
    traffic.stop().await;
    site.history.stopped.push("e-1".into());
    let (_, broken) = site.finish().await;
    assert_unbroken(&broken, broken.is_empty());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_second_sigterm_ends_the_process_immediately() {
    let mut site = ProcessSite::start("second-signal", &["e-1"]).await;
    let address = site.entries.lock().unwrap()["e-1"];
    let faults = Call {
        path: "/control/faults".to_owned(),
        body: "{\"delay_ms\": 60000}".to_owned(),
        ..Call::default()
    };
    let shop = site.target_address(SHOP).await;
    let caller = Caller::default();
    assert!(
        caller
            .send(shop, &faults)
            .await
            .unwrap()
            .status
            .is_success()
    );
    let slow_call = tokio::spawn(async move {
        let call = Call::plain("orders", "/orders", "slow").at_most_once("slow");
        Caller::default().send(address, &call).await
    });
    wait_until("the call runs", async || {
        let runs: Vec<PlainRun> = site.get_json(SHOP, "/control/runs").await;
        !runs.is_empty()
    })
    .await;
    site.program("e-1").signal("TERM");
    site.program("e-1").wait_for_event("stopping").await;
    site.program("e-1").signal("TERM");
    let status = site.program("e-1").wait_for_exit().await;
    assert_eq!(status.code(), Some(1));
    site.program("e-1").wait_for_event("stopped_at_once").await;
    // The connection is cut, as the call may have run: no response may state
    // that it did not.
    assert!(slow_call.await.unwrap().is_err());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_entries_are_replaced_one_by_one() {
    let mut site = ProcessSite::start("replaced", &ENTRIES).await;
    let traffic = site.start_traffic();
    for old in ENTRIES {
        let new = format!("{old}-new");
        traffic.wait_for_calls(CALLS / 2).await;
        site.start_entry(&new).await;
        site.entries.lock().unwrap().remove(old);
        site.program(old).signal("TERM");
        let status = site.program(old).wait_for_exit().await;
        assert_eq!(status.code(), Some(0), "{old}");
        site.history.stopped.push(old.into());
    }
    traffic.wait_for_calls(CALLS).await;
    traffic.stop().await;
    let (history, broken) = site.finish().await;
    assert_unbroken(&broken, broken.is_empty());
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
async fn processes_serve_and_refuse_calls() {
    let site = ProcessSite::start("answers", &ENTRIES).await;
    wait_until_all_served(&site, "e-2").await;
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
        let address = site.entries.lock().unwrap()[entry];
        let request = CallRequest {
            kind,
            name: name.into(),
            marker: format!("case {number}").into(),
            key: key.map(Into::into),
            entry: entry.into(),
        };
        let call = site.recorder.call(address, request).await;
        assert_eq!(call.outcome, expected, "{call:?}");
    }
    let (_, broken) = site.finish().await;
    assert_unbroken(&broken, broken.is_empty());
}
