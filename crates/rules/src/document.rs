//! A revision of the rules, and which of two revisions an instance keeps.

use crate::fault::Faults;
use crate::model::Rules;
use crate::parse::parse;

/// Revision of the rules; later ones are higher.
pub type Revision = u64;

/// The rules of one revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RulesDocument {
    /// The revision.
    pub revision: Revision,
    /// The file as the operator wrote it.
    pub text: Box<str>,
    /// What it says.
    pub rules: Rules,
}

impl RulesDocument {
    /// Reads the text of a revision.
    ///
    /// # Errors
    /// All faults of the text.
    pub fn read(revision: Revision, text: &str) -> Result<Self, Faults> {
        Ok(Self {
            revision,
            text: text.into(),
            rules: parse(text)?,
        })
    }
}

/// What to do with an offered revision.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Adoption {
    /// It is later than the current one: put it in force.
    Adopted,
    /// It is older than the current one: keep the current one.
    Older,
    /// It is the current one.
    Same,
}

/// Whether an instance puts an offered revision in force, whoever offers it.
///
/// The revision only rises. An accepted revision therefore never reverts: a
/// slow peer or a stale answer can offer an older one at any time and is
/// passed over.
#[must_use]
pub fn adopt(current: Option<&RulesDocument>, offered: &RulesDocument) -> Adoption {
    let Some(current) = current else {
        return Adoption::Adopted;
    };
    match offered.revision.cmp(&current.revision) {
        std::cmp::Ordering::Greater => Adoption::Adopted,
        std::cmp::Ordering::Equal => Adoption::Same,
        std::cmp::Ordering::Less => Adoption::Older,
    }
}
