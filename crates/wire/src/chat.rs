//! The chat-completions messages that callers and engines speak.

use serde::{Deserialize, Serialize};

/// One message of a conversation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Message {
    /// Who speaks: `system`, `user` or `assistant`.
    pub role: Box<str>,
    /// The text.
    pub content: Box<str>,
}

/// A chat-completions request. Fields that reedford does not read are kept in
/// `rest` and passed on unchanged.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ChatRequest {
    /// `adapter@version`.
    pub model: Box<str>,
    /// The conversation.
    pub messages: Vec<Message>,
    /// Whether the answer is streamed as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Most tokens to generate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Everything else.
    #[serde(flatten)]
    pub rest: serde_json::Map<String, serde_json::Value>,
}

/// A whole answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChatResponse {
    /// The attempt id of the request.
    pub id: Box<str>,
    /// Always `chat.completion`.
    pub object: Box<str>,
    /// The adapter and version that ran, `adapter@version`.
    pub model: Box<str>,
    /// The alternatives; engines give one.
    pub choices: Vec<Choice>,
    /// Token counts.
    pub usage: Usage,
}

/// One alternative of a whole answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Choice {
    /// Position in the list.
    pub index: u32,
    /// The answer.
    pub message: Message,
    /// Why generation ended: `stop` or `length`.
    pub finish_reason: Box<str>,
}

/// Token counts of an answer.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// Tokens of the request.
    pub prompt_tokens: u32,
    /// Tokens generated.
    pub completion_tokens: u32,
    /// Sum of both.
    pub total_tokens: u32,
}

/// One event of a streamed answer. The server-sent event's `id:` line carries
/// the number of the token, counted from 0, so that a stream can be resumed.
/// After the last one comes `data: [DONE]`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChatChunk {
    /// The attempt id of the request.
    pub id: Box<str>,
    /// Always `chat.completion.chunk`.
    pub object: Box<str>,
    /// The adapter and version that run, `adapter@version`.
    pub model: Box<str>,
    /// The alternatives; engines give one.
    pub choices: Vec<ChunkChoice>,
}

/// One alternative of a streamed event.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChunkChoice {
    /// Position in the list.
    pub index: u32,
    /// What is added.
    pub delta: Delta,
    /// Set on the last event: `stop` or `length`.
    pub finish_reason: Option<Box<str>>,
}

/// Text added by a streamed event.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Delta {
    /// The text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<Box<str>>,
}

/// The `data:` payload that ends a stream.
pub const STREAM_END: &str = "[DONE]";
