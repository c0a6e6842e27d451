//! The retry budget: limits retries to a share of requests, so that retries
//! can't amplify an overload.

/// Capacity of the budget: the retries that this many requests add.
const CAPACITY_REQUESTS: f64 = 200.0;

/// A token bucket of retries, filled by the first attempts of requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    per_request: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Creates a full budget of `percent` retries for each 100 requests.
    #[must_use]
    pub fn new(percent: u32) -> Self {
        let per_request = f64::from(percent) / 100.0;
        Self {
            per_request,
            tokens: per_request * CAPACITY_REQUESTS,
        }
    }

    /// Adds the share of one request, at its first attempt.
    pub fn record_call(&mut self) {
        let capacity = self.per_request * CAPACITY_REQUESTS;
        self.tokens = (self.tokens + self.per_request).min(capacity);
    }

    /// Takes one retry from the budget; returns `false` if none is left.
    pub fn try_withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
