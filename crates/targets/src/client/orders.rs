//! Orders to engines and their reports.

use super::{JSON, RequestHead, TargetClient};
use crate::error::{CallError, LostReason, NotSentReason, OrderError};
use crate::exchange::{self, Answer, HeadLimit, Reuse};
use crate::status::parse_refusal;
use bytes::Bytes;
use hyper::{Method, StatusCode, header};
use reedford_wire::engine::{AdapterOrder, EngineState, OrderResponse};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

impl TargetClient {
    /// Orders an engine to load an adapter version, and waits until it has.
    ///
    /// # Errors
    /// See [`OrderError`]. After `Unknown` the load may be under way or done.
    pub async fn load(
        &self,
        addr: SocketAddr,
        order: &AdapterOrder,
        timeout: Duration,
    ) -> Result<OrderResponse, OrderError> {
        self.order(addr, "/v1/load_lora_adapter", order, timeout)
            .await
    }

    /// Orders an engine to drop an adapter version.
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

    /// What an engine holds and runs now.
    ///
    /// # Errors
    /// When no readable answer came.
    pub async fn listing(&self, addr: SocketAddr) -> Result<EngineState, CallError> {
        self.read_listing(addr, "/v1/adapters").await
    }

    /// What an engine held and ran some time ago.
    ///
    /// # Errors
    /// When no readable answer came.
    pub async fn report(&self, addr: SocketAddr) -> Result<EngineState, CallError> {
        self.read_listing(addr, "/v1/report").await
    }

    async fn order(
        &self,
        addr: SocketAddr,
        path: &str,
        order: &AdapterOrder,
        timeout: Duration,
    ) -> Result<OrderResponse, OrderError> {
        let body = serde_json::to_vec(order).map_err(|_invalid| NotSentReason::Encoding)?;
        let answer = self
            .call(addr, Method::POST, path, body.into(), timeout)
            .await?;
        let status = answer.status;
        let body = answer.accept(&self.pool);
        if status == StatusCode::OK {
            let done = serde_json::from_slice(&body);
            return done.map_err(|_invalid| LostReason::Unreadable.into());
        }
        match parse_refusal(status, &body) {
            Some(refusal) => Err(OrderError::Refused(refusal)),
            None => Err(LostReason::Status(status.as_u16()).into()),
        }
    }

    async fn read_listing(&self, addr: SocketAddr, path: &str) -> Result<EngineState, CallError> {
        let timeout = self.timeouts.first_byte;
        let answer = self
            .call(addr, Method::GET, path, Bytes::new(), timeout)
            .await?;
        if answer.status != StatusCode::OK {
            return Err(LostReason::Status(answer.status.as_u16()).into());
        }
        let body = answer.accept(&self.pool);
        serde_json::from_slice(&body).map_err(|_invalid| LostReason::Unreadable.into())
    }

    async fn call(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Answer, CallError> {
        let req = RequestHead::default()
            .with(header::CONTENT_TYPE.as_str(), JSON)
            .build(method, path, body)?;
        let deadline = Instant::now() + timeout;
        let limit = HeadLimit::sooner(timeout, None);
        let exchange = exchange::start(&self.pool, addr, req, Reuse::Allowed, limit).await?;
        Ok(self.whole(exchange, Some(deadline)).await?)
    }
}
