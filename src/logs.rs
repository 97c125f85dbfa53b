//! Structured logs on standard error, as text or JSON. A slow reader never delays a call: lines are queued for a thread
//! that writes them, and those that do not fit into the queue are dropped and counted.

use std::str::FromStr;

use serde::Deserialize;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Maximum number of lines that wait to be written.
const MAX_QUEUED_LINES: usize = 8_192;
/// The environment variable that overrides the level of the file.
const LEVEL_VARIABLE: &str = "LOCKPOINT_LOG";

/// The format of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Configuration of the log.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogConfig {
    /// `error`, `warn`, `info`, `debug`, `trace` or `off`; also by module, as in `info,lockpoint::iax2=debug`.
    pub level: String,
    /// The format of log lines.
    #[serde(rename = "form")]
    pub format: LogFormat,
}

impl Default for LogConfig {
    fn default() -> Self {
        Self { level: "info".to_owned(), format: LogFormat::Text }
    }
}

impl LogConfig {
    /// Checks that the level can be parsed. The error is the reason.
    pub fn validated(&self) -> Result<(), String> {
        parse_filter(&self.level).map(drop)
    }
}

fn parse_filter(level: &str) -> Result<EnvFilter, String> {
    // `EnvFilter` accepts any word as the name of a module; here a word without `=` must be a level.
    let known = |word: &str| tracing::Level::from_str(word).is_ok() || word == "off";
    let unknown = level.split(',').map(str::trim).find(|part| !part.contains('=') && !known(part));
    if let Some(unknown) = unknown {
        return Err(format!("unknown level '{unknown}', expected error, warn, info, debug, trace or off"));
    }
    EnvFilter::try_new(level).map_err(|error| format!("'{level}': {error}"))
}

/// Keeps the log open. Queued lines are written when it is dropped.
pub struct Log {
    _writer: WorkerGuard,
    dropped: ErrorCounter,
}

/// Starts the log, once per process. `LOCKPOINT_LOG` overrides the level of the file.
pub fn start(config: &LogConfig) -> Result<Log, String> {
    let filter = match std::env::var(LEVEL_VARIABLE) {
        Ok(level) => parse_filter(&level).map_err(|why| format!("{LEVEL_VARIABLE}: {why}"))?,
        Err(_) => parse_filter(&config.level).map_err(|why| format!("at key 'log.level': {why}"))?,
    };
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_QUEUED_LINES);
    let (writer, guard) = builder.finish(std::io::stderr());
    let dropped = writer.error_counter();
    let lines = tracing_subscriber::fmt().with_env_filter(filter).with_writer(writer).with_ansi(false);
    let started = match config.format {
        LogFormat::Text => lines.try_init(),
        LogFormat::Json => lines.json().flatten_event(true).try_init(),
    };
    started.map_err(|error| format!("the log cannot be started: {error}"))?;
    Ok(Log { _writer: guard, dropped })
}

impl Drop for Log {
    fn drop(&mut self) {
        let dropped = self.dropped.dropped_lines();
        if dropped > 0 {
            tracing::warn!(dropped, "log lines were dropped because standard error was read too slowly");
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_unknown_level_is_refused_with_an_error_that_names_it() {
        for good in ["info", "warn,lockpoint::iax2=debug", "off", "TRACE"] {
            assert_eq!(LogConfig { level: good.to_owned(), ..LogConfig::default() }.validated(), Ok(()));
        }
        for bad in ["loud", "info,verbose", "lockpoint=loud"] {
            let why = LogConfig { level: bad.to_owned(), ..LogConfig::default() }.validated();
            assert!(
                why.is_err_and(|why| why.contains(bad.rsplit([',', '=']).next().unwrap_or(bad))),
                "{bad}"
            );
        }
    }
}
