//! Calls to plain services.

use super::chat::replay;
use super::check::{apply_rate_limits, deadline, require_key, rules_in_force};
use super::claims::{Claim, ClaimOutcome, claim};
use super::lifecycle::{begin_request, finish_request};
use super::refusals::fault_refusal;
use super::{RunningRequest, Traffic, lock};
use crate::metrics::class_name;
use crate::spans;
use hyper::StatusCode;
use reedford_core::claims::RecordedResponse;
use reedford_front::{CallRefusal, CallResponse, Outcome, PlainCall, RefusalCode, ResponseMeta};
use reedford_targets::{DispatchError, PlainResponse};
use reedford_wire::instances::{Instance, InstanceKind, InstanceState};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;
use tracing::Instrument as _;

/// Content type of responses without one.
const DEFAULT_CONTENT_TYPE: &str = "application/octet-stream";

/// A call that the rules allow.
struct PlainJob {
    group: Box<str>,
    path: Box<str>,
    repeatable: bool,
    deadline: Instant,
    revision: u64,
}

/// A response and the target that sent it.
struct TargetResponse {
    content: PlainResponse,
    target: Box<str>,
    attempt: Box<str>,
}

/// Handles a call. One that is not repeatable continues if its caller
/// disconnects, so that its outcome is recorded.
pub(super) async fn handle(traffic: &Arc<Traffic>, call: PlainCall) -> CallResponse {
    let class = class_name(call.options.class);
    let traceparent = call.options.traceparent.as_deref();
    let span = spans::request(&call.service, call.options.class, traceparent);
    let response = serve(traffic, call).instrument(span.clone()).await;
    finish_request(traffic, class, &span, response)
}

async fn serve(traffic: &Arc<Traffic>, call: PlainCall) -> Result<CallResponse, CallRefusal> {
    let running = begin_request(traffic)?;
    let job = check(traffic, &call)?;
    if job.repeatable {
        return execute(traffic, &job, &call, None).await;
    }
    let task = execute_once(Arc::clone(traffic), job, call, running);
    let joined = traffic.tasks.spawn(task.in_current_span()).await;
    joined.unwrap_or_else(|e| panic!("a call's task failed: {e}"))
}

fn check(traffic: &Traffic, call: &PlainCall) -> Result<PlainJob, CallRefusal> {
    let doc = rules_in_force(traffic)?;
    let service = doc.rules.services.get(&call.service).ok_or_else(|| {
        CallRefusal::bad_request(
            RefusalCode::UnknownService,
            &format!("no service is named {}", call.service),
        )
    })?;
    let path_is_repeatable = service.repeatable_paths.contains(&call.path);
    let repeatable = path_is_repeatable && call.options.repeatable.unwrap_or(true);
    require_key(repeatable, &call.options)?;
    apply_rate_limits(traffic, &doc, &call.service, call.options.class)?;
    Ok(PlainJob {
        group: service.group.clone(),
        path: path_and_query(call),
        repeatable,
        deadline: deadline(traffic, &call.options),
        revision: doc.revision,
    })
}

fn path_and_query(call: &PlainCall) -> Box<str> {
    match &call.query {
        Some(query) => format!("{}?{query}", call.path).into(),
        None => call.path.clone(),
    }
}

async fn execute_once(
    traffic: Arc<Traffic>,
    job: PlainJob,
    call: PlainCall,
    running: RunningRequest,
) -> Result<CallResponse, CallRefusal> {
    let claim = match claim(&traffic, &call.options, &call.request_digest)
        .instrument(spans::claim())
        .await?
    {
        ClaimOutcome::Held(claim) => claim,
        ClaimOutcome::Replay(response) => return Ok(replay(response, job.revision)),
    };
    let response = execute(&traffic, &job, &call, Some(claim)).await;
    drop(running);
    response
}

async fn execute(
    traffic: &Arc<Traffic>,
    job: &PlainJob,
    call: &PlainCall,
    claim: Option<Claim>,
) -> Result<CallResponse, CallRefusal> {
    match run_with_retries(traffic, job, call).await {
        Ok(response) => {
            if let Some(claim) = claim {
                claim.complete(recorded_response(&response)).await;
            }
            Ok(caller_response(job, response))
        }
        Err(refused) => {
            if let Some(claim) = claim.filter(|_| refused.outcome == Outcome::NotRun) {
                claim.abort().await;
            }
            Err(refused)
        }
    }
}

/// Makes the call. If an attempt fails, it is retried at another target when it
/// certainly did not run or is repeatable.
async fn run_with_retries(
    traffic: &Arc<Traffic>,
    job: &PlainJob,
    call: &PlainCall,
) -> Result<TargetResponse, CallRefusal> {
    lock(&traffic.retries).record_call();
    let mut tried = BTreeSet::new();
    let mut may_have_run = false;
    for attempt in 0..traffic.cfg.bounds.attempts {
        let allowed = attempt == 0 || traffic.try_withdraw_retry("plain");
        let Some(target) = choose_target(traffic, job, &tried).filter(|_| allowed) else {
            break;
        };
        match send(traffic, job, call, &target).await {
            Ok(response) => return Ok(response),
            Err(DispatchError::NotSent(_) | DispatchError::Refused(_)) => {}
            Err(error) => {
                tracing::warn!(event = "answer_lost", target = %target.id, %error);
                may_have_run = true;
            }
        }
        if may_have_run && !job.repeatable {
            break;
        }
        tried.insert(target.id);
    }
    if may_have_run {
        let message = "the target's answer was lost; the call may have run";
        return Err(CallRefusal::unknown(RefusalCode::TargetLost, message));
    }
    Err(fault_refusal(
        RefusalCode::NoWorker,
        "no target of the service took the call",
    ))
}

async fn send(
    traffic: &Traffic,
    job: &PlainJob,
    call: &PlainCall,
    target: &Instance,
) -> Result<TargetResponse, DispatchError> {
    let id = traffic.next_id();
    let span = spans::dispatch(&target.id, &id);
    let attempt: Box<str> = id.to_string().into();
    let traceparent = span.in_scope(spans::current_traceparent);
    let outgoing = reedford_targets::PlainRequest {
        path_and_query: job.path.clone(),
        content_type: call.content_type.clone(),
        body: call.body.clone(),
        attempt: attempt.clone(),
        idempotency_key: call.options.idempotency_key.clone(),
        traceparent: traceparent.or_else(|| call.options.traceparent.clone()),
        deadline: Some(job.deadline.saturating_duration_since(Instant::now())),
    };
    let content = traffic
        .clients
        .targets
        .plain(target.address, outgoing)
        .instrument(span)
        .await?;
    Ok(TargetResponse {
        content,
        target: target.id.clone(),
        attempt,
    })
}

/// Returns a random live target of the group that is not in `tried`, preferably
/// in this instance's zone.
fn choose_target(
    traffic: &Traffic,
    job: &PlainJob,
    tried: &BTreeSet<Box<str>>,
) -> Option<Instance> {
    let instances = Arc::clone(&traffic.instances.borrow());
    let live = instances.values().filter(|i| {
        i.kind == InstanceKind::Plain
            && i.group == job.group
            && i.state == InstanceState::Live
            && !tried.contains(&i.id)
    });
    live.min_by_key(|i| (i.zone != traffic.me.zone, rand::random::<u32>()))
        .cloned()
}

fn recorded_response(response: &TargetResponse) -> RecordedResponse {
    RecordedResponse {
        status: response.content.status,
        content_type: content_type(&response.content),
        body: String::from_utf8_lossy(&response.content.body)
            .into_owned()
            .into(),
        model: "".into(),
        target: response.target.clone(),
        attempt: response.attempt.clone(),
    }
}

fn caller_response(job: &PlainJob, response: TargetResponse) -> CallResponse {
    CallResponse::Buffered {
        status: StatusCode::from_u16(response.content.status).unwrap_or(StatusCode::OK),
        content_type: content_type(&response.content),
        body: response.content.body,
        meta: ResponseMeta {
            model: None,
            target: response.target,
            load_stall: None,
            revision: job.revision,
            attempt: response.attempt,
        },
    }
}

fn content_type(content: &PlainResponse) -> Box<str> {
    content
        .content_type
        .clone()
        .unwrap_or_else(|| DEFAULT_CONTENT_TYPE.into())
}
