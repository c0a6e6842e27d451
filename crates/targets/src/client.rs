//! The client, with one method for each kind of request that targets accept.

mod orders;
mod plain;
mod requests;
mod streams;

use crate::error::{Mismatch, NotSentReason};
use crate::options::Timeouts;
use crate::pool::Pool;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HeaderMap;
use hyper::{Method, Request, header};
use std::sync::Arc;

/// Content type of JSON bodies.
const JSON: &str = "application/json";

/// Client of the targets, which owns its connections and their tasks.
#[derive(Debug)]
pub struct TargetClient {
    pool: Arc<Pool>,
    timeouts: Timeouts,
}

impl TargetClient {
    /// Creates a client, which opens connections on demand.
    #[must_use]
    pub fn new(timeouts: Timeouts) -> Self {
        Self {
            pool: Arc::new(Pool::new(timeouts.connect)),
            timeouts,
        }
    }

    /// Closes all connections, including those of unfinished streams, and joins
    /// their tasks. Requests made afterwards fail as not sent.
    pub async fn close(&self) {
        self.pool.close().await;
    }
}

/// Collects the header fields of a request.
#[derive(Debug, Default)]
struct RequestBuilder<'a> {
    fields: Vec<(&'static str, &'a str)>,
}

impl<'a> RequestBuilder<'a> {
    fn field(mut self, name: &'static str, value: &'a str) -> Self {
        self.fields.push((name, value));
        self
    }

    fn optional_field(self, name: &'static str, value: Option<&'a str>) -> Self {
        match value {
            Some(value) => self.field(name, value),
            None => self,
        }
    }

    fn build(
        self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, NotSentReason> {
        let mut req = Request::builder().method(method).uri(path);
        for (name, value) in self.fields {
            req = req.header(name, value);
        }
        req.body(Full::new(body))
            .map_err(|_invalid| NotSentReason::Encoding)
    }
}

fn content_type(headers: &HeaderMap) -> Option<&str> {
    headers.get(header::CONTENT_TYPE)?.to_str().ok()
}

/// Checks that every occurrence of a header field has the expected value. The
/// field may be absent.
fn check_field(headers: &HeaderMap, name: &str, expected: &str) -> Result<(), Mismatch> {
    for value in headers.get_all(name) {
        Mismatch::check(expected, &String::from_utf8_lossy(value.as_bytes()))?;
    }
    Ok(())
}
