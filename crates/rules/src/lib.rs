//! The operators' rules file: one line a rule, each with a comment that names
//! who asked for it.
//!
//! [`fn@parse`] reads a file or reports all its faults, [`fn@diff`] compares two
//! files rule by rule, [`adopt`] says which of two revisions an instance keeps.
//! [`Rules`] is what the entry instances act on.

pub mod diff;
pub mod document;
pub mod fault;
pub mod model;
pub mod names;
pub mod parse;
pub mod rule;
mod words;

pub use diff::{Change, DiffError, RulesDiff, diff, text_diff};
pub use document::{Adoption, Revision, RulesDocument, adopt};
pub use fault::{Fault, FaultKind, Faults};
pub use model::{
    AdapterRule, Admission, Class, Eviction, GroupRule, LimitRule, LimitScope, LoadOrdering,
    LoadsRule, Objective, Placement, Rules, ServiceRule,
};
pub use names::{is_name, is_path};
pub use parse::{parse, parse_bytes, parse_lines, text_of};
pub use rule::{Rule, RuleId, RuleLine, render};
