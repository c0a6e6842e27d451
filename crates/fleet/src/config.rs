//! The active configuration: routes, services and limits on callers.

use crate::stream_versions::stream_lifetime;
use crate::workspaces::{Access, KeyDigest, Workspaces};
use crate::{ModelName, ServiceName};
use std::collections::BTreeMap;
use std::time::Duration;

/// Version of a configuration; increases with each change.
pub type ConfigVersion = u64;

/// A complete configuration.
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
    /// Workspaces, if calls require a key.
    pub workspaces: Option<Workspaces>,
}

/// How often a call may run, and whether its response is a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// Complete response; may run more than once.
    Idempotent,
    /// Complete response; runs at most once.
    Once,
    /// Stream of events.
    Stream {
        /// Whether another instance may resume after the last delivered event.
        resumable: bool,
    },
}

impl CallKind {
    /// Whether a call may be retried after an attempt that may have run.
    #[must_use]
    pub const fn retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether responses are streams of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Maps the calls of a host and path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, for logs.
    pub name: Box<str>,
    /// Host name in the request.
    pub host: Box<str>,
    /// Path prefix, with a slash at both ends.
    pub prefix: Box<str>,
    /// How often a call may run, and whether its response is a stream.
    pub kind: CallKind,
    /// Services with their weights; never empty.
    pub services: Vec<(ServiceName, u32)>,
    /// Maximum number of instances that one call may run on.
    pub attempts: u32,
    /// Maximum time that a caller waits for the response.
    pub timeout: Duration,
    /// Latency target: time from a call's arrival to its first token or response.
    pub objective: Duration,
    /// Target for the longest gap between two events of a stream.
    pub max_gap: Option<Duration>,
    /// Time without an event, also before the first, after which callers give up
    /// a stream; `None` if they wait until their deadline.
    pub max_silence: Option<Duration>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Whether calls need no key.
    pub public: bool,
}

/// A group of interchangeable instances.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Maximum connections to one instance, over all nodes.
    pub max_connections: u32,
    /// Engine settings, if its instances are model engines.
    pub engine: Option<Engine>,
}

/// Properties of a service's model engines.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Calls that one engine runs at once.
    pub slots: u32,
    /// Capacity of one engine's KV cache, in tokens.
    pub kv_tokens: u64,
    /// Adapters that one engine can hold.
    pub adapter_slots: u32,
    /// Model weights that one engine can hold, in megabytes.
    pub weights_mb: f64,
    /// Base model loads per second, over all engines of the service.
    pub loads_per_s: f64,
    /// Base models, the most requested first.
    pub models: Vec<Model>,
}

/// A base model.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Name of the model.
    pub name: ModelName,
    /// Size of its weights in megabytes.
    pub weights_mb: f64,
    /// Time to load it from the weight store.
    pub load_time: Duration,
}

/// Limits on the size and duration of a caller's request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Maximum size of the request head in bytes.
    pub header_bytes: usize,
    /// Maximum size of the request body in bytes.
    pub body_bytes: usize,
    /// Time within which the request head must arrive.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

/// A configuration with its routes indexed by host.
#[derive(Clone, Debug)]
pub struct RouteTable {
    config: Configuration,
    by_host: BTreeMap<Box<str>, Vec<usize>>,
    stream_lifetime: Duration,
}

impl RouteTable {
    /// Indexes the routes of a configuration by host and prefix length.
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
        let stream_lifetime = stream_lifetime(&config);
        Self {
            config,
            by_host,
            stream_lifetime,
        }
    }

    /// Returns the configuration.
    #[must_use]
    pub const fn config(&self) -> &Configuration {
        &self.config
    }

    /// Returns how long after its first event a stream may be resumed.
    #[must_use]
    pub const fn stream_lifetime(&self) -> Duration {
        self.stream_lifetime
    }

    /// Returns the route for `host` whose prefix is the longest one that matches
    /// `path`.
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

    /// Returns whether a call with a key, or without one, may use a route.
    #[must_use]
    pub fn access(&self, route: &Route, key: Option<&KeyDigest>) -> Access<'_> {
        let workspaces = self.config.workspaces.as_ref();
        workspaces.map_or(Access::Open, |w| w.access(route, key))
    }

    /// Returns the service of a call. `draw`, which must be uniformly distributed
    /// over all calls, selects one in proportion to the weights.
    #[must_use]
    pub fn service<'a>(&self, route: &'a Route, draw: u64) -> Option<&'a ServiceName> {
        let total: u64 = route.services.iter().map(|(_, w)| u64::from(*w)).sum();
        if total == 0 {
            return route.services.first().map(|(name, _)| name);
        }
        let mut rest = draw % total;
        for (name, weight) in &route.services {
            if rest < u64::from(*weight) {
                return Some(name);
            }
            rest -= u64::from(*weight);
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
