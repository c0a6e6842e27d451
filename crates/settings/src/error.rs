//! Why settings are refused.

use std::fmt;
use std::path::PathBuf;
use thiserror::Error;

/// Why settings are refused.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The text is no YAML mapping.
    #[error("{message}")]
    Yaml {
        /// Where and why.
        message: Box<str>,
    },
    /// Fields are unknown, missing or have impossible values.
    #[error("{}", Lines(.0))]
    Faults(Vec<SettingFault>),
}

impl SettingsError {
    /// The faults of single fields; empty for other errors.
    #[must_use]
    pub fn faults(&self) -> &[SettingFault] {
        match self {
            Self::Faults(faults) => faults,
            Self::File { .. } | Self::Yaml { .. } => &[],
        }
    }
}

/// A fault of one field.
#[derive(Clone, Debug, Eq, Error, Ord, PartialEq, PartialOrd)]
#[error("{path}: {message}")]
pub struct SettingFault {
    /// Path of the field, such as `timeouts.lease_ms`.
    pub path: Box<str>,
    /// What is wrong with it.
    pub message: Box<str>,
}

/// One fault a line.
struct Lines<'a>(&'a [SettingFault]);

impl fmt::Display for Lines<'_> {
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
