//! Faults of a rules file, each with its line and column.

use std::fmt;
use thiserror::Error;

/// One fault.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{line}:{column}: {kind}")]
pub struct Fault {
    /// Line, counted from 1.
    pub line: usize,
    /// Column of the offending word in characters, counted from 1.
    pub column: usize,
    /// What is wrong.
    pub kind: FaultKind,
}

/// What is wrong with a line.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum FaultKind {
    /// A rule without a comment.
    #[error("the rule has no comment: end the line with `# asked by NAME`")]
    NoComment,
    /// A comment that doesn't name who asked.
    #[error("the comment does not say who asked: write `# asked by NAME`")]
    NoAsker,
    /// A first word that starts no rule.
    #[error("unknown word `{word}`: a rule starts with adapter, group, limit, loads or service")]
    UnknownWord {
        /// The word.
        word: Box<str>,
    },
    /// A further word that is no `key=value`.
    #[error("unexpected word `{word}` in the rule `{rule}`: expected key=value")]
    UnexpectedWord {
        /// The word.
        word: Box<str>,
        /// First word of the rule.
        rule: &'static str,
    },
    /// A key that the rule doesn't have.
    #[error("unknown key `{key}` in the rule `{rule}`")]
    UnknownKey {
        /// The key.
        key: Box<str>,
        /// First word of the rule.
        rule: &'static str,
    },
    /// A key given twice.
    #[error("the key `{key}` is given twice")]
    RepeatedKey {
        /// The key.
        key: Box<str>,
    },
    /// A key that the rule needs.
    #[error("the rule `{rule}` needs `{key}=`")]
    MissingKey {
        /// The key.
        key: &'static str,
        /// First word of the rule.
        rule: &'static str,
    },
    /// A rule without its name or scope.
    #[error("`{rule}` is not followed by {expected}")]
    MissingName {
        /// First word of the rule.
        rule: &'static str,
        /// What should follow.
        expected: &'static str,
    },
    /// A value that the key doesn't take.
    #[error("bad value `{value}` for `{key}`: expected {expected}")]
    BadValue {
        /// The key.
        key: Box<str>,
        /// The value.
        value: Box<str>,
        /// What the key takes.
        expected: &'static str,
    },
    /// A name with characters that names don't have, or too long.
    #[error(
        "bad name `{name}`: expected at most 63 of a-z, 0-9, `.`, `_` and `-`, \
         starting with a letter or digit"
    )]
    BadName {
        /// The name.
        name: Box<str>,
    },
    /// The same rule twice.
    #[error("`{rule}` is already ruled on line {first_line}")]
    DuplicateRule {
        /// What the rule is about.
        rule: Box<str>,
        /// Line of the first one.
        first_line: usize,
    },
    /// A rule that names a group without a rule.
    #[error("contradiction: no rule for the group `{group}`")]
    UnknownGroup {
        /// The group.
        group: Box<str>,
    },
    /// A limit on an adapter without a rule.
    #[error("contradiction: no rule for the adapter `{adapter}`")]
    UnknownAdapter {
        /// The adapter.
        adapter: Box<str>,
    },
    /// A plain service in a group of model engines.
    #[error("contradiction: the group `{group}` is one of model engines, not of a plain service")]
    EngineGroup {
        /// The group.
        group: Box<str>,
    },
    /// A line over the bound.
    #[error("the line is longer than {max} bytes")]
    LineTooLong {
        /// The bound in bytes.
        max: usize,
    },
    /// A control character.
    #[error("control character U+{code:04X}")]
    ControlCharacter {
        /// Its code point.
        code: u32,
    },
    /// Bytes that are no UTF-8.
    #[error("the text is not UTF-8 from here on")]
    NotUtf8,
}

/// All faults of a text, by line and column.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub struct Faults(Vec<Fault>);

impl Faults {
    /// Orders the faults by line and column.
    pub(crate) fn new(mut faults: Vec<Fault>) -> Self {
        faults.sort_by_key(|f| (f.line, f.column));
        Self(faults)
    }

    /// The faults, by line and column.
    #[must_use]
    pub fn as_slice(&self) -> &[Fault] {
        &self.0
    }
}

impl fmt::Display for Faults {
    /// One line a fault, `LINE:COLUMN: MESSAGE`.
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
