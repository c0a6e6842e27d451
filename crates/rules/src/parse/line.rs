//! Splits a line into words and a comment.

use super::LINE_BYTES_MAX;
use crate::fault::{Fault, FaultKind};

/// Precedes the name of the requester in a comment.
const ASKED_BY: &str = "asked by";
/// Characters that end the name of the requester.
const NAME_ENDS: [char; 3] = [',', ';', '('];

/// A line that should hold a rule.
#[derive(Clone, Debug)]
pub(super) struct Line<'a> {
    /// Line number, counted from 1.
    pub(super) number: usize,
    /// The words before the comment; never empty.
    pub(super) words: Vec<Span<'a>>,
    /// The comment with its `#`.
    comment: Option<Span<'a>>,
    /// Column after the last character that is not white space.
    end: usize,
}

/// A word or the comment of a line, with its position.
#[derive(Clone, Copy, Debug)]
pub(super) struct Span<'a> {
    /// The text of the word or comment.
    pub(super) text: &'a str,
    /// Column of its first character, in characters, counted from 1.
    pub(super) column: usize,
}

impl<'a> Line<'a> {
    /// Splits a line. Returns `None` when there is no rule to parse: the line is
    /// blank, only a comment, too long, or has control characters.
    pub(super) fn split(number: usize, raw_line: &'a str, faults: &mut Vec<Fault>) -> Option<Self> {
        let valid = check_characters(number, raw_line, faults);
        let (rule, comment) = match raw_line.find('#') {
            Some(at) => (&raw_line[..at], Some(&raw_line[at..])),
            None => (raw_line, None),
        };
        let words = split_words(rule);
        if !valid || words.is_empty() {
            return None;
        }
        let comment_column = rule.chars().count() + 1;
        Some(Self {
            number,
            words,
            comment: comment.map(|text| Span {
                text,
                column: comment_column,
            }),
            end: raw_line.trim_end().chars().count() + 1,
        })
    }

    /// Returns the comment without its `#`. Reports a fault when there is none or it
    /// doesn't name who requested the rule.
    pub(super) fn check_comment(&self, faults: &mut Vec<Fault>) -> Option<&'a str> {
        let Some(comment) = self.comment else {
            faults.push(self.fault(self.end, FaultKind::NoComment));
            return None;
        };
        let text = comment.text.trim_start_matches('#').trim();
        if !names_requester(text) {
            faults.push(self.fault(comment.column, FaultKind::NoRequester));
            return None;
        }
        Some(text)
    }

    /// Returns a fault of this line.
    pub(super) const fn fault(&self, column: usize, kind: FaultKind) -> Fault {
        Fault {
            line: self.number,
            column,
            kind,
        }
    }
}

/// Returns whether a name follows `asked by`: at least one letter before the next
/// comma, semicolon or parenthesis.
fn names_requester(comment: &str) -> bool {
    let Some((_, name)) = comment.split_once(ASKED_BY) else {
        return false;
    };
    if !name.starts_with([' ', '\t']) {
        return false;
    }
    let name = name.split(NAME_ENDS).next();
    name.is_some_and(|name| name.chars().any(char::is_alphabetic))
}

/// Reports a line that is too long or has control characters; returns whether it
/// has none of these faults.
fn check_characters(number: usize, raw_line: &str, faults: &mut Vec<Fault>) -> bool {
    let before = faults.len();
    if raw_line.len() > LINE_BYTES_MAX {
        let max = LINE_BYTES_MAX;
        let fitting = raw_line
            .char_indices()
            .take_while(|(at, _)| *at < max)
            .count();
        faults.push(Fault {
            line: number,
            column: fitting + 1,
            kind: FaultKind::LineTooLong { max },
        });
    }
    for (i, c) in raw_line.chars().enumerate() {
        if c.is_control() && c != '\t' {
            faults.push(Fault {
                line: number,
                column: i + 1,
                kind: FaultKind::ControlCharacter { code: u32::from(c) },
            });
        }
    }
    faults.len() == before
}

fn split_words(rule: &str) -> Vec<Span<'_>> {
    let mut words = Vec::new();
    let mut column = 1;
    for text in rule.split([' ', '\t']) {
        if !text.is_empty() {
            words.push(Span { text, column });
        }
        column += text.chars().count() + 1;
    }
    words
}
