//! The client: one method for each call that targets take.

mod orders;
mod plain;
mod requests;
mod streams;

use crate::options::Timeouts;
use crate::pool::Pool;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Request, header};
use std::sync::Arc;

/// Content type of JSON bodies.
const JSON: &str = "application/json";

/// Client of the targets. It owns its connections and their tasks.
#[derive(Debug)]
pub struct TargetClient {
    pool: Arc<Pool>,
    timeouts: Timeouts,
}

impl TargetClient {
    /// A client without connections.
    #[must_use]
    pub fn new(timeouts: Timeouts) -> Self {
        Self {
            pool: Arc::new(Pool::new(timeouts.connect)),
            timeouts,
        }
    }

    /// Closes all connections, also those of streams under way, and joins
    /// their tasks. Later calls end as not sent.
    pub async fn close(&self) {
        self.pool.close().await;
    }
}

/// Parts of a request that not every call has.
#[derive(Debug, Default)]
struct RequestHead<'a> {
    fields: Vec<(&'static str, &'a str)>,
}

impl<'a> RequestHead<'a> {
    fn with(mut self, name: &'static str, value: &'a str) -> Self {
        self.fields.push((name, value));
        self
    }

    fn with_some(self, name: &'static str, value: Option<&'a str>) -> Self {
        match value {
            Some(value) => self.with(name, value),
            None => self,
        }
    }

    fn build(
        self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, crate::NotSentReason> {
        let mut req = Request::builder().method(method).uri(path);
        for (name, value) in self.fields {
            req = req.header(name, value);
        }
        req.body(Full::new(body))
            .map_err(|_invalid| crate::NotSentReason::Encoding)
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).map(HeaderValue::to_str)?.ok()
}

fn content_type(headers: &HeaderMap) -> Option<&str> {
    text(headers, header::CONTENT_TYPE.as_str())
}
