//! Which connections carry another request.

mod support;

use reedford_targets::Reply;
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
    let Ok(Reply::Stream(mut stream)) = reply else {
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
