//! Proof that a call did not run.
//!
//! Callers take some statuses for the promise that their call did not run and never will.
//! That promise needs a [`NeverRan`]: each sending of the call is proved to have run
//! nothing. A sending is proved so by the transport, which sent no byte of it, or by a
//! rejection that belongs to it. Whatever else ends a sending leaves it open, also a future
//! that is dropped.

use crate::attribution::{Attribution, Exchange};
use crate::scheduler::Rejection;
use std::collections::BTreeSet;
use std::marker::PhantomData;

/// Sendings of one call to instances.
#[derive(Debug, Default)]
pub struct Sendings {
    begun: u32,
    /// Numbers of the sendings that may have run the call.
    open: BTreeSet<u32>,
}

/// A sending of which no byte was sent.
#[derive(Debug)]
#[must_use]
pub struct Unsent {
    number: u32,
}

/// A sending that may have reached its instance.
#[derive(Debug)]
#[must_use]
pub struct Sent {
    number: u32,
}

/// Proof that one sending did not run the call.
#[derive(Debug)]
#[must_use]
pub struct NotRun {
    number: u32,
    rejection: Rejection,
}

/// Proof that no instance has run a call. No sending can begin while it exists.
#[derive(Debug)]
#[must_use]
pub struct NeverRan<'a>(PhantomData<&'a Sendings>);

/// What the head of a response states.
#[derive(Clone, Copy, Debug)]
pub struct Statement<'a> {
    /// Id of the call that the response belongs to.
    pub id: Option<&'a str>,
    /// HTTP status.
    pub status: u16,
    /// Whether the instance has signed it.
    pub signed: bool,
    /// The reason, if it says that the call did not run.
    pub rejection: Option<Rejection>,
}

/// What is known of a sending after the head of a response.
#[derive(Debug)]
pub enum Verdict {
    /// The response may be returned to the caller with this status.
    Answer(AnswerStatus),
    /// The instance did not run the call.
    NotRun(NotRun),
    /// The call may have run, and there is no response to return.
    Lost(Doubt),
}

/// Why a response is of no use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Doubt {
    /// It belongs to another call.
    OtherCall,
    /// It may belong to an earlier sending of the call.
    OtherSending,
    /// It may belong to another call, since it has no id.
    NoId,
    /// A success without a signature, or an informational response.
    Unsigned,
    /// A success that says that the call did not run.
    Contradiction,
    /// Its status promises that the call did not run, which the instance does not state.
    Unproven,
}

/// Status of an instance's response. For a call that may run once it promises nothing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnswerStatus(u16);

impl Sendings {
    /// Begins to send the call to an instance.
    pub fn begin(&mut self) -> Unsent {
        self.begun += 1;
        self.open.insert(self.begun);
        Unsent { number: self.begun }
    }

    /// Records that a sending did not run the call.
    pub fn on_not_run(&mut self, proof: &NotRun) {
        self.open.remove(&proof.number);
    }

    /// Number of sendings.
    #[must_use]
    pub const fn begun(&self) -> u32 {
        self.begun
    }

    /// Number of sendings that may have run the call.
    #[must_use]
    pub fn may_have_run(&self) -> u32 {
        u32::try_from(self.open.len()).unwrap_or(u32::MAX)
    }

    /// Returns the proof that no instance has run the call, if there is one.
    #[must_use]
    pub fn never_ran(&self) -> Option<NeverRan<'_>> {
        self.open.is_empty().then_some(NeverRan(PhantomData))
    }
}

impl Unsent {
    /// Gives the sending up.
    pub const fn not_sent(self) -> NotRun {
        NotRun {
            number: self.number,
            rejection: Rejection::Unreachable,
        }
    }

    /// Sends the call from now on.
    pub const fn send(self) -> Sent {
        Sent {
            number: self.number,
        }
    }
}

impl Sent {
    /// Ends a sending whose call the transport has returned, of which it sent no byte.
    pub const fn returned(self) -> NotRun {
        NotRun {
            number: self.number,
            rejection: Rejection::Unreachable,
        }
    }

    /// Judges the response that came in `exchange`; `repeatable` tells whether the call may run
    /// more than once.
    pub fn judge(
        self,
        exchange: Exchange<'_>,
        statement: Statement<'_>,
        repeatable: bool,
    ) -> Verdict {
        let Statement {
            id,
            status,
            signed,
            rejection,
        } = statement;
        let is_success = (200..300).contains(&status);
        match exchange.attribute(id, is_success) {
            Attribution::This => {}
            Attribution::Other => return Verdict::Lost(Doubt::OtherCall),
            Attribution::Unknown if id.is_some() => return Verdict::Lost(Doubt::OtherSending),
            Attribution::Unknown => return Verdict::Lost(Doubt::NoId),
        }
        // Only the instance itself can sign a success, and a change of protocol was not asked
        // for.
        if is_success && !signed || status < 200 {
            return Verdict::Lost(Doubt::Unsigned);
        }
        match rejection {
            Some(rejection) if can_reject(status) => Verdict::NotRun(NotRun {
                number: self.number,
                rejection,
            }),
            Some(_) if is_success => Verdict::Lost(Doubt::Contradiction),
            // A failure without a promise is returned whatever it states besides.
            Some(_) | None if promises_not_run(status) && !repeatable => {
                Verdict::Lost(Doubt::Unproven)
            }
            Some(_) | None => Verdict::Answer(AnswerStatus(status)),
        }
    }
}

impl NotRun {
    /// Why the call did not run.
    #[must_use]
    pub const fn rejection(&self) -> Rejection {
        self.rejection
    }
}

impl AnswerStatus {
    /// Returns the HTTP status.
    #[must_use]
    pub const fn get(self) -> u16 {
        self.0
    }
}

impl Doubt {
    /// Whether the response may belong to another request, so that it states nothing of the
    /// present.
    #[must_use]
    pub const fn is_foreign(self) -> bool {
        match self {
            Self::OtherCall | Self::OtherSending | Self::NoId => true,
            Self::Unsigned | Self::Contradiction | Self::Unproven => false,
        }
    }

    /// Name for logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::OtherCall => "answer_of_another_call",
            Self::OtherSending => "answer_of_another_sending",
            Self::NoId => "answer_without_id",
            Self::Unsigned => "unsigned_answer",
            Self::Contradiction => "contradictory_answer",
            Self::Unproven => "unproven_rejection",
        }
    }
}

/// Whether a response with this status may say that the call did not run. The other errors
/// of instances are of calls that ran.
const fn can_reject(status: u16) -> bool {
    matches!(status, 400..=499 | 503)
}

/// Whether callers take a status for the promise that the call did not run and never will.
#[must_use]
pub const fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}
