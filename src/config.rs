//! Configuration of a controller: the platform's JSON file and environment variables, or an operator's TOML file.

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
use crate::net::pool::{PoolLimits, BUFFER_BYTES};
use crate::secrets;
use crate::wire::parse_settings;
pub use replication::ReplicationConfig;
use replication::ReplicationSection;

/// An invalid configuration, with the file, the key and the reason.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// An environment variable is missing.
    #[error("environment variable {0} is not set")]
    NotSet(&'static str),
    /// The file cannot be read.
    #[error("{}: {why}", file.display())]
    File {
        /// Path of the file.
        file: PathBuf,
        /// The reason.
        why: String,
    },
    /// A key is missing or invalid.
    #[error("{}: at key '{key}': {why}", file.display())]
    Key {
        /// Path of the file.
        file: PathBuf,
        /// Path of the key within the file.
        key: String,
        /// The reason.
        why: String,
    },
}

/// Configuration of one controller.
#[derive(Debug, Clone)]
pub struct InstanceConfig {
    /// Name of the controller.
    pub name: String,
    /// Address at which JSON-lines callers connect.
    pub listen: Option<SocketAddr>,
    /// Descriptor of the callers' listening socket, if the platform passes one on.
    pub inherited_fd: Option<i32>,
    /// Address of the operators' console.
    pub console: Option<SocketAddr>,
    /// Address at which the peers' datagrams are received.
    pub peer_listen: Option<SocketAddr>,
    /// Addresses of the peers.
    pub peers: Peers,
    /// The IAX2 front and the upstream protocol to IAX2 call servers; `None` on the platform.
    pub iax2: Option<Iax2Config>,
    /// Credentials of IAX2 callers, and those of this controller at IAX2 call servers.
    pub secrets: Iax2Secrets,
    /// DNS-SD records that list IAX2 call servers; `None` on the platform.
    pub dns_sd: Option<DnsSdConfig>,
    /// Address of the bulletin.
    pub bulletin: Option<SocketAddr>,
    /// Events of the bulletin that the configuration already contains.
    pub initial_page: Page,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// How long a caller waits that sends no wait of its own.
    pub default_caller_wait: Span,
    /// Limits on descriptors and memory.
    pub limits: Limits,
    /// Records that persist for the next run of the process; `None` on the platform, whose disk is not persistent.
    pub store: Option<StoreConfig>,
    /// Timeout for connecting to a call server.
    pub connect_timeout: Span,
    /// Configuration of the core.
    pub core: CoreConfig,
    /// Replicated configuration and membership; `None` on the platform.
    pub replication: Option<ReplicationConfig>,
    /// The settings as written in the file.
    pub settings: Value,
}

impl InstanceConfig {
    /// Returns this configuration with other settings, which pass the same checks as those of a file. An error contains
    /// the invalid key and the reason.
    pub(crate) fn with_settings(&self, settings: Value) -> Result<InstanceConfig, (String, String)> {
        let parsed =
            parse_settings(settings.to_string().as_bytes()).map_err(|why| ("settings".to_owned(), why))?;
        let runtime = runtime_settings(&settings)?;
        let iax2_wait = self.iax2.as_ref().and_then(|iax2| iax2.left_ms).map(Span::from_millis);
        Ok(InstanceConfig {
            default_caller_wait: iax2_wait.unwrap_or(runtime.max_caller_wait),
            zones: runtime.zones,
            connect_timeout: runtime.connect_timeout,
            core: CoreConfig {
                settings: parsed,
                classes: runtime.classes,
                tenants: runtime.tenants,
                max_pending_calls: self.limits.pending_calls(runtime.max_pending_calls),
                max_caller_wait: runtime.max_caller_wait,
                ..self.core.clone()
            },
            settings,
            ..self.clone()
        })
    }
}

/// The IAX2 section of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Iax2Config {
    /// Address at which IAX2 callers' datagrams are received.
    pub listen: SocketAddr,
    /// Source address of datagrams to IAX2 call servers.
    #[serde(default = "any_address")]
    pub from: SocketAddr,
    /// How long a caller waits that sends no wait of its own, in milliseconds; by default the
    /// longest `hard-limit-us` of the classes.
    #[serde(default)]
    pub left_ms: Option<u64>,
    /// Whether callers must present a call token.
    #[serde(default)]
    pub tokens: TokenPolicy,
    /// Limits on incoming call legs.
    #[serde(default)]
    pub bounds: Bounds,
    /// File of the users that may call; without it callers are not authenticated.
    #[serde(default)]
    pub users: Option<PathBuf>,
    /// File of this controller's user name and secret at call servers.
    #[serde(default)]
    pub account: Option<PathBuf>,
    /// Registrars at which the controller registers with `account`.
    #[serde(default)]
    pub register: Vec<SocketAddr>,
}

/// Contents of the credential files.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Iax2Secrets {
    /// Users that may call; `None`: callers are not authenticated.
    pub users: Option<Users>,
    /// This controller's user name and secret at call servers.
    pub account: Option<Account>,
}

impl Iax2Secrets {
    /// Reads the credential files. Relative paths start at the directory of the configuration file.
    fn read(config: &Path, iax2: Option<&Iax2Config>) -> Result<Iax2Secrets, (String, String)> {
        let read = |key: &str, file: &Path| {
            let file = config.parent().unwrap_or(Path::new("")).join(file);
            let fail = |why| (format!("iax2.{key}"), format!("{}: {why}", file.display()));
            secrets::read(&file).map_err(fail).map(|text| (text, file.clone()))
        };
        let mut found = Iax2Secrets::default();
        let Some(iax2) = iax2 else { return Ok(found) };
        let invalid =
            |key: &str, file: &Path, why| (format!("iax2.{key}"), format!("{}: {why}", file.display()));
        if let Some(file) = &iax2.users {
            let (text, file) = read("users", file)?;
            found.users = Some(Users::parse(&text).map_err(|why| invalid("users", &file, why))?);
        }
        if let Some(file) = &iax2.account {
            let (text, file) = read("account", file)?;
            found.account = Some(Account::parse(&text).map_err(|why| invalid("account", &file, why))?);
        }
        Ok(found)
    }
}

impl Iax2Config {
    /// Returns a section with these addresses and defaults for all else.
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

/// The DNS-SD section of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct DnsSdConfig {
    /// Address of the resolver that is queried.
    pub resolver: SocketAddr,
    /// The service whose PTR records are followed, such as `_iax._udp.clubs.example.`
    pub service: String,
}

/// Contents of an operator's file: the agent and its instances.
#[derive(Debug, Clone)]
pub struct OperatorConfig {
    /// Path of the control socket.
    pub control: PathBuf,
    /// Logging.
    pub log: LogConfig,
    /// The instances, in the file's order.
    pub instances: Vec<InstanceConfig>,
}

/// Settings that are used outside the decision module.
#[derive(Debug, Clone)]
pub(crate) struct RuntimeSettings {
    pub(crate) classes: Vec<Rc<str>>,
    pub(crate) tenants: Vec<Rc<str>>,
    pub(crate) zones: Vec<String>,
    pub(crate) connect_timeout: Span,
    pub(crate) max_pending_calls: usize,
    pub(crate) max_caller_wait: Span,
}

/// Longest wait of a caller if no class has a `hard-limit-us`.
const DEFAULT_MAX_CALLER_WAIT: Span = Span::from_millis(30_000);

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct ClassEntry {
    name: String,
    #[serde(default)]
    hard_limit_us: u64,
}

#[derive(Deserialize)]
struct TenantEntry {
    name: String,
}

/// The valid values of a setting.
enum SettingRange {
    /// A number from 0 to 1.
    Fraction,
    /// A number that is not negative.
    NonNegative,
    /// One of these words, or the empty string.
    OneOf(&'static [&'static str]),
}

impl SettingRange {
    fn check(&self, value: &Value) -> Result<(), String> {
        let number = value.as_f64();
        match self {
            SettingRange::Fraction if number.is_some_and(|n| !(0.0..=1.0).contains(&n)) => {
                Err(format!("{value} is not between 0 and 1"))
            }
            SettingRange::NonNegative if number.is_some_and(|n| n < 0.0) => {
                Err(format!("{value} is negative"))
            }
            SettingRange::OneOf(words)
                if value.as_str().is_some_and(|word| !word.is_empty() && !words.contains(&word)) =>
            {
                Err(format!("{value} is not one of {}", words.join(", ")))
            }
            _ => Ok(()),
        }
    }
}

/// Settings that are useless or harmful outside their range, as section, key and range. An unknown word for `semantics`
/// must be rejected because the decision module would treat it as `free`, which allows a call to be carried out any
/// number of times.
const SETTING_RANGES: [(&str, &str, SettingRange); 8] = [
    ("rules", "cold-share", SettingRange::Fraction),
    ("", "over-share-worth", SettingRange::Fraction),
    ("parties", "quota-per-s", SettingRange::NonNegative),
    ("parties", "share", SettingRange::Fraction),
    ("classes", "worth", SettingRange::NonNegative),
    ("classes", "late-worth", SettingRange::Fraction),
    ("classes", "semantics", SettingRange::OneOf(&["free", "guarded", "single_shot"])),
    ("classes", "dedup-scope", SettingRange::OneOf(&["all", "zone", "cell"])),
];

/// Checks that all settings are in their ranges. An error contains the key of the first that is not and the reason.
fn check_ranges(settings: &Value) -> Result<(), (String, String)> {
    for (section, key, range) in &SETTING_RANGES {
        let place = if section.is_empty() { Some(settings) } else { settings.get(section) };
        let (rows, many) = match place {
            Some(Value::Array(rows)) => (rows.as_slice(), true),
            Some(one) => (std::slice::from_ref(one), false),
            None => continue,
        };
        for (n, row) in rows.iter().enumerate() {
            let Some(Err(why)) = row.get(key).map(|value| range.check(value)) else { continue };
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

pub(crate) fn runtime_settings(settings: &Value) -> Result<RuntimeSettings, (String, String)> {
    check_ranges(settings)?;
    let classes = settings.get("classes").cloned().unwrap_or(Value::Null);
    let classes: Vec<ClassEntry> =
        serde_json::from_value(classes).map_err(|e| ("settings.classes".to_owned(), e.to_string()))?;
    let tenants = settings.get("parties").cloned().unwrap_or_else(|| Value::Array(Vec::new()));
    let tenants: Vec<TenantEntry> =
        serde_json::from_value(tenants).map_err(|e| ("settings.parties".to_owned(), e.to_string()))?;
    let names = settings.get("zones").and_then(Value::as_array);
    let zones = names.into_iter().flatten().filter_map(Value::as_str).map(str::to_owned).collect();
    let bound = |name: &str| settings.get("bounds").and_then(|b| b.get(name)).and_then(Value::as_u64);
    let max_caller_wait = classes.iter().map(|class| class.hard_limit_us).max().filter(|us| *us > 0);
    Ok(RuntimeSettings {
        max_caller_wait: max_caller_wait.map_or(DEFAULT_MAX_CALLER_WAIT, Span),
        classes: classes.into_iter().map(|class| class.name.into()).collect(),
        tenants: tenants.into_iter().map(|tenant| tenant.name.into()).collect(),
        zones,
        connect_timeout: Span(bound("connect-timeout-us").filter(|us| *us > 0).unwrap_or(500_000)),
        max_pending_calls: bound("most-held").and_then(|n| usize::try_from(n).ok()).unwrap_or(20_000).max(1),
    })
}

#[derive(Deserialize)]
struct PlatformFile {
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

/// Resource limits of a controller, and how they are divided among its parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct Limits {
    /// File descriptors.
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

/// Descriptors of the program itself: standard streams, those of the runtime, signal pipes, listening sockets, the
/// connection to the directory, and one or two for short-lived uses.
const OWN_DESCRIPTORS: usize = 16;

impl Limits {
    /// Reduces the descriptors to this process's resource limit. With more, callers would use up all descriptors that
    /// the system grants, and leave none for the connection to the directory.
    fn capped_by_system(self) -> Limits {
        let granted = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
        let granted = granted.and_then(|most| usize::try_from(most).ok()).unwrap_or(usize::MAX);
        Limits { sockets: self.sockets.min(granted), ..self }
    }
    /// Returns half of the limits: during a takeover the old and the new process run at the same time, and the limits
    /// apply to both together.
    pub fn halved(self) -> Limits {
        Limits { sockets: self.sockets / 2, memory_mb: self.memory_mb / 2 }
    }
    /// Maximum number of connections to call servers in addition to one for each.
    pub fn extra_server_connections(&self) -> usize {
        (self.reserved() - self.console_connections().min(self.reserved())) / 2
    }
    /// Maximum number of client connections. The remaining descriptors are for call servers, directories, the console
    /// and the program itself.
    pub fn client_connections(&self) -> usize {
        self.sockets.saturating_sub((self.sockets / 4).clamp(8, 128)).max(8)
    }
    /// Maximum number of client connections if this many call servers are listed, each of which has a permanent
    /// connection.
    pub fn client_connections_beside(&self, servers: usize) -> usize {
        let others = OWN_DESCRIPTORS + self.console_connections() + self.extra_server_connections() + servers;
        self.client_connections().min(self.sockets.saturating_sub(others)).max(8)
    }
    /// Maximum number of concurrent console connections, taken from the descriptors that are reserved.
    pub fn console_connections(&self) -> usize {
        (self.reserved() / 4).max(2)
    }
    /// Descriptors that client connections do not use.
    fn reserved(&self) -> usize {
        self.sockets - self.client_connections().min(self.sockets)
    }
    /// An eighth of the memory, in bytes. There are four such shares: read buffers, descriptions of pending calls, data
    /// queued for callers, and data queued for call servers.
    pub fn memory_share(&self) -> usize {
        self.memory_mb.clamp(8, 4_096) * (1 << 20) / 8
    }
    /// Read buffers of callers' connections: half of their share of the memory, and up to two thirds where answers are
    /// pending.
    pub fn client_buffers(&self) -> PoolLimits {
        let all = self.memory_share() / BUFFER_BYTES;
        PoolLimits { usual: all / 2, max: all * 2 / 3 }
    }
    /// Read buffers of connections to call servers: the last third of the share.
    pub fn server_buffers(&self) -> PoolLimits {
        PoolLimits::same_for_all(self.memory_share() / BUFFER_BYTES / 3)
    }
    /// Maximum number of calls that wait for an answer, limited by the setting `most-held` and by memory: each takes
    /// about 1 KB without its description.
    pub fn pending_calls(&self, max_pending_calls: usize) -> usize {
        max_pending_calls.min(self.memory_share() / 1_024).max(1)
    }
}

/// Reads the platform's configuration: the file named by `ROUTER_CONFIG`, overridden by `ROUTER_NAME`, `ROUTER_LISTEN`,
/// `ROUTER_CONSOLE` and `ROUTER_FD`.
pub fn from_platform(var: impl Fn(&str) -> Option<String>) -> Result<InstanceConfig, ConfigError> {
    let file = PathBuf::from(var("ROUTER_CONFIG").ok_or(ConfigError::NotSet("ROUTER_CONFIG"))?);
    let text =
        std::fs::read(&file).map_err(|e| ConfigError::File { file: file.clone(), why: e.to_string() })?;
    let mut config = parse_platform(&file, &text)?;
    config.limits = config.limits.capped_by_system();
    if let Some(name) = var("ROUTER_NAME") {
        config.name = name;
    }
    let address = |key: &str| {
        let parse = |text: String| {
            text.parse().map_err(|_| ConfigError::Key {
                file: file.clone(),
                key: key.to_owned(),
                why: format!("'{text}' is not an IP address with a port"),
            })
        };
        var(key).map(parse).transpose()
    };
    config.listen = address("ROUTER_LISTEN")?.or(config.listen);
    config.console = address("ROUTER_CONSOLE")?.or(config.console);
    if let Some(descriptor) = var("ROUTER_FD") {
        let why = format!("'{descriptor}' is not a file descriptor above 2");
        let usable = descriptor.parse().ok().filter(|d| *d > 2);
        let invalid = ConfigError::Key { file: file.clone(), key: "ROUTER_FD".to_owned(), why };
        config.inherited_fd = Some(usable.ok_or(invalid)?);
        config.limits = config.limits.halved();
        config.core.max_pending_calls = config.limits.pending_calls(config.core.max_pending_calls);
        config.core.max_pending_bytes = config.limits.memory_share();
    }
    if config.listen.is_none() && config.inherited_fd.is_none() {
        return Err(ConfigError::NotSet("ROUTER_LISTEN"));
    }
    Ok(config)
}

/// Parses the platform's JSON.
pub fn parse_platform(file: &Path, text: &[u8]) -> Result<InstanceConfig, ConfigError> {
    let invalid = |key: String, why: String| ConfigError::Key { file: file.to_owned(), key, why };
    let reader = &mut serde_json::Deserializer::from_slice(text);
    let parsed: PlatformFile = serde_path_to_error::deserialize(reader).map_err(|error| {
        let key = error.path().to_string();
        invalid(key, error.into_inner().to_string())
    })?;
    let settings = parse_settings(parsed.settings.to_string().as_bytes())
        .map_err(|why| invalid("settings".to_owned(), why))?;
    let runtime = runtime_settings(&parsed.settings).map_err(|(key, why)| invalid(key, why))?;
    let initial_page = match parsed.known {
        Some(known) => parse_page(known.to_string().as_bytes(), &runtime.zones)
            .map_err(|e| invalid("known".to_owned(), e.to_string()))?,
        None => Page::default(),
    };
    let seed = parsed.seed.as_deref().map(|seed| {
        u64::from_str_radix(seed, 16).map_err(|e| invalid("seed".to_owned(), format!("'{seed}': {e}")))
    });
    Ok(InstanceConfig {
        name: parsed.name.unwrap_or_else(|| "lockpoint".to_owned()),
        listen: parsed.listen,
        inherited_fd: None,
        console: parsed.console,
        peer_listen: parsed.peer_listen,
        peers: Peers { addresses: parsed.peers, broadcast: parsed.peers_all },
        iax2: None,
        secrets: Iax2Secrets::default(),
        dns_sd: None,
        default_caller_wait: runtime.max_caller_wait,
        bulletin: Some(parsed.bulletin),
        initial_page,
        zones: runtime.zones,
        limits: parsed.limits,
        store: None,
        connect_timeout: runtime.connect_timeout,
        core: CoreConfig {
            settings,
            classes: runtime.classes,
            tenants: runtime.tenants,
            max_pending_calls: parsed.limits.pending_calls(runtime.max_pending_calls),
            max_pending_bytes: parsed.limits.memory_share(),
            max_caller_wait: runtime.max_caller_wait,
            seed: seed.transpose()?.unwrap_or(1),
            fleet: None,
        },
        replication: None,
        settings: parsed.settings,
    })
}

#[derive(Deserialize)]
struct OperatorFile {
    control: PathBuf,
    #[serde(default)]
    log: LogConfig,
    #[serde(default)]
    instance: Vec<InstanceSection>,
}

#[derive(Deserialize)]
struct InstanceSection {
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
    fleet: Option<FleetSection>,
    #[serde(default)]
    store: Option<StoreSection>,
    #[serde(default)]
    replication: Option<ReplicationSection>,
    settings: Value,
}

/// The `[instance.store]` section: records that persist for the next run of the process.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct StoreSection {
    /// The file; a relative path starts at the directory of the operator's file.
    file: PathBuf,
    /// How long changes are collected before they are synced to disk.
    #[serde(default)]
    gather_ms: u64,
}

/// Maximum of `gather_ms`: a pending release must be sent within 8 s of the call's end.
const MAX_GATHER_MS: u64 = 1_000;

impl StoreSection {
    fn validated(self, config: &Path) -> Result<StoreConfig, (String, String)> {
        if self.gather_ms > MAX_GATHER_MS {
            let why = format!("{} ms exceeds the maximum of {MAX_GATHER_MS} ms", self.gather_ms);
            return Err(("store.gather_ms".to_owned(), why));
        }
        let file = config.parent().unwrap_or(Path::new("")).join(self.file);
        Ok(StoreConfig { file, commit_delay: std::time::Duration::from_millis(self.gather_ms) })
    }
}

/// The smallest byte budget with which a controller can take part in the fleet.
const MIN_FLEET_BYTES_PER_SECOND: u32 = 512;

/// The `[instance.fleet]` section: the peers with which an instance shares its observations of the call servers.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FleetSection {
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

impl FleetSection {
    /// Returns the core's configuration. An error contains the invalid key and the reason.
    fn validated(&self) -> Result<FleetConfig, (String, String)> {
        let invalid = |key: &str, why: String| Err((format!("fleet.{key}"), why));
        let Ok(controllers) = u16::try_from(self.peers.len()) else {
            return invalid(
                "peers",
                format!("{} peers exceed the maximum of {}", self.peers.len(), u16::MAX),
            );
        };
        match self.peers.get(usize::from(self.me)) {
            None => return invalid("me", format!("{} is not among the {controllers} of 'peers'", self.me)),
            Some(own) if own.port() != self.listen.port() => {
                return invalid("listen", format!("{} is not where the others send, {own}", self.listen));
            }
            Some(_) => {}
        }
        let defaults = FleetConfig::default();
        let fanout = self.fanout.unwrap_or(defaults.fanout);
        if fanout == 0 {
            return invalid("fanout", "at least one recipient is needed".to_owned());
        }
        let max_bytes_per_second = self.max_bytes_per_second.unwrap_or(defaults.max_bytes_per_second);
        if max_bytes_per_second < MIN_FLEET_BYTES_PER_SECOND {
            let why = format!("{max_bytes_per_second} is less than {MIN_FLEET_BYTES_PER_SECOND}");
            return invalid("max_bytes_per_second", why);
        }
        let max_age = self.max_age_ms.map_or(defaults.max_age, Span::from_millis);
        if max_age < defaults.refresh_interval {
            let (max_age_ms, refresh_ms) = (max_age.0 / 1_000, defaults.refresh_interval.0 / 1_000);
            let why = format!("{max_age_ms} ms is less than the refresh interval of {refresh_ms} ms");
            return invalid("max_age_ms", why);
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

/// Parses an operator's TOML.
pub fn parse_operator(file: &Path, text: &str) -> Result<OperatorConfig, ConfigError> {
    let invalid = |key: String, why: String| ConfigError::Key { file: file.to_owned(), key, why };
    let table: toml::Table = text
        .parse()
        .map_err(|e: toml::de::Error| invalid(error_position(text, &e), e.message().to_owned()))?;
    let parsed: OperatorFile = serde_path_to_error::deserialize(table).map_err(|error| {
        let key = error.path().to_string();
        invalid(key, error.into_inner().message().to_owned())
    })?;
    parsed.log.validated().map_err(|why| invalid("log.level".to_owned(), why))?;
    if parsed.instance.is_empty() {
        return Err(invalid("instance".to_owned(), "no [[instance]] is listed".to_owned()));
    }
    let mut instances: Vec<InstanceConfig> = Vec::new();
    for (at, instance) in parsed.instance.into_iter().enumerate() {
        let key = |name: &str| format!("instance[{at}].{name}");
        if instances.iter().any(|other| other.name == instance.name) {
            return Err(invalid(key("name"), format!("'{}' is listed twice", instance.name)));
        }
        let config = instance_config(file, instance).map_err(|(name, why)| invalid(key(&name), why))?;
        instances.push(config);
    }
    Ok(OperatorConfig { control: parsed.control, log: parsed.log, instances })
}

fn error_position(text: &str, error: &toml::de::Error) -> String {
    let before = error.span().and_then(|span| text.get(..span.start));
    before.map_or_else(|| "?".to_owned(), |before| format!("line {}", before.lines().count().max(1)))
}

fn instance_config(file: &Path, section: InstanceSection) -> Result<InstanceConfig, (String, String)> {
    let settings = parse_settings(section.settings.to_string().as_bytes())
        .map_err(|why| ("settings".to_owned(), why))?;
    let runtime = runtime_settings(&section.settings)?;
    if section.listen.is_none() && section.iax2.is_none() {
        return Err((
            "listen".to_owned(),
            "neither 'listen' nor 'iax2' is given: no caller could connect".to_owned(),
        ));
    }
    let secrets = Iax2Secrets::read(file, section.iax2.as_ref())?;
    if section.iax2.as_ref().is_some_and(|iax2| !iax2.register.is_empty()) && secrets.account.is_none() {
        let why = "registrars are listed, but there is no 'account' to register with".to_owned();
        return Err(("iax2.register".to_owned(), why));
    }
    let registered = secrets.users.as_ref().is_some_and(Users::any_server);
    if section.bulletin.is_none() && section.dns_sd.is_none() && !registered {
        return Err((
            "bulletin".to_owned(),
            "neither 'bulletin' nor 'dns_sd' is given, and no user is a call server".to_owned(),
        ));
    }
    if section.dns_sd.is_some() && section.iax2.is_none() {
        return Err((
            "dns_sd".to_owned(),
            "DNS-SD lists IAX2 call servers, but 'iax2' is not given".to_owned(),
        ));
    }
    let fleet = section.fleet.as_ref().map(FleetSection::validated).transpose()?;
    let store = section.store.map(|store| store.validated(file)).transpose()?;
    let replication =
        section.replication.map(|replication| replication.validated(&section.name)).transpose()?;
    let iax2_wait = section.iax2.as_ref().and_then(|iax2| iax2.left_ms).map(Span::from_millis);
    Ok(InstanceConfig {
        name: section.name,
        listen: section.listen,
        inherited_fd: None,
        console: section.console,
        peer_listen: section.fleet.as_ref().map(|fleet| fleet.listen),
        peers: Peers {
            addresses: section.fleet.map(|fleet| fleet.peers).unwrap_or_default(),
            broadcast: None,
        },
        secrets,
        iax2: section.iax2,
        dns_sd: section.dns_sd,
        default_caller_wait: iax2_wait.unwrap_or(runtime.max_caller_wait),
        bulletin: section.bulletin,
        initial_page: Page::default(),
        zones: runtime.zones,
        limits: section.limits,
        store,
        connect_timeout: runtime.connect_timeout,
        core: CoreConfig {
            settings,
            classes: runtime.classes,
            tenants: runtime.tenants,
            max_pending_calls: section.limits.pending_calls(runtime.max_pending_calls),
            max_pending_bytes: section.limits.memory_share(),
            max_caller_wait: runtime.max_caller_wait,
            seed: section.seed.unwrap_or_else(random_seed),
            fleet,
        },
        replication,
        settings: section.settings,
    })
}

/// Returns a random seed, for instances whose file contains none.
pub(crate) fn random_seed() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    std::collections::hash_map::RandomState::new().build_hasher().finish()
}
