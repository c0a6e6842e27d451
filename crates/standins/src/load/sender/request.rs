//! Builds the HTTP requests of generated arrivals.

use crate::load::experiment::Model;
use crate::load::workload::ClassMix;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::CONTENT_TYPE;
use reedford_rules::Class;
use reedford_wire::chat::{ChatRequest, Message};
use reedford_wire::headers;
use std::net::SocketAddr;

/// One request, before an entry instance is chosen.
pub(super) struct RequestSpec<'a> {
    pub(super) mix: &'a ClassMix,
    pub(super) model: &'a Model,
    pub(super) tokens: u32,
    /// Unique name of the request, sent as prompt or body, and as idempotency
    /// key if the request isn't idempotent.
    pub(super) key: Box<str>,
}

impl RequestSpec<'_> {
    /// Builds the request to the entry instance at `address`.
    ///
    /// # Panics
    /// When the experiment's service and path don't form a valid URL.
    pub(super) fn request(&self, address: SocketAddr) -> Request<Full<Bytes>> {
        let mut builder = Request::post(format!("http://{address}{}", self.path()))
            .header(CONTENT_TYPE, "application/json")
            .header(headers::DEADLINE_MS, self.mix.deadline_ms)
            .header(headers::CLASS, class_name(self.mix.class))
            .header(headers::REPEATABLE, self.is_idempotent().to_string());
        if !self.is_idempotent() {
            builder = builder.header(headers::IDEMPOTENCY_KEY, &*self.key);
        }
        let req = builder.body(Full::from(self.body()));
        req.expect("the experiment's names make a URL and headers")
    }

    /// Returns the body of a plain service call.
    pub(super) fn plain_body(&self) -> String {
        format!(r#"{{"order":"{}"}}"#, self.key)
    }

    /// Returns whether the request is idempotent: the class must allow it, and
    /// for a model request also the rules of the adapter.
    const fn is_idempotent(&self) -> bool {
        let is_plain = self.mix.plain.is_some();
        self.mix.repeatable && (is_plain || self.model.repeatable)
    }

    fn path(&self) -> String {
        match &self.mix.plain {
            Some(plain) => format!("/services/{}/{}", plain.service, plain.path),
            None => "/v1/chat/completions".to_owned(),
        }
    }

    fn body(&self) -> String {
        match self.mix.plain {
            Some(_) => self.plain_body(),
            None => self.chat_body(),
        }
    }

    fn chat_body(&self) -> String {
        let message = Message {
            role: "user".into(),
            content: self.key.clone(),
        };
        let chat = ChatRequest {
            model: self.model.name.clone(),
            messages: vec![message],
            stream: self.mix.stream,
            max_tokens: Some(self.tokens),
            rest: serde_json::Map::new(),
        };
        serde_json::to_string(&chat).expect("the request has text keys only")
    }
}

const fn class_name(class: Class) -> &'static str {
    match class {
        Class::Lookup => "lookup",
        Class::Standard => "standard",
        Class::Writing => "writing",
    }
}
