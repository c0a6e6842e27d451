//! Limits on the rate of requests, so that one member's burst does not stall
//! another's.

use crate::ids::Now;
use reedford_rules::{Class, LimitRule, LimitScope};
use std::collections::BTreeMap;
use std::time::Duration;

/// Answer to a request for room under a limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Limited {
    /// There is room.
    Admitted,
    /// There is none before this time has passed.
    Wait(Duration),
}

/// A token bucket.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    tokens: f64,
    at: Now,
}

impl Bucket {
    /// A bucket that holds `tokens`.
    #[must_use]
    pub fn new(tokens: f64, now: Now) -> Self {
        Self { tokens, at: now }
    }

    /// Adds what has come in since the last call.
    pub fn refill(&mut self, now: Now, per_s: f64, most: f64) {
        let gained = now.saturating_sub(self.at).as_secs_f64() * per_s;
        self.tokens = (self.tokens + gained).min(most);
        self.at = self.at.max(now);
    }

    /// Whether there is a token to take.
    #[must_use]
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes one token; answers whether there was one.
    pub fn take(&mut self) -> bool {
        if !self.has_token() {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Time until there is one token.
    #[must_use]
    pub fn wait(&self, per_s: f64) -> Duration {
        if per_s <= 0.0 {
            return Duration::MAX;
        }
        Duration::from_secs_f64(((1.0 - self.tokens) / per_s).max(0.0))
    }

    /// Tokens held.
    #[must_use]
    pub fn tokens(&self) -> f64 {
        self.tokens
    }
}

/// The limits of an entry instance.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    rules: BTreeMap<LimitScope, LimitRule>,
    adapters: BTreeMap<Box<str>, Bucket>,
    classes: BTreeMap<Class, Bucket>,
}

impl Limits {
    /// Puts new rules in force; what is used up stays used up.
    pub fn set_rules(&mut self, rules: &BTreeMap<LimitScope, LimitRule>) {
        self.rules.clone_from(rules);
    }

    /// Takes room for one request, under all limits on it or under none.
    pub fn admit(&mut self, adapter: &str, class: Class, now: Now) -> Limited {
        let adapter_rule = self.adapter_rule(adapter);
        let class_rule = self.rules.get(&LimitScope::Class(class)).copied();
        let by_adapter =
            adapter_rule.map(|rule| limit(&mut self.adapters, adapter.into(), rule, now));
        let by_class = class_rule.map(|rule| limit(&mut self.classes, class, rule, now));
        let limits: Vec<Limit<'_>> = by_adapter.into_iter().chain(by_class).collect();
        if limits.iter().all(|limit| limit.bucket.has_token()) {
            for limit in limits {
                limit.bucket.take();
            }
            return Limited::Admitted;
        }
        let waits = limits.iter().map(|limit| limit.bucket.wait(limit.per_s));
        Limited::Wait(waits.max().unwrap_or(Duration::ZERO))
    }

    /// Forgets buckets that are full again.
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

/// A limit that a request falls under.
struct Limit<'a> {
    bucket: &'a mut Bucket,
    per_s: f64,
}

/// The bucket under `key`, with all that has come in; a new one is full.
fn limit<K>(buckets: &mut BTreeMap<K, Bucket>, key: K, rule: LimitRule, now: Now) -> Limit<'_>
where
    K: Ord,
{
    let per_s = f64::from(rule.rate);
    let burst = f64::from(rule.burst);
    let bucket = buckets.entry(key).or_insert(Bucket::new(burst, now));
    bucket.refill(now, per_s, burst);
    Limit { bucket, per_s }
}
