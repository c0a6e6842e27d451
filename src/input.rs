//! Files that commands read.

use eyre::WrapErr as _;
use reedford_rules::{Faults, Rules, decode_utf8, parse};
use std::path::Path;

/// Content of a rules file.
pub(crate) enum RulesFile {
    /// A file without faults.
    Valid {
        /// The text.
        text: String,
        /// The rules parsed from the text.
        rules: Rules,
    },
    /// The faults of the file.
    Faulty(Faults),
}

/// Reads and parses a rules file.
///
/// # Errors
/// When the file can't be read.
pub(crate) fn read_rules(path: &Path) -> eyre::Result<RulesFile> {
    let bytes = std::fs::read(path).wrap_err_with(|| path.display().to_string())?;
    let text = match decode_utf8(&bytes) {
        Ok(text) => text,
        Err(faults) => return Ok(RulesFile::Faulty(faults)),
    };
    Ok(match parse(text) {
        Ok(rules) => RulesFile::Valid {
            text: text.to_owned(),
            rules,
        },
        Err(faults) => RulesFile::Faulty(faults),
    })
}

/// Prints each fault as `FILE:LINE:COLUMN: MESSAGE`.
pub(crate) fn print_faults(path: &Path, faults: &Faults) {
    for fault in faults.as_slice() {
        eprintln!("{}:{fault}", path.display());
    }
}

/// Reads the operators' token, without surrounding white space.
///
/// # Errors
/// When the file can't be read.
pub(crate) fn read_token(path: &Path) -> eyre::Result<String> {
    let text = std::fs::read_to_string(path).wrap_err_with(|| path.display().to_string())?;
    Ok(text.trim().to_owned())
}
