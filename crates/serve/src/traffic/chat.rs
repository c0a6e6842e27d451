//! Chat requests.

use super::attempts::{WorkerResponse, run_with_retries};
use super::check::{ChatJob, check_chat};
use super::claims::{Claim, ClaimOutcome, claim};
use super::lifecycle::{begin_request, finish_request};
use super::permits::Permit;
use super::relay::{CALLER_QUEUE_EVENTS, Relay, recorded_response};
use super::{RunningRequest, Traffic};
use crate::metrics::class_name;
use crate::spans;
use bytes::Bytes;
use hyper::StatusCode;
use reedford_core::claims::RecordedResponse;
use reedford_front::{CallRefusal, CallResponse, ChatCall, Outcome, ResponseMeta};
use std::sync::Arc;
use tokio::sync::mpsc;
use tracing::Instrument as _;

/// Content type of responses that are not streamed.
const JSON: &str = "application/json";

/// Handles a request. One that is not repeatable continues if its caller
/// disconnects, so that its outcome is recorded.
pub(super) async fn handle(traffic: &Arc<Traffic>, call: ChatCall) -> CallResponse {
    let class = class_name(call.options.class);
    let model = format!("{}@{}", call.adapter, call.version);
    let traceparent = call.options.traceparent.as_deref();
    let span = spans::request(&model, call.options.class, traceparent);
    let response = serve(traffic, call).instrument(span.clone()).await;
    finish_request(traffic, class, &span, response)
}

async fn serve(traffic: &Arc<Traffic>, call: ChatCall) -> Result<CallResponse, CallRefusal> {
    let running = begin_request(traffic)?;
    let job = check_chat(traffic, &call)?;
    if job.repeatable {
        return execute(traffic, job, call, None, running).await;
    }
    let task = execute_once(Arc::clone(traffic), job, call, running);
    let joined = traffic.tasks.spawn(task.in_current_span()).await;
    joined.unwrap_or_else(|e| panic!("a request's task failed: {e}"))
}

async fn execute_once(
    traffic: Arc<Traffic>,
    job: ChatJob,
    call: ChatCall,
    running: RunningRequest,
) -> Result<CallResponse, CallRefusal> {
    let claim = match claim(&traffic, &call.options, &call.request_digest)
        .instrument(spans::claim())
        .await?
    {
        ClaimOutcome::Held(claim) => claim,
        ClaimOutcome::Replay(response) => return Ok(replay(response, job.revision)),
    };
    execute(&traffic, job, call, Some(claim), running).await
}

async fn execute(
    traffic: &Arc<Traffic>,
    job: ChatJob,
    call: ChatCall,
    claim: Option<Claim>,
    running: RunningRequest,
) -> Result<CallResponse, CallRefusal> {
    match run_with_retries(traffic, &job, &call.request).await {
        Ok(WorkerResponse::Whole { body, permit }) => {
            Ok(whole_response(&job, body, &permit, claim).await)
        }
        Ok(WorkerResponse::Stream {
            first,
            stream,
            permit,
        }) => {
            let meta = response_meta(&job, &permit);
            let (tx, rx) = mpsc::channel(CALLER_QUEUE_EVENTS);
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
            let task = async move {
                relay.run(first).await;
                drop(running);
            };
            tasks.spawn(task.instrument(spans::relay()));
            Ok(CallResponse::Stream { body: rx, meta })
        }
        Err(refused) => {
            // The caller is told that the request did not run. Aborting the
            // claim records that this claimant won't send it later.
            if let Some(claim) = claim.filter(|_| refused.outcome == Outcome::NotRun) {
                claim.abort().await;
            }
            Err(refused)
        }
    }
}

async fn whole_response(
    job: &ChatJob,
    body: Bytes,
    permit: &Permit,
    claim: Option<Claim>,
) -> CallResponse {
    if let Some(claim) = claim {
        let text = String::from_utf8_lossy(&body).into_owned().into();
        claim
            .complete(recorded_response(job, permit, JSON, text))
            .await;
    }
    CallResponse::Buffered {
        status: StatusCode::OK,
        content_type: JSON.into(),
        body,
        meta: response_meta(job, permit),
    }
}

/// Returns the response that was recorded for an earlier request with the key.
pub(super) fn replay(response: RecordedResponse, revision: u64) -> CallResponse {
    let model = (!response.model.is_empty()).then_some(response.model);
    CallResponse::Buffered {
        status: StatusCode::from_u16(response.status).unwrap_or(StatusCode::OK),
        content_type: response.content_type,
        body: Bytes::from(response.body.into_string()),
        meta: ResponseMeta {
            model,
            target: response.target,
            load_stall: None,
            revision,
            attempt: response.attempt,
        },
    }
}

fn response_meta(job: &ChatJob, permit: &Permit) -> ResponseMeta {
    ResponseMeta {
        model: Some(job.target.to_string().into()),
        target: permit.worker.clone(),
        load_stall: Some(permit.load_stall),
        revision: job.revision,
        attempt: permit.id.to_string().into(),
    }
}
