//! Which connections are reused for another request.

mod support;

use reedford_targets::{DispatchError, DispatchResponse};
use std::time::Duration;
use support::fake::{FakeTarget, Step};
use support::{
    ATTEMPT, END_MARKER, LAST_CHUNK, MODEL, chat, chat_response, chunk, client_with_long_timeout,
    client_with_timeout, event, options, refusal, stream_head,
};
use test_case::test_case;

fn complete_response() -> Step {
    Step::Send(chat_response(ATTEMPT, MODEL))
}

struct Case {
    /// What the target does with the first request.
    first: Step,
    /// Numbers of the connections of the two requests.
    connections: Vec<usize>,
}

#[test_case(Case { first: Step::Send(chat_response(ATTEMPT, MODEL)), connections: vec![0, 0] };
    "after a complete response")]
#[test_case(Case { first: Step::Send(refusal("503 x", "full", ATTEMPT)), connections: vec![0, 0] };
    "after a refusal")]
#[test_case(Case { first: Step::Send(chat_response("a-2", MODEL)), connections: vec![0, 1] };
    "not after a response to another attempt")]
#[test_case(Case { first: Step::Send(refusal("503 x", "full", "a-2")), connections: vec![0, 1] };
    "not after a refusal of another attempt")]
#[test_case(Case { first: Step::SendClose(chat_response(ATTEMPT, MODEL)), connections: vec![0, 1] };
    "not after the target closed it")]
#[test_case(Case { first: Step::Close, connections: vec![0, 1] }; "not after a lost response")]
#[tokio::test]
async fn connection_of_second_request(case: Case) {
    let fake = FakeTarget::start(vec![case.first, complete_response()]).await;
    let client = client_with_long_timeout();
    drop(client.dispatch(fake.addr, &chat(false), options()).await);
    // The client may notice that the connection is closed only after sending the
    // second request on it. That request is then lost, and must not be resent.
    let second = client.dispatch(fake.addr, &chat(false), options()).await;
    let used: Vec<usize> = fake.requests().iter().map(|r| r.connection).collect();
    if second.is_ok() {
        assert_eq!(used, case.connections);
    } else {
        assert_eq!(used, [0], "{second:?}");
        assert_eq!(case.connections, [0, 1]);
    }
    client.close().await;
}

#[tokio::test]
async fn connection_with_unread_stream_is_not_reused() {
    let head = stream_head() + &chunk(&event(0, ATTEMPT, MODEL, None));
    let rest = chunk(&event(1, ATTEMPT, MODEL, Some("stop"))) + &chunk(END_MARKER) + LAST_CHUNK;
    let fake = FakeTarget::start(vec![Step::Send(head + &rest), complete_response()]).await;
    let client = client_with_long_timeout();
    let res = client.dispatch(fake.addr, &chat(true), options()).await;
    let Ok(DispatchResponse::Stream(mut stream)) = res else {
        panic!("expected a stream, got {res:?}");
    };
    stream.next().await.unwrap().unwrap();
    drop(stream);
    client
        .dispatch(fake.addr, &chat(false), options())
        .await
        .unwrap();
    let used: Vec<usize> = fake.requests().iter().map(|r| r.connection).collect();
    assert_eq!(used, [0, 1]);
    client.close().await;
}

#[tokio::test]
async fn timed_out_connection_is_not_reused() {
    let fake = FakeTarget::start(vec![Step::Hang, complete_response()]).await;
    let client = client_with_timeout(Duration::from_millis(50));
    client
        .dispatch(fake.addr, &chat(false), options())
        .await
        .unwrap_err();
    client
        .dispatch(fake.addr, &chat(false), options())
        .await
        .unwrap();
    let used: Vec<usize> = fake.requests().iter().map(|r| r.connection).collect();
    assert_eq!(used, [0, 1]);
    client.close().await;
}

#[tokio::test]
async fn timeout_on_one_connection_closes_the_idle_ones() {
    let steps = vec![
        complete_response(),
        complete_response(),
        Step::Hang,
        complete_response(),
    ];
    let fake = FakeTarget::start(steps).await;
    let client = client_with_timeout(Duration::from_millis(300));
    let chat = chat(false);
    let (a, b) = tokio::join!(
        client.dispatch(fake.addr, &chat, options()),
        client.dispatch(fake.addr, &chat, options()),
    );
    assert!(a.is_ok() && b.is_ok(), "{a:?} {b:?}");
    let silent = client.dispatch(fake.addr, &chat, options()).await;
    assert!(silent.is_err(), "{silent:?}");
    client.dispatch(fake.addr, &chat, options()).await.unwrap();
    let used: Vec<usize> = fake.requests().iter().map(|r| r.connection).collect();
    assert_eq!(used[3], 2, "{used:?}");
    client.close().await;
}

/// Returns the priorities of the requests received. They identify the requests,
/// which all have the same attempt id.
fn received_priorities(fake: &FakeTarget) -> Vec<i32> {
    let heads = fake.requests().into_iter().map(|r| r.head);
    heads
        .map(|head| {
            let line = head.lines().find_map(|l| l.strip_prefix("x-priority: "));
            line.expect("priority").parse().expect("number")
        })
        .collect()
}

#[tokio::test]
async fn request_is_never_sent_twice_if_connections_close_after_each_response() {
    const REQUESTS: i32 = 300;
    let step = Step::SendClose(chat_response(ATTEMPT, MODEL));
    let fake = FakeTarget::start(vec![step; REQUESTS as usize]).await;
    let client = client_with_long_timeout();
    let mut not_sent = Vec::new();
    for priority in 0..REQUESTS {
        let mut options = options();
        options.priority = priority;
        let result = client.dispatch(fake.addr, &chat(false), options).await;
        if matches!(result, Err(DispatchError::NotSent(_))) {
            not_sent.push(priority);
        }
    }
    let sent = received_priorities(&fake);
    let mut distinct = sent.clone();
    distinct.sort_unstable();
    distinct.dedup();
    assert_eq!(distinct.len(), sent.len(), "sent twice");
    assert!(not_sent.iter().all(|p| !sent.contains(p)), "{not_sent:?}");
    client.close().await;
}
