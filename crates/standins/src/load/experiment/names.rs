//! Names of the adapters that callers ask for.

use serde::{Deserialize, Serialize};

/// An adapter and version as requests name it, `adapter@version`.
pub type Model = Box<str>;

/// Stands for the number of the adapter in a pattern.
const PLACEHOLDER: &str = "{}";

/// Where the names of the adapters come from.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Names {
    /// `adapter@version`, in which `{}` stands for the number of the adapter,
    /// from 0 and with four digits.
    Pattern(Box<str>),
}

/// Why the names can't be had.
#[derive(Debug, thiserror::Error)]
pub enum NamesError {
    /// The pattern would give all adapters one name.
    #[error("names.pattern: {0:?} has no {PLACEHOLDER}")]
    NoPlaceholder(Box<str>),
    /// The pattern names no version.
    #[error("names.pattern: {0:?} is not of the form adapter@version")]
    NoVersion(Box<str>),
}

impl Names {
    /// The first `count` names.
    ///
    /// # Errors
    /// When there are not so many names.
    pub fn models(&self, count: usize) -> Result<Vec<Model>, NamesError> {
        match self {
            Self::Pattern(pattern) => models_of_pattern(pattern, count),
        }
    }
}

fn models_of_pattern(pattern: &str, count: usize) -> Result<Vec<Model>, NamesError> {
    if !pattern.contains(PLACEHOLDER) {
        return Err(NamesError::NoPlaceholder(pattern.into()));
    }
    if !pattern.contains('@') {
        return Err(NamesError::NoVersion(pattern.into()));
    }
    let model = |number| pattern.replace(PLACEHOLDER, &format!("{number:04}")).into();
    Ok((0..count).map(model).collect())
}
