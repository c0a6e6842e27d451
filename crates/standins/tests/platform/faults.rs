//! What the client reports when the platform fails.

use crate::support::{Bench, LONG, OTHER_ZONE, ZONE, endpoint, put, read};
use futures::StreamExt;
use reedford_standins::platform::{Faults, PlatformConfig, PlatformStandin};
use reedford_store::{HttpKeyValue, KeyValue, KvError};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use test_case::test_case;
use tokio::net::TcpSocket;

use Outcome::{Answered, NotSent, Rejected, Unknown};

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    Answered,
    NotSent,
    Unknown,
    Rejected,
}

fn outcome<T>(result: &Result<T, KvError>) -> Outcome {
    match result {
        Ok(_) => Answered,
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

// To the writer, a server error proves nothing.
#[test_case(Faults { down: true, ..Faults::default() }, Rejected, Unknown, "before"; "down")]
#[test_case(slow(20), Answered, Answered, "after"; "slow")]
#[test_case(slow(60_000), Unknown, Unknown, "before"; "too slow")]
#[test_case(Faults { lose_next_answers: 1, ..Faults::default() }, Answered, Unknown, "after"; "lost answer")]
#[test_case(cut(ZONE), Unknown, Unknown, "before"; "cut off")]
#[test_case(cut(OTHER_ZONE), Answered, Answered, "after"; "another zone is cut off")]
#[test_case(hang(ZONE), Unknown, Unknown, "before"; "hangs")]
#[tokio::test]
async fn each_fault_is_told_apart_and_ends(
    faults: Faults,
    for_read: Outcome,
    for_write: Outcome,
    value_after: &str,
) {
    let bench = Bench::start_impatient().await;
    let before = put(&bench.kv, "k", 0, "before").await;
    bench.set_faults(&faults).await;
    assert_eq!(outcome(&bench.kv.get("k").await), for_read);
    let write = bench
        .kv
        .compare_and_swap("k", before, b"after".to_vec())
        .await;
    assert_eq!(outcome(&write), for_write);

    bench.set_faults(&Faults::default()).await;
    assert_eq!(read(&bench.kv, "k").await.as_deref(), Some(value_after));
    bench.stop().await;
}

#[tokio::test]
async fn connections_that_went_silent_are_all_replaced_after_one_timeout() {
    let bench = Bench::start_impatient().await;
    let keys: Vec<String> = (0..4).map(|n| format!("k{n}")).collect();
    let reads = || futures::future::join_all(keys.iter().map(|key| bench.kv.get(key)));
    // Several connections are open and idle after this.
    assert!(reads().await.iter().all(Result::is_ok));
    bench
        .set_faults(&Faults {
            silence_zones: [ZONE.into()].into(),
            ..Faults::default()
        })
        .await;
    assert_eq!(outcome(&bench.kv.get("k0").await), Unknown);
    assert!(reads().await.iter().all(Result::is_ok));
    bench.stop().await;
}

#[tokio::test]
async fn a_silent_watch_ends_with_an_error() {
    let bench = Bench::start().await;
    let mut watch = bench.kv.watch("w/", 0).await.expect("starts");
    assert!(watch.next().await.expect("goes on").is_ok());
    bench
        .set_faults(&Faults {
            silence_zones: [ZONE.into()].into(),
            ..Faults::default()
        })
        .await;
    while watch.next().await.expect("has an error first").is_ok() {}
    assert!(watch.next().await.is_none());
    bench.stop().await;
}

/// A socket that holds its address and refuses connections.
fn refusing() -> (TcpSocket, SocketAddr) {
    let socket = TcpSocket::new_v4().expect("is made");
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    socket.bind(any).expect("binds");
    let address = socket.local_addr().expect("has an address");
    (socket, address)
}

#[tokio::test]
async fn nothing_is_sent_to_an_address_that_refuses() {
    let (_socket, address) = refusing();
    let endpoint = endpoint(vec![address], LONG);
    let kv = HttpKeyValue::new(Arc::clone(&endpoint));
    assert_eq!(outcome(&kv.get("k").await), NotSent);
    assert_eq!(
        outcome(&kv.compare_and_swap("k", 0, Vec::new()).await),
        NotSent
    );
    endpoint.close().await;
}

// A write that may have been taken is not sent again, but the next one goes
// elsewhere.
#[test_case(true, Answered; "the first refuses")]
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
    let (_socket, refuses) = refusing();
    let first = if first_refuses {
        refuses
    } else {
        standin.zones()[ZONE]
    };
    let addresses = vec![first, standin.zones()[OTHER_ZONE]];
    let writer = endpoint(addresses.clone(), LONG);
    let kv = HttpKeyValue::new(Arc::clone(&writer));
    let write = kv.compare_and_swap("a", 0, Vec::new()).await;
    assert_eq!(outcome(&write), first_write);
    let write = kv.compare_and_swap("b", 0, Vec::new()).await;
    assert_eq!(outcome(&write), Answered);

    let reader = endpoint(addresses, LONG);
    let kv = HttpKeyValue::new(Arc::clone(&reader));
    assert_eq!(outcome(&kv.get("a").await), Answered);
    reader.close().await;
    writer.close().await;
    standin.shutdown().await;
}
