//! Chat-completions messages between callers and engines.

use serde::{Deserialize, Serialize};

/// One message of a conversation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Message {
    /// Author of the message: `system`, `user` or `assistant`.
    pub role: Box<str>,
    /// The text.
    pub content: Box<str>,
}

/// A chat-completions request. Fields that reedford does not interpret are kept in
/// `rest` and forwarded unchanged.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ChatRequest {
    /// Requested adapter and version, `adapter@version`.
    pub model: Box<str>,
    /// The conversation.
    pub messages: Vec<Message>,
    /// Whether the response is streamed as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Limit on generated tokens.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// All other fields.
    #[serde(flatten)]
    pub rest: serde_json::Map<String, serde_json::Value>,
}

/// A response that is not streamed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChatResponse {
    /// The attempt id of the request.
    pub id: Box<str>,
    /// Always `chat.completion`.
    pub object: Box<str>,
    /// The adapter and version that ran, `adapter@version`.
    pub model: Box<str>,
    /// Alternative completions; engines return one.
    pub choices: Vec<Choice>,
    /// Token counts.
    pub usage: Usage,
}

/// One completion of a response that is not streamed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Choice {
    /// Position in the list.
    pub index: u32,
    /// The generated message.
    pub message: Message,
    /// Why generation ended: `stop` or `length`.
    pub finish_reason: Box<str>,
}

/// Token counts of a response.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens generated.
    pub completion_tokens: u32,
    /// Sum of both.
    pub total_tokens: u32,
}

/// One event of a streamed response. The `id:` line of the server-sent event holds
/// the index of the event's token, counted from 0; a stream can be resumed at any
/// index. `data: [DONE]` follows the last event.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChatChunk {
    /// The attempt id of the request.
    pub id: Box<str>,
    /// Always `chat.completion.chunk`.
    pub object: Box<str>,
    /// The adapter and version that run, `adapter@version`.
    pub model: Box<str>,
    /// Alternative completions; engines return one.
    pub choices: Vec<ChunkChoice>,
}

/// One completion of a streamed event.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChunkChoice {
    /// Position in the list.
    pub index: u32,
    /// Text that the event adds.
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
