//! Texts that are larger than a value, and operators who race.

use crate::support::Bench;
use reedford_standins::platform::Faults;
use reedford_store::{
    ApplyOutcome, Document, DocumentError, DocumentStore, HttpKeyValue, KeyValue, KvError,
};
use std::sync::Arc;
use test_case::test_case;

const PREFIX: &str = "reedford/rules";

fn store(bench: &Bench) -> DocumentStore<HttpKeyValue> {
    DocumentStore::new(Arc::new(bench.kv.clone()), PREFIX)
}

async fn load(store: &DocumentStore<HttpKeyValue>) -> Document {
    store.load().await.expect("answers").expect("is there")
}

/// A text of the size of the largest rules file.
fn rules(lines: usize, word: &str) -> String {
    (0..lines)
        .map(|n| {
            format!("adapter clause-check-{n:05} group kielimalli versions v1,v2 # {word}: ä\n")
        })
        .collect()
}

#[test_case(0; "empty")]
#[test_case(1; "one line")]
#[test_case(30_000; "over a megabyte")]
#[tokio::test]
async fn a_text_comes_back_as_it_was(lines: usize) {
    let bench = Bench::start().await;
    let store = store(&bench);
    assert_eq!(store.load().await.expect("answers"), None);
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
    let keys = bench.kv.list(PREFIX).await.expect("answers").entries;
    let old = format!("{PREFIX}/t1/");
    assert!(keys.iter().all(|entry| !entry.key.starts_with(&*old)));
    assert!(keys.iter().all(|entry| entry.value.len() < 256 * 1024));
    bench.stop().await;
}

#[tokio::test]
async fn of_two_operators_one_wins_and_the_other_is_told() {
    let bench = Bench::start().await;
    let store = store(&bench);
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
        let winner = match (anna.expect("answers"), bert.expect("answers")) {
            (anna, bert) if anna == won && bert == lost => 0,
            (anna, bert) if anna == lost && bert == won => 1,
            other => panic!("{other:?}"),
        };
        assert_eq!(*load(&store).await.text, *texts[winner]);
    }
    bench.stop().await;
}

#[tokio::test]
async fn a_lost_answer_is_settled() {
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
        let bench = Bench::start().await;
        let store = store(&bench);
        let first = store.apply(0, "one", "t1").await;
        assert_eq!(first, Ok(ApplyOutcome::Applied { revision: 1 }));
        bench.set_faults(&case.faults).await;
        let outcome = store
            .apply(1, "two", "t2")
            .await
            .map_err(|error| match error {
                DocumentError::KeyValue(KvError::Rejected { .. }) => "rejected",
                other => panic!("{}: {other:?}", case.name),
            });
        assert_eq!(outcome, case.outcome, "{}", case.name);
        bench.set_faults(&Faults::default()).await;
        assert_eq!(
            load(&store).await.revision,
            case.revision_after,
            "{}",
            case.name
        );

        // The same attempt again changes nothing that was accepted.
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
        bench.stop().await;
    }
}

#[tokio::test]
async fn a_write_that_comes_late_changes_nothing_that_was_settled() {
    let bench = Bench::start().await;
    let store = store(&bench);
    let late = Faults {
        late_next_writes: 1,
        late_ms: 100,
        ..Faults::default()
    };
    bench.set_faults(&late).await;
    let outcome = store.apply(0, "one", "t1").await;
    assert_eq!(outcome, Ok(ApplyOutcome::Applied { revision: 1 }));
    let outcome = store.apply(1, "two", "t2").await;
    assert_eq!(outcome, Ok(ApplyOutcome::Applied { revision: 2 }));
    while bench.stats().await.kv_writes < 3 {
        tokio::task::yield_now().await;
    }
    let document = load(&store).await;
    assert_eq!((document.revision, &*document.text), (2, "two"));
    bench.stop().await;
}

#[test_case(""; "empty")]
#[test_case("a/b"; "slash")]
#[test_case("ä"; "not ASCII")]
#[tokio::test]
async fn a_bad_token_is_refused(token: &str) {
    let bench = Bench::start().await;
    let outcome = store(&bench).apply(0, "text", token).await;
    assert_eq!(outcome, Err(DocumentError::BadToken));
    assert_eq!(bench.stats().await.kv_writes, 0);
    bench.stop().await;
}
