//! A trace collector that receives OTLP over HTTP.

use http_body_util::{BodyExt as _, Full};
use hyper::body::{Bytes, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use opentelemetry_proto::tonic::collector::trace::v1::ExportTraceServiceRequest;
use opentelemetry_proto::tonic::common::v1::{KeyValue, any_value::Value};
use prost::Message as _;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::net::TcpListener;
use tokio::task::JoinSet;

/// A span from an export request.
#[derive(Clone, Debug)]
pub struct ReceivedSpan {
    pub service: String,
    pub name: String,
    pub trace: String,
    pub id: String,
    /// Empty in the root span of a trace.
    pub parent: String,
    pub start_ns: u64,
    pub end_ns: u64,
    pub fields: BTreeMap<String, String>,
}

/// A running collector; dropping it stops it.
pub struct Collector {
    address: SocketAddr,
    spans: Arc<Mutex<Vec<ReceivedSpan>>>,
    _tasks: JoinSet<()>,
}

impl Collector {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let spans = Arc::new(Mutex::new(Vec::new()));
        let received = Arc::clone(&spans);
        let mut tasks = JoinSet::new();
        tasks.spawn(async move {
            let mut connections = JoinSet::new();
            loop {
                let (stream, _) = listener.accept().await.expect("a connection");
                let received = Arc::clone(&received);
                let service = service_fn(move |req| receive(req, Arc::clone(&received)));
                let serving = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service);
                connections.spawn(async move { drop(serving.await) });
            }
        });
        Self {
            address,
            spans,
            _tasks: tasks,
        }
    }

    /// Returns the URL for the setting `trace_endpoint`.
    pub fn url(&self) -> String {
        format!("http://{}/v1/traces", self.address)
    }

    /// Returns the spans of a trace, ordered by their start.
    pub fn trace(&self, trace: &str) -> Vec<ReceivedSpan> {
        let mut spans = self.all();
        spans.retain(|span| span.trace == trace);
        spans.sort_by_key(|span| span.start_ns);
        spans
    }

    /// Returns all spans received so far.
    pub fn all(&self) -> Vec<ReceivedSpan> {
        self.spans.lock().expect("no panic").clone()
    }
}

async fn receive(
    req: Request<Incoming>,
    received: Arc<Mutex<Vec<ReceivedSpan>>>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    assert_eq!(req.uri().path(), "/v1/traces");
    let body = req.into_body().collect().await.expect("a body").to_bytes();
    let export = ExportTraceServiceRequest::decode(body).expect("an export");
    for resource in export.resource_spans {
        let attributes = resource.resource.expect("a resource").attributes;
        let service = fields(&attributes).remove("service.name");
        let service = service.expect("a service name");
        for span in resource.scope_spans.into_iter().flat_map(|s| s.spans) {
            received.lock().expect("no panic").push(ReceivedSpan {
                service: service.clone(),
                name: span.name,
                trace: hex(&span.trace_id),
                id: hex(&span.span_id),
                parent: hex(&span.parent_span_id),
                start_ns: span.start_time_unix_nano,
                end_ns: span.end_time_unix_nano,
                fields: fields(&span.attributes),
            });
        }
    }
    Ok(Response::new(Full::default()))
}

fn fields(attributes: &[KeyValue]) -> BTreeMap<String, String> {
    let texts = attributes.iter().filter_map(|kv| {
        let value = kv.value.as_ref().and_then(|v| v.value.as_ref());
        match value {
            Some(Value::StringValue(text)) => Some((kv.key.clone(), text.clone())),
            _ => None,
        }
    });
    texts.collect()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
