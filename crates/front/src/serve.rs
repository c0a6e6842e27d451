//! Serves callers of the chat interface.

use crate::accept::{ConnectionLimits, HttpService, ShutdownSignals, serve_connections};
use crate::handler::Handler;
use crate::respond::{Reply, ReplyBody};
use crate::routes;
use hyper::Request;
use hyper::body::Incoming;
use std::time::Duration;
use tokio::net::TcpListener;

/// Limits on what callers may do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerLimits {
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Most connections at once; more wait to be accepted.
    pub connections: usize,
    /// Longest deadline that a caller may ask for.
    pub max_deadline: Duration,
    /// Time for the head of a request, and for the next one on a connection.
    pub head_timeout: Duration,
    /// Time for the body of a request.
    pub body_timeout: Duration,
}

/// Serves callers until `stop` says otherwise; see [`serve_connections`].
///
/// # Panics
/// When the handler panics.
pub async fn serve<H>(
    listener: TcpListener,
    handler: H,
    bounds: ServerLimits,
    stop: ShutdownSignals,
) where
    H: Handler,
{
    let limits = ConnectionLimits {
        connections: bounds.connections,
        head_timeout: bounds.head_timeout,
    };
    serve_connections(listener, Routed { handler, bounds }, limits, stop).await;
}

/// A handler behind the routes.
struct Routed<H> {
    handler: H,
    bounds: ServerLimits,
}

impl<H> HttpService for Routed<H>
where
    H: Handler,
{
    type Body = ReplyBody;

    async fn handle(&self, req: Request<Incoming>) -> Reply {
        routes::answer(&self.handler, &self.bounds, req).await
    }
}
