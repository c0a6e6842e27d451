//! Reading a rules file.
//!
//! A text with a fault gives all its faults and no rules, so that nothing of
//! it can be applied. The steps: split each line into words and a comment
//! (`line`), read the words into a rule (`rules`, `fields`), then check
//! the rules against each other (`consistency`).

mod consistency;
mod fields;
mod line;
mod rules;

use crate::fault::{Fault, FaultKind, Faults};
use crate::model::Rules;
use crate::rule::RuleLine;
use consistency::Consistency;
use line::Line;

/// Longest line in bytes.
pub const LINE_BYTES_MAX: usize = 4_096;

/// Reads the rules of a text.
///
/// # Errors
/// All faults of the text, by line and column.
pub fn parse(text: &str) -> Result<Rules, Faults> {
    let lines = parse_lines(text)?;
    let mut rules = Rules::default();
    for line in lines {
        rules.insert(line.rule);
    }
    Ok(rules)
}

/// Reads the rules of a file's bytes.
///
/// # Errors
/// All faults of the text; the first bad byte alone when it is not UTF-8.
pub fn parse_bytes(bytes: &[u8]) -> Result<Rules, Faults> {
    parse(text_of(bytes)?)
}

/// The text of a file's bytes.
///
/// # Errors
/// The place of the first byte that is not UTF-8.
pub fn text_of(bytes: &[u8]) -> Result<&str, Faults> {
    std::str::from_utf8(bytes).map_err(|e| not_utf8(&bytes[..e.valid_up_to()]))
}

/// Reads the lines that hold rules, in their order, with who asked for them.
///
/// # Errors
/// All faults of the text, by line and column.
pub fn parse_lines(text: &str) -> Result<Vec<RuleLine>, Faults> {
    let mut faults = Vec::new();
    let mut consistency = Consistency::default();
    let mut lines = Vec::new();
    for (i, raw) in text.lines().enumerate() {
        let Some(line) = Line::split(i + 1, raw, &mut faults) else {
            continue;
        };
        let rule = rules::read(&line, &mut consistency, &mut faults);
        let comment = line.check_comment(&mut faults);
        if let (Some(rule), Some(comment)) = (rule, comment) {
            lines.push(RuleLine {
                line: line.number,
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
