//! Rate limits by adapter or plain service, and by class, so that a burst of
//! requests for one does not delay the requests for others.

use crate::ids::Now;
use reedford_rules::{Class, LimitRule, LimitScope};
use std::collections::BTreeMap;
use std::time::Duration;

/// Whether the rate limits admit a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitDecision {
    /// The request is admitted.
    Admitted,
    /// The request exceeds a limit and would be admitted after this time.
    Wait(Duration),
}

/// A token bucket.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    tokens: f64,
    refilled_at: Now,
}

impl TokenBucket {
    /// Creates a bucket that holds `tokens`.
    #[must_use]
    pub fn new(tokens: f64, now: Now) -> Self {
        Self {
            tokens,
            refilled_at: now,
        }
    }

    /// Adds the tokens gained since the last call, up to `capacity`.
    pub fn refill(&mut self, now: Now, per_s: f64, capacity: f64) {
        let gained = now.saturating_sub(self.refilled_at).as_secs_f64() * per_s;
        self.tokens = (self.tokens + gained).min(capacity);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Returns whether the bucket holds at least one token.
    #[must_use]
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes one token; returns `false` if there is none.
    pub fn try_take(&mut self) -> bool {
        if !self.has_token() {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns the time until the bucket holds one token.
    #[must_use]
    pub fn time_to_token(&self, per_s: f64) -> Duration {
        if per_s <= 0.0 {
            return Duration::MAX;
        }
        Duration::from_secs_f64(((1.0 - self.tokens) / per_s).max(0.0))
    }

    /// Returns the number of tokens held.
    #[must_use]
    pub fn tokens(&self) -> f64 {
        self.tokens
    }
}

/// The rate limits of an entry instance.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    rules: BTreeMap<LimitScope, LimitRule>,
    adapters: BTreeMap<Box<str>, TokenBucket>,
    classes: BTreeMap<Class, TokenBucket>,
}

impl Limits {
    /// Replaces the rules; existing buckets keep their tokens.
    pub fn set_rules(&mut self, rules: &BTreeMap<LimitScope, LimitRule>) {
        self.rules.clone_from(rules);
    }

    /// Admits one request for the adapter or plain service `name` if all limits
    /// on it allow it. Takes a token from each of their buckets, or from none.
    pub fn admit(&mut self, name: &str, class: Class, now: Now) -> LimitDecision {
        let adapter_rule = self.adapter_rule(name);
        let class_rule = self.rules.get(&LimitScope::Class(class)).copied();
        let by_adapter =
            adapter_rule.map(|rule| limit_for(&mut self.adapters, name.into(), rule, now));
        let by_class = class_rule.map(|rule| limit_for(&mut self.classes, class, rule, now));
        let limits: Vec<Limit<'_>> = by_adapter.into_iter().chain(by_class).collect();
        if limits.iter().all(|limit| limit.bucket.has_token()) {
            for limit in limits {
                limit.bucket.try_take();
            }
            return LimitDecision::Admitted;
        }
        let waits = limits
            .iter()
            .map(|limit| limit.bucket.time_to_token(limit.per_s));
        LimitDecision::Wait(waits.max().unwrap_or(Duration::ZERO))
    }

    /// Drops the buckets of adapters and plain services that are full again or
    /// have no rule.
    pub fn prune(&mut self, now: Now) {
        let rules = std::mem::take(&mut self.rules);
        let each = rules.get(&LimitScope::EachAdapter).copied();
        self.adapters.retain(|adapter, bucket| {
            let own = rules.get(&LimitScope::Adapter(adapter.clone())).copied();
            let Some(rule) = own.or(each) else {
                return false;
            };
            bucket.refill(now, f64::from(rule.rate), f64::from(rule.burst));
            bucket.tokens() < f64::from(rule.burst)
        });
        self.rules = rules;
    }

    fn adapter_rule(&self, adapter: &str) -> Option<LimitRule> {
        let own = self.rules.get(&LimitScope::Adapter(adapter.into()));
        own.or_else(|| self.rules.get(&LimitScope::EachAdapter))
            .copied()
    }
}

/// A limit that applies to a request.
struct Limit<'a> {
    bucket: &'a mut TokenBucket,
    per_s: f64,
}

/// Returns the limit under `key` with its bucket refilled; a new bucket is full.
fn limit_for<K>(
    buckets: &mut BTreeMap<K, TokenBucket>,
    key: K,
    rule: LimitRule,
    now: Now,
) -> Limit<'_>
where
    K: Ord,
{
    let per_s = f64::from(rule.rate);
    let burst = f64::from(rule.burst);
    let bucket = buckets.entry(key).or_insert(TokenBucket::new(burst, now));
    bucket.refill(now, per_s, burst);
    Limit { bucket, per_s }
}
