//! Checks of single values and of relations between values.

use crate::bounds::Bounds;
use crate::error::{SettingFault, SettingsError};
use crate::settings::Settings;
use crate::timeouts::Timeouts;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Length limit of the name of an instance or zone, in bytes.
const NAME_BYTES_MAX: usize = 63;
/// Minimum length of the operators' token, in characters.
const TOKEN_CHARS_MIN: usize = 16;
/// Upper bound of each time limit, in milliseconds: a day.
const TIMEOUT_MS_MAX: u64 = 86_400_000;
/// Upper bound of `bounds.body_bytes`.
const BODY_BYTES_MAX: usize = 64 << 20;
/// Upper bound of `bounds.attempts`.
const ATTEMPTS_MAX: u32 = 10;
/// Upper bound of `bounds.traffic_threads`.
const THREADS_MAX: usize = 256;

/// Checks of values. A check that depends on a field that could not be parsed is
/// skipped.
#[derive(Debug)]
pub(crate) struct Checks {
    faults: Vec<SettingFault>,
    /// Paths of the fields that could not be parsed, without list positions.
    unparsed: BTreeSet<Box<str>>,
}

impl Checks {
    /// Creates checks with the faults found by the parser.
    pub(crate) fn new(faults: Vec<SettingFault>) -> Self {
        let unparsed = faults
            .iter()
            .map(|f| without_position(&f.path).into())
            .collect();
        Self { faults, unparsed }
    }

    /// Checks all values.
    pub(crate) fn run(&mut self, settings: &Settings) {
        self.check_names(settings);
        self.check_addresses(settings);
        self.check_token(settings.operator_token.expose());
        self.check_trace_endpoint(settings.trace_endpoint.as_deref());
        self.check_timeout_ranges(&settings.timeouts);
        self.check_timeout_relations(&settings.timeouts);
        self.check_bounds(&settings.bounds);
    }

    /// Returns the outcome of all checks.
    ///
    /// # Errors
    /// Returns all faults, ordered by path.
    pub(crate) fn finish(mut self) -> Result<(), SettingsError> {
        self.faults.sort();
        if self.faults.is_empty() {
            Ok(())
        } else {
            Err(SettingsError::Faults(self.faults))
        }
    }

    /// Reports `message` for `paths[0]` if not `valid`. Does nothing if one of
    /// `paths`, the fields that the check depends on, could not be parsed.
    fn require(&mut self, valid: bool, paths: &[&str], message: &str) {
        let parsed = paths
            .iter()
            .all(|p| !self.unparsed.contains(without_position(p)));
        if valid || !parsed {
            return;
        }
        self.faults.push(SettingFault {
            path: paths[0].into(),
            message: message.into(),
        });
    }

    fn check_names(&mut self, settings: &Settings) {
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

    fn check_addresses(&mut self, settings: &Settings) {
        let (callers, peers, operators) = (settings.callers, settings.peers, settings.operators);
        self.require(
            !collide(peers, callers),
            &["peers", "callers"],
            "must differ from callers",
        );
        self.require(
            !collide(operators, callers),
            &["operators", "callers"],
            "must differ from callers",
        );
        self.require(
            !collide(operators, peers),
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

    fn check_token(&mut self, token: &str) {
        let path = &["operator_token"];
        let long_enough = token.chars().count() >= TOKEN_CHARS_MIN;
        self.require(long_enough, path, "must have at least 16 characters");
        // The token is sent in an HTTP header.
        let visible = token.bytes().all(|b| b.is_ascii_graphic());
        self.require(
            visible,
            path,
            "must be of visible ASCII characters without spaces",
        );
    }

    fn check_trace_endpoint(&mut self, endpoint: Option<&str>) {
        let rest = endpoint.map(|url| url.strip_prefix("http://"));
        let valid = rest.is_none_or(|rest| rest.is_some_and(|rest| !rest.is_empty()));
        self.require(
            valid,
            &["trace_endpoint"],
            "must be a URL that starts with http://",
        );
    }

    fn check_timeout_ranges(&mut self, timeouts: &Timeouts) {
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

    fn check_timeout_relations(&mut self, timeouts: &Timeouts) {
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

    fn check_bounds(&mut self, bounds: &Bounds) {
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

/// Returns the path of a field without the position in its list.
fn without_position(path: &str) -> &str {
    path.split_once('[').map_or(path, |(field, _)| field)
}

/// Returns whether two listen addresses are the same. Port 0 stands for any free
/// port, so it never collides.
fn collide(a: SocketAddr, b: SocketAddr) -> bool {
    a.port() != 0 && a == b
}

fn is_name(name: &str) -> bool {
    let is_name_byte = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"._-".contains(&b);
    let valid_start = !name.starts_with(['.', '_', '-']);
    let fits = (1..=NAME_BYTES_MAX).contains(&name.len());
    fits && valid_start && name.bytes().all(is_name_byte)
}
