//! Requests that run while their entry instance stops gracefully.

use crate::scene::{Kit, Scene, until};
use futures::future::join_all;
use reedford_standins::history::{CallKind, CallOutcome, CallRequest};

/// What runs at the instance: kind, name and key.
const RUNNING: [(CallKind, &str, Option<&str>); 5] = [
    (CallKind::Whole, "one@1", None),
    (CallKind::Streamed, "two@1", None),
    (CallKind::Whole, "booking@1", Some("k-1")),
    (CallKind::Streamed, "booking@1", Some("k-2")),
    (CallKind::Plain, "orders/orders", Some("k-3")),
];

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn a_graceful_stop_cuts_nothing() {
    // Each of them runs for more than a second.
    let slow = Kit {
        step_ms: 150,
        plain_ms: 1_200,
        first_byte_ms: 2_500,
        ..Kit::default()
    };
    let mut scene = Scene::start_with(slow).await;
    let address = scene.site.callers("e-1");
    let calls = RUNNING.map(|(kind, name, key)| {
        let asked = CallRequest {
            kind,
            name: name.into(),
            marker: format!("{kind:?} {name}").into(),
            key: key.map(Into::into),
            entry: "e-1".into(),
        };
        let recorder = std::sync::Arc::clone(&scene.recorder);
        tokio::spawn(async move { recorder.call(address, asked).await })
    });
    until("all run", async || {
        let engines = scene.site.engines.values();
        let runs: usize = engines.map(|e| e.record().runs.len()).sum();
        let plains = scene.site.plains.values();
        runs + plains.map(|p| p.runs().len()).sum::<usize>() == RUNNING.len()
    })
    .await;
    scene.stop_entry("e-1").await;
    let told = join_all(calls).await;
    let told: Vec<CallOutcome> = told.into_iter().map(|call| call.unwrap().outcome).collect();
    let (_, broken) = scene.finish().await;
    assert!(broken.is_empty(), "{broken:#?}");
    assert_eq!(told, [CallOutcome::Done; RUNNING.len()]);
}
