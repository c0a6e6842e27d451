//! The history of one test of a whole site: the calls with their outcomes as
//! the callers saw them, and the runs (executions of calls) that the targets
//! recorded. [`check`] compares the two and returns the guarantees that are
//! broken.
//!
//! Each call carries a unique marker in its prompt or body; only a retry under
//! the same idempotency key repeats it. Targets record the marker, so every
//! run can be traced to its call independently of attempt ids.

mod check;
mod recorder;
mod register;

pub use check::{BrokenGuarantee, check};
pub use recorder::{Recorder, collect_runs};
pub use register::{CasOperation, keys_linearizable, revisions_linearizable};

use crate::load::response::ResponseViolation;

/// Text that identifies the call of a run.
pub type Marker = Box<str>;
/// Position in the sequence of all starts and ends of calls.
pub type Position = usize;

/// Kind of a call.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum CallKind {
    /// A model request whose response is not streamed.
    Whole,
    /// A model request with a streamed response.
    Streamed,
    /// A call of a plain service.
    Plain,
}

/// A call as its caller sends it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallRequest {
    /// Kind of the call.
    pub kind: CallKind,
    /// `adapter@version`, or the name and path of a plain service.
    pub name: Box<str>,
    /// The marker.
    pub marker: Marker,
    /// Idempotency key, for a call that may run at most once.
    pub key: Option<Box<str>>,
    /// Name of the entry instance that the call is sent to.
    pub entry: Box<str>,
}

/// Outcome of a call as its caller saw it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum CallOutcome {
    /// The complete response was received.
    Done,
    /// The call was refused and did not run.
    NotRun,
    /// The call failed and may have run.
    Unknown,
    /// The call was refused as invalid or not permitted and did not run.
    BadRequest,
    /// The connection could not be opened.
    NotConnected,
    /// The connection closed before the response was complete.
    Cut,
    /// The caller's timeout expired before the response was complete.
    NoAnswer,
    /// The response is neither a valid result nor a valid refusal.
    Unreadable,
}

/// A call that has ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallRecord {
    /// The call as it was sent.
    pub request: CallRequest,
    /// Its outcome.
    pub outcome: CallOutcome,
    /// Code of a refusal, otherwise empty.
    pub code: Box<str>,
    /// Whether a refusal states when to retry.
    pub has_retry_after: bool,
    /// Attempt id of the response, empty if it has none.
    pub attempt: Box<str>,
    /// Violations that the response shows without knowledge of the runs.
    pub violations: Vec<ResponseViolation>,
    /// Position of the start of the call.
    pub began: Position,
    /// Position of the end of the call.
    pub ended: Position,
}

/// A run that a target recorded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetRun {
    /// Name of the target.
    pub target: Box<str>,
    /// Attempt id of the run.
    pub attempt: Box<str>,
    /// Marker of the call.
    pub marker: Marker,
    /// Adapter version or path that ran, in the form of [`CallRequest::name`].
    pub name: Box<str>,
    /// Whether the run was completed.
    pub finished: bool,
    /// Time of the start in milliseconds of Unix time.
    pub started_unix_ms: u64,
}

/// A target that was marked leaving.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeavingTarget {
    /// Name of the target.
    pub target: Box<str>,
    /// Time in milliseconds of Unix time after which no run may start there.
    pub closed_unix_ms: u64,
}

/// Rules revisions in force at an instance, from its start to its stop.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InstanceRevisions {
    /// Name of the instance.
    pub instance: Box<str>,
    /// The revisions in the order of observation.
    pub seen: Vec<u64>,
}

/// Record of one test of a whole site.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct History {
    /// Calls that have ended.
    pub calls: Vec<CallRecord>,
    /// Runs at all targets.
    pub runs: Vec<TargetRun>,
    /// Violations that targets recorded, as text.
    pub violations: Vec<Box<str>>,
    /// Targets that were marked leaving.
    pub leaving: Vec<LeavingTarget>,
    /// Entry instances that were stopped gracefully.
    pub stopped: Vec<Box<str>>,
    /// Rules revisions observed at each instance.
    pub revisions: Vec<InstanceRevisions>,
    /// The revision that must be in force at every instance at the end, if
    /// that is to be checked.
    pub last_revision: Option<u64>,
}
