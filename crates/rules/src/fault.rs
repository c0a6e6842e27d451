//! Faults of a rules file, each with its line and column.

use std::fmt;
use thiserror::Error;

/// A fault at a position in the text.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{line}:{column}: {kind}")]
pub struct Fault {
    /// Line, counted from 1.
    pub line: usize,
    /// Column where the fault begins, in characters, counted from 1.
    pub column: usize,
    /// Kind of the fault.
    pub kind: FaultKind,
}

/// Kind of a fault, with its message for operators.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum FaultKind {
    /// The rule has no comment.
    #[error("the rule has no comment: end the line with `# asked by NAME`")]
    NoComment,
    /// The comment doesn't name who requested the rule.
    #[error("the comment does not say who asked: write `# asked by NAME`")]
    NoRequester,
    /// The first word of the line is not the keyword of a kind of rule.
    #[error("unknown word `{word}`: a rule starts with adapter, group, limit, loads or service")]
    UnknownWord {
        /// The word.
        word: Box<str>,
    },
    /// A word after the name is not of the form `key=value`.
    #[error("unexpected word `{word}` in the rule `{rule}`: expected key=value")]
    UnexpectedWord {
        /// The word.
        word: Box<str>,
        /// First word of the rule.
        rule: &'static str,
    },
    /// This kind of rule has no such key.
    #[error("unknown key `{key}` in the rule `{rule}`")]
    UnknownKey {
        /// The key.
        key: Box<str>,
        /// First word of the rule.
        rule: &'static str,
    },
    /// The key is given twice.
    #[error("the key `{key}` is given twice")]
    RepeatedKey {
        /// The key.
        key: Box<str>,
    },
    /// A required key is missing.
    #[error("the rule `{rule}` needs `{key}=`")]
    MissingKey {
        /// The key.
        key: &'static str,
        /// First word of the rule.
        rule: &'static str,
    },
    /// The name or scope of the rule is missing.
    #[error("`{rule}` is not followed by {expected}")]
    MissingName {
        /// First word of the rule.
        rule: &'static str,
        /// What has to follow.
        expected: &'static str,
    },
    /// The value is not valid for the key.
    #[error("bad value `{value}` for `{key}`: expected {expected}")]
    BadValue {
        /// The key.
        key: Box<str>,
        /// The value.
        value: Box<str>,
        /// The valid values.
        expected: &'static str,
    },
    /// The name is not valid, see [`is_name`](crate::is_name).
    #[error(
        "bad name `{name}`: expected at most 63 of a-z, 0-9, `.`, `_` and `-`, \
         starting with a letter or digit"
    )]
    BadName {
        /// The name.
        name: Box<str>,
    },
    /// An earlier line has a rule with the same [`RuleId`](crate::RuleId).
    #[error("`{rule}` is already ruled on line {first_line}")]
    DuplicateRule {
        /// Identity of the rule.
        rule: Box<str>,
        /// Line of the earlier rule.
        first_line: usize,
    },
    /// The rule names a group that has no rule.
    #[error("contradiction: no rule for the group `{group}`")]
    UnknownGroup {
        /// The group.
        group: Box<str>,
    },
    /// The limit names an adapter that has no rule.
    #[error("contradiction: no rule for the adapter `{adapter}`")]
    UnknownAdapter {
        /// The adapter.
        adapter: Box<str>,
    },
    /// A plain service names a group of model engines.
    #[error("contradiction: the group `{group}` is one of model engines, not of a plain service")]
    EngineGroup {
        /// The group.
        group: Box<str>,
    },
    /// The line is too long.
    #[error("the line is longer than {max} bytes")]
    LineTooLong {
        /// Longest line in bytes.
        max: usize,
    },
    /// The line has a control character.
    #[error("control character U+{code:04X}")]
    ControlCharacter {
        /// Code point of the character.
        code: u32,
    },
    /// The bytes from this position on are not UTF-8.
    #[error("the text is not UTF-8 from here on")]
    NotUtf8,
}

/// All faults of a text, ordered by line and column.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub struct Faults(Vec<Fault>);

impl Faults {
    /// Sorts the faults by line and column.
    pub(crate) fn new(mut faults: Vec<Fault>) -> Self {
        faults.sort_by_key(|f| (f.line, f.column));
        Self(faults)
    }

    /// Returns the faults, ordered by line and column.
    #[must_use]
    pub fn as_slice(&self) -> &[Fault] {
        &self.0
    }
}

impl fmt::Display for Faults {
    /// Writes one line for each fault, `LINE:COLUMN: MESSAGE`.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.0.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}
