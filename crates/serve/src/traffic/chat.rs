//! Chat calls, from check to answer.

use super::attempts::{Answered, run};
use super::check::{Job, check_chat};
use super::claims::{Claim, Claimed, claim};
use super::ends::{enter, finish};
use super::permits::Permit;
use super::relay::{CALLER_QUEUE, Relay, recorded};
use super::{Running, Traffic};
use crate::metrics::class_name;
use crate::spans;
use bytes::Bytes;
use hyper::StatusCode;
use reedford_core::claims::RecordedResponse;
use reedford_front::{Answer, AnswerMeta, ChatCall, Outcome, Refused};
use std::sync::Arc;
use tokio::sync::mpsc;
use tracing::Instrument as _;

/// Content type of whole answers.
const JSON: &str = "application/json";

/// Handles a call. A call that may run only once goes on when its caller goes
/// away, so that its outcome is recorded.
pub(super) async fn handle(traffic: &Arc<Traffic>, call: ChatCall) -> Answer {
    let class = class_name(call.options.class);
    let model = format!("{}@{}", call.adapter, call.version);
    let traceparent = call.options.traceparent.as_deref();
    let span = spans::request(&model, call.options.class, traceparent);
    let answer = serve(traffic, call).instrument(span.clone()).await;
    finish(traffic, class, &span, answer)
}

async fn serve(traffic: &Arc<Traffic>, call: ChatCall) -> Result<Answer, Refused> {
    let running = enter(traffic)?;
    let job = check_chat(traffic, &call)?;
    if job.repeatable {
        return execute(traffic, job, call, None, running).await;
    }
    let task = once(Arc::clone(traffic), job, call, running);
    let joined = traffic.tasks.spawn(task.in_current_span()).await;
    joined.unwrap_or_else(|e| panic!("a request's task failed: {e}"))
}

async fn once(
    traffic: Arc<Traffic>,
    job: Job,
    call: ChatCall,
    running: Running,
) -> Result<Answer, Refused> {
    let claim = match claim(&traffic, &call.options, &call.body_digest)
        .instrument(spans::claim())
        .await?
    {
        Claimed::Held(claim) => claim,
        Claimed::Replay(answer) => return Ok(replay(answer, job.revision)),
    };
    execute(&traffic, job, call, Some(claim), running).await
}

async fn execute(
    traffic: &Arc<Traffic>,
    job: Job,
    call: ChatCall,
    claim: Option<Claim>,
    running: Running,
) -> Result<Answer, Refused> {
    match run(traffic, &job, &call.request).await {
        Ok(Answered::Whole { body, permit }) => Ok(whole(&job, body, &permit, claim).await),
        Ok(Answered::Stream {
            first,
            stream,
            permit,
        }) => {
            let meta = meta(&job, &permit);
            let (tx, rx) = mpsc::channel(CALLER_QUEUE);
            let traffic = Arc::clone(traffic);
            let tasks = traffic.tasks.clone();
            let relay = Relay {
                traffic,
                job,
                permit,
                stream,
                claim,
                tx,
            };
            let relaying = async move {
                relay.run(first).await;
                drop(running);
            };
            tasks.spawn(relaying.instrument(spans::relay()));
            Ok(Answer::Stream { body: rx, meta })
        }
        Err(refused) => {
            // What was told as "not run" must stay so: this attempt has ended
            // and the claim says that none of it will come.
            if let Some(claim) = claim.filter(|_| refused.outcome == Outcome::NotRun) {
                claim.abort().await;
            }
            Err(refused)
        }
    }
}

async fn whole(job: &Job, body: Bytes, permit: &Permit, claim: Option<Claim>) -> Answer {
    if let Some(claim) = claim {
        let text = String::from_utf8_lossy(&body).into_owned().into();
        claim.done(recorded(job, permit, JSON, text)).await;
    }
    Answer::Whole {
        status: StatusCode::OK,
        content_type: JSON.into(),
        body,
        meta: meta(job, permit),
    }
}

/// The recorded answer of an earlier run.
pub(super) fn replay(answer: RecordedResponse, revision: u64) -> Answer {
    let model = (!answer.model.is_empty()).then_some(answer.model);
    Answer::Whole {
        status: StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK),
        content_type: answer.content_type,
        body: Bytes::from(answer.body.into_string()),
        meta: AnswerMeta {
            model,
            target: answer.target,
            load_stall: None,
            revision,
            attempt: answer.attempt,
        },
    }
}

fn meta(job: &Job, permit: &Permit) -> AnswerMeta {
    AnswerMeta {
        model: Some(job.target.to_string().into()),
        target: permit.worker.clone(),
        load_stall: Some(permit.load_stall),
        revision: job.revision,
        attempt: permit.id.to_string().into(),
    }
}
