//! Reads the body of a chat-completions call.

use crate::refused::{CallRefusal, RefusalCode};
use reedford_wire::chat::ChatRequest;

/// A model as a caller names it.
pub(crate) struct ModelName<'a> {
    pub(crate) adapter: &'a str,
    pub(crate) version: &'a str,
}

/// Reads a request that has messages.
pub(crate) fn read(body: &[u8]) -> Result<ChatRequest, CallRefusal> {
    let req: ChatRequest = serde_json::from_slice(body).map_err(|error| bad(&error.to_string()))?;
    if req.messages.is_empty() {
        return Err(bad("messages must not be empty"));
    }
    Ok(req)
}

/// Takes apart `adapter@version`.
pub(crate) fn model(name: &str) -> Result<ModelName<'_>, CallRefusal> {
    match name.split_once('@') {
        Some((adapter, version))
            if !adapter.is_empty() && !version.is_empty() && !version.contains('@') =>
        {
            Ok(ModelName { adapter, version })
        }
        _ => Err(CallRefusal::bad_request(
            RefusalCode::MissingVersion,
            "model must be adapter@version",
        )),
    }
}

fn bad(message: &str) -> CallRefusal {
    CallRefusal::bad_request(RefusalCode::BadJson, message)
}
