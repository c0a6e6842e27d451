//! Settings of an entry instance, read from YAML.
//!
//! [`Settings::load`] reads a file. It reports all unknown fields, missing fields
//! and invalid values at once, each with the path of its field.

mod bounds;
mod check;
mod error;
mod parse;
mod secret;
mod settings;
mod timeouts;

pub use bounds::Bounds;
pub use error::{SettingFault, SettingsError};
pub use secret::Secret;
pub use settings::Settings;
pub use timeouts::{Timeouts, ms};
