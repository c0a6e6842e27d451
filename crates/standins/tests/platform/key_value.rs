//! What the key-value service promises while nothing fails.

use crate::support::{Bench, put, read};
use futures::StreamExt;
use reedford_store::{
    ChangeKind, Delete, Entry, KeyValue, KvError, Precondition, Put, Transaction,
    TransactionOutcome, Watch,
};
use std::time::Duration;
use test_case::test_case;

#[test_case(None, 0 => true; "create")]
#[test_case(None, 7 => false; "create at a revision")]
#[test_case(Some("before"), 0 => true; "replace")]
#[test_case(Some("before"), -1 => false; "old revision")]
#[test_case(Some("before"), 1 => false; "later revision")]
#[tokio::test]
async fn a_swap_wins_only_at_the_expected_revision(before: Option<&str>, off_by: i64) -> bool {
    let bench = Bench::start().await;
    let revision = match before {
        Some(value) => put(&bench.kv, "k", 0, value).await,
        None => 0,
    };
    let swap = bench
        .kv
        .compare_and_swap("k", revision + off_by, b"after".to_vec());
    let swapped = swap.await.expect("answers");
    let after = bench.kv.get("k").await.expect("answers");
    bench.stop().await;
    match swapped {
        TransactionOutcome::Committed { revision } => {
            let value = b"after".to_vec();
            let key = "k".into();
            assert_eq!(
                after,
                Some(Entry {
                    key,
                    value,
                    revision
                })
            );
            true
        }
        TransactionOutcome::Conflict { current } => {
            assert_eq!(after, current);
            assert_eq!(after.map(|entry| entry.value), before.map(Into::into));
            false
        }
    }
}

#[tokio::test]
async fn a_transaction_does_all_or_nothing() {
    let bench = Bench::start().await;
    let a = put(&bench.kv, "t/a", 0, "a").await;
    let b = put(&bench.kv, "t/b", 0, "b").await;
    let txn = |b_revision| Transaction {
        preconditions: vec![
            Precondition {
                key: "t/a".into(),
                revision: a,
            },
            Precondition {
                key: "t/b".into(),
                revision: b_revision,
            },
        ],
        puts: vec![Put {
            key: "u/c".into(),
            value: b"c".to_vec(),
            lease: None,
        }],
        deletes: vec![Delete::Prefix("t/".into())],
    };

    let lost = bench.kv.txn(txn(b + 1)).await.expect("answers");
    let TransactionOutcome::Conflict {
        current: Some(current),
    } = lost
    else {
        panic!("{lost:?}");
    };
    assert_eq!((&*current.key, current.revision), ("t/b", b));
    assert_eq!(read(&bench.kv, "u/c").await, None);

    let done = bench.kv.txn(txn(b)).await.expect("answers");
    assert!(matches!(done, TransactionOutcome::Committed { .. }));
    assert_eq!(bench.kv.list("t/").await.expect("answers").entries, []);
    assert_eq!(read(&bench.kv, "u/c").await.as_deref(), Some("c"));
    bench.stop().await;
}

#[tokio::test]
async fn a_deletion_needs_the_expected_revision() {
    let bench = Bench::start().await;
    let revision = put(&bench.kv, "d", 0, "d").await;
    let lost = bench
        .kv
        .compare_and_delete("d", revision + 1)
        .await
        .expect("answers");
    assert!(matches!(
        lost,
        TransactionOutcome::Conflict { current: Some(_) }
    ));
    let done = bench
        .kv
        .compare_and_delete("d", revision)
        .await
        .expect("answers");
    assert!(matches!(done, TransactionOutcome::Committed { .. }));
    assert_eq!(read(&bench.kv, "d").await, None);
    bench.stop().await;
}

#[tokio::test]
async fn a_list_holds_just_the_prefix() {
    let bench = Bench::start().await;
    for key in ["p", "p/", "p/a", "p/ä", "p0", "q"] {
        put(&bench.kv, key, 0, key).await;
    }
    let listing = bench.kv.list("p/").await.expect("answers");
    let keys: Vec<&str> = listing.entries.iter().map(|entry| &*entry.key).collect();
    assert_eq!(keys, ["p/", "p/a", "p/ä"]);
    bench.stop().await;
}

#[tokio::test]
async fn a_value_over_a_megabyte_is_rejected() {
    let bench = Bench::start().await;
    let outcome = bench
        .kv
        .compare_and_swap("big", 0, vec![b'x'; (1 << 20) + 1])
        .await;
    assert!(
        matches!(outcome, Err(KvError::Rejected { status: 400, .. })),
        "{outcome:?}"
    );
    put(&bench.kv, "big", 0, &"x".repeat(1 << 20)).await;
    bench.stop().await;
}

async fn next_changes(watch: &mut Watch, count: usize) -> Vec<(String, Option<String>)> {
    let mut found = Vec::new();
    while found.len() < count {
        let changes = watch.next().await.expect("goes on").expect("answers");
        for change in changes.changes {
            let value = match change.kind {
                ChangeKind::Put(value) => Some(String::from_utf8(value).expect("is text")),
                ChangeKind::Delete => None,
            };
            found.push((change.key.into(), value));
        }
    }
    found
}

#[tokio::test]
async fn a_watch_tells_each_change_from_its_revision_on() {
    let bench = Bench::start().await;
    put(&bench.kv, "w/a", 0, "before").await;
    let from = put(&bench.kv, "w/b", 0, "1").await;
    let mut watch = bench.kv.watch("w/", from).await.expect("starts");
    put(&bench.kv, "other", 0, "x").await;
    let c = put(&bench.kv, "w/c", 0, "2").await;
    bench
        .kv
        .compare_and_delete("w/c", c)
        .await
        .expect("answers");

    let text = |s: &str| Some(s.to_owned());
    assert_eq!(
        next_changes(&mut watch, 3).await,
        [
            ("w/b".to_owned(), text("1")),
            ("w/c".to_owned(), text("2")),
            ("w/c".to_owned(), None),
        ]
    );
    assert_eq!(bench.stats().await.kv_watches, 1);
    drop(watch);
    bench.stop().await;
}

#[tokio::test]
async fn a_watch_of_lost_history_is_rejected() {
    let bench = Bench::start().await;
    let outcome = bench.kv.watch("w/", -5).await;
    assert!(matches!(
        outcome,
        Err(KvError::Rejected { status: 400, .. })
    ));
    bench.stop().await;
}

#[tokio::test]
async fn a_key_ends_with_its_lease() {
    #[derive(Clone, Copy, Debug)]
    enum End {
        Expired,
        Revoked,
    }
    let bench = Bench::start().await;
    for end in [End::Expired, End::Revoked] {
        let ttl = match end {
            End::Expired => Duration::from_millis(900),
            End::Revoked => Duration::from_secs(3_600),
        };
        let lease = bench.kv.lease_grant(ttl).await.expect("answers");
        let key = format!("lease/{end:?}");
        let txn = Transaction {
            puts: vec![Put {
                key: key.as_str().into(),
                value: Vec::new(),
                lease: Some(lease.id),
            }],
            ..Transaction::default()
        };
        let done = bench.kv.txn(txn).await.expect("answers");
        let TransactionOutcome::Committed { revision } = done else {
            panic!("{done:?}");
        };
        assert!(
            bench
                .kv
                .lease_keep_alive(lease.id)
                .await
                .expect("answers")
                .is_some()
        );
        let mut watch = bench.kv.watch(&key, revision + 1).await.expect("starts");
        match end {
            End::Expired => (),
            End::Revoked => bench.kv.lease_revoke(lease.id).await.expect("answers"),
        }
        assert_eq!(next_changes(&mut watch, 1).await, [(key, None)]);
        assert_eq!(
            bench.kv.lease_keep_alive(lease.id).await.expect("answers"),
            None
        );
    }
    bench.stop().await;
}
