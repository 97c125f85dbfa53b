//! Settings with replicated values laid over them: which keys there are, and whether a value can be in force.
//!
//! A key is `all/PATH` or `service/SERVICE/PATH`; the latter goes before the former. A path names one setting, dotted as in
//! `rules.cold-share`; rows of lists go by their names, as in `classes.judge-call.goal-time-us`.

use std::cell::RefCell;
use std::rc::Rc;

use serde_json::Value;

use super::InstanceConfig;
use crate::replication::Validator;

/// The prefix of keys that hold for every service.
pub const ALL_PREFIX: &str = "all/";
/// The prefix of keys that hold for one service.
pub const SERVICE_PREFIX: &str = "service/";

/// Settings outside any list, by path.
const SETTINGS: [&str; 19] = [
    "balancers",
    "bounds.cancel",
    "bounds.connect-timeout-us",
    "bounds.max-attempts",
    "bounds.max-retry-after-us",
    "bounds.most-held",
    "bounds.retry-after",
    "discovery",
    "extra.class-cells",
    "extra.clear-wait-us",
    "extra.shape",
    "extra.this-node",
    "granularity-us",
    "over-share-worth",
    "report.names",
    "rules.cold-share",
    "rules.cold-us",
    "rules.overload-factor",
    "rules.tip-after-us",
];
/// Settings of a row of a list, by the list. Names of rows are fixed: calls under way go by their places.
const ROW_SETTINGS: [(&str, &[&str]); 2] = [
    (
        "classes",
        &["dedup-scope", "goal-time-us", "hard-limit-us", "late-worth", "semantics", "window-us", "worth"],
    ),
    ("parties", &["quota-per-s", "share"]),
];
/// Settings whose value in a file is ignored where it is no whole number; an operator's change is refused instead.
const WHOLE_NUMBERS: [&str; 2] = ["bounds.connect-timeout-us", "bounds.most-held"];

/// Why a value cannot be in force.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum OverlayError {
    /// The key is of no known form.
    #[error("'{0}': a key is all/PATH or service/SERVICE/PATH")]
    InvalidKey(String),
    /// No setting has this path.
    #[error("'{0}': there is no such setting")]
    UnknownSetting(String),
    /// Calls under way go by the places in these lists.
    #[error("'{0}': a running controller cannot take other lists of classes, customers or zones")]
    FixedSetting(String),
    /// A list has no row of this name.
    #[error("'{key}': '{list}' has no row named '{row}'")]
    UnknownRow {
        /// The key.
        key: String,
        /// The list.
        list: String,
        /// The name.
        row: String,
    },
    /// The value is no JSON.
    #[error("'{key}': no JSON: {why}")]
    InvalidJson {
        /// The key.
        key: String,
        /// Why.
        why: String,
    },
    /// The value does not pass the checks of the settings.
    #[error("'{key}': {why}")]
    InvalidValue {
        /// The key.
        key: String,
        /// Why.
        why: String,
    },
}

/// For whom a key holds, and its path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Key<'a> {
    text: &'a str,
    /// `None`: every service.
    service: Option<&'a str>,
    path: Path<'a>,
}

/// One setting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Path<'a> {
    Plain(&'a str),
    Row { list: &'a str, row: &'a str, setting: &'a str },
}

impl<'a> Key<'a> {
    fn parse(text: &'a str) -> Result<Key<'a>, OverlayError> {
        let (service, path) = match text.strip_prefix(ALL_PREFIX) {
            Some(path) => (None, path),
            None => {
                let rest = text.strip_prefix(SERVICE_PREFIX).and_then(|rest| rest.split_once('/'));
                let Some((service, path)) = rest.filter(|(service, _)| !service.is_empty()) else {
                    return Err(OverlayError::InvalidKey(text.to_owned()));
                };
                (Some(service), path)
            }
        };
        if is_fixed(path) {
            return Err(OverlayError::FixedSetting(text.to_owned()));
        }
        let path = Path::parse(path).ok_or_else(|| OverlayError::UnknownSetting(text.to_owned()))?;
        Ok(Key { text, service, path })
    }
}

/// Whether a path names a list that a running controller keeps, or the name of one of its rows.
fn is_fixed(path: &str) -> bool {
    let list_of = |row: &str| ROW_SETTINGS.iter().any(|(list, _)| *list == row);
    path == "zones"
        || list_of(path)
        || path.split_once('.').is_some_and(|(list, rest)| list_of(list) && rest.ends_with(".name"))
}

impl<'a> Path<'a> {
    fn parse(text: &'a str) -> Option<Path<'a>> {
        if SETTINGS.contains(&text) {
            return Some(Path::Plain(text));
        }
        let (list, rest) = text.split_once('.')?;
        let (row, setting) = rest.rsplit_once('.')?;
        let (_, settings) = ROW_SETTINGS.iter().find(|(name, _)| *name == list)?;
        (!row.is_empty() && settings.contains(&setting)).then_some(Path::Row { list, row, setting })
    }
}

/// Lays one value over the settings.
fn lay(settings: &mut Value, key: Key<'_>, value: Value) -> Result<(), OverlayError> {
    match key.path {
        Path::Plain(path) => {
            let (section, setting) = path.split_once('.').unwrap_or(("", path));
            let place = if section.is_empty() { settings } else { section_of(settings, section) };
            place[setting] = value;
        }
        Path::Row { list, row, setting } => {
            let rows = settings.get_mut(list).and_then(Value::as_array_mut);
            let named = |entry: &&mut Value| entry.get("name").and_then(Value::as_str) == Some(row);
            let Some(entry) = rows.and_then(|rows| rows.iter_mut().find(named)) else {
                let (key, list, row) = (key.text.to_owned(), list.to_owned(), row.to_owned());
                return Err(OverlayError::UnknownRow { key, list, row });
            };
            entry[setting] = value;
        }
    }
    Ok(())
}

/// A section of the settings, made if the file has none.
fn section_of<'a>(settings: &'a mut Value, section: &str) -> &'a mut Value {
    let place = &mut settings[section];
    if !place.is_object() {
        *place = Value::Object(serde_json::Map::new());
    }
    place
}

fn json_of(key: &str, value: &[u8]) -> Result<Value, OverlayError> {
    serde_json::from_slice(value)
        .map_err(|e| OverlayError::InvalidJson { key: key.to_owned(), why: e.to_string() })
}

/// An instance's configuration as its file says it, and its service.
#[derive(Debug, Clone)]
pub struct Overlay {
    file: InstanceConfig,
    service: String,
}

impl Overlay {
    /// Nothing laid over it yet.
    pub fn new(file: InstanceConfig, service: &str) -> Overlay {
        Overlay { file, service: service.to_owned() }
    }

    /// The file was read again.
    pub fn set_file(&mut self, file: InstanceConfig) {
        self.file = file;
    }

    /// The configuration as the file says it.
    pub fn file(&self) -> &InstanceConfig {
        &self.file
    }

    /// Whether a key's value can be in force here; no value: the key is deleted.
    pub fn check(&self, key: &str, value: Option<&[u8]>) -> Result<(), OverlayError> {
        let Some(value) = value else { return Ok(()) };
        let key = Key::parse(key)?;
        let value = json_of(key.text, value)?;
        let mut settings = self.file.settings.clone();
        match lay(&mut settings, key, value.clone()) {
            // Another service may have other rows.
            Err(OverlayError::UnknownRow { .. })
                if key.service.is_some_and(|service| service != self.service) =>
            {
                return Ok(())
            }
            laid => laid?,
        }
        self.check_value(key, &value, settings)
    }

    fn check_value(&self, key: Key<'_>, value: &Value, settings: Value) -> Result<(), OverlayError> {
        let wrong = |why: String| Err(OverlayError::InvalidValue { key: key.text.to_owned(), why });
        if let Path::Plain(path) = key.path {
            if WHOLE_NUMBERS.contains(&path) && value.as_u64().is_none_or(|number| number == 0) {
                return wrong(format!("{value} is no whole number above 0"));
            }
        }
        match self.file.with_settings(settings) {
            Ok(_) => Ok(()),
            Err((_, why)) => wrong(why),
        }
    }

    /// The configuration in force: the file's with these values laid over, those of the service last. Values that do
    /// not fit the file are left out and returned with the reason.
    pub fn effective_config<'a>(
        &self,
        values: impl Iterator<Item = (&'a str, &'a [u8])>,
    ) -> (InstanceConfig, Vec<OverlayError>) {
        let mut settings = self.file.settings.clone();
        let mut left_out = Vec::new();
        let mut entries: Vec<(Key<'_>, Value)> = Vec::new();
        for (text, value) in values {
            let read =
                self.check(text, Some(value)).and_then(|()| Ok((Key::parse(text)?, json_of(text, value)?)));
            match read {
                Ok(entry) => entries.push(entry),
                Err(error) => left_out.push(error),
            }
        }
        entries.retain(|(key, _)| key.service.is_none_or(|service| service == self.service));
        entries.sort_by_key(|(key, _)| key.service.is_some());
        for (key, value) in entries {
            left_out.extend(lay(&mut settings, key, value).err());
        }
        match self.file.with_settings(settings) {
            Ok(config) => (config, left_out),
            Err((key, why)) => {
                left_out.push(OverlayError::InvalidValue { key, why });
                (self.file.clone(), left_out)
            }
        }
    }
}

/// Validates replicated settings against an instance's file.
pub struct SettingsValidator(pub Rc<RefCell<Overlay>>);

impl Validator for SettingsValidator {
    fn validate(&self, key: &str, value: Option<&[u8]>) -> Result<(), String> {
        self.0.borrow().check(key, value).map_err(|error| error.to_string())
    }
}
