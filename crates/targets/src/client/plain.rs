//! Calls to plain services.

use super::{RequestHead, TargetClient, check_field, content_type};
use crate::error::{DispatchError, LostReason};
use crate::exchange::{self, BufferedResponse, HeadDeadline, Reuse};
use crate::options::PlainCall;
use crate::reply::PlainResponse;
use crate::status::parse_refusal;
use hyper::{Method, header};
use reedford_wire::headers;
use std::net::SocketAddr;
use tokio::time::Instant;

impl TargetClient {
    /// Makes a `POST` call to a plain service. Any status that comes with the
    /// attempt id is an answer, except a refusal.
    ///
    /// # Errors
    /// See [`DispatchError`]; only `NotSent` and `Refused` prove that nothing ran.
    pub async fn plain(
        &self,
        addr: SocketAddr,
        call: PlainCall,
    ) -> Result<PlainResponse, DispatchError> {
        let deadline = call.deadline.map(|d| Instant::now() + d);
        let req = RequestHead::default()
            .with(headers::ATTEMPT_ID, &call.attempt)
            .with_some(header::CONTENT_TYPE.as_str(), call.content_type.as_deref())
            .with_some(headers::IDEMPOTENCY_KEY, call.key.as_deref())
            .with_some(headers::TRACEPARENT, call.traceparent.as_deref())
            .build(Method::POST, &call.path_and_query, call.body)?;
        let limit = HeadDeadline::deadline_or_timeout(self.timeouts.first_byte, deadline);
        let exchange = exchange::send_request(&self.pool, addr, req, Reuse::Allowed, limit).await?;
        let answer = self.whole(exchange, deadline).await?;
        self.plain_reply(answer, &call.attempt)
    }

    fn plain_reply(
        &self,
        answer: BufferedResponse,
        attempt: &str,
    ) -> Result<PlainResponse, DispatchError> {
        if !answer.headers.contains_key(headers::ATTEMPT_ID) {
            return Err(LostReason::NoAttemptId.into());
        }
        check_field(&answer.headers, headers::ATTEMPT_ID, attempt)?;
        let status = answer.status;
        let content_type = content_type(&answer.headers).map(Box::from);
        let body = answer.into_body(&self.pool);
        if let Some(refusal) = parse_refusal(status, &body) {
            return Err(DispatchError::Refused(refusal));
        }
        Ok(PlainResponse {
            status: status.as_u16(),
            content_type,
            body,
        })
    }
}
