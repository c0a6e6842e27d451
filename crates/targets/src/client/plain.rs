//! Requests to plain services.

use super::{RequestBuilder, TargetClient, check_field, content_type};
use crate::error::{DispatchError, LostReason};
use crate::exchange::{self, BufferedResponse, HeadDeadline};
use crate::options::PlainRequest;
use crate::pool::Reuse;
use crate::response::PlainResponse;
use crate::status::parse_refusal;
use hyper::{Method, header};
use reedford_wire::headers;
use std::net::SocketAddr;
use tokio::time::Instant;

impl TargetClient {
    /// Sends a `POST` request to a plain service. A response that echoes the
    /// attempt id is returned whatever its status, unless it is a refusal.
    ///
    /// # Errors
    /// See [`DispatchError`]; only `NotSent` and `Refused` prove that the request
    /// did not run.
    pub async fn plain(
        &self,
        addr: SocketAddr,
        request: PlainRequest,
    ) -> Result<PlainResponse, DispatchError> {
        let deadline = request.deadline.map(|d| Instant::now() + d);
        let req = RequestBuilder::default()
            .field(headers::ATTEMPT_ID, &request.attempt)
            .optional_field(
                header::CONTENT_TYPE.as_str(),
                request.content_type.as_deref(),
            )
            .optional_field(headers::IDEMPOTENCY_KEY, request.idempotency_key.as_deref())
            .optional_field(headers::TRACEPARENT, request.traceparent.as_deref())
            .build(Method::POST, &request.path_and_query, request.body)?;
        let limit = HeadDeadline::deadline_or_timeout(self.timeouts.first_byte, deadline);
        let res = exchange::send_request(&self.pool, addr, req, Reuse::Allowed, limit).await?;
        let res = self.read_body(res, deadline).await?;
        self.plain_response(res, &request.attempt)
    }

    fn plain_response(
        &self,
        res: BufferedResponse,
        attempt: &str,
    ) -> Result<PlainResponse, DispatchError> {
        if !res.headers.contains_key(headers::ATTEMPT_ID) {
            return Err(LostReason::NoAttemptId.into());
        }
        check_field(&res.headers, headers::ATTEMPT_ID, attempt)?;
        let status = res.status;
        let content_type = content_type(&res.headers).map(Box::from);
        let body = res.into_body(&self.pool);
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
