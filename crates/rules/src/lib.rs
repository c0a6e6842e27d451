//! The operators' rules file: one rule on each line, with a comment that names
//! who requested it.
//!
//! [`fn@parse`] parses a file or reports all its faults, [`fn@diff`] compares two
//! files rule by rule, and [`compare_revision`] returns whether an offered
//! revision is newer than the one in force. Entry instances work with the parsed [`Rules`].

pub mod diff;
pub mod document;
pub mod fault;
mod keywords;
pub mod model;
pub mod names;
pub mod parse;
pub mod rule;

pub use diff::{Change, DiffError, RulesDiff, diff, text_diff};
pub use document::{Revision, RevisionOrder, RulesDocument, compare_revision};
pub use fault::{Fault, FaultKind, Faults};
pub use model::{
    AdapterRule, Admission, Class, Eviction, GroupRule, LimitRule, LimitScope, LoadOrdering,
    LoadsRule, Objective, Placement, Rules, ServiceRule,
};
pub use names::{is_name, is_repeatable_path};
pub use parse::{decode_utf8, parse, parse_bytes, parse_lines};
pub use rule::{Rule, RuleId, RuleLine, render};
