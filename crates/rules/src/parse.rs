//! Parser of the rules file.
//!
//! A text with faults yields all its faults and no rules, so that it is never
//! applied in part. The parser splits each line into words and a comment
//! (`line`), parses the words as a rule (`rules`, `fields`), then checks
//! references between rules (`consistency`).

mod consistency;
mod fields;
mod line;
mod rules;

use crate::fault::{Fault, FaultKind, Faults};
use crate::model::Rules;
use crate::rule::RuleLine;
use consistency::Consistency;
use line::Line;

/// Length limit of a line, in bytes.
pub const LINE_BYTES_MAX: usize = 4_096;

/// Parses a text into rules.
///
/// # Errors
/// Returns all faults of the text, ordered by line and column.
pub fn parse(text: &str) -> Result<Rules, Faults> {
    let lines = parse_lines(text)?;
    let mut rules = Rules::default();
    for line in lines {
        rules.insert(line.rule);
    }
    Ok(rules)
}

/// Parses the bytes of a file into rules.
///
/// # Errors
/// Returns all faults of the text, or only the position of the first invalid
/// byte when the file is not UTF-8.
pub fn parse_bytes(bytes: &[u8]) -> Result<Rules, Faults> {
    parse(decode_utf8(bytes)?)
}

/// Decodes the bytes of a file as UTF-8.
///
/// # Errors
/// Returns the position of the first byte that is not UTF-8.
pub fn decode_utf8(bytes: &[u8]) -> Result<&str, Faults> {
    std::str::from_utf8(bytes).map_err(|e| not_utf8(&bytes[..e.valid_up_to()]))
}

/// Parses the lines that hold rules and returns them in their order, with their
/// comments.
///
/// # Errors
/// Returns all faults of the text, ordered by line and column.
pub fn parse_lines(text: &str) -> Result<Vec<RuleLine>, Faults> {
    let mut faults = Vec::new();
    let mut consistency = Consistency::default();
    let mut lines = Vec::new();
    for (i, raw_line) in text.lines().enumerate() {
        let Some(line) = Line::split(i + 1, raw_line, &mut faults) else {
            continue;
        };
        let rule = rules::parse_rule(&line, &mut consistency, &mut faults);
        let comment = line.check_comment(&mut faults);
        if let (Some(rule), Some(comment)) = (rule, comment) {
            lines.push(RuleLine {
                number: line.number,
                rule,
                comment: comment.into(),
            });
        }
    }
    consistency.check(&mut faults);
    if faults.is_empty() {
        Ok(lines)
    } else {
        Err(Faults::new(faults))
    }
}

fn not_utf8(valid: &[u8]) -> Faults {
    let valid = String::from_utf8_lossy(valid);
    let last_line = valid.rsplit('\n').next().map_or(0, |l| l.chars().count());
    Faults::new(vec![Fault {
        line: valid.matches('\n').count() + 1,
        column: last_line + 1,
        kind: FaultKind::NotUtf8,
    }])
}
