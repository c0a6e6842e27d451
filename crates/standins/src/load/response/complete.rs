//! Complete model responses and refusals.

use super::{ExpectedResponse, Failure, Outcome, Refusal, RefusalOutcome, ResponseViolation};
use reedford_wire::chat::ChatResponse;
use serde::Deserialize;
use std::time::Duration;

/// Body of a refusal.
#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorDetail,
}

#[derive(Deserialize)]
struct ErrorDetail {
    outcome: RefusalOutcome,
    code: Box<str>,
    #[serde(default)]
    retry_after_ms: Option<u64>,
}

/// Parses a refusal. The retry time in the body, in milliseconds, takes
/// precedence over that of the header, in seconds.
#[must_use]
pub fn read_refusal(body: &[u8], retry_after: Option<Duration>) -> Outcome {
    match serde_json::from_slice::<ErrorBody>(body) {
        Ok(ErrorBody { error }) => {
            let body_retry_after = error.retry_after_ms.map(Duration::from_millis);
            Outcome::Refused(Refusal {
                outcome: error.outcome,
                code: error.code,
                retry_after: body_retry_after.or(retry_after),
            })
        }
        Err(_) => Outcome::Failed(Failure::BadResponse),
    }
}

/// Parses and checks a complete model response.
#[must_use]
pub fn read_complete(
    expected: &ExpectedResponse,
    body: &[u8],
) -> (Outcome, Vec<ResponseViolation>) {
    let Ok(response) = serde_json::from_slice::<ChatResponse>(body) else {
        return (Outcome::Failed(Failure::BadResponse), Vec::new());
    };
    let Some(choice) = response.choices.first() else {
        return (Outcome::Failed(Failure::BadResponse), Vec::new());
    };
    let text = &choice.message.content;
    let mut violations = expected.check(&response.model, &response.id, text);
    if !is_in_sequence(text) {
        violations.push(ResponseViolation::Sequence);
    }
    let tokens = text.split_whitespace().count() as u64;
    violations.extend(expected.check_length(tokens));
    (Outcome::Done, violations)
}

fn is_in_sequence(text: &str) -> bool {
    let mut words = text.split_whitespace().enumerate();
    words.all(|(number, word)| word.ends_with(&format!("#{number}")))
}
