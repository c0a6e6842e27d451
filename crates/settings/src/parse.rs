//! Reading settings field by field, so that all faults are found at once.
//!
//! Deserializing a whole document stops at the first fault and doesn't tell
//! the field's path. Here each field is put alone into a document that is
//! otherwise good ([`sample`]) and deserialized: an error is then the fault of
//! that field. Fields with a fault keep the sample's value, and the checks that
//! read them are left out.

use crate::check::Checks;
use crate::error::{SettingFault, SettingsError};
use crate::settings::Settings;
use serde_json::{Map, Value, json};

/// Fields that hold further fields.
const SECTIONS: [&str; 2] = ["timeouts", "bounds"];

/// Reads settings from YAML.
///
/// # Errors
/// When the text is no YAML mapping, or with all faults of its fields.
pub(crate) fn read(text: &str) -> Result<Settings, SettingsError> {
    let document = parse(text)?;
    let mut cx = Cx::default();
    cx.check_missing(&document);
    for (key, value) in document {
        cx.add(key, value);
    }
    let settings = settings_of(cx.good).map_err(yaml_error)?;
    let mut checks = Checks::new(cx.faults);
    checks.run(&settings);
    checks.finish().map(|()| settings)
}

/// The mapping of a YAML text.
fn parse(text: &str) -> Result<Map<String, Value>, SettingsError> {
    // The error's snippet would quote the lines around the fault, and with them
    // the token.
    serde_saphyr::from_str(text).map_err(|e| yaml_error(e.without_snippet()))
}

fn yaml_error<E>(error: E) -> SettingsError
where
    E: std::fmt::Display,
{
    SettingsError::Yaml {
        message: error.to_string().into(),
    }
}

/// The fields read so far.
struct Cx {
    good: Map<String, Value>,
    faults: Vec<SettingFault>,
}

impl Default for Cx {
    fn default() -> Self {
        Self {
            good: sample(),
            faults: Vec::new(),
        }
    }
}

impl Cx {
    fn check_missing(&mut self, document: &Map<String, Value>) {
        for key in sample().keys().filter(|key| !document.contains_key(*key)) {
            self.fault(key, "must be given");
        }
    }

    fn add(&mut self, key: String, value: Value) {
        match value {
            Value::Object(fields) if SECTIONS.contains(&&*key) => self.add_section(key, fields),
            Value::Array(items) => self.add_list(key, items),
            value => self.add_field(key, value),
        }
    }

    fn add_field(&mut self, key: String, value: Value) {
        match settings_of(with(&self.good, &key, value.clone())) {
            Ok(_) => drop(self.good.insert(key, value)),
            Err(e) => self.fault(&key, &e.to_string()),
        }
    }

    fn add_list(&mut self, key: String, items: Vec<Value>) {
        let mut good = Vec::new();
        for (i, item) in items.into_iter().enumerate() {
            match settings_of(with(&self.good, &key, json!([item]))) {
                Ok(_) => good.push(item),
                Err(e) => self.fault(&format!("{key}[{i}]"), &e.to_string()),
            }
        }
        self.add_field(key, Value::Array(good));
    }

    fn add_section(&mut self, section: String, fields: Map<String, Value>) {
        let mut good = Map::new();
        for (key, value) in fields {
            match settings_of(with(&self.good, &section, json!({ &*key: value }))) {
                Ok(_) => drop(good.insert(key, value)),
                Err(e) => self.fault(&format!("{section}.{key}"), &e.to_string()),
            }
        }
        self.good.insert(section, Value::Object(good));
    }

    fn fault(&mut self, path: &str, message: &str) {
        self.faults.push(SettingFault {
            path: path.into(),
            message: message.into(),
        });
    }
}

/// A value for each field that must be given.
fn sample() -> Map<String, Value> {
    let fields = [
        ("instance", json!("entry-1")),
        ("zone", json!("zone-1")),
        ("zones", json!(["zone-1"])),
        ("callers", json!("127.0.0.1:1")),
        ("peers", json!("127.0.0.1:2")),
        ("operators", json!("127.0.0.1:3")),
        ("operator_token", json!("0123456789abcdef")),
        ("platform", json!(["127.0.0.1:4"])),
    ];
    fields
        .into_iter()
        .map(|(key, value)| (key.to_owned(), value))
        .collect()
}

fn with(fields: &Map<String, Value>, key: &str, value: Value) -> Map<String, Value> {
    let mut fields = fields.clone();
    fields.insert(key.to_owned(), value);
    fields
}

fn settings_of(fields: Map<String, Value>) -> Result<Settings, serde_json::Error> {
    serde_json::from_value(Value::Object(fields))
}
