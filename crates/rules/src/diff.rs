//! Comparison of two rules files.

use crate::fault::Faults;
use crate::parse::parse_lines;
use crate::rule::{RuleId, RuleLine};
use similar::TextDiff;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use thiserror::Error;

/// Lines shown around a change in a [`text_diff`].
const CONTEXT_LINES: usize = 2;

/// The rules that differ between two texts. The order of the rules, spacing and
/// comments on lines of their own are ignored.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RulesDiff {
    /// The changes, ordered by [`RuleId`].
    pub changes: Vec<Change>,
}

/// The change of one rule.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// The rule is only in the new text.
    Added(RuleLine),
    /// The rule is in both texts, with different values or comments.
    Changed {
        /// The rule in the old text.
        old: RuleLine,
        /// The rule in the new text.
        new: RuleLine,
    },
    /// The rule is only in the old text.
    Removed(RuleLine),
}

/// Why two texts can't be compared.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum DiffError {
    /// The new text has faults.
    #[error("the new text has faults:\n{0}")]
    New(Faults),
    /// The old text has faults.
    #[error("the old text has faults:\n{0}")]
    Old(Faults),
}

/// Compares two texts rule by rule.
///
/// # Errors
/// When one of the texts has faults.
pub fn diff(old_text: &str, new_text: &str) -> Result<RulesDiff, DiffError> {
    let mut old = by_id(parse_lines(old_text).map_err(DiffError::Old)?);
    let mut new = by_id(parse_lines(new_text).map_err(DiffError::New)?);
    let ids: BTreeSet<RuleId> = old.keys().chain(new.keys()).cloned().collect();
    let changes = ids
        .into_iter()
        .filter_map(|id| compare(old.remove(&id), new.remove(&id)))
        .collect();
    Ok(RulesDiff { changes })
}

/// Compares two texts line by line and returns a unified diff. Texts with faults
/// can be compared too; the diff of equal texts is empty.
#[must_use]
pub fn text_diff(old_text: &str, new_text: &str, old_label: &str, new_label: &str) -> String {
    TextDiff::from_lines(old_text, new_text)
        .unified_diff()
        .context_radius(CONTEXT_LINES)
        .header(old_label, new_label)
        .to_string()
}

fn by_id(lines: Vec<RuleLine>) -> BTreeMap<RuleId, RuleLine> {
    lines
        .into_iter()
        .map(|line| (line.rule.id(), line))
        .collect()
}

fn compare(old: Option<RuleLine>, new: Option<RuleLine>) -> Option<Change> {
    match (old, new) {
        (None, None) => None,
        (None, Some(new)) => Some(Change::Added(new)),
        (Some(old), None) => Some(Change::Removed(old)),
        (Some(old), Some(new)) => {
            let same = old.rule == new.rule && old.comment == new.comment;
            (!same).then_some(Change::Changed { old, new })
        }
    }
}

impl RulesDiff {
    /// Returns whether the texts hold the same rules with the same comments.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }
}

impl fmt::Display for RulesDiff {
    /// Writes a line for each side of each change, then the counts.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (mut added, mut changed, mut removed) = (0, 0, 0);
        for change in &self.changes {
            writeln!(f, "{change}")?;
            match change {
                Change::Added(_) => added += 1,
                Change::Changed { .. } => changed += 1,
                Change::Removed(_) => removed += 1,
            }
        }
        write!(f, "{added} added, {changed} changed, {removed} removed")
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added(line) => write!(f, "+ {line}"),
            Self::Changed { old, new } => write!(f, "- {old}\n+ {new}"),
            Self::Removed(line) => write!(f, "- {line}"),
        }
    }
}

impl fmt::Display for RuleLine {
    /// Writes the rule in canonical form with its comment.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}  # {}", self.rule, self.comment)
    }
}
