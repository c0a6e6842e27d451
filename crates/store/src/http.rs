//! HTTP calls to the platform, over one of several addresses.

use crate::kv::KvError;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::rt::Executor;
use hyper::{Method, Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, timeout_at};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Where the platform is and how long to wait for it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointConfig {
    /// Addresses of the service. The one that answered last is used first.
    pub addresses: Vec<SocketAddr>,
    /// Time to connect to one address.
    pub connect_timeout: Duration,
    /// Time for one call, over all addresses that it tries.
    pub call_timeout: Duration,
    /// Silence after which a watch is taken for dead.
    pub watch_timeout: Duration,
}

/// Whether a call may be repeated when its outcome is not known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Effect {
    /// Changes nothing: tried at the next address after any failure.
    Read,
    /// May change something: tried at the next address only if nothing was sent.
    Write,
}

/// One request, before its address is known.
pub(crate) struct Call<'a> {
    pub(crate) method: Method,
    pub(crate) path: &'a str,
    pub(crate) body: Bytes,
    pub(crate) effect: Effect,
}

/// Connections to the platform. After a timeout all idle connections are
/// dropped, because one that went silent says nothing about the others, and
/// the next call must not meet another silent one.
#[derive(Debug)]
pub struct Endpoint {
    cfg: EndpointConfig,
    first: AtomicUsize,
    pool: Mutex<Pool>,
    connections: Connections,
}

#[derive(Clone, Debug)]
struct Pool {
    generation: u64,
    client: HttpClient,
}

/// Runs the connections' tasks so that [`Endpoint::close`] can join them.
#[derive(Clone, Debug)]
struct Connections {
    tasks: TaskTracker,
    stop: CancellationToken,
}

impl<Fut> Executor<Fut> for Connections
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
    /// Makes an endpoint; connections are opened when they are needed.
    #[must_use]
    pub fn new(cfg: EndpointConfig) -> Self {
        let connections = Connections {
            tasks: TaskTracker::new(),
            stop: CancellationToken::new(),
        };
        let client = new_client(&cfg, &connections);
        Self {
            cfg,
            first: AtomicUsize::new(0),
            pool: Mutex::new(Pool {
                generation: 0,
                client,
            }),
            connections,
        }
    }

    /// Closes all connections, ends the watches, and waits for their tasks.
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
        effect: Effect,
        req: &Req,
    ) -> Result<Res, KvError>
    where
        Req: Serialize,
        Res: DeserializeOwned,
    {
        let call = Call {
            method: Method::POST,
            path,
            body: encode(req)?,
            effect,
        };
        decode(&self.whole(&call).await?)
    }

    /// Posts a call that may change something.
    ///
    /// # Errors
    /// Any [`KvError`].
    pub async fn write<Req, Res>(&self, path: &str, req: &Req) -> Result<Res, KvError>
    where
        Req: Serialize,
        Res: DeserializeOwned,
    {
        self.post(path, Effect::Write, req).await
    }

    /// Posts a call without a body that may be made any number of times.
    ///
    /// # Errors
    /// Any [`KvError`].
    pub async fn repeatable<Res>(&self, path: &str) -> Result<Res, KvError>
    where
        Res: DeserializeOwned,
    {
        decode(&self.bare(Method::POST, path, Effect::Read).await?)
    }

    /// Makes a DELETE call.
    ///
    /// # Errors
    /// Any [`KvError`].
    pub async fn delete(&self, path: &str) -> Result<(), KvError> {
        self.bare(Method::DELETE, path, Effect::Write).await?;
        Ok(())
    }

    /// Makes a GET call.
    ///
    /// # Errors
    /// Any [`KvError`].
    pub async fn get<Res>(&self, path: &str) -> Result<Res, KvError>
    where
        Res: DeserializeOwned,
    {
        decode(&self.bare(Method::GET, path, Effect::Read).await?)
    }

    async fn bare(&self, method: Method, path: &str, effect: Effect) -> Result<Bytes, KvError> {
        let call = Call {
            method,
            path,
            body: Bytes::new(),
            effect,
        };
        self.whole(&call).await
    }

    /// Sends a call and reads its answer to the end.
    async fn whole(&self, call: &Call<'_>) -> Result<Bytes, KvError> {
        self.try_addresses(call, |res| async {
            let body = res.into_body().collect().await.map_err(unknown)?;
            Ok(body.to_bytes())
        })
        .await
    }

    /// Sends a call and returns its answer as soon as the headers are there.
    pub(crate) async fn stream(&self, call: &Call<'_>) -> Result<Incoming, KvError> {
        self.try_addresses(call, |res| async { Ok(res.into_body()) })
            .await
    }

    async fn try_addresses<F, Fut, T>(&self, call: &Call<'_>, read: F) -> Result<T, KvError>
    where
        F: Fn(Response<Incoming>) -> Fut,
        Fut: Future<Output = Result<T, KvError>>,
    {
        let deadline = Instant::now() + self.cfg.call_timeout;
        let count = self.cfg.addresses.len();
        let first = self.first.load(Ordering::Relaxed);
        let mut last = not_sent("no address is set");
        for index in (first..first + count).map(|n| n % count) {
            match self.try_one(index, call, deadline, &read).await {
                Err(error) if goes_on(&error, call.effect) => {
                    self.first.store((index + 1) % count, Ordering::Relaxed);
                    last = error;
                }
                outcome => {
                    self.remember(index, count, &outcome);
                    return outcome;
                }
            }
            if Instant::now() >= deadline {
                break;
            }
        }
        Err(last)
    }

    /// Starts the next call at the address after one that did not answer.
    fn remember<T>(&self, index: usize, count: usize, outcome: &Result<T, KvError>) {
        let next = match outcome {
            Ok(_) | Err(KvError::Rejected { .. }) => index,
            Err(KvError::NotSent { .. } | KvError::Unknown { .. }) => (index + 1) % count,
        };
        self.first.store(next, Ordering::Relaxed);
    }

    async fn try_one<F, Fut, T>(
        &self,
        index: usize,
        call: &Call<'_>,
        deadline: Instant,
        read: &F,
    ) -> Result<T, KvError>
    where
        F: Fn(Response<Incoming>) -> Fut,
        Fut: Future<Output = Result<T, KvError>>,
    {
        let pool = self.pool();
        let req = request(self.cfg.addresses[index], call)?;
        let exchange = async {
            let res = pool.client.request(req).await.map_err(|error| {
                if error.is_connect() {
                    not_sent(&error.to_string())
                } else {
                    unknown(error)
                }
            })?;
            if res.status().is_success() {
                read(res).await
            } else {
                Err(refusal(res, call.effect).await)
            }
        };
        match timeout_at(deadline, exchange).await {
            Ok(outcome) => outcome,
            Err(elapsed) => {
                self.renew(pool.generation);
                Err(unknown(elapsed))
            }
        }
    }

    fn pool(&self) -> Pool {
        let pool = self.pool.lock().unwrap_or_else(PoisonError::into_inner);
        pool.clone()
    }

    /// Drops the idle connections of a generation, once.
    fn renew(&self, generation: u64) {
        let mut pool = self.pool.lock().unwrap_or_else(PoisonError::into_inner);
        if pool.generation == generation {
            *pool = Pool {
                generation: generation + 1,
                client: new_client(&self.cfg, &self.connections),
            };
        }
    }
}

fn new_client(cfg: &EndpointConfig, connections: &Connections) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(cfg.connect_timeout));
    connector.set_nodelay(true);
    // hyper sends a request again only when it hands it back unsent, so that
    // its own retry never sends a write twice.
    Client::builder(connections.clone()).build(connector)
}

fn request(address: SocketAddr, call: &Call<'_>) -> Result<Request<Full<Bytes>>, KvError> {
    Request::builder()
        .method(call.method.clone())
        .uri(format!("http://{address}{}", call.path))
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(call.body.clone()))
        .map_err(|error| not_sent(&error.to_string()))
}

fn goes_on(error: &KvError, effect: Effect) -> bool {
    match (error, effect) {
        (KvError::NotSent { .. }, _) | (KvError::Unknown { .. }, Effect::Read) => true,
        (KvError::Unknown { .. }, Effect::Write) | (KvError::Rejected { .. }, _) => false,
    }
}

/// Reads a refusal. A server error to a write proves nothing: the service may
/// have passed the write on before it gave up on the answer.
async fn refusal(res: Response<Incoming>, effect: Effect) -> KvError {
    let status = res.status();
    let message = match res.into_body().collect().await {
        Ok(body) => String::from_utf8_lossy(&body.to_bytes()).into_owned(),
        Err(error) => error.to_string(),
    };
    if status.is_server_error() && effect == Effect::Write {
        return unknown(format!("status {status}: {message}"));
    }
    KvError::Rejected {
        status: status.as_u16(),
        message: message.into(),
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

fn decode<Res>(body: &[u8]) -> Result<Res, KvError>
where
    Res: DeserializeOwned,
{
    serde_json::from_slice(body).map_err(unknown)
}

fn not_sent(message: &str) -> KvError {
    KvError::NotSent {
        message: message.into(),
    }
}

pub(crate) fn unknown<E>(error: E) -> KvError
where
    E: ToString,
{
    KvError::Unknown {
        message: error.to_string().into(),
    }
}
