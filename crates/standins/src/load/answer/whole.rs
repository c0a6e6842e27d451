//! Complete model responses and refusals.

use super::{Expected, Failure, Outcome, Refused, RefusedOutcome, Violation};
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
    outcome: RefusedOutcome,
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
            let fine = error.retry_after_ms.map(Duration::from_millis);
            Outcome::Refused(Refused {
                outcome: error.outcome,
                code: error.code,
                retry_after: fine.or(retry_after),
            })
        }
        Err(_) => Outcome::Failed(Failure::BadAnswer),
    }
}

/// Parses and checks a complete model response.
#[must_use]
pub fn read_whole(expected: &Expected, body: &[u8]) -> (Outcome, Vec<Violation>) {
    let Ok(answer) = serde_json::from_slice::<ChatResponse>(body) else {
        return (Outcome::Failed(Failure::BadAnswer), Vec::new());
    };
    let Some(choice) = answer.choices.first() else {
        return (Outcome::Failed(Failure::BadAnswer), Vec::new());
    };
    let text = &choice.message.content;
    let mut violations = expected.check(&answer.model, &answer.id, text);
    if !is_in_sequence(text) {
        violations.push(Violation::Sequence);
    }
    let tokens = text.split_whitespace().count() as u64;
    violations.extend(expected.check_length(tokens));
    (Outcome::Done, violations)
}

fn is_in_sequence(text: &str) -> bool {
    let mut words = text.split_whitespace().enumerate();
    words.all(|(number, word)| word.ends_with(&format!("#{number}")))
}
