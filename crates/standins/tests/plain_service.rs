//! Calls of the plain service stand-in and its faults, as the client sees them.

mod target_support;

use bytes::Bytes;
use reedford_standins::plain::{PlainConfig, PlainFaults, PlainStandin};
use reedford_targets::{DispatchError, LostReason, PlainRequest};
use reedford_wire::engine::RefusalCode;
use reedford_wire::plain::Receipt;
use std::time::Duration;
use target_support::client;
use test_case::test_case;

fn call() -> PlainRequest {
    PlainRequest {
        path_and_query: "/book".into(),
        content_type: Some("text/plain".into()),
        body: Bytes::from_static(b"tanker"),
        attempt: "a".into(),
        idempotency_key: Some("k".into()),
        traceparent: None,
        deadline: None,
    }
}

fn receipt() -> Receipt {
    Receipt {
        attempt: "a".into(),
        path: "/book".into(),
        key: Some("k".into()),
        body: "tanker".into(),
    }
}

#[derive(Debug, Eq, PartialEq)]
enum Outcome {
    Done,
    Lost(LostReason),
    Refused(RefusalCode),
}

struct Case {
    faults: PlainFaults,
    expected: Outcome,
    runs: usize,
}

const NO_FAULTS: PlainFaults = PlainFaults {
    delay_ms: None,
    leaving: None,
    lose_answers: None,
    silent_connections: None,
};

#[test_case(Case { faults: NO_FAULTS, expected: Outcome::Done, runs: 1 }; "done")]
#[test_case(Case { faults: PlainFaults { lose_answers: Some(1), ..NO_FAULTS },
    expected: Outcome::Lost(LostReason::Closed), runs: 1 }; "response lost")]
#[test_case(Case { faults: PlainFaults { leaving: Some(true), ..NO_FAULTS },
    expected: Outcome::Refused(RefusalCode::Leaving), runs: 0 }; "leaving")]
#[test_case(Case { faults: PlainFaults { delay_ms: Some(600_000), ..NO_FAULTS },
    expected: Outcome::Lost(LostReason::FirstByteTimeout), runs: 1 }; "too slow")]
#[tokio::test]
async fn call_ends_as(case: Case) {
    let service = PlainStandin::start(PlainConfig::default()).await.unwrap();
    service.set_faults(&case.faults).await;
    let client = client(Duration::from_millis(500));
    let outcome = match client.plain(service.addr(), call()).await {
        Ok(reply) => {
            let body: Receipt = serde_json::from_slice(&reply.body).unwrap();
            assert_eq!(body, receipt());
            Outcome::Done
        }
        Err(DispatchError::Lost(reason)) => Outcome::Lost(reason),
        Err(DispatchError::Refused(refusal)) => Outcome::Refused(refusal.code),
        Err(other) => panic!("{other}"),
    };
    assert_eq!(outcome, case.expected);
    assert_eq!(service.record(), vec![receipt(); case.runs]);
    client.close().await;
    service.shutdown().await;
}

#[tokio::test]
async fn silent_connection_loses_its_call_and_the_next_connection_works() {
    let service = PlainStandin::start(PlainConfig::default()).await.unwrap();
    let client = client(Duration::from_millis(500));
    client.plain(service.addr(), call()).await.unwrap();
    let silent = PlainFaults {
        silent_connections: Some(true),
        ..NO_FAULTS
    };
    service.set_faults(&silent).await;
    let lost = client.plain(service.addr(), call()).await;
    let expected = DispatchError::Lost(LostReason::FirstByteTimeout);
    assert_eq!(lost, Err(expected));
    client.plain(service.addr(), call()).await.unwrap();
    assert_eq!(service.record().len(), 2);
    client.close().await;
    service.shutdown().await;
}
