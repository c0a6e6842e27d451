//! The operators' token in the `authorization` header.

/// Start of the header's value.
const SCHEME: &str = "Bearer ";

/// Value of the `authorization` header for a token.
#[must_use]
pub fn bearer(token: &str) -> String {
    format!("{SCHEME}{token}")
}

/// Whether an `authorization` header carries the token. The time that the
/// answer takes does not depend on where the two differ.
#[must_use]
pub fn bearer_matches(header: Option<&[u8]>, token: &str) -> bool {
    let given = header.and_then(|value| value.strip_prefix(SCHEME.as_bytes()));
    given.is_some_and(|given| same_bytes(given, token.as_bytes()))
}

fn same_bytes(a: &[u8], b: &[u8]) -> bool {
    let difference = a.iter().zip(b).fold(0, |all, (a, b)| all | (a ^ b));
    a.len() == b.len() && std::hint::black_box(difference) == 0
}
