//! The configuration in force: routes, services and what callers may send.

use crate::{ModelName, ServiceName};
use std::collections::BTreeMap;
use std::time::Duration;

/// Version of a configuration; rises with each change.
pub type ConfigVersion = u64;

/// A whole configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// Its version.
    pub version: ConfigVersion,
    /// Routes, in no particular order.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Limits on callers.
    pub limits: CallerLimits,
}

/// What a call may cost when it runs more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// A whole answer; may run more than once.
    Idempotent,
    /// A whole answer; runs at most once.
    Once,
    /// A stream of events.
    Stream {
        /// Whether another instance may go on after the last event delivered.
        resumable: bool,
    },
}

impl RequestKind {
    /// Whether a call whose fate is unknown may be sent again.
    #[must_use]
    pub const fn repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether answers are streams of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Where calls of a host and path prefix go.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, for logs.
    pub name: Box<str>,
    /// Host that callers name.
    pub host: Box<str>,
    /// Path prefix, with a slash at both ends.
    pub prefix: Box<str>,
    /// What may be repeated.
    pub kind: RequestKind,
    /// Services with their weights; never empty.
    pub services: Vec<(ServiceName, u32)>,
    /// Most instances that one call may run on.
    pub attempts: u32,
    /// Longest time a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer has its full use.
    pub objective: Duration,
    /// Longest useful pause between events of a stream.
    pub max_gap: Option<Duration>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
}

/// A group of instances that can stand in for each other.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Most connections that one instance takes from all nodes together.
    pub max_connections: u32,
    /// What its instances compute with, if they run models.
    pub engine: Option<Engine>,
}

/// Model engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Calls that run at once.
    pub slots: u32,
    /// Tokens that fit into the memory of one engine.
    pub kv_tokens: u64,
    /// Adapters that one engine holds.
    pub adapter_slots: u32,
    /// Weights that one engine holds, in megabytes.
    pub weights_mb: f64,
    /// Loads of base models a second, over all engines of the service.
    pub loads_per_s: f64,
    /// Base models, the first ones the most asked for.
    pub models: Vec<Model>,
}

/// A base model.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Its name.
    pub name: ModelName,
    /// Its size in megabytes.
    pub weights_mb: f64,
    /// Time of a load from the weight store.
    pub load_time: Duration,
}

/// Limits on what a caller may send and how long it may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Largest head in bytes.
    pub header_bytes: usize,
    /// Largest body in bytes.
    pub body_bytes: usize,
    /// Time to send a head.
    pub header_timeout: Duration,
    /// Time a connection may stay unused.
    pub idle_timeout: Duration,
}

/// The routes of a configuration, ready for look-ups.
#[derive(Clone, Debug)]
pub struct RouteTable {
    config: Configuration,
    by_host: BTreeMap<Box<str>, Vec<usize>>,
}

impl RouteTable {
    /// Orders the routes of a configuration.
    #[must_use]
    pub fn new(config: Configuration) -> Self {
        let mut by_host: BTreeMap<Box<str>, Vec<usize>> = BTreeMap::new();
        for (index, route) in config.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase().into_boxed_str();
            by_host.entry(host).or_default().push(index);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|i| std::cmp::Reverse(config.routes[*i].prefix.len()));
        }
        Self { config, by_host }
    }

    /// The configuration.
    #[must_use]
    pub const fn config(&self) -> &Configuration {
        &self.config
    }

    /// The route with the longest prefix that begins `path`.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.to_ascii_lowercase();
        let name = strip_port(&host);
        self.by_host
            .get(name)?
            .iter()
            .map(|index| &self.config.routes[*index])
            .find(|route| path.starts_with(&*route.prefix))
    }

    /// The service that takes a call, drawn by the services' weights with
    /// `draw`, a number that is even over all calls.
    #[must_use]
    pub fn service<'a>(&self, route: &'a Route, draw: u64) -> Option<&'a ServiceName> {
        let total: u64 = route.services.iter().map(|(_, w)| u64::from(*w)).sum();
        if total == 0 {
            return route.services.first().map(|(name, _)| name);
        }
        let mut left = draw % total;
        for (name, weight) in &route.services {
            if left < u64::from(*weight) {
                return Some(name);
            }
            left -= u64::from(*weight);
        }
        None
    }
}

fn strip_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}
