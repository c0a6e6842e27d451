//! Calls to plain services.

use super::chat::replay;
use super::check::{admit, deadline, require_key, rules};
use super::claims::{Claim, Claimed, claim};
use super::ends::{enter, finish};
use super::refusals::fault;
use super::{Running, Traffic, lock};
use crate::metrics::class_name;
use crate::spans;
use hyper::StatusCode;
use reedford_core::claims::RecordedResponse;
use reedford_front::{Answer, AnswerMeta, Outcome, PlainCall, Refused, RefusedCode};
use reedford_targets::{DispatchError, PlainResponse};
use reedford_wire::instances::{Instance, InstanceKind, InstanceState};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;
use tracing::Instrument as _;

/// Content type of an answer that names none.
const BYTES: &str = "application/octet-stream";

/// A call that the rules allow.
struct Job {
    group: Box<str>,
    path: Box<str>,
    repeatable: bool,
    deadline: Instant,
    revision: u64,
}

/// An answer and the target that gave it.
struct Answered {
    reply: PlainResponse,
    target: Box<str>,
    attempt: Box<str>,
}

/// Handles a call. A call that may run only once goes on when its caller goes
/// away, so that its outcome is recorded.
pub(super) async fn handle(traffic: &Arc<Traffic>, call: PlainCall) -> Answer {
    let class = class_name(call.options.class);
    let traceparent = call.options.traceparent.as_deref();
    let span = spans::request(&call.service, call.options.class, traceparent);
    let answer = serve(traffic, call).instrument(span.clone()).await;
    finish(traffic, class, &span, answer)
}

async fn serve(traffic: &Arc<Traffic>, call: PlainCall) -> Result<Answer, Refused> {
    let running = enter(traffic)?;
    let job = check(traffic, &call)?;
    if job.repeatable {
        return execute(traffic, &job, &call, None).await;
    }
    let task = once(Arc::clone(traffic), job, call, running);
    let joined = traffic.tasks.spawn(task.in_current_span()).await;
    joined.unwrap_or_else(|e| panic!("a call's task failed: {e}"))
}

fn check(traffic: &Traffic, call: &PlainCall) -> Result<Job, Refused> {
    let doc = rules(traffic)?;
    let service = doc.rules.services.get(&call.service).ok_or_else(|| {
        Refused::bad_request(
            RefusedCode::UnknownService,
            &format!("no service is named {}", call.service),
        )
    })?;
    let listed = service.repeatable_paths.contains(&call.path);
    let repeatable = listed && call.options.repeatable.unwrap_or(true);
    require_key(repeatable, &call.options)?;
    admit(traffic, &doc, &call.service, call.options.class)?;
    Ok(Job {
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

async fn once(
    traffic: Arc<Traffic>,
    job: Job,
    call: PlainCall,
    running: Running,
) -> Result<Answer, Refused> {
    let claim = match claim(&traffic, &call.options, &call.body_digest)
        .instrument(spans::claim())
        .await?
    {
        Claimed::Held(claim) => claim,
        Claimed::Replay(answer) => return Ok(replay(answer, job.revision)),
    };
    let answer = execute(&traffic, &job, &call, Some(claim)).await;
    drop(running);
    answer
}

async fn execute(
    traffic: &Arc<Traffic>,
    job: &Job,
    call: &PlainCall,
    claim: Option<Claim>,
) -> Result<Answer, Refused> {
    match run(traffic, job, call).await {
        Ok(answered) => {
            if let Some(claim) = claim {
                claim.done(recorded(&answered)).await;
            }
            Ok(whole(job, answered))
        }
        Err(refused) => {
            if let Some(claim) = claim.filter(|_| refused.outcome == Outcome::NotRun) {
                claim.abort().await;
            }
            Err(refused)
        }
    }
}

/// Makes the call: again at another target when it surely did not run, or when
/// it may be repeated.
async fn run(traffic: &Arc<Traffic>, job: &Job, call: &PlainCall) -> Result<Answered, Refused> {
    lock(&traffic.retries).record_call();
    let mut tried = BTreeSet::new();
    let mut may_have_run = false;
    for attempt in 0..traffic.cfg.bounds.attempts {
        let retried = attempt == 0 || traffic.may_retry("plain");
        let Some(target) = choose(traffic, job, &tried).filter(|_| retried) else {
            break;
        };
        match send(traffic, job, call, &target).await {
            Ok(answered) => return Ok(answered),
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
        return Err(Refused::unknown(RefusedCode::TargetLost, message));
    }
    Err(fault(
        RefusedCode::NoWorker,
        "no target of the service took the call",
    ))
}

async fn send(
    traffic: &Traffic,
    job: &Job,
    call: &PlainCall,
    target: &Instance,
) -> Result<Answered, DispatchError> {
    let id = traffic.next_id();
    let span = spans::dispatch(&target.id, &id);
    let attempt: Box<str> = id.to_string().into();
    let traceparent = span.in_scope(spans::current_traceparent);
    let outgoing = reedford_targets::PlainCall {
        path_and_query: job.path.clone(),
        content_type: call.content_type.clone(),
        body: call.body.clone(),
        attempt: attempt.clone(),
        key: call.options.idempotency_key.clone(),
        traceparent: traceparent.or_else(|| call.options.traceparent.clone()),
        deadline: Some(job.deadline.saturating_duration_since(Instant::now())),
    };
    let reply = traffic
        .clients
        .targets
        .plain(target.address, outgoing)
        .instrument(span)
        .await?;
    Ok(Answered {
        reply,
        target: target.id.clone(),
        attempt,
    })
}

/// A live target of the group, the own zone's first, at random among equals.
fn choose(traffic: &Traffic, job: &Job, tried: &BTreeSet<Box<str>>) -> Option<Instance> {
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

fn recorded(answered: &Answered) -> RecordedResponse {
    RecordedResponse {
        status: answered.reply.status,
        content_type: content_type(&answered.reply),
        body: String::from_utf8_lossy(&answered.reply.body)
            .into_owned()
            .into(),
        model: "".into(),
        target: answered.target.clone(),
        attempt: answered.attempt.clone(),
    }
}

fn whole(job: &Job, answered: Answered) -> Answer {
    Answer::Whole {
        status: StatusCode::from_u16(answered.reply.status).unwrap_or(StatusCode::OK),
        content_type: content_type(&answered.reply),
        body: answered.reply.body,
        meta: AnswerMeta {
            model: None,
            target: answered.target,
            load_stall: None,
            revision: job.revision,
            attempt: answered.attempt,
        },
    }
}

fn content_type(reply: &PlainResponse) -> Box<str> {
    reply.content_type.clone().unwrap_or_else(|| BYTES.into())
}
