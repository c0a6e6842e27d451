//! Resuming and cancelling streams.

use super::requests::{check_echo, is_event_stream};
use super::{RequestHead, TargetClient};
use crate::error::{CallError, LostReason, ResumeError};
use crate::exchange::{self, HeadDeadline, IncomingResponse, Reuse};
use crate::reply::Cancellation;
use crate::stream::{Expected, TokenStream};
use bytes::Bytes;
use hyper::{Method, StatusCode};
use reedford_wire::headers;
use std::net::SocketAddr;
use std::sync::Arc;

impl TargetClient {
    /// Goes on with a stream from token `from`, on a new connection.
    ///
    /// # Errors
    /// See [`ResumeError`].
    pub async fn resume(
        &self,
        addr: SocketAddr,
        attempt: &str,
        model: &str,
        from: u64,
    ) -> Result<TokenStream, ResumeError> {
        let path = format!("{}?from={from}", stream_path(attempt));
        let exchange = self.call_stream(addr, Method::GET, &path, attempt).await?;
        check_echo(&exchange, attempt, model)?;
        match exchange.status {
            StatusCode::OK if is_event_stream(&exchange) => {}
            StatusCode::NOT_FOUND => return Err(ResumeError::UnknownStream),
            StatusCode::OK => return Err(LostReason::Unreadable.into()),
            other => return Err(LostReason::Status(other.as_u16()).into()),
        }
        let expected = Expected {
            attempt: attempt.into(),
            deadline: None,
            from,
            model: model.into(),
            progress: self.timeouts.progress,
        };
        Ok(TokenStream::new(Arc::clone(&self.pool), exchange, expected))
    }

    /// Stops a run.
    ///
    /// # Errors
    /// When no answer tells whether it was stopped.
    pub async fn cancel(&self, addr: SocketAddr, attempt: &str) -> Result<Cancellation, CallError> {
        let path = stream_path(attempt);
        let exchange = self
            .call_stream(addr, Method::DELETE, &path, attempt)
            .await?;
        let answer = self.whole(exchange, None).await?;
        let status = answer.status;
        answer.into_body(&self.pool);
        match status {
            StatusCode::OK => Ok(Cancellation::Cancelled),
            StatusCode::NOT_FOUND => Ok(Cancellation::UnknownStream),
            other => Err(LostReason::Status(other.as_u16()).into()),
        }
    }

    async fn call_stream(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        attempt: &str,
    ) -> Result<IncomingResponse, CallError> {
        let req = RequestHead::default()
            .with(headers::ATTEMPT_ID, attempt)
            .build(method, path, Bytes::new())?;
        let limit = HeadDeadline::earliest(self.timeouts.first_byte, None);
        exchange::send_request(&self.pool, addr, req, Reuse::Never, limit).await
    }
}

fn stream_path(attempt: &str) -> String {
    format!("/v1/streams/{attempt}")
}
