//! Whether a non-idempotent request may run, for every state of its key.

use reedford_core::claims::{
    ClaimDecision, ClaimRecord, ClaimState, RecordedResponse, decide_claim,
};
use test_case::test_case;

fn response() -> RecordedResponse {
    RecordedResponse {
        status: 200,
        content_type: "application/json".into(),
        body: "{}".into(),
        model: "a@1".into(),
        target: "worker-1".into(),
        attempt: "attempt-1".into(),
    }
}

struct Case {
    state: ClaimState,
    token: &'static str,
    digest: &'static str,
    expected: ClaimDecision,
}

fn case(state: ClaimState, token: &'static str, expected: ClaimDecision) -> Case {
    Case {
        state,
        token,
        digest: "same",
        expected,
    }
}

fn reused(state: ClaimState, token: &'static str) -> Case {
    Case {
        digest: "other",
        ..case(state, token, ClaimDecision::KeyReused)
    }
}

#[test_case(case(ClaimState::Started, "own", ClaimDecision::Dispatch))]
#[test_case(case(ClaimState::Started, "other", ClaimDecision::InProgress))]
#[test_case(case(ClaimState::Aborted, "own", ClaimDecision::InProgress); "an aborted attempt never sends")]
#[test_case(case(ClaimState::Aborted, "other", ClaimDecision::TakeOver))]
#[test_case(case(ClaimState::Done(response()), "own", ClaimDecision::Replay(response())))]
#[test_case(case(
    ClaimState::Done(response()),
    "other",
    ClaimDecision::Replay(response())
))]
#[test_case(reused(ClaimState::Started, "own"))]
#[test_case(reused(ClaimState::Started, "other"))]
#[test_case(reused(ClaimState::Aborted, "own"))]
#[test_case(reused(ClaimState::Aborted, "other"))]
#[test_case(reused(ClaimState::Done(response()), "own"))]
#[test_case(reused(ClaimState::Done(response()), "other"))]
fn each_state_of_a_key_leads_to_its_decision(case: Case) {
    let record = ClaimRecord {
        token: case.token.into(),
        digest: case.digest.into(),
        state: case.state,
    };
    assert_eq!(decide_claim(Some(&record), "own", "same"), case.expected);
}

#[test]
fn a_key_without_a_record_is_created_first() {
    assert_eq!(decide_claim(None, "own", "same"), ClaimDecision::Create);
}
