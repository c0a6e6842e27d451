//! Which connections carry another request.

mod support;

use reedford_targets::{DispatchError, DispatchResponse};
use std::time::Duration;
use support::fake::{Fake, Step};
use support::{
    ATTEMPT, DONE, LAST_CHUNK, MODEL, chat, chunk, client, event, options, patient, refusal,
    stream_head, whole,
};
use test_case::test_case;

fn second_answer() -> Step {
    Step::Send(whole(ATTEMPT, MODEL))
}

struct Case {
    first: Step,
    connections: Vec<usize>,
}

#[test_case(Case { first: Step::Send(whole(ATTEMPT, MODEL)), connections: vec![0, 0] };
    "after a whole answer")]
#[test_case(Case { first: Step::Send(refusal("503 x", "full", ATTEMPT)), connections: vec![0, 0] };
    "after a refusal")]
#[test_case(Case { first: Step::Send(whole("a-2", MODEL)), connections: vec![0, 1] };
    "not after another attempt's answer")]
#[test_case(Case { first: Step::Send(refusal("503 x", "full", "a-2")), connections: vec![0, 1] };
    "not after another attempt's refusal")]
#[test_case(Case { first: Step::SendClose(whole(ATTEMPT, MODEL)), connections: vec![0, 1] };
    "not after it closed")]
#[test_case(Case { first: Step::Close, connections: vec![0, 1] }; "not after a lost answer")]
#[tokio::test]
async fn second_request_goes_out_on(case: Case) {
    let fake = Fake::start(vec![case.first, second_answer()]).await;
    let client = patient();
    drop(client.dispatch(fake.addr, &chat(false), options()).await);
    // A closed connection may be noticed only when the second request is on
    // it, which then counts as lost; whatever happens, it is not sent twice.
    let second = client.dispatch(fake.addr, &chat(false), options()).await;
    let used: Vec<usize> = fake.seen().iter().map(|s| s.connection).collect();
    if second.is_ok() {
        assert_eq!(used, case.connections);
    } else {
        assert_eq!(used, [0], "{second:?}");
        assert_eq!(case.connections, [0, 1]);
    }
    client.close().await;
}

#[tokio::test]
async fn unread_stream_is_not_reused() {
    let head = stream_head() + &chunk(&event(0, ATTEMPT, MODEL, None));
    let rest = chunk(&event(1, ATTEMPT, MODEL, Some("stop"))) + &chunk(DONE) + LAST_CHUNK;
    let fake = Fake::start(vec![Step::Send(head + &rest), second_answer()]).await;
    let client = patient();
    let reply = client.dispatch(fake.addr, &chat(true), options()).await;
    let Ok(DispatchResponse::Stream(mut stream)) = reply else {
        panic!("expected a stream, got {reply:?}");
    };
    stream.next().await.unwrap().unwrap();
    drop(stream);
    client
        .dispatch(fake.addr, &chat(false), options())
        .await
        .unwrap();
    let used: Vec<usize> = fake.seen().iter().map(|s| s.connection).collect();
    assert_eq!(used, [0, 1]);
    client.close().await;
}

#[tokio::test]
async fn timed_out_connection_is_not_reused() {
    let fake = Fake::start(vec![Step::Hang, second_answer()]).await;
    let hasty = client(Duration::from_millis(50));
    hasty
        .dispatch(fake.addr, &chat(false), options())
        .await
        .unwrap_err();
    hasty
        .dispatch(fake.addr, &chat(false), options())
        .await
        .unwrap();
    let used: Vec<usize> = fake.seen().iter().map(|s| s.connection).collect();
    assert_eq!(used, [0, 1]);
    hasty.close().await;
}

#[tokio::test]
async fn silence_on_one_connection_drops_the_unused_ones() {
    let steps = vec![
        second_answer(),
        second_answer(),
        Step::Hang,
        second_answer(),
    ];
    let fake = Fake::start(steps).await;
    let hasty = client(Duration::from_millis(300));
    let chat = chat(false);
    let (a, b) = tokio::join!(
        hasty.dispatch(fake.addr, &chat, options()),
        hasty.dispatch(fake.addr, &chat, options()),
    );
    assert!(a.is_ok() && b.is_ok(), "{a:?} {b:?}");
    let silent = hasty.dispatch(fake.addr, &chat, options()).await;
    assert!(silent.is_err(), "{silent:?}");
    hasty.dispatch(fake.addr, &chat, options()).await.unwrap();
    let used: Vec<usize> = fake.seen().iter().map(|s| s.connection).collect();
    assert_eq!(used[3], 2, "{used:?}");
    hasty.close().await;
}

/// Requests are told apart by their priority, as all have one attempt id.
fn sent_requests(fake: &Fake) -> Vec<i32> {
    let heads = fake.seen().into_iter().map(|s| s.head);
    heads
        .map(|head| {
            let line = head.lines().find_map(|l| l.strip_prefix("x-priority: "));
            line.expect("priority").parse().expect("number")
        })
        .collect()
}

#[tokio::test]
async fn connections_that_close_behind_an_answer_never_send_twice() {
    const REQUESTS: i32 = 300;
    let step = Step::SendClose(whole(ATTEMPT, MODEL));
    let fake = Fake::start(vec![step; 300]).await;
    let client = patient();
    let mut not_sent = Vec::new();
    for priority in 0..REQUESTS {
        let mut options = options();
        options.priority = priority;
        let result = client.dispatch(fake.addr, &chat(false), options).await;
        if matches!(result, Err(DispatchError::NotSent(_))) {
            not_sent.push(priority);
        }
    }
    let sent = sent_requests(&fake);
    let mut once = sent.clone();
    once.sort_unstable();
    once.dedup();
    assert_eq!(once.len(), sent.len(), "sent twice");
    assert!(not_sent.iter().all(|p| !sent.contains(p)), "{not_sent:?}");
    client.close().await;
}
