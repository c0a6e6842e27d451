//! Spans of a request's hops: caller, entry instance, owner, target.
//!
//! They are joined by the W3C trace context, which travels in the header
//! `traceparent` and between entry instances as a field of the call. Spans are
//! recorded only when traces are exported; without that they are disabled and
//! the caller's header is passed on as it came.

use crate::metrics::class_name;
use opentelemetry::propagation::{Extractor, Injector, TextMapPropagator as _};
use opentelemetry_sdk::propagation::TraceContextPropagator;
use reedford_core::PermitId;
use reedford_front::Answer;
use reedford_rules::Class;
use reedford_wire::headers::TRACEPARENT;
use tracing::field::Empty;
use tracing::{Span, info_span};
use tracing_opentelemetry::OpenTelemetrySpanExt as _;

/// Target of all spans of this module, by which the layers tell them apart.
pub(crate) const TARGET: &str = "reedford::span";

/// A request at the entry instance that its caller chose; `name` is the model
/// or the plain service.
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
    join(&span, traceparent);
    span
}

/// Notes how a request ended.
pub(crate) fn request_ended(span: &Span, answer: &Answer, outcome: &str) {
    span.record("outcome", outcome);
    match answer {
        Answer::Whole { meta, .. } | Answer::Stream { meta, .. } => {
            span.record("attempt", &*meta.attempt);
        }
        Answer::Refused(_) => {}
    }
}

/// The claim of a request that may run only once.
pub(crate) fn claim() -> Span {
    info_span!(target: TARGET, "claim")
}

/// The ask for a permit, at the asking instance.
pub(crate) fn permit(worker: &str, owner: &str) -> Span {
    info_span!(target: TARGET, "permit", otel.kind = "client", worker, owner, answer = Empty)
}

/// The ask for a permit, at the owner of the worker. Without `traceparent` the
/// current span is the parent.
pub(crate) fn owner_permit(worker: &str, traceparent: Option<&str>) -> Span {
    let span = info_span!(target: TARGET, "owner_permit", otel.kind = "server", worker);
    join(&span, traceparent);
    span
}

/// One attempt at a target, until its answer has begun.
pub(crate) fn dispatch(target_id: &str, attempt: &PermitId) -> Span {
    info_span!(target: TARGET, "dispatch", otel.kind = "client", target_id, %attempt)
}

/// The rest of a streamed answer, from its first token on.
pub(crate) fn relay() -> Span {
    info_span!(target: TARGET, "relay")
}

/// The current span as a value of the header `traceparent`; `None` when
/// nothing is traced.
pub(crate) fn current_traceparent() -> Option<Box<str>> {
    let span = Span::current();
    if span.is_disabled() {
        return None;
    }
    let mut carrier = Carrier::default();
    TraceContextPropagator::new().inject_context(&span.context(), &mut carrier);
    carrier.traceparent
}

/// Makes the span that `traceparent` names the parent of `span`.
fn join(span: &Span, traceparent: Option<&str>) {
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

/// The headers that the propagator reads and writes.
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
