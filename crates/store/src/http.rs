//! HTTP requests to the platform, with failover between its addresses.

use crate::body::{Body, Deadline, read_body, read_error};
use crate::connector::Connector;
use crate::eras::EraHeader;
use crate::kv::KvError;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::rt::Executor;
use hyper::{Method, Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use reedford_core::Era;
use reedford_transport::MAX_HEAD_BYTES;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

type HttpClient = Client<Connector, Full<Bytes>>;

/// Addresses of the platform and timeouts of requests to it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointConfig {
    /// Addresses of the platform. The one that responded last is tried first.
    pub addresses: Vec<SocketAddr>,
    /// Time to connect to one address.
    pub connect_timeout: Duration,
    /// Time for one call, including the attempts at all addresses, beside that in which
    /// the body of a response arrives.
    pub call_timeout: Duration,
    /// Time without a message after which a watch counts as failed.
    pub watch_timeout: Duration,
}

/// Whether a call may be sent again when its outcome is not known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Idempotency {
    /// The call changes nothing, or has the same effect when sent again. It is
    /// tried at the next address after any failure except a rejection.
    Idempotent,
    /// The call may change something. It is tried at the next address only if
    /// nothing was sent.
    NonIdempotent,
}

/// A request without the address that it is sent to.
pub(crate) struct Call<'a> {
    pub(crate) method: Method,
    pub(crate) path: &'a str,
    pub(crate) body: Bytes,
    pub(crate) idempotency: Idempotency,
}

/// The decoded body of a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Reply<T> {
    /// Era of the store that responded.
    pub era: Era,
    /// The body.
    pub body: T,
}

/// HTTP client of the platform. After a timeout all idle connections are
/// dropped: others may have stopped responding too, and the next call must not
/// use one of them.
#[derive(Debug)]
pub struct Endpoint {
    cfg: EndpointConfig,
    /// Where responses carry the era, if the service has eras.
    era_header: Option<EraHeader>,
    /// Index of the address that the next call tries first.
    first_address: AtomicUsize,
    current: Mutex<CurrentClient>,
    connections: ConnectionTasks,
}

/// The current HTTP client, which holds the idle connections.
#[derive(Clone, Debug)]
struct CurrentClient {
    /// Number of replacements so far. If several calls over one client time out,
    /// only the first of them replaces it.
    generation: u64,
    client: HttpClient,
}

/// Executor of the connections' tasks, which [`Endpoint::close`] waits for.
#[derive(Clone, Debug)]
struct ConnectionTasks {
    tasks: TaskTracker,
    stop: CancellationToken,
}

impl<Fut> Executor<Fut> for ConnectionTasks
where
    Fut: Future + Send + 'static,
    Fut::Output: Send + 'static,
{
    fn execute(&self, fut: Fut) {
        let stop = self.stop.clone();
        self.tasks.spawn(async move {
            stop.run_until_cancelled(fut).await;
        });
    }
}

impl Endpoint {
    /// Creates an endpoint. Connections are opened when they are needed.
    #[must_use]
    pub fn new(cfg: EndpointConfig) -> Self {
        let connections = ConnectionTasks {
            tasks: TaskTracker::new(),
            stop: CancellationToken::new(),
        };
        let client = new_client(&cfg, &connections);
        Self {
            cfg,
            era_header: None,
            first_address: AtomicUsize::new(0),
            current: Mutex::new(CurrentClient {
                generation: 0,
                client,
            }),
            connections,
        }
    }

    /// Reads the era of each response from a header field. A response of an
    /// earlier era than the newest one that `header` has recorded counts as
    /// none.
    #[must_use]
    pub fn with_era_header(self, header: EraHeader) -> Self {
        Self {
            era_header: Some(header),
            ..self
        }
    }

    /// Closes all connections, which ends the watches, and waits for their tasks.
    /// Later calls fail.
    pub async fn close(&self) {
        self.connections.stop.cancel();
        self.connections.tasks.close();
        self.connections.tasks.wait().await;
    }

    pub(crate) fn watch_timeout(&self) -> Duration {
        self.cfg.watch_timeout
    }

    pub(crate) async fn post<Req, Res>(
        &self,
        path: &str,
        idempotency: Idempotency,
        req: &Req,
    ) -> Result<Reply<Res>, KvError>
    where
        Req: Serialize,
        Res: DeserializeOwned,
    {
        let call = Call {
            method: Method::POST,
            path,
            body: encode(req)?,
            idempotency,
        };
        decode(self.call(&call).await?)
    }

    /// Makes a POST call that may change something and is not sent again if its
    /// outcome is unknown.
    ///
    /// # Errors
    /// Any [`KvError`].
    pub async fn post_non_idempotent<Req, Res>(
        &self,
        path: &str,
        req: &Req,
    ) -> Result<Reply<Res>, KvError>
    where
        Req: Serialize,
        Res: DeserializeOwned,
    {
        self.post(path, Idempotency::NonIdempotent, req).await
    }

    /// Makes an idempotent POST call without a body.
    ///
    /// # Errors
    /// Any [`KvError`].
    pub async fn post_idempotent_without_body<Res>(&self, path: &str) -> Result<Reply<Res>, KvError>
    where
        Res: DeserializeOwned,
    {
        decode(
            self.call_without_body(Method::POST, path, Idempotency::Idempotent)
                .await?,
        )
    }

    /// Makes a DELETE call, which is not sent again if its outcome is unknown.
    ///
    /// # Errors
    /// Any [`KvError`].
    pub async fn delete(&self, path: &str) -> Result<(), KvError> {
        self.call_without_body(Method::DELETE, path, Idempotency::NonIdempotent)
            .await?;
        Ok(())
    }

    /// Makes a GET call.
    ///
    /// # Errors
    /// Any [`KvError`].
    pub async fn get<Res>(&self, path: &str) -> Result<Reply<Res>, KvError>
    where
        Res: DeserializeOwned,
    {
        decode(
            self.call_without_body(Method::GET, path, Idempotency::Idempotent)
                .await?,
        )
    }

    async fn call_without_body(
        &self,
        method: Method,
        path: &str,
        idempotency: Idempotency,
    ) -> Result<Reply<Bytes>, KvError> {
        let call = Call {
            method,
            path,
            body: Bytes::new(),
            idempotency,
        };
        self.call(&call).await
    }

    /// Sends a call and reads the whole response body.
    async fn call(&self, call: &Call<'_>) -> Result<Reply<Bytes>, KvError> {
        self.try_addresses(call, |res, deadline| async move {
            let era = self.era(&res);
            let body = read_body(Body::new(res), &deadline).await?;
            Ok(Reply { era, body })
        })
        .await
    }

    /// Sends a call and returns the response body once the headers have arrived.
    pub(crate) async fn open_stream(&self, call: &Call<'_>) -> Result<Body, KvError> {
        self.try_addresses(call, |res, _deadline| async { Ok(Body::new(res)) })
            .await
    }

    /// Sends a call to the addresses in turn until one of them gives a final
    /// outcome or the time for the call is over.
    async fn try_addresses<F, Fut, T>(&self, call: &Call<'_>, read: F) -> Result<T, KvError>
    where
        F: Fn(Response<Incoming>, Arc<Deadline>) -> Fut,
        Fut: Future<Output = Result<T, KvError>>,
    {
        let deadline = Instant::now() + self.cfg.call_timeout;
        let count = self.cfg.addresses.len();
        let first = self.first_address.load(Ordering::Relaxed);
        let mut last_error = not_sent("no address is set");
        for index in (first..first + count).map(|n| n % count) {
            match self.try_address(index, call, deadline, &read).await {
                Err(error) if may_try_next(&error, call.idempotency) => {
                    self.first_address
                        .store((index + 1) % count, Ordering::Relaxed);
                    last_error = error;
                }
                outcome => {
                    self.set_first_address(index, count, &outcome);
                    return outcome;
                }
            }
            if Instant::now() >= deadline {
                break;
            }
        }
        Err(last_error)
    }

    /// Sets the first address of the next call: this one if it responded, else
    /// the one after it.
    fn set_first_address<T>(&self, index: usize, count: usize, outcome: &Result<T, KvError>) {
        let next = match outcome {
            Ok(_) | Err(KvError::Rejected { .. }) => index,
            Err(KvError::NotSent { .. } | KvError::Unknown { .. }) => (index + 1) % count,
        };
        self.first_address.store(next, Ordering::Relaxed);
    }

    async fn try_address<F, Fut, T>(
        &self,
        index: usize,
        call: &Call<'_>,
        deadline: Instant,
        read: &F,
    ) -> Result<T, KvError>
    where
        F: Fn(Response<Incoming>, Arc<Deadline>) -> Fut,
        Fut: Future<Output = Result<T, KvError>>,
    {
        let deadline = Arc::new(Deadline::new(deadline));
        let current = self.current_client();
        let req = request(self.cfg.addresses[index], call)?;
        let exchange = async {
            let res = current.client.request(req).await.map_err(|error| {
                if error.is_connect() {
                    not_sent(&error.to_string())
                } else {
                    unknown_outcome(error)
                }
            })?;
            let era = self.era(&res);
            let outcome = if res.status().is_success() {
                read(res, Arc::clone(&deadline)).await
            } else {
                Err(error_from_response(res, era, call.idempotency).await)
            };
            // The body may have arrived after a response of a later era.
            match &self.era_header {
                Some(header) if !header.eras.observe(era) => Err(unknown_outcome(format!(
                    "response of era {era}, the store is in {}",
                    header.eras.newest()
                ))),
                _ => outcome,
            }
        };
        tokio::select! {
            biased;
            outcome = exchange => outcome,
            () = deadline.passed() => {
                self.replace_client(current.generation);
                Err(unknown_outcome("deadline has elapsed"))
            }
        }
    }

    /// Returns the era of a response.
    fn era(&self, res: &Response<Incoming>) -> Era {
        let header = self.era_header.as_ref();
        header.map_or(Era::FIRST, |header| header.read(res.headers()))
    }

    fn current_client(&self) -> CurrentClient {
        let current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        current.clone()
    }

    /// Replaces the client and drops its idle connections, unless the client of
    /// this generation was already replaced.
    fn replace_client(&self, generation: u64) {
        let mut current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        if current.generation == generation {
            *current = CurrentClient {
                generation: generation + 1,
                client: new_client(&self.cfg, &self.connections),
            };
        }
    }
}

fn new_client(cfg: &EndpointConfig, connections: &ConnectionTasks) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(cfg.connect_timeout));
    connector.set_nodelay(true);
    // hyper retries a request only if the connection returned it unsent, so its
    // retry never sends a write twice.
    Client::builder(connections.clone())
        .http1_max_buf_size(MAX_HEAD_BYTES)
        .build(Connector(connector))
}

fn request(address: SocketAddr, call: &Call<'_>) -> Result<Request<Full<Bytes>>, KvError> {
    Request::builder()
        .method(call.method.clone())
        .uri(format!("http://{address}{}", call.path))
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(call.body.clone()))
        .map_err(|error| not_sent(&error.to_string()))
}

/// Returns whether a call that failed may be sent to the next address.
fn may_try_next(error: &KvError, idempotency: Idempotency) -> bool {
    match (error, idempotency) {
        (KvError::NotSent { .. }, _) | (KvError::Unknown { .. }, Idempotency::Idempotent) => true,
        (KvError::Unknown { .. }, Idempotency::NonIdempotent) | (KvError::Rejected { .. }, _) => {
            false
        }
    }
}

/// Returns the error for a response with an error status. After a server error
/// the outcome of a call that is not idempotent is unknown: the service may have
/// forwarded the call before it failed.
async fn error_from_response(
    res: Response<Incoming>,
    era: Era,
    idempotency: Idempotency,
) -> KvError {
    let status = res.status();
    let message = read_error(Body::new(res)).await;
    if status.is_server_error() && idempotency == Idempotency::NonIdempotent {
        return unknown_outcome(format!("status {status}: {message}"));
    }
    KvError::Rejected {
        status: status.as_u16(),
        era,
        message,
    }
}

fn encode<Req>(req: &Req) -> Result<Bytes, KvError>
where
    Req: Serialize,
{
    serde_json::to_vec(req)
        .map(Bytes::from)
        .map_err(|error| not_sent(&error.to_string()))
}

fn decode<Res>(reply: Reply<Bytes>) -> Result<Reply<Res>, KvError>
where
    Res: DeserializeOwned,
{
    Ok(Reply {
        era: reply.era,
        body: serde_json::from_slice(&reply.body).map_err(unknown_outcome)?,
    })
}

fn not_sent(message: &str) -> KvError {
    KvError::NotSent {
        message: message.into(),
    }
}

pub(crate) fn unknown_outcome<E>(error: E) -> KvError
where
    E: ToString,
{
    KvError::Unknown {
        message: error.to_string().into(),
    }
}
