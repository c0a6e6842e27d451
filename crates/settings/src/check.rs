//! Checks of single values and of values that have to agree.

use crate::bounds::Bounds;
use crate::error::{SettingFault, SettingsError};
use crate::settings::Settings;
use crate::timeouts::Timeouts;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Longest name of an instance or zone, in bytes.
const NAME_BYTES_MAX: usize = 63;
/// Shortest operators' token, in characters.
const TOKEN_CHARS_MIN: usize = 16;
/// Longest time limit, in milliseconds: a day.
const TIMEOUT_MS_MAX: u64 = 86_400_000;
/// Largest body that may be allowed, in bytes.
const BODY_BYTES_MAX: usize = 64 << 20;
/// Most attempts that may be allowed.
const ATTEMPTS_MAX: u32 = 10;
/// Most traffic threads.
const THREADS_MAX: usize = 256;

/// Faults so far; a check that reads a field with a fault is left out.
#[derive(Debug)]
pub(crate) struct Checks {
    faults: Vec<SettingFault>,
    faulty: BTreeSet<Box<str>>,
}

impl Checks {
    /// Starts with the faults found while reading.
    pub(crate) fn new(faults: Vec<SettingFault>) -> Self {
        let faulty = faults.iter().map(|f| field_of(&f.path).into()).collect();
        Self { faults, faulty }
    }

    /// Checks all values.
    pub(crate) fn run(&mut self, settings: &Settings) {
        self.names(settings);
        self.addresses(settings);
        self.token(settings.operator_token.expose());
        self.trace_endpoint(settings.trace_endpoint.as_deref());
        self.timeout_ranges(&settings.timeouts);
        self.timeout_order(&settings.timeouts);
        self.bounds(&settings.bounds);
    }

    /// The outcome of all checks.
    ///
    /// # Errors
    /// All faults, by path.
    pub(crate) fn finish(mut self) -> Result<(), SettingsError> {
        self.faults.sort();
        if self.faults.is_empty() {
            Ok(())
        } else {
            Err(SettingsError::Faults(self.faults))
        }
    }

    /// Notes a fault of the first of `paths` unless `holds`; `paths` are all
    /// fields that the check reads.
    fn require(&mut self, holds: bool, paths: &[&str], message: &str) {
        let readable = paths.iter().all(|p| !self.faulty.contains(field_of(p)));
        if holds || !readable {
            return;
        }
        self.faults.push(SettingFault {
            path: paths[0].into(),
            message: message.into(),
        });
    }

    fn names(&mut self, settings: &Settings) {
        let message = "must be at most 63 of a-z, 0-9, `.`, `_` and `-`, \
                       starting with a letter or digit";
        self.require(is_name(&settings.instance), &["instance"], message);
        self.require(is_name(&settings.zone), &["zone"], message);
        for (i, zone) in settings.zones.iter().enumerate() {
            self.require(is_name(zone), &[&format!("zones[{i}]")], message);
        }
        let unique: BTreeSet<&str> = settings.zones.iter().map(|z| &**z).collect();
        let zones = settings.zones.len();
        self.require(zones > 0, &["zones"], "must name at least one zone");
        self.require(
            unique.len() == zones,
            &["zones"],
            "must name each zone once",
        );
        self.require(
            unique.contains(&*settings.zone),
            &["zone", "zones"],
            "must be one of zones",
        );
    }

    fn addresses(&mut self, settings: &Settings) {
        let (callers, peers, operators) = (settings.callers, settings.peers, settings.operators);
        self.require(
            !same(peers, callers),
            &["peers", "callers"],
            "must differ from callers",
        );
        self.require(
            !same(operators, callers),
            &["operators", "callers"],
            "must differ from callers",
        );
        self.require(
            !same(operators, peers),
            &["operators", "peers"],
            "must differ from peers",
        );
        self.require(
            !peers.ip().is_unspecified(),
            &["peers"],
            "must be an address that other instances can connect to",
        );
        let platform = &settings.platform;
        let unique: BTreeSet<&SocketAddr> = platform.iter().collect();
        self.require(
            !platform.is_empty(),
            &["platform"],
            "must name at least one address",
        );
        self.require(
            unique.len() == platform.len(),
            &["platform"],
            "must name each address once",
        );
        for (i, address) in platform.iter().enumerate() {
            let path = format!("platform[{i}]");
            self.require(address.port() != 0, &[&path], "must have a port");
        }
    }

    fn token(&mut self, token: &str) {
        let path = &["operator_token"];
        let long = token.chars().count() >= TOKEN_CHARS_MIN;
        self.require(long, path, "must have at least 16 characters");
        // It travels in an HTTP header.
        let visible = token.bytes().all(|b| b.is_ascii_graphic());
        self.require(
            visible,
            path,
            "must be of visible ASCII characters without spaces",
        );
    }

    fn trace_endpoint(&mut self, endpoint: Option<&str>) {
        let host = endpoint.map(|url| url.strip_prefix("http://"));
        let plain = host.is_none_or(|host| host.is_some_and(|host| !host.is_empty()));
        self.require(
            plain,
            &["trace_endpoint"],
            "must be a URL that starts with http://",
        );
    }

    fn timeout_ranges(&mut self, timeouts: &Timeouts) {
        let values = [
            ("timeouts.request_ms", timeouts.request_ms),
            ("timeouts.request_max_ms", timeouts.request_max_ms),
            ("timeouts.connect_ms", timeouts.connect_ms),
            ("timeouts.first_byte_ms", timeouts.first_byte_ms),
            ("timeouts.progress_ms", timeouts.progress_ms),
            ("timeouts.platform_ms", timeouts.platform_ms),
            ("timeouts.lease_ms", timeouts.lease_ms),
            ("timeouts.lease_margin_ms", timeouts.lease_margin_ms),
            ("timeouts.exchange_ms", timeouts.exchange_ms),
            ("timeouts.peer_failed_ms", timeouts.peer_failed_ms),
            ("timeouts.drain_ms", timeouts.drain_ms),
        ];
        for (path, value) in values {
            let fits = (1..=TIMEOUT_MS_MAX).contains(&value);
            self.require(fits, &[path], "must be 1 to 86400000 (a day)");
        }
    }

    fn timeout_order(&mut self, timeouts: &Timeouts) {
        self.require(
            timeouts.request_ms <= timeouts.request_max_ms,
            &["timeouts.request_ms", "timeouts.request_max_ms"],
            "must be at most request_max_ms",
        );
        self.require(
            timeouts.drain_ms >= timeouts.request_max_ms,
            &["timeouts.drain_ms", "timeouts.request_max_ms"],
            "must be at least request_max_ms, else a stop cuts off requests",
        );
        self.require(
            timeouts.lease_ms >= timeouts.exchange_ms.saturating_mul(3),
            &["timeouts.lease_ms", "timeouts.exchange_ms"],
            "must be at least 3 times exchange_ms",
        );
        self.require(
            timeouts.lease_ms > timeouts.platform_ms,
            &["timeouts.lease_ms", "timeouts.platform_ms"],
            "must be more than platform_ms, else a slow read proves nothing",
        );
        self.require(
            timeouts.peer_failed_ms >= timeouts.exchange_ms.saturating_mul(2),
            &["timeouts.peer_failed_ms", "timeouts.exchange_ms"],
            "must be at least 2 times exchange_ms",
        );
    }

    fn bounds(&mut self, bounds: &Bounds) {
        self.require(
            (1..=BODY_BYTES_MAX).contains(&bounds.body_bytes),
            &["bounds.body_bytes"],
            "must be 1 to 67108864 (64 MiB)",
        );
        self.require(
            bounds.requests >= 1,
            &["bounds.requests"],
            "must be at least 1",
        );
        self.require(
            (1..=ATTEMPTS_MAX).contains(&bounds.attempts),
            &["bounds.attempts"],
            "must be 1 to 10",
        );
        self.require(
            bounds.retry_percent <= 100,
            &["bounds.retry_percent"],
            "must be at most 100",
        );
        self.require(
            (1..=THREADS_MAX).contains(&bounds.traffic_threads),
            &["bounds.traffic_threads"],
            "must be 1 to 256",
        );
    }
}

/// The path of a field without the position in its list.
fn field_of(path: &str) -> &str {
    path.split_once('[').map_or(path, |(field, _)| field)
}

/// Whether two listeners would collide; port 0 means any free one.
fn same(a: SocketAddr, b: SocketAddr) -> bool {
    a.port() != 0 && a == b
}

fn is_name(name: &str) -> bool {
    let inner = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"._-".contains(&b);
    let starts_well = !name.starts_with(['.', '_', '-']);
    let fits = (1..=NAME_BYTES_MAX).contains(&name.len());
    fits && starts_well && name.bytes().all(inner)
}
