//! Support code that the tests of the client share.
#![expect(dead_code, reason = "each test file uses a part")]

pub mod fake;

use reedford_targets::{DispatchOptions, TargetClient, Timeouts};
use reedford_wire::chat::ChatRequest;
use std::time::Duration;

pub const ATTEMPT: &str = "a-1";
pub const MODEL: &str = "price@v1";

/// Creates a client with the given first-byte and progress timeouts.
pub fn client_with_timeout(timeout: Duration) -> TargetClient {
    TargetClient::new(Timeouts {
        connect: Duration::from_secs(5),
        first_byte: timeout,
        progress: timeout,
    })
}

/// Creates a client whose timeouts are too long to expire in a test.
pub fn client_with_long_timeout() -> TargetClient {
    client_with_timeout(Duration::from_secs(20))
}

pub fn chat(stream: bool) -> ChatRequest {
    ChatRequest {
        model: MODEL.into(),
        messages: Vec::new(),
        stream,
        max_tokens: Some(3),
        rest: serde_json::Map::new(),
    }
}

pub fn options() -> DispatchOptions {
    DispatchOptions {
        attempt: ATTEMPT.into(),
        priority: 0,
        traceparent: None,
        deadline: None,
    }
}

/// An HTTP response with a content length.
pub fn response(status: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n{headers}\r\n{body}")
}

/// A chat response that is not streamed.
pub fn chat_response(attempt: &str, model: &str) -> String {
    let body = format!(
        r#"{{"id":"{attempt}","object":"chat.completion","model":"{model}","choices":[],
        "usage":{{"prompt_tokens":1,"completion_tokens":1,"total_tokens":2}}}}"#
    );
    response("200 OK", "content-type: application/json\r\n", &body)
}

/// A refusal that echoes the attempt id.
pub fn refusal(status: &str, code: &str, attempt: &str) -> String {
    let body = format!(r#"{{"code":"{code}","message":"no"}}"#);
    response(status, &format!("x-attempt-id: {attempt}\r\n"), &body)
}

/// One event of a stream.
pub fn event(index: u64, attempt: &str, model: &str, finish: Option<&str>) -> String {
    let finish = finish.map_or("null".to_owned(), |f| format!("\"{f}\""));
    format!(
        "id: {index}\ndata: {{\"id\":\"{attempt}\",\"object\":\"chat.completion.chunk\",\
         \"model\":\"{model}\",\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"t\"}},\
         \"finish_reason\":{finish}}}]}}\n\n"
    )
}

/// The head of a streamed response, to be followed by chunks.
pub fn stream_head() -> String {
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        .to_owned()
}

/// One chunk of a chunked body.
pub fn chunk(bytes: &str) -> String {
    format!("{:x}\r\n{bytes}\r\n", bytes.len())
}

pub const END_MARKER: &str = "data: [DONE]\n\n";
pub const LAST_CHUNK: &str = "0\r\n\r\n";
