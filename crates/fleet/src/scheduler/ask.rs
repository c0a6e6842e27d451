//! What nodes ask of a scheduler, and its answers.

use super::AdapterKey;
use crate::{AdapterName, InstanceId, ModelName, Now, ServiceName, WeightVersion};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Identifies one sending of a call, over all nodes.
pub type CallId = Box<str>;

/// A call that needs a place.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    /// This sending of the call.
    pub call: CallId,
    /// Service that runs it.
    pub service: ServiceName,
    /// Its base model.
    pub model: ModelName,
    /// Its adapter; `None` for the base model itself.
    pub adapter: Option<AdapterName>,
    /// Tokens of the prompt.
    pub tokens: u32,
    /// Most tokens of the answer.
    pub output: u32,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// When the first token is due.
    pub objective: Now,
    /// When nobody waits for the answer any more.
    pub deadline: Now,
    /// Instances that must not be chosen.
    pub avoid: BTreeSet<InstanceId>,
}

impl Ask {
    /// The adapter with its base model.
    #[must_use]
    pub fn key(&self) -> Option<AdapterKey> {
        let adapter = self.adapter.clone()?;
        Some(AdapterKey {
            model: self.model.clone(),
            adapter,
        })
    }
}

/// Leave to send a call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// The call.
    pub call: CallId,
    /// Where to send it.
    pub instance: InstanceId,
    /// Address of the instance.
    pub addr: SocketAddr,
    /// Version of the adapter that it holds, when known.
    pub version: Option<WeightVersion>,
}

/// Word that a call does not run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// The call.
    pub call: CallId,
    /// Why.
    pub reason: RefusalReason,
    /// When another try makes sense.
    pub retry_after: Duration,
}

/// Why a call is refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RefusalReason {
    /// The first token would come too late for its use.
    Overload,
    /// The deadline can't be met any more.
    Deadline,
    /// No engine can be used.
    NoEngine,
}

impl RefusalReason {
    /// Name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Overload => "overload",
            Self::Deadline => "deadline",
            Self::NoEngine => "no_engine",
        }
    }
}

/// What became of a granted call.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Progress {
    /// Its first event came.
    Started,
    /// It ended, well or not.
    Ended,
    /// The engine refused it; it did not run.
    Rejected(Rejection),
}

/// Why an engine refused a call.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Rejection {
    /// It has not got the model, the adapter or the version.
    Missing,
    /// It is full, or can't take it now.
    Full,
    /// It could not be reached.
    Unreachable,
}
