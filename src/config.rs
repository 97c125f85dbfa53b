//! What a controller is told at its start: the platform's JSON and environment, or an operator's TOML file.

pub mod overlay;
mod replication;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use serde::Deserialize;
use serde_json::Value;

use crate::core::CoreConfig;
use crate::directory::bulletin::{parse_page, Page};
use crate::fleet::FleetConfig;
use crate::iax2::auth::{Account, Users};
use crate::iax2::bounds::Bounds;
use crate::iax2::tokens::TokenPolicy;
use crate::instance::StoreConfig;
use crate::interface::Span;
use crate::logs::LogConfig;
use crate::net::peers::Peers;
use crate::net::pool::BUFFER;
use crate::secrets;
use crate::wire::parse_settings;
pub use replication::ReplicationConfig;
use replication::ReplicationForm;

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

/// What one controller is told.
#[derive(Debug, Clone)]
pub struct InstanceConfig {
    /// Its name.
    pub name: String,
    /// Where JSON-lines callers connect.
    pub listen: Option<SocketAddr>,
    /// The descriptor of a listening socket that the platform holds.
    pub inherited_fd: Option<i32>,
    /// Where operators call.
    pub console: Option<SocketAddr>,
    /// Where datagrams of peers arrive.
    pub peer_listen: Option<SocketAddr>,
    /// Where peers are.
    pub peers: Peers,
    /// The IAX2 front and the IAX2 call servers; off on the platform.
    pub iax2: Option<Iax2Config>,
    /// Who may call by IAX2, and who we are at IAX2 call servers.
    pub secrets: Iax2Secrets,
    /// DNS-SD records that name IAX2 call servers; off on the platform.
    pub dns_sd: Option<DnsSdConfig>,
    /// The bulletin.
    pub bulletin: Option<SocketAddr>,
    /// Events of the bulletin so far.
    pub initial_page: Page,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// How long a caller waits who does not say so.
    pub default_caller_wait: Span,
    /// What it may use.
    pub limits: Limits,
    /// Where what a later life needs is kept; `None`: nowhere, as on the platform, whose disk does not last.
    pub store: Option<StoreConfig>,
    /// How long a connection may take.
    pub connect_timeout: Span,
    /// What the core is told.
    pub core: CoreConfig,
    /// Replicated configuration and membership; off on the platform.
    pub replication: Option<ReplicationConfig>,
    /// The settings as they stand in the file.
    pub settings: Value,
}

impl InstanceConfig {
    /// The same with other settings, read by the same checks as a file's; an error holds the key at fault and the reason.
    pub(crate) fn with_settings(&self, settings: Value) -> Result<InstanceConfig, (String, String)> {
        let parsed =
            parse_settings(settings.to_string().as_bytes()).map_err(|why| ("settings".to_owned(), why))?;
        let extras = extras_of(&settings)?;
        let left = self.iax2.as_ref().and_then(|iax2| iax2.left_ms).map(Span::from_millis);
        Ok(InstanceConfig {
            default_caller_wait: left.unwrap_or(extras.longest),
            zones: extras.zones,
            connect_timeout: extras.connect_timeout,
            core: CoreConfig {
                settings: parsed,
                classes: extras.classes,
                tenants: extras.tenants,
                max_pending_calls: self.limits.pending_calls(extras.most_held),
                max_caller_wait: extras.longest,
                ..self.core.clone()
            },
            settings,
            ..self.clone()
        })
    }
}

/// IAX2 of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Iax2Config {
    /// Where IAX2 callers send to.
    pub listen: SocketAddr,
    /// Where IAX2 call servers are spoken to from.
    #[serde(default = "any_address")]
    pub from: SocketAddr,
    /// How long a caller waits who does not say so, in milliseconds; the class's time where it is not given.
    #[serde(default)]
    pub left_ms: Option<u64>,
    /// Whether callers must show a call token.
    #[serde(default)]
    pub tokens: TokenPolicy,
    /// How many legs callers may begin.
    #[serde(default)]
    pub bounds: Bounds,
    /// The file of those who may call; without it nobody is asked who he is.
    #[serde(default)]
    pub users: Option<PathBuf>,
    /// The file of our name and secret at call servers.
    #[serde(default)]
    pub account: Option<PathBuf>,
    /// Registrars at which the controller registers, by `account`.
    #[serde(default)]
    pub register: Vec<SocketAddr>,
}

/// What the files of secrets hold.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Iax2Secrets {
    /// Who may call; `None`: nobody is asked who he is.
    pub users: Option<Users>,
    /// Who we are at call servers.
    pub account: Option<Account>,
}

impl Iax2Secrets {
    /// Reads the files that a configuration names, beside that of the configuration itself.
    fn read(config: &Path, iax2: Option<&Iax2Config>) -> Result<Iax2Secrets, (String, String)> {
        let read = |key: &str, file: &Path| {
            let file = config.parent().unwrap_or(Path::new("")).join(file);
            let fail = |why| (format!("iax2.{key}"), format!("{}: {why}", file.display()));
            secrets::read(&file).map_err(fail).map(|text| (text, file.clone()))
        };
        let mut found = Iax2Secrets::default();
        let Some(iax2) = iax2 else { return Ok(found) };
        let wrong =
            |key: &str, file: &Path, why| (format!("iax2.{key}"), format!("{}: {why}", file.display()));
        if let Some(file) = &iax2.users {
            let (text, file) = read("users", file)?;
            found.users = Some(Users::parse(&text).map_err(|why| wrong("users", &file, why))?);
        }
        if let Some(file) = &iax2.account {
            let (text, file) = read("account", file)?;
            found.account = Some(Account::parse(&text).map_err(|why| wrong("account", &file, why))?);
        }
        Ok(found)
    }
}

impl Iax2Config {
    /// IAX2 at these addresses, all else as usual.
    pub fn new(listen: SocketAddr, from: SocketAddr) -> Iax2Config {
        let (tokens, bounds) = (TokenPolicy::default(), Bounds::default());
        Iax2Config {
            listen,
            from,
            left_ms: None,
            tokens,
            bounds,
            users: None,
            account: None,
            register: Vec::new(),
        }
    }
}

fn any_address() -> SocketAddr {
    SocketAddr::from(([0, 0, 0, 0], 0))
}

/// DNS-SD of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct DnsSdConfig {
    /// The resolver that is asked.
    pub resolver: SocketAddr,
    /// The service whose PTR records are followed, as in `_iax._udp.clubs.example.`
    pub service: String,
}

/// What an operator's file says: the agent and its instances.
#[derive(Debug, Clone)]
pub struct OperatorConfig {
    /// Path of the control socket.
    pub control: PathBuf,
    /// The log.
    pub log: LogConfig,
    /// The instances, in the file's order.
    pub instances: Vec<InstanceConfig>,
}

/// Figures of the settings that the decisions do not need.
#[derive(Debug, Clone)]
pub(crate) struct Extras {
    pub(crate) classes: Vec<Rc<str>>,
    pub(crate) tenants: Vec<Rc<str>>,
    pub(crate) zones: Vec<String>,
    pub(crate) connect_timeout: Span,
    pub(crate) most_held: usize,
    pub(crate) longest: Span,
}

/// How long callers may wait where no class of the settings says it.
const NO_LIMIT_SAID: Span = Span::from_millis(30_000);

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct ClassName {
    name: String,
    #[serde(default)]
    hard_limit_us: u64,
}

#[derive(Deserialize)]
struct TenantName {
    name: String,
}

/// What a setting may be.
enum Range {
    /// A share of something.
    Share,
    /// Nothing below zero.
    NotNegative,
    /// One of these words, or none.
    Words(&'static [&'static str]),
}

impl Range {
    fn holds(&self, value: &Value) -> Result<(), String> {
        let number = value.as_f64();
        match self {
            Range::Share if number.is_some_and(|n| !(0.0..=1.0).contains(&n)) => {
                Err(format!("{value} is not from 0 to 1"))
            }
            Range::NotNegative if number.is_some_and(|n| n < 0.0) => Err(format!("{value} is below 0")),
            Range::Words(words)
                if value.as_str().is_some_and(|word| !word.is_empty() && !words.contains(&word)) =>
            {
                Err(format!("{value} is none of {}", words.join(", ")))
            }
            _ => Ok(()),
        }
    }
}

/// The settings that are of no use, or of harm, out of their range. Guards against a word for how often a call may be
/// carried out that this version does not know and would read as 'as often as it takes'.
const RANGES: [(&str, &str, Range); 8] = [
    ("rules", "cold-share", Range::Share),
    ("", "over-share-worth", Range::Share),
    ("parties", "quota-per-s", Range::NotNegative),
    ("parties", "share", Range::Share),
    ("classes", "worth", Range::NotNegative),
    ("classes", "late-worth", Range::Share),
    ("classes", "semantics", Range::Words(&["free", "guarded", "single_shot"])),
    ("classes", "dedup-scope", Range::Words(&["all", "zone", "cell"])),
];

/// Whether all settings are in their ranges; the key of the first that is not, and why.
fn in_range(settings: &Value) -> Result<(), (String, String)> {
    for (section, key, range) in &RANGES {
        let place = if section.is_empty() { Some(settings) } else { settings.get(section) };
        let (rows, many) = match place {
            Some(Value::Array(rows)) => (rows.as_slice(), true),
            Some(one) => (std::slice::from_ref(one), false),
            None => continue,
        };
        for (n, row) in rows.iter().enumerate() {
            let Some(Err(why)) = row.get(key).map(|value| range.holds(value)) else { continue };
            let section = match (section.is_empty(), many) {
                (true, _) => String::new(),
                (false, true) => format!("{section}[{n}]."),
                (false, false) => format!("{section}."),
            };
            return Err((format!("settings.{section}{key}"), why));
        }
    }
    Ok(())
}

pub(crate) fn extras_of(settings: &Value) -> Result<Extras, (String, String)> {
    in_range(settings)?;
    let classes = settings.get("classes").cloned().unwrap_or(Value::Null);
    let classes: Vec<ClassName> =
        serde_json::from_value(classes).map_err(|e| ("settings.classes".to_owned(), e.to_string()))?;
    let tenants = settings.get("parties").cloned().unwrap_or_else(|| Value::Array(Vec::new()));
    let tenants: Vec<TenantName> =
        serde_json::from_value(tenants).map_err(|e| ("settings.parties".to_owned(), e.to_string()))?;
    let names = settings.get("zones").and_then(Value::as_array);
    let zones = names.into_iter().flatten().filter_map(Value::as_str).map(str::to_owned).collect();
    let bound = |name: &str| settings.get("bounds").and_then(|b| b.get(name)).and_then(Value::as_u64);
    let longest = classes.iter().map(|class| class.hard_limit_us).max().filter(|us| *us > 0);
    Ok(Extras {
        longest: longest.map_or(NO_LIMIT_SAID, Span),
        classes: classes.into_iter().map(|class| class.name.into()).collect(),
        tenants: tenants.into_iter().map(|tenant| tenant.name.into()).collect(),
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
    limits: Limits,
    #[serde(default)]
    console: Option<SocketAddr>,
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

/// What a controller may use, and the share of it that each concern gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct Limits {
    /// Descriptors.
    #[serde(default = "usual_sockets")]
    pub sockets: usize,
    /// Memory, in MB.
    #[serde(default = "usual_memory")]
    pub memory_mb: usize,
}

fn usual_sockets() -> usize {
    1_024
}

fn usual_memory() -> usize {
    192
}

impl Default for Limits {
    fn default() -> Self {
        Self { sockets: usual_sockets(), memory_mb: usual_memory() }
    }
}

/// Descriptors of the program itself: standard streams, the runtime's, the signals' pipes, doors, the directory's
/// connection, and one or two for what is only passing.
const OWN_DESCRIPTORS: usize = 16;

impl Limits {
    /// No more descriptors than the system grants this process. Guards against shares of descriptors that cannot be had:
    /// callers would take all there are, and leave none for the directory.
    fn within_system(self) -> Limits {
        let granted = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
        let granted = granted.and_then(|most| usize::try_from(most).ok()).unwrap_or(usize::MAX);
        Limits { sockets: self.sockets.min(granted), ..self }
    }
    /// What is left for one process where another may run beside it for a while, and both count together.
    pub fn shared(self) -> Limits {
        Limits { sockets: self.sockets / 2, memory_mb: self.memory_mb / 2 }
    }
    /// Connections to call servers beyond one for each.
    pub fn extra_server_connections(&self) -> usize {
        (self.rest() - self.console_connections().min(self.rest())) / 2
    }
    /// Callers' connections; the rest is for call servers, directories and the program itself.
    pub fn client_connections(&self) -> usize {
        self.sockets.saturating_sub((self.sockets / 4).clamp(8, 128)).max(8)
    }
    /// The same beside so many call servers that are listed, to each of which a connection is kept up.
    pub fn client_connections_beside(&self, servers: usize) -> usize {
        let others = OWN_DESCRIPTORS + self.console_connections() + self.extra_server_connections() + servers;
        self.client_connections().min(self.sockets.saturating_sub(others)).max(8)
    }
    /// Operators' calls at once, out of the descriptors that callers do not get.
    pub fn console_connections(&self) -> usize {
        (self.rest() / 4).max(2)
    }
    fn rest(&self) -> usize {
        self.sockets - self.client_connections().min(self.sockets)
    }
    /// An eighth of the memory, in bytes: for the buffers that are read into, for descriptions of open calls, for what
    /// waits to be written to callers, and for what waits to be written to call servers.
    pub fn memory_share(&self) -> usize {
        self.memory_mb.clamp(8, 4_096) * (1 << 20) / 8
    }
    /// Buffers that may be lent at once.
    pub fn buffers(&self) -> usize {
        self.memory_share() / BUFFER
    }
    /// Calls that may be owed an answer at once, at most as many as the settings say: about a KB each, descriptions
    /// not counted.
    pub fn pending_calls(&self, most_held: usize) -> usize {
        most_held.min(self.memory_share() / 1_024).max(1)
    }
}

/// Reads what the platform tells by `ROUTER_NAME`, `ROUTER_LISTEN` and the file that `ROUTER_CONFIG` names.
pub fn from_platform(var: impl Fn(&str) -> Option<String>) -> Result<InstanceConfig, ConfigError> {
    let file = PathBuf::from(var("ROUTER_CONFIG").ok_or(ConfigError::NotSet("ROUTER_CONFIG"))?);
    let text =
        std::fs::read(&file).map_err(|e| ConfigError::File { file: file.clone(), why: e.to_string() })?;
    let mut config = parse_platform(&file, &text)?;
    config.limits = config.limits.within_system();
    if let Some(name) = var("ROUTER_NAME") {
        config.name = name;
    }
    let address = |key: &str| {
        let parse = |text: String| {
            text.parse().map_err(|_| ConfigError::Key {
                file: file.clone(),
                key: key.to_owned(),
                why: format!("'{text}' is no address"),
            })
        };
        var(key).map(parse).transpose()
    };
    config.listen = address("ROUTER_LISTEN")?.or(config.listen);
    config.console = address("ROUTER_CONSOLE")?.or(config.console);
    if let Some(descriptor) = var("ROUTER_FD") {
        let why = format!("'{descriptor}' is no descriptor");
        let usable = descriptor.parse().ok().filter(|d| *d > 2);
        let wrong = ConfigError::Key { file: file.clone(), key: "ROUTER_FD".to_owned(), why };
        config.inherited_fd = Some(usable.ok_or(wrong)?);
        config.limits = config.limits.shared();
        config.core.max_pending_calls = config.limits.pending_calls(config.core.max_pending_calls);
        config.core.max_pending_bytes = config.limits.memory_share();
    }
    if config.listen.is_none() && config.inherited_fd.is_none() {
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
        inherited_fd: None,
        console: form.console,
        peer_listen: form.peer_listen,
        peers: Peers { each: form.peers, all: form.peers_all },
        iax2: None,
        secrets: Iax2Secrets::default(),
        dns_sd: None,
        default_caller_wait: extras.longest,
        bulletin: Some(form.bulletin),
        initial_page: known,
        zones: extras.zones,
        limits: form.limits,
        store: None,
        connect_timeout: extras.connect_timeout,
        core: CoreConfig {
            settings,
            classes: extras.classes,
            tenants: extras.tenants,
            max_pending_calls: form.limits.pending_calls(extras.most_held),
            max_pending_bytes: form.limits.memory_share(),
            max_caller_wait: extras.longest,
            seed: seed.transpose()?.unwrap_or(1),
            fleet: None,
        },
        replication: None,
        settings: form.settings,
    })
}

#[derive(Deserialize)]
struct OperatorForm {
    control: PathBuf,
    #[serde(default)]
    log: LogConfig,
    #[serde(default)]
    instance: Vec<InstanceForm>,
}

#[derive(Deserialize)]
struct InstanceForm {
    name: String,
    #[serde(default)]
    listen: Option<SocketAddr>,
    #[serde(default)]
    console: Option<SocketAddr>,
    #[serde(default)]
    seed: Option<u64>,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    bulletin: Option<SocketAddr>,
    #[serde(default)]
    iax2: Option<Iax2Config>,
    #[serde(default)]
    dns_sd: Option<DnsSdConfig>,
    #[serde(default)]
    fleet: Option<FleetForm>,
    #[serde(default)]
    store: Option<StoreForm>,
    #[serde(default)]
    replication: Option<ReplicationForm>,
    settings: Value,
}

/// Where an instance keeps what a later life needs.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct StoreForm {
    /// The file, from the folder of the operator's file on.
    file: PathBuf,
    /// Changes are gathered for so long before they are synced.
    #[serde(default)]
    gather_ms: u64,
}

/// The longest that changes may be gathered: a release owed must be said within 8 s of the call's end.
const LONGEST_GATHER_MS: u64 = 1_000;

impl StoreForm {
    fn checked(self, config: &Path) -> Result<StoreConfig, (String, String)> {
        if self.gather_ms > LONGEST_GATHER_MS {
            let why = format!("{} ms are longer than {LONGEST_GATHER_MS}", self.gather_ms);
            return Err(("store.gather_ms".to_owned(), why));
        }
        let file = config.parent().unwrap_or(Path::new("")).join(self.file);
        Ok(StoreConfig { file, gather: std::time::Duration::from_millis(self.gather_ms) })
    }
}

/// The smallest byte budget that a controller can take part in the fleet with.
const MIN_FLEET_BYTES_PER_SECOND: u32 = 512;

/// The `[instance.fleet]` section: the peers with which an instance shares its observations of the call servers.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FleetForm {
    /// Address at which the peers' datagrams are received.
    listen: SocketAddr,
    /// Addresses of all controllers, this one included, in the same order in every controller's file.
    peers: Vec<SocketAddr>,
    /// Index of this controller in `peers`, from 0 on.
    me: u16,
    /// Recipients of each gossip round.
    #[serde(default)]
    fanout: Option<u16>,
    /// Limit on the bytes sent per second.
    #[serde(default, alias = "bytes_a_second")]
    max_bytes_per_second: Option<u32>,
    /// Age from which an observation is ignored.
    #[serde(default, alias = "stale_ms")]
    max_age_ms: Option<u64>,
}

impl FleetForm {
    /// The core's configuration; an error holds the key at fault and the reason.
    fn checked(&self) -> Result<FleetConfig, (String, String)> {
        let wrong = |key: &str, why: String| Err((format!("fleet.{key}"), why));
        let Ok(controllers) = u16::try_from(self.peers.len()) else {
            return wrong("peers", format!("{} are more than {}", self.peers.len(), u16::MAX));
        };
        match self.peers.get(usize::from(self.me)) {
            None => return wrong("me", format!("{} is not among the {controllers} of 'peers'", self.me)),
            Some(own) if own.port() != self.listen.port() => {
                return wrong("listen", format!("{} is not where the others send, {own}", self.listen));
            }
            Some(_) => {}
        }
        let defaults = FleetConfig::default();
        let fanout = self.fanout.unwrap_or(defaults.fanout);
        if fanout == 0 {
            return wrong("fanout", "at least one recipient is needed".to_owned());
        }
        let max_bytes_per_second = self.max_bytes_per_second.unwrap_or(defaults.max_bytes_per_second);
        if max_bytes_per_second < MIN_FLEET_BYTES_PER_SECOND {
            let why = format!("{max_bytes_per_second} is less than {MIN_FLEET_BYTES_PER_SECOND}");
            return wrong("max_bytes_per_second", why);
        }
        let max_age = self.max_age_ms.map_or(defaults.max_age, Span::from_millis);
        if max_age < defaults.refresh_interval {
            let (max_age_ms, refresh_ms) = (max_age.0 / 1_000, defaults.refresh_interval.0 / 1_000);
            let why = format!("{max_age_ms} ms is less than the refresh interval of {refresh_ms} ms");
            return wrong("max_age_ms", why);
        }
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let incarnation = since.map_or(0, |since| (since.as_millis() & u128::from(u32::MAX)) as u32);
        Ok(FleetConfig {
            me: self.me,
            controllers,
            incarnation,
            seed: random_seed(),
            fanout,
            max_bytes_per_second,
            max_age,
            ..defaults
        })
    }
}

/// Reads an operator's file.
pub fn from_file(file: &Path) -> Result<OperatorConfig, ConfigError> {
    let text = std::fs::read_to_string(file)
        .map_err(|e| ConfigError::File { file: file.to_owned(), why: e.to_string() })?;
    parse_operator(file, &text)
}

/// Reads an operator's TOML.
pub fn parse_operator(file: &Path, text: &str) -> Result<OperatorConfig, ConfigError> {
    let wrong = |key: String, why: String| ConfigError::Key { file: file.to_owned(), key, why };
    let table: toml::Table =
        text.parse().map_err(|e: toml::de::Error| wrong(place_of(text, &e), e.message().to_owned()))?;
    let form: OperatorForm = serde_path_to_error::deserialize(table).map_err(|error| {
        let key = error.path().to_string();
        wrong(key, error.into_inner().message().to_owned())
    })?;
    form.log.checked().map_err(|why| wrong("log.level".to_owned(), why))?;
    if form.instance.is_empty() {
        return Err(wrong("instance".to_owned(), "no instance is listed".to_owned()));
    }
    let mut instances: Vec<InstanceConfig> = Vec::new();
    for (at, instance) in form.instance.into_iter().enumerate() {
        let key = |name: &str| format!("instance[{at}].{name}");
        if instances.iter().any(|other| other.name == instance.name) {
            return Err(wrong(key("name"), format!("'{}' is listed twice", instance.name)));
        }
        let config = instance_of(file, instance).map_err(|(name, why)| wrong(key(&name), why))?;
        instances.push(config);
    }
    Ok(OperatorConfig { control: form.control, log: form.log, instances })
}

fn place_of(text: &str, error: &toml::de::Error) -> String {
    let before = error.span().and_then(|span| text.get(..span.start));
    before.map_or_else(|| "?".to_owned(), |before| format!("line {}", before.lines().count().max(1)))
}

fn instance_of(file: &Path, form: InstanceForm) -> Result<InstanceConfig, (String, String)> {
    let settings =
        parse_settings(form.settings.to_string().as_bytes()).map_err(|why| ("settings".to_owned(), why))?;
    let extras = extras_of(&form.settings)?;
    if form.listen.is_none() && form.iax2.is_none() {
        return Err((
            "listen".to_owned(),
            "neither 'listen' nor 'iax2' is given: nobody could call".to_owned(),
        ));
    }
    let secrets = Iax2Secrets::read(file, form.iax2.as_ref())?;
    if form.iax2.as_ref().is_some_and(|iax2| !iax2.register.is_empty()) && secrets.account.is_none() {
        let why = "registrars are named, but no 'account' says who we are there".to_owned();
        return Err(("iax2.register".to_owned(), why));
    }
    let registered = secrets.users.as_ref().is_some_and(Users::any_server);
    if form.bulletin.is_none() && form.dns_sd.is_none() && !registered {
        return Err((
            "bulletin".to_owned(),
            "neither 'bulletin' nor 'dns_sd' is given, and no user is a call server: no call servers"
                .to_owned(),
        ));
    }
    if form.dns_sd.is_some() && form.iax2.is_none() {
        return Err(("dns_sd".to_owned(), "it names IAX2 call servers, but 'iax2' is not given".to_owned()));
    }
    let fleet = form.fleet.as_ref().map(FleetForm::checked).transpose()?;
    let store = form.store.map(|store| store.checked(file)).transpose()?;
    let replication = form.replication.map(|replication| replication.checked(&form.name)).transpose()?;
    let left = form.iax2.as_ref().and_then(|iax2| iax2.left_ms).map(Span::from_millis);
    Ok(InstanceConfig {
        name: form.name,
        listen: form.listen,
        inherited_fd: None,
        console: form.console,
        peer_listen: form.fleet.as_ref().map(|fleet| fleet.listen),
        peers: Peers { each: form.fleet.map(|fleet| fleet.peers).unwrap_or_default(), all: None },
        secrets,
        iax2: form.iax2,
        dns_sd: form.dns_sd,
        default_caller_wait: left.unwrap_or(extras.longest),
        bulletin: form.bulletin,
        initial_page: Page::default(),
        zones: extras.zones,
        limits: form.limits,
        store,
        connect_timeout: extras.connect_timeout,
        core: CoreConfig {
            settings,
            classes: extras.classes,
            tenants: extras.tenants,
            max_pending_calls: form.limits.pending_calls(extras.most_held),
            max_pending_bytes: form.limits.memory_share(),
            max_caller_wait: extras.longest,
            seed: form.seed.unwrap_or_else(random_seed),
            fleet,
        },
        replication,
        settings: form.settings,
    })
}

/// A seed that differs from start to start, for instances whose file names none.
pub(crate) fn random_seed() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    std::collections::hash_map::RandomState::new().build_hasher().finish()
}
