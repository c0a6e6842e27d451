//! The experiment file: workload, entry instances and limits of a run.

mod names;

pub use names::{Model, Names, NamesError};

use crate::load::balancer::{Entry, Spread};
use crate::load::floor::LoadLimits;
use crate::load::workload::{Workload, WorkloadError};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// An experiment, read from YAML.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name in reports.
    pub name: Box<str>,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Names of the adapters.
    pub names: Names,
    /// Entry instances.
    pub entries: Vec<Entry>,
    /// How requests are spread over the entry instances.
    #[serde(default)]
    pub spread: Spread,
    /// Model engines, whose counters are read.
    #[serde(default)]
    pub engines: Vec<SocketAddr>,
    /// Limits on loads, for the floor.
    pub limits: LoadLimits,
    /// Whether each refused request is retried once, after the refusal's retry
    /// time.
    #[serde(default)]
    pub come_back: bool,
    /// 99th percentile of the send lag in milliseconds above which a run
    /// counts as limited by the machine.
    #[serde(default = "default_send_lag_limit_ms")]
    pub send_lag_limit_ms: u64,
    /// The generated requests.
    pub workload: Workload,
}

/// Values from the command line that replace those of an experiment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Overrides {
    /// Seed of the arrivals.
    pub seed: Option<u64>,
    /// Mean arrivals per second.
    pub rate: Option<f64>,
    /// Exponent of the popularity of adapters.
    pub zipf_exponent: Option<f64>,
    /// Duration in seconds.
    pub duration_s: Option<f64>,
    /// Warm-up in seconds.
    pub warmup_s: Option<f64>,
}

/// Reason why an experiment can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// The file can't be read.
    #[error("{path}: {error}")]
    Read {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        #[source]
        error: std::io::Error,
    },
    /// The file isn't an experiment.
    #[error("{path}: {message}")]
    Format {
        /// The file.
        path: PathBuf,
        /// The parse error, with its position.
        message: Box<str>,
    },
    /// The workload can't be used.
    #[error(transparent)]
    Workload(#[from] WorkloadError),
    /// A value can't be used.
    #[error("{field}: {reason}")]
    Value {
        /// Path of the field.
        field: &'static str,
        /// Requirement that the value does not meet.
        reason: &'static str,
    },
}

impl Experiment {
    /// Reads an experiment file and checks it.
    ///
    /// # Errors
    /// When the file can't be read, isn't an experiment, or has a value that
    /// can't be used.
    pub fn read(path: &Path, overrides: Overrides) -> Result<Self, ExperimentError> {
        let text = std::fs::read_to_string(path).map_err(|error| ExperimentError::Read {
            path: path.into(),
            error,
        })?;
        let mut experiment = Self::parse(&text).map_err(|message| ExperimentError::Format {
            path: path.into(),
            message,
        })?;
        let dir = path.parent().unwrap_or(Path::new(""));
        experiment.names.resolve(dir);
        experiment.apply(overrides);
        experiment.check()?;
        Ok(experiment)
    }

    /// Parses an experiment, without checking its values.
    ///
    /// # Errors
    /// The parse error, with its position.
    pub fn parse(text: &str) -> Result<Self, Box<str>> {
        serde_saphyr::from_str(text).map_err(|error| error.to_string().into())
    }

    /// Checks the values.
    ///
    /// # Errors
    /// The first value that can't be used.
    pub fn check(&self) -> Result<(), ExperimentError> {
        self.workload.check()?;
        require(!self.entries.is_empty(), "entries", "must not be empty")?;
        require(self.limits.slots > 0, "limits.slots", "must be above 0")?;
        let rate = self.limits.per_s.is_finite() && self.limits.per_s > 0.0;
        require(rate, "limits.per_s", "must be above 0")?;
        let in_flight = self.limits.in_flight > 0;
        require(in_flight, "limits.in_flight", "must be above 0")
    }

    /// Replaces the values that `overrides` contains.
    pub fn apply(&mut self, overrides: Overrides) {
        self.seed = overrides.seed.unwrap_or(self.seed);
        let workload = &mut self.workload;
        workload.rate = overrides.rate.unwrap_or(workload.rate);
        let exponent = overrides.zipf_exponent;
        workload.zipf_exponent = exponent.unwrap_or(workload.zipf_exponent);
        workload.duration_s = overrides.duration_s.unwrap_or(workload.duration_s);
        workload.warmup_s = overrides.warmup_s.unwrap_or(workload.warmup_s);
    }

    /// Returns the send lag above which a run counts as limited by the machine.
    #[must_use]
    pub const fn send_lag_limit(&self) -> Duration {
        Duration::from_millis(self.send_lag_limit_ms)
    }
}

const fn default_send_lag_limit_ms() -> u64 {
    20
}

fn require(
    condition: bool,
    field: &'static str,
    reason: &'static str,
) -> Result<(), ExperimentError> {
    match condition {
        true => Ok(()),
        false => Err(ExperimentError::Value { field, reason }),
    }
}
