//! Compares `reedford_core::claims` with the specification along random
//! executions: the production code decides each step, and after each step its
//! record must equal the specification's claim.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use reedford_core::claims::{
    ClaimDecision, ClaimRecord, ClaimState, RecordedResponse, decide_claim,
};
use reedford_model::claims::{Action, CallerOutcome, Claim, Execution, Phase, Progress};

/// A step of the specification; `None` once no step is enabled.
type Step = Option<(usize, Action)>;

struct Specification;

impl ReferenceStateMachine for Specification {
    type State = Execution;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Execution> {
        prop::sample::select(Execution::all_initial()).boxed()
    }

    fn transitions(state: &Execution) -> BoxedStrategy<Step> {
        // The death of entry instances would end most executions early, so the
        // entry instance of the first attempt never dies.
        let steps = state.enabled_actions().into_iter();
        let mut steps: Vec<Step> = steps
            .filter(|step| *step != (0, Action::Die))
            .map(Some)
            .collect();
        if steps.is_empty() {
            steps.push(None);
        }
        prop::sample::select(steps).boxed()
    }

    fn apply(state: Execution, transition: &Step) -> Execution {
        transition
            .and_then(|step| state.after(step))
            .unwrap_or(state)
    }

    fn preconditions(state: &Execution, transition: &Step) -> bool {
        transition.is_none_or(|step| state.after(step).is_some())
    }
}

/// A pending write of the production code to the store.
#[derive(Clone, Debug)]
enum Write {
    Create,
    TakeOver { from: ClaimRecord },
    Finish(ClaimState),
}

/// A store with one key, and the pending writes that the production code decided
/// on.
#[derive(Debug)]
struct ProductionStore {
    record: Option<ClaimRecord>,
    writes: Vec<Option<Write>>,
}

impl ProductionStore {
    fn send(&mut self, attempt: usize, write: Write) {
        self.writes[attempt] = Some(write);
    }

    fn apply_write(&mut self, attempt: usize, execution: &Execution) {
        let write = self.writes[attempt].take().expect("a write is on its way");
        let own = ClaimRecord {
            token: token(attempt),
            digest: digest(execution.body(attempt)),
            state: ClaimState::Started,
        };
        match write {
            Write::Create if self.record.is_none() => self.record = Some(own),
            Write::TakeOver { from } if self.record.as_ref() == Some(&from) => {
                self.record = Some(own);
            }
            Write::Finish(state) if self.record.as_ref() == Some(&own) => {
                self.record = Some(ClaimRecord { state, ..own });
            }
            Write::Create | Write::Finish(_) | Write::TakeOver { .. } => {}
        }
    }
}

struct ClaimsFollowTheSpecification;

impl StateMachineTest for ClaimsFollowTheSpecification {
    type SystemUnderTest = ProductionStore;
    type Reference = Specification;

    fn init_test(_: &Execution) -> ProductionStore {
        ProductionStore {
            record: None,
            writes: vec![None; Execution::ATTEMPT_COUNT],
        }
    }

    fn apply(
        mut state: ProductionStore,
        ref_state: &Execution,
        transition: Step,
    ) -> ProductionStore {
        let Some((attempt, action)) = transition else {
            return state;
        };
        let decision = decide_claim(
            state.record.as_ref(),
            &token(attempt),
            &digest(ref_state.body(attempt)),
        );
        match action {
            Action::SendCreate => {
                assert_eq!(
                    decide_claim(None, &token(attempt), "any"),
                    ClaimDecision::Create
                );
                state.send(attempt, Write::Create);
            }
            Action::SendTakeOver => {
                assert_eq!(decision, ClaimDecision::TakeOver);
                let from = state.record.clone().expect("a claim to take over");
                state.send(attempt, Write::TakeOver { from });
            }
            Action::WriteLands => state.apply_write(attempt, ref_state),
            Action::ReadBack => check_read_back(ref_state.phase(attempt), &decision),
            Action::TellFromClaim => check_reported_outcome(ref_state.phase(attempt), &decision),
            Action::SendAbort => {
                state.send(attempt, Write::Finish(ClaimState::Aborted));
            }
            Action::TargetAnswers if ref_state.phase(attempt) == Phase::Answered => {
                state.send(attempt, Write::Finish(ClaimState::Done(response(attempt))));
            }
            _ => {}
        }
        assert_eq!(state.record.as_ref().map(as_claim), ref_state.claim());
        state
    }
}

/// Checks that the phase after a read is the one that the decision leads to.
fn check_read_back(phase: Phase, decision: &ClaimDecision) {
    let expected = match decision {
        ClaimDecision::Create => Phase::Told(CallerOutcome::NotRun),
        ClaimDecision::Dispatch => Phase::Claimed,
        ClaimDecision::TakeOver
        | ClaimDecision::Replay(_)
        | ClaimDecision::InProgress
        | ClaimDecision::KeyReused => Phase::Existing,
    };
    assert_eq!(phase, expected, "{decision:?}");
}

fn check_reported_outcome(phase: Phase, decision: &ClaimDecision) {
    let expected = match decision {
        ClaimDecision::Replay(_) => CallerOutcome::Done,
        ClaimDecision::InProgress => CallerOutcome::Unknown,
        ClaimDecision::KeyReused => CallerOutcome::OtherBody,
        other => panic!("{other:?} reports no outcome to the caller"),
    };
    assert_eq!(phase, Phase::Told(expected));
}

fn token(attempt: usize) -> Box<str> {
    attempt.to_string().into()
}

fn digest(body: u8) -> Box<str> {
    body.to_string().into()
}

fn response(attempt: usize) -> RecordedResponse {
    RecordedResponse {
        status: 200,
        content_type: "application/json".into(),
        body: "{}".into(),
        model: "adapter@1".into(),
        target: "worker".into(),
        attempt: token(attempt),
    }
}

fn as_claim(record: &ClaimRecord) -> Claim {
    Claim {
        token: record.token.parse().expect("a token of the test"),
        body: record.digest.parse().expect("a digest of the test"),
        progress: match record.state {
            ClaimState::Started => Progress::Started,
            ClaimState::Done(_) => Progress::Done,
            ClaimState::Aborted => Progress::Aborted,
        },
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..Config::default()
    })]

    #[test]
    fn claims_follow_the_specification(sequential 1..40 => ClaimsFollowTheSpecification);
}
