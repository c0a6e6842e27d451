//! A revision of the rules, and the order of two revisions.

use crate::fault::Faults;
use crate::model::Rules;
use crate::parse::parse;

/// Revision of the rules; each accepted edit has a higher one.
pub type Revision = u64;

/// The rules of one revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RulesDocument {
    /// Revision of the text.
    pub revision: Revision,
    /// The file as the operator wrote it.
    pub text: Box<str>,
    /// The rules parsed from the text.
    pub rules: Rules,
}

impl RulesDocument {
    /// Parses the text of a revision.
    ///
    /// # Errors
    /// Returns all faults of the text.
    pub fn parse(revision: Revision, text: &str) -> Result<Self, Faults> {
        Ok(Self {
            revision,
            text: text.into(),
            rules: parse(text)?,
        })
    }
}

/// How an offered revision compares with the current one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RevisionOrder {
    /// The offered revision is newer, or there is no current one: it takes effect.
    Newer,
    /// The offered revision is older: the current one stays in force.
    Older,
    /// Both are the same revision.
    Same,
}

/// Compares an offered revision with the current one. An instance puts only newer
/// revisions in force, whatever their source.
///
/// The revision in force therefore never decreases, even if a slow peer or a stale
/// response offers an older one.
#[must_use]
pub fn compare_revision(current: Option<&RulesDocument>, offered: &RulesDocument) -> RevisionOrder {
    let Some(current) = current else {
        return RevisionOrder::Newer;
    };
    match offered.revision.cmp(&current.revision) {
        std::cmp::Ordering::Greater => RevisionOrder::Newer,
        std::cmp::Ordering::Equal => RevisionOrder::Same,
        std::cmp::Ordering::Less => RevisionOrder::Older,
    }
}
