//! Registration and weights of the stand-in targets at the stand-in platform.

mod target_support;

use hyper::{Method, StatusCode};
use reedford_standins::engine::EngineFaults;
use reedford_standins::plain::{PlainConfig, PlainFaults, PlainStandin};
use reedford_standins::platform::{Faults, PlatformConfig, PlatformStandin};
use reedford_wire::engine::RefusalCode;
use reedford_wire::instances::{Instance, InstanceKind, InstanceList, InstanceState};
use std::net::SocketAddr;
use target_support::{EngineHarness, MODEL, call, call_without_body, quick, refusal_code};

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
    let (status, body) = call_without_body(platform, Method::GET, "/instances").await;
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
    let harness = EngineHarness::start(cfg).await;
    let plain_cfg = PlainConfig {
        register,
        ..PlainConfig::default()
    };
    let plain = PlainStandin::start(plain_cfg).await.unwrap();
    let mut expected = vec![
        Instance {
            id: "engine".into(),
            group: "engines".into(),
            kind: InstanceKind::Engine,
            zone: "zone".into(),
            address: harness.engine.addr(),
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
    assert_eq!(instances(platform.control()).await, expected);

    let engine_leaves = EngineFaults {
        leaving: Some(true),
        ..EngineFaults::default()
    };
    let plain_leaves = PlainFaults {
        leaving: Some(true),
        ..PlainFaults::default()
    };
    harness.engine.set_faults(&engine_leaves).await;
    plain.set_faults(&plain_leaves).await;
    for instance in &mut expected {
        instance.state = InstanceState::Leaving;
    }
    assert_eq!(instances(platform.control()).await, expected);
    plain.shutdown().await;
    harness.stop().await;
    platform.shutdown().await;
}

#[tokio::test]
async fn weights_are_read_from_the_store() {
    let platform = platform(0).await;
    let mut cfg = quick();
    cfg.load_ms = 600_000;
    cfg.weights = Some(platform.control());
    let harness = EngineHarness::loaded(cfg).await;
    assert_eq!(harness.engine.stats().loads, 1);
    harness.complete("a", 2).await.unwrap();
    harness.stop().await;
    platform.shutdown().await;
}

#[tokio::test]
async fn load_fails_when_the_store_fails() {
    let platform = platform(100).await;
    let mut cfg = quick();
    cfg.weights = Some(platform.control());
    let harness = EngineHarness::start(cfg).await;
    let result = harness.load(MODEL, 1).await;
    assert_eq!(refusal_code(result), RefusalCode::LoadFailed);
    assert_eq!(harness.engine.stats().failed_loads, 1);
    harness.stop().await;
    platform.shutdown().await;
}

#[tokio::test]
async fn order_to_silence_connections_is_acknowledged() {
    let harness = EngineHarness::start(quick()).await;
    let body = bytes::Bytes::from_static(b"{\"silent_connections\":true}");
    let addr = harness.engine.addr();
    let (status, _) = call(addr, Method::POST, "/control/faults", body).await;
    assert_eq!(status, StatusCode::OK);
    harness.stop().await;
}

#[tokio::test]
async fn control_calls_return_record_and_stats_and_restart() {
    let harness = EngineHarness::loaded(quick()).await;
    harness.complete("a", 2).await.unwrap();
    let addr = harness.engine.addr();
    let (_, record) = call_without_body(addr, Method::GET, "/control/record").await;
    let record: serde_json::Value = serde_json::from_slice(&record).unwrap();
    assert_eq!(record["runs"][0]["attempt"], "a");
    assert_eq!(record["orders"][0]["kind"], "load");
    let (_, stats) = call_without_body(addr, Method::GET, "/control/stats").await;
    let stats: serde_json::Value = serde_json::from_slice(&stats).unwrap();
    assert_eq!(stats["tokens"], 2);
    let before = harness.listing().await.boot_id;
    let (status, _) = call_without_body(addr, Method::POST, "/control/restart").await;
    assert_eq!(status, StatusCode::OK);
    assert_ne!(harness.listing().await.boot_id, before);
    harness.stop().await;
}
