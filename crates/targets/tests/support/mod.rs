//! What the tests of the client share.
#![expect(dead_code, reason = "each test file uses a part")]

pub mod fake;

use reedford_targets::{DispatchOptions, TargetClient, Timeouts};
use reedford_wire::chat::ChatRequest;
use std::time::Duration;

pub const ATTEMPT: &str = "a-1";
pub const MODEL: &str = "price@v1";

/// A client whose timeouts are short; `silence` bounds both waits for bytes.
pub fn client(silence: Duration) -> TargetClient {
    TargetClient::new(Timeouts {
        connect: Duration::from_secs(5),
        first_byte: silence,
        progress: silence,
    })
}

pub fn patient() -> TargetClient {
    client(Duration::from_secs(20))
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

/// An HTTP answer with a length.
pub fn answer(status: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n{headers}\r\n{body}")
}

/// A whole chat answer.
pub fn whole(attempt: &str, model: &str) -> String {
    let body = format!(
        r#"{{"id":"{attempt}","object":"chat.completion","model":"{model}","choices":[],
        "usage":{{"prompt_tokens":1,"completion_tokens":1,"total_tokens":2}}}}"#
    );
    answer("200 OK", "content-type: application/json\r\n", &body)
}

/// A refusal that echoes the attempt id.
pub fn refusal(status: &str, code: &str, attempt: &str) -> String {
    let body = format!(r#"{{"code":"{code}","message":"no"}}"#);
    answer(status, &format!("x-attempt-id: {attempt}\r\n"), &body)
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

/// A streamed answer that ends with the connection, or in chunks when whole.
pub fn stream_head() -> String {
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        .to_owned()
}

/// Bytes as one chunk.
pub fn chunk(bytes: &str) -> String {
    format!("{:x}\r\n{bytes}\r\n", bytes.len())
}

pub const DONE: &str = "data: [DONE]\n\n";
pub const LAST_CHUNK: &str = "0\r\n\r\n";
