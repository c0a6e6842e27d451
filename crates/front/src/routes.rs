//! Finds what a request asks for, checks it, and hands it to the handler.

use crate::handler::{ChatCall, Handler, PlainCall};
use crate::refused::{CallRefusal, RefusalCode};
use crate::respond::Reply;
use crate::serve::ServerLimits;
use crate::{body, chat, options, respond};
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::http::request::Parts;
use hyper::{Method, Request, Version};

/// What a path names.
enum Route<'a> {
    Chat,
    Health,
    Metrics,
    Plain { service: &'a str, path: &'a str },
    Ready,
}

/// Answers one request.
pub(crate) async fn answer<H>(handler: &H, bounds: &ServerLimits, req: Request<Incoming>) -> Reply
where
    H: Handler,
{
    let (head, mut body) = req.into_parts();
    let Some(route) = Route::find(head.uri.path()) else {
        let refused = CallRefusal::bad_request(RefusalCode::NotFound, "no such path");
        return respond::early_refusal(&refused, body);
    };
    if head.method != route.method() {
        return respond::method_not_allowed(&route.method(), body);
    }
    let answer = match route {
        Route::Health => return respond::health(),
        Route::Metrics => return respond::metrics(handler.metrics()),
        Route::Ready => return respond::readiness(&handler.readiness()),
        Route::Chat => match read_chat(&head, &mut body, bounds).await {
            Ok(call) => handler.chat(call).await,
            Err(refused) => return respond::early_refusal(&refused, body),
        },
        Route::Plain { service, path } => {
            match read_plain(&head, &mut body, bounds, service, path).await {
                Ok(call) => handler.plain(call).await,
                Err(refused) => return respond::early_refusal(&refused, body),
            }
        }
    };
    respond::answer(answer)
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
        let plain = !service.is_empty() && !path.split('/').any(is_dots);
        plain.then_some(Self::Plain { service, path })
    }

    fn method(&self) -> Method {
        match self {
            Self::Chat | Self::Plain { .. } => Method::POST,
            Self::Health | Self::Metrics | Self::Ready => Method::GET,
        }
    }
}

/// Whether a segment is `.` or `..`, percent-encoded or not. A target might
/// resolve it, so that another path would run than the one that was judged.
fn is_dots(segment: &str) -> bool {
    let decoded = segment.to_ascii_lowercase().replace("%2e", ".");
    decoded == "." || decoded == ".."
}

async fn read_chat(
    head: &Parts,
    body: &mut Incoming,
    bounds: &ServerLimits,
) -> Result<ChatCall, CallRefusal> {
    let options = options::read(&head.headers, bounds.max_deadline)?;
    let bytes = body::read(&head.headers, body, bounds.body_bytes, bounds.body_timeout).await?;
    let request = chat::read(&bytes)?;
    if request.stream && head.version < Version::HTTP_11 {
        // Without chunks, a cut stream could not be told from an end.
        let message = "a streamed answer needs HTTP/1.1";
        return Err(CallRefusal::bad_request(RefusalCode::BadHeader, message));
    }
    let model = chat::model(&request.model)?;
    Ok(ChatCall {
        adapter: model.adapter.into(),
        version: model.version.into(),
        options,
        request_digest: body::digest(head, &bytes),
        request,
    })
}

async fn read_plain(
    head: &Parts,
    body: &mut Incoming,
    bounds: &ServerLimits,
    service: &str,
    path: &str,
) -> Result<PlainCall, CallRefusal> {
    let options = options::read(&head.headers, bounds.max_deadline)?;
    let content_type = options::single(&head.headers, CONTENT_TYPE.as_str())?;
    let bytes = body::read(&head.headers, body, bounds.body_bytes, bounds.body_timeout).await?;
    Ok(PlainCall {
        service: service.into(),
        path: path.into(),
        query: head.uri.query().map(Into::into),
        content_type: content_type.map(Into::into),
        options,
        request_digest: body::digest(head, &bytes),
        body: bytes,
    })
}
