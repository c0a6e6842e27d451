//! What callers asked and were told, and what targets ran, of one run of a
//! whole site. [`check`] says which promises the two together break.
//!
//! Each call carries a marker in its prompt or body that no other call has,
//! except that a retry under the same key repeats it. Targets record it, so
//! that every run can be led back to its call whatever attempt ids it had.

mod check;
mod recorder;
mod register;

pub use check::{Broken, check};
pub use recorder::{Recorder, collect_runs};
pub use register::{CasOperation, keys_linearizable, revisions_linearizable};

use crate::load::answer::Violation as AnswerFault;

/// Text that ties runs to a call.
pub type Marker = Box<str>;
/// A position in the order in which calls began and ended.
pub type Position = usize;

/// What is asked.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// A model answer in one piece.
    Whole,
    /// A streamed model answer.
    Streamed,
    /// A call of a plain service.
    Plain,
}

/// A call as its caller made it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Asked {
    /// What is asked.
    pub kind: Kind,
    /// `adapter@version`, or the name and path of a plain service.
    pub name: Box<str>,
    /// The marker.
    pub marker: Marker,
    /// The key, for a call that may run only once.
    pub key: Option<Box<str>>,
    /// The entry instance.
    pub entry: Box<str>,
}

/// What a caller was told.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Told {
    /// The whole answer came.
    Done,
    /// It did not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// It can't be understood or allowed; it did not run.
    BadRequest,
    /// The connection was refused.
    NotConnected,
    /// The connection ended before the answer did.
    Cut,
    /// Nothing came for long, and the caller gave up.
    NoAnswer,
    /// The answer can't be read.
    Unreadable,
}

/// A call and its end.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallRecord {
    /// What was asked.
    pub asked: Asked,
    /// What was told.
    pub told: Told,
    /// Code of a refusal, else empty.
    pub code: Box<str>,
    /// Whether a refusal said when to come back.
    pub comes_back: bool,
    /// Attempt id of the answer, empty when none was named.
    pub attempt: Box<str>,
    /// What the answer shows to be wrong by itself.
    pub faults: Vec<AnswerFault>,
    /// When it began.
    pub began: Position,
    /// When it ended.
    pub ended: Position,
}

/// A run at a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ran {
    /// The target.
    pub target: Box<str>,
    /// The attempt id.
    pub attempt: Box<str>,
    /// The marker.
    pub marker: Marker,
    /// What ran, as [`Asked::name`].
    pub name: Box<str>,
    /// Whether it ran to its end.
    pub finished: bool,
    /// Time of the start in milliseconds of Unix time.
    pub started_unix_ms: u64,
}

/// A target that was marked leaving.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Leaving {
    /// The target.
    pub target: Box<str>,
    /// From when on nothing new may start there, in milliseconds of Unix time.
    pub closed_unix_ms: u64,
}

/// Revisions that one run of an instance had in force, in order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Revisions {
    /// The instance.
    pub instance: Box<str>,
    /// The revisions, as they were seen.
    pub seen: Vec<u64>,
}

/// One run of a whole site.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct History {
    /// The calls.
    pub calls: Vec<CallRecord>,
    /// The runs at all targets.
    pub runs: Vec<Ran>,
    /// What targets recorded as never to happen, as text.
    pub violations: Vec<Box<str>>,
    /// Targets that were marked leaving.
    pub leaving: Vec<Leaving>,
    /// Entry instances that were stopped gracefully.
    pub stopped: Vec<Box<str>>,
    /// Revisions seen at each instance.
    pub revisions: Vec<Revisions>,
    /// The revision that must be in force everywhere at the end, if any.
    pub last_revision: Option<u64>,
}
