//! Settings and faults of the engine stand-in.

use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddr};

/// Settings of an engine stand-in.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineConfig {
    /// Name of the instance, unique in the fleet.
    pub id: Box<str>,
    /// Group of the instance.
    pub group: Box<str>,
    /// Availability zone of the instance.
    pub zone: Box<str>,
    /// Name of the base model, part of the weight store's paths.
    pub base: Box<str>,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Number of adapter slots.
    pub slots: u32,
    /// Most requests that run at once.
    pub batch_limit: u32,
    /// Most requests accepted that wait to run.
    pub queue_limit: u32,
    /// Time between two tokens of a request in milliseconds.
    pub step_ms: u64,
    /// Time until the first token in milliseconds.
    pub prefill_ms: u64,
    /// Time to load an adapter in milliseconds, without a weight store.
    pub load_ms: u64,
    /// The weight store.
    pub weights: Option<SocketAddr>,
    /// What an unload order does to requests that use the adapter.
    pub unload_running: UnloadRunning,
    /// Whether orders with an old fencing number are refused.
    pub checks_fence: bool,
    /// Age of load reports in milliseconds.
    pub report_lag_ms: u64,
    /// The platform to register with.
    pub register: Option<SocketAddr>,
    /// Seed of the failing loads.
    pub seed: u64,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            id: "engine".into(),
            group: "engines".into(),
            zone: "zone".into(),
            base: "base".into(),
            listen: (Ipv4Addr::LOCALHOST, 0).into(),
            slots: 8,
            batch_limit: 8,
            queue_limit: 32,
            step_ms: 20,
            prefill_ms: 30,
            load_ms: 250,
            weights: None,
            unload_running: UnloadRunning::Cut,
            checks_fence: true,
            report_lag_ms: 0,
            register: None,
            seed: 1,
        }
    }
}

/// What an unload order does to requests that use the adapter.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UnloadRunning {
    /// They end abruptly, and a violation is recorded.
    Cut,
    /// The order is refused.
    Refuse,
}

/// Faults to switch on or off; absent fields stay as they are.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultOrder {
    /// Number of loads from now on that fail.
    pub fail_loads: Option<u32>,
    /// Share of loads that fail, in percent.
    pub fail_load_percent: Option<u32>,
    /// `true` makes all connections open now silent for good.
    pub silent_connections: Option<bool>,
    /// Time that each answer is held back, in milliseconds.
    pub delay_answers_ms: Option<u64>,
    /// Whether concurrent requests get each other's answers, in pairs.
    pub cross_answers: Option<bool>,
    /// Whether the engine is leaving.
    pub leaving: Option<bool>,
    /// Whether answers name a model that was not asked for.
    pub wrong_model: Option<bool>,
}

/// Faults in force.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Faults {
    pub(crate) cross_answers: bool,
    pub(crate) delay_answers_ms: u64,
    pub(crate) fail_load_percent: u32,
    pub(crate) fail_loads: u32,
    pub(crate) leaving: bool,
    pub(crate) wrong_model: bool,
}

impl Faults {
    /// Takes over the fields that are given.
    pub(crate) fn apply(&mut self, order: &FaultOrder) {
        let FaultOrder {
            fail_loads,
            fail_load_percent,
            silent_connections: _,
            delay_answers_ms,
            cross_answers,
            leaving,
            wrong_model,
        } = *order;
        self.cross_answers = cross_answers.unwrap_or(self.cross_answers);
        self.delay_answers_ms = delay_answers_ms.unwrap_or(self.delay_answers_ms);
        self.fail_load_percent = fail_load_percent.unwrap_or(self.fail_load_percent);
        self.fail_loads = fail_loads.unwrap_or(self.fail_loads);
        self.leaving = leaving.unwrap_or(self.leaving);
        self.wrong_model = wrong_model.unwrap_or(self.wrong_model);
    }
}
