//! The production decision about claims, driven along random runs of the
//! specification: each step is decided by `reedford_core::claims`, and the
//! record must be the specification's after each.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use reedford_core::claims::{
    ClaimDecision, ClaimRecord, ClaimState, RecordedResponse, decide_claim,
};
use reedford_model::claims::{Action, Claim, Phase, Progress, Told, Walk};

/// A step of the specification; `None` once no step is left.
type Step = Option<(usize, Action)>;

struct Specification;

impl ReferenceStateMachine for Specification {
    type State = Walk;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Walk> {
        prop::sample::select(Walk::starts()).boxed()
    }

    fn transitions(state: &Walk) -> BoxedStrategy<Step> {
        // Entry instances that die end most runs early: one never does.
        let steps = state.steps().into_iter();
        let mut steps: Vec<Step> = steps
            .filter(|step| *step != (0, Action::Die))
            .map(Some)
            .collect();
        if steps.is_empty() {
            steps.push(None);
        }
        prop::sample::select(steps).boxed()
    }

    fn apply(state: Walk, transition: &Step) -> Walk {
        transition
            .and_then(|step| state.after(step))
            .unwrap_or(state)
    }

    fn preconditions(state: &Walk, transition: &Step) -> bool {
        transition.is_none_or(|step| state.after(step).is_some())
    }
}

/// A write of the production code on its way to the store.
#[derive(Clone, Debug)]
enum Write {
    Create,
    TakeOver { from: ClaimRecord },
    Settle(ClaimState),
}

/// The production decisions with a store of one key.
#[derive(Debug)]
struct Production {
    record: Option<ClaimRecord>,
    writes: Vec<Option<Write>>,
}

impl Production {
    fn send(&mut self, attempt: usize, write: Write) {
        self.writes[attempt] = Some(write);
    }

    fn land(&mut self, attempt: usize, walk: &Walk) {
        let write = self.writes[attempt].take().expect("a write is on its way");
        let own = ClaimRecord {
            token: token(attempt),
            digest: digest(walk.body(attempt)),
            state: ClaimState::Started,
        };
        match write {
            Write::Create if self.record.is_none() => self.record = Some(own),
            Write::TakeOver { from } if self.record.as_ref() == Some(&from) => {
                self.record = Some(own);
            }
            Write::Settle(state) if self.record.as_ref() == Some(&own) => {
                self.record = Some(ClaimRecord { state, ..own });
            }
            Write::Create | Write::Settle(_) | Write::TakeOver { .. } => {}
        }
    }
}

struct ClaimsFollowTheSpecification;

impl StateMachineTest for ClaimsFollowTheSpecification {
    type SystemUnderTest = Production;
    type Reference = Specification;

    fn init_test(_: &Walk) -> Production {
        Production {
            record: None,
            writes: vec![None; Walk::ATTEMPTS],
        }
    }

    fn apply(mut state: Production, ref_state: &Walk, transition: Step) -> Production {
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
            Action::WriteLands => state.land(attempt, ref_state),
            Action::ReadBack => check_read_back(ref_state.phase(attempt), &decision),
            Action::TellFromClaim => check_told(ref_state.phase(attempt), &decision),
            Action::SendAbort => {
                state.send(attempt, Write::Settle(ClaimState::Aborted));
            }
            Action::TargetAnswers if ref_state.phase(attempt) == Phase::Answered => {
                state.send(attempt, Write::Settle(ClaimState::Done(answer(attempt))));
            }
            _ => {}
        }
        assert_eq!(state.record.as_ref().map(as_claim), ref_state.claim());
        state
    }
}

/// The phase after a read-back is the one that the decision leads to.
fn check_read_back(phase: Phase, decision: &ClaimDecision) {
    let expected = match decision {
        ClaimDecision::Create => Phase::Told(Told::NotRun),
        ClaimDecision::Dispatch => Phase::Claimed,
        ClaimDecision::TakeOver
        | ClaimDecision::Replay(_)
        | ClaimDecision::InProgress
        | ClaimDecision::KeyReused => Phase::Existing,
    };
    assert_eq!(phase, expected, "{decision:?}");
}

fn check_told(phase: Phase, decision: &ClaimDecision) {
    let expected = match decision {
        ClaimDecision::Replay(_) => Told::Done,
        ClaimDecision::InProgress => Told::Unknown,
        ClaimDecision::KeyReused => Told::OtherBody,
        other => panic!("{other:?} tells the caller nothing"),
    };
    assert_eq!(phase, Phase::Told(expected));
}

fn token(attempt: usize) -> Box<str> {
    attempt.to_string().into()
}

fn digest(body: u8) -> Box<str> {
    body.to_string().into()
}

fn answer(attempt: usize) -> RecordedResponse {
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
