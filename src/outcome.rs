//! How a command ended.

use std::process::ExitCode;

/// How a command ended, with its exit code.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Outcome {
    /// 0: done.
    Done,
    /// 1: failed; rules or settings have faults, or a service can't be reached.
    /// Nothing was changed.
    Failed,
    /// 2: the command line is wrong.
    Usage,
    /// 3: another edit of the rules was accepted first; this one was not.
    LostRace,
    /// 4: accepted, but not in force at all instances within the time.
    NotInForce,
    /// 5: it is not known whether the rules were accepted.
    Unknown,
}

impl From<Outcome> for ExitCode {
    fn from(outcome: Outcome) -> Self {
        Self::from(match outcome {
            Outcome::Done => 0,
            Outcome::Failed => 1,
            Outcome::Usage => 2,
            Outcome::LostRace => 3,
            Outcome::NotInForce => 4,
            Outcome::Unknown => 5,
        })
    }
}
