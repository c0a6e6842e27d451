//! Outcome and exit code of a command.

use std::process::ExitCode;

/// Outcome of a command, with its exit code.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Outcome {
    /// 0: done.
    Done,
    /// 1: failed, for example because rules or settings have faults or a service
    /// can't be reached. `rules apply` changed nothing.
    Failed,
    /// 2: the command line is wrong.
    Usage,
    /// 3: another edit of the rules was accepted first; this edit was rejected.
    LostRace,
    /// 4: the rules were accepted, but at least one instance did not report them, or
    /// later ones, as in force within the time limit.
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
