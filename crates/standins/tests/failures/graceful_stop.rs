//! Guards against calls that are cut, or reported as failed, because their entry
//! instance stops gracefully while they run.

use crate::test_site::{SiteOptions, TestSite, wait_until};
use futures::future::join_all;
use reedford_standins::history::{CallKind, CallOutcome, CallRequest};
use tokio::net::TcpStream;

/// Calls in flight at the instance when it stops: kind, name and key.
const IN_FLIGHT: [(CallKind, &str, Option<&str>); 5] = [
    (CallKind::Whole, "one@1", None),
    (CallKind::Streamed, "two@1", None),
    (CallKind::Whole, "booking@1", Some("k-1")),
    (CallKind::Streamed, "booking@1", Some("k-2")),
    (CallKind::Plain, "orders/orders", Some("k-3")),
];

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn a_graceful_stop_cuts_nothing() {
    // Each call runs for more than a second.
    let slow = SiteOptions {
        step_ms: 150,
        plain_ms: 1_200,
        first_byte_ms: 2_500,
        ..SiteOptions::default()
    };
    let mut test = TestSite::start_with(slow).await;
    let address = test.site.callers("e-1");
    let calls = IN_FLIGHT.map(|(kind, name, key)| {
        let request = CallRequest {
            kind,
            name: name.into(),
            marker: format!("{kind:?} {name}").into(),
            key: key.map(Into::into),
            entry: "e-1".into(),
        };
        let recorder = std::sync::Arc::clone(&test.recorder);
        tokio::spawn(async move { recorder.call(address, request).await })
    });
    wait_until("all calls run", async || {
        let engines = test.site.engines.values();
        let runs: usize = engines.map(|e| e.record().runs.len()).sum();
        let plains = test.site.plains.values();
        runs + plains.map(|p| p.runs().len()).sum::<usize>() == IN_FLIGHT.len()
    })
    .await;
    test.stop_entry("e-1").await;
    let records = join_all(calls).await;
    let outcomes: Vec<CallOutcome> = records
        .into_iter()
        .map(|call| call.unwrap().outcome)
        .collect();
    let (_, broken) = test.finish().await;
    assert!(broken.is_empty(), "{broken:#?}");
    assert_eq!(outcomes, [CallOutcome::Done; IN_FLIGHT.len()]);
}

/// Callers go on using the address of a stopped instance. If another site's
/// listener had it, calls that reach that one would look as if the stop had cut
/// them.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn the_address_of_a_stopped_instance_belongs_to_its_site() {
    let mut test = TestSite::start().await;
    let other = TestSite::start().await;
    let address = test.site.callers("e-1");
    test.stop_entry("e-1").await;
    // A program that another test starts at this moment may still hold a copy of
    // the listener, until it has replaced its copy of this process.
    wait_until("connections are refused", async || {
        TcpStream::connect(address).await.is_err()
    })
    .await;
    let others: Vec<_> = other.site.entries.values().map(|e| e.callers()).collect();
    test.finish().await;
    other.finish().await;
    assert!(others.iter().all(|o| o.ip() != address.ip()), "{others:?}");
}
