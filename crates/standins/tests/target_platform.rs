//! Stand-in targets against the stand-in platform: registration and weights.

mod target_support;

use hyper::{Method, StatusCode};
use reedford_standins::engine::EngineFaults;
use reedford_standins::plain::{PlainConfig, PlainFaults, PlainStandin};
use reedford_standins::platform::{Faults, PlatformConfig, PlatformStandin};
use reedford_wire::engine::RefusalCode;
use reedford_wire::instances::{Instance, InstanceKind, InstanceList, InstanceState};
use std::net::SocketAddr;
use target_support::{Bench, MODEL, bare, call, quick, refused_order};

async fn platform(fail_percent: u8) -> PlatformStandin {
    let cfg = PlatformConfig {
        lag_ms: 0,
        load_ms: 1,
        loads_per_1000_s: 1_000_000,
        faults: Faults {
            fail_percent,
            ..Faults::default()
        },
        ..PlatformConfig::default()
    };
    PlatformStandin::start(cfg).await.unwrap()
}

async fn instances(platform: SocketAddr) -> Vec<Instance> {
    let (status, body) = bare(platform, Method::GET, "/instances").await;
    assert_eq!(status, StatusCode::OK);
    let list: InstanceList = serde_json::from_slice(&body).unwrap();
    list.instances
}

#[tokio::test]
async fn targets_register_and_leave() {
    let platform = platform(0).await;
    let register = Some(platform.control());
    let mut cfg = quick();
    cfg.register = register;
    let bench = Bench::start(cfg).await;
    let plain_cfg = PlainConfig {
        register,
        ..PlainConfig::default()
    };
    let plain = PlainStandin::start(plain_cfg).await.unwrap();
    let mut expect = vec![
        Instance {
            id: "engine".into(),
            group: "engines".into(),
            kind: InstanceKind::Engine,
            zone: "zone".into(),
            address: bench.engine.addr(),
            state: InstanceState::Live,
            checks_fence: true,
        },
        Instance {
            id: "plain".into(),
            group: "services".into(),
            kind: InstanceKind::Plain,
            zone: "zone".into(),
            address: plain.addr(),
            state: InstanceState::Live,
            checks_fence: false,
        },
    ];
    assert_eq!(instances(platform.control()).await, expect);

    let engine_leaves = EngineFaults {
        leaving: Some(true),
        ..EngineFaults::default()
    };
    let plain_leaves = PlainFaults {
        leaving: Some(true),
        ..PlainFaults::default()
    };
    bench.engine.set_faults(&engine_leaves).await;
    plain.set_faults(&plain_leaves).await;
    for instance in &mut expect {
        instance.state = InstanceState::Leaving;
    }
    assert_eq!(instances(platform.control()).await, expect);
    plain.shutdown().await;
    bench.stop().await;
    platform.shutdown().await;
}

#[tokio::test]
async fn weights_come_from_the_store() {
    let platform = platform(0).await;
    let mut cfg = quick();
    cfg.load_ms = 600_000;
    cfg.weights = Some(platform.control());
    let bench = Bench::loaded(cfg).await;
    assert_eq!(bench.engine.stats().loads, 1);
    bench.whole("a", 2).await.unwrap();
    bench.stop().await;
    platform.shutdown().await;
}

#[tokio::test]
async fn load_fails_when_the_store_fails() {
    let platform = platform(100).await;
    let mut cfg = quick();
    cfg.weights = Some(platform.control());
    let bench = Bench::start(cfg).await;
    let result = bench.load(MODEL, 1).await;
    assert_eq!(refused_order(result), RefusalCode::LoadFailed);
    assert_eq!(bench.engine.stats().failed_loads, 1);
    bench.stop().await;
    platform.shutdown().await;
}

#[tokio::test]
async fn order_to_go_silent_is_answered() {
    let bench = Bench::start(quick()).await;
    let body = bytes::Bytes::from_static(b"{\"silent_connections\":true}");
    let addr = bench.engine.addr();
    let (status, _) = call(addr, Method::POST, "/control/faults", body).await;
    assert_eq!(status, StatusCode::OK);
    bench.stop().await;
}

#[tokio::test]
async fn control_calls_show_record_and_counts_and_restart() {
    let bench = Bench::loaded(quick()).await;
    bench.whole("a", 2).await.unwrap();
    let addr = bench.engine.addr();
    let (_, record) = bare(addr, Method::GET, "/control/record").await;
    let record: serde_json::Value = serde_json::from_slice(&record).unwrap();
    assert_eq!(record["runs"][0]["attempt"], "a");
    assert_eq!(record["orders"][0]["kind"], "load");
    let (_, stats) = bare(addr, Method::GET, "/control/stats").await;
    let stats: serde_json::Value = serde_json::from_slice(&stats).unwrap();
    assert_eq!(stats["tokens"], 2);
    let before = bench.listing().await.boot_id;
    let (status, _) = bare(addr, Method::POST, "/control/restart").await;
    assert_eq!(status, StatusCode::OK);
    assert_ne!(bench.listing().await.boot_id, before);
    bench.stop().await;
}
