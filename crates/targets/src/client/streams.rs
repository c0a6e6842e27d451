//! Resuming streams and cancelling attempts.

use super::requests::{check_echo, is_event_stream};
use super::{RequestBuilder, TargetClient};
use crate::error::{CallError, LostReason, ResumeError};
use crate::exchange::{self, HeadDeadline, IncomingResponse};
use crate::pool::Reuse;
use crate::response::Cancellation;
use crate::stream::{StreamExpectation, TokenStream};
use bytes::Bytes;
use hyper::{Method, StatusCode};
use reedford_wire::headers;
use std::net::SocketAddr;
use std::sync::Arc;

impl TargetClient {
    /// Resumes a stream at the token with index `from`, on a new connection.
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
        let res = self
            .send_stream_request(addr, Method::GET, &path, attempt)
            .await?;
        check_echo(&res, attempt, model)?;
        match res.status {
            StatusCode::OK if is_event_stream(&res) => {}
            StatusCode::NOT_FOUND => return Err(ResumeError::UnknownStream),
            StatusCode::OK => return Err(LostReason::Unreadable.into()),
            other => return Err(LostReason::Status(other.as_u16()).into()),
        }
        let expected = StreamExpectation {
            attempt: attempt.into(),
            deadline: None,
            from,
            model: model.into(),
            progress: self.timeouts.progress,
        };
        Ok(TokenStream::new(Arc::clone(&self.pool), res, expected))
    }

    /// Cancels an attempt.
    ///
    /// # Errors
    /// If it is not known whether the attempt was cancelled.
    pub async fn cancel(&self, addr: SocketAddr, attempt: &str) -> Result<Cancellation, CallError> {
        let path = stream_path(attempt);
        let res = self
            .send_stream_request(addr, Method::DELETE, &path, attempt)
            .await?;
        let res = self.read_body(res, None).await?;
        let status = res.status;
        res.into_body(&self.pool);
        match status {
            StatusCode::OK => Ok(Cancellation::Cancelled),
            StatusCode::NOT_FOUND => Ok(Cancellation::UnknownStream),
            other => Err(LostReason::Status(other.as_u16()).into()),
        }
    }

    async fn send_stream_request(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        attempt: &str,
    ) -> Result<IncomingResponse, CallError> {
        let req = RequestBuilder::default()
            .field(headers::ATTEMPT_ID, attempt)
            .build(method, path, Bytes::new())?;
        let limit = HeadDeadline::earliest(self.timeouts.first_byte, None);
        exchange::send_request(&self.pool, addr, req, Reuse::Never, limit).await
    }
}

fn stream_path(attempt: &str) -> String {
    format!("/v1/streams/{attempt}")
}
