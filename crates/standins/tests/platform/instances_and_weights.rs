//! The list of instances and the weight store of the platform.

use crate::support::PlatformHarness;
use hyper::{Method, StatusCode};
use reedford_standins::platform::{Faults, PlatformConfig, SetInstances};
use reedford_store::InstanceDirectory;
use reedford_wire::instances::{Instance, InstanceKind, InstanceState};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

fn instance(id: &str, state: InstanceState) -> Instance {
    Instance {
        id: id.into(),
        group: "kielimalli".into(),
        kind: InstanceKind::Engine,
        zone: "oulu-a".into(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        state,
        checks_fence: true,
    }
}

async fn listed(harness: &PlatformHarness) -> Vec<Instance> {
    let directory = InstanceDirectory::new(Arc::clone(&harness.endpoint));
    directory.read().await.expect("responds").instances
}

#[tokio::test]
async fn the_list_shows_a_change_after_the_lag() {
    const LAG: Duration = Duration::from_millis(200);
    let harness = PlatformHarness::start().await;
    let live = instance("e1", InstanceState::Live);
    let set = SetInstances {
        instances: vec![live.clone()],
        lag_ms: Some(0),
    };
    let body = serde_json::to_vec(&set).expect("is JSON");
    harness.call(Method::POST, "/control/instances", body).await;
    assert_eq!(listed(&harness).await, std::slice::from_ref(&live));

    let set = SetInstances {
        instances: vec![live.clone()],
        lag_ms: Some(LAG.as_millis().try_into().expect("is short")),
    };
    let body = serde_json::to_vec(&set).expect("is JSON");
    harness.call(Method::POST, "/control/instances", body).await;
    let leaving = instance("e1", InstanceState::Leaving);
    let body = serde_json::to_vec(&leaving).expect("is JSON");
    let began = Instant::now();
    let (status, _) = harness
        .call(Method::PUT, "/control/instances/e1", body)
        .await;
    assert_eq!(status, StatusCode::OK);
    while listed(&harness).await != [leaving.clone()] {
        tokio::task::yield_now().await;
    }
    assert!(began.elapsed() >= LAG);

    harness
        .call(Method::DELETE, "/control/instances/e1", Vec::new())
        .await;
    while !listed(&harness).await.is_empty() {
        tokio::task::yield_now().await;
    }
    harness.stop().await;
}

async fn load(harness: &PlatformHarness, adapter: &str) -> StatusCode {
    let path = format!("/weights/base/{adapter}/v1");
    harness.call(Method::POST, &path, Vec::new()).await.0
}

#[tokio::test]
async fn loads_start_at_the_limited_rate() {
    let cfg = PlatformConfig {
        load_ms: 0,
        loads_per_1000_s: 20_000,
        ..PlatformConfig::default()
    };
    let harness = PlatformHarness::start_with(cfg).await;
    let began = Instant::now();
    let loads = (0..5).map(|_| load(&harness, "a"));
    let loads = futures::future::join_all(loads).await;
    assert_eq!(loads, [StatusCode::OK; 5]);
    // The first starts at once, the others each 50 ms later.
    assert!(began.elapsed() >= Duration::from_millis(200));
    assert_eq!(harness.stats().await.loads_done, 5);
    harness.stop().await;
}

#[tokio::test]
async fn loads_beyond_the_in_flight_limit_take_longer() {
    let cfg = PlatformConfig {
        load_ms: 50,
        load_in_flight: 1,
        loads_per_1000_s: 1_000_000,
        ..PlatformConfig::default()
    };
    let harness = PlatformHarness::start_with(cfg).await;
    let began = Instant::now();
    futures::future::join_all((0..8).map(|_| load(&harness, "a"))).await;
    assert!(began.elapsed() >= Duration::from_millis(100));
    assert!(harness.stats().await.loads_most_at_once > 1);
    harness.stop().await;
}

#[tokio::test]
async fn loads_fail_as_configured() {
    struct Case {
        name: &'static str,
        faults: Faults,
        a: StatusCode,
        b: StatusCode,
    }
    let cases = [
        Case {
            name: "one adapter",
            faults: Faults {
                fail_adapter: Some("a".into()),
                ..Faults::default()
            },
            a: StatusCode::BAD_GATEWAY,
            b: StatusCode::OK,
        },
        Case {
            name: "all",
            faults: Faults {
                fail_percent: 100,
                ..Faults::default()
            },
            a: StatusCode::BAD_GATEWAY,
            b: StatusCode::BAD_GATEWAY,
        },
        Case {
            name: "none",
            faults: Faults::default(),
            a: StatusCode::OK,
            b: StatusCode::OK,
        },
    ];
    let cfg = PlatformConfig {
        load_ms: 0,
        loads_per_1000_s: 1_000_000,
        ..PlatformConfig::default()
    };
    let harness = PlatformHarness::start_with(cfg).await;
    for case in cases {
        harness.set_faults(&case.faults).await;
        assert_eq!(load(&harness, "a").await, case.a, "{}", case.name);
        assert_eq!(load(&harness, "b").await, case.b, "{}", case.name);
    }
    let stats = harness.stats().await;
    assert_eq!((stats.loads_done, stats.loads_failed), (3, 3));
    harness.stop().await;
}
