//! Chat requests to engines.

use super::{JSON, RequestBuilder, TargetClient, check_field, content_type};
use crate::error::{DispatchError, LostReason, Mismatch, NotSentReason};
use crate::exchange::{self, BufferedResponse, HeadDeadline, IncomingResponse};
use crate::options::DispatchOptions;
use crate::pool::Reuse;
use crate::response::DispatchResponse;
use crate::status::parse_refusal;
use crate::stream::{StreamExpectation, TokenStream};
use hyper::{Method, StatusCode, header};
use reedford_wire::chat::{ChatRequest, ChatResponse};
use reedford_wire::headers;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::time::Instant;

const CHAT_PATH: &str = "/v1/chat/completions";
/// Content type of streamed responses.
pub(super) const EVENT_STREAM: &str = "text/event-stream";

impl TargetClient {
    /// Runs a request on an engine.
    ///
    /// # Errors
    /// See [`DispatchError`]; only `NotSent` and `Refused` prove that the request
    /// did not run.
    pub async fn dispatch(
        &self,
        addr: SocketAddr,
        chat: &ChatRequest,
        options: DispatchOptions,
    ) -> Result<DispatchResponse, DispatchError> {
        let deadline = options.deadline.map(|d| Instant::now() + d);
        let res = self.send_chat(addr, chat, &options, deadline).await?;
        check_echo(&res, &options.attempt, &chat.model)?;
        if res.status != StatusCode::OK {
            let res = self.read_body(res, deadline).await?;
            return Err(self.refusal(res));
        }
        if chat.stream {
            return self.streamed_response(res, chat, options, deadline);
        }
        let res = self.read_body(res, deadline).await?;
        self.complete_response(res, chat, &options)
    }

    async fn send_chat(
        &self,
        addr: SocketAddr,
        chat: &ChatRequest,
        options: &DispatchOptions,
        deadline: Option<Instant>,
    ) -> Result<IncomingResponse, DispatchError> {
        let body = serde_json::to_vec(chat).map_err(|_invalid| NotSentReason::Encoding)?;
        let priority = options.priority.to_string();
        let remaining = options.deadline.map(|d| d.as_millis().to_string());
        let req = RequestBuilder::default()
            .field(header::CONTENT_TYPE.as_str(), JSON)
            .field(headers::ATTEMPT_ID, &options.attempt)
            .field(headers::PRIORITY, &priority)
            .optional_field(headers::DEADLINE_MS, remaining.as_deref())
            .optional_field(headers::TRACEPARENT, options.traceparent.as_deref())
            .build(Method::POST, CHAT_PATH, body.into())?;
        let first_byte = self.timeouts.first_byte;
        // If the response is not streamed, an engine sends its head only after
        // the last token, so the first-byte timeout would be too short.
        let limit = if chat.stream {
            HeadDeadline::earliest(first_byte, deadline)
        } else {
            HeadDeadline::deadline_or_timeout(first_byte, deadline)
        };
        Ok(exchange::send_request(&self.pool, addr, req, Reuse::Allowed, limit).await?)
    }

    pub(super) async fn read_body(
        &self,
        res: IncomingResponse,
        deadline: Option<Instant>,
    ) -> Result<BufferedResponse, LostReason> {
        exchange::read_body(&self.pool, res, self.timeouts.progress, deadline).await
    }

    /// Decodes a response with a status other than 200. A response without attempt
    /// id may belong to another request, so it proves nothing about this one; one
    /// with another attempt id has already been rejected by [`check_echo`].
    fn refusal(&self, res: BufferedResponse) -> DispatchError {
        if !res.headers.contains_key(headers::ATTEMPT_ID) {
            return LostReason::NoAttemptId.into();
        }
        let status = res.status;
        match parse_refusal(status, &res.into_body(&self.pool)) {
            Some(refusal) => DispatchError::Refused(refusal),
            None => LostReason::Status(status.as_u16()).into(),
        }
    }

    fn streamed_response(
        &self,
        res: IncomingResponse,
        chat: &ChatRequest,
        options: DispatchOptions,
        deadline: Option<Instant>,
    ) -> Result<DispatchResponse, DispatchError> {
        if !is_event_stream(&res) {
            return Err(LostReason::Unreadable.into());
        }
        let expected = StreamExpectation {
            attempt: options.attempt,
            deadline,
            from: 0,
            model: chat.model.clone(),
            progress: self.timeouts.progress,
        };
        let pool = Arc::clone(&self.pool);
        Ok(DispatchResponse::Stream(TokenStream::new(
            pool, res, expected,
        )))
    }

    fn complete_response(
        &self,
        res: BufferedResponse,
        chat: &ChatRequest,
        options: &DispatchOptions,
    ) -> Result<DispatchResponse, DispatchError> {
        let value: ChatResponse =
            serde_json::from_slice(&res.body).map_err(|_invalid| LostReason::Unreadable)?;
        Mismatch::check(&options.attempt, &value.id)?;
        Mismatch::check(&chat.model, &value.model)?;
        Ok(DispatchResponse::Complete(value, res.into_body(&self.pool)))
    }
}

pub(super) fn is_event_stream(res: &IncomingResponse) -> bool {
    content_type(&res.headers).is_some_and(|t| t.starts_with(EVENT_STREAM))
}

/// Checks the attempt id and model in the head of a response, if present.
pub(super) fn check_echo(
    res: &IncomingResponse,
    attempt: &str,
    model: &str,
) -> Result<(), Mismatch> {
    check_field(&res.headers, headers::ATTEMPT_ID, attempt)?;
    check_field(&res.headers, headers::MODEL, model)
}
