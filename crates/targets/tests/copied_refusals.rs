//! Copies of refusals where the response to an order is expected.

mod support;

use bytes::Bytes;
use reedford_targets::{OrderError, PlainRequest};
use reedford_wire::engine::AdapterOrder;
use std::time::Duration;
use support::fake::{FakeTarget, Step};
use support::{client_with_long_timeout, refusal, response};

/// Guards against an order that counts as refused although it was carried out, because the
/// copy of a request's refusal, which its id tells, came where its response was expected.
#[tokio::test]
async fn a_copied_refusal_is_not_taken_for_the_response_to_an_order() {
    let copy = refusal("503 x", "full", "a-1");
    let json = "content-type: application/json\r\n";
    let done = response("200 OK", json, r#"{"boot_id":"b1"}"#);
    let steps = vec![Step::Send(copy.clone()), Step::Send(copy + &done)];
    let fake = FakeTarget::start(steps).await;
    let client = client_with_long_timeout();
    let request = PlainRequest {
        path_and_query: "/".into(),
        content_type: None,
        body: Bytes::new(),
        attempt: "a-1".into(),
        idempotency_key: None,
        traceparent: None,
        deadline: None,
    };
    let refused = client.plain(fake.addr, request).await;
    assert!(refused.is_err(), "{refused:?}");
    let order = AdapterOrder {
        adapter: "price".into(),
        version: "v1".into(),
        fence: 1,
    };
    let outcome = client.load(fake.addr, &order, Duration::from_secs(2)).await;
    let connections: Vec<usize> = fake.requests().iter().map(|r| r.connection).collect();
    assert_eq!(connections, [0, 0]);
    assert!(
        matches!(outcome, Err(OrderError::Unknown(_))),
        "{outcome:?}"
    );
    client.close().await;
}
