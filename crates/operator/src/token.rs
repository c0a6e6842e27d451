//! The operators' token in the `authorization` header.

/// Scheme that precedes the token in the header.
const SCHEME: &str = "Bearer ";

/// Returns the value of the `authorization` header for a token.
#[must_use]
pub fn bearer_header(token: &str) -> String {
    format!("{SCHEME}{token}")
}

/// Returns whether an `authorization` header carries the token. The comparison
/// takes the same time wherever the two differ, so that its duration reveals
/// nothing about the token.
#[must_use]
pub fn bearer_matches(header: Option<&[u8]>, token: &str) -> bool {
    let given = header.and_then(|value| value.strip_prefix(SCHEME.as_bytes()));
    given.is_some_and(|given| constant_time_eq(given, token.as_bytes()))
}

fn constant_time_eq(a: &[u8], b: &[u8]) -> bool {
    let difference = a.iter().zip(b).fold(0, |all, (a, b)| all | (a ^ b));
    a.len() == b.len() && std::hint::black_box(difference) == 0
}
