//! Routes requests: validates them and passes them to the handler.

use crate::handler::{ChatCall, Handler, PlainCall};
use crate::http_response::HttpResponse;
use crate::refusal::{CallRefusal, RefusalCode};
use crate::serve::ServerLimits;
use crate::{body, chat, http_response, options};
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::http::request::Parts;
use hyper::{Method, Request, Version};

/// What the path of a request selects.
enum Route<'a> {
    Chat,
    Health,
    Metrics,
    Plain { service: &'a str, path: &'a str },
    Ready,
}

/// Handles one request.
pub(crate) async fn handle<H>(
    handler: &H,
    limits: &ServerLimits,
    req: Request<Incoming>,
) -> HttpResponse
where
    H: Handler,
{
    let (head, mut body) = req.into_parts();
    let Some(route) = Route::find(head.uri.path()) else {
        let refusal = CallRefusal::bad_request(RefusalCode::NotFound, "no such path");
        return http_response::early_refusal(&refusal, body);
    };
    if head.method != route.method() {
        return http_response::method_not_allowed(&route.method(), body);
    }
    let response = match route {
        Route::Health => return http_response::health(),
        Route::Metrics => return http_response::metrics(handler.metrics()),
        Route::Ready => return http_response::readiness(&handler.readiness()),
        Route::Chat => match read_chat(&head, &mut body, limits).await {
            Ok(call) => handler.chat(call).await,
            Err(refusal) => return http_response::early_refusal(&refusal, body),
        },
        Route::Plain { service, path } => {
            match read_plain(&head, &mut body, limits, service, path).await {
                Ok(call) => handler.plain(call).await,
                Err(refusal) => return http_response::early_refusal(&refusal, body),
            }
        }
    };
    http_response::call_response(response)
}

impl<'a> Route<'a> {
    fn find(path: &'a str) -> Option<Self> {
        match path {
            "/v1/chat/completions" => Some(Self::Chat),
            "/healthz" => Some(Self::Health),
            "/metrics" => Some(Self::Metrics),
            "/readyz" => Some(Self::Ready),
            _ => Self::find_service(path),
        }
    }

    fn find_service(path: &'a str) -> Option<Self> {
        let rest = path.strip_prefix("/services/")?;
        let start = rest.find('/')?;
        let (service, path) = rest.split_at(start);
        let valid = !service.is_empty() && !path.split('/').any(is_dot_segment);
        valid.then_some(Self::Plain { service, path })
    }

    fn method(&self) -> Method {
        match self {
            Self::Chat | Self::Plain { .. } => Method::POST,
            Self::Health | Self::Metrics | Self::Ready => Method::GET,
        }
    }
}

/// Returns whether a path segment is `.` or `..`, percent-encoded or not. A target
/// might resolve such segments and serve another path than the one checked here.
fn is_dot_segment(segment: &str) -> bool {
    let decoded = segment.to_ascii_lowercase().replace("%2e", ".");
    decoded == "." || decoded == ".."
}

async fn read_chat(
    head: &Parts,
    body: &mut Incoming,
    limits: &ServerLimits,
) -> Result<ChatCall, CallRefusal> {
    let options = options::read_options(&head.headers, limits.max_deadline)?;
    let bytes =
        body::read_body(&head.headers, body, limits.body_bytes, limits.body_timeout).await?;
    let request = chat::parse_request(&bytes)?;
    if request.stream && head.version < Version::HTTP_11 {
        // Without chunked encoding, the caller could not distinguish a truncated
        // stream from a complete one.
        let message = "a streamed answer needs HTTP/1.1";
        return Err(CallRefusal::bad_request(RefusalCode::BadHeader, message));
    }
    let model = chat::parse_model(&request.model)?;
    Ok(ChatCall {
        adapter: model.adapter.into(),
        version: model.version.into(),
        options,
        request_digest: body::request_digest(head, &bytes),
        request,
    })
}

async fn read_plain(
    head: &Parts,
    body: &mut Incoming,
    limits: &ServerLimits,
    service: &str,
    path: &str,
) -> Result<PlainCall, CallRefusal> {
    let options = options::read_options(&head.headers, limits.max_deadline)?;
    let content_type = options::single_value(&head.headers, CONTENT_TYPE.as_str())?;
    let bytes =
        body::read_body(&head.headers, body, limits.body_bytes, limits.body_timeout).await?;
    Ok(PlainCall {
        service: service.into(),
        path: path.into(),
        query: head.uri.query().map(Into::into),
        content_type: content_type.map(Into::into),
        options,
        request_digest: body::request_digest(head, &bytes),
        body: bytes,
    })
}
