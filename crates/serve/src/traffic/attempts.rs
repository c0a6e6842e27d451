//! Attempts to run a chat request on a worker.

use super::check::ChatJob;
use super::permits::{Permit, acquire_permit};
use super::refusals::{fault_refusal, permit_refusal};
use super::{Traffic, lock};
use crate::spans;
use bytes::Bytes;
use reedford_front::{CallRefusal, RefusalCode};
use reedford_rules::Class;
use reedford_targets::{DispatchError, DispatchOptions, DispatchResponse, TokenEvent, TokenStream};
use reedford_wire::chat::ChatRequest;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;
use tracing::Instrument as _;

/// Returns the priority of a class at the engines. Higher priorities run first.
const fn priority(class: Class) -> i32 {
    match class {
        Class::Lookup => 10,
        Class::Standard => 5,
        Class::Writing => 0,
    }
}

/// A response that is complete or has started.
#[derive(Debug)]
pub(super) enum WorkerResponse {
    /// The complete response.
    Whole { body: Bytes, permit: Permit },
    /// A stream whose first event, if there is any, has been read.
    Stream {
        first: Option<TokenEvent>,
        stream: Box<TokenStream>,
        permit: Permit,
    },
}

/// How an attempt failed.
#[derive(Debug)]
enum AttemptError {
    /// The request did not run on this worker.
    NotRun,
    /// The request may have run.
    Lost,
}

/// Runs a request. If an attempt fails, it is retried on another worker when it
/// certainly did not run or is repeatable, within the retry budget and the
/// deadline.
///
/// # Errors
/// Returns the refusal for the caller. Its outcome is "not run" only if no
/// attempt can have run or still be running.
pub(super) async fn run_with_retries(
    traffic: &Arc<Traffic>,
    job: &ChatJob,
    request: &ChatRequest,
) -> Result<WorkerResponse, CallRefusal> {
    lock(&traffic.retries).record_call();
    let mut tried = BTreeSet::new();
    let mut may_have_run = false;
    for attempt in 0..traffic.cfg.bounds.attempts {
        if attempt > 0 && !traffic.try_withdraw_retry(if may_have_run { "lost" } else { "not_run" })
        {
            break;
        }
        let permit = match acquire_permit(traffic, job, &tried).await {
            Ok(permit) => permit,
            Err(_) if may_have_run => return Err(response_lost(job)),
            Err(refusal) => return Err(permit_refusal(refusal)),
        };
        let worker = permit.worker.clone();
        let span = spans::dispatch(&worker, &permit.id);
        let dispatched = dispatch(traffic, job, request, permit).instrument(span);
        match dispatched.await {
            Ok(response) => return Ok(response),
            Err(AttemptError::NotRun) => {}
            Err(AttemptError::Lost) => may_have_run = true,
        }
        if may_have_run && !job.repeatable {
            return Err(response_lost(job));
        }
        tried.insert(worker);
    }
    if may_have_run {
        return Err(response_lost(job));
    }
    Err(fault_refusal(
        RefusalCode::NoWorker,
        "no worker took the request",
    ))
}

async fn dispatch(
    traffic: &Traffic,
    job: &ChatJob,
    request: &ChatRequest,
    mut permit: Permit,
) -> Result<WorkerResponse, AttemptError> {
    if !permit.is_current() || job.remaining().is_zero() {
        return Err(AttemptError::NotRun);
    }
    let options = DispatchOptions {
        attempt: permit.id.to_string().into(),
        priority: priority(job.class),
        traceparent: spans::current_traceparent().or_else(|| job.traceparent.clone()),
        deadline: Some(job.remaining()),
    };
    let started = Instant::now();
    permit.mark_sent();
    let response = traffic
        .clients
        .targets
        .dispatch(permit.address, request, options)
        .await;
    match response {
        Ok(DispatchResponse::Complete(_, body)) => {
            permit.mark_ended();
            Ok(WorkerResponse::Whole { body, permit })
        }
        Ok(DispatchResponse::Stream(stream)) => {
            await_first_token(traffic, job, stream, permit, started).await
        }
        Err(DispatchError::NotSent(_) | DispatchError::Refused(_)) => {
            permit.mark_ended();
            Err(AttemptError::NotRun)
        }
        Err(error @ (DispatchError::Lost(_) | DispatchError::Mismatch(_))) => {
            tracing::warn!(event = "answer_lost", worker = %permit.worker, attempt = %permit.id, %error);
            Err(AttemptError::Lost)
        }
    }
}

/// Waits for the first token. Until then nothing has been sent to the caller, so
/// the request can still be retried on another worker.
async fn await_first_token(
    traffic: &Traffic,
    job: &ChatJob,
    mut stream: TokenStream,
    permit: Permit,
    started: Instant,
) -> Result<WorkerResponse, AttemptError> {
    let first = match stream.next().await {
        Ok(first) => first,
        Err(error) => {
            tracing::warn!(event = "stream_lost", worker = %permit.worker, attempt = %permit.id, %error);
            let resumed = super::relay::resume(traffic, job, &permit, 0).await;
            stream = resumed.ok_or(AttemptError::Lost)?;
            stream.next().await.map_err(|_again| AttemptError::Lost)?
        }
    };
    traffic
        .metrics
        .record_first_token(job.class, started.elapsed() + permit.load_stall);
    Ok(WorkerResponse::Stream {
        first,
        stream: Box::new(stream),
        permit,
    })
}

fn response_lost(job: &ChatJob) -> CallRefusal {
    let message = "the target's answer was lost; the request may have run";
    let mut refused = CallRefusal::unknown(RefusalCode::TargetLost, message);
    if job.repeatable {
        refused.retry_after = fault_refusal(RefusalCode::TargetLost, message).retry_after;
    }
    refused
}
