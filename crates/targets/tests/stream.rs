//! Which streamed responses are accepted as complete, and how others fail.

mod support;

use reedford_targets::{DispatchResponse, Mismatch, StreamError, TokenStream};
use std::time::Duration;
use support::fake::{FakeTarget, Step};
use support::{
    ATTEMPT, END_MARKER, LAST_CHUNK, MODEL, chat, chunk, client_with_long_timeout,
    client_with_timeout, event, options, stream_head,
};
use test_case::test_case;

fn token(index: u64) -> String {
    event(index, ATTEMPT, MODEL, None)
}

fn last(index: u64) -> String {
    event(index, ATTEMPT, MODEL, Some("stop"))
}

/// Reads a stream to its end. Returns the number of tokens and the result.
async fn read_to_end(mut stream: TokenStream) -> (u64, Result<(), StreamError>) {
    let mut tokens = 0;
    loop {
        match stream.next().await {
            Ok(Some(token)) => {
                assert_eq!(token.index, tokens);
                tokens += 1;
            }
            Ok(None) => return (tokens, Ok(())),
            Err(e) => return (tokens, Err(e)),
        }
    }
}

async fn open(fake: &FakeTarget, client: &reedford_targets::TargetClient) -> TokenStream {
    match client.dispatch(fake.addr, &chat(true), options()).await {
        Ok(DispatchResponse::Stream(stream)) => stream,
        other => panic!("expected a stream, got {other:?}"),
    }
}

struct Case {
    /// Parts of the body, each sent as one chunk.
    body: Vec<String>,
    tokens: u64,
    end: Result<(), StreamError>,
}

fn complete(body: Vec<String>, tokens: u64) -> Case {
    Case {
        body,
        tokens,
        end: Ok(()),
    }
}

fn fails(body: Vec<String>, end: StreamError) -> Case {
    Case {
        body,
        tokens: end.next_index(),
        end: Err(end),
    }
}

fn mismatch(received: u64, expected: &str, got: &str) -> StreamError {
    let mismatch = Mismatch {
        expected: expected.into(),
        got: got.into(),
    };
    StreamError::Mismatch { received, mismatch }
}

const CUT_AT_1: StreamError = StreamError::Cut { received: 1 };
const UNREADABLE_AT_1: StreamError = StreamError::Unreadable { received: 1 };

#[test_case(complete(vec![token(0), last(1), END_MARKER.into()], 2); "two tokens")]
#[test_case(complete(vec![token(0) + &last(1) + END_MARKER], 2); "all in one chunk")]
#[test_case(complete(vec![token(0)[..9].into(), token(0)[9..].into(), last(1) + END_MARKER], 2);
    "event in two chunks")]
#[test_case(complete(vec![": hello\n\n".into(), token(0).replace('\n', "\r\n"), last(1) + END_MARKER], 2);
    "comment and carriage returns")]
#[test_case(fails(vec![token(0)], CUT_AT_1); "body ends early")]
#[test_case(fails(vec![last(0)], CUT_AT_1); "no end marker")]
#[test_case(fails(vec![token(0), END_MARKER.into()], UNREADABLE_AT_1); "end marker before the last token")]
#[test_case(fails(vec![last(0), last(1)], UNREADABLE_AT_1); "token after the last")]
#[test_case(fails(vec![token(0), token(2)], UNREADABLE_AT_1); "skipped token")]
#[test_case(fails(vec![token(0), token(0)], UNREADABLE_AT_1); "repeated token")]
#[test_case(fails(vec![token(0), "data: {}\n\n".into()], UNREADABLE_AT_1); "event without a completion chunk")]
#[test_case(fails(vec![token(0), "x".repeat(300 << 10)], UNREADABLE_AT_1); "endless event")]
#[test_case(fails(vec![token(0), event(1, "a-2", MODEL, None)], mismatch(1, ATTEMPT, "a-2"));
    "token of another attempt")]
#[test_case(fails(vec![event(0, ATTEMPT, "price@v2", None)], mismatch(0, MODEL, "price@v2"));
    "token of another version")]
#[tokio::test]
async fn stream_result(case: Case) {
    let chunks: String = case.body.iter().map(|b| chunk(b)).collect();
    let fake = FakeTarget::start(vec![Step::Send(stream_head() + &chunks + LAST_CHUNK)]).await;
    let client = client_with_long_timeout();
    let stream = open(&fake, &client).await;
    assert_eq!(read_to_end(stream).await, (case.tokens, case.end));
    client.close().await;
}

#[test_case(Step::SendClose, 20_000, CUT_AT_1; "connection closed")]
#[test_case(Step::SendHang, 50, StreamError::Silent { received: 1 }; "connection silent")]
#[tokio::test]
async fn interrupted_stream_fails(
    step: fn(String) -> Step,
    timeout_ms: u64,
    expected: StreamError,
) {
    let fake = FakeTarget::start(vec![step(stream_head() + &chunk(&token(0)))]).await;
    let client = client_with_timeout(Duration::from_millis(timeout_ms));
    let stream = open(&fake, &client).await;
    assert_eq!(read_to_end(stream).await, (1, Err(expected)));
    client.close().await;
}

#[tokio::test]
async fn raw_events_are_the_received_bytes() {
    let body = chunk(&token(0)) + &chunk(&(last(1) + END_MARKER)) + LAST_CHUNK;
    let fake = FakeTarget::start(vec![Step::Send(stream_head() + &body)]).await;
    let client = client_with_long_timeout();
    let mut stream = open(&fake, &client).await;
    let first = stream.next().await.unwrap().unwrap();
    let second = stream.next().await.unwrap().unwrap();
    assert_eq!(first.raw, token(0));
    assert_eq!(second.raw, last(1));
    assert_eq!(second.finish.as_deref(), Some("stop"));
    client.close().await;
}
