//! Replicated values that override the settings of a file: the valid keys, and the checks of values.
//!
//! A key is `all/PATH` or `service/SERVICE/PATH`; the latter takes precedence. A path identifies one setting, with dots
//! as in `rules.cold-share`; rows of lists are identified by their names, as in `classes.judge-call.goal-time-us`.

use std::cell::RefCell;
use std::rc::Rc;

use serde_json::Value;

use super::InstanceConfig;
use crate::replication::Validator;

/// Prefix of keys that apply to all services.
pub const ALL_PREFIX: &str = "all/";
/// Prefix of keys that apply to one service.
pub const SERVICE_PREFIX: &str = "service/";

/// Paths of the settings outside lists.
const SCALAR_SETTINGS: [&str; 19] = [
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
/// Settings of the rows of each list. Names of rows are not among them, because pending calls refer to rows by index.
const ROW_SETTINGS: [(&str, &[&str]); 2] = [
    (
        "classes",
        &["dedup-scope", "goal-time-us", "hard-limit-us", "late-worth", "semantics", "window-us", "worth"],
    ),
    ("parties", &["quota-per-s", "share"]),
];
/// Settings that must be positive integers. In a file any other value is ignored; a replicated one is refused.
const POSITIVE_INTEGERS: [&str; 2] = ["bounds.connect-timeout-us", "bounds.most-held"];

/// Why a replicated value is refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum OverlayError {
    /// The key has none of the valid forms.
    #[error("'{0}': invalid key, expected all/PATH or service/SERVICE/PATH")]
    InvalidKey(String),
    /// No setting has this path.
    #[error("'{0}': unknown setting")]
    UnknownSetting(String),
    /// The path is a list, or the name of a row, to which pending calls refer by index.
    #[error("'{0}': the lists 'classes', 'parties' and 'zones' cannot change while the controller runs")]
    FixedSetting(String),
    /// The list has no row with this name.
    #[error("'{key}': '{list}' has no row named '{row}'")]
    UnknownRow {
        /// The key.
        key: String,
        /// The list.
        list: String,
        /// The name of the row.
        row: String,
    },
    /// The value is not valid JSON.
    #[error("'{key}': invalid JSON: {why}")]
    InvalidJson {
        /// The key.
        key: String,
        /// The reason.
        why: String,
    },
    /// The value does not pass the checks of the settings.
    #[error("'{key}': {why}")]
    InvalidValue {
        /// The key.
        key: String,
        /// The reason.
        why: String,
    },
}

/// A parsed key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Key<'a> {
    text: &'a str,
    /// The service that the key applies to; `None`: all services.
    service: Option<&'a str>,
    path: Path<'a>,
}

/// Path of one setting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Path<'a> {
    Scalar(&'a str),
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

/// Returns whether a path is a list that cannot change while a controller runs, or the name of one of its rows.
fn is_fixed(path: &str) -> bool {
    let is_list = |path: &str| ROW_SETTINGS.iter().any(|(list, _)| *list == path);
    path == "zones"
        || is_list(path)
        || path.split_once('.').is_some_and(|(list, rest)| is_list(list) && rest.ends_with(".name"))
}

impl<'a> Path<'a> {
    fn parse(text: &'a str) -> Option<Path<'a>> {
        if SCALAR_SETTINGS.contains(&text) {
            return Some(Path::Scalar(text));
        }
        let (list, rest) = text.split_once('.')?;
        let (row, setting) = rest.rsplit_once('.')?;
        let (_, settings) = ROW_SETTINGS.iter().find(|(name, _)| *name == list)?;
        (!row.is_empty() && settings.contains(&setting)).then_some(Path::Row { list, row, setting })
    }
}

/// Overrides one setting.
fn apply(settings: &mut Value, key: Key<'_>, value: Value) -> Result<(), OverlayError> {
    match key.path {
        Path::Scalar(path) => {
            let (section, setting) = path.split_once('.').unwrap_or(("", path));
            let place = if section.is_empty() { settings } else { section_mut(settings, section) };
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

/// Returns a section of the settings, which is created if the file has none.
fn section_mut<'a>(settings: &'a mut Value, section: &str) -> &'a mut Value {
    let place = &mut settings[section];
    if !place.is_object() {
        *place = Value::Object(serde_json::Map::new());
    }
    place
}

fn parse_json(key: &str, value: &[u8]) -> Result<Value, OverlayError> {
    serde_json::from_slice(value)
        .map_err(|e| OverlayError::InvalidJson { key: key.to_owned(), why: e.to_string() })
}

/// An instance's configuration from its file, and the service whose replicated values override it.
#[derive(Debug, Clone)]
pub struct Overlay {
    file: InstanceConfig,
    service: String,
}

impl Overlay {
    /// Creates an overlay for the configuration of a file.
    pub fn new(file: InstanceConfig, service: &str) -> Overlay {
        Overlay { file, service: service.to_owned() }
    }

    /// Replaces the configuration of the file, after a reload.
    pub fn set_file(&mut self, file: InstanceConfig) {
        self.file = file;
    }

    /// Returns the configuration of the file.
    pub fn file(&self) -> &InstanceConfig {
        &self.file
    }

    /// Checks whether a key's value is usable here. No value: the key is deleted, which is always allowed.
    pub fn check(&self, key: &str, value: Option<&[u8]>) -> Result<(), OverlayError> {
        let Some(value) = value else { return Ok(()) };
        let key = Key::parse(key)?;
        let value = parse_json(key.text, value)?;
        let mut settings = self.file.settings.clone();
        match apply(&mut settings, key, value.clone()) {
            // Another service may have other rows than this one.
            Err(OverlayError::UnknownRow { .. })
                if key.service.is_some_and(|service| service != self.service) =>
            {
                return Ok(())
            }
            applied => applied?,
        }
        self.check_value(key, &value, settings)
    }

    fn check_value(&self, key: Key<'_>, value: &Value, settings: Value) -> Result<(), OverlayError> {
        let invalid = |why: String| Err(OverlayError::InvalidValue { key: key.text.to_owned(), why });
        if let Path::Scalar(path) = key.path {
            if POSITIVE_INTEGERS.contains(&path) && value.as_u64().is_none_or(|number| number == 0) {
                return invalid(format!("{value} is not a positive integer"));
            }
        }
        match self.file.with_settings(settings) {
            Ok(_) => Ok(()),
            Err((_, why)) => invalid(why),
        }
    }

    /// Returns the configuration of the file overridden by these values; values for the service take precedence over
    /// those for all services. Values that are not usable are left out, and returned as errors.
    pub fn effective_config<'a>(
        &self,
        values: impl Iterator<Item = (&'a str, &'a [u8])>,
    ) -> (InstanceConfig, Vec<OverlayError>) {
        let mut settings = self.file.settings.clone();
        let mut left_out = Vec::new();
        let mut entries: Vec<(Key<'_>, Value)> = Vec::new();
        for (text, value) in values {
            let parsed = self
                .check(text, Some(value))
                .and_then(|()| Ok((Key::parse(text)?, parse_json(text, value)?)));
            match parsed {
                Ok(entry) => entries.push(entry),
                Err(error) => left_out.push(error),
            }
        }
        entries.retain(|(key, _)| key.service.is_none_or(|service| service == self.service));
        entries.sort_by_key(|(key, _)| key.service.is_some());
        for (key, value) in entries {
            left_out.extend(apply(&mut settings, key, value).err());
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
