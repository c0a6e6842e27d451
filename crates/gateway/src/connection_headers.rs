//! Header fields that concern only one connection.

use hyper::HeaderMap;
use std::time::Duration;

/// Returns for how long a connection may be kept after a response; `None` if it
/// must be closed.
pub(crate) fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    /// Used if the instance sends no timeout.
    const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
    /// Subtracted from the instance's timeout, so that this node closes the
    /// connection first.
    const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(400);
    let closes = headers
        .get_all(hyper::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .any(|value| value.to_ascii_lowercase().contains("close"));
    if closes {
        return None;
    }
    let advertised = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok())
        .and_then(|value| {
            value
                .split(',')
                .find_map(|p| p.trim().strip_prefix("timeout="))
        })
        .and_then(|seconds| seconds.parse().ok())
        .map(Duration::from_secs);
    match advertised {
        Some(advertised) => advertised
            .checked_sub(IDLE_TIMEOUT_MARGIN)
            .filter(|left| !left.is_zero()),
        None => Some(DEFAULT_IDLE_TIMEOUT),
    }
}

/// Removes hop-by-hop header fields.
pub(crate) fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let listed: Vec<String> = headers
        .get_all(hyper::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in listed {
        headers.remove(name);
    }
    for name in [
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ] {
        headers.remove(name);
    }
}
