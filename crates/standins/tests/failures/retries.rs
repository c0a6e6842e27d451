//! Guards against a second run of a non-idempotent call, or a response that
//! contradicts its run, when the same key is used again through every entry
//! instance.

use crate::test_site::{ENTRIES, TestSite, wait_until};
use futures::future::join_all;
use reedford_standins::engine::EngineFaults;
use reedford_standins::history::{CallKind, CallOutcome, CallRecord, CallRequest};
use reedford_standins::plain::PlainFaults;
use reedford_standins::platform::Faults;
use test_case::test_case;

/// The fault induced before the first call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum InducedFault {
    None,
    /// The write of the claim takes effect and its response is lost.
    ClaimResponseLost,
    /// The write of the claim takes effect after its sender's timeout.
    ClaimWriteLate,
    /// The service runs the call and its response is lost.
    ResponseLost,
    /// The connections to the engines go silent.
    EnginesSilent,
    /// The engines respond with another model's name.
    WrongModel,
}

/// A call, the outcomes allowed for its first try, and those allowed for retries.
struct Case {
    kind: CallKind,
    fault: InducedFault,
    first: &'static [CallOutcome],
    retried: &'static [CallOutcome],
}

const DONE: &[CallOutcome] = &[CallOutcome::Done];
const UNKNOWN: &[CallOutcome] = &[CallOutcome::Unknown];

#[test_case(&Case { kind: CallKind::Plain, fault: InducedFault::None, first: DONE, retried: DONE }; "plain replayed")]
#[test_case(&Case { kind: CallKind::Whole, fault: InducedFault::None, first: DONE, retried: DONE }; "whole replayed")]
#[test_case(&Case { kind: CallKind::Streamed, fault: InducedFault::None, first: DONE, retried: DONE }; "stream replayed")]
#[test_case(&Case { kind: CallKind::Plain, fault: InducedFault::ClaimResponseLost, first: DONE, retried: DONE }; "plain with its claim in doubt")]
#[test_case(&Case { kind: CallKind::Streamed, fault: InducedFault::ClaimResponseLost, first: DONE, retried: DONE }; "stream with its claim in doubt")]
#[test_case(&Case { kind: CallKind::Plain, fault: InducedFault::ClaimWriteLate, first: &[CallOutcome::Done, CallOutcome::NotRun], retried: &[CallOutcome::Done, CallOutcome::Unknown] }; "claim write late")]
#[test_case(&Case { kind: CallKind::Plain, fault: InducedFault::ResponseLost, first: UNKNOWN, retried: UNKNOWN }; "response lost")]
#[test_case(&Case { kind: CallKind::Whole, fault: InducedFault::EnginesSilent, first: &[CallOutcome::Done, CallOutcome::Unknown], retried: &[CallOutcome::Done, CallOutcome::Unknown] }; "whole from silent engines")]
#[test_case(&Case { kind: CallKind::Streamed, fault: InducedFault::EnginesSilent, first: &[CallOutcome::Done, CallOutcome::Unknown], retried: &[CallOutcome::Done, CallOutcome::Unknown] }; "stream from silent engines")]
#[test_case(&Case { kind: CallKind::Whole, fault: InducedFault::WrongModel, first: UNKNOWN, retried: UNKNOWN }; "whole of a wrong model")]
#[test_case(&Case { kind: CallKind::Streamed, fault: InducedFault::WrongModel, first: UNKNOWN, retried: UNKNOWN }; "stream of a wrong model")]
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn a_key_runs_at_most_once(case: &'static Case) {
    let test = TestSite::start().await;
    // Loads the adapter and opens connections.
    for (entry, _) in ENTRIES {
        let warm = test
            .call(request(case.kind, "warm", "key-warm", entry))
            .await;
        assert_eq!(warm.outcome, CallOutcome::Done, "{warm:?}");
    }
    induce_fault(&test, case.fault).await;
    let first = test.call(request(case.kind, "m", "key", "e-1")).await;
    assert!(case.first.contains(&first.outcome), "{first:?}");
    if case.fault == InducedFault::ClaimWriteLate {
        wait_for_late_write(&test).await;
    }
    for (entry, _) in ENTRIES.iter().chain(&ENTRIES) {
        let again = test.call(request(case.kind, "m", "key", entry)).await;
        assert!(case.retried.contains(&again.outcome), "{again:?}");
    }
    let (history, broken) = test.finish().await;
    assert!(broken.is_empty(), "{broken:#?}");
    let runs = history
        .runs
        .iter()
        .filter(|run| &*run.marker == "m")
        .count();
    assert!(runs <= 1, "{runs} runs");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn a_key_used_through_all_entries_at_once_runs_once() {
    let test = TestSite::start().await;
    for round in 0..12 {
        let (marker, key) = (format!("m{round}"), format!("key{round}"));
        let kind = [CallKind::Plain, CallKind::Whole, CallKind::Streamed][round % 3];
        let calls = ENTRIES.map(|(entry, _)| test.call(request(kind, &marker, &key, entry)));
        let outcomes: Vec<CallOutcome> = join_all(calls).await.iter().map(|c| c.outcome).collect();
        assert!(outcomes.contains(&CallOutcome::Done), "{outcomes:?}");
    }
    let (history, broken) = test.finish().await;
    assert!(broken.is_empty(), "{broken:#?}");
    assert_eq!(history.runs.len(), 12);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn a_key_with_another_body_is_refused() {
    let test = TestSite::start().await;
    let first = test.call(request(CallKind::Plain, "m", "key", "e-1")).await;
    let other: CallRecord = test.call(request(CallKind::Plain, "n", "key", "e-3")).await;
    assert_eq!(
        (first.outcome, other.outcome),
        (CallOutcome::Done, CallOutcome::BadRequest)
    );
    assert_eq!(&*other.code, "key_reused");
    let (history, broken) = test.finish().await;
    assert!(broken.is_empty(), "{broken:#?}");
    assert_eq!(history.runs.len(), 1);
}

async fn induce_fault(test: &TestSite, fault: InducedFault) {
    let set_engine_faults = |faults: EngineFaults| async move {
        for engine in test.site.engines.values() {
            engine.set_faults(&faults).await;
        }
    };
    match fault {
        InducedFault::None => {}
        InducedFault::ClaimResponseLost => {
            let faults = Faults {
                lose_next_answers: 1,
                ..Faults::default()
            };
            test.set_platform_faults(&faults).await;
        }
        InducedFault::ClaimWriteLate => {
            let faults = Faults {
                late_next_writes: 1,
                late_ms: 700,
                ..Faults::default()
            };
            test.set_platform_faults(&faults).await;
        }
        InducedFault::ResponseLost => {
            for plain in test.site.plains.values() {
                let faults = PlainFaults {
                    lose_answers: Some(1),
                    ..PlainFaults::default()
                };
                plain.set_faults(&faults).await;
            }
        }
        InducedFault::EnginesSilent => {
            set_engine_faults(EngineFaults {
                silent_connections: Some(true),
                ..EngineFaults::default()
            })
            .await;
        }
        InducedFault::WrongModel => {
            set_engine_faults(EngineFaults {
                wrong_model: Some(true),
                ..EngineFaults::default()
            })
            .await;
        }
    }
}

/// Waits for longer than the delay of the late write, then ends the fault.
async fn wait_for_late_write(test: &TestSite) {
    let began = std::time::Instant::now();
    wait_until("the late write has taken effect", async || {
        began.elapsed().as_millis() > 1_000
    })
    .await;
    test.set_platform_faults(&Faults::default()).await;
}

fn request(kind: CallKind, marker: &str, key: &str, entry: &str) -> CallRequest {
    let name = if kind.is_chat() {
        "booking@1"
    } else {
        "orders/orders"
    };
    CallRequest {
        kind,
        name: name.into(),
        marker: marker.into(),
        key: Some(key.into()),
        entry: entry.into(),
    }
}
