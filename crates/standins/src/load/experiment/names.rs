//! Names of the adapter versions that requests use.

use reedford_rules::{Faults, Rules};
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};

/// An adapter version that requests use.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Model {
    /// Value of a request's `model` field, `adapter@version`.
    pub name: Box<str>,
    /// Whether the rules allow its requests to be idempotent.
    pub repeatable: bool,
}

/// Placeholder for the number of the adapter in a pattern.
const PLACEHOLDER: &str = "{}";

/// Source of the adapters' names.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Names {
    /// `adapter@version`, in which `{}` is replaced by the number of the
    /// adapter, from 0 and with four digits.
    Pattern(Box<str>),
    /// The adapters of a rules file, each in its first version. The path is
    /// relative to the experiment file.
    Rules(PathBuf),
}

/// Reason why there are no usable names.
#[derive(Debug, thiserror::Error)]
pub enum NamesError {
    /// The pattern would give all adapters the same name.
    #[error("names.pattern: {0:?} has no {PLACEHOLDER}")]
    NoPlaceholder(Box<str>),
    /// The pattern names no version.
    #[error("names.pattern: {0:?} is not of the form adapter@version")]
    NoVersion(Box<str>),
    /// The rules file can't be read.
    #[error("names.rules: {path}: {error}")]
    Read {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        #[source]
        error: std::io::Error,
    },
    /// The rules file has errors.
    #[error("names.rules: {path}: {faults}")]
    Faults {
        /// The file.
        path: PathBuf,
        /// All its errors.
        #[source]
        faults: Faults,
    },
    /// The rules file has too few adapters.
    #[error("workload.adapters: {wanted} are wanted, but {path} has {found}")]
    TooFew {
        /// The file.
        path: PathBuf,
        /// Adapters wanted.
        wanted: usize,
        /// Adapters in the file.
        found: usize,
    },
}

impl Names {
    /// Joins a relative path to `dir`, the directory of the experiment file.
    pub fn resolve(&mut self, dir: &Path) {
        if let Self::Rules(path) = self {
            *path = dir.join(&*path);
        }
    }

    /// Returns the first `count` adapter versions.
    ///
    /// # Errors
    /// When the pattern or the rules file can't be used, or the file has fewer
    /// adapters.
    pub fn models(&self, count: usize) -> Result<Vec<Model>, NamesError> {
        match self {
            Self::Pattern(pattern) => models_of_pattern(pattern, count),
            Self::Rules(path) => models_of_rules(path, count),
        }
    }
}

fn models_of_rules(path: &Path, count: usize) -> Result<Vec<Model>, NamesError> {
    let bytes = std::fs::read(path).map_err(|error| NamesError::Read {
        path: path.into(),
        error,
    })?;
    let rules = reedford_rules::parse_bytes(&bytes).map_err(|faults| NamesError::Faults {
        path: path.into(),
        faults,
    })?;
    let models = first_versions(&rules, count);
    if models.len() < count {
        return Err(NamesError::TooFew {
            path: path.into(),
            wanted: count,
            found: models.len(),
        });
    }
    Ok(models)
}

fn first_versions(rules: &Rules, count: usize) -> Vec<Model> {
    let models = rules.adapters.iter().filter_map(|(name, adapter)| {
        let version = adapter.versions.first()?;
        Some(Model {
            name: format!("{name}@{version}").into(),
            repeatable: adapter.repeatable,
        })
    });
    models.take(count).collect()
}

fn models_of_pattern(pattern: &str, count: usize) -> Result<Vec<Model>, NamesError> {
    if !pattern.contains(PLACEHOLDER) {
        return Err(NamesError::NoPlaceholder(pattern.into()));
    }
    if !pattern.contains('@') {
        return Err(NamesError::NoVersion(pattern.into()));
    }
    let model = |number| Model {
        name: pattern.replace(PLACEHOLDER, &format!("{number:04}")).into(),
        repeatable: true,
    };
    Ok((0..count).map(model).collect())
}
