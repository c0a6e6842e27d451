//! Names of HTTP headers in requests and responses of callers and targets.

/// Id of one attempt to run a request; the target echoes it.
pub const ATTEMPT_ID: &str = "x-attempt-id";
/// Adapter and version that ran, `adapter@version`; set by the target.
pub const MODEL: &str = "x-model";
/// Scheduling priority at the engine, a decimal integer; higher values run first.
pub const PRIORITY: &str = "x-priority";
/// Id of the worker or service instance that sent the response.
pub const TARGET: &str = "x-target";
/// Milliseconds that the request waited for an adapter load.
pub const LOAD_STALL_MS: &str = "x-load-stall-ms";
/// Key that the caller sets on a request that must not run more than once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Deadline of the request, in milliseconds from its arrival.
pub const DEADLINE_MS: &str = "x-deadline-ms";
/// Class of the request: `lookup`, `standard` or `writing`.
pub const CLASS: &str = "x-class";
/// Whether the request may be repeated: `true` or `false`.
pub const REPEATABLE: &str = "x-repeatable";
/// W3C trace context.
pub const TRACEPARENT: &str = "traceparent";
/// Revision of the rules that applied to the request.
pub const REVISION: &str = "x-rules-revision";
