//! What the client reports when the platform fails.

use crate::support::{Bench, LONG, OTHER_ZONE, ZONE, endpoint, put, read};
use futures::StreamExt;
use reedford_platform::{HttpKeyValue, KeyValue, KvError};
use reedford_standins::platform::{Faults, PlatformConfig, PlatformStandin};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use tokio::net::TcpSocket;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    Answered,
    NotSent,
    Unknown,
    Rejected,
}

fn outcome<T>(result: &Result<T, KvError>) -> Outcome {
    match result {
        Ok(_) => Outcome::Answered,
        Err(KvError::NotSent { .. }) => Outcome::NotSent,
        Err(KvError::Unknown { .. }) => Outcome::Unknown,
        Err(KvError::Rejected { .. }) => Outcome::Rejected,
    }
}

struct Case {
    name: &'static str,
    faults: Faults,
    read: Outcome,
    write: Outcome,
    takes_effect: bool,
}

#[tokio::test]
async fn each_fault_is_told_apart_and_ends() {
    let zone = || [ZONE.into()].into();
    let cases = [
        Case {
            name: "down",
            faults: Faults {
                down: true,
                ..Faults::default()
            },
            read: Outcome::Rejected,
            // To the writer, a server error proves nothing.
            write: Outcome::Unknown,
            takes_effect: false,
        },
        Case {
            name: "slow",
            faults: Faults {
                slow_ms: 20,
                ..Faults::default()
            },
            read: Outcome::Answered,
            write: Outcome::Answered,
            takes_effect: true,
        },
        Case {
            name: "too slow",
            faults: Faults {
                slow_ms: 60_000,
                ..Faults::default()
            },
            read: Outcome::Unknown,
            write: Outcome::Unknown,
            takes_effect: false,
        },
        Case {
            name: "lost answer",
            faults: Faults {
                lose_next_answers: 1,
                ..Faults::default()
            },
            read: Outcome::Answered,
            write: Outcome::Unknown,
            takes_effect: true,
        },
        Case {
            name: "cut off",
            faults: Faults {
                cut_zones: zone(),
                ..Faults::default()
            },
            read: Outcome::Unknown,
            write: Outcome::Unknown,
            takes_effect: false,
        },
        Case {
            name: "hangs",
            faults: Faults {
                hang_zones: zone(),
                ..Faults::default()
            },
            read: Outcome::Unknown,
            write: Outcome::Unknown,
            takes_effect: false,
        },
        Case {
            name: "another zone is cut off",
            faults: Faults {
                cut_zones: [OTHER_ZONE.into()].into(),
                ..Faults::default()
            },
            read: Outcome::Answered,
            write: Outcome::Answered,
            takes_effect: true,
        },
    ];
    futures::future::join_all(cases.into_iter().map(check)).await;
}

async fn check(case: Case) {
    let bench = Bench::start_impatient().await;
    let before = put(&bench.kv, "k", 0, "before").await;
    bench.set_faults(&case.faults).await;
    let value = bench.kv.get("k").await;
    assert_eq!(outcome(&value), case.read, "{}", case.name);
    let write = bench.kv.swap("k", before, b"after".to_vec()).await;
    assert_eq!(outcome(&write), case.write, "{}", case.name);

    bench.set_faults(&Faults::default()).await;
    let value = read(&bench.kv, "k").await;
    let expected = if case.takes_effect { "after" } else { "before" };
    assert_eq!(value.as_deref(), Some(expected), "{}", case.name);
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
    assert_eq!(outcome(&bench.kv.get("k0").await), Outcome::Unknown);
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
    assert_eq!(outcome(&kv.get("k").await), Outcome::NotSent);
    assert_eq!(
        outcome(&kv.swap("k", 0, Vec::new()).await),
        Outcome::NotSent
    );
    endpoint.close().await;
}

#[tokio::test]
async fn the_next_address_is_tried() {
    struct Case {
        name: &'static str,
        first_refuses: bool,
        read: Outcome,
        first_write: Outcome,
        second_write: Outcome,
    }
    let cases = [
        Case {
            name: "the first refuses",
            first_refuses: true,
            read: Outcome::Answered,
            first_write: Outcome::Answered,
            second_write: Outcome::Answered,
        },
        Case {
            // A write that may have been taken is not sent again, but the
            // next one goes elsewhere.
            name: "the first closes",
            first_refuses: false,
            read: Outcome::Answered,
            first_write: Outcome::Unknown,
            second_write: Outcome::Answered,
        },
    ];
    for case in cases {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let cfg = PlatformConfig {
            zones: [(ZONE.into(), any), (OTHER_ZONE.into(), any)].into(),
            faults: Faults {
                cut_zones: [ZONE.into()].into(),
                ..Faults::default()
            },
            ..PlatformConfig::default()
        };
        let standin = PlatformStandin::start(cfg).await.expect("starts");
        let (_socket, refuses) = refusing();
        let first = if case.first_refuses {
            refuses
        } else {
            standin.zones()[ZONE]
        };
        let addresses = vec![first, standin.zones()[OTHER_ZONE]];
        let writer = endpoint(addresses.clone(), LONG);
        let kv = HttpKeyValue::new(Arc::clone(&writer));
        let write = kv.swap("a", 0, Vec::new()).await;
        assert_eq!(
            outcome(&write),
            case.first_write,
            "{}: {write:?}",
            case.name
        );
        let write = kv.swap("b", 0, Vec::new()).await;
        assert_eq!(outcome(&write), case.second_write, "{}", case.name);

        let reader = endpoint(addresses, LONG);
        let kv = HttpKeyValue::new(Arc::clone(&reader));
        assert_eq!(outcome(&kv.get("a").await), case.read, "{}", case.name);
        reader.close().await;
        writer.close().await;
        standin.shutdown().await;
    }
}
