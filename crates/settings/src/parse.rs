//! Parses settings field by field, to report all faults at once.
//!
//! Deserializing the whole document stops at the first fault and doesn't report
//! the path of its field. Here each field is added to a document of valid values
//! (at first those of [`sample`]) and deserialized, so that an error belongs to that
//! field. Fields with a fault keep the value of the sample, and checks that depend
//! on them are skipped.

use crate::check::Checks;
use crate::error::{SettingFault, SettingsError};
use crate::settings::Settings;
use serde_json::{Map, Value, json};

/// Fields that contain fields of their own.
const SECTIONS: [&str; 2] = ["timeouts", "bounds"];

/// Parses settings from YAML.
///
/// # Errors
/// When the text is not a YAML mapping, or with all faults of its fields.
pub(crate) fn parse(text: &str) -> Result<Settings, SettingsError> {
    let document = parse_mapping(text)?;
    let mut parser = FieldParser::default();
    parser.check_missing(&document);
    for (key, value) in document {
        parser.add(key, value);
    }
    let settings = deserialize(parser.valid).map_err(yaml_error)?;
    let mut checks = Checks::new(parser.faults);
    checks.run(&settings);
    checks.finish().map(|()| settings)
}

/// Parses a YAML text that is a mapping.
fn parse_mapping(text: &str) -> Result<Map<String, Value>, SettingsError> {
    // The snippet of the error quotes the lines around the fault, which can contain
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

/// Parses fields one by one and keeps the valid ones.
struct FieldParser {
    /// Values without faults, and sample values for the other required fields.
    valid: Map<String, Value>,
    faults: Vec<SettingFault>,
}

impl Default for FieldParser {
    fn default() -> Self {
        Self {
            valid: sample(),
            faults: Vec::new(),
        }
    }
}

impl FieldParser {
    fn check_missing(&mut self, document: &Map<String, Value>) {
        for key in sample().keys().filter(|key| !document.contains_key(*key)) {
            self.report(key, "must be given");
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
        match deserialize(with_field(&self.valid, &key, value.clone())) {
            Ok(_) => drop(self.valid.insert(key, value)),
            Err(e) => self.report(&key, &e.to_string()),
        }
    }

    fn add_list(&mut self, key: String, items: Vec<Value>) {
        let mut valid = Vec::new();
        for (i, item) in items.into_iter().enumerate() {
            match deserialize(with_field(&self.valid, &key, json!([item]))) {
                Ok(_) => valid.push(item),
                Err(e) => self.report(&format!("{key}[{i}]"), &e.to_string()),
            }
        }
        self.add_field(key, Value::Array(valid));
    }

    fn add_section(&mut self, section: String, fields: Map<String, Value>) {
        let mut valid = Map::new();
        for (key, value) in fields {
            match deserialize(with_field(&self.valid, &section, json!({ &*key: value }))) {
                Ok(_) => drop(valid.insert(key, value)),
                Err(e) => self.report(&format!("{section}.{key}"), &e.to_string()),
            }
        }
        self.valid.insert(section, Value::Object(valid));
    }

    fn report(&mut self, path: &str, message: &str) {
        self.faults.push(SettingFault {
            path: path.into(),
            message: message.into(),
        });
    }
}

/// Returns a valid value for each required field.
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

fn with_field(fields: &Map<String, Value>, key: &str, value: Value) -> Map<String, Value> {
    let mut fields = fields.clone();
    fields.insert(key.to_owned(), value);
    fields
}

fn deserialize(fields: Map<String, Value>) -> Result<Settings, serde_json::Error> {
    serde_json::from_value(Value::Object(fields))
}
