//! Splitting a line into words and a comment.

use super::LINE_BYTES_MAX;
use crate::fault::{Fault, FaultKind};

/// What comes before the name in a comment.
const ASKED_BY: &str = "asked by";
/// Characters that end the name in a comment.
const NAME_ENDS: [char; 3] = [',', ';', '('];

/// A line that should hold a rule.
#[derive(Clone, Debug)]
pub(super) struct Line<'a> {
    /// Counted from 1.
    pub(super) number: usize,
    /// The rule's words; never empty.
    pub(super) words: Vec<Word<'a>>,
    /// The comment with its `#`.
    comment: Option<Word<'a>>,
    /// Column after the last character.
    end: usize,
}

/// A part of a line.
#[derive(Clone, Copy, Debug)]
pub(super) struct Word<'a> {
    /// The part.
    pub(super) text: &'a str,
    /// Its first column, in characters from 1.
    pub(super) column: usize,
}

impl<'a> Line<'a> {
    /// Splits a line; `None` when it holds no rule: it is blank, all comment, or
    /// has faults that make its words meaningless.
    pub(super) fn split(number: usize, raw: &'a str, faults: &mut Vec<Fault>) -> Option<Self> {
        let readable = check_characters(number, raw, faults);
        let (rule, comment) = match raw.find('#') {
            Some(at) => (&raw[..at], Some(&raw[at..])),
            None => (raw, None),
        };
        let words = split_words(rule);
        if !readable || words.is_empty() {
            return None;
        }
        let comment_column = rule.chars().count() + 1;
        Some(Self {
            number,
            words,
            comment: comment.map(|text| Word {
                text,
                column: comment_column,
            }),
            end: raw.trim_end().chars().count() + 1,
        })
    }

    /// The comment without its `#`, when it names who asked.
    pub(super) fn check_comment(&self, faults: &mut Vec<Fault>) -> Option<&'a str> {
        let Some(comment) = self.comment else {
            faults.push(self.fault(self.end, FaultKind::NoComment));
            return None;
        };
        let text = comment.text.trim_start_matches('#').trim();
        if !names_asker(text) {
            faults.push(self.fault(comment.column, FaultKind::NoAsker));
            return None;
        }
        Some(text)
    }

    /// A fault of this line.
    pub(super) const fn fault(&self, column: usize, kind: FaultKind) -> Fault {
        Fault {
            line: self.number,
            column,
            kind,
        }
    }
}

/// Whether a name follows `asked by`: some letter before the next comma,
/// semicolon or parenthesis.
fn names_asker(comment: &str) -> bool {
    let Some((_, name)) = comment.split_once(ASKED_BY) else {
        return false;
    };
    if !name.starts_with([' ', '\t']) {
        return false;
    }
    let name = name.split(NAME_ENDS).next();
    name.is_some_and(|name| name.chars().any(char::is_alphabetic))
}

fn check_characters(number: usize, raw: &str, faults: &mut Vec<Fault>) -> bool {
    let before = faults.len();
    if raw.len() > LINE_BYTES_MAX {
        let max = LINE_BYTES_MAX;
        let fits = raw.char_indices().take_while(|(at, _)| *at < max).count();
        faults.push(Fault {
            line: number,
            column: fits + 1,
            kind: FaultKind::LineTooLong { max },
        });
    }
    for (i, c) in raw.chars().enumerate() {
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

fn split_words(rule: &str) -> Vec<Word<'_>> {
    let mut words = Vec::new();
    let mut column = 1;
    for text in rule.split([' ', '\t']) {
        if !text.is_empty() {
            words.push(Word { text, column });
        }
        column += text.chars().count() + 1;
    }
    words
}
