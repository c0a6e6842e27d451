//! Sends requests and reads their responses.

mod request;

use crate::load::balancer::Balancer;
use crate::load::experiment::{Experiment, Model, NamesError};
use crate::load::response::{
    ExpectedResponse, Failure, Outcome, RequestRecord, ResponseViolation, StreamReader,
    StreamResult, read_complete, read_refusal,
};
use crate::load::sse::EventReader;
use crate::load::workload::{Arrival, ClassMix};
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, RETRY_AFTER};
use hyper::{Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use reedford_wire::headers;
use reedford_wire::plain::Receipt;
use request::RequestSpec;
use std::time::Duration;
use tokio::time::Instant;

/// Time after the deadline for which the sender waits for the end of a
/// response.
const RESPONSE_GRACE: Duration = Duration::from_secs(5);
/// Timeout for connecting to an entry instance.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Sends the requests of one run.
#[derive(Debug)]
pub(crate) struct Sender {
    client: Client<HttpConnector, Full<Bytes>>,
    balancer: Balancer,
    models: Vec<Model>,
    classes: Vec<ClassMix>,
    come_back: bool,
    /// Unique name of the run, the prefix of its idempotency keys.
    run_name: Box<str>,
}

/// Result of one exchange. Times count from the intended arrival.
struct ExchangeResult {
    outcome: Outcome,
    stall: Option<Duration>,
    first_token: Option<Duration>,
    token_gaps: Vec<Duration>,
    violations: Vec<ResponseViolation>,
}

impl ExchangeResult {
    const fn without_measurements(outcome: Outcome) -> Self {
        Self {
            outcome,
            stall: None,
            first_token: None,
            token_gaps: Vec::new(),
            violations: Vec::new(),
        }
    }

    const fn failed(failure: Failure) -> Self {
        Self::without_measurements(Outcome::Failed(failure))
    }
}

impl Sender {
    pub(crate) fn new(experiment: &Experiment, run_name: &str) -> Result<Self, NamesError> {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        Ok(Self {
            client,
            balancer: Balancer::new(&experiment.entries, experiment.spread),
            models: experiment.names.models(experiment.workload.adapters)?,
            classes: experiment.workload.classes.clone(),
            come_back: experiment.come_back,
            run_name: run_name.into(),
        })
    }

    /// Sends request number `seq`, whose intended arrival is `intended`.
    pub(crate) async fn send(
        &self,
        seq: usize,
        arrival: Arrival,
        intended: Instant,
    ) -> RequestRecord {
        let mix = &self.classes[arrival.class];
        let spec = RequestSpec {
            mix,
            model: &self.models[arrival.adapter],
            tokens: arrival.tokens,
            key: format!("{}-{seq}", self.run_name).into(),
        };
        let send_lag = intended.elapsed();
        let result = self.exchange(seq, &spec, intended).await;
        let end = intended.elapsed();
        let retry_outcome = self.retry_after_refusal(seq, &spec, &result.outcome).await;
        RequestRecord {
            at: arrival.at,
            class: arrival.class,
            send_lag,
            outcome: result.outcome,
            stall: result.stall,
            first_token: result.first_token,
            token_gaps: result.token_gaps,
            end,
            violations: result.violations,
            retry_outcome,
        }
    }

    async fn retry_after_refusal(
        &self,
        seq: usize,
        spec: &RequestSpec<'_>,
        outcome: &Outcome,
    ) -> Option<Outcome> {
        let Outcome::Refused(refused) = outcome else {
            return None;
        };
        let wait = refused.retry_after.filter(|_wait| self.come_back)?;
        tokio::time::sleep(wait).await;
        let result = self.exchange(seq, spec, Instant::now()).await;
        Some(result.outcome)
    }

    async fn exchange(
        &self,
        seq: usize,
        spec: &RequestSpec<'_>,
        intended: Instant,
    ) -> ExchangeResult {
        let limit = intended + spec.mix.deadline() + RESPONSE_GRACE;
        let exchange = async {
            match self.connect_and_send(seq, spec).await {
                Ok(response) => read_response(spec, response, intended).await,
                Err(failure) => ExchangeResult::failed(failure),
            }
        };
        let result = tokio::time::timeout_at(limit, exchange).await;
        result.unwrap_or(ExchangeResult::failed(Failure::NoResponse))
    }

    /// Tries the entry instances in the balancer's order until one accepts the
    /// connection.
    async fn connect_and_send(
        &self,
        seq: usize,
        spec: &RequestSpec<'_>,
    ) -> Result<Response<Incoming>, Failure> {
        for address in self.balancer.order(seq) {
            let req: Request<Full<Bytes>> = spec.request(address);
            match self.client.request(req).await {
                Ok(response) => return Ok(response),
                Err(error) if error.is_connect() => (),
                Err(_) => return Err(Failure::Cut),
            }
        }
        Err(Failure::Connect)
    }
}

async fn read_response(
    spec: &RequestSpec<'_>,
    response: Response<Incoming>,
    intended: Instant,
) -> ExchangeResult {
    let headers = response.headers().clone();
    if !response.status().is_success() {
        return read_error(response.into_body(), &headers).await;
    }
    let mut result = match (&spec.mix.plain, spec.mix.stream) {
        (Some(_), _) => read_receipt(spec, response.into_body(), &headers).await,
        (None, true) => read_stream(spec, response.into_body(), &headers, intended).await,
        (None, false) => read_chat(spec, response.into_body(), &headers).await,
    };
    if spec.mix.plain.is_none() {
        result.stall = header_millis(&headers, headers::LOAD_STALL_MS);
        check_model_header(spec, &headers, &mut result.violations);
    }
    result
}

async fn read_error(body: Incoming, headers: &HeaderMap) -> ExchangeResult {
    let retry_after = header_text(headers, RETRY_AFTER.as_str());
    let retry_after = retry_after.and_then(|value| value.parse().ok());
    match body.collect().await {
        Ok(body) => {
            let after = retry_after.map(Duration::from_secs);
            ExchangeResult::without_measurements(read_refusal(&body.to_bytes(), after))
        }
        Err(_) => ExchangeResult::failed(Failure::Cut),
    }
}

async fn read_chat(spec: &RequestSpec<'_>, body: Incoming, headers: &HeaderMap) -> ExchangeResult {
    let Ok(body) = body.collect().await else {
        return ExchangeResult::failed(Failure::Cut);
    };
    let (outcome, violations) = read_complete(&expected(spec, headers), &body.to_bytes());
    ExchangeResult {
        violations,
        ..ExchangeResult::without_measurements(outcome)
    }
}

async fn read_receipt(
    spec: &RequestSpec<'_>,
    body: Incoming,
    headers: &HeaderMap,
) -> ExchangeResult {
    let Ok(body) = body.collect().await else {
        return ExchangeResult::failed(Failure::Cut);
    };
    let Ok(receipt) = serde_json::from_slice::<Receipt>(&body.to_bytes()) else {
        return ExchangeResult::failed(Failure::BadResponse);
    };
    let mut result = ExchangeResult::without_measurements(Outcome::Done);
    let attempt = header_text(headers, headers::ATTEMPT_ID);
    if attempt.is_some_and(|attempt| attempt != &*receipt.attempt) {
        result.violations.push(ResponseViolation::Attempt);
    }
    if *receipt.body != spec.plain_body() {
        result.violations.push(ResponseViolation::Text);
    }
    result
}

async fn read_stream(
    spec: &RequestSpec<'_>,
    mut body: Incoming,
    headers: &HeaderMap,
    intended: Instant,
) -> ExchangeResult {
    let mut events = EventReader::default();
    let mut stream = StreamReader::new(expected(spec, headers));
    while let Some(Ok(frame)) = body.frame().await {
        let now = intended.elapsed();
        let piece = frame.into_data().unwrap_or_else(|_trailers| Bytes::new());
        for event in events.push(&piece) {
            stream.on_event(now, &event);
        }
    }
    stream_result(stream.finish())
}

fn stream_result(streamed: StreamResult) -> ExchangeResult {
    ExchangeResult {
        outcome: streamed.outcome,
        stall: None,
        first_token: streamed.first_token,
        token_gaps: streamed.token_gaps,
        violations: streamed.violations,
    }
}

fn expected(spec: &RequestSpec<'_>, headers: &HeaderMap) -> ExpectedResponse {
    ExpectedResponse {
        model: spec.model.name.clone(),
        attempt: header_text(headers, headers::ATTEMPT_ID).map(Box::from),
        tokens: spec.tokens,
    }
}

fn check_model_header(
    spec: &RequestSpec<'_>,
    headers: &HeaderMap,
    violations: &mut Vec<ResponseViolation>,
) {
    let matches = header_text(headers, headers::MODEL) == Some(&*spec.model.name);
    if !matches && !violations.contains(&ResponseViolation::Model) {
        violations.push(ResponseViolation::Model);
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn header_millis(headers: &HeaderMap, name: &str) -> Option<Duration> {
    let value = header_text(headers, name)?.parse().ok()?;
    Some(Duration::from_millis(value))
}
