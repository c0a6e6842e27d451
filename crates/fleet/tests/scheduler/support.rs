//! Builders for schedulers, engines and requests, and accessors to actions.

use reedford_fleet::Now;
use reedford_fleet::config::{Engine, Model};
use reedford_fleet::directory::{HeldModel, Instance, InstanceState};
use reedford_fleet::scheduler::{
    Action, AdapterKey, EngineReport, Grant, Limits, Order, OrderKind, PlacementRequest, Scheduler,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

pub(crate) const SERVICE: &str = "llm";
pub(crate) const MODEL: &str = "base";
pub(crate) const ADAPTER_SLOTS: u32 = 5;

pub(crate) fn ms(ms: u64) -> Now {
    Duration::from_millis(ms)
}

pub(crate) fn key(adapter: &str) -> AdapterKey {
    AdapterKey {
        model: MODEL.into(),
        adapter: adapter.into(),
    }
}

pub(crate) fn instance(id: &str, born: u64) -> Instance {
    Instance {
        id: id.into(),
        service: SERVICE.into(),
        addr: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 7_000),
        zone: "z1".into(),
        software: "v1".into(),
        slots: 64,
        state: InstanceState::Ready,
        born,
        models: vec![HeldModel {
            name: MODEL.into(),
            version: 1,
            adapters: BTreeMap::new(),
        }],
    }
}

/// Returns a scheduler without engines.
pub(crate) fn scheduler() -> Scheduler {
    let mut scheduler = Scheduler::new(Limits {
        max_prefill_backlog: ms(260),
        max_wait_share: 0.6,
        load_share: 1.0,
    });
    scheduler.set_spec(
        SERVICE,
        Engine {
            slots: 64,
            kv_tokens: 120_000,
            adapter_slots: ADAPTER_SLOTS,
            weights_mb: 66_000.0,
            loads_per_s: 2.8,
            models: vec![Model {
                name: MODEL.into(),
                weights_mb: 65_000.0,
                load_time: ms(720),
            }],
        },
    );
    scheduler
}

/// Returns a scheduler with one engine `e1` that has reported `adapters`.
pub(crate) fn scheduler_with_engine(adapters: &[&str]) -> Scheduler {
    let mut scheduler = scheduler();
    scheduler.on_instance(&instance("e1", 1), Now::ZERO);
    deliver_report(&mut scheduler, "e1", adapters, 0, Now::ZERO);
    scheduler
}

/// Answers the scheduler's fetch of a report from an engine that holds `adapters`.
pub(crate) fn deliver_report(
    scheduler: &mut Scheduler,
    id: &str,
    adapters: &[&str],
    orders: u64,
    now: Now,
) {
    let actions = scheduler.poll(now);
    assert!(
        actions
            .iter()
            .any(|a| matches!(a, Action::FetchReport { .. })),
        "a report is fetched: {actions:?}"
    );
    let held = adapters.iter().map(|a| ((*a).into(), 1)).collect();
    let report = EngineReport {
        born: 1,
        orders,
        busy: false,
        models: BTreeMap::from([(MODEL.into(), held)]),
        loading: BTreeSet::new(),
    };
    scheduler.on_report(id, Some(&report), now);
}

/// Returns a request with an objective of one second and a deadline of five.
pub(crate) fn request(call: &str, adapter: &str, now: Now) -> PlacementRequest {
    PlacementRequest {
        call: call.into(),
        service: SERVICE.into(),
        model: MODEL.into(),
        adapter: Some(adapter.into()),
        tokens: 1_400,
        parts: Vec::new(),
        output: 22,
        priority: 1,
        workspace: None,
        workspace_priority: None,
        max_gap: None,
        objective_at: now + ms(1_000),
        first_token_by: now + ms(5_000),
        deadline: now + ms(5_000),
        avoid: BTreeSet::new(),
        software: None,
    }
}

pub(crate) fn grants(actions: &[Action]) -> Vec<&Grant> {
    let grants = actions.iter().filter_map(|action| match action {
        Action::Grant(grant) => Some(grant),
        _ => None,
    });
    grants.collect()
}

pub(crate) fn orders(actions: &[Action]) -> Vec<&Order> {
    let orders = actions.iter().filter_map(|action| match action {
        Action::Order(order) => Some(order),
        _ => None,
    });
    orders.collect()
}

/// Returns a short label of an order: `+a` loads an adapter, `-a` evicts one, `*m`
/// loads a base model.
pub(crate) fn order_label(order: &Order) -> String {
    match &order.kind {
        OrderKind::LoadAdapter { adapter, .. } => format!("+{adapter}"),
        OrderKind::UnloadAdapter { adapter, .. } => format!("-{adapter}"),
        OrderKind::LoadModel { model } => format!("*{model}"),
    }
}

pub(crate) fn order_labels(actions: &[Action]) -> Vec<String> {
    orders(actions).into_iter().map(order_label).collect()
}
