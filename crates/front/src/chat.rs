//! Reads the body of a chat-completions call.

use crate::refused::{Refused, RefusedCode};
use reedford_wire::chat::ChatRequest;

/// A model as a caller names it.
pub(crate) struct ModelName<'a> {
    pub(crate) adapter: &'a str,
    pub(crate) version: &'a str,
}

/// Reads a request that has messages.
pub(crate) fn read(body: &[u8]) -> Result<ChatRequest, Refused> {
    let req: ChatRequest = serde_json::from_slice(body).map_err(|error| bad(&error.to_string()))?;
    if req.messages.is_empty() {
        return Err(bad("messages must not be empty"));
    }
    Ok(req)
}

/// Takes apart `adapter@version`.
pub(crate) fn model(name: &str) -> Result<ModelName<'_>, Refused> {
    match name.split_once('@') {
        Some((adapter, version))
            if !adapter.is_empty() && !version.is_empty() && !version.contains('@') =>
        {
            Ok(ModelName { adapter, version })
        }
        _ => Err(Refused::bad_request(
            RefusedCode::MissingVersion,
            "model must be adapter@version",
        )),
    }
}

fn bad(message: &str) -> Refused {
    Refused::bad_request(RefusedCode::BadJson, message)
}
