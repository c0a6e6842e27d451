//! Settings and injected faults of the engine stand-in.

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
    /// Name of the base model, part of the weight store's request paths.
    pub base: Box<str>,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Number of adapter slots.
    pub slots: u32,
    /// Maximum number of requests that run at once.
    pub batch_limit: u32,
    /// Maximum number of accepted requests that wait to run.
    pub queue_limit: u32,
    /// Time between two tokens of a request in milliseconds.
    pub step_ms: u64,
    /// Time from a request's start to its first token in milliseconds.
    pub prefill_ms: u64,
    /// Time to load an adapter in milliseconds; used without a weight store.
    pub load_ms: u64,
    /// Address of the weight store that adapters are loaded from.
    pub weights: Option<SocketAddr>,
    /// What an unload order does to requests that use the adapter.
    pub unload_running: UnloadRunning,
    /// Whether orders with an outdated fencing token are refused.
    pub checks_fence: bool,
    /// Age of load reports in milliseconds.
    pub report_lag_ms: u64,
    /// Address of the platform to register with.
    pub register: Option<SocketAddr>,
    /// Seed of the random choice of loads that fail.
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
    /// The requests are cut off, and a violation is recorded.
    Cut,
    /// The order is refused while such requests exist.
    Refuse,
}

/// Faults to switch on or off; an absent field leaves its fault unchanged.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Number of upcoming loads that fail.
    pub fail_loads: Option<u32>,
    /// Share of loads that fail, in percent.
    pub fail_load_percent: Option<u32>,
    /// `true` makes all currently open connections silent permanently.
    pub silent_connections: Option<bool>,
    /// Delay of each response in milliseconds.
    pub delay_answers_ms: Option<u64>,
    /// Whether concurrent requests get each other's responses, in pairs.
    pub cross_answers: Option<bool>,
    /// Whether the engine is leaving.
    pub leaving: Option<bool>,
    /// Whether responses name a model other than the requested one.
    pub wrong_model: Option<bool>,
}

/// Faults that are switched on.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct ActiveFaults {
    pub(crate) cross_answers: bool,
    pub(crate) delay_answers_ms: u64,
    pub(crate) fail_load_percent: u32,
    pub(crate) fail_loads: u32,
    pub(crate) leaving: bool,
    pub(crate) wrong_model: bool,
}

impl ActiveFaults {
    /// Applies the fields that are present in `faults`.
    pub(crate) fn apply(&mut self, faults: &EngineFaults) {
        let EngineFaults {
            fail_loads,
            fail_load_percent,
            silent_connections: _,
            delay_answers_ms,
            cross_answers,
            leaving,
            wrong_model,
        } = *faults;
        self.cross_answers = cross_answers.unwrap_or(self.cross_answers);
        self.delay_answers_ms = delay_answers_ms.unwrap_or(self.delay_answers_ms);
        self.fail_load_percent = fail_load_percent.unwrap_or(self.fail_load_percent);
        self.fail_loads = fail_loads.unwrap_or(self.fail_loads);
        self.leaving = leaving.unwrap_or(self.leaving);
        self.wrong_model = wrong_model.unwrap_or(self.wrong_model);
    }
}
