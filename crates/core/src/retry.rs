//! The retry budget: retries are a bounded share of requests, so that they
//! can't multiply an overload.

/// Requests' worth of retries that may be saved up.
const RESERVE_REQUESTS: f64 = 200.0;

/// A budget of retries.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    per_request: f64,
    tokens: f64,
}

impl RetryBudget {
    /// A full budget of `percent` retries for each 100 requests.
    #[must_use]
    pub fn new(percent: u32) -> Self {
        let per_request = f64::from(percent) / 100.0;
        Self {
            per_request,
            tokens: per_request * RESERVE_REQUESTS,
        }
    }

    /// Notes a first attempt.
    pub fn on_request(&mut self) {
        let most = self.per_request * RESERVE_REQUESTS;
        self.tokens = (self.tokens + self.per_request).min(most);
    }

    /// Takes one retry from the budget; answers whether there was one.
    pub fn take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
