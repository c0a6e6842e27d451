//! How the load tool reads and checks responses.

use reedford_standins::load::balancer::{Balancer, Entry, Spread};
use reedford_standins::load::probe::parse_counters;
use reedford_standins::load::response::{
    ExpectedResponse, Failure, Outcome, Refusal, RefusalOutcome, ResponseViolation, StreamReader,
    read_complete, read_refusal,
};
use reedford_standins::load::sse::{Event, EventReader};
use std::time::Duration;
use test_case::test_case;

const MODEL: &str = "tint@2";
const ATTEMPT: &str = "a-1";

fn expected(tokens: u32) -> ExpectedResponse {
    ExpectedResponse {
        model: MODEL.into(),
        attempt: Some(ATTEMPT.into()),
        tokens,
    }
}

fn chunk(seq: u64, model: &str, attempt: &str, text: &str, finish: &str) -> String {
    let finish = if finish.is_empty() {
        "null".to_owned()
    } else {
        format!("\"{finish}\"")
    };
    format!(
        "id: {seq}\ndata: {{\"id\":\"{attempt}\",\"object\":\"chat.completion.chunk\",\
         \"model\":\"{model}\",\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{text}\"}},\
         \"finish_reason\":{finish}}}]}}\n\n"
    )
}

fn valid_chunk(seq: u64, finish: &str) -> String {
    chunk(seq, MODEL, ATTEMPT, "tint@2/a-1#0 ", finish)
}

const DONE: &str = "data: [DONE]\n\n";
const NOT_RUN: &str =
    r#"{"error":{"outcome":"not_run","code":"queue_full","message":"m","retry_after_ms":250}}"#;
const LOST: &str = r#"{"error":{"outcome":"unknown","code":"target_lost","message":"m"}}"#;

fn refused(outcome: RefusalOutcome, code: &str, retry_after_ms: Option<u64>) -> Outcome {
    Outcome::Refused(Refusal {
        outcome,
        code: code.into(),
        retry_after: retry_after_ms.map(Duration::from_millis),
    })
}

struct StreamCase {
    body: String,
    outcome: Outcome,
    tokens: usize,
    /// Number of requested tokens.
    requested: u32,
    violations: &'static [ResponseViolation],
}

#[test_case(StreamCase { body: valid_chunk(0, "") + &valid_chunk(1, "stop") + DONE, outcome: Outcome::Done, tokens: 2, requested: 2, violations: &[] }; "whole")]
#[test_case(StreamCase { body: valid_chunk(0, "") + &valid_chunk(1, ""), outcome: Outcome::Failed(Failure::Cut), tokens: 2, requested: 2, violations: &[] }; "cut")]
#[test_case(StreamCase { body: valid_chunk(0, "") + DONE, outcome: Outcome::Failed(Failure::BadResponse), tokens: 1, requested: 1, violations: &[] }; "end without finish reason")]
#[test_case(StreamCase { body: valid_chunk(0, "") + &valid_chunk(2, "stop") + DONE, outcome: Outcome::Done, tokens: 2, requested: 3, violations: &[ResponseViolation::Sequence] }; "token missing")]
#[test_case(StreamCase { body: valid_chunk(0, "") + &valid_chunk(0, "stop") + DONE, outcome: Outcome::Done, tokens: 2, requested: 1, violations: &[ResponseViolation::Sequence] }; "token twice")]
#[test_case(StreamCase { body: valid_chunk(0, "stop") + DONE, outcome: Outcome::Done, tokens: 1, requested: 2, violations: &[ResponseViolation::Length] }; "too short")]
#[test_case(StreamCase { body: valid_chunk(0, "stop") + DONE + &valid_chunk(1, ""), outcome: Outcome::Done, tokens: 1, requested: 1, violations: &[ResponseViolation::Sequence] }; "token after the end")]
#[test_case(StreamCase { body: chunk(0, "tint@3", ATTEMPT, "tint@3/a-1#0 ", "stop") + DONE, outcome: Outcome::Done, tokens: 1, requested: 1, violations: &[ResponseViolation::Model, ResponseViolation::Text] }; "another version")]
#[test_case(StreamCase { body: chunk(0, MODEL, ATTEMPT, "rust@1/a-1#0 ", "stop") + DONE, outcome: Outcome::Done, tokens: 1, requested: 1, violations: &[ResponseViolation::Text] }; "text of another adapter")]
#[test_case(StreamCase { body: chunk(0, MODEL, "a-2", "tint@2/a-2#0 ", "stop") + DONE, outcome: Outcome::Done, tokens: 1, requested: 1, violations: &[ResponseViolation::Attempt] }; "another attempt")]
#[test_case(StreamCase { body: valid_chunk(0, "") + "event: error\ndata: " + LOST + "\n\n", outcome: refused(RefusalOutcome::Unknown, "target_lost", None), tokens: 1, requested: 1, violations: &[] }; "error event")]
#[test_case(StreamCase { body: "data: {}\n\n".to_owned(), outcome: Outcome::Failed(Failure::BadResponse), tokens: 0, requested: 0, violations: &[] }; "garbage")]
fn streams(case: StreamCase) {
    // The events must not depend on how the body is split.
    for size in [1, 7, case.body.len()] {
        let mut events = EventReader::default();
        let mut stream = StreamReader::new(expected(case.requested));
        let mut now = Duration::ZERO;
        for piece in case.body.as_bytes().chunks(size) {
            for event in events.push(piece) {
                now += Duration::from_millis(10);
                stream.on_event(now, &event);
            }
        }
        let streamed = stream.finish();
        assert_eq!(streamed.outcome, case.outcome);
        assert_eq!(streamed.violations, case.violations);
        let first = (case.tokens > 0).then_some(Duration::from_millis(10));
        assert_eq!(streamed.first_token, first);
        let gaps = vec![Duration::from_millis(10); case.tokens.saturating_sub(1)];
        assert_eq!(streamed.token_gaps, gaps);
    }
}

#[test]
fn events_join_their_data_lines_and_skip_comments() {
    let mut reader = EventReader::default();
    let events = reader.push(b": hello\r\nevent: error\r\ndata: a\r\ndata:b\r\n\r\n\n");
    let event = Event {
        name: Some("error".into()),
        id: None,
        data: "a\nb".into(),
    };
    assert_eq!(events, [event]);
}

#[test_case(MODEL, ATTEMPT, "tint@2/a-1#0 tint@2/a-1#1", &[]; "whole")]
#[test_case("tint@1", ATTEMPT, "tint@2/a-1#0 tint@2/a-1#1", &[ResponseViolation::Model]; "another version")]
#[test_case(MODEL, "a-2", "tint@2/a-2#0 tint@2/a-2#1", &[ResponseViolation::Attempt]; "another attempt")]
#[test_case(MODEL, ATTEMPT, "tint@2/a-1#0 tint@2/a-10#1", &[ResponseViolation::Text]; "crossed text")]
#[test_case(MODEL, ATTEMPT, "tint@2/a-1#1 tint@2/a-1#0", &[ResponseViolation::Sequence]; "out of order")]
#[test_case(MODEL, ATTEMPT, "tint@2/a-1#0", &[ResponseViolation::Length]; "too short")]
fn complete_responses(model: &str, attempt: &str, text: &str, violations: &[ResponseViolation]) {
    let body = format!(
        r#"{{"id":"{attempt}","object":"chat.completion","model":"{model}",
        "choices":[{{"index":0,"message":{{"role":"assistant","content":"{text}"}},
        "finish_reason":"stop"}}],
        "usage":{{"prompt_tokens":1,"completion_tokens":2,"total_tokens":3}}}}"#
    );
    let (outcome, found) = read_complete(&expected(2), body.as_bytes());
    assert_eq!(outcome, Outcome::Done);
    assert_eq!(found, violations);
}

#[test_case(NOT_RUN, Some(9), refused(RefusalOutcome::NotRun, "queue_full", Some(250)); "retry time of the body, which is finer")]
#[test_case(LOST, Some(9), refused(RefusalOutcome::Unknown, "target_lost", Some(9_000)); "retry time of the header")]
#[test_case(LOST, None, refused(RefusalOutcome::Unknown, "target_lost", None); "no retry time")]
#[test_case("<html>", Some(9), Outcome::Failed(Failure::BadResponse); "garbage")]
fn refusals(body: &str, header_s: Option<u64>, outcome: Outcome) {
    let header = header_s.map(Duration::from_secs);
    assert_eq!(read_refusal(body.as_bytes(), header), outcome);
}

#[test]
fn counters_are_summed_over_labels() {
    let text = "# HELP reedford_retries_total x\n# TYPE reedford_retries_total counter\n\
                reedford_retries_total{class=\"lookup\"} 2\n\
                reedford_retries_total{class=\"a b\"} 3\n\
                # TYPE queue gauge\nqueue 7\nnonsense\n# TYPE loads counter\nloads 1.5\n";
    let counters = parse_counters(text);
    let counters: Vec<_> = counters
        .iter()
        .map(|(name, value)| (&**name, *value))
        .collect();
    assert_eq!(counters, [("loads", 1.5), ("reedford_retries_total", 5.0)]);
}

fn entry(port: u16, zone: &str) -> Entry {
    Entry {
        address: ([127, 0, 0, 1], port).into(),
        zone: zone.into(),
    }
}

#[test_case(Spread::RoundRobin, 0, &[1, 2, 3]; "round-robin")]
#[test_case(Spread::RoundRobin, 4, &[2, 3, 1]; "round-robin, later request")]
#[test_case(Spread::Zone, 0, &[1, 2, 3]; "first zone first")]
#[test_case(Spread::Zone, 1, &[3, 1, 2]; "second zone first")]
#[test_case(Spread::Zone, 2, &[2, 1, 3]; "round-robin inside a zone")]
fn entries_are_ordered_for(spread: Spread, seq: usize, ports: &[u16]) {
    let entries = [entry(1, "a"), entry(2, "a"), entry(3, "b")];
    let order = Balancer::new(&entries, spread).order(seq);
    let order: Vec<_> = order.iter().map(std::net::SocketAddr::port).collect();
    assert_eq!(order, ports);
}
