//! Structured log lines: time, level, part, then `key=value` pairs in a short sentence.

mod nonblocking_log;

use std::time::{SystemTime, UNIX_EPOCH};

use derive_more::{Display, Error};

use nonblocking_log::NonBlockingLog;

/// Result of starting the log.
pub type Result<T, E = LogError> = std::result::Result<T, E>;

/// Why the log could not be started.
#[derive(Debug, Display, Error)]
pub enum LogError {
    /// The level is not one of the five.
    #[display("log: unknown level {level:?}; use error, warn, info, debug or trace")]
    #[error(ignore)]
    Level {
        /// Level as given.
        level: String,
    },
    /// A log was started before.
    #[display("log: already started; start it once a process")]
    Started,
}

/// Starts logging to standard error at `level` and above, each line marked with `name`.
///
/// A slow reader costs lines, never time: lines that find no room are lost, and counted in a line.
///
/// # Errors
///
/// [`LogError`] if the level is unknown or a log was started before.
pub fn start(name: &str, level: &str) -> Result<()> {
    let filter: log::LevelFilter = level.parse().map_err(|_| LogError::Level {
        level: level.into(),
    })?;
    let name = name.to_owned();
    fern::Dispatch::new()
        .format(move |out, message, record| {
            let at = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default();
            let (secs, millis) = (at.as_secs(), at.subsec_millis());
            let (level, part) = (record.level(), record.target());
            out.finish(format_args!(
                "time={secs}.{millis:03} level={level} process={name} part={part} {message}"
            ));
        })
        .level(log::LevelFilter::Warn)
        .level_for("router", filter)
        .level_for("side", filter)
        .level_for("money", filter)
        .level_for("fleet", filter)
        .level_for("relay", filter)
        .level_for("start", filter)
        .level_for("exchange", filter)
        .level_for("quarantine", filter)
        .level_for("targets", filter)
        .level_for("config", filter)
        .level_for("store", filter)
        .level_for("listen", filter)
        .level_for("dispatch", filter)
        .level_for("headers", filter)
        .chain(Box::new(NonBlockingLog::new()) as Box<dyn log::Log>)
        .apply()
        .map_err(|_| LogError::Started)
}
