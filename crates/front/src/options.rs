//! Reads the callers' headers.

use crate::handler::CallOptions;
use crate::refused::{CallRefusal, RefusalCode};
use hyper::HeaderMap;
use reedford_rules::Class;
use reedford_wire::headers;
use std::time::Duration;

/// Name of the caller's organization.
pub const TENANT_HEADER: &str = "x-tenant";

/// Longest key or tenant in bytes.
const TEXT_LIMIT: usize = 255;
/// Length of each part of a trace context in hexadecimal digits: version,
/// trace, span and flags.
const TRACEPARENT_PARTS: [usize; 4] = [2, 32, 16, 2];

/// Reads all options.
pub(crate) fn read(map: &HeaderMap, max_deadline: Duration) -> Result<CallOptions, CallRefusal> {
    let class = single(map, headers::CLASS)?.map(class).transpose()?;
    Ok(CallOptions {
        idempotency_key: text(map, headers::IDEMPOTENCY_KEY)?,
        deadline: single(map, headers::DEADLINE_MS)?
            .map(|value| deadline(value, max_deadline))
            .transpose()?,
        class: class.unwrap_or(Class::Standard),
        repeatable: single(map, headers::REPEATABLE)?
            .map(repeatable)
            .transpose()?,
        traceparent: traceparent(map),
        tenant: text(map, TENANT_HEADER)?,
    })
}

/// The value of a header that may come at most once.
pub(crate) fn single<'a>(map: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, CallRefusal> {
    let mut values = map.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(bad(&format!("header {name} is repeated")));
    }
    match value.to_str() {
        Ok(value) => Ok(Some(value)),
        Err(_) => Err(bad(&format!("header {name} is not visible ASCII"))),
    }
}

/// A text of 1 to 255 visible ASCII characters.
fn text(map: &HeaderMap, name: &str) -> Result<Option<Box<str>>, CallRefusal> {
    let Some(value) = single(map, name)? else {
        return Ok(None);
    };
    let visible = value.bytes().all(|b| b.is_ascii_graphic());
    if !visible || !(1..=TEXT_LIMIT).contains(&value.len()) {
        let message = format!("header {name} must be 1 to {TEXT_LIMIT} visible ASCII characters");
        return Err(bad(&message));
    }
    Ok(Some(value.into()))
}

fn deadline(value: &str, max: Duration) -> Result<Duration, CallRefusal> {
    let max_ms = max.as_millis();
    let digits = value.bytes().all(|b| b.is_ascii_digit());
    match value.parse::<u64>() {
        Ok(ms) if digits && ms > 0 && u128::from(ms) <= max_ms => Ok(Duration::from_millis(ms)),
        _ => Err(bad(&format!(
            "header {} must be 1 to {max_ms} milliseconds",
            headers::DEADLINE_MS
        ))),
    }
}

fn class(value: &str) -> Result<Class, CallRefusal> {
    match value {
        "lookup" => Ok(Class::Lookup),
        "standard" => Ok(Class::Standard),
        "writing" => Ok(Class::Writing),
        _ => Err(bad(&format!(
            "header {} must be lookup, standard or writing",
            headers::CLASS
        ))),
    }
}

fn repeatable(value: &str) -> Result<bool, CallRefusal> {
    match value {
        "true" => Ok(true),
        "false" => Ok(false),
        _ => Err(bad(&format!(
            "header {} must be true or false",
            headers::REPEATABLE
        ))),
    }
}

/// A trace context of a valid form. Any other is left out, as its standard
/// asks, because a trace must not make a request fail.
fn traceparent(map: &HeaderMap) -> Option<Box<str>> {
    let value = single(map, headers::TRACEPARENT).ok()??;
    let parts: Vec<&str> = value.split('-').collect();
    let lengths = parts.iter().map(|part| part.len());
    let hexadecimal = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    let valid = lengths.eq(TRACEPARENT_PARTS)
        && parts.iter().all(|part| part.bytes().all(hexadecimal))
        && parts[0] != "ff"
        && parts[1..=2].iter().all(|id| id.bytes().any(|b| b != b'0'));
    valid.then(|| value.into())
}

fn bad(message: &str) -> CallRefusal {
    CallRefusal::bad_request(RefusalCode::BadHeader, message)
}
