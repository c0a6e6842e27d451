//! What the client reports when the platform fails.

use crate::support::{LONG_TIMEOUT, OTHER_ZONE, PlatformHarness, ZONE, endpoint, put, read};
use futures::StreamExt;
use reedford_standins::platform::{Faults, PlatformConfig, PlatformStandin};
use reedford_store::{HttpKeyValue, KeyValue, KvError};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use test_case::test_case;
use tokio::net::TcpSocket;

use Outcome::{NotSent, Rejected, Responded, Unknown};

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    Responded,
    NotSent,
    Unknown,
    Rejected,
}

fn outcome<T>(result: &Result<T, KvError>) -> Outcome {
    match result {
        Ok(_) => Responded,
        Err(KvError::NotSent { .. }) => NotSent,
        Err(KvError::Unknown { .. }) => Unknown,
        Err(KvError::Rejected { .. }) => Rejected,
    }
}

fn hang(zone: &str) -> Faults {
    Faults {
        hang_zones: [zone.into()].into(),
        ..Faults::default()
    }
}

fn cut(zone: &str) -> Faults {
    Faults {
        cut_zones: [zone.into()].into(),
        ..Faults::default()
    }
}

fn slow(slow_ms: u64) -> Faults {
    Faults {
        slow_ms,
        ..Faults::default()
    }
}

// A server error does not tell whether a write took effect.
#[test_case(Faults { down: true, ..Faults::default() }, Rejected, Unknown, "before"; "down")]
#[test_case(slow(20), Responded, Responded, "after"; "slow")]
#[test_case(slow(60_000), Unknown, Unknown, "before"; "too slow")]
#[test_case(Faults { lose_next_answers: 1, ..Faults::default() }, Responded, Unknown, "after"; "response lost")]
#[test_case(cut(ZONE), Unknown, Unknown, "before"; "cut off")]
#[test_case(cut(OTHER_ZONE), Responded, Responded, "after"; "another zone is cut off")]
#[test_case(hang(ZONE), Unknown, Unknown, "before"; "hangs")]
#[tokio::test]
async fn each_fault_has_its_own_outcome_and_ends(
    faults: Faults,
    for_read: Outcome,
    for_write: Outcome,
    value_after: &str,
) {
    let harness = PlatformHarness::start_with_short_timeout().await;
    let before = put(&harness.kv, "k", 0, "before").await;
    harness.set_faults(&faults).await;
    assert_eq!(outcome(&harness.kv.get("k").await), for_read);
    let write = harness
        .kv
        .compare_and_swap("k", before, b"after".to_vec())
        .await;
    assert_eq!(outcome(&write), for_write);

    harness.set_faults(&Faults::default()).await;
    assert_eq!(read(&harness.kv, "k").await.as_deref(), Some(value_after));
    harness.stop().await;
}

#[tokio::test]
async fn silent_connections_are_all_replaced_after_one_timeout() {
    let harness = PlatformHarness::start_with_short_timeout().await;
    let keys: Vec<String> = (0..4).map(|n| format!("k{n}")).collect();
    let reads = || futures::future::join_all(keys.iter().map(|key| harness.kv.get(key)));
    // This leaves several open idle connections.
    assert!(reads().await.iter().all(Result::is_ok));
    harness
        .set_faults(&Faults {
            silence_zones: [ZONE.into()].into(),
            ..Faults::default()
        })
        .await;
    assert_eq!(outcome(&harness.kv.get("k0").await), Unknown);
    assert!(reads().await.iter().all(Result::is_ok));
    harness.stop().await;
}

#[tokio::test]
async fn a_silent_watch_ends_with_an_error() {
    let harness = PlatformHarness::start().await;
    let mut watch = harness.kv.watch("w/", 0).await.expect("starts");
    assert!(watch.next().await.expect("goes on").is_ok());
    harness
        .set_faults(&Faults {
            silence_zones: [ZONE.into()].into(),
            ..Faults::default()
        })
        .await;
    while watch.next().await.expect("has an error first").is_ok() {}
    assert!(watch.next().await.is_none());
    harness.stop().await;
}

/// Returns a bound socket that refuses connections, and its address.
fn refusing_socket() -> (TcpSocket, SocketAddr) {
    let socket = TcpSocket::new_v4().expect("is made");
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    socket.bind(any).expect("binds");
    let address = socket.local_addr().expect("has an address");
    (socket, address)
}

#[tokio::test]
async fn nothing_is_sent_to_an_address_that_refuses() {
    let (_socket, address) = refusing_socket();
    let endpoint = endpoint(vec![address], LONG_TIMEOUT);
    let kv = HttpKeyValue::new(Arc::clone(&endpoint));
    assert_eq!(outcome(&kv.get("k").await), NotSent);
    assert_eq!(
        outcome(&kv.compare_and_swap("k", 0, Vec::new()).await),
        NotSent
    );
    endpoint.close().await;
}

// A write that may have taken effect is not sent again; the next write uses the
// next address.
#[test_case(true, Responded; "the first refuses")]
#[test_case(false, Unknown; "the first closes")]
#[tokio::test]
async fn the_next_address_is_tried(first_refuses: bool, first_write: Outcome) {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let cfg = PlatformConfig {
        zones: [(ZONE.into(), any), (OTHER_ZONE.into(), any)].into(),
        faults: cut(ZONE),
        ..PlatformConfig::default()
    };
    let standin = PlatformStandin::start(cfg).await.expect("starts");
    let (_socket, refusing) = refusing_socket();
    let first = if first_refuses {
        refusing
    } else {
        standin.zones()[ZONE]
    };
    let addresses = vec![first, standin.zones()[OTHER_ZONE]];
    let writer = endpoint(addresses.clone(), LONG_TIMEOUT);
    let kv = HttpKeyValue::new(Arc::clone(&writer));
    let write = kv.compare_and_swap("a", 0, Vec::new()).await;
    assert_eq!(outcome(&write), first_write);
    let write = kv.compare_and_swap("b", 0, Vec::new()).await;
    assert_eq!(outcome(&write), Responded);

    let reader = endpoint(addresses, LONG_TIMEOUT);
    let kv = HttpKeyValue::new(Arc::clone(&reader));
    assert_eq!(outcome(&kv.get("a").await), Responded);
    reader.close().await;
    writer.close().await;
    standin.shutdown().await;
}
