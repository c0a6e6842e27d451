//! Rate limits, the retry budget and request counts.

use reedford_core::Now;
use reedford_core::frequency::Frequency;
use reedford_core::limits::{LimitDecision, Limits};
use reedford_core::retry::RetryBudget;
use reedford_rules::{Class, LimitRule, LimitScope};
use std::collections::BTreeMap;
use std::time::Duration;
use test_case::test_case;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn limits(rules: &[(LimitScope, u32, u32)]) -> Limits {
    let mut limits = Limits::default();
    limits.set_rules(&rule_map(rules));
    limits
}

fn rule_map(rules: &[(LimitScope, u32, u32)]) -> BTreeMap<LimitScope, LimitRule> {
    let rules = rules.iter().map(|(scope, rate, burst)| {
        let rule = LimitRule {
            rate: *rate,
            burst: *burst,
        };
        (scope.clone(), rule)
    });
    rules.collect()
}

/// Returns the number of lookups for `a` that are admitted at `now`.
fn admitted(limits: &mut Limits, now: Now) -> u32 {
    let admit =
        |limits: &mut Limits| limits.admit("a", Class::Lookup, now) == LimitDecision::Admitted;
    (0..100).take_while(|_| admit(limits)).count() as u32
}

#[test_case(&[], 100; "no rule")]
#[test_case(&[(LimitScope::EachAdapter, 1, 5)], 5; "each adapter")]
#[test_case(&[(LimitScope::EachAdapter, 1, 5), (LimitScope::Adapter("a".into()), 1, 9)], 9;
    "the adapter's own rule takes precedence")]
#[test_case(&[(LimitScope::Adapter("b".into()), 1, 5)], 100; "a rule for another adapter")]
#[test_case(&[(LimitScope::Class(Class::Lookup), 1, 4)], 4; "the rule of its class")]
#[test_case(&[(LimitScope::Class(Class::Writing), 1, 4)], 100; "a rule for another class")]
#[test_case(&[(LimitScope::EachAdapter, 1, 5), (LimitScope::Class(Class::Lookup), 1, 4)], 4;
    "the lower of both limits")]
fn a_burst_is_admitted_up_to_the_rule(rules: &[(LimitScope, u32, u32)], burst: u32) {
    assert_eq!(admitted(&mut limits(rules), ms(0)), burst);
}

#[test]
fn tokens_return_at_the_rate_and_the_refusal_names_the_wait() {
    let mut limits = limits(&[(LimitScope::EachAdapter, 4, 2)]);
    assert_eq!(admitted(&mut limits, ms(0)), 2);
    let decision = limits.admit("a", Class::Lookup, ms(100));
    assert_eq!(decision, LimitDecision::Wait(ms(150)));
    assert_eq!(admitted(&mut limits, ms(250)), 1);
    assert_eq!(
        admitted(&mut limits, ms(60_000)),
        2,
        "never more than the burst"
    );
    assert_eq!(
        limits.admit("b", Class::Lookup, ms(60_000)),
        LimitDecision::Admitted
    );
}

#[test]
fn a_request_refused_by_its_class_takes_no_token_of_its_adapter() {
    let class = LimitScope::Class(Class::Lookup);
    let mut limits = limits(&[(LimitScope::EachAdapter, 1, 5), (class, 1, 2)]);
    assert_eq!(admitted(&mut limits, ms(0)), 2);
    for _ in 0..10 {
        let decision = limits.admit("a", Class::Lookup, ms(0));
        assert_eq!(decision, LimitDecision::Wait(ms(1_000)));
    }
    let others =
        (0..10).filter(|_| limits.admit("a", Class::Standard, ms(0)) == LimitDecision::Admitted);
    assert_eq!(others.count(), 3);
}

#[test]
fn used_tokens_stay_used_through_new_rules_and_pruning() {
    let mut limits = limits(&[(LimitScope::EachAdapter, 1, 5)]);
    assert_eq!(admitted(&mut limits, ms(0)), 5);
    limits.set_rules(&rule_map(&[(LimitScope::EachAdapter, 1, 9)]));
    limits.prune(ms(0));
    assert_eq!(admitted(&mut limits, ms(2_000)), 2);
    limits.prune(ms(60_000));
    assert_eq!(admitted(&mut limits, ms(60_000)), 9);
}

/// Retries per 100 requests, the initial budget, a number of requests, and the
/// retries that these requests add to the budget.
#[test_case(10, 20, 100, 10)]
#[test_case(100, 200, 7, 7)]
#[test_case(0, 0, 1_000, 0; "none are allowed")]
fn retries_are_a_share_of_requests(percent: u32, initial: u32, requests: u32, retries: u32) {
    let mut budget = RetryBudget::new(percent);
    let spend =
        |budget: &mut RetryBudget| (0..1_000).take_while(|_| budget.try_withdraw()).count() as u32;
    assert_eq!(spend(&mut budget), initial);
    for _ in 0..requests {
        budget.record_call();
    }
    assert!(spend(&mut budget).abs_diff(retries) <= 1);
    for _ in 0..10_000 {
        budget.record_call();
    }
    assert!(
        spend(&mut budget).abs_diff(initial) <= 1,
        "the budget does not grow beyond its capacity"
    );
}

#[test]
fn counts_halve_every_half_life_and_are_dropped() {
    let mut frequency = Frequency::new(ms(10_000));
    for _ in 0..4 {
        frequency.record("a", 1, ms(0));
    }
    frequency.record("b", 1, ms(0));
    let count = |f: &Frequency, name: &str, now| (f.count(name, now) * 100.0).round() as u32;
    assert_eq!(count(&frequency, "a", ms(0)), 400);
    assert_eq!(count(&frequency, "a", ms(10_000)), 200);
    assert_eq!(count(&frequency, "a", ms(20_000)), 100);
    assert_eq!(count(&frequency, "c", ms(0)), 0);
    frequency.prune(ms(70_000));
    assert_eq!(frequency.len(), 1, "the count below the minimum is dropped");
    frequency.record("a", 1, ms(80_000));
    assert_eq!(count(&frequency, "a", ms(80_000)), 102);
    frequency.prune(ms(1_000_000));
    assert!(frequency.is_empty());
}
