//! Checks of requests against the rules in force.

use super::refusals::{fault_refusal, not_run};
use super::{Traffic, lock};
use reedford_core::AdapterVersion;
use reedford_core::limits::LimitDecision;
use reedford_front::{CallOptions, CallRefusal, ChatCall, RefusalCode};
use reedford_rules::{Class, GroupRule, RulesDocument};
use reedford_settings::ms;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A chat request that the rules allow.
#[derive(Clone, Debug)]
pub(super) struct ChatJob {
    pub(super) target: AdapterVersion,
    pub(super) group: Box<str>,
    pub(super) rule: GroupRule,
    pub(super) class: Class,
    pub(super) repeatable: bool,
    /// Expected generation time, if the request limits its tokens.
    pub(super) expected: Option<Duration>,
    pub(super) deadline: Instant,
    pub(super) traceparent: Option<Box<str>>,
    pub(super) revision: u64,
}

impl ChatJob {
    /// Returns the time left until the deadline.
    pub(super) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// Checks a chat request.
///
/// # Errors
/// Returns the refusal for the caller. Nothing has been sent or written by then.
pub(super) fn check_chat(traffic: &Traffic, call: &ChatCall) -> Result<ChatJob, CallRefusal> {
    let doc = rules_in_force(traffic)?;
    let rules = &doc.rules;
    let adapter = rules.adapters.get(&call.adapter).ok_or_else(|| {
        CallRefusal::bad_request(
            RefusalCode::UnknownAdapter,
            &format!("no adapter is named {}", call.adapter),
        )
    })?;
    if !adapter.versions.contains(&call.version) {
        let message = format!("adapter {} has no version {}", call.adapter, call.version);
        return Err(CallRefusal::bad_request(
            RefusalCode::UnknownVersion,
            &message,
        ));
    }
    let rule = rules.groups.get(&adapter.group).cloned();
    let rule =
        rule.ok_or_else(|| fault_refusal(RefusalCode::NoWorker, "the adapter's group is gone"))?;
    let options = &call.options;
    let repeatable = adapter.repeatable && options.repeatable.unwrap_or(true);
    require_key(repeatable, options)?;
    apply_rate_limits(traffic, &doc, &call.adapter, options.class)?;
    lock(&traffic.frequency).record(&call.adapter, 1, traffic.clock.now());
    Ok(ChatJob {
        target: AdapterVersion::new(&call.adapter, &call.version),
        group: adapter.group.clone(),
        rule,
        class: options.class,
        repeatable,
        expected: call
            .request
            .max_tokens
            .map(|tokens| traffic.token_time.expected(tokens)),
        deadline: deadline(traffic, options),
        traceparent: options.traceparent.clone(),
        revision: doc.revision,
    })
}

/// Returns the rules in force.
///
/// # Errors
/// If there are none yet or this instance is stopping.
pub(super) fn rules_in_force(traffic: &Traffic) -> Result<Arc<RulesDocument>, CallRefusal> {
    if traffic.stopping.is_cancelled() {
        return Err(fault_refusal(
            RefusalCode::Stopping,
            "this instance is stopping",
        ));
    }
    let doc = traffic.rules_document();
    doc.ok_or_else(|| fault_refusal(RefusalCode::NotReady, "this instance has no rules yet"))
}

/// Checks that a request that is not repeatable has an idempotency key.
///
/// # Errors
/// If the key is missing.
pub(super) fn require_key(repeatable: bool, options: &CallOptions) -> Result<(), CallRefusal> {
    if repeatable || options.idempotency_key.is_some() {
        return Ok(());
    }
    let message = "a request that may not be repeated needs an Idempotency-Key";
    Err(CallRefusal::bad_request(RefusalCode::KeyRequired, message))
}

/// Counts a request against the rate limits.
///
/// # Errors
/// If a limit is used up.
pub(super) fn apply_rate_limits(
    traffic: &Traffic,
    doc: &RulesDocument,
    name: &str,
    class: Class,
) -> Result<(), CallRefusal> {
    if doc.rules.limits.is_empty() {
        return Ok(());
    }
    let now = traffic.clock.now();
    let mut limits = lock(&traffic.limits);
    limits.set_rules(&doc.rules.limits);
    match limits.admit(name, class, now) {
        LimitDecision::Admitted => Ok(()),
        LimitDecision::Wait(wait) => Err(not_run(
            RefusalCode::LimitExceeded,
            "the limit is used up",
            wait,
        )),
    }
}

/// Returns the time by which the response must be complete.
pub(super) fn deadline(traffic: &Traffic, options: &CallOptions) -> Instant {
    let timeouts = &traffic.cfg.timeouts;
    let requested = options.deadline.unwrap_or(ms(timeouts.request_ms));
    Instant::now() + requested.min(ms(timeouts.request_max_ms))
}
