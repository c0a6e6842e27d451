//! The document store: texts larger than one value of the key-value service,
//! operators who apply concurrently, and lost or late writes.

use crate::support::PlatformHarness;
use reedford_standins::platform::Faults;
use reedford_store::{
    ApplyOutcome, Document, DocumentError, DocumentStore, HttpKeyValue, KeyValue, KvError,
};
use std::sync::Arc;
use test_case::test_case;

const PREFIX: &str = "reedford/rules";

fn store(harness: &PlatformHarness) -> DocumentStore<HttpKeyValue> {
    DocumentStore::new(Arc::new(harness.kv.clone()), PREFIX)
}

async fn load(store: &DocumentStore<HttpKeyValue>) -> Document {
    store.load().await.expect("responds").expect("is there")
}

/// Returns a text in the form of a rules file. With 30 000 lines, it has the size
/// of the largest rules file.
fn rules(lines: usize, comment: &str) -> String {
    (0..lines)
        .map(|n| {
            format!("adapter clause-check-{n:05} group kielimalli versions v1,v2 # {comment}: ä\n")
        })
        .collect()
}

#[test_case(0; "empty")]
#[test_case(1; "one line")]
#[test_case(30_000; "over a megabyte")]
#[tokio::test]
async fn a_text_is_read_as_it_was_written(lines: usize) {
    let harness = PlatformHarness::start().await;
    let store = store(&harness);
    assert_eq!(store.load().await.expect("responds"), None);
    for (revision, token) in [(1, "t1"), (2, "t2")] {
        let text = rules(lines, token);
        let outcome = store.apply(revision - 1, &text, token).await;
        assert_eq!(outcome, Ok(ApplyOutcome::Applied { revision }));
        assert_eq!(
            load(&store).await,
            Document {
                revision,
                text: text.into()
            }
        );
    }
    let keys = harness.kv.list(PREFIX).await.expect("responds").entries;
    let old = format!("{PREFIX}/t1/");
    assert!(keys.iter().all(|entry| !entry.key.starts_with(&*old)));
    assert!(keys.iter().all(|entry| entry.value.len() < 256 * 1024));
    harness.stop().await;
}

#[tokio::test]
async fn of_two_concurrent_applies_one_wins_and_the_other_reports_the_race() {
    let harness = PlatformHarness::start().await;
    let store = store(&harness);
    for round in 0..20 {
        let tokens = [format!("anna-{round}"), format!("bert-{round}")];
        let texts = tokens.clone().map(|token| rules(3_000, &token));
        let (anna, bert) = tokio::join!(
            store.apply(round, &texts[0], &tokens[0]),
            store.apply(round, &texts[1], &tokens[1]),
        );
        let won = ApplyOutcome::Applied {
            revision: round + 1,
        };
        let lost = ApplyOutcome::LostRace { current: round + 1 };
        let winner = match (anna.expect("responds"), bert.expect("responds")) {
            (anna, bert) if anna == won && bert == lost => 0,
            (anna, bert) if anna == lost && bert == won => 1,
            other => panic!("{other:?}"),
        };
        assert_eq!(*load(&store).await.text, *texts[winner]);
    }
    harness.stop().await;
}

#[tokio::test]
async fn the_outcome_of_an_apply_with_a_lost_response_is_determined() {
    struct Case {
        name: &'static str,
        faults: Faults,
        outcome: Result<ApplyOutcome, &'static str>,
        revision_after: u64,
    }
    let lost = |count| Faults {
        lose_next_answers: count,
        ..Faults::default()
    };
    let applied = ApplyOutcome::Applied { revision: 2 };
    let cases = [
        Case {
            name: "one",
            faults: lost(1),
            outcome: Ok(applied),
            revision_after: 2,
        },
        Case {
            name: "several",
            faults: lost(3),
            outcome: Ok(applied),
            revision_after: 2,
        },
        Case {
            name: "down",
            faults: Faults {
                down: true,
                ..Faults::default()
            },
            outcome: Err("rejected"),
            revision_after: 1,
        },
    ];
    for case in cases {
        let harness = PlatformHarness::start().await;
        let store = store(&harness);
        let first = store.apply(0, "one", "t1").await;
        assert_eq!(first, Ok(ApplyOutcome::Applied { revision: 1 }));
        harness.set_faults(&case.faults).await;
        let outcome = store
            .apply(1, "two", "t2")
            .await
            .map_err(|error| match error {
                DocumentError::KeyValue(KvError::Rejected { .. }) => "rejected",
                other => panic!("{}: {other:?}", case.name),
            });
        assert_eq!(outcome, case.outcome, "{}", case.name);
        harness.set_faults(&Faults::default()).await;
        assert_eq!(
            load(&store).await.revision,
            case.revision_after,
            "{}",
            case.name
        );

        // Repeating an apply with its token does not change the accepted text.
        let again = store.apply(1, "two", "t2").await;
        assert_eq!(again, Ok(applied), "{}", case.name);
        let third = store.apply(2, "three", "t3").await;
        assert_eq!(
            third,
            Ok(ApplyOutcome::Applied { revision: 3 }),
            "{}",
            case.name
        );
        let late = store.apply(1, "two", "t2").await;
        assert_eq!(
            late,
            Ok(ApplyOutcome::Applied { revision: 2 }),
            "{}",
            case.name
        );
        assert_eq!(&*load(&store).await.text, "three", "{}", case.name);
        harness.stop().await;
    }
}

#[tokio::test]
async fn a_late_write_does_not_change_a_determined_outcome() {
    let harness = PlatformHarness::start().await;
    let store = store(&harness);
    let late = Faults {
        late_next_writes: 1,
        late_ms: 100,
        ..Faults::default()
    };
    harness.set_faults(&late).await;
    let outcome = store.apply(0, "one", "t1").await;
    assert_eq!(outcome, Ok(ApplyOutcome::Applied { revision: 1 }));
    let outcome = store.apply(1, "two", "t2").await;
    assert_eq!(outcome, Ok(ApplyOutcome::Applied { revision: 2 }));
    while harness.stats().await.kv_writes < 3 {
        tokio::task::yield_now().await;
    }
    let document = load(&store).await;
    assert_eq!((document.revision, &*document.text), (2, "two"));
    harness.stop().await;
}

#[test_case(""; "empty")]
#[test_case("a/b"; "slash")]
#[test_case("ä"; "not ASCII")]
#[tokio::test]
async fn a_bad_token_is_refused(token: &str) {
    let harness = PlatformHarness::start().await;
    let outcome = store(&harness).apply(0, "text", token).await;
    assert_eq!(outcome, Err(DocumentError::BadToken));
    assert_eq!(harness.stats().await.kv_writes, 0);
    harness.stop().await;
}
