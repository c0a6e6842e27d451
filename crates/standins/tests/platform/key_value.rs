//! Guarantees of the key-value service without faults.

use crate::support::{PlatformHarness, put, read};
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
    let harness = PlatformHarness::start().await;
    let revision = match before {
        Some(value) => put(&harness.kv, "k", 0, value).await,
        None => 0,
    };
    let swap = harness
        .kv
        .compare_and_swap("k", revision + off_by, b"after".to_vec());
    let swapped = swap.await.expect("responds");
    let after = harness.kv.get("k").await.expect("responds");
    harness.stop().await;
    match swapped {
        TransactionOutcome::Committed { revision, .. } => {
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
        TransactionOutcome::Conflict { current, .. } => {
            assert_eq!(after, current);
            assert_eq!(after.map(|entry| entry.value), before.map(Into::into));
            false
        }
    }
}

#[tokio::test]
async fn a_transaction_is_atomic() {
    let harness = PlatformHarness::start().await;
    let a = put(&harness.kv, "t/a", 0, "a").await;
    let b = put(&harness.kv, "t/b", 0, "b").await;
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

    let lost = harness.kv.txn(txn(b + 1)).await.expect("responds");
    let TransactionOutcome::Conflict {
        current: Some(current),
        ..
    } = lost
    else {
        panic!("{lost:?}");
    };
    assert_eq!((&*current.key, current.revision), ("t/b", b));
    assert_eq!(read(&harness.kv, "u/c").await, None);

    let done = harness.kv.txn(txn(b)).await.expect("responds");
    assert!(matches!(done, TransactionOutcome::Committed { .. }));
    assert_eq!(harness.kv.list("t/").await.expect("responds").entries, []);
    assert_eq!(read(&harness.kv, "u/c").await.as_deref(), Some("c"));
    harness.stop().await;
}

#[tokio::test]
async fn a_deletion_needs_the_expected_revision() {
    let harness = PlatformHarness::start().await;
    let revision = put(&harness.kv, "d", 0, "d").await;
    let lost = harness
        .kv
        .compare_and_delete("d", revision + 1)
        .await
        .expect("responds");
    assert!(matches!(
        lost,
        TransactionOutcome::Conflict {
            current: Some(_),
            ..
        }
    ));
    let done = harness
        .kv
        .compare_and_delete("d", revision)
        .await
        .expect("responds");
    assert!(matches!(done, TransactionOutcome::Committed { .. }));
    assert_eq!(read(&harness.kv, "d").await, None);
    harness.stop().await;
}

#[tokio::test]
async fn a_list_contains_only_keys_with_the_prefix() {
    let harness = PlatformHarness::start().await;
    for key in ["p", "p/", "p/a", "p/ä", "p0", "q"] {
        put(&harness.kv, key, 0, key).await;
    }
    let listing = harness.kv.list("p/").await.expect("responds");
    let keys: Vec<&str> = listing.entries.iter().map(|entry| &*entry.key).collect();
    assert_eq!(keys, ["p/", "p/a", "p/ä"]);
    harness.stop().await;
}

#[tokio::test]
async fn a_value_over_a_megabyte_is_rejected() {
    let harness = PlatformHarness::start().await;
    let outcome = harness
        .kv
        .compare_and_swap("big", 0, vec![b'x'; (1 << 20) + 1])
        .await;
    assert!(
        matches!(outcome, Err(KvError::Rejected { status: 400, .. })),
        "{outcome:?}"
    );
    put(&harness.kv, "big", 0, &"x".repeat(1 << 20)).await;
    harness.stop().await;
}

async fn next_changes(watch: &mut Watch, count: usize) -> Vec<(String, Option<String>)> {
    let mut found = Vec::new();
    while found.len() < count {
        let changes = watch.next().await.expect("goes on").expect("responds");
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
async fn a_watch_reports_each_change_from_its_revision_on() {
    let harness = PlatformHarness::start().await;
    put(&harness.kv, "w/a", 0, "before").await;
    let from = put(&harness.kv, "w/b", 0, "1").await;
    let mut watch = harness.kv.watch("w/", from).await.expect("starts");
    put(&harness.kv, "other", 0, "x").await;
    let c = put(&harness.kv, "w/c", 0, "2").await;
    harness
        .kv
        .compare_and_delete("w/c", c)
        .await
        .expect("responds");

    let text = |s: &str| Some(s.to_owned());
    assert_eq!(
        next_changes(&mut watch, 3).await,
        [
            ("w/b".to_owned(), text("1")),
            ("w/c".to_owned(), text("2")),
            ("w/c".to_owned(), None),
        ]
    );
    assert_eq!(harness.stats().await.kv_watches, 1);
    drop(watch);
    harness.stop().await;
}

#[tokio::test]
async fn a_watch_from_an_unavailable_revision_is_rejected() {
    let harness = PlatformHarness::start().await;
    let outcome = harness.kv.watch("w/", -5).await;
    assert!(matches!(
        outcome,
        Err(KvError::Rejected { status: 400, .. })
    ));
    harness.stop().await;
}

#[tokio::test]
async fn a_key_ends_with_its_lease() {
    #[derive(Clone, Copy, Debug)]
    enum End {
        Expired,
        Revoked,
    }
    let harness = PlatformHarness::start().await;
    for end in [End::Expired, End::Revoked] {
        let ttl = match end {
            End::Expired => Duration::from_millis(900),
            End::Revoked => Duration::from_secs(3_600),
        };
        let lease = harness.kv.lease_grant(ttl).await.expect("responds");
        let key = format!("lease/{end:?}");
        let txn = Transaction {
            puts: vec![Put {
                key: key.as_str().into(),
                value: Vec::new(),
                lease: Some(lease.id),
            }],
            ..Transaction::default()
        };
        let done = harness.kv.txn(txn).await.expect("responds");
        let TransactionOutcome::Committed { revision, .. } = done else {
            panic!("{done:?}");
        };
        assert!(
            harness
                .kv
                .lease_keep_alive(lease.id)
                .await
                .expect("responds")
                .is_some()
        );
        let mut watch = harness.kv.watch(&key, revision + 1).await.expect("starts");
        match end {
            End::Expired => (),
            End::Revoked => harness.kv.lease_revoke(lease.id).await.expect("responds"),
        }
        assert_eq!(next_changes(&mut watch, 1).await, [(key, None)]);
        assert_eq!(
            harness
                .kv
                .lease_keep_alive(lease.id)
                .await
                .expect("responds"),
            None
        );
    }
    harness.stop().await;
}
