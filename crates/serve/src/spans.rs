//! Tracing spans of a request at the entry instance, the worker's owner and the
//! target.
//!
//! The spans are linked by the W3C trace context, which is sent in the header
//! `traceparent` and between entry instances as an argument of the call. Spans
//! are recorded only if traces are exported. Otherwise they are disabled, and the
//! caller's header is passed on unchanged.

use crate::metrics::class_name;
use opentelemetry::propagation::{Extractor, Injector, TextMapPropagator as _};
use opentelemetry_sdk::propagation::TraceContextPropagator;
use reedford_core::PermitId;
use reedford_front::CallResponse;
use reedford_rules::Class;
use reedford_wire::headers::TRACEPARENT;
use tracing::field::Empty;
use tracing::{Span, info_span};
use tracing_opentelemetry::OpenTelemetrySpanExt as _;

/// Tracing target of all spans of this module, by which the tracing layers filter
/// them.
pub(crate) const TARGET: &str = "reedford::span";

/// Returns the span of a caller's request. `name` is the model or the plain
/// service.
pub(crate) fn request(name: &str, class: Class, traceparent: Option<&str>) -> Span {
    let span = info_span!(
        target: TARGET,
        "request",
        otel.kind = "server",
        model = name,
        class = class_name(class),
        attempt = Empty,
        outcome = Empty,
    );
    set_parent(&span, traceparent);
    span
}

/// Records the outcome of a request in its span.
pub(crate) fn request_ended(span: &Span, response: &CallResponse, outcome: &str) {
    span.record("outcome", outcome);
    match response {
        CallResponse::Buffered { meta, .. } | CallResponse::Stream { meta, .. } => {
            span.record("attempt", &*meta.attempt);
        }
        CallResponse::Refused(_) => {}
    }
}

/// Returns the span of claiming an idempotency key.
pub(crate) fn claim() -> Span {
    info_span!(target: TARGET, "claim")
}

/// Returns the span of a permit request at the instance that sends it.
pub(crate) fn permit(worker: &str, owner: &str) -> Span {
    info_span!(target: TARGET, "permit", otel.kind = "client", worker, owner, answer = Empty)
}

/// Returns the span of a permit request at the owner of the worker. Without
/// `traceparent` its parent is the current span.
pub(crate) fn owner_permit(worker: &str, traceparent: Option<&str>) -> Span {
    let span = info_span!(target: TARGET, "owner_permit", otel.kind = "server", worker);
    set_parent(&span, traceparent);
    span
}

/// Returns the span of an attempt at a target, which ends when the response
/// starts.
pub(crate) fn dispatch(target_id: &str, attempt: &PermitId) -> Span {
    info_span!(target: TARGET, "dispatch", otel.kind = "client", target_id, %attempt)
}

/// Returns the span of relaying a streamed response after its first token.
pub(crate) fn relay() -> Span {
    info_span!(target: TARGET, "relay")
}

/// Returns the current span as a value of the header `traceparent`, or `None` if
/// it is not traced.
pub(crate) fn current_traceparent() -> Option<Box<str>> {
    let span = Span::current();
    if span.is_disabled() {
        return None;
    }
    let mut carrier = Carrier::default();
    TraceContextPropagator::new().inject_context(&span.context(), &mut carrier);
    carrier.traceparent
}

/// Makes the span in `traceparent` the parent of `span`.
fn set_parent(span: &Span, traceparent: Option<&str>) {
    let Some(traceparent) = traceparent.filter(|_| !span.is_disabled()) else {
        return;
    };
    let carrier = Carrier {
        traceparent: Some(traceparent.into()),
    };
    let parent = TraceContextPropagator::new().extract(&carrier);
    if let Err(error) = span.set_parent(parent) {
        tracing::debug!(event = "span_not_joined", %error);
    }
}

/// The header that the trace context propagator reads and writes.
#[derive(Debug, Default)]
struct Carrier {
    traceparent: Option<Box<str>>,
}

impl Extractor for Carrier {
    fn get(&self, key: &str) -> Option<&str> {
        self.traceparent.as_deref().filter(|_| key == TRACEPARENT)
    }

    fn keys(&self) -> Vec<&str> {
        vec![TRACEPARENT]
    }
}

impl Injector for Carrier {
    fn set(&mut self, key: &str, value: String) {
        if key == TRACEPARENT {
            self.traceparent = Some(value.into());
        }
    }
}
