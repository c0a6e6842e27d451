//! Orders, which are requests to load or unload an adapter, and reads of an
//! engine's state.

use super::{JSON, RequestBuilder, TargetClient};
use crate::error::{CallError, LostReason, NotSentReason, OrderError};
use crate::exchange::{self, BufferedResponse, HeadDeadline};
use crate::pool::Reuse;
use crate::status::parse_refusal;
use bytes::Bytes;
use hyper::{Method, StatusCode, header};
use reedford_wire::engine::{AdapterOrder, EngineState, OrderResponse};
use reedford_wire::headers;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

impl TargetClient {
    /// Orders an engine to load an adapter version, and waits for the load to
    /// complete.
    ///
    /// # Errors
    /// See [`OrderError`]. After `Unknown` the load may be in progress or done.
    pub async fn load(
        &self,
        addr: SocketAddr,
        order: &AdapterOrder,
        timeout: Duration,
    ) -> Result<OrderResponse, OrderError> {
        self.order(addr, "/v1/load_lora_adapter", order, timeout)
            .await
    }

    /// Orders an engine to unload an adapter version.
    ///
    /// # Errors
    /// See [`OrderError`]. After `Unknown` the adapter may be resident or not.
    pub async fn unload(
        &self,
        addr: SocketAddr,
        order: &AdapterOrder,
    ) -> Result<OrderResponse, OrderError> {
        let timeout = self.timeouts.first_byte;
        self.order(addr, "/v1/unload_lora_adapter", order, timeout)
            .await
    }

    /// Reads which adapters are resident on an engine and which requests it runs
    /// now.
    ///
    /// # Errors
    /// If no readable response is received.
    pub async fn listing(&self, addr: SocketAddr) -> Result<EngineState, CallError> {
        self.read_state(addr, "/v1/adapters").await
    }

    /// Reads the engine's published report, which may be out of date.
    ///
    /// # Errors
    /// If no readable response is received.
    pub async fn report(&self, addr: SocketAddr) -> Result<EngineState, CallError> {
        self.read_state(addr, "/v1/report").await
    }

    async fn order(
        &self,
        addr: SocketAddr,
        path: &str,
        order: &AdapterOrder,
        timeout: Duration,
    ) -> Result<OrderResponse, OrderError> {
        let body = serde_json::to_vec(order).map_err(|_invalid| NotSentReason::Encoding)?;
        let res = self
            .send(addr, Method::POST, path, body.into(), timeout)
            .await?;
        let status = res.status;
        let body = res.into_body(&self.pool);
        if status == StatusCode::OK {
            let done = serde_json::from_slice(&body);
            return done.map_err(|_invalid| LostReason::Unreadable.into());
        }
        match parse_refusal(status, &body) {
            Some(refusal) => Err(OrderError::Refused(refusal)),
            None => Err(LostReason::Status(status.as_u16()).into()),
        }
    }

    async fn read_state(&self, addr: SocketAddr, path: &str) -> Result<EngineState, CallError> {
        let timeout = self.timeouts.first_byte;
        let res = self
            .send(addr, Method::GET, path, Bytes::new(), timeout)
            .await?;
        if res.status != StatusCode::OK {
            return Err(LostReason::Status(res.status.as_u16()).into());
        }
        let body = res.into_body(&self.pool);
        serde_json::from_slice(&body).map_err(|_invalid| LostReason::Unreadable.into())
    }

    async fn send(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<BufferedResponse, CallError> {
        let req = RequestBuilder::default()
            .field(header::CONTENT_TYPE.as_str(), JSON)
            .build(method, path, body)?;
        let deadline = Instant::now() + timeout;
        let limit = HeadDeadline::earliest(timeout, None);
        let res = exchange::send_request(&self.pool, addr, req, Reuse::Allowed, limit).await?;
        // A copy of the response to another request. Dropping it closes its connection.
        let id = res.headers.get(headers::ATTEMPT_ID);
        if id.is_some_and(|id| !id.is_empty()) {
            return Err(LostReason::OtherRequest.into());
        }
        Ok(self.read_body(res, Some(deadline)).await?)
    }
}
