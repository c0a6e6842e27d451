//! A caller's request, matched to its route.

use crate::caller::Caller;
use crate::dialect::CallHead;
use bytes::Bytes;
use hyper::header::{AUTHORIZATION, HOST};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Uri};
use reedford_fleet::config::{Route, RouteTable, Service};
use reedford_fleet::directory::Instance;
use reedford_fleet::quarantine::RequestDigest;
use reedford_fleet::scheduler::AdapterKey;
use reedford_fleet::stream_versions::StreamOrigin;
use reedford_fleet::{Now, ServiceName, SoftwareVersion};
use sha2::{Digest as _, Sha256};
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// A call: one request of a caller.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// Id that the caller gave this attempt of its request; empty if it sends none.
    pub(crate) id: Box<str>,
    pub(crate) head: CallHead,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) route: Route,
    pub(crate) service: ServiceName,
    pub(crate) caller: Caller,
    /// Whether the call names a model and its service has model engines.
    pub(crate) is_model_call: bool,
    pub(crate) arrived: Now,
    /// Time by which the caller must have its response.
    pub(crate) deadline: Now,
    /// Arrival plus the route's latency objective.
    pub(crate) objective_at: Now,
    /// Time of the last event sent to the caller, or of the arrival.
    pub(crate) silent_since: Now,
    /// Software version that the call may run on, once its stream has begun.
    pub(crate) required_software: Option<SoftwareVersion>,
    /// Whether the stream has begun at a software version that isn't known, so that
    /// it can't be moved.
    pub(crate) software_unknown: bool,
    digest: OnceLock<RequestDigest>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Unroutable {
    /// No route matches the host and path.
    NoRoute,
    /// The route names no existing service.
    NoService,
    /// The call has no key that allows it to use the route.
    Denied,
}

impl Call {
    /// Matches the head of a request to its route.
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
        let caller = Caller::identify(&head, &route, routes).ok_or(Unroutable::Denied)?;
        let id = head.attempt_id.clone().unwrap_or_default();
        let service = routes
            .service(&route, xxh3_64(id.as_bytes()))
            .ok_or(Unroutable::NoService)?
            .clone();
        let spec: &Service = routes
            .config()
            .services
            .get(&service)
            .ok_or(Unroutable::NoService)?;
        let mut headers = parts.headers;
        if let Some(key) = headers.get_mut(AUTHORIZATION) {
            key.set_sensitive(true);
        }
        let timeout = head.timeout.unwrap_or(route.timeout).min(route.timeout);
        Ok(Self {
            id,
            method: parts.method,
            uri: parts.uri,
            headers,
            body: Bytes::new(),
            is_model_call: is_model_call(spec, &head),
            arrived,
            deadline: arrived + timeout,
            objective_at: arrived + route.objective,
            silent_since: arrived,
            required_software: None,
            software_unknown: false,
            digest: OnceLock::new(),
            head,
            route,
            service,
            caller,
        })
    }

    /// Returns the priority that engines get: that of the workspace first, then that of
    /// the route.
    pub(crate) fn engine_priority(&self) -> u8 {
        /// Priorities of routes within one of a workspace.
        const ROUTE_PRIORITIES: u8 = 3;
        let route = self.route.priority;
        match self.caller.priority() {
            None => route,
            Some(workspace) => workspace
                .saturating_mul(ROUTE_PRIORITIES)
                .saturating_add(route.min(ROUTE_PRIORITIES - 1)),
        }
    }

    /// Returns the digest of the request, which is the same for each attempt of a caller
    /// at it. Requests with other credentials have other digests, so that callers with
    /// credentials can't affect each other's.
    ///
    /// The body must have been read.
    pub(crate) fn digest(&self) -> RequestDigest {
        *self.digest.get_or_init(|| {
            let header = |name| self.headers.get(name).map_or(&b""[..], |v| v.as_bytes());
            let path = self.uri.path_and_query().map_or("", |path| path.as_str());
            let mut hasher = Sha256::new();
            for part in [
                self.method.as_str().as_bytes(),
                header(HOST),
                path.as_bytes(),
                header(AUTHORIZATION),
                &self.body,
            ] {
                // The length keeps different requests from running into the same bytes.
                hasher.update((part.len() as u64).to_le_bytes());
                hasher.update(part);
            }
            RequestDigest::from_bytes(&hasher.finalize().into())
        })
    }

    /// Returns the adapter that the call names.
    pub(crate) fn adapter(&self) -> Option<AdapterKey> {
        let (model, adapter) = self.head.model.as_ref()?;
        Some(AdapterKey {
            model: model.clone(),
            adapter: adapter.clone()?,
        })
    }

    /// Whether the call may run at one more instance after `runs` attempts that may
    /// have run it.
    pub(crate) const fn may_run_again(&self, runs: u32) -> bool {
        !self.software_unknown && self.route.kind.retryable() && runs < self.route.attempts
    }

    /// Requires the service and software version at which the stream began that the
    /// call resumes.
    pub(crate) fn set_origin(&mut self, origin: StreamOrigin, routes: Option<&RouteTable>) {
        // The weights of a split route may lead this attempt to another service.
        let spec = routes.and_then(|r| r.config().services.get(&origin.service));
        self.is_model_call = spec.is_some_and(|spec| is_model_call(spec, &self.head));
        self.service = origin.service;
        self.required_software = Some(origin.software);
    }

    /// Whether an instance has the software version that the call requires, if it
    /// requires one.
    pub(crate) fn accepts(&self, instance: &Instance) -> bool {
        let required = self.required_software.as_ref();
        required.is_none_or(|version| *version == instance.software)
    }

    pub(crate) fn time_left(&self, now: Now) -> Duration {
        self.deadline.saturating_sub(now)
    }

    /// Returns for how long the caller still waits for the next event of a stream,
    /// or for the response.
    pub(crate) fn event_time_left(&self, now: Now) -> Duration {
        let left = self.time_left(now);
        match self.route.max_silence {
            Some(silence) => left.min((self.silent_since + silence).saturating_sub(now)),
            None => left,
        }
    }

    /// Hash of the call's id, by which calls are spread evenly and connections know them.
    pub(crate) fn id_hash(&self) -> u64 {
        xxh3_64(self.id.as_bytes())
    }
}

fn is_model_call(service: &Service, head: &CallHead) -> bool {
    service.engine.is_some() && head.model.is_some()
}

fn host(parts: &Parts) -> Option<&str> {
    let host_header = parts.headers.get(HOST);
    host_header
        .and_then(|value| value.to_str().ok())
        .or_else(|| parts.uri.host())
}
