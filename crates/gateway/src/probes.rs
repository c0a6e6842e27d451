//! HTTP services for readiness probes and metrics.

use crate::metrics::Metrics;
use crate::reply::{self, Reply, ReplyBody};
use crate::state::Shared;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use reedford_bodies::BodyMemory;
use reedford_front::HttpService;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Responds to readiness probes.
#[derive(Debug)]
pub(crate) struct Readiness {
    pub(crate) shared: Arc<Shared>,
    pub(crate) path: Box<str>,
}

impl HttpService for Readiness {
    type Body = ReplyBody;

    async fn handle(&self, req: Request<Incoming>) -> Reply {
        if req.uri().path() != &*self.path {
            return reply::to_probe(StatusCode::NOT_FOUND, "no such path");
        }
        if self.shared.lock().ready(self.shared.now()) {
            reply::to_probe(StatusCode::OK, "ready")
        } else {
            reply::to_probe(StatusCode::SERVICE_UNAVAILABLE, "not ready")
        }
    }
}

/// Serves the metrics.
#[derive(Debug)]
pub(crate) struct MetricsEndpoint {
    pub(crate) shared: Arc<Shared>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) dropped: Arc<AtomicU64>,
    pub(crate) bodies: BodyMemory,
}

impl HttpService for MetricsEndpoint {
    type Body = ReplyBody;

    async fn handle(&self, req: Request<Incoming>) -> Reply {
        if req.uri().path() != "/metrics" {
            return reply::to_probe(StatusCode::NOT_FOUND, "no such path");
        }
        let now = self.shared.now();
        let state = self.shared.lock();
        let routes = state.routes.as_ref();
        let version = routes.map_or(0, |routes| routes.config().version);
        let behind = state.operators_lag.behind(now).unwrap_or_default();
        drop(state);
        self.metrics.set_configuration(version, behind);
        self.metrics.set_bodies_held(self.bodies.held());
        let text = self.metrics.text(self.dropped.load(Ordering::Relaxed));
        let mut reply = reply::to_probe(StatusCode::OK, "");
        *reply.body_mut() = reply::full_body(text.into());
        reply
    }
}
