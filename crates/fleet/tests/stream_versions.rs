//! Origins of streams.

use reedford_fleet::Now;
use reedford_fleet::stream_versions::{StreamOrigin, StreamVersions};
use std::time::Duration;

const LIFETIME: Duration = Duration::from_secs(30);

fn origin(software: &str) -> StreamOrigin {
    StreamOrigin {
        service: "s".into(),
        software: software.into(),
    }
}

fn version<'a>(streams: &'a StreamVersions, attempt: &str) -> Option<&'a str> {
    streams.get(attempt).map(|origin| &*origin.software)
}

/// Guards against a stream that changes its version at the second of several
/// resumptions.
#[test]
fn the_first_version_of_an_attempt_is_kept() {
    let mut streams = StreamVersions::default();
    streams.record("a".into(), origin("v1"), Now::ZERO);
    streams.record("a".into(), origin("v2"), LIFETIME);
    assert_eq!(version(&streams, "a"), Some("v1"));
    streams.expire(LIFETIME, LIFETIME + Duration::from_millis(1));
    assert_eq!(version(&streams, "a"), Some("v1"), "its age started anew");
}

#[test]
fn records_expire_and_are_bounded() {
    const ATTEMPTS: u64 = 20_000;
    let mut streams = StreamVersions::default();
    for n in 0..ATTEMPTS {
        let at = Duration::from_millis(n);
        streams.record(format!("a{n}").into(), origin("v1"), at);
    }
    let kept = streams.newest().count();
    assert!(kept < 20_000, "{kept}");
    let newest = streams.newest().next().map(|(attempt, _)| &**attempt);
    assert_eq!((newest, version(&streams, "a0")), (Some("a19999"), None));
    streams.expire(LIFETIME, Duration::from_millis(ATTEMPTS) + LIFETIME);
    assert_eq!(streams.newest().count(), 0);
}
