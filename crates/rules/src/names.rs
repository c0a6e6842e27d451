//! Names of adapters, versions, groups, base models and services.

/// Length limit of a name, in bytes.
pub const NAME_BYTES_MAX: usize = 63;

/// Returns whether `text` is a valid name of an adapter, version, group, base
/// model or service: a lower-case letter or digit, then lower-case letters,
/// digits, `.`, `_` and `-`, at most [`NAME_BYTES_MAX`] bytes.
///
/// Names don't contain `@`, so `adapter@version` splits in one way only.
#[must_use]
pub fn is_name(text: &str) -> bool {
    let valid_start = text.bytes().next().is_some_and(is_letter_or_digit);
    let fits = text.len() <= NAME_BYTES_MAX;
    valid_start && fits && text.bytes().all(is_name_byte)
}

/// Returns whether `text` is valid in `repeatable-paths` of a plain service: a
/// `/`, then ASCII letters, digits, `/`, `.`, `_`, `~` and `-`, without empty, `.`
/// or `..` segments.
///
/// Paths are compared byte for byte, so forms that a target could normalize to
/// another path are not valid.
#[must_use]
pub fn is_repeatable_path(text: &str) -> bool {
    text.strip_prefix('/')
        .is_some_and(|rest| rest.split('/').all(is_path_segment))
}

fn is_path_segment(segment: &str) -> bool {
    let named = !matches!(segment, "" | "." | "..");
    named && segment.bytes().all(is_path_byte)
}

const fn is_letter_or_digit(byte: u8) -> bool {
    byte.is_ascii_lowercase() || byte.is_ascii_digit()
}

const fn is_name_byte(byte: u8) -> bool {
    is_letter_or_digit(byte) || matches!(byte, b'.' | b'_' | b'-')
}

const fn is_path_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_' | b'~' | b'-')
}
