//! Requests to engines.

use super::{JSON, RequestHead, TargetClient, check_field, content_type};
use crate::error::{DispatchError, LostReason, Mismatch, NotSentReason};
use crate::exchange::{self, BufferedResponse, HeadDeadline, IncomingResponse, Reuse};
use crate::options::DispatchOptions;
use crate::reply::DispatchResponse;
use crate::status::parse_refusal;
use crate::stream::{Expected, TokenStream};
use hyper::{Method, StatusCode, header};
use reedford_wire::chat::{ChatRequest, ChatResponse};
use reedford_wire::headers;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::time::Instant;

const PATH: &str = "/v1/chat/completions";
/// Content type of streamed answers.
pub(super) const EVENT_STREAM: &str = "text/event-stream";

impl TargetClient {
    /// Runs a request on an engine.
    ///
    /// # Errors
    /// See [`DispatchError`]; only `NotSent` and `Refused` prove that nothing ran.
    pub async fn dispatch(
        &self,
        addr: SocketAddr,
        chat: &ChatRequest,
        options: DispatchOptions,
    ) -> Result<DispatchResponse, DispatchError> {
        let deadline = options.deadline.map(|d| Instant::now() + d);
        let exchange = self.send_chat(addr, chat, &options, deadline).await?;
        check_echo(&exchange, &options.attempt, &chat.model)?;
        if exchange.status != StatusCode::OK {
            let answer = self.whole(exchange, deadline).await?;
            return Err(self.refusal(answer));
        }
        if chat.stream {
            return self.streamed(exchange, chat, options, deadline);
        }
        let answer = self.whole(exchange, deadline).await?;
        self.whole_reply(answer, chat, &options)
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
        let left = options.deadline.map(|d| d.as_millis().to_string());
        let req = RequestHead::default()
            .with(header::CONTENT_TYPE.as_str(), JSON)
            .with(headers::ATTEMPT_ID, &options.attempt)
            .with(headers::PRIORITY, &priority)
            .with_some(headers::DEADLINE_MS, left.as_deref())
            .with_some(headers::TRACEPARENT, options.traceparent.as_deref())
            .build(Method::POST, PATH, body.into())?;
        let first_byte = self.timeouts.first_byte;
        // An engine sends nothing of a whole answer before its last token, so
        // only the deadline tells when that is late.
        let limit = if chat.stream {
            HeadDeadline::earliest(first_byte, deadline)
        } else {
            HeadDeadline::deadline_or_timeout(first_byte, deadline)
        };
        Ok(exchange::send_request(&self.pool, addr, req, Reuse::Allowed, limit).await?)
    }

    pub(super) async fn whole(
        &self,
        exchange: IncomingResponse,
        deadline: Option<Instant>,
    ) -> Result<BufferedResponse, LostReason> {
        exchange::read_body(&self.pool, exchange, self.timeouts.progress, deadline).await
    }

    /// Reads an answer that is no success. One without attempt id may be
    /// another request's, and proves nothing about this one; one with another
    /// attempt id has been thrown away before.
    fn refusal(&self, answer: BufferedResponse) -> DispatchError {
        if !answer.headers.contains_key(headers::ATTEMPT_ID) {
            return LostReason::NoAttemptId.into();
        }
        let status = answer.status;
        match parse_refusal(status, &answer.into_body(&self.pool)) {
            Some(refusal) => DispatchError::Refused(refusal),
            None => LostReason::Status(status.as_u16()).into(),
        }
    }

    fn streamed(
        &self,
        exchange: IncomingResponse,
        chat: &ChatRequest,
        options: DispatchOptions,
        deadline: Option<Instant>,
    ) -> Result<DispatchResponse, DispatchError> {
        if !is_event_stream(&exchange) {
            return Err(LostReason::Unreadable.into());
        }
        let expected = Expected {
            attempt: options.attempt,
            deadline,
            from: 0,
            model: chat.model.clone(),
            progress: self.timeouts.progress,
        };
        let pool = Arc::clone(&self.pool);
        Ok(DispatchResponse::Stream(TokenStream::new(
            pool, exchange, expected,
        )))
    }

    fn whole_reply(
        &self,
        answer: BufferedResponse,
        chat: &ChatRequest,
        options: &DispatchOptions,
    ) -> Result<DispatchResponse, DispatchError> {
        let value: ChatResponse =
            serde_json::from_slice(&answer.body).map_err(|_invalid| LostReason::Unreadable)?;
        Mismatch::check(&options.attempt, &value.id)?;
        Mismatch::check(&chat.model, &value.model)?;
        Ok(DispatchResponse::Complete(
            value,
            answer.into_body(&self.pool),
        ))
    }
}

/// Whether an answer is a stream of events.
pub(super) fn is_event_stream(exchange: &IncomingResponse) -> bool {
    content_type(&exchange.headers).is_some_and(|t| t.starts_with(EVENT_STREAM))
}

/// Checks the attempt id and model in the head of an answer, where they are given.
pub(super) fn check_echo(
    exchange: &IncomingResponse,
    attempt: &str,
    model: &str,
) -> Result<(), Mismatch> {
    check_field(&exchange.headers, headers::ATTEMPT_ID, attempt)?;
    check_field(&exchange.headers, headers::MODEL, model)
}
