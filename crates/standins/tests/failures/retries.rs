//! Calls that may run only once, and the same key again through every other
//! entry instance: they run once, and nobody is told otherwise.

use crate::scene::{ENTRIES, Scene, until};
use futures::future::join_all;
use reedford_standins::engine::EngineFaults;
use reedford_standins::history::{CallKind, CallOutcome, CallRecord, CallRequest};
use reedford_standins::plain::PlainFaults;
use reedford_standins::platform::Faults;
use test_case::test_case;

/// What happens before the first call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Before {
    Nothing,
    /// The claim's write takes effect and its answer is lost.
    ClaimAnswerLost,
    /// The claim's write takes effect after its sender gave up.
    ClaimLate,
    /// The service runs the call and its answer is lost.
    AnswerLost,
    /// The connections to the engines go silent.
    EnginesSilent,
    /// The engines answer with another model's name.
    WrongModel,
}

/// The call, what its caller may be told at first, and how often it runs.
struct Case {
    kind: CallKind,
    before: Before,
    first: &'static [CallOutcome],
    retried: &'static [CallOutcome],
}

const DONE: &[CallOutcome] = &[CallOutcome::Done];
const UNKNOWN: &[CallOutcome] = &[CallOutcome::Unknown];

#[test_case(&Case { kind: CallKind::Plain, before: Before::Nothing, first: DONE, retried: DONE }; "plain replayed")]
#[test_case(&Case { kind: CallKind::Whole, before: Before::Nothing, first: DONE, retried: DONE }; "whole replayed")]
#[test_case(&Case { kind: CallKind::Streamed, before: Before::Nothing, first: DONE, retried: DONE }; "stream replayed")]
#[test_case(&Case { kind: CallKind::Plain, before: Before::ClaimAnswerLost, first: DONE, retried: DONE }; "plain with its claim in doubt")]
#[test_case(&Case { kind: CallKind::Streamed, before: Before::ClaimAnswerLost, first: DONE, retried: DONE }; "stream with its claim in doubt")]
#[test_case(&Case { kind: CallKind::Plain, before: Before::ClaimLate, first: &[CallOutcome::Done, CallOutcome::NotRun], retried: &[CallOutcome::Done, CallOutcome::Unknown] }; "claim late")]
#[test_case(&Case { kind: CallKind::Plain, before: Before::AnswerLost, first: UNKNOWN, retried: UNKNOWN }; "answer lost")]
#[test_case(&Case { kind: CallKind::Whole, before: Before::EnginesSilent, first: &[CallOutcome::Done, CallOutcome::Unknown], retried: &[CallOutcome::Done, CallOutcome::Unknown] }; "whole from silent engines")]
#[test_case(&Case { kind: CallKind::Streamed, before: Before::EnginesSilent, first: &[CallOutcome::Done, CallOutcome::Unknown], retried: &[CallOutcome::Done, CallOutcome::Unknown] }; "stream from silent engines")]
#[test_case(&Case { kind: CallKind::Whole, before: Before::WrongModel, first: UNKNOWN, retried: UNKNOWN }; "whole of a wrong model")]
#[test_case(&Case { kind: CallKind::Streamed, before: Before::WrongModel, first: UNKNOWN, retried: UNKNOWN }; "stream of a wrong model")]
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn a_key_runs_once(case: &'static Case) {
    let scene = Scene::start().await;
    // The adapter is resident and connections are open.
    for (entry, _) in ENTRIES {
        let warm = scene
            .call(asked(case.kind, "warm", "key-warm", entry))
            .await;
        assert_eq!(warm.outcome, CallOutcome::Done, "{warm:?}");
    }
    induce(&scene, case.before).await;
    let first = scene.call(asked(case.kind, "m", "key", "e-1")).await;
    assert!(case.first.contains(&first.outcome), "{first:?}");
    if case.before == Before::ClaimLate {
        late_writes_landed(&scene).await;
    }
    for (entry, _) in ENTRIES.iter().chain(&ENTRIES) {
        let again = scene.call(asked(case.kind, "m", "key", entry)).await;
        assert!(case.retried.contains(&again.outcome), "{again:?}");
    }
    let (history, broken) = scene.finish().await;
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
    let scene = Scene::start().await;
    for round in 0..12 {
        let (marker, key) = (format!("m{round}"), format!("key{round}"));
        let kind = [CallKind::Plain, CallKind::Whole, CallKind::Streamed][round % 3];
        let calls = ENTRIES.map(|(entry, _)| scene.call(asked(kind, &marker, &key, entry)));
        let told: Vec<CallOutcome> = join_all(calls).await.iter().map(|c| c.outcome).collect();
        assert!(told.contains(&CallOutcome::Done), "{told:?}");
    }
    let (history, broken) = scene.finish().await;
    assert!(broken.is_empty(), "{broken:#?}");
    assert_eq!(history.runs.len(), 12);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn a_key_with_another_body_is_refused() {
    let scene = Scene::start().await;
    let first = scene.call(asked(CallKind::Plain, "m", "key", "e-1")).await;
    let other: CallRecord = scene.call(asked(CallKind::Plain, "n", "key", "e-3")).await;
    assert_eq!(
        (first.outcome, other.outcome),
        (CallOutcome::Done, CallOutcome::BadRequest)
    );
    assert_eq!(&*other.code, "key_reused");
    let (history, broken) = scene.finish().await;
    assert!(broken.is_empty(), "{broken:#?}");
    assert_eq!(history.runs.len(), 1);
}

async fn induce(scene: &Scene, before: Before) {
    let engines = |order: EngineFaults| async move {
        for engine in scene.site.engines.values() {
            engine.set_faults(&order).await;
        }
    };
    match before {
        Before::Nothing => {}
        Before::ClaimAnswerLost => {
            let faults = Faults {
                lose_next_answers: 1,
                ..Faults::default()
            };
            scene.platform_faults(&faults).await;
        }
        Before::ClaimLate => {
            let faults = Faults {
                late_next_writes: 1,
                late_ms: 700,
                ..Faults::default()
            };
            scene.platform_faults(&faults).await;
        }
        Before::AnswerLost => {
            for plain in scene.site.plains.values() {
                let faults = PlainFaults {
                    lose_answers: Some(1),
                    ..PlainFaults::default()
                };
                plain.set_faults(&faults).await;
            }
        }
        Before::EnginesSilent => {
            engines(EngineFaults {
                silent_connections: Some(true),
                ..EngineFaults::default()
            })
            .await;
        }
        Before::WrongModel => {
            engines(EngineFaults {
                wrong_model: Some(true),
                ..EngineFaults::default()
            })
            .await;
        }
    }
}

/// A write made now is seen after the one that was held back for longer.
async fn late_writes_landed(scene: &Scene) {
    let began = std::time::Instant::now();
    until("the late write lands", async || {
        began.elapsed().as_millis() > 1_000
    })
    .await;
    scene.platform_faults(&Faults::default()).await;
}

fn asked(kind: CallKind, marker: &str, key: &str, entry: &str) -> CallRequest {
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
