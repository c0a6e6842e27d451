//! Distribution of the generated requests; a seed determines the arrivals,
//! without I/O.

mod generator;

use generator::Generator;
use reedford_rules::Class;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Position of an adapter in the experiment's list of names.
pub type AdapterIndex = usize;
/// Position of a class in [`Workload::classes`].
pub type ClassIndex = usize;

/// Distribution of the generated requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Seconds during which requests arrive.
    pub duration_s: f64,
    /// Seconds at the start whose arrivals are sent but not counted.
    #[serde(default)]
    pub warmup_s: f64,
    /// Mean arrivals per second.
    pub rate: f64,
    /// Number of adapters.
    pub adapters: usize,
    /// Exponent of Zipf's law; 0 makes all adapters equally popular.
    pub zipf_exponent: f64,
    /// Share of the adapters whose popularity changes within an hour. Uniformly
    /// drawn pairs exchange their ranks, as a Poisson process.
    #[serde(default)]
    pub churn_per_hour: f64,
    /// A sudden change of the most popular adapters.
    #[serde(default)]
    pub swap: Option<Swap>,
    /// Classes of requests.
    pub classes: Vec<ClassMix>,
}

/// The most popular adapters exchange ranks with adapters of the less popular
/// half.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Swap {
    /// Time in seconds after the start of the run.
    pub at_s: f64,
    /// Number of the most popular adapters that are exchanged.
    pub top: usize,
}

/// A class of generated requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClassMix {
    /// Name in reports.
    pub name: Box<str>,
    /// Scheduling class, sent in the request's header.
    pub class: Class,
    /// Weight of this class relative to the shares of the others.
    pub share: f64,
    /// Number of tokens to request; unused for plain services.
    #[serde(default)]
    pub tokens: Tokens,
    /// Whether the response is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Deadline in milliseconds after the intended arrival.
    pub deadline_ms: u64,
    /// Whether the request is idempotent.
    pub repeatable: bool,
    /// The plain service to call; absent for a model request.
    #[serde(default)]
    pub plain: Option<PlainCall>,
}

/// Destination of a plain service call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlainCall {
    /// Name of the service.
    pub service: Box<str>,
    /// Path below the service, without a leading slash.
    pub path: Box<str>,
}

/// A bounded log-normal distribution of token counts.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tokens {
    /// Median of the unbounded distribution.
    pub median: f64,
    /// Standard deviation of the logarithm.
    pub sigma: f64,
    /// Lower bound.
    pub min: u32,
    /// Upper bound.
    pub max: u32,
}

impl Default for Tokens {
    fn default() -> Self {
        Self {
            median: 1.0,
            sigma: 0.0,
            min: 1,
            max: 1,
        }
    }
}

/// One request to send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Arrival {
    /// Intended time of sending, after the start of the run.
    pub at: Duration,
    /// Requested adapter; meaningless for plain services.
    pub adapter: AdapterIndex,
    /// Class of the request.
    pub class: ClassIndex,
    /// Number of tokens to request.
    pub tokens: u32,
}

/// A value of the workload that can't be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("workload.{field}: {reason}")]
pub struct WorkloadError {
    /// Path of the field below `workload`.
    pub field: &'static str,
    /// Requirement that the value does not meet.
    pub reason: &'static str,
}

impl Workload {
    /// Checks the values.
    ///
    /// # Errors
    /// The first value that can't be used.
    pub fn check(&self) -> Result<(), WorkloadError> {
        positive(self.duration_s, "duration_s")?;
        positive(self.rate, "rate")?;
        not_negative(self.warmup_s, "warmup_s")?;
        not_negative(self.zipf_exponent, "zipf_exponent")?;
        not_negative(self.churn_per_hour, "churn_per_hour")?;
        require(self.adapters > 0, "adapters", "must be above 0")?;
        let warm = self.warmup_s < self.duration_s;
        require(warm, "warmup_s", "must be below duration_s")?;
        let top = self.swap.map_or(0, |swap| swap.top);
        let fits = top <= self.adapters / 2;
        require(fits, "swap.top", "must be at most half of the adapters")?;
        let at = self.swap.map_or(0.0, |swap| swap.at_s);
        not_negative(at, "swap.at_s")?;
        require(!self.classes.is_empty(), "classes", "must not be empty")?;
        self.classes.iter().try_for_each(ClassMix::check)
    }

    /// Returns the arrivals in order of time. Equal seeds give equal arrivals.
    ///
    /// # Errors
    /// When [`Workload::check`] fails.
    pub fn arrivals(&self, seed: u64) -> Result<Vec<Arrival>, WorkloadError> {
        let mut generator = Generator::new(self, seed)?;
        Ok(std::iter::from_fn(|| generator.next()).collect())
    }

    /// Returns the duration of the counted part of the run.
    #[must_use]
    pub fn counted(&self) -> Duration {
        Duration::from_secs_f64(self.duration_s - self.warmup_s)
    }

    /// Returns the duration of the warm-up, which ends where the counted part
    /// of the run starts.
    #[must_use]
    pub fn warmup(&self) -> Duration {
        Duration::from_secs_f64(self.warmup_s)
    }
}

impl ClassMix {
    /// Returns the time from the intended arrival to the deadline.
    #[must_use]
    pub const fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    fn check(&self) -> Result<(), WorkloadError> {
        positive(self.share, "classes.share")?;
        positive(self.tokens.median, "classes.tokens.median")?;
        not_negative(self.tokens.sigma, "classes.tokens.sigma")?;
        let min = self.tokens.min > 0;
        require(min, "classes.tokens.min", "must be above 0")?;
        let ordered = self.tokens.min <= self.tokens.max;
        require(ordered, "classes.tokens.max", "must be at least min")?;
        require(
            self.deadline_ms > 0,
            "classes.deadline_ms",
            "must be above 0",
        )
    }
}

const fn invalid(field: &'static str, reason: &'static str) -> WorkloadError {
    WorkloadError { field, reason }
}

fn require(
    condition: bool,
    field: &'static str,
    reason: &'static str,
) -> Result<(), WorkloadError> {
    condition.then_some(()).ok_or(invalid(field, reason))
}

fn positive(value: f64, field: &'static str) -> Result<(), WorkloadError> {
    require(value.is_finite() && value > 0.0, field, "must be above 0")
}

fn not_negative(value: f64, field: &'static str) -> Result<(), WorkloadError> {
    require(
        value.is_finite() && value >= 0.0,
        field,
        "must be 0 or above",
    )
}
