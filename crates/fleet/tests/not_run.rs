//! Which ends of sendings prove that a call did not run.

use reedford_fleet::attribution::Exchange;
use reedford_fleet::not_run::{Doubt, NotRun, Sendings, Statement, Unsent, Verdict};
use reedford_fleet::scheduler::Rejection;
use test_case::test_case;

const SIGNED: bool = true;
const REPEATABLE: bool = true;

#[derive(Debug, Eq, PartialEq)]
enum Outcome {
    Answer(u16),
    NotRun(Rejection),
    Lost(Doubt),
}

impl From<Verdict> for Outcome {
    fn from(verdict: Verdict) -> Self {
        match verdict {
            Verdict::Answer(status) => Self::Answer(status.get()),
            Verdict::NotRun(proof) => Self::NotRun(proof.rejection()),
            Verdict::Lost(doubt) => Self::Lost(doubt),
        }
    }
}

struct Case {
    /// Number of the request on its connection.
    exchange: u32,
    /// Whether the call failed on the connection before.
    failed_before: bool,
    id: Option<&'static str>,
    status: u16,
    signed: bool,
    rejection: Option<Rejection>,
    repeatable: bool,
    outcome: Outcome,
}

impl Case {
    /// A rejection of a call that may run once, on a connection in use.
    const FULL: Self = Self {
        exchange: 2,
        failed_before: false,
        id: Some("a"),
        status: 503,
        signed: !SIGNED,
        rejection: Some(Rejection::Full),
        repeatable: !REPEATABLE,
        outcome: Outcome::NotRun(Rejection::Full),
    };
    /// A failure with the status of a rejection, without its statement.
    const FAILED: Self = Self {
        signed: SIGNED,
        rejection: None,
        outcome: Outcome::Lost(Doubt::Unproven),
        ..Self::FULL
    };
    /// A response whose status says that the call ran and which states that it did not.
    const CONTRADICTION: Self = Self {
        signed: SIGNED,
        ..Self::FULL
    };
}

/// Guards against a call that is reported as not run, or runs twice, on a response that does not
/// prove that it did not run.
#[test_case(Case { ..Case::FULL }; "full")]
#[test_case(Case { signed: SIGNED, ..Case::FULL }; "full, signed")]
#[test_case(Case { status: 429, ..Case::FULL }; "429")]
#[test_case(Case { status: 400, ..Case::FULL }; "400")]
#[test_case(Case { status: 421, rejection: Some(Rejection::Missing), outcome: Outcome::NotRun(Rejection::Missing), ..Case::FULL }; "misdirected")]
#[test_case(Case { exchange: 1, id: None, ..Case::FULL }; "without an id on a new connection")]
#[test_case(Case { id: None, outcome: Outcome::Lost(Doubt::NoId), ..Case::FULL }; "without an id")]
#[test_case(Case { id: Some("b"), outcome: Outcome::Lost(Doubt::OtherCall), ..Case::FULL }; "of another call")]
#[test_case(Case { failed_before: true, outcome: Outcome::Lost(Doubt::OtherSending), ..Case::FULL }; "sent again where it failed")]
#[test_case(Case { failed_before: true, id: None, outcome: Outcome::Lost(Doubt::NoId), ..Case::FULL }; "without an id where it failed")]
#[test_case(Case { exchange: 1, ..Case::FULL }; "sent again on a new connection")]
#[test_case(Case { ..Case::FAILED }; "own 503")]
#[test_case(Case { signed: !SIGNED, ..Case::FAILED }; "own 503, unsigned")]
#[test_case(Case { status: 429, ..Case::FAILED }; "own 429")]
#[test_case(Case { status: 408, ..Case::FAILED }; "own 408")]
#[test_case(Case { status: 421, ..Case::FAILED }; "own 421")]
#[test_case(Case { repeatable: REPEATABLE, outcome: Outcome::Answer(503), ..Case::FAILED }; "own 503 to a call that may run again")]
#[test_case(Case { status: 500, outcome: Outcome::Answer(500), ..Case::FAILED }; "own 500")]
#[test_case(Case { status: 404, outcome: Outcome::Answer(404), ..Case::FAILED }; "own 404")]
#[test_case(Case { status: 200, outcome: Outcome::Answer(200), ..Case::FAILED }; "success")]
#[test_case(Case { status: 200, signed: !SIGNED, outcome: Outcome::Lost(Doubt::Unsigned), ..Case::FAILED }; "unsigned success")]
#[test_case(Case { status: 103, outcome: Outcome::Lost(Doubt::Unsigned), ..Case::FAILED }; "informational")]
#[test_case(Case { status: 200, outcome: Outcome::Lost(Doubt::Contradiction), ..Case::CONTRADICTION }; "success that contradicts itself")]
#[test_case(Case { status: 200, repeatable: REPEATABLE, outcome: Outcome::Lost(Doubt::Contradiction), ..Case::CONTRADICTION }; "the same to a call that may run again")]
#[test_case(Case { status: 500, outcome: Outcome::Answer(500), ..Case::CONTRADICTION }; "500 that contradicts itself")]
#[test_case(Case { status: 504, outcome: Outcome::Answer(504), ..Case::CONTRADICTION }; "504 that contradicts itself")]
#[test_case(Case { status: 302, outcome: Outcome::Answer(302), ..Case::CONTRADICTION }; "redirection that contradicts itself")]
fn a_response_proves_only_what_it_states_of_its_own_call(case: Case) {
    let mut sendings = Sendings::default();
    let sent = sendings.begin().send();
    let exchange = Exchange {
        call: "a",
        number: case.exchange,
        failed_before: case.failed_before,
    };
    let statement = Statement {
        id: case.id,
        status: case.status,
        signed: case.signed,
        rejection: case.rejection,
    };
    let verdict = sent.judge(exchange, statement, case.repeatable);
    if let Verdict::NotRun(proof) = &verdict {
        sendings.on_not_run(proof);
    }
    let proved = sendings.never_ran().is_some();
    let outcome = Outcome::from(verdict);
    assert_eq!(outcome, case.outcome);
    assert_eq!(proved, matches!(outcome, Outcome::NotRun(_)));
}

/// How a sending ends.
#[derive(Clone, Copy)]
enum End {
    NotSent,
    Returned,
    Rejected,
    /// A future was dropped, before or after the call was sent.
    DroppedUnsent,
    Dropped,
}

fn end(unsent: Unsent, end: End) -> Option<NotRun> {
    let rejected = Statement {
        id: Some("a"),
        status: 503,
        signed: !SIGNED,
        rejection: Some(Rejection::Full),
    };
    let first = Exchange {
        call: "a",
        number: 1,
        failed_before: false,
    };
    match end {
        End::NotSent => Some(unsent.not_sent()),
        End::Returned => Some(unsent.send().returned()),
        End::Rejected => match unsent.send().judge(first, rejected, !REPEATABLE) {
            Verdict::NotRun(proof) => Some(proof),
            Verdict::Answer(_) | Verdict::Lost(_) => None,
        },
        End::DroppedUnsent => None,
        End::Dropped => {
            let _ = unsent.send();
            None
        }
    }
}

struct Several {
    ends: &'static [End],
    may_have_run: u32,
}

/// Guards against a refusal of a call of which one sending is unaccounted for.
#[test_case(Several { ends: &[], may_have_run: 0 }; "never sent")]
#[test_case(Several { ends: &[End::NotSent, End::Returned, End::Rejected], may_have_run: 0 }; "all proved")]
#[test_case(Several { ends: &[End::Rejected, End::Dropped], may_have_run: 1 }; "the last one dropped")]
#[test_case(Several { ends: &[End::Dropped, End::Rejected, End::NotSent], may_have_run: 1 }; "the first one dropped")]
#[test_case(Several { ends: &[End::DroppedUnsent], may_have_run: 1 }; "dropped before it was sent")]
#[test_case(Several { ends: &[End::Dropped, End::Rejected, End::Dropped], may_have_run: 2 }; "two dropped")]
fn a_call_never_ran_if_each_sending_is_proved_to_have_run_nothing(case: Several) {
    let mut sendings = Sendings::default();
    for how in case.ends {
        let unsent = sendings.begin();
        if let Some(proof) = end(unsent, *how) {
            sendings.on_not_run(&proof);
            // A proof counts once.
            sendings.on_not_run(&proof);
        }
    }
    assert_eq!(sendings.may_have_run(), case.may_have_run);
    assert_eq!(sendings.never_ran().is_some(), case.may_have_run == 0);
    assert_eq!(sendings.begun() as usize, case.ends.len());
}
