//! Settings of an entry instance.

use crate::bounds::Bounds;
use crate::error::SettingsError;
use crate::parse::parse;
use crate::secret::Secret;
use crate::timeouts::Timeouts;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::Path;

/// Settings of an entry instance. Fields without a default are required.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance, unique in the fleet. No default.
    pub instance: Box<str>,
    /// Availability zone of the instance, one of `zones`. No default.
    pub zone: Box<str>,
    /// All availability zones of the region. No default.
    pub zones: Vec<Box<str>>,
    /// Listen address for callers. No default.
    pub callers: SocketAddr,
    /// Listen address for other entry instances, which must be able to connect to
    /// it. No default.
    pub peers: SocketAddr,
    /// Listen address for operators. No default.
    pub operators: SocketAddr,
    /// Token that operators must present, at least 16 characters. No default.
    pub operator_token: Secret,
    /// Addresses of the platform's service; the first that responds is used.
    /// No default.
    pub platform: Vec<SocketAddr>,
    /// OTLP/HTTP URL to which traces are exported. Default: absent; no traces are
    /// exported.
    #[serde(default)]
    pub trace_endpoint: Option<Box<str>>,
    /// Time limits. Default: the default of each field.
    #[serde(default)]
    pub timeouts: Timeouts,
    /// Limits on sizes and counts. Default: the default of each field.
    #[serde(default)]
    pub bounds: Bounds,
}

impl Settings {
    /// Parses settings from YAML.
    ///
    /// # Errors
    /// When the text is not a YAML mapping, or with all its unknown fields, missing
    /// fields and invalid values.
    pub fn from_yaml(text: &str) -> Result<Self, SettingsError> {
        parse(text)
    }

    /// Reads settings from a YAML file.
    ///
    /// # Errors
    /// When the file can't be read, and the errors of [`Settings::from_yaml`].
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::File {
            path: path.to_owned(),
            source,
        })?;
        Self::from_yaml(&text)
    }
}
