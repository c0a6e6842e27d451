//! Placement requests of nodes, and the scheduler's responses.

use super::AdapterKey;
use crate::workspaces::WorkspaceName;
use crate::{AdapterName, InstanceId, ModelName, Now, ServiceName, SoftwareVersion, WeightVersion};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Identifies one placement of a call, unique over all nodes. A call that is tried
/// at several instances has one for each attempt. Fields named `call` hold it.
pub type PlacementId = Box<str>;

/// A part of a prompt, which other prompts may share.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PromptPart {
    /// Identifies its text.
    pub id: u64,
    /// Number of tokens.
    pub tokens: u32,
}

/// A request to place a call on an engine. The gateway's `PlaceRequest` is its
/// form between nodes, with relative times.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementRequest {
    /// Id of the placement.
    pub call: PlacementId,
    /// Service that runs the call.
    pub service: ServiceName,
    /// Base model of the call.
    pub model: ModelName,
    /// Adapter of the call; `None` for the base model itself.
    pub adapter: Option<AdapterName>,
    /// Prompt tokens.
    pub tokens: u32,
    /// Parts of the prompt in order; empty if they are not known.
    pub parts: Vec<PromptPart>,
    /// Maximum tokens of the response.
    pub output: u32,
    /// Priority of the route; 0 is the most urgent.
    pub priority: u8,
    /// The caller's workspace, if the configuration has any.
    pub workspace: Option<WorkspaceName>,
    /// Priority of the workspace, which goes before that of the route.
    pub workspace_priority: Option<u8>,
    /// Target for the longest gap between two events of the stream.
    pub max_gap: Option<Duration>,
    /// When the first token is due.
    pub objective_at: Now,
    /// When the caller gives up unless it got the first token.
    pub first_token_by: Now,
    /// When the caller stops waiting for the response.
    pub deadline: Now,
    /// Instances that must not be selected.
    pub avoid: BTreeSet<InstanceId>,
    /// Software version that the engine must have, to resume a stream.
    pub software: Option<SoftwareVersion>,
}

impl PlacementRequest {
    /// Returns the adapter with its base model.
    #[must_use]
    pub fn key(&self) -> Option<AdapterKey> {
        let adapter = self.adapter.clone()?;
        Some(AdapterKey {
            model: self.model.clone(),
            adapter,
        })
    }
}

/// A running call that another coordinator granted.
#[derive(Clone, Debug, PartialEq)]
pub struct RunningCall {
    /// Id of the placement.
    pub call: PlacementId,
    /// Engine that runs the call.
    pub instance: InstanceId,
    /// Adapter of the call; `None` for the base model itself.
    pub key: Option<AdapterKey>,
    /// Prompt tokens.
    pub tokens: u32,
    /// Maximum tokens of the response.
    pub output: u32,
    /// Whether the first token came.
    pub started: bool,
    /// When the caller stops waiting for the response.
    pub deadline: Now,
}

/// Permission to send a call to an instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// Id of the placement.
    pub call: PlacementId,
    /// Instance to send the call to.
    pub instance: InstanceId,
    /// Address of the instance.
    pub addr: SocketAddr,
    /// Start time of the instance's incarnation, in Unix milliseconds.
    pub born: u64,
    /// Version of the adapter on the instance, if known.
    pub version: Option<WeightVersion>,
}

/// Refusal of a call, which then does not run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// Id of the placement.
    pub call: PlacementId,
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Time after which the caller should retry.
    pub retry_after: Duration,
}

/// Why a call is refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RefusalReason {
    /// The expected wait exceeds the share of the remaining time that a call may
    /// wait; see [`Limits::max_wait_share`](super::Limits::max_wait_share).
    Overload,
    /// The first token can no longer come before the deadline.
    Deadline,
    /// No engine is available.
    NoEngine,
    /// The call resumes a stream, and it isn't known which of several software
    /// versions began it.
    UnknownVersion,
    /// The call resumes a stream, and no instance of the software version that
    /// began it accepts calls.
    VersionGone,
    /// All instances asked the calling node to send nothing for a time.
    Held,
    /// Instances crash under a part of the call's prompt.
    Quarantined,
    /// The caller's workspace has used up its limit.
    Limit,
    /// It isn't known whether the caller's workspace has used up its limit.
    LimitUnknown,
    /// The caller's key was withdrawn since the call arrived.
    KeyWithdrawn,
    /// The caller's key was moved to another workspace since the call arrived.
    KeyMoved,
    /// The node that the caller reached stops before the call could end. No other node
    /// gives this reason.
    Stopping,
}

impl RefusalReason {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Overload => "overload",
            Self::Deadline => "deadline",
            Self::NoEngine => "no_engine",
            Self::UnknownVersion => "unknown_version",
            Self::VersionGone => "version_gone",
            Self::Held => "held",
            Self::Quarantined => "quarantined",
            Self::Limit => "limit",
            Self::LimitUnknown => "limit_unknown",
            Self::KeyWithdrawn => "key_withdrawn",
            Self::KeyMoved => "key_moved",
            Self::Stopping => "stopping",
        }
    }
}

/// What a node has observed of an engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Observation {
    /// The engine.
    pub instance: InstanceId,
    /// How much longer work takes on its machine than usually, if it states that.
    #[serde(default)]
    pub slowdown: Option<f64>,
    /// Whether a stream that has ended there exceeded the gap that its route allows.
    #[serde(default)]
    pub exceeded_gap: Option<bool>,
}

/// Progress of a granted call.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Progress {
    /// The first event of the response arrived.
    Started,
    /// The call ended, successfully or not.
    Ended,
    /// The granted call did not run.
    Rejected(Rejection),
}

/// Why a granted call did not run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Rejection {
    /// The engine does not hold the model, the adapter or the version.
    Missing,
    /// The engine is full or temporarily can't accept the call.
    Full,
    /// The engine could not be reached, or the grant was given back because the
    /// engine is leaving.
    Unreachable,
}
