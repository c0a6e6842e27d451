//! The JSON-RPC server, which checks the token and queries the control thread.

use super::InstanceReport;
use crate::control::{Command, CommandTx};
use bytes::Bytes;
use eyre::{Result, WrapErr as _};
use http_body_util::Full;
use hyper::header::AUTHORIZATION;
use hyper::{Response, StatusCode};
use jsonrpsee::core::{BoxError, RpcResult, async_trait};
use jsonrpsee::server::{HttpBody, HttpRequest, HttpResponse, Server};
use jsonrpsee::types::ErrorObjectOwned;
use reedford_operator::{
    AdapterStatus, InstanceStatus, OperatorRpcServer, RulesInForce, bearer_matches,
};
use reedford_settings::{Secret, Settings};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tower::{Layer, Service};

/// JSON-RPC error code of an instance that is stopping.
const STOPPING: i32 = -32_000;

/// Starts the interface for operators and returns the bound address.
///
/// # Errors
/// If the address can't be bound.
pub(crate) async fn start(
    cfg: &Settings,
    control: CommandTx,
    tasks: &TaskTracker,
    stop: CancellationToken,
) -> Result<SocketAddr> {
    let token = TokenLayer {
        token: cfg.operator_token.clone(),
    };
    let server = Server::builder()
        .set_http_middleware(tower::ServiceBuilder::new().layer(token))
        .build(cfg.operators)
        .await
        .wrap_err_with(|| format!("operators: can't listen on {}", cfg.operators))?;
    let bound = server
        .local_addr()
        .wrap_err("operators: no local address")?;
    let handle = server.start(Operators { control }.into_rpc());
    tasks.spawn(async move {
        stop.cancelled().await;
        if handle.stop().is_ok() {
            handle.stopped().await;
        }
    });
    Ok(bound)
}

struct Operators {
    control: CommandTx,
}

impl Operators {
    /// Sends the control thread the command made by `make`, and waits for its
    /// reply.
    async fn query<T, F>(&self, make: F) -> RpcResult<T>
    where
        F: FnOnce(oneshot::Sender<T>) -> Command,
    {
        let (tx, rx) = oneshot::channel();
        self.control
            .send(make(tx))
            .await
            .map_err(|_closed| stopping())?;
        rx.await.map_err(|_closed| stopping())
    }

    async fn report(&self) -> RpcResult<InstanceReport> {
        self.query(|reply| Command::Report { reply }).await
    }
}

#[async_trait]
impl OperatorRpcServer for Operators {
    async fn status(&self) -> RpcResult<InstanceStatus> {
        Ok(self.report().await?.status)
    }

    async fn adapters(&self) -> RpcResult<Vec<AdapterStatus>> {
        Ok(self.report().await?.adapters)
    }

    async fn rules(&self) -> RpcResult<RulesInForce> {
        let rules = self.query(|reply| Command::Rules { reply }).await?;
        let rules = rules.map(|r| RulesInForce {
            revision: r.revision,
            text: r.text,
        });
        Ok(rules.unwrap_or(RulesInForce {
            revision: 0,
            text: "".into(),
        }))
    }
}

fn stopping() -> ErrorObjectOwned {
    ErrorObjectOwned::owned::<()>(STOPPING, "the instance is stopping", None)
}

/// Wraps a service in a [`TokenCheck`].
#[derive(Clone, Debug)]
struct TokenLayer {
    token: Secret,
}

impl<S> Layer<S> for TokenLayer {
    type Service = TokenCheck<S>;

    fn layer(&self, inner: S) -> TokenCheck<S> {
        TokenCheck {
            inner,
            token: self.token.clone(),
        }
    }
}

/// Middleware that rejects requests without the operator token.
#[derive(Clone, Debug)]
struct TokenCheck<S> {
    inner: S,
    token: Secret,
}

impl<S> Service<HttpRequest<HttpBody>> for TokenCheck<S>
where
    S: Service<HttpRequest<HttpBody>, Response = HttpResponse, Error = BoxError>,
    S::Future: Send + 'static,
{
    type Response = HttpResponse;
    type Error = BoxError;
    type Future = Pin<Box<dyn Future<Output = Result<HttpResponse, BoxError>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), BoxError>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, req: HttpRequest<HttpBody>) -> Self::Future {
        let header = req
            .headers()
            .get(AUTHORIZATION)
            .map(|value| value.as_bytes());
        if bearer_matches(header, self.token.expose()) {
            return Box::pin(self.inner.call(req));
        }
        tracing::warn!(event = "operator_refused");
        Box::pin(std::future::ready(Ok(unauthorized())))
    }
}

fn unauthorized() -> HttpResponse {
    let mut response = Response::new(HttpBody::new(Full::new(Bytes::from_static(
        b"unauthorized",
    ))));
    *response.status_mut() = StatusCode::UNAUTHORIZED;
    response
}
