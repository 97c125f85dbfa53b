//! Structured logs on standard error, as text or JSON. A slow reader never holds up a call: lines wait for a thread of
//! their own, and those that find no room are dropped and counted.

use std::str::FromStr;

use serde::Deserialize;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Lines that may wait for their reader.
const MOST_WAITING: usize = 8_192;
/// The variable that names the level, whatever a file says.
const VARIABLE: &str = "LOCKPOINT_LOG";

/// The form of a line.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogForm {
    /// For people.
    #[default]
    Text,
    /// One object a line.
    Json,
}

/// What is logged, and how.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogConfig {
    /// `error`, `warn`, `info`, `debug` or `trace`, or several by part, as in `info,lockpoint::iax2=debug`.
    pub level: String,
    /// The form of a line.
    pub form: LogForm,
}

impl Default for LogConfig {
    fn default() -> Self {
        Self { level: "info".to_owned(), form: LogForm::Text }
    }
}

impl LogConfig {
    /// Whether its level can be read; why not.
    pub fn validated(&self) -> Result<(), String> {
        filter_of(&self.level).map(drop)
    }
}

fn filter_of(level: &str) -> Result<EnvFilter, String> {
    // The library takes any word for the name of a part; a word alone is meant for a level.
    let known = |word: &str| tracing::Level::from_str(word).is_ok() || word == "off";
    let wrong = level.split(',').map(str::trim).find(|part| !part.contains('=') && !known(part));
    if let Some(wrong) = wrong {
        return Err(format!("'{wrong}' is no level: error, warn, info, debug, trace or off"));
    }
    EnvFilter::try_new(level).map_err(|error| format!("'{level}': {error}"))
}

/// Holds the log open; what waits is written when it goes.
pub struct Log {
    _writer: WorkerGuard,
    dropped: ErrorCounter,
}

/// Starts the log; `LOCKPOINT_LOG` overrules the level of a file. Once in a process.
pub fn start(config: &LogConfig) -> Result<Log, String> {
    let filter = match std::env::var(VARIABLE) {
        Ok(level) => filter_of(&level).map_err(|why| format!("{VARIABLE}: {why}"))?,
        Err(_) => filter_of(&config.level).map_err(|why| format!("at key 'log.level': {why}"))?,
    };
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MOST_WAITING);
    let (writer, guard) = builder.finish(std::io::stderr());
    let dropped = writer.error_counter();
    let lines = tracing_subscriber::fmt().with_env_filter(filter).with_writer(writer).with_ansi(false);
    let set = match config.form {
        LogForm::Text => lines.try_init(),
        LogForm::Json => lines.json().flatten_event(true).try_init(),
    };
    set.map_err(|error| format!("the log cannot be started: {error}"))?;
    Ok(Log { _writer: guard, dropped })
}

impl Drop for Log {
    fn drop(&mut self) {
        let dropped = self.dropped.dropped_lines();
        if dropped > 0 {
            tracing::warn!(dropped, "log lines were dropped: their reader was too slow");
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_level_is_known_or_named_as_wrong() {
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
