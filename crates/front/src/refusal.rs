//! Refusals: the error responses of the entry instance, including those to
//! requests that may have run.

use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Whether a refused request ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request is invalid or not allowed in this form; it did not run.
    BadRequest,
    /// The request did not run and won't run later.
    NotRun,
    /// The request may have run, completely or in part.
    Unknown,
}

/// Cause of a refusal.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The body did not arrive completely or in time.
    BadBody,
    /// A header is malformed, repeated, or out of range, or a stream is requested
    /// over a version below HTTP/1.1.
    BadHeader,
    /// The body is not a valid JSON message for the path.
    BadJson,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The deadline can't be met, or it passed before the response was complete.
    DeadlineUnreachable,
    /// A request with this idempotency key is in progress, possibly at another
    /// entry instance.
    InProgressElsewhere,
    /// Internal error of the entry instance.
    Internal,
    /// The request must run at most once but has no idempotency key.
    KeyRequired,
    /// The idempotency key was used for a different request.
    KeyReused,
    /// The rate limit of the adapter or class is exceeded.
    LimitExceeded,
    /// The adapter can't be loaded.
    LoadFailed,
    /// The path does not support this method.
    MethodNotAllowed,
    /// The model name is not `adapter@version`.
    MissingVersion,
    /// No worker can serve the request.
    NoWorker,
    /// The path does not exist.
    NotFound,
    /// The entry instance is not ready yet.
    NotReady,
    /// Too many requests are in progress or waiting.
    Overloaded,
    /// The platform does not respond, and the request depends on it.
    PlatformUnavailable,
    /// The entry instance is stopping.
    Stopping,
    /// The target's response was lost after the request was sent, so the request may
    /// have run.
    TargetLost,
    /// The adapter does not exist.
    UnknownAdapter,
    /// The plain service does not exist.
    UnknownService,
    /// The version of the adapter does not exist.
    UnknownVersion,
}

/// An error response to a call. Despite the name, the request may have run; see
/// `outcome`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallRefusal {
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Cause of the refusal.
    pub code: RefusalCode,
    /// Human-readable message.
    pub message: Box<str>,
    /// Time after which the caller may retry.
    pub retry_after: Option<Duration>,
}

/// JSON body of a refusal.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ErrorBody {
    /// The refusal.
    pub error: ErrorDetail,
}

/// The `error` object of an [`ErrorBody`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ErrorDetail {
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Cause of the refusal.
    pub code: RefusalCode,
    /// Human-readable message.
    pub message: Box<str>,
    /// Time after which the caller may retry, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl CallRefusal {
    /// Creates the refusal of an invalid or forbidden request.
    #[must_use]
    pub fn bad_request(code: RefusalCode, message: &str) -> Self {
        Self {
            outcome: Outcome::BadRequest,
            code,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Creates the refusal of a request that did not run and may be retried after
    /// `retry_after`.
    #[must_use]
    pub fn not_run(code: RefusalCode, message: &str, retry_after: Duration) -> Self {
        Self {
            outcome: Outcome::NotRun,
            code,
            message: message.into(),
            retry_after: Some(retry_after),
        }
    }

    /// Creates the refusal of a request that may have run.
    #[must_use]
    pub fn unknown(code: RefusalCode, message: &str) -> Self {
        Self {
            outcome: Outcome::Unknown,
            code,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Returns the HTTP status of the refusal.
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

    /// Returns the JSON body of the refusal.
    #[must_use]
    pub fn to_body(&self) -> ErrorBody {
        ErrorBody {
            error: ErrorDetail {
                outcome: self.outcome,
                code: self.code,
                message: self.message.clone(),
                retry_after_ms: self.retry_after.map(millis_rounded_up),
            },
        }
    }
}

/// Returns the duration in milliseconds, rounded up.
fn millis_rounded_up(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX)
}
