//! Parses the body of a chat-completions call.

use crate::refusal::{CallRefusal, RefusalCode};
use reedford_wire::chat::ChatRequest;

/// Adapter and version that a model name, `adapter@version`, refers to.
pub(crate) struct AdapterRef<'a> {
    pub(crate) adapter: &'a str,
    pub(crate) version: &'a str,
}

/// Parses a request, which must have at least one message.
pub(crate) fn parse_request(body: &[u8]) -> Result<ChatRequest, CallRefusal> {
    let req: ChatRequest =
        serde_json::from_slice(body).map_err(|error| bad_json(&error.to_string()))?;
    if req.messages.is_empty() {
        return Err(bad_json("messages must not be empty"));
    }
    Ok(req)
}

/// Parses a model name, `adapter@version`.
pub(crate) fn parse_model(name: &str) -> Result<AdapterRef<'_>, CallRefusal> {
    match name.split_once('@') {
        Some((adapter, version))
            if !adapter.is_empty() && !version.is_empty() && !version.contains('@') =>
        {
            Ok(AdapterRef { adapter, version })
        }
        _ => Err(CallRefusal::bad_request(
            RefusalCode::MissingVersion,
            "model must be adapter@version",
        )),
    }
}

fn bad_json(message: &str) -> CallRefusal {
    CallRefusal::bad_request(RefusalCode::BadJson, message)
}
