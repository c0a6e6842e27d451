//! Refusals: what callers are told when they get no answer.

use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What is known of a request that got no answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It can't be understood or allowed as it is; it did not run.
    BadRequest,
    /// It did not run and never will.
    NotRun,
    /// It may have run, in whole or in part.
    Unknown,
}

/// Why a request got no answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The body did not arrive whole or in time.
    BadBody,
    /// A header can't be read, is repeated, or is out of range.
    BadHeader,
    /// The body is no such JSON message as the path takes.
    BadJson,
    /// The body is over the limit.
    BodyTooLarge,
    /// The answer can't come within the deadline.
    DeadlineUnreachable,
    /// A request with this key runs elsewhere.
    InProgressElsewhere,
    /// A fault of the entry instance.
    Internal,
    /// The request may run only once and has no idempotency key.
    KeyRequired,
    /// The idempotency key was used with another request.
    KeyReused,
    /// The adapter's or class's limit is used up.
    LimitExceeded,
    /// The adapter can't be loaded.
    LoadFailed,
    /// The path does not take this method.
    MethodNotAllowed,
    /// The model does not name an adapter and a version.
    MissingVersion,
    /// No worker can take the request.
    NoWorker,
    /// No such path.
    NotFound,
    /// The entry instance is not ready yet.
    NotReady,
    /// Too much waits already.
    Overloaded,
    /// The platform does not answer, and the request can't do without it.
    PlatformUnavailable,
    /// The entry instance is stopping.
    Stopping,
    /// The target was lost while the request may have been running.
    TargetLost,
    /// No such adapter.
    UnknownAdapter,
    /// No such plain service.
    UnknownService,
    /// The adapter has no such version.
    UnknownVersion,
}

/// A request that gets no answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallRefusal {
    /// What is known of the request.
    pub outcome: Outcome,
    /// Why.
    pub code: RefusalCode,
    /// For people.
    pub message: Box<str>,
    /// Time after which the same request may be answered.
    pub retry_after: Option<Duration>,
}

/// The JSON body of a refusal.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ErrorBody {
    /// The refusal.
    pub error: ErrorDetail,
}

/// A refusal in JSON.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ErrorDetail {
    /// What is known of the request.
    pub outcome: Outcome,
    /// Why.
    pub code: RefusalCode,
    /// For people.
    pub message: Box<str>,
    /// Milliseconds after which the same request may be answered.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl CallRefusal {
    /// A request that can't be understood or allowed as it is.
    #[must_use]
    pub fn bad_request(code: RefusalCode, message: &str) -> Self {
        Self {
            outcome: Outcome::BadRequest,
            code,
            message: message.into(),
            retry_after: None,
        }
    }

    /// A request that did not run, and when to come back.
    #[must_use]
    pub fn not_run(code: RefusalCode, message: &str, retry_after: Duration) -> Self {
        Self {
            outcome: Outcome::NotRun,
            code,
            message: message.into(),
            retry_after: Some(retry_after),
        }
    }

    /// A request that may have run.
    #[must_use]
    pub fn unknown(code: RefusalCode, message: &str) -> Self {
        Self {
            outcome: Outcome::Unknown,
            code,
            message: message.into(),
            retry_after: None,
        }
    }

    /// The HTTP status that tells it.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        match self.code {
            RefusalCode::BadBody
            | RefusalCode::BadHeader
            | RefusalCode::BadJson
            | RefusalCode::KeyRequired
            | RefusalCode::MissingVersion => StatusCode::BAD_REQUEST,
            RefusalCode::NotFound
            | RefusalCode::UnknownAdapter
            | RefusalCode::UnknownService
            | RefusalCode::UnknownVersion => StatusCode::NOT_FOUND,
            RefusalCode::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            RefusalCode::InProgressElsewhere => StatusCode::CONFLICT,
            RefusalCode::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RefusalCode::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            RefusalCode::LimitExceeded => StatusCode::TOO_MANY_REQUESTS,
            RefusalCode::Internal => StatusCode::INTERNAL_SERVER_ERROR,
            RefusalCode::LoadFailed | RefusalCode::TargetLost => StatusCode::BAD_GATEWAY,
            RefusalCode::NoWorker
            | RefusalCode::NotReady
            | RefusalCode::Overloaded
            | RefusalCode::PlatformUnavailable
            | RefusalCode::Stopping => StatusCode::SERVICE_UNAVAILABLE,
            RefusalCode::DeadlineUnreachable if self.outcome == Outcome::Unknown => {
                StatusCode::GATEWAY_TIMEOUT
            }
            RefusalCode::DeadlineUnreachable => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// The JSON body.
    #[must_use]
    pub fn to_body(&self) -> ErrorBody {
        ErrorBody {
            error: ErrorDetail {
                outcome: self.outcome,
                code: self.code,
                message: self.message.clone(),
                retry_after_ms: self.retry_after.map(whole_millis),
            },
        }
    }
}

fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX)
}
