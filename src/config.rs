//! What a controller is told at its start: the platform's JSON and environment, or an operator's TOML file.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use serde::Deserialize;
use serde_json::Value;

use crate::core::CoreConfig;
use crate::directory::bulletin::{parse_page, Page};
use crate::interface::Span;
use crate::net::peers::Peers;
use crate::wire::parse_settings;

/// A configuration that cannot be used: where, which key, and why.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// A variable of the environment is missing.
    #[error("the variable {0} is not set")]
    NotSet(&'static str),
    /// The file cannot be read.
    #[error("{}: {why}", file.display())]
    File {
        /// Which file.
        file: PathBuf,
        /// Why.
        why: String,
    },
    /// A key is missing or wrong.
    #[error("{}: at key '{key}': {why}", file.display())]
    Key {
        /// Which file.
        file: PathBuf,
        /// Which key.
        key: String,
        /// Why.
        why: String,
    },
}

/// Where the list of call servers comes from besides what is known at the start.
#[derive(Debug, Clone)]
pub struct InstanceConfig {
    /// Its name.
    pub name: String,
    /// Where JSON-lines callers connect.
    pub listen: Option<SocketAddr>,
    /// Where datagrams of peers arrive.
    pub peer_listen: Option<SocketAddr>,
    /// Where peers are.
    pub peers: Peers,
    /// The bulletin.
    pub bulletin: Option<SocketAddr>,
    /// Events of the bulletin so far.
    pub known: Page,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Descriptors allowed.
    pub sockets: usize,
    /// How long a connection may take.
    pub connect_timeout: Span,
    /// What the core is told.
    pub core: CoreConfig,
}

/// Figures of the settings that the decisions do not need.
#[derive(Debug, Clone)]
pub(crate) struct Extras {
    pub(crate) classes: Vec<Rc<str>>,
    pub(crate) zones: Vec<String>,
    pub(crate) connect_timeout: Span,
    pub(crate) most_held: usize,
}

#[derive(Deserialize)]
struct ClassName {
    name: String,
}

pub(crate) fn extras_of(settings: &Value) -> Result<Extras, (String, String)> {
    let classes = settings.get("classes").cloned().unwrap_or(Value::Null);
    let classes: Vec<ClassName> =
        serde_json::from_value(classes).map_err(|e| ("settings.classes".to_owned(), e.to_string()))?;
    let names = settings.get("zones").and_then(Value::as_array);
    let zones = names.into_iter().flatten().filter_map(Value::as_str).map(str::to_owned).collect();
    let bound = |name: &str| settings.get("bounds").and_then(|b| b.get(name)).and_then(Value::as_u64);
    Ok(Extras {
        classes: classes.into_iter().map(|class| class.name.into()).collect(),
        zones,
        connect_timeout: Span(bound("connect-timeout-us").filter(|us| *us > 0).unwrap_or(500_000)),
        most_held: bound("most-held").and_then(|n| usize::try_from(n).ok()).unwrap_or(20_000).max(1),
    })
}

#[derive(Deserialize)]
struct PlatformForm {
    #[serde(default)]
    name: Option<String>,
    #[serde(default)]
    listen: Option<SocketAddr>,
    #[serde(default)]
    seed: Option<String>,
    #[serde(default)]
    limits: LimitsForm,
    #[serde(default)]
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    #[serde(default)]
    peers_all: Option<SocketAddr>,
    bulletin: SocketAddr,
    #[serde(default)]
    known: Option<Value>,
    settings: Value,
}

#[derive(Deserialize)]
struct LimitsForm {
    #[serde(default = "usual_sockets")]
    sockets: usize,
}

fn usual_sockets() -> usize {
    1_024
}

impl Default for LimitsForm {
    fn default() -> Self {
        Self { sockets: usual_sockets() }
    }
}

/// Reads what the platform tells by `ROUTER_NAME`, `ROUTER_LISTEN` and the file that `ROUTER_CONFIG` names.
pub fn from_platform(var: impl Fn(&str) -> Option<String>) -> Result<InstanceConfig, ConfigError> {
    let file = PathBuf::from(var("ROUTER_CONFIG").ok_or(ConfigError::NotSet("ROUTER_CONFIG"))?);
    let text =
        std::fs::read(&file).map_err(|e| ConfigError::File { file: file.clone(), why: e.to_string() })?;
    let mut config = parse_platform(&file, &text)?;
    if let Some(name) = var("ROUTER_NAME") {
        config.name = name;
    }
    if let Some(listen) = var("ROUTER_LISTEN") {
        let listen = listen.parse().map_err(|_| ConfigError::Key {
            file: file.clone(),
            key: "ROUTER_LISTEN".to_owned(),
            why: format!("'{listen}' is no address"),
        })?;
        config.listen = Some(listen);
    }
    if config.listen.is_none() {
        return Err(ConfigError::NotSet("ROUTER_LISTEN"));
    }
    Ok(config)
}

/// Reads the platform's JSON.
pub fn parse_platform(file: &Path, text: &[u8]) -> Result<InstanceConfig, ConfigError> {
    let wrong = |key: String, why: String| ConfigError::Key { file: file.to_owned(), key, why };
    let reader = &mut serde_json::Deserializer::from_slice(text);
    let form: PlatformForm = serde_path_to_error::deserialize(reader).map_err(|error| {
        let key = error.path().to_string();
        wrong(key, error.into_inner().to_string())
    })?;
    let settings = parse_settings(form.settings.to_string().as_bytes())
        .map_err(|why| wrong("settings".to_owned(), why))?;
    let extras = extras_of(&form.settings).map_err(|(key, why)| wrong(key, why))?;
    let known = match form.known {
        Some(known) => parse_page(known.to_string().as_bytes(), &extras.zones)
            .map_err(|e| wrong("known".to_owned(), e.to_string()))?,
        None => Page::default(),
    };
    let seed = form.seed.as_deref().map(|seed| {
        u64::from_str_radix(seed, 16).map_err(|e| wrong("seed".to_owned(), format!("'{seed}': {e}")))
    });
    Ok(InstanceConfig {
        name: form.name.unwrap_or_else(|| "lockpoint".to_owned()),
        listen: form.listen,
        peer_listen: form.peer_listen,
        peers: Peers { each: form.peers, all: form.peers_all },
        bulletin: Some(form.bulletin),
        known,
        zones: extras.zones,
        sockets: form.limits.sockets.max(16),
        connect_timeout: extras.connect_timeout,
        core: CoreConfig {
            settings,
            classes: extras.classes,
            most_held: extras.most_held,
            seed: seed.transpose()?.unwrap_or(1),
        },
    })
}
