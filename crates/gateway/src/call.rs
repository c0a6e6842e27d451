//! One call of a caller, read and matched to its route.

use crate::ports::CallHead;
use bytes::Bytes;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Uri};
use reedford_fleet::config::{Route, RouteTable, Service};
use reedford_fleet::scheduler::AdapterKey;
use reedford_fleet::{Now, ServiceName};
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// A call.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// Id of the caller's attempt; empty when it names none.
    pub(crate) id: Box<str>,
    pub(crate) head: CallHead,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) route: Route,
    pub(crate) service: ServiceName,
    pub(crate) engine: bool,
    pub(crate) arrived: Now,
    /// When the caller has to have its answer.
    pub(crate) until: Now,
    /// When an answer has its full use.
    pub(crate) due: Now,
}

/// Why a call can't be served.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Unroutable {
    /// No route takes it.
    NoRoute,
    /// Its route names no service that exists.
    NoService,
}

impl Call {
    /// Matches the head of a call to its route.
    pub(crate) fn new(
        parts: Parts,
        head: CallHead,
        routes: &Arc<RouteTable>,
        arrived: Now,
    ) -> Result<Self, Unroutable> {
        let host = host(&parts).unwrap_or_default();
        let route = routes
            .find(host, parts.uri.path())
            .ok_or(Unroutable::NoRoute)?
            .clone();
        let id = head.attempt.clone().unwrap_or_default();
        let service = routes
            .service(&route, xxh3_64(id.as_bytes()))
            .ok_or(Unroutable::NoService)?
            .clone();
        let spec: &Service = routes
            .config()
            .services
            .get(&service)
            .ok_or(Unroutable::NoService)?;
        let patience = head.patience.unwrap_or(route.timeout).min(route.timeout);
        Ok(Self {
            id,
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body: Bytes::new(),
            engine: spec.engine.is_some() && head.model.is_some(),
            arrived,
            until: arrived + patience,
            due: arrived + route.objective,
            head,
            route,
            service,
        })
    }

    /// The adapter that it names.
    pub(crate) fn adapter(&self) -> Option<AdapterKey> {
        let (model, adapter) = self.head.model.as_ref()?;
        Some(AdapterKey {
            model: model.clone(),
            adapter: adapter.clone()?,
        })
    }

    /// Time left at `now`.
    pub(crate) fn left(&self, now: Now) -> Duration {
        self.until.saturating_sub(now)
    }

    /// A number that is even over all calls.
    pub(crate) fn draw(&self) -> u64 {
        xxh3_64(self.id.as_bytes())
    }
}

fn host(parts: &Parts) -> Option<&str> {
    let named = parts.headers.get(hyper::header::HOST);
    named
        .and_then(|value| value.to_str().ok())
        .or_else(|| parts.uri.host())
}
