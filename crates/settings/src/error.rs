//! Errors of settings.

use std::fmt;
use std::path::PathBuf;
use thiserror::Error;

/// Why settings can't be used.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// Cause of the error.
        source: std::io::Error,
    },
    /// The text is not a YAML mapping.
    #[error("{message}")]
    Yaml {
        /// Position and cause of the error.
        message: Box<str>,
    },
    /// Fields are unknown, missing or have invalid values.
    #[error("{}", FaultLines(.0))]
    Faults(Vec<SettingFault>),
}

impl SettingsError {
    /// Returns the faults of single fields; empty for other errors.
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
    /// Message for operators.
    pub message: Box<str>,
}

/// Displays one fault on each line.
struct FaultLines<'a>(&'a [SettingFault]);

impl fmt::Display for FaultLines<'_> {
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
