//! Reads call options from the headers of a request.

use crate::handler::CallOptions;
use crate::refusal::{CallRefusal, RefusalCode};
use hyper::HeaderMap;
use reedford_rules::Class;
use reedford_wire::headers;
use std::time::Duration;

/// Header with the name of the caller's organization.
pub const TENANT_HEADER: &str = "x-tenant";

/// Longest idempotency key or tenant in bytes.
const MAX_TEXT_BYTES: usize = 255;
/// Number of hexadecimal digits of each part of a `traceparent` value: version,
/// trace id, span id and flags.
const TRACEPARENT_DIGITS: [usize; 4] = [2, 32, 16, 2];

/// Reads and validates the options of a call.
pub(crate) fn read_options(
    map: &HeaderMap,
    max_deadline: Duration,
) -> Result<CallOptions, CallRefusal> {
    let class = single_value(map, headers::CLASS)?
        .map(parse_class)
        .transpose()?;
    Ok(CallOptions {
        idempotency_key: visible_ascii(map, headers::IDEMPOTENCY_KEY)?,
        deadline: single_value(map, headers::DEADLINE_MS)?
            .map(|value| parse_deadline(value, max_deadline))
            .transpose()?,
        class: class.unwrap_or(Class::Standard),
        repeatable: single_value(map, headers::REPEATABLE)?
            .map(parse_repeatable)
            .transpose()?,
        traceparent: traceparent(map),
        tenant: visible_ascii(map, TENANT_HEADER)?,
    })
}

/// Returns the value of a header that may occur at most once.
pub(crate) fn single_value<'a>(
    map: &'a HeaderMap,
    name: &str,
) -> Result<Option<&'a str>, CallRefusal> {
    let mut values = map.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(bad_header(&format!("header {name} is repeated")));
    }
    match value.to_str() {
        Ok(value) => Ok(Some(value)),
        Err(_) => Err(bad_header(&format!("header {name} is not visible ASCII"))),
    }
}

/// Returns the value of a header that must be 1 to 255 visible ASCII characters.
fn visible_ascii(map: &HeaderMap, name: &str) -> Result<Option<Box<str>>, CallRefusal> {
    let Some(value) = single_value(map, name)? else {
        return Ok(None);
    };
    let visible = value.bytes().all(|b| b.is_ascii_graphic());
    if !visible || !(1..=MAX_TEXT_BYTES).contains(&value.len()) {
        let message =
            format!("header {name} must be 1 to {MAX_TEXT_BYTES} visible ASCII characters");
        return Err(bad_header(&message));
    }
    Ok(Some(value.into()))
}

fn parse_deadline(value: &str, max: Duration) -> Result<Duration, CallRefusal> {
    let max_ms = max.as_millis();
    let only_digits = value.bytes().all(|b| b.is_ascii_digit());
    match value.parse::<u64>() {
        Ok(ms) if only_digits && ms > 0 && u128::from(ms) <= max_ms => {
            Ok(Duration::from_millis(ms))
        }
        _ => Err(bad_header(&format!(
            "header {} must be 1 to {max_ms} milliseconds",
            headers::DEADLINE_MS
        ))),
    }
}

fn parse_class(value: &str) -> Result<Class, CallRefusal> {
    match value {
        "lookup" => Ok(Class::Lookup),
        "standard" => Ok(Class::Standard),
        "writing" => Ok(Class::Writing),
        _ => Err(bad_header(&format!(
            "header {} must be lookup, standard or writing",
            headers::CLASS
        ))),
    }
}

fn parse_repeatable(value: &str) -> Result<bool, CallRefusal> {
    match value {
        "true" => Ok(true),
        "false" => Ok(false),
        _ => Err(bad_header(&format!(
            "header {} must be true or false",
            headers::REPEATABLE
        ))),
    }
}

/// Returns the trace context if it is valid. An invalid one is ignored, as the W3C
/// standard requires, because tracing must not make a request fail.
fn traceparent(map: &HeaderMap) -> Option<Box<str>> {
    let value = single_value(map, headers::TRACEPARENT).ok()??;
    let parts: Vec<&str> = value.split('-').collect();
    let lengths = parts.iter().map(|part| part.len());
    let is_lowercase_hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    let valid = lengths.eq(TRACEPARENT_DIGITS)
        && parts.iter().all(|part| part.bytes().all(is_lowercase_hex))
        && parts[0] != "ff"
        && parts[1..=2].iter().all(|id| id.bytes().any(|b| b != b'0'));
    valid.then(|| value.into())
}

fn bad_header(message: &str) -> CallRefusal {
    CallRefusal::bad_request(RefusalCode::BadHeader, message)
}
