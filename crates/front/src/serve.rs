//! The server with the routes of an entry instance.

use crate::accept::{ConnectionLimits, HttpService, ShutdownSignals, serve_connections};
use crate::handler::Handler;
use crate::http_response::{HttpResponse, ResponseBody};
use crate::routes;
use hyper::Request;
use hyper::body::Incoming;
use std::time::Duration;
use tokio::net::TcpListener;

/// Limits on connections and requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerLimits {
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Maximum number of open connections. Further ones wait in the listener's
    /// backlog.
    pub connections: usize,
    /// Longest deadline that a caller may request.
    pub max_deadline: Duration,
    /// Time to receive the head of a request, including the time that a connection
    /// is idle before it.
    pub head_timeout: Duration,
    /// Time to receive the body of a request.
    pub body_timeout: Duration,
}

/// Serves callers until a shutdown is signalled; see [`serve_connections`].
///
/// # Panics
/// If `handler` panics.
pub async fn serve<H>(
    listener: TcpListener,
    handler: H,
    limits: ServerLimits,
    shutdown: ShutdownSignals,
) where
    H: Handler,
{
    let connection_limits = ConnectionLimits {
        connections: limits.connections,
        head_timeout: limits.head_timeout,
    };
    let router = Router { handler, limits };
    serve_connections(listener, router, connection_limits, shutdown).await;
}

/// Routes requests to a handler.
struct Router<H> {
    handler: H,
    limits: ServerLimits,
}

impl<H> HttpService for Router<H>
where
    H: Handler,
{
    type Body = ResponseBody;

    async fn handle(&self, req: Request<Incoming>) -> HttpResponse {
        routes::handle(&self.handler, &self.limits, req).await
    }
}
