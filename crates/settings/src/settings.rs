//! The settings of an entry instance.

use crate::bounds::Bounds;
use crate::error::SettingsError;
use crate::reading;
use crate::secret::Secret;
use crate::timeouts::Timeouts;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::Path;

/// Settings of an entry instance. Fields without a default must be given.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance, unique in the fleet. No default.
    pub instance: Box<str>,
    /// Availability zone of the instance, one of `zones`. No default.
    pub zone: Box<str>,
    /// All availability zones of the region. No default.
    pub zones: Vec<Box<str>>,
    /// Address and port where callers connect. No default.
    pub callers: SocketAddr,
    /// Address and port where other entry instances connect. No default.
    pub peers: SocketAddr,
    /// Address and port where operators connect. No default.
    pub operators: SocketAddr,
    /// Token that operators must present, at least 16 characters. No default.
    pub operator_token: Secret,
    /// Addresses of the platform's service; the first that answers is used.
    /// No default.
    pub platform: Vec<SocketAddr>,
    /// Where traces are sent, an OTLP/HTTP URL. Default: absent, and nothing is
    /// sent.
    #[serde(default)]
    pub trace_endpoint: Option<Box<str>>,
    /// Time limits. Default: each at its own default.
    #[serde(default)]
    pub timeouts: Timeouts,
    /// Sizes and counts. Default: each at its own default.
    #[serde(default)]
    pub bounds: Bounds,
}

impl Settings {
    /// Reads settings from YAML.
    ///
    /// # Errors
    /// When the text is no YAML mapping, or with all its unknown fields,
    /// missing fields and impossible values.
    pub fn from_yaml(text: &str) -> Result<Self, SettingsError> {
        reading::read(text)
    }

    /// Reads settings from a YAML file.
    ///
    /// # Errors
    /// When the file can't be read, and those of [`Settings::from_yaml`].
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::File {
            path: path.to_owned(),
            source,
        })?;
        Self::from_yaml(&text)
    }
}
